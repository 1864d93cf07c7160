"""Space out slots borrowed beyond a share; no I/O, clock or randomness.

Calls that take the same time and start together also end together. A call that
arrives in between then waits for the duration of a call, however few slots its
organisation uses. If the starts are spread out, slots become free at regular
intervals.
"""

import math

# Interval between two borrowed slots as a share of the interval between two
# evenly spread ends of calls; below 1, so that borrowing keeps up with them.
_SPREAD_SHARE = 0.9
# Maximum interval as a share of the time that a caller may wait; no free slot
# stays idle for longer.
_MAX_WAIT_SHARE = 0.1


class BorrowPacer:
    """Decide when the next slot may be borrowed."""

    def __init__(self, wait_s: float) -> None:
        """Start with no slot borrowed; a caller may wait for wait_s seconds."""
        self._max_gap_s = wait_s * _MAX_WAIT_SHARE
        self._borrowed_at = -math.inf

    def note_borrowed(self, now: float) -> None:
        """Note that a slot was borrowed."""
        self._borrowed_at = now

    def next_borrow_at(self, mean_s: float, slots: int, free: int) -> float:
        """Return the time from which one of the free slots may be borrowed.

        The more slots are free, the earlier, so that few of them stay idle.
        """
        gap_s = _SPREAD_SHARE * mean_s / slots / max(1, free)
        return self._borrowed_at + min(gap_s, self._max_gap_s)
