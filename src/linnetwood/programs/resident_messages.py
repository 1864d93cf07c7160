"""Datagrams between an endpoint process, entries and other endpoints."""

from collections.abc import Iterator
from random import Random

from linnetwood.calls.candidates import MAX_SAME_ZONE
from linnetwood.core.clock import Clock
from linnetwood.core.events import Event, log
from linnetwood.fleet.hosts import pack
from linnetwood.fleet.latestnotice import LatestNotice
from linnetwood.fleet.news import Address, NewsSocket
from linnetwood.fleet.peerlist import PeerListClient
from linnetwood.fleet.remotezoneselector import relay_rank
from linnetwood.fleet.reportsubscribers import (
    ReportSubscribers,
    ReportSubscription,
)
from linnetwood.fleet.wanted import UNKNOWN_VERSION, WantedVersions
from linnetwood.gen.wire.ttypes import (
    EngineNews,
    EntryNews,
    HeldNotice,
    NeighbourNews,
    News,
    ZoneHosts,
)
from linnetwood.platform.settings import ProcessSettings, address
from linnetwood.platform.weights import PlatformOrigin
from linnetwood.weights.engine import EngineReport
from linnetwood.weights.follower import VersionFollower
from linnetwood.weights.inboundlink import InboundLink
from linnetwood.wire.connections import TcpDialler

_MILLISECONDS = 1000
_MILLION = 1000000
_THOUSAND = 1000
_PERCENT = 100
_HELD_MIN_INTERVAL_S = 0.1
# Unchanged notices are sent again, since datagrams may be lost, at growing
# intervals.
_HELD_RESEND_S = 1.0
_HELD_MAX_RESEND_S = 4.0
# Entries forget a neighbour that three of these lists don't name.
_NEIGHBOURS_INTERVAL_S = 1.0
# Expected number of endpoint processes of a zone that send a list each time. No
# list is sent three times in a row with a probability of e**-12.
_NEIGHBOURS_SENDERS = 4
# Entries named of each other zone.
_MAX_PER_OTHER_ZONE = 3
# This many addresses fit into one datagram.
_MAX_NEIGHBOURS = 64
# The share of the link that a transfer uses.
_TRANSFER_SHARE = 0.72


