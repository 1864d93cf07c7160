"""Subscribe to the reports of engines, and send them wanted versions."""

import dataclasses
import itertools
from collections import defaultdict
from collections.abc import Callable, Mapping

from linnetwood.calls.candidates import Candidates, select_hosts
from linnetwood.calls.directory import Directory
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.routetable import Origin, RouteTable
from linnetwood.fleet.news import Address, NewsSocket
from linnetwood.fleet.peerlist import PeerListServer, ZonesByHost
from linnetwood.fleet.reportsubscribers import report_interval_s
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import EntryNews, News

_MILLISECONDS = 1000
_PERCENT = 100
# Messages hold integers of 32 bits; an origin's link may carry more bytes.
_MAX_SENT = 2147483647


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceSubscription:
    """The engines of a service, and the subscriptions by their zones."""

    places: ZonesByHost
    digest: int
    revision: int
    represents: Mapping[str, float]
    # With this interval all received reports stay within their bound.
    report_interval_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Announcement:
    """What subscriptions announce, without ages."""

    digests: Mapping[str, int]
    versions: Mapping[str, tuple[int, ...]]
    origin: Origin


def _unknown() -> int:
    return 0


class ReportSubscriptions:
    """Send subscriptions and wanted versions to endpoint processes."""

    def __init__(
        self,
        entry_host: str,
        zone: str,
        directory: Directory,
        candidates: Candidates,
        wanted: WantedVersions,
    ) -> None:
        """Subscribe as the entry of a host in an availability zone."""
        self.peers = PeerListServer()
        # The store revision that the directory reflects.
        self.revision: Callable[[], int] = _unknown
        self._entry_host = entry_host
        self._zone = zone
        self._directory = directory
        self._candidates = candidates
        self._wanted = wanted
        self._by_service: dict[str, _ServiceSubscription] = {}
        self._number = 0
        self._announced: _Announcement | None = None

    def is_same_zone(self, host: str) -> bool:
        """Return whether a host is an engine of this zone."""
        return any(
            subscription.places.get(host) == self._zone
            for subscription in self._by_service.values()
        )

    def has_changed(self, route_table: RouteTable) -> bool:
        """Return whether the announcement has changed since the last check.

        Most changes of the list are of load and warm-up, which subscriptions
        don't include.
        """
        self._refresh(route_table)
        digests = {
            name: subscription.digest
            for name, subscription in self._by_service.items()
        }
        announcement = _Announcement(
            digests, self._wanted.versions_by_model(), route_table.origin
        )
        previous = self._announced
        self._announced = announcement
        return announcement != previous

    def send(
        self,
        route_table: RouteTable,
        now: float,
        news: NewsSocket,
        port: int,
    ) -> None:
        """Send a subscription to the selected engines of each service."""
        self._refresh(route_table)
        self._number += 1
        for service, subscription in self._by_service.items():
            engine = route_table.services[service].engine
            if engine is not None:
                message = self._message(
                    service, engine, route_table.origin, now
                )
                self._send(message, subscription, news, port)

    def _refresh(self, route_table: RouteTable) -> None:
        """Select engines anew for services whose engines have changed."""
        previous = self._by_service
        self._by_service = {
            service.name: subscription
            for service in route_table.services.values()
            if service.engine is not None
            and (subscription := self._subscribed_of(service.name, previous))
            is not None
        }
        if self._by_service != previous:
            represents = [
                subscription.represents
                for subscription in self._by_service.values()
            ]
            self._candidates.prefer_hosts(
                itertools.chain.from_iterable(represents)
            )

    def _subscribed_of(
        self,
        service: str,
        previous: Mapping[str, _ServiceSubscription],
    ) -> _ServiceSubscription | None:
        listed = list(self._directory.of_service(service))
        for known in listed:
            self._wanted.add_serving(known.versions.items())
        places = {endpoint.host: endpoint.zone for endpoint in listed}
        subscription = previous.get(service)
        if subscription is not None and subscription.places == places:
            return subscription
        return self._select(places) if places else None

    def _select(self, places: ZonesByHost) -> _ServiceSubscription:
        revision = self.revision()
        represents = select_hosts(self._entry_host, self._zone, places)
        return _ServiceSubscription(
            places,
            self.peers.update(places, revision),
            revision,
            represents,
            report_interval_s(
                [places[host] for host in represents], self._zone
            ),
        )

    def _message(
        self,
        service: str,
        engine: EngineProfile,
        origin: Origin,
        now: float,
    ) -> EntryNews:
        return EntryNews(
            number=self._number,
            wanted=self._wanted.to_messages(service, engine.models, now),
            origin=f'{origin.host}:{origin.port}' if origin.host else '',
            chunk_bytes=min(engine.chunk_bytes, _MAX_SENT),
            chunks=min(engine.chunks, _MAX_SENT),
            origin_bytes_per_s=int(min(origin.bytes_per_s, _MAX_SENT)),
            zone=self._zone,
        )

    def _send(
        self,
        message: EntryNews,
        subscription: _ServiceSubscription,
        news: NewsSocket,
        port: int,
    ) -> None:
        message.peers_digest = subscription.digest
        message.peers_revision = subscription.revision
        message.every_ms = int(subscription.report_interval_s * _MILLISECONDS)
        # Hosts with the same share get the same encoded message.
        hosts_by_share: dict[int, list[Address]] = defaultdict(list)
        for host, represents in subscription.represents.items():
            hosts_by_share[round(represents * _PERCENT)].append((host, port))
        for stands_for_pct, addresses in hosts_by_share.items():
            message.stands_for_pct = stands_for_pct
            news.send(News(entry=message), addresses)
