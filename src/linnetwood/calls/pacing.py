"""Lend slots beyond a share one after another; no I/O, clock or chance.

Calls that take the same time and were let in together end together. Whoever
comes in between then waits for as long as a call takes, however small a part
of the slots it asks for. Spread out, a slot comes free every now and then.
"""

import math

# Part of the time between two ends, when ends are spread evenly, that lies
# between two slots lent: below one, so that lending keeps up with the ends.
_SPREAD_SHARE = 0.9
# Part of the time that a caller may wait: no slot lies idle for longer.
_MAX_WAIT_SHARE = 0.1


class BorrowPacer:
    """Say from when the next slot may be lent."""

    def __init__(self, wait_s: float) -> None:
        """Nothing was lent; a caller may wait for so many seconds."""
        self._max_gap_s = wait_s * _MAX_WAIT_SHARE
        self._borrowed_at = -math.inf

    def note_borrowed(self, now: float) -> None:
        """Note that a slot was lent."""
        self._borrowed_at = now

    def next_borrow_at(self, mean_s: float, slots: int, free: int) -> float:
        """Give the time from which one of the free slots may be lent.

        The more of them are free the sooner, so that few ever lie idle.
        """
        gap_s = _SPREAD_SHARE * mean_s / slots / max(1, free)
        return self._borrowed_at + min(gap_s, self._max_gap_s)
