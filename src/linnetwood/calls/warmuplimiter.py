"""Share out among entries what a cold endpoint bears; no I/O or clock.

The endpoints of a zone come back cold at one moment, and each of N entries
would send its part of the full load at once. A cold endpoint bears so many
calls a second over all entries, so each takes turns there, N times as far apart
as one alone would.
"""

from collections.abc import Callable
from random import Random

from linnetwood.calls.sendpacer import SendPacer

# Of the rate that is borne: what entries that come, die and count each other
# late add to it has to fit into the rest, and into what is allowed over it.
_USED_SHARE = 0.9
# A turn is kept for so long: what is allowed counts within a second.
_MAX_LATE_S = 0.1
# A zone whose evacuation ends, or an endpoint that was lost, is held to be cold
# for so long, until its own word may be there: heartbeats come every 1.2 s.
ASSUMED_COLD_S = 2.0


class WarmupLimiter(SendPacer):
    """Hold when this entry may next send to each cold endpoint."""

    __slots__ = ('_entry_count',)

    def __init__(self, rng: Random, entry_count: Callable[[], int]) -> None:
        """Share with as many entries as there are now."""
        super().__init__(rng, _MAX_LATE_S)
        self._entry_count = entry_count

    def may_send(
        self, incarnation_id: str, calls_per_s: float, now: float
    ) -> bool:
        """Tell whether a call may go to a cold endpoint now."""
        return now >= self.next_send_at(
            incarnation_id, self._interval_s(calls_per_s), now
        )

    def record_sent(
        self, incarnation_id: str, calls_per_s: float, now: float
    ) -> None:
        """Note that a call goes there."""
        self.schedule_next(incarnation_id, self._interval_s(calls_per_s), now)

    def _interval_s(self, calls_per_s: float) -> float:
        return max(1, self._entry_count()) / (calls_per_s * _USED_SHARE)
