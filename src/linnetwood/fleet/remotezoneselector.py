"""Which entries of other availability zones to hear; no I/O or clock."""

import functools
from collections.abc import Iterable
from random import Random

from linnetwood.fleet.members import hash64
from linnetwood.fleet.cooldown import Cooldown

# An entry that a zone hears has a connection to one entry of each of so many
# other zones, whatever their number. An idle one is 0.3 KB a second.
ZONES_SUBSCRIBED = 4
# The first of a zone are told of others once a second, one more at each telling
# by chance: each of 20 about every fifth second.
_EXPIRES_AFTER_S = 20.0
# Places are asked for at each word of a neighbour; those of the largest zones.
_RANK_CACHE_SIZE = 1024


class RemoteZoneSelector:
    """Hold some entries of each other zone, in an order all agree on."""

    __slots__ = ('_seen_at', '_me', '_preferred', '_cooldown')

    def __init__(self, me: str, rng: Random) -> None:
        """Know nobody."""
        self._me = me
        self._seen_at: dict[str, dict[str, float]] = {}
        self._preferred: dict[str, tuple[str, ...]] = {}
        self._cooldown = Cooldown(rng)

    def note_seen(self, zone: str, hosts: Iterable[str], now: float) -> None:
        """Take in who is there in a zone."""
        seen = self._seen_at.setdefault(zone, {})
        seen.update((host, now) for host in hosts)

    def zones(self, now: float) -> list[str]:
        """Give the zones to hear: each entry draws its own."""
        self._expire(now)
        drawn = sorted(
            self._seen_at,
            key=lambda zone: hash64(f'{self._me}|{zone}'),
        )
        return drawn[:ZONES_SUBSCRIBED]

    def choose(self, zone: str, now: float) -> str | None:
        """Give whom to hear of a zone, or nobody."""
        hosts = sorted(self._seen_at.get(zone, ()), key=relay_rank)
        available = (
            host
            for host in (*self._preferred.get(zone, ()), *hosts)
            if self._cooldown.is_available(host, now)
        )
        return next(available, None)

    def prefer(self, zone: str, hosts: tuple[str, ...]) -> None:
        """Prefer those that an entry of a zone hears itself."""
        self._preferred[zone] = hosts

    def note_failure(self, host: str, now: float) -> None:
        """Leave an entry alone for a while."""
        self._cooldown.note_failure(host, now)

    def note_success(self, host: str) -> None:
        """Forget the failures of one that tells."""
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
        for host in self._cooldown.names() - self._all_hosts():
            self._cooldown.forget(host)

    def _all_hosts(self) -> set[str]:
        seen = {
            host for zone_hosts in self._seen_at.values() for host in zone_hosts
        }
        return seen.union(*self._preferred.values())


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def relay_rank(host: str) -> tuple[int, str]:
    """Give an entry's place among those of its zone, agreed by all."""
    return hash64(f'tell|{host}'), host
