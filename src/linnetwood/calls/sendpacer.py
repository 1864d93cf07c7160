"""Pace the calls of this entry to endpoints with a limited rate; no I/O.

Load pattern: an endpoint takes fewer calls than many entries would send, and
the entries don't communicate. So each entry sends there at most once per
interval and starts at a random time: the sum over entries with random phases
has a spread below the square root of its mean. A send time that is not used
soon is dropped, and the next is one interval later. Otherwise entries that were
idle together would all send at once, each by a send time that it had saved.
"""

import math
from collections.abc import Collection
from random import Random

# A send time more than 2 intervals ahead was set for an older, longer interval.
_MAX_INTERVALS_AHEAD = 2


class SendPacer:
    """Hold the next send time of this entry for each incarnation."""

    __slots__ = ('_next_send_at', '_rng', '_max_late_s')

    def __init__(self, rng: Random, max_late_s: float) -> None:
        """Keep an unused send time for some seconds, which adds to the sum."""
        self._rng = rng
        self._max_late_s = max_late_s
        self._next_send_at: dict[str, float] = {}

    def next_send_at(
        self, incarnation_id: str, interval_s: float, now: float
    ) -> float:
        """Return when the next call may be sent there."""
        next_send_at = self._next_send_at.get(incarnation_id)
        if (
            next_send_at is None
            or next_send_at - now > _MAX_INTERVALS_AHEAD * interval_s
        ):
            next_send_at = now + self._rng.uniform(0, interval_s)
        # Only the last of the send times that are due may still be used.
        missed = max(0, math.floor((now - next_send_at) / interval_s))
        next_send_at += missed * interval_s
        if now - next_send_at > self._max_late_s:
            next_send_at += interval_s
        self._next_send_at[incarnation_id] = next_send_at
        return next_send_at

    def schedule_next(
        self, incarnation_id: str, interval_s: float, now: float
    ) -> None:
        """Record a call sent now; the next one may follow an interval later."""
        self._next_send_at[incarnation_id] = now + interval_s

    def forget_unlisted(self, listed_ids: Collection[str]) -> None:
        """Forget the incarnations that are no longer listed."""
        for incarnation_id in self._next_send_at.keys() - set(listed_ids):
            self._next_send_at.pop(incarnation_id)
