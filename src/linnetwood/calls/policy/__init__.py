"""The decisions on calls, each behind a protocol, without I/O or a clock.

Each module has one decision and the ways in which it can be taken; which way is
taken the settings say (core/options.py, Decisions).
"""
