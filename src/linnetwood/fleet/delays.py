"""Measure how long what others send takes to come here; no I/O or clock.

Entries tell since when versions are named. That is the same time each time, so
whatever comes later than it did at best was held up by so much on its way.
"""

import collections
from collections.abc import Collection, Iterable

from linnetwood.fleet.news import Address
from linnetwood.gen.wire.ttypes import WantedWeights

# The least of so many counts: one entry that is late itself, or whose own link
# is narrow, tells nothing of this VM's.
_SAMPLES = 3
# Entries greet once a second. In a longer silence of all of them their
# greetings are lost, as on a full link, or wait.
_OVERDUE_S = 1.5
_MILLISECONDS = 1000

_Named = dict[tuple[str, int], float]


class Delays:
    """Hold when each entry's word on a naming came soonest, and the last."""

    __slots__ = ('_heard_at', '_recent', '_soonest')

    def __init__(self) -> None:
        """Know nothing of the way."""
        self._soonest: dict[Address, _Named] = {}
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_SAMPLES,
        )
        self._heard_at = float()

    def heard(
        self,
        source: Address,
        rows: Iterable[WantedWeights],
        now: float,
    ) -> None:
        """Take in what an entry tells; the first time there is no measure."""
        known = self._soonest.get(source, {})
        named: _Named = {
            (row.model, row.version): now - row.age_ms / _MILLISECONDS
            for row in rows
            if row.age_ms >= 0 and not row.guessed
        }
        late = [named[one] - known[one] for one in named if one in known]
        if late:
            self._recent.append(max(0, min(late)))
        self._soonest[source] = {
            one: min(since, known.get(one, since))
            for one, since in named.items()
        }
        self._heard_at = now

    def keep(self, sources: Collection[Address]) -> None:
        """Forget entries that have gone."""
        for gone in self._soonest.keys() - set(sources):
            self._soonest.pop(gone)
        if not self._soonest:
            self._recent.clear()

    def way_s(self, now: float) -> float:
        """Give by how much longer than at best it takes; 0 if unknown."""
        silent_s = now - self._heard_at
        if silent_s > _OVERDUE_S and any(self._soonest.values()):
            return silent_s
        return min(self._recent) if len(self._recent) == _SAMPLES else 0
