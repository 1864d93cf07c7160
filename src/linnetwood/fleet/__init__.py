"""Who is there and what the operators want of them.

Configuration and statements of members come in; views, placements and changes
go out.
"""
