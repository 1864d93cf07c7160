"""Tell which chunks only silent neighbours hold; no I/O or clock inside.

Load pattern: a zone is cut off with the origin in it, 3 to 5 s after a version
was named. Neighbours behind the cut hold what the zone lacks, or were to read
it. Asked one after the other, each costs 0.8 s; the cut heals before all were.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

# Whoever brings chunks here tells what it holds more often than this.
_UNHEARD_S = 0.5


class Holder(Protocol):
    """A neighbour, by what it is known to hold."""

    held: int


class SilentPeers:
    """Hold of whom nothing is heard since a neighbour fell silent."""

    __slots__ = ('_silent', '_since', '_unheard')

    def __init__(self) -> None:
        """Miss nobody."""
        # Those that left a fetch without an answer, and all others since then.
        self._silent: set[str] = set()
        self._unheard: set[str] = set()
        self._since = float()

    def record_timeout(
        self, vm: str, everybody: Iterable[str], now: float
    ) -> None:
        """Note that one fell silent: are the others still there?"""
        if vm not in self._unheard:
            self._since = now
            self._unheard = set(everybody)
        self._silent.add(vm)

    def record_message(self, vm: str) -> None:
        """Note that one is there, or that it is a neighbour no more."""
        self._unheard.discard(vm)
        self._silent.discard(vm)
        if not self._silent:
            self._unheard.clear()

    def unreachable_chunks(
        self,
        now: float,
        neighbours: Mapping[str, Holder],
        every: int,
        turns_over_at: float,
    ) -> Iterator[tuple[int, float]]:
        """Yield chunks that no neighbour in reach can bring, and since when.

        First those that only the unheard hold, then what none is known to
        hold, once all turns to read it are over.
        """
        since = self._since + _UNHEARD_S
        if not self._silent or now < since:
            return
        known = 0
        in_reach = 0
        for vm, one in neighbours.items():
            known |= one.held
            if vm not in self._unheard:
                in_reach |= one.held
        yield known & ~in_reach, since
        yield every & ~known, max(since, turns_over_at)
