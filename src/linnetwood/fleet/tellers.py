"""Which neighbour to hear the store's news from; no I/O or clock."""

from collections.abc import Iterable
from random import Random

from linnetwood.core.backoff import pause_s
from linnetwood.fleet.members import place_hash

# So many of an availability zone ask the store for all: one, and one more that
# takes over where the first is gone or hears nothing.
TELLERS = 2
# Endpoint processes tell once a second who is there.
_GONE_S = 3.0
# A neighbour that is only out of touch with the store is heard again soon: the
# store may be back for it, and one copy then serves the whole zone.
_STALE_S = 0.25
_PAUSE_FIRST_S = 0.25
_PAUSE_MOST_S = 4.0
_PAUSE_LEAST_SHARE = 0.5


class Tellers:
    """Hold the entries of one availability zone, in an order all agree on.

    An entry only hears those before it, so that news never goes in a circle,
    however much the entries' views of each other differ.
    """

    __slots__ = ('_failures', '_heard_at', '_me', '_resting_until', '_rng')

    def __init__(self, me: str, rng: Random) -> None:
        """Know nobody."""
        self._me = me
        self._rng = rng
        self._heard_at: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._resting_until: dict[str, float] = {}

    @property
    def known(self) -> bool:
        """Tell whether anybody is there to be heard."""
        return bool(self._before_me())

    def heard(self, hosts: Iterable[str], now: float) -> None:
        """Take in who is there."""
        for host in hosts:
            self._heard_at[host] = now

    def choose(self, now: float) -> str | None:
        """Give whom to hear, or nobody: then the store itself is asked."""
        self._settle(now)
        awake = (
            host
            for host in self._before_me()
            if self._resting_until.get(host, now) <= now
        )
        return next(awake, None)

    def failed(self, host: str, now: float) -> None:
        """Leave a neighbour alone for a while that did not tell."""
        failures = self._failures.get(host, 0)
        self._failures[host] = failures + 1
        self._resting_until[host] = now + pause_s(
            failures,
            self._rng,
            _PAUSE_FIRST_S,
            _PAUSE_MOST_S,
            _PAUSE_LEAST_SHARE,
        )

    def stale(self, host: str, now: float) -> None:
        """Look at another for a moment: this one hears nothing itself."""
        self._resting_until[host] = now + _STALE_S

    def told(self, host: str) -> None:
        """Forget the failures of a neighbour that tells."""
        self._failures.pop(host, None)

    def _before_me(self) -> list[str]:
        ranked = sorted({*self._heard_at, self._me}, key=_place)
        return ranked[: min(ranked.index(self._me), TELLERS)]

    def _settle(self, now: float) -> None:
        gone = [
            host
            for host, heard_at in self._heard_at.items()
            if now - heard_at >= _GONE_S
        ]
        for host in gone:
            for known in (
                self._heard_at,
                self._failures,
                self._resting_until,
            ):
                known.pop(host, None)


def _place(host: str) -> tuple[int, str]:
    return place_hash(f'tell|{host}'), host