class EndpointMessenger:
    """Exchange datagrams with entries and peers."""

    def __init__(
        self,
        cfg: ProcessSettings,
        clock: Clock,
        follower: VersionFollower,
        wanted: WantedVersions,
        origin: PlatformOrigin,
        inbound_link: InboundLink,
    ) -> None:
        """Start without subscribers."""
        self._cfg = cfg
        self._clock = clock
        self._follower = follower
        self._wanted = wanted
        self._origin = origin
        self._inbound_link = inbound_link
        self._news = NewsSocket(self)
        self._listeners = ReportSubscribers(clock.now())
        self._latest_notice = LatestNotice()
        self._peers = PeerListClient(TcpDialler(), self._set_peers)
        self._rng = Random()
        self._number = 0
        self._known: dict[str, tuple[int, ...]] = {}
        self._unknown: tuple[str, ...] = ()
        self._neighbours_at = float()
        self._held_at = float()
        self._held_resend_s = _HELD_RESEND_S
        self._held_sent: dict[str, bytes] = {}
        self._held_receivers: dict[str, list[str]] = {}

    async def start(self) -> None:
        """Start to listen."""
        await self._news.start(self._cfg.host, self._cfg.wire_port)

    async def close(self) -> None:
        """Stop listening."""
        await self._peers.close()
        self._news.close()

    @property
    def report_interval_s(self) -> float:
        """Return the interval of reports to entries of this zone, in s."""
        return self._listeners.own_zone_interval_s(self._cfg.zone)

    def handle_news(self, news: News, source: Address) -> None:
        """Handle a datagram of an entry or a peer."""
        if news.entry is not None:
            self._receive_subscription(news.entry, source)
        if news.held is not None:
            self._follower.add_notice(news.held)
        if news.said is not None:
            self._latest_notice.update(news.said, self._clock.now())
        if news.asks is not None:
            answer = self._neighbours(news.asks.zone)
            self._news.send(News(neighbours=answer), [source])

    def send_due(self) -> None:
        """Send what is due."""
        now = self._clock.now()
        self._listeners.expire(now)
        report = self._follower.report
        if report is not None:
            self._report(report, now)
        self._send_neighbours(now)
        self._send_held(now)

    def _receive_subscription(self, entry: EntryNews, source: Address) -> None:
        now = self._clock.now()
        subscription = ReportSubscription(
            entry.number,
            entry.zone,
            entry.every_ms / _MILLISECONDS,
            entry.stands_for_pct / _PERCENT,
            models=frozenset(sent.model for sent in entry.wanted),
            unknown_models=frozenset(
                sent.model
                for sent in entry.wanted
                if sent.version == UNKNOWN_VERSION
            ),
        )
        self._listeners.subscribe(source, subscription, now)
        near = self._listeners.in_zone(self._cfg.zone)
        if not near or source in near:
            # The list is requested within the zone, since links between
            # regions are narrow.
            sent = entry.peers_digest
            self._peers.digest_received(sent, entry.peers_revision, source)
        if not self._peers.is_known:
            # Without peers it would read everything from the origin. The next
            # subscription has the same content.
            return
        subscribed_for_s = self._listeners.unbroken_for_s(now)
        steady = subscribed_for_s > self._cfg.version_bound_s
        self._wanted.apply_messages(entry.wanted, now, steady=steady)
        self._follower.fleet.origin_bytes_per_s = entry.origin_bytes_per_s
        self._follower.fleet.chunk_bytes = entry.chunk_bytes
        size = entry.chunks * entry.chunk_bytes
        share = _TRANSFER_SHARE * self._cfg.link_bytes_per_s
        self._follower.transfer_s = size / share
        if entry.origin:
            self._origin.address = address(entry.origin)
        self._look_up(self._wanted.unknown_models(entry.wanted), source)
        known = self._wanted.versions_by_model()
        if known != self._known:
            self._known = known
            self._follower.wake()

    def _look_up(self, models: tuple[str, ...], source: Address) -> None:
        """Look up versions that neither the entry nor this process knows."""
        if models and models != self._unknown:
            log(
                Event.VERSION_UNKNOWN,
                models=models,
                entry=source[0],
            )
        self._unknown = models
        self._follower.look_up(models)

    def _set_peers(self, places: dict[str, str]) -> None:
        self._follower.fleet.peers = places
        self._follower.wake()

    def _report(self, report: EngineReport, now: float) -> None:
        due = self._listeners.take_due(self._cfg.zone, now)
        uninformed = self._uninformed(now)
        engine = self._engine_news(report, now)
        wanted = self._wanted.to_messages('', self._wanted.models(), now)
        for report_interval_s, addresses in due.items():
            engine.every_ms = int(report_interval_s * _MILLISECONDS)
            for part, alike in self._by_quota(addresses, now):
                if engine.said is not None:
                    engine.said.part_ppm = int(part * _MILLION)
                engine.wanted = []
                others = [one for one in alike if one not in uninformed]
                self._news.send(News(engine=engine), others)
                engine.wanted = wanted
                new = [one for one in alike if one in uninformed]
                self._news.send(News(engine=engine), new)

    def _uninformed(self, now: float) -> set[Address]:
        """Return entries that may not know a version, or when it was named."""
        models = self._wanted.models()
        new = self._listeners.new_subscribers(models, now)
        return {*new, *self._listeners.lacking(models)}

    def _engine_news(self, report: EngineReport, now: float) -> EngineNews:
        """Return the content that all reports have now."""
        self._number += 1
        engine = EngineNews(
            number=self._number,
            waiting=report.waiting,
            running=report.running,
            serving=max(report.serving.values(), default=0),
            changing=report.changing or self._follower.draining,
            entries=self._listeners.entry_count(now),
            way_ms=int(
                self._inbound_link.update_link_delay_s(now) * _MILLISECONDS
            ),
            born=report.born,
        )
        said = self._latest_notice.for_report(now, self.report_interval_s)
        if said is not None:
            engine.said = said
        if report.pace != 1:
            engine.pace_milli = round(report.pace * _THOUSAND)
        return engine

    def _by_quota(
        self,
        addresses: list[Address],
        now: float,
    ) -> Iterator[tuple[float, list[Address]]]:
        """Yield entries with the quota of a rate limit that each has."""
        zone = self._cfg.zone
        inside = set(self._listeners.in_zone(zone))
        for near in (True, False):
            alike = [one for one in addresses if (one in inside) is near]
            if alike:
                yield self._listeners.quota_share(zone, now, near=near), alike

    def _send_neighbours(self, now: float) -> None:
        if now - self._neighbours_at < _NEIGHBOURS_INTERVAL_S:
            return
        self._neighbours_at = now
        for zone in self._listeners.zones():
            if self._is_my_turn(zone):
                self._send_to_zone(zone)

    def _is_my_turn(self, zone: str) -> bool:
        """Draw whether to send the list, so that about four processes do."""
        beside = list(self._follower.fleet.peers.values())
        own = beside.count(zone)
        if own and zone != self._cfg.zone:
            return False
        # If each process knows only some of the entries, and each entry only
        # some of the processes, more of them have to send.
        part = min(1, MAX_SAME_ZONE / (own or MAX_SAME_ZONE))
        by = _NEIGHBOURS_SENDERS / part**2
        return self._rng.random() * (own or len(beside)) <= by

    def _send_to_zone(self, zone: str) -> None:
        near = self._ranked(zone)
        whole = self._neighbours(zone)
        brief = NeighbourNews(whole.hosts)
        # Only the first ones, and one of the others, get entries of other
        # zones: for 20 entries that would take a fifth of the control traffic.
        first, others = near[:_MAX_PER_OTHER_ZONE], near[_MAX_PER_OTHER_ZONE:]
        self._rng.shuffle(others)
        self._news.send(News(neighbours=brief), others[1:])
        if len(near) > 1 or whole.elsewhere:
            self._news.send(News(neighbours=whole), first + others[:1])

    def _neighbours(self, zone: str) -> NeighbourNews:
        hosts = sorted(host for host, _ in self._ranked(zone))
        elsewhere = [
            ZoneHosts(other, pack(self._first_of(other)))
            for other in sorted(self._listeners.zones() - {zone})
        ]
        return NeighbourNews(pack(hosts[:_MAX_NEIGHBOURS]), elsewhere)

    def _first_of(self, zone: str) -> list[str]:
        return [host for host, _ in self._ranked(zone)[:_MAX_PER_OTHER_ZONE]]

    def _ranked(self, zone: str) -> list[Address]:
        near = self._listeners.in_zone(zone)
        return sorted(near, key=lambda one: relay_rank(one[0]))

    def _send_held(self, now: float) -> None:
        notices = self._follower.notices()
        everybody = self._held_is_due(notices, now)
        heard_by = self._held_receivers
        self._held_receivers = {}
        for notice in notices:
            hosts = self._follower.partners(notice.manifest)
            self._held_receivers[notice.manifest] = hosts
            if not everybody:
                # New partners have no notice yet.
                known = heard_by.get(notice.manifest, ())
                hosts = [host for host in hosts if host not in known]
            peers = [(host, self._cfg.wire_port) for host in hosts]
            self._news.send(News(held=notice), peers)

    def _held_is_due(self, notices: list[HeldNotice], now: float) -> bool:
        """Return whether notices are due for all partners."""
        sent = {one.manifest: one.held for one in notices}
        same = sent == self._held_sent
        pause_s = self._held_resend_s if same else _HELD_MIN_INTERVAL_S
        if now - self._held_at < pause_s:
            return False
        again_s = 2 * self._held_resend_s if same else _HELD_RESEND_S
        self._held_resend_s = min(again_s, _HELD_MAX_RESEND_S)
        self._held_at = now
        self._held_sent = sent
        return True
