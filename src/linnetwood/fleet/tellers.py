"""Which neighbour to hear the store's news from; no I/O or clock."""

from collections.abc import Iterable
from random import Random

from linnetwood.fleet.elsewhere import Elsewhere, teller_place
from linnetwood.fleet.resting import Resting

# So many of an availability zone ask the store for all: one, and one more that
# takes over where the first is gone or hears nothing.
TELLERS = 2
# Endpoint processes tell once a second who is there.
_GONE_S = 3.0
# All others rest together: which of them is asked is chance.
_ANYBODY = ''


class Tellers:
    """Hold the entries of one availability zone, in an order all agree on.

    An entry hears those before it, so that news never goes in a circle, however
    much the entries' views of each other differ. One that the store turns away,
    and those before it too, borrows from any other, and passes nothing on.
    """

    __slots__ = ('_heard_at', '_resting', '_rng', 'elsewhere', 'me')

    def __init__(self, me: str, rng: Random) -> None:
        """Know nobody."""
        self.me = me
        self.elsewhere = Elsewhere(me, rng)
        self._rng = rng
        self._heard_at: dict[str, float] = {}
        self._resting = Resting(rng)

    @property
    def known(self) -> bool:
        """Tell whether anybody is there to be heard."""
        return bool(self._first())

    @property
    def first(self) -> list[str]:
        """Give those that this entry hears."""
        return self._first()

    @property
    def leading(self) -> bool:
        """Tell whether this entry is one of those that the zone hears."""
        return len(self._first()) < TELLERS

    @property
    def behind(self) -> int:
        """Give how many ask the store before this entry, if all tellers fail.

        Those that all others hear ask anyway, and are not counted.
        """
        earlier = sum(1 for host in self._heard_at if self.before(host))
        return max(0, earlier - TELLERS)

    def heard(self, hosts: Iterable[str], now: float) -> None:
        """Take in who is there."""
        for host in hosts:
            if host != self.me:
                self._heard_at[host] = now

    def knows(self, host: str) -> bool:
        """Tell whether a neighbour is still there."""
        return host in self._heard_at

    def before(self, host: str) -> bool:
        """Tell whether a neighbour comes before this entry."""
        return teller_place(host) < teller_place(self.me)

    def leads(self, host: str) -> bool:
        """Tell whether a neighbour is one of those to hear first."""
        return host in self._first()

    def choose(
        self,
        now: float,
        *,
        widely: bool = False,
        but: str = '',
    ) -> str | None:
        """Give whom to hear, or nobody: then the store itself is asked."""
        self._settle(now)
        awake = (
            host
            for host in self._first()
            if host != but and self._resting.awake(host, now)
        )
        chosen = next(awake, None)
        if chosen is None and widely:
            return self._any(now, but)
        return chosen

    def failed(self, host: str, now: float) -> None:
        """Leave a neighbour alone for a while that knew nothing new."""
        self._resting.failed(host if self.leads(host) else _ANYBODY, now)

    def told(self, host: str) -> None:
        """Forget the failures of a neighbour that tells."""
        self._resting.told(host if self.leads(host) else _ANYBODY)

    def _first(self) -> list[str]:
        ranked = sorted(filter(self.before, self._heard_at), key=teller_place)
        return ranked[:TELLERS]

    def _any(self, now: float, but: str) -> str | None:
        others = sorted(set(self._heard_at) - {*self._first(), but})
        if not others or not self._resting.awake(_ANYBODY, now):
            return None
        return self._rng.choice(others)

    def _settle(self, now: float) -> None:
        gone = [
            host
            for host, heard_at in self._heard_at.items()
            if now - heard_at >= _GONE_S
        ]
        for host in gone:
            self._heard_at.pop(host)
            self._resting.forget(host)
