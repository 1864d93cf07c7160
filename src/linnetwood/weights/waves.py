"""Decide when engines change version, so that not all change at once; no I/O.

An engine takes nothing new while it finishes what it runs before a change. The
first wave drains ahead of its change and comes back first; the
second goes on until the first is back, or until calls may no longer begin on
its version.
"""

from collections.abc import Iterable

from linnetwood.fleet.members import hash64

# The first wave drains from when this part of its chunks is missing: about
# as long before the end of a transfer as calls take to finish.
DRAIN_MISSING_SHARE = 0.22


def in_first_wave(me: str, vms: Iterable[str], name: str) -> bool:
    """Tell whether this VM's engine changes in the first wave."""
    ranked = sorted({*vms, me}, key=lambda vm: hash64(f'{name}|{vm}'))
    return bool(ranked.index(me) % 2)


def is_draining(held: int, count: int, *, first: bool) -> bool:
    """Tell whether new calls should go elsewhere already."""
    return first and count - held <= count * DRAIN_MISSING_SHARE


def change_due_at(
    complete_at: float,
    cutoff: float,
    switch_s: float,
    *,
    first: bool,
) -> float:
    """Give when to change: the second wave when the first should be back."""
    if first:
        return complete_at
    return max(complete_at, min(complete_at + switch_s, cutoff))
