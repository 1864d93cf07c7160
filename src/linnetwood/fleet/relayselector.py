"""Choose the relay of the own availability zone; no I/O or clock."""

from collections.abc import Iterable
from random import Random

from linnetwood.fleet.cooldown import Cooldown
from linnetwood.fleet.remotezoneselector import RemoteZoneSelector, relay_rank

# The number of entries of an availability zone that request the store for all:
# one, and another that takes over if the first is gone or isolated.
RELAYS_PER_ZONE = 2
# Endpoint processes name the zone's entries once a second.
_EXPIRES_AFTER_S = 3.0
# All other entries share one cooldown: which of them is tried is random.
_OTHER_ENTRIES = ''


class RelaySelector:
    """Hold the entries of one availability zone, in an order all agree on.

    An entry subscribes to entries before it, so that updates never go in a
    circle, however much the entries' lists of each other differ. An entry that
    the store refuses, as it does those before it, uses any other entry as a
    fallback relay and passes no ages on.
    """

    __slots__ = ('_cooldown', '_rng', '_seen_at', 'me', 'remote_zones')

    def __init__(self, me: str, rng: Random) -> None:
        """Start with no other entry."""
        self.me = me
        self.remote_zones = RemoteZoneSelector(me, rng)
        self._rng = rng
        self._seen_at: dict[str, float] = {}
        self._cooldown = Cooldown(rng)

    @property
    def has_relays(self) -> bool:
        """Return whether there is a relay to subscribe to."""
        return bool(self._first_choices())

    @property
    def relays(self) -> list[str]:
        """Return the relays of this entry, the first choice first."""
        return self._first_choices()

    @property
    def is_relay(self) -> bool:
        """Return whether this entry is one of the zone's relays."""
        return len(self._first_choices()) < RELAYS_PER_ZONE

    @property
    def stagger_position(self) -> int:
        """Return how many entries request the store first if all relays fail.

        The zone's relays, which send requests anyway, are not counted.
        """
        earlier = sum(1 for host in self._seen_at if self.is_before(host))
        return max(0, earlier - RELAYS_PER_ZONE)

    def note_seen(self, hosts: Iterable[str], now: float) -> None:
        """Note entries of the zone that were seen at a time."""
        for host in hosts:
            if host != self.me:
                self._seen_at[host] = now

    def is_known(self, host: str) -> bool:
        """Return whether an entry of the zone was seen lately."""
        return host in self._seen_at

    def is_before(self, host: str) -> bool:
        """Return whether another entry comes before this one."""
        return relay_rank(host) < relay_rank(self.me)

    def is_first_choice(self, host: str) -> bool:
        """Return whether another entry is one of this entry's relays."""
        return host in self._first_choices()

    def choose(
        self,
        now: float,
        *,
        any_entry: bool = False,
        exclude: str = '',
    ) -> str | None:
        """Return the relay to subscribe to, or None: then request the store.

        any_entry allows a fallback relay; exclude is never returned.
        """
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
        """Begin a cooldown of an entry that failed or knew nothing new."""
        if self.is_first_choice(host):
            self._cooldown.note_failure(host, now)
            return
        if not self.has_relays:
            # It has no relay to wait for, and others follow it: however long
            # its neighbours know nothing new, the next one may.
            self._cooldown.forget(_OTHER_ENTRIES)
        self._cooldown.note_failure(_OTHER_ENTRIES, now)

    def note_success(self, host: str) -> None:
        """Forget the failures of an entry that sends good updates."""
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
