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
_OTHER_ZONE_STRIDE = 2
# Whoever is due within this is told now, since ticks come a little early.
_DUE_EARLY_S = 0.02

# An entry greets once a second; four greetings missed, and it is told no more.
_EXPIRES_AFTER_S = 4.0
# So long an entry that just came is told what others know already: longer than
# a greeting and an answer take, should one datagram be lost.
_NEW_FOR_S = 1.5
# Of what an endpoint takes that names a limit, the part of those entries which
# do not hear it, where there are any.
UNSUBSCRIBED_SHARE = 1 / 3
# What those of its own zone share of the rest, who send it most of its calls.
_OWN_ZONE_SHARE = 0.75
# Entries are counted by what greetings stand for, a little over or under.
_ALL_SUBSCRIBED_SHARE = 0.95
# Greetings come once a second: in a longer silence of all entries something may
# have been named that nobody told.
_GAP_S = 1.5


def report_every_s(zones: Sequence[str], own: str) -> float:
    """Give the pace of reports within a zone, for all those that take part."""
    near = zones.count(own)
    each = near + (len(zones) - near) / _OTHER_ZONE_STRIDE
    return max(_LEAST_EVERY_S, each / _REPORTS_PER_S)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSubscription:
    """What an entry says of itself; its number starts anew with a process."""

    number: int
    zone: str = ''
    every_s: float = 0
    represents: float = 1


class _Subscriber:
    """One entry."""

    __slots__ = ('subscribed_at', 'report_due_at', 'subscription', 'renewed_at')

    def __init__(self, greeting: ReportSubscription, now: float) -> None:
        self.subscription = greeting
        self.subscribed_at = now
        self.renewed_at = now
        self.report_due_at = now


class ReportSubscribers:
    """Hold the entries that greeted lately."""

    __slots__ = ('_renewed_at', '_subscribers', '_unbroken_since')

    def __init__(self, now: float) -> None:
        """Know nobody."""
        self._subscribers: dict[Address, _Subscriber] = {}
        self._unbroken_since = now
        self._renewed_at = now

    def subscribe(
        self, address: Address, greeting: ReportSubscription, now: float
    ) -> None:
        """Note a greeting."""
        if now - self._renewed_at > _GAP_S:
            self._unbroken_since = now
        self._renewed_at = now
        known = self._subscribers.get(address)
        if known is None or greeting.number < known.subscription.number:
            self._subscribers[address] = _Subscriber(greeting, now)
        else:
            known.subscription = greeting
            known.renewed_at = now

    def expire(self, now: float) -> None:
        """Forget those that have gone."""
        self._subscribers = {
            address: one
            for address, one in self._subscribers.items()
            if now - one.renewed_at < _EXPIRES_AFTER_S
        }

    def addresses(self) -> list[Address]:
        """Give all of them."""
        return list(self._subscribers)

    def zones(self) -> set[str]:
        """Give the availability zones of all of them."""
        return {one.subscription.zone for one in self._subscribers.values()}

    def in_zone(self, zone: str) -> list[Address]:
        """Give those of an availability zone."""
        return [
            address
            for address, one in self._subscribers.items()
            if one.subscription.zone == zone
        ]

    def entry_count(self, now: float) -> int:
        """Give how many entries there are; 0 while too few have greeted."""
        if self.unbroken_for_s(now) < _GAP_S:
            return 0
        stand_for = (
            one.subscription.represents for one in self._subscribers.values()
        )
        return round(sum(stand_for))

    def quota_share(self, zone: str, now: float, *, near: bool) -> float:
        """Give what each of the own zone, or of the others, may send.

        It is a part of what the endpoint takes from all; 0 where it is not
        known who shares it.
        """
        entries = self.entry_count(now)
        if not entries:
            return 0
        heard = len(self._subscribers)
        share = (
            1
            if heard >= _ALL_SUBSCRIBED_SHARE * entries
            else 1 - UNSUBSCRIBED_SHARE
        )
        inside = len(self.in_zone(zone))
        if 0 < inside < heard:
            share *= _OWN_ZONE_SHARE if near else 1 - _OWN_ZONE_SHARE
            heard = inside if near else heard - inside
        return share / heard

    def own_zone_every_s(self, zone: str) -> float:
        """Give the pace of reports to entries of the own zone, in seconds."""
        zones = [one.subscription.zone for one in self._subscribers.values()]
        return report_every_s(zones, zone)

    def take_due(self, zone: str, now: float) -> dict[float, list[Address]]:
        """Give those to tell now, by when each is told again, in seconds.

        They are taken to be told.
        """
        near_s = self.own_zone_every_s(zone)
        due: dict[float, list[Address]] = defaultdict(list)
        for address, one in self._subscribers.items():
            if one.report_due_at > now + _DUE_EARLY_S:
                continue
            stride = 1 if one.subscription.zone == zone else _OTHER_ZONE_STRIDE
            every_s = stride * max(near_s, one.subscription.every_s)
            # Ticks that came late are not made up for all at once.
            one.report_due_at = max(one.report_due_at, now - every_s) + every_s
            due[every_s].append(address)
        return due

    def new_subscribers(self, now: float) -> list[Address]:
        """Give those that came just now."""
        return [
            address
            for address, one in self._subscribers.items()
            if now - one.subscribed_at < _NEW_FOR_S
        ]

    def unbroken_for_s(self, now: float) -> float:
        """Give for how long entries have greeted without a gap, in seconds."""
        return now - self._unbroken_since
