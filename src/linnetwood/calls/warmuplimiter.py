"""Divide the call rate of a cold endpoint among all entries; no I/O or clock.

All endpoints of a zone may come back cold at once, and each of N entries would
send its share of the full load immediately. A cold endpoint takes a limited
number of calls per second from all entries together, so each entry sends at
intervals N times as long as a single entry would.
"""

from collections.abc import Callable
from random import Random

from linnetwood.calls.sendpacer import SendPacer

# The share of the configured rate to use. The rest, and what is tolerated above
# the rate, covers entries that start, die or have an old count of each other.
_USED_SHARE = 0.9
# An unused send time is valid for this long: calls are counted over 1 s.
_MAX_LATE_S = 0.1
# After the end of an evacuation, and after an endpoint was unreachable, it is
# assumed cold for this time, until its own heartbeat may have arrived. These
# come every 1.2 s.
ASSUMED_COLD_S = 2.0


class WarmupLimiter(SendPacer):
    """Pace the calls of this entry to each cold endpoint."""

    __slots__ = ('_entry_count',)

    def __init__(self, rng: Random, entry_count: Callable[[], int]) -> None:
        """Share the rate with the current number of entries."""
        super().__init__(rng, _MAX_LATE_S)
        self._entry_count = entry_count

    def may_send(
        self, incarnation_id: str, calls_per_s: float, now: float
    ) -> bool:
        """Return whether a call may be sent to a cold endpoint now."""
        return now >= self.next_send_at(
            incarnation_id, self._interval_s(calls_per_s), now
        )

    def record_sent(
        self, incarnation_id: str, calls_per_s: float, now: float
    ) -> None:
        """Record that a call is sent there."""
        self.schedule_next(incarnation_id, self._interval_s(calls_per_s), now)

    def _interval_s(self, calls_per_s: float) -> float:
        return max(1, self._entry_count()) / (calls_per_s * _USED_SHARE)
