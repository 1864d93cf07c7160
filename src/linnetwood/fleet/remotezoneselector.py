"""Choose relays in other availability zones; no I/O or clock."""

import functools
from collections.abc import Iterable
from random import Random

from linnetwood.fleet.cooldown import Cooldown
from linnetwood.fleet.members import hash64

# A relay of a zone has a connection to one entry of each of this many other
# zones, however many there are. An idle connection takes 0.3 KB/s.
ZONES_SUBSCRIBED = 4
# The first entries of a zone get the list of other zones once a second, and one
# further entry at random each time: each of 20 about every 5 s.
_EXPIRES_AFTER_S = 20.0
# Ranks are looked up at each update; this is enough for the largest zones.
_RANK_CACHE_SIZE = 1024


class RemoteZoneSelector:
    """Hold some entries of each other zone, in an order all agree on."""

    __slots__ = ('_cooldown', '_me', '_preferred', '_seen_at')

    def __init__(self, me: str, rng: Random) -> None:
        """Start with no entry of any zone."""
        self._me = me
        self._seen_at: dict[str, dict[str, float]] = {}
        self._preferred: dict[str, tuple[str, ...]] = {}
        self._cooldown = Cooldown(rng)

    def note_seen(self, zone: str, hosts: Iterable[str], now: float) -> None:
        """Note entries of a zone that were seen at a time."""
        seen = self._seen_at.setdefault(zone, {})
        seen.update((host, now) for host in hosts)

    def zones(self, now: float) -> list[str]:
        """Return the zones to subscribe to: each entry draws its own."""
        self._expire(now)
        drawn = sorted(
            self._seen_at,
            key=lambda zone: hash64(f'{self._me}|{zone}'),
        )
        return drawn[:ZONES_SUBSCRIBED]

    def choose(
        self, zone: str, now: float, *, second: bool = False
    ) -> str | None:
        """Return the entry of a zone to subscribe to, or None.

        second asks for the second of these, if there are two.
        """
        hosts = sorted(self._seen_at.get(zone, ()), key=relay_rank)
        available = [
            host
            for host in dict.fromkeys((*self._preferred.get(zone, ()), *hosts))
            if self._cooldown.is_available(host, now)
        ]
        if second and len(available) > 1:
            return available[1]
        return next(iter(available), None)

    def prefer(self, zone: str, hosts: tuple[str, ...]) -> None:
        """Prefer the entries that a relay of a zone names in its place."""
        self._preferred[zone] = hosts

    def note_failure(self, host: str, now: float) -> None:
        """Begin a cooldown of an entry that failed."""
        self._cooldown.note_failure(host, now)

    def note_success(self, host: str) -> None:
        """Forget the failures of an entry that sends updates."""
        self._cooldown.note_success(host)

    def _expire(self, now: float) -> None:
        for zone, seen in tuple(self._seen_at.items()):
            kept = {
                host: seen_at
                for host, seen_at in seen.items()
                if now - seen_at < _EXPIRES_AFTER_S
            }
            if kept:
                self._seen_at[zone] = kept
            else:
                self._seen_at.pop(zone)
                self._preferred.pop(zone, None)
        for host in self._cooldown.hosts() - self._all_hosts():
            self._cooldown.forget(host)

    def _all_hosts(self) -> set[str]:
        seen = {
            host for zone_hosts in self._seen_at.values() for host in zone_hosts
        }
        return seen.union(*self._preferred.values())


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def relay_rank(host: str) -> tuple[int, str]:
    """Return an entry's rank in its zone, which all entries agree on."""
    return hash64(f'tell|{host}'), host
