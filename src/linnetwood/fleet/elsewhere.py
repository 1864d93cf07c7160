"""Which entries of other availability zones to hear; no I/O or clock."""

import functools
from collections.abc import Iterable
from random import Random

from linnetwood.fleet.members import hash64
from linnetwood.fleet.resting import Resting

# An entry that a zone hears has a connection to one entry of each of so many
# other zones, whatever their number. An idle one is 0.3 KB a second.
ZONES_HEARD = 4
# The first of a zone are told of others once a second, one more at each telling
# by chance: each of 20 about every fifth second.
_GONE_S = 20.0
# Places are asked for at each word of a neighbour; those of the largest zones.
_PLACES_KEPT = 1024


class Elsewhere:
    """Hold some entries of each other zone, in an order all agree on."""

    __slots__ = ('_heard_at', '_me', '_rather', '_resting')

    def __init__(self, me: str, rng: Random) -> None:
        """Know nobody."""
        self._me = me
        self._heard_at: dict[str, dict[str, float]] = {}
        self._rather: dict[str, tuple[str, ...]] = {}
        self._resting = Resting(rng)

    def heard(self, zone: str, hosts: Iterable[str], now: float) -> None:
        """Take in who is there in a zone."""
        known = self._heard_at.setdefault(zone, {})
        known.update((host, now) for host in hosts)

    def zones(self, now: float) -> list[str]:
        """Give the zones to hear: each entry draws its own."""
        self._expire(now)
        drawn = sorted(
            self._heard_at,
            key=lambda zone: hash64(f'{self._me}|{zone}'),
        )
        return drawn[:ZONES_HEARD]

    def choose(self, zone: str, now: float) -> str | None:
        """Give whom to hear of a zone, or nobody."""
        known = sorted(self._heard_at.get(zone, ()), key=teller_place)
        awake = (
            host
            for host in (*self._rather.get(zone, ()), *known)
            if self._resting.awake(host, now)
        )
        return next(awake, None)

    def rather(self, zone: str, hosts: tuple[str, ...]) -> None:
        """Prefer those that an entry of a zone hears itself."""
        self._rather[zone] = hosts

    def failed(self, host: str, now: float) -> None:
        """Leave an entry alone for a while."""
        self._resting.failed(host, now)

    def told(self, host: str) -> None:
        """Forget the failures of one that tells."""
        self._resting.told(host)

    def _expire(self, now: float) -> None:
        for zone, known in tuple(self._heard_at.items()):
            kept = {
                host: heard_at
                for host, heard_at in known.items()
                if now - heard_at < _GONE_S
            }
            if kept:
                self._heard_at[zone] = kept
            else:
                self._heard_at.pop(zone)
                self._rather.pop(zone, None)
        for host in self._resting.names() - self._everybody():
            self._resting.forget(host)

    def _everybody(self) -> set[str]:
        known = {host for one in self._heard_at.values() for host in one}
        return known.union(*self._rather.values())


@functools.lru_cache(maxsize=_PLACES_KEPT)
def teller_place(host: str) -> tuple[int, str]:
    """Give an entry's place among those of its zone, agreed by all."""
    return hash64(f'tell|{host}'), host
