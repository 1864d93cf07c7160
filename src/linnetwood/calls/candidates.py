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

from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.fleet.members import hash64

# Engines heard in the own zone: with fewer, reports come more often within the
# same bytes, and a call looks at two of them.
MAX_SAME_ZONE = 8
# Engines heard elsewhere, and in all where the own zone has few: so many that
# the entries of one zone leave hardly any of the others' idle. Each one more
# costs reports.
MIN_OTHER_ZONES = 8
MIN_SUBSCRIBED = 16
# So many engines of a zone are few: all are looked at.
_MAX_COMPARED = 4


def select_hosts(
    entry_host: str, zone: str, places: Mapping[str, str]
) -> dict[str, float]:
    """Give the hosts to hear, each with how many entries this one stands for.

    Places are zones by host. A host hears one in so many of the entries of
    this zone, so that the sum over those it hears is the number of entries.
    """
    by_zone: dict[str, list[str]] = {}
    for listed_host, listed_zone in places.items():
        by_zone.setdefault(listed_zone, []).append(listed_host)
    same_zone = by_zone.pop(zone, [])
    # Entries of a zone without engines draw alike: who hears them hears all of
    # them, and can tell them of each other.
    key = entry_host if same_zone else zone
    selected = _ranked(key, same_zone)[:MAX_SAME_ZONE]
    stands_for = {host: len(same_zone) / len(selected) for host in selected}
    stands_for.update(
        _select_other_zones(key, by_zone, _max_other_zones(len(selected)))
    )
    return stands_for


def _max_other_zones(same_zone: int) -> int:
    return max(MIN_OTHER_ZONES, MIN_SUBSCRIBED - same_zone)


def _select_other_zones(
    key: str,
    by_zone: Mapping[str, list[str]],
    max_hosts: int,
) -> dict[str, float]:
    """Draw from each zone in turn, so that none is left out by chance."""
    ranked = {
        zone: iter(_ranked(key, by_zone[zone]))
        for zone in _ranked(key, by_zone)
    }
    selected: dict[str, list[str]] = {}
    for picked_zone, picked_host in _round_robin(ranked, max_hosts):
        selected.setdefault(picked_zone, []).append(picked_host)
    # Where there are more zones than draws, each is drawn from now and then.
    zones_per_selected = len(by_zone) / max(1, len(selected))
    stands_for = {
        zone: zones_per_selected * len(by_zone[zone]) / len(hosts)
        for zone, hosts in selected.items()
    }
    return {
        host: stands_for[zone]
        for zone, hosts in selected.items()
        for host in hosts
    }


def _round_robin(
    ranked: Mapping[str, Iterator[str]],
    max_hosts: int,
) -> Iterator[tuple[str, str]]:
    remaining = dict(ranked)
    count = 0
    while remaining:
        for zone, hosts in list(remaining.items()):
            host = next(hosts, None)
            if host is None:
                remaining.pop(zone)
                continue
            if count == max_hosts:
                return
            count += 1
            yield zone, host


def _ranked(key: str, names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: hash64(f'{key}|{name}'))


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Endpoints to look at together: all of them, or two by lot."""

    endpoints: list[Endpoint]
    is_sampled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Partition:
    """The endpoints of a service that are heard."""

    same_zone: list[Endpoint]
    other_zones: list[Endpoint]


class Candidates:
    """Hold which engines to look at for a call: those heard, then the rest."""

    __slots__ = ('_change_count', '_directory', '_preferred_hosts', '_cache')

    def __init__(self, directory: Directory) -> None:
        """Look at all of the directory until some are drawn."""
        self._directory = directory
        self._preferred_hosts: frozenset[str] | None = None
        self._cache: dict[tuple[str, str], _Partition] = {}
        self._change_count = -1

    def prefer_hosts(self, hosts: Iterable[str]) -> None:
        """Look first at the engines on these hosts."""
        self._preferred_hosts = frozenset(hosts)
        self._change_count = -1

    def groups(self, service: str, zone: str, now: float) -> Iterator[Group]:
        """Yield whom to look at, from a zone; the next where none will do."""
        if self._preferred_hosts is not None:
            preferred = self._preferred(service, zone)
            same_zone = self._eligible(preferred.same_zone, now)
            other_zones = self._eligible(preferred.other_zones, now)
            if len(same_zone) > _MAX_COMPARED:
                yield Group(same_zone, is_sampled=True)
                yield Group(other_zones, is_sampled=True)
            yield Group([*same_zone, *other_zones])
        yield Group(self._directory.eligible(service, now))

    def _eligible(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in endpoints
            if self._directory.is_eligible(endpoint, now)
        ]

    def _preferred(self, service: str, zone: str) -> _Partition:
        if self._change_count != self._directory.change_count:
            self._change_count = self._directory.change_count
            self._cache.clear()
        partition = self._cache.get((service, zone))
        if partition is None:
            partition = self._partition(service, zone)
            self._cache[service, zone] = partition
        return partition

    def _partition(self, service: str, zone: str) -> _Partition:
        hosts = self._preferred_hosts or frozenset()
        preferred = [
            endpoint
            for endpoint in self._directory.of_service(service)
            if endpoint.host in hosts
        ]
        return _Partition(
            [endpoint for endpoint in preferred if endpoint.zone == zone],
            [endpoint for endpoint in preferred if endpoint.zone != zone],
        )


def pick_two(endpoints: list[Endpoint], number: int) -> list[Endpoint]:
    """Give two that a call's number picks, the same for the same list."""
    count = len(endpoints)
    if count <= 2:
        return endpoints
    first = number % count
    # The second is one of the others.
    second = (first + 1 + number // count % (count - 1)) % count
    return [endpoints[first], endpoints[second]]
