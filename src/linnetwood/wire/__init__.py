"""Messages between processes and HTTP clients.

Bytes and addresses come in; checked frames, structs and answers go out.
"""
