"""Policies for decisions on calls, each behind a protocol; no I/O or clock.

Each module defines one decision and its alternative policies. The settings
select the policy (core/options.py, Decisions).
"""
