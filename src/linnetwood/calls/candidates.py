"""Select the engines whose reports an entry gets and that it calls first.

Load pattern: many entries and many engines. If each entry got the reports of
each engine, control traffic would grow with the product of both. So each entry
subscribes to some engines of its availability zone and to a few of each other
zone, ranked by a hash of both names: each engine reports to about as many
entries. This module uses no I/O and no clock.

A call compares 2 of these in its own zone, and 2 of other zones if neither will
be in time. If each call took the best of all, every entry that learns of a free
slot would send there until the next report. In an early form of the model of
`linnetwood-measure policy` (98 entries, 60 engines, a report every 0.25 s, 1
seed) calls in time per second rose from 77 to 197 at 1.6 times the capacity,
from 134 to 230 at 1.3 times, and from 221 to 239 at the knee. Fewer than 5
engines in the own zone are all compared, together with all subscribed engines
of other zones: with 7 entries and 6 engines, comparing 2 is worse at light
load.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.fleet.members import hash64

# Engines of the own zone to subscribe to: fewer can report more often within
# the same bytes, and a call compares only 2 of them.
MAX_SAME_ZONE = 8
# Engines of other zones to subscribe to, and the total if the own zone has few:
# enough for the entries of one zone to use nearly all engines of the others.
# Each additional engine costs reports.
MIN_OTHER_ZONES = 8
MIN_SUBSCRIBED = 16
# Up to this number of engines in the own zone, all are compared.
_MAX_COMPARED = 4


def select_hosts(
    entry_host: str, zone: str, places: Mapping[str, str]
) -> dict[str, float]:
    """Return the hosts to subscribe to and the number of entries represented.

    Places are zones by host. Each host gets the subscriptions of only a part of
    the entries; the numbers it gets add up to about the number of all entries.
    """
    by_zone: dict[str, list[str]] = {}
    for listed_host, listed_zone in places.items():
        by_zone.setdefault(listed_zone, []).append(listed_host)
    same_zone = by_zone.pop(zone, [])
    # Entries of a zone without engines select the same hosts, so that each of
    # these knows all entries of the zone and can tell them of each other.
    key = entry_host if same_zone else zone
    selected = _ranked(key, same_zone)[:MAX_SAME_ZONE]
    represents = {host: len(same_zone) / len(selected) for host in selected}
    represents.update(
        _select_other_zones(key, by_zone, _max_other_zones(len(selected)))
    )
    return represents


def _max_other_zones(same_zone: int) -> int:
    return max(MIN_OTHER_ZONES, MIN_SUBSCRIBED - same_zone)


def _select_other_zones(
    key: str,
    by_zone: Mapping[str, list[str]],
    max_hosts: int,
) -> dict[str, float]:
    """Select from each zone in turn, so that none is left out by chance."""
    ranked = {
        zone: iter(_ranked(key, by_zone[zone]))
        for zone in _ranked(key, by_zone)
    }
    selected: dict[str, list[str]] = {}
    for picked_zone, picked_host in _round_robin(ranked, max_hosts):
        selected.setdefault(picked_zone, []).append(picked_host)
    # With more zones than selections, each zone is selected by some entries.
    zones_per_selected = len(by_zone) / max(1, len(selected))
    represents = {
        zone: zones_per_selected * len(by_zone[zone]) / len(hosts)
        for zone, hosts in selected.items()
    }
    return {
        host: represents[zone]
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
    """Endpoints to compare: all of them, or a sample of 2."""

    endpoints: list[Endpoint]
    is_sampled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Partition:
    """The preferred endpoints of a service, by zone."""

    same_zone: list[Endpoint]
    other_zones: list[Endpoint]


class Candidates:
    """Select the engines to compare for a call, preferred ones first."""

    __slots__ = ('_change_count', '_directory', '_preferred_hosts', '_cache')

    def __init__(self, directory: Directory) -> None:
        """Compare all of the directory until preferred hosts are set."""
        self._directory = directory
        self._preferred_hosts: frozenset[str] | None = None
        self._cache: dict[tuple[str, str], _Partition] = {}
        self._change_count = -1

    def prefer_hosts(self, hosts: Iterable[str]) -> None:
        """Prefer the engines on these hosts."""
        self._preferred_hosts = frozenset(hosts)
        self._change_count = -1

    def groups(self, service: str, zone: str, now: float) -> Iterator[Group]:
        """Yield groups for calls of a zone, the next one if none will do."""
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
    """Pick two by a number, the same two for the same list."""
    count = len(endpoints)
    if count <= 2:
        return endpoints
    first = number % count
    # The second is one of the others.
    second = (first + 1 + number // count % (count - 1)) % count
    return [endpoints[first], endpoints[second]]
