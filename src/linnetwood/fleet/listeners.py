"""Which entries hear an endpoint process, and since when; no I/O or clock."""

from linnetwood.fleet.news import Address

# An entry greets once a second; four greetings missed, and it is told no more.
_GONE_S = 4.0
# So long an entry that just came is told what others know already: longer than
# a greeting and an answer take, should one datagram be lost.
_NEWCOMER_S = 1.5
# Greetings come once a second: in a longer silence of all entries something may
# have been named that nobody told.
_GAP_S = 1.5


class _Listener:
    """One entry."""

    __slots__ = ('came_at', 'heard_at', 'number', 'zone')

    def __init__(self, number: int, zone: str, now: float) -> None:
        self.number = number
        self.zone = zone
        self.came_at = now
        self.heard_at = now


class Listeners:
    """Hold the entries that greeted lately."""

    __slots__ = ('_heard_at', '_listeners', '_since')

    def __init__(self, now: float) -> None:
        """Know nobody."""
        self._listeners: dict[Address, _Listener] = {}
        self._since = now
        self._heard_at = now

    def heard(
        self,
        address: Address,
        number: int,
        now: float,
        zone: str = '',
    ) -> None:
        """Note a greeting; a number that starts anew is a new process."""
        if now - self._heard_at > _GAP_S:
            self._since = now
        self._heard_at = now
        known = self._listeners.get(address)
        if known is None or number < known.number:
            self._listeners[address] = _Listener(number, zone, now)
        else:
            known.number = number
            known.heard_at = now

    def settle(self, now: float) -> None:
        """Forget those that have gone."""
        self._listeners = {
            address: one
            for address, one in self._listeners.items()
            if now - one.heard_at < _GONE_S
        }

    def addresses(self) -> list[Address]:
        """Give all of them."""
        return list(self._listeners)

    def zones(self) -> set[str]:
        """Give the availability zones of all of them."""
        return {one.zone for one in self._listeners.values()}

    def of_zone(self, zone: str) -> list[Address]:
        """Give those of an availability zone."""
        return [
            address
            for address, one in self._listeners.items()
            if one.zone == zone
        ]

    def newcomers(self, now: float) -> list[Address]:
        """Give those that came just now."""
        return [
            address
            for address, one in self._listeners.items()
            if now - one.came_at < _NEWCOMER_S
        ]

    def told_for_s(self, now: float) -> float:
        """Give for how long entries have greeted without a gap, in seconds."""
        return now - self._since
