"""Share out among entries what a cold endpoint bears; no I/O or clock.

Load pattern: the endpoints of a zone come back cold at one moment, and each of
N entries would send its part of the full load at once. A cold endpoint bears
so many calls a second over all entries, which do not talk to each other. So
each entry sends there at most once in N times the pause of one, and begins at a
moment drawn at random: in any second the sum is that of N entries with random
phases, whose mean is the rate and whose spread is below its square root.
A place that was not taken within one pause is drawn anew, so that entries which
were idle together do not all send at once.
"""

from collections.abc import Callable
from random import Random

# Of the rate that is borne: what entries that come, die and count each other
# late add to it has to fit into the rest, and into what is allowed over it.
_PART = 0.9
# A zone whose evacuation ends, or an endpoint that was lost, is held to be cold
# for so long, until its own word may be there: heartbeats come every 1.2 s.
UNTOLD_S = 2.0


class ColdGate:
    """Hold when this entry may next send to each cold endpoint."""

    __slots__ = ('_entries', '_next_at', '_rng')

    def __init__(self, rng: Random, entries: Callable[[], int]) -> None:
        """Share with as many entries as there are now."""
        self._rng = rng
        self._entries = entries
        self._next_at: dict[str, float] = {}

    def opens(self, life: str, per_s: float, now: float) -> bool:
        """Tell whether a call may go to a cold endpoint now."""
        pause_s = self._pause_s(per_s)
        next_at = self._next_at.get(life)
        if next_at is None or now - next_at > pause_s:
            next_at = now + self._rng.uniform(0, pause_s)
            self._next_at[life] = next_at
        return now >= next_at

    def sent(self, life: str, per_s: float, now: float) -> None:
        """Note that a call goes there."""
        self._next_at[life] = now + self._pause_s(per_s)

    def keep(self, lives: set[str]) -> None:
        """Forget all others."""
        for life in self._next_at.keys() - lives:
            self._next_at.pop(life)

    def _pause_s(self, per_s: float) -> float:
        return max(1, self._entries()) / (per_s * _PART)
