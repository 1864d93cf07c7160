"""Entries that subscribe to an endpoint's load reports; no I/O or clock."""

import dataclasses
from collections import defaultdict
from collections.abc import Collection, Sequence

from linnetwood.fleet.news import Address

# The most that a process sends and that an entry receives: 80 reports of 50
# bytes with their headers are 4 KB a second, of the 7 KB a second that control
# traffic may take.
_REPORTS_PER_S = 80
# The interval in small fleets. It is not shorter because each report costs a
# request to the VM's engine.
_MIN_INTERVAL_S = 0.1
# Entries of other zones get every second report only: they send calls here
# only as a second choice.
_OTHER_ZONE_STRIDE = 2
# A report due within this time is sent now, since ticks may come early.
_DUE_EARLY_S = 0.02

# Entries renew their subscription once a second. It expires after 4 missed
# renewals.
_EXPIRES_AFTER_S = 4.0
# For this time after its first subscription an entry is also sent what the
# others know already. That is longer than a subscription and its answer take
# if one datagram is lost.
_NEW_FOR_S = 1.5
# The share of an endpoint's rate limit for entries that do not subscribe to its
# reports, where there are any.
UNSUBSCRIBED_SHARE = 1 / 3
# The share of the rest for entries of its own zone, which send it most of its
# calls.
_OWN_ZONE_SHARE = 0.75
# From this share on, all entries count as subscribed. Entries are counted by
# what their subscriptions represent, and this count may be slightly off.
_ALL_SUBSCRIBED_SHARE = 0.95
# Subscriptions are renewed once a second. In a longer silence of all entries a
# version may have been named without this endpoint receiving it.
_GAP_S = 1.5


def report_interval_s(zones: Sequence[str], own: str) -> float:
    """Return the interval of reports within the own zone, in seconds.

    The zones are those of all processes that take part.
    """
    near = zones.count(own)
    reports = near + (len(zones) - near) / _OTHER_ZONE_STRIDE
    return max(_MIN_INTERVAL_S, reports / _REPORTS_PER_S)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSubscription:
    """What an entry sends to subscribe or to renew.

    The number grows with each datagram and starts anew with the entry's
    process. Reports are to come every `interval_s` seconds or less often. Where
    each entry subscribes to some endpoints only, one represents several
    entries: `represents` says how many. The models are those of the entry's
    configuration, as far as it names any; of the unknown ones it knows no
    version.
    """

    number: int
    zone: str = ''
    interval_s: float = 0
    represents: float = 1
    models: frozenset[str] = frozenset()
    unknown_models: frozenset[str] = frozenset()


class _Subscriber:
    """One entry that subscribes."""

    __slots__ = ('renewed_at', 'report_due_at', 'subscribed_at', 'subscription')

    def __init__(self, subscription: ReportSubscription, now: float) -> None:
        self.subscription = subscription
        self.subscribed_at = now
        self.renewed_at = now
        self.report_due_at = now


