"""When this entry may next send where only so many calls may go; no I/O.

Load pattern: an endpoint takes less than what many entries would send, and they
do not talk to each other. So each sends there at most once in a pause of its
own, and begins at a moment drawn at random: the sum is that of entries with
random phases, whose spread is below the square root of its mean. A turn that
was not taken soon is missed, and the next is a pause later: else entries which
were idle together would all send at once, each by a turn that it saved.
"""

import math
from collections.abc import Collection
from random import Random

# A turn that is further off than so many pauses is of an older, longer pause.
_MAX_INTERVALS_AHEAD = 2


class SendPacer:
    """Hold when this entry may next send to each life of an endpoint."""

    __slots__ = ('_next_send_at', '_rng', '_max_late_s')

    def __init__(self, rng: Random, max_late_s: float) -> None:
        """Have no turn yet; keep one for so long, which adds to the sum."""
        self._rng = rng
        self._max_late_s = max_late_s
        self._next_send_at: dict[str, float] = {}

    def next_send_at(
        self, incarnation_id: str, interval_s: float, now: float
    ) -> float:
        """Give from when on a call may go there."""
        next_send_at = self._next_send_at.get(incarnation_id)
        if (
            next_send_at is None
            or next_send_at - now > _MAX_INTERVALS_AHEAD * interval_s
        ):
            next_send_at = now + self._rng.uniform(0, interval_s)
        # Of the turns that are due the last one may still be taken.
        missed = max(0, math.floor((now - next_send_at) / interval_s))
        next_send_at += missed * interval_s
        if now - next_send_at > self._max_late_s:
            next_send_at += interval_s
        self._next_send_at[incarnation_id] = next_send_at
        return next_send_at

    def schedule_next(
        self, incarnation_id: str, interval_s: float, now: float
    ) -> None:
        """Note that a call goes there."""
        self._next_send_at[incarnation_id] = now + interval_s

    def forget_unlisted(self, listed_ids: Collection[str]) -> None:
        """Forget all others."""
        for incarnation_id in self._next_send_at.keys() - set(listed_ids):
            self._next_send_at.pop(incarnation_id)
