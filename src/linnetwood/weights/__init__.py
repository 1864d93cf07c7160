"""The path of weights from the origin to an engine.

A wanted version comes in; checked chunks, orders and a serving engine go out.
"""
