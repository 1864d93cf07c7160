"""The path of a call from a caller to an endpoint and back.

The inputs are calls and the view of the fleet. Each call ends with a complete
answer or with a refusal that truly says whether it ran.
"""
