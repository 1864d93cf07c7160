"""Which engines an entry hears and sends calls to first; no I/O or clock.

Load pattern: many entries before many engines, nothing wrong. If each entry
heard each engine, talk would grow with the product of both. So each hears the
engines of its availability zone and a few of each other zone, drawn by a hash
of both names, so that each engine is heard by about as many entries. Where one
of five zones has over three times what its engines take, 20 entries that hear
eight engines elsewhere leave 2.8% of those idle, twelve 0.6%, sixteen 0.3%
(worked out in tests/test_candidates.py); each one more costs reports.
"""

from collections.abc import Iterable, Iterator, Mapping

from linnetwood.calls.directory import Directory, Listed
from linnetwood.fleet.members import place_hash

# Engines heard in the own zone: with reports of 50 bytes four times a second,
# all that an entry hears stays under 7 KB a second.
NEAR_MOST = 24
# Engines heard elsewhere, and in all where the own zone has few.
FAR_LEAST = 8
HEARD_LEAST = 16


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
    return max(FAR_LEAST, HEARD_LEAST - near) if near else NEAR_MOST


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
    return sorted(names, key=lambda name: place_hash(f'{key}|{name}'))


class Candidates:
    """Hold which engines to look at for a call: those heard, then the rest."""

    __slots__ = ('_changes', '_directory', '_heard', '_near')

    def __init__(self, directory: Directory) -> None:
        """Look at all of the directory until some are drawn."""
        self._directory = directory
        self._heard: frozenset[str] | None = None
        self._near: dict[str, list[Listed]] = {}
        self._changes = -1

    def hear(self, hosts: Iterable[str]) -> None:
        """Look first at the engines on these hosts."""
        self._heard = frozenset(hosts)
        self._changes = -1

    def groups(self, service: str, now: float) -> Iterator[list[Listed]]:
        """Yield the endpoints to choose from; the next where none will do."""
        if self._heard is not None:
            near = self._of_those_heard(service)
            yield [one for one in near if self._directory.takes(one, now)]
        yield self._directory.ready(service, now)

    def _of_those_heard(self, service: str) -> list[Listed]:
        if self._changes != self._directory.changes:
            self._changes = self._directory.changes
            self._near.clear()
        near = self._near.get(service)
        if near is None:
            heard = self._heard or frozenset()
            listed = self._directory.of_service(service)
            near = [one for one in listed if one.host in heard]
            self._near[service] = near
        return near
