"""Which neighbour to hear the store's news from; no I/O or clock."""

from collections.abc import Iterable
from random import Random

from linnetwood.fleet.remotezoneselector import RemoteZoneSelector, relay_rank
from linnetwood.fleet.cooldown import Cooldown

# So many of an availability zone ask the store for all: one, and one more that
# takes over where the first is gone or hears nothing.
RELAYS_PER_ZONE = 2
# Endpoint processes tell once a second who is there.
_EXPIRES_AFTER_S = 3.0
# All others rest together: which of them is asked is chance.
_OTHER_ENTRIES = ''


class RelaySelector:
    """Hold the entries of one availability zone, in an order all agree on.

    An entry hears those before it, so that news never goes in a circle, however
    much the entries' views of each other differ. One that the store turns away,
    and those before it too, borrows from any other, and passes nothing on.
    """

    __slots__ = ('_seen_at', '_cooldown', '_rng', 'remote_zones', 'me')

    def __init__(self, me: str, rng: Random) -> None:
        """Know nobody."""
        self.me = me
        self.remote_zones = RemoteZoneSelector(me, rng)
        self._rng = rng
        self._seen_at: dict[str, float] = {}
        self._cooldown = Cooldown(rng)

    @property
    def has_relays(self) -> bool:
        """Tell whether anybody is there to be heard."""
        return bool(self._first_choices())

    @property
    def relays(self) -> list[str]:
        """Give those that this entry hears."""
        return self._first_choices()

    @property
    def is_relay(self) -> bool:
        """Tell whether this entry is one of those that the zone hears."""
        return len(self._first_choices()) < RELAYS_PER_ZONE

    @property
    def stagger_position(self) -> int:
        """Give how many ask the store before this entry, if all tellers fail.

        Those that all others hear ask anyway, and are not counted.
        """
        earlier = sum(1 for host in self._seen_at if self.is_before(host))
        return max(0, earlier - RELAYS_PER_ZONE)

    def note_seen(self, hosts: Iterable[str], now: float) -> None:
        """Take in who is there."""
        for host in hosts:
            if host != self.me:
                self._seen_at[host] = now

    def is_known(self, host: str) -> bool:
        """Tell whether a neighbour is still there."""
        return host in self._seen_at

    def is_before(self, host: str) -> bool:
        """Tell whether a neighbour comes before this entry."""
        return relay_rank(host) < relay_rank(self.me)

    def is_first_choice(self, host: str) -> bool:
        """Tell whether a neighbour is one of those to hear first."""
        return host in self._first_choices()

    def choose(
        self,
        now: float,
        *,
        any_entry: bool = False,
        exclude: str = '',
    ) -> str | None:
        """Give whom to hear, or nobody: then the store itself is asked."""
        self._expire(now)
        available = (
            host
            for host in self._first_choices()
            if host != exclude and self._cooldown.is_available(host, now)
        )
        chosen = next(available, None)
        if chosen is None and any_entry:
            return self._choose_other(now, exclude)
        return chosen

    def note_failure(self, host: str, now: float) -> None:
        """Leave a neighbour alone for a while that knew nothing new."""
        self._cooldown.note_failure(
            host if self.is_first_choice(host) else _OTHER_ENTRIES, now
        )

    def note_success(self, host: str) -> None:
        """Forget the failures of a neighbour that tells."""
        self._cooldown.note_success(
            host if self.is_first_choice(host) else _OTHER_ENTRIES
        )

    def _first_choices(self) -> list[str]:
        ranked = sorted(filter(self.is_before, self._seen_at), key=relay_rank)
        return ranked[:RELAYS_PER_ZONE]

    def _choose_other(self, now: float, exclude: str) -> str | None:
        others = sorted(set(self._seen_at) - {*self._first_choices(), exclude})
        if not others or not self._cooldown.is_available(_OTHER_ENTRIES, now):
            return None
        return self._rng.choice(others)

    def _expire(self, now: float) -> None:
        expired = [
            host
            for host, seen_at in self._seen_at.items()
            if now - seen_at >= _EXPIRES_AFTER_S
        ]
        for host in expired:
            self._seen_at.pop(host)
            self._cooldown.forget(host)
