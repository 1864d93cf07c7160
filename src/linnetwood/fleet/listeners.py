"""Which entries hear an endpoint process, and since when; no I/O or clock."""

import dataclasses
from collections import defaultdict
from collections.abc import Sequence

from linnetwood.fleet.news import Address

# What a process sends and an entry receives at most: 80 reports of 50 bytes
# with their headers are 4 KB of the 7 KB a second that control may take.
_REPORTS_PER_S = 80
# The pace of small fleets; each report asks the engine of the VM once.
_LEAST_EVERY_S = 0.1
# Engines of other zones are the second choice: half as often will do.
_FAR_STRIDE = 2
# Whoever is due within this is told now, since ticks come a little early.
_EARLY_S = 0.02

# An entry greets once a second; four greetings missed, and it is told no more.
_GONE_S = 4.0
# So long an entry that just came is told what others know already: longer than
# a greeting and an answer take, should one datagram be lost.
_NEWCOMER_S = 1.5
# Of what an endpoint takes that names a limit, the part of those entries which
# do not hear it, where there are any.
UNHEARD_SHARE = 1 / 3
# What those of its own zone share of the rest, who send it most of its calls.
_NEAR_SHARE = 0.75
# Entries are counted by what greetings stand for, a little over or under.
_ALL_HEAR = 0.95
# Greetings come once a second: in a longer silence of all entries something may
# have been named that nobody told.
_GAP_S = 1.5


def report_every_s(zones: Sequence[str], own: str) -> float:
    """Give the pace of reports within a zone, for all those that take part."""
    near = zones.count(own)
    each = near + (len(zones) - near) / _FAR_STRIDE
    return max(_LEAST_EVERY_S, each / _REPORTS_PER_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
    """What an entry says of itself; its number starts anew with a process."""

    number: int
    zone: str = ''
    every_s: float = 0
    stands_for: float = 1


class _Listener:
    """One entry."""

    __slots__ = ('came_at', 'due_at', 'greeting', 'heard_at')

    def __init__(self, greeting: Greeting, now: float) -> None:
        self.greeting = greeting
        self.came_at = now
        self.heard_at = now
        self.due_at = now


class Listeners:
    """Hold the entries that greeted lately."""

    __slots__ = ('_heard_at', '_listeners', '_since')

    def __init__(self, now: float) -> None:
        """Know nobody."""
        self._listeners: dict[Address, _Listener] = {}
        self._since = now
        self._heard_at = now

    def heard(self, address: Address, greeting: Greeting, now: float) -> None:
        """Note a greeting."""
        if now - self._heard_at > _GAP_S:
            self._since = now
        self._heard_at = now
        known = self._listeners.get(address)
        if known is None or greeting.number < known.greeting.number:
            self._listeners[address] = _Listener(greeting, now)
        else:
            known.greeting = greeting
            known.heard_at = now

    def expire(self, now: float) -> None:
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
        return {one.greeting.zone for one in self._listeners.values()}

    def of_zone(self, zone: str) -> list[Address]:
        """Give those of an availability zone."""
        return [
            address
            for address, one in self._listeners.items()
            if one.greeting.zone == zone
        ]

    def entries(self, now: float) -> int:
        """Give how many entries there are; 0 while too few have greeted."""
        if self.told_for_s(now) < _GAP_S:
            return 0
        stand_for = (
            one.greeting.stands_for for one in self._listeners.values()
        )
        return round(sum(stand_for))

    def part(self, zone: str, now: float, *, near: bool) -> float:
        """Give what each of the own zone, or of the others, may send.

        It is a part of what the endpoint takes from all; 0 where it is not
        known who shares it.
        """
        entries = self.entries(now)
        if not entries:
            return 0
        heard = len(self._listeners)
        share = 1 if heard >= _ALL_HEAR * entries else 1 - UNHEARD_SHARE
        inside = len(self.of_zone(zone))
        if 0 < inside < heard:
            share *= _NEAR_SHARE if near else 1 - _NEAR_SHARE
            heard = inside if near else heard - inside
        return share / heard

    def every_s(self, zone: str) -> float:
        """Give the pace of reports to entries of the own zone, in seconds."""
        zones = [one.greeting.zone for one in self._listeners.values()]
        return report_every_s(zones, zone)

    def due(self, zone: str, now: float) -> dict[float, list[Address]]:
        """Give those to tell now, by when each is told again, in seconds.

        They are taken to be told.
        """
        near_s = self.every_s(zone)
        due: dict[float, list[Address]] = defaultdict(list)
        for address, one in self._listeners.items():
            if one.due_at > now + _EARLY_S:
                continue
            stride = 1 if one.greeting.zone == zone else _FAR_STRIDE
            every_s = stride * max(near_s, one.greeting.every_s)
            # Ticks that came late are not made up for all at once.
            one.due_at = max(one.due_at, now - every_s) + every_s
            due[every_s].append(address)
        return due

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
