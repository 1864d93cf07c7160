"""Which engines an entry hears and sends calls to first; no I/O or clock.

Load pattern: many entries before many engines. If each entry heard each engine,
talk would grow with the product of both. So each hears some engines of its
availability zone and a few of each other zone, drawn by a hash of both names:
each engine is heard by about as many entries.

A call looks at two of these in its own zone, and at two elsewhere where neither
will be in time. If each call took the best of all, every entry that hears of a
free place would send there until the next report. In a first form of the model
of `linnetwood-measure policy` (98 entries, 60 engines, a report every 0.25 s,
one seed) calls in time a second rose from 77 to 197 at 1.6 times the capacity,
from 134 to 230 at 1.3 times, and from 221 to 239 at the knee. Fewer than five
engines in the own zone are all looked at, with all others that are heard: with
seven entries before six engines two of them are worse at light load.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from linnetwood.calls.directory import Directory, Listed
from linnetwood.fleet.members import hash64

# Engines heard in the own zone: with fewer, reports come more often within the
# same bytes, and a call looks at two of them.
NEAR_MOST = 8
# Engines heard elsewhere, and in all where the own zone has few: so many that
# the entries of one zone leave hardly any of the others' idle. Each one more
# costs reports.
FAR_LEAST = 8
HEARD_LEAST = 16
# So many engines of a zone are few: all are looked at.
_FEW = 4


def draw(me: str, zone: str, places: Mapping[str, str]) -> dict[str, float]:
    """Give the hosts to hear, each with how many entries this one stands for.

    Places are zones by host. A host hears one in so many of the entries of
    this zone, so that the sum over those it hears is the number of entries.
    """
    by_zone: dict[str, list[str]] = {}
    for listed, place in places.items():
        by_zone.setdefault(place, []).append(listed)
    near = by_zone.pop(zone, [])
    # Entries of a zone without engines draw alike: who hears them hears all of
    # them, and can tell them of each other.
    key = me if near else zone
    drawn = _ranked(key, near)[:NEAR_MOST]
    heard = {host: len(near) / len(drawn) for host in drawn}
    heard.update(_draw_far(key, by_zone, _far_most(len(drawn))))
    return heard


def _far_most(near: int) -> int:
    return max(FAR_LEAST, HEARD_LEAST - near)


def _draw_far(
    key: str,
    by_zone: Mapping[str, list[str]],
    most: int,
) -> dict[str, float]:
    """Draw from each zone in turn, so that none is left out by chance."""
    ranked = {
        zone: iter(_ranked(key, by_zone[zone]))
        for zone in _ranked(key, by_zone)
    }
    drawn: dict[str, list[str]] = {}
    for turn, one in _in_turn(ranked, most):
        drawn.setdefault(turn, []).append(one)
    # Where there are more zones than draws, each is drawn from now and then.
    zones = len(by_zone) / max(1, len(drawn))
    stand_for = {
        place: zones * len(by_zone[place]) / len(hosts)
        for place, hosts in drawn.items()
    }
    return {
        host: stand_for[place]
        for place, hosts in drawn.items()
        for host in hosts
    }


def _in_turn(
    ranked: Mapping[str, Iterator[str]],
    most: int,
) -> Iterator[tuple[str, str]]:
    left = dict(ranked)
    count = 0
    while left:
        for zone, hosts in list(left.items()):
            host = next(hosts, None)
            if host is None:
                left.pop(zone)
                continue
            if count == most:
                return
            count += 1
            yield zone, host


def _ranked(key: str, names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: hash64(f'{key}|{name}'))


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Endpoints to look at together: all of them, or two by lot."""

    listed: list[Listed]
    by_lot: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """The endpoints of a service that are heard."""

    near: list[Listed]
    far: list[Listed]


class Candidates:
    """Hold which engines to look at for a call: those heard, then the rest."""

    __slots__ = ('_changes', '_directory', '_hosts', '_known')

    def __init__(self, directory: Directory) -> None:
        """Look at all of the directory until some are drawn."""
        self._directory = directory
        self._hosts: frozenset[str] | None = None
        self._known: dict[tuple[str, str], _Heard] = {}
        self._changes = -1

    def hear(self, hosts: Iterable[str]) -> None:
        """Look first at the engines on these hosts."""
        self._hosts = frozenset(hosts)
        self._changes = -1

    def groups(self, service: str, zone: str, now: float) -> Iterator[Group]:
        """Yield whom to look at, from a zone; the next where none will do."""
        if self._hosts is not None:
            heard = self._of_those_heard(service, zone)
            near = self._ready(heard.near, now)
            far = self._ready(heard.far, now)
            if len(near) > _FEW:
                yield Group(near, by_lot=True)
                yield Group(far, by_lot=True)
            yield Group([*near, *far])
        yield Group(self._directory.ready(service, now))

    def _ready(self, listed: Iterable[Listed], now: float) -> list[Listed]:
        return [one for one in listed if self._directory.takes(one, now)]

    def _of_those_heard(self, service: str, zone: str) -> _Heard:
        if self._changes != self._directory.changes:
            self._changes = self._directory.changes
            self._known.clear()
        heard = self._known.get((service, zone))
        if heard is None:
            heard = self._sorted_out(service, zone)
            self._known[service, zone] = heard
        return heard

    def _sorted_out(self, service: str, zone: str) -> _Heard:
        hosts = self._hosts or frozenset()
        heard = [
            one
            for one in self._directory.of_service(service)
            if one.host in hosts
        ]
        return _Heard(
            [one for one in heard if one.zone == zone],
            [one for one in heard if one.zone != zone],
        )


def two_by_lot(listed: list[Listed], lot: int) -> list[Listed]:
    """Give two that a call's number picks, the same for the same list."""
    count = len(listed)
    if count <= 2:
        return listed
    first = lot % count
    # The second is one of the others.
    second = (first + 1 + lot // count % (count - 1)) % count
    return [listed[first], listed[second]]
