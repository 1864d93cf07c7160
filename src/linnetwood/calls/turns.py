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
_OUTDATED = 2


class Turns:
    """Hold when this entry may next send to each life of an endpoint."""

    __slots__ = ('_next_at', '_rng', '_saved_s')

    def __init__(self, rng: Random, saved_s: float) -> None:
        """Have no turn yet; keep one for so long, which adds to the sum."""
        self._rng = rng
        self._saved_s = saved_s
        self._next_at: dict[str, float] = {}

    def next_at(self, life: str, pause_s: float, now: float) -> float:
        """Give from when on a call may go there."""
        next_at = self._next_at.get(life)
        if next_at is None or next_at - now > _OUTDATED * pause_s:
            next_at = now + self._rng.uniform(0, pause_s)
        # Of the turns that are due the last one may still be taken.
        missed = max(0, math.floor((now - next_at) / pause_s))
        next_at += missed * pause_s
        if now - next_at > self._saved_s:
            next_at += pause_s
        self._next_at[life] = next_at
        return next_at

    def take(self, life: str, pause_s: float, now: float) -> None:
        """Note that a call goes there."""
        self._next_at[life] = now + pause_s

    def keep(self, lives: Collection[str]) -> None:
        """Forget all others."""
        for life in self._next_at.keys() - set(lives):
            self._next_at.pop(life)
