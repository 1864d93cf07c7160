"""Transfer of weights from the origin to an engine.

Input: the wanted versions. Output: verified chunks, orders, a serving engine.
"""