class ReportSubscribers:
    """Hold the entries whose subscriptions have not expired.

    Times are in seconds of one monotonic clock.
    """

    __slots__ = ('_renewed_at', '_subscribers', '_unbroken_since')

    def __init__(self, now: float) -> None:
        """Start without subscribers."""
        self._subscribers: dict[Address, _Subscriber] = {}
        self._unbroken_since = now
        self._renewed_at = now

    def subscribe(
        self, address: Address, subscription: ReportSubscription, now: float
    ) -> None:
        """Add or renew the subscription of the entry at an address."""
        if now - self._renewed_at > _GAP_S:
            self._unbroken_since = now
        self._renewed_at = now
        known = self._subscribers.get(address)
        if known is None or subscription.number < known.subscription.number:
            self._subscribers[address] = _Subscriber(subscription, now)
        else:
            known.subscription = subscription
            known.renewed_at = now

    def expire(self, now: float) -> None:
        """Remove the subscribers that did not renew in time."""
        self._subscribers = {
            address: subscriber
            for address, subscriber in self._subscribers.items()
            if now - subscriber.renewed_at < _EXPIRES_AFTER_S
        }

    def addresses(self) -> list[Address]:
        """Return the addresses of all subscribers."""
        return list(self._subscribers)

    def zones(self) -> set[str]:
        """Return the availability zones of all subscribers."""
        return {
            subscriber.subscription.zone
            for subscriber in self._subscribers.values()
        }

    def in_zone(self, zone: str) -> list[Address]:
        """Return the addresses of the subscribers in an availability zone."""
        return [
            address
            for address, subscriber in self._subscribers.items()
            if subscriber.subscription.zone == zone
        ]

    def entry_count(self, now: float) -> int:
        """Return how many entries there are; 0 while that is not known.

        It is not known until entries have subscribed for 1.5 s without a gap.
        """
        if self.unbroken_for_s(now) < _GAP_S:
            return 0
        represented = (
            subscriber.subscription.represents
            for subscriber in self._subscribers.values()
        )
        return round(sum(represented))

    def quota_share(self, zone: str, now: float, *, near: bool) -> float:
        """Return the quota of each entry of the own zone, or of the others.

        It is a share of the endpoint's rate limit; 0 while it is not known how
        many entries share the limit.
        """
        entries = self.entry_count(now)
        if not entries:
            return 0
        sharing = len(self._subscribers)
        share = (
            1
            if sharing >= _ALL_SUBSCRIBED_SHARE * entries
            else 1 - UNSUBSCRIBED_SHARE
        )
        inside = len(self.in_zone(zone))
        if 0 < inside < sharing:
            share *= _OWN_ZONE_SHARE if near else 1 - _OWN_ZONE_SHARE
            sharing = inside if near else sharing - inside
        return share / sharing

    def own_zone_interval_s(self, own_zone: str) -> float:
        """Return the interval of reports to entries of the own zone, in s."""
        zones = [
            subscriber.subscription.zone
            for subscriber in self._subscribers.values()
        ]
        return report_interval_s(zones, own_zone)

    def take_due(self, zone: str, now: float) -> dict[float, list[Address]]:
        """Return the addresses to report to now, by their interval in seconds.

        The next report to each of them is scheduled one interval later.
        """
        near_s = self.own_zone_interval_s(zone)
        due: dict[float, list[Address]] = defaultdict(list)
        for address, subscriber in self._subscribers.items():
            if subscriber.report_due_at > now + _DUE_EARLY_S:
                continue
            stride = (
                1
                if subscriber.subscription.zone == zone
                else _OTHER_ZONE_STRIDE
            )
            interval_s = stride * max(
                near_s, subscriber.subscription.interval_s
            )
            # Reports missed by late ticks are not sent all at once.
            subscriber.report_due_at = (
                max(subscriber.report_due_at, now - interval_s) + interval_s
            )
            due[interval_s].append(address)
        return due

    def new_subscribers(
        self, known_models: Collection[str], now: float
    ) -> list[Address]:
        """Return the addresses that subscribed just now and use these models.

        An entry that names no models may use any of them.
        """
        return [
            address
            for address, subscriber in self._subscribers.items()
            if now - subscriber.subscribed_at < _NEW_FOR_S
            and _uses(subscriber.subscription.models, known_models)
        ]

    def lacking(self, known_models: Collection[str]) -> list[Address]:
        """Return the addresses that know no version of one of these models."""
        return [
            address
            for address, subscriber in self._subscribers.items()
            if not subscriber.subscription.unknown_models.isdisjoint(
                known_models
            )
        ]

    def unbroken_for_s(self, now: float) -> float:
        """Return for how many seconds entries have subscribed without a gap."""
        return now - self._unbroken_since


def _uses(named: frozenset[str], known_models: Collection[str]) -> bool:
    return not named or not named.isdisjoint(known_models)
