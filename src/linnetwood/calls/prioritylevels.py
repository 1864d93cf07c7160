"""Rank the priorities of a service's calls; no I/O."""

import bisect
import dataclasses
import itertools
from collections.abc import Iterable

# Late calls run after all others at an engine.
LATE_LEVEL = 8
# Levels 0 to 7 are left for calls in time.
_MAX_LEVELS = LATE_LEVEL
_LEAST_URGENT = LATE_LEVEL - 1


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityLevels:
    """The priorities of one service's calls, the most urgent first.

    A priority is the pair of the organisation's and the route's priority; 0 is
    the highest of both. Level 0 is the most urgent one.
    """

    pairs: tuple[tuple[int, int], ...] = ()
    # The priority of calls without an organisation.
    default_priority: int = 0

    @property
    def count(self) -> int:
        """Return how many levels are distinguished; at least 1."""
        return max(1, min(_MAX_LEVELS, len(self.pairs)))

    def level(self, organisation: int | None, route: int) -> int:
        """Return the level of a call by its two priorities.

        A pair that the configuration doesn't have gets the level of the next
        less urgent one.
        """
        if self.count == 1:
            return 0
        first = self.default_priority if organisation is None else organisation
        rank = bisect.bisect_left(self.pairs, (first, route))
        rank = min(rank, len(self.pairs) - 1)
        return rank * self.count // len(self.pairs)

    def engine_priority(self, level: int) -> int | None:
        """Return the priority to send to an engine; None with one level."""
        if self.count == 1:
            return None
        return level * _LEAST_URGENT // (self.count - 1)


def rank_priorities(
    organisations: Iterable[int], routes: Iterable[int]
) -> PriorityLevels:
    """Rank all pairs that organisations and a service's routes can form.

    Calls without an organisation count as those of the least urgent one.
    """
    first = sorted(set(organisations)) or [0]
    pairs = tuple(itertools.product(first, sorted(set(routes))))
    return PriorityLevels(pairs, first[-1])
