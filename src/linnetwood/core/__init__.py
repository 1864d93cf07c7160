"""Clock, errors, events, outcomes and options, used by every other package.

This package imports from no other one.
"""
