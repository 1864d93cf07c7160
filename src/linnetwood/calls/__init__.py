"""The path of a call from a caller to an endpoint and back.

Calls and the view of the fleet come in; whole answers or true refusals go out.
"""
