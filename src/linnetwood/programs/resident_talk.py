"""What an endpoint process of the users' platform hears and tells."""

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
_PERCENT = 100
_HELD_EVERY_S = 0.1
# What was told already is told again, since datagrams may be lost; less and
# less often while nothing changes.
_HELD_AGAIN_S = 1.0
_HELD_AGAIN_MOST_S = 4.0
# Entries forget a neighbour that three such tellings left out.
_NEIGHBOURS_EVERY_S = 1.0
# So many endpoint processes of a zone tell each time, whatever their number:
# that all are silent for three times happens once in e**12.
_NEIGHBOURS_BY = 4
# Of other zones so many are told, as each names those that it hears itself.
_FEW = 3
# So many addresses fit one datagram of an ordinary network.
_MOST_NEIGHBOURS = 64
# The part of its link that a download fills.
_TRANSFER_SHARE = 0.72


class EndpointTalk:
    """Own the datagrams between this process, entries and peers."""

    def __init__(
        self,
        cfg: ProcessSettings,
        clock: Clock,
        follower: VersionFollower,
        wanted: WantedVersions,
        origin: PlatformOrigin,
        inbound_link: InboundLink,
    ) -> None:
        """Tell nobody yet."""
        self._cfg = cfg
        self._clock = clock
        self._follower = follower
        self._wanted = wanted
        self._origin = origin
        self._inbound_link = inbound_link
        self._news = NewsSocket(self)
        self._listeners = ReportSubscribers(clock.now())
        self._latest_notice = LatestNotice()
        self._peers = PeerListClient(TcpDialler(), self._learned)
        self._rng = Random()
        self._number = 0
        self._known: dict[str, tuple[int, ...]] = {}
        self._unknown: tuple[str, ...] = ()
        self._neighbours_at = float()
        self._held_at = float()
        self._held_again_s = _HELD_AGAIN_S
        self._held_told: dict[str, bytes] = {}
        self._held_by: dict[str, list[str]] = {}

    async def start(self) -> None:
        """Listen."""
        await self._news.start(self._cfg.host, self._cfg.wire_port)

    async def close(self) -> None:
        """Stop listening."""
        await self._peers.close()
        self._news.close()

    @property
    def every_s(self) -> float:
        """Give the pace at which entries are told, in seconds."""
        return self._listeners.own_zone_interval_s(self._cfg.zone)

    def handle_news(self, news: News, source: Address) -> None:
        """Take in what entries and peers tell."""
        if news.entry is not None:
            self._heard_entry(news.entry, source)
        if news.held is not None:
            self._follower.add_notice(news.held)
        if news.said is not None:
            self._latest_notice.update(news.said, self._clock.now())
        if news.asks is not None:
            answer = self._neighbours(news.asks.zone)
            self._news.send(News(neighbours=answer), [source])

    def tell(self) -> None:
        """Tell those for whom it is time."""
        now = self._clock.now()
        self._listeners.expire(now)
        report = self._follower.report
        if report is not None:
            self._report(report, now)
        self._tell_neighbours(now)
        self._tell_held(now)

    def _heard_entry(self, entry: EntryNews, source: Address) -> None:
        now = self._clock.now()
        greeting = ReportSubscription(
            entry.number,
            entry.zone,
            entry.every_ms / _MILLISECONDS,
            entry.stands_for_pct / _PERCENT,
            lacks_versions=any(
                sent.version == UNKNOWN_VERSION for sent in entry.wanted
            ),
        )
        self._listeners.subscribe(source, greeting, now)
        near = self._listeners.in_zone(self._cfg.zone)
        if not near or source in near:
            # The list need not cross the link that a whole region shares.
            told = entry.peers_digest
            self._peers.digest_received(told, entry.peers_revision, source)
        if not self._peers.is_known:
            # Alone it would read all from the origin: whoever greets next
            # tells the same again.
            return
        told_for_s = self._listeners.unbroken_for_s(now)
        steady = told_for_s > self._cfg.version_bound_s
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
        """Ask the origin for versions that neither the entry knows."""
        if models and models != self._unknown:
            log(
                Event.VERSION_UNKNOWN,
                models=models,
                entry=source[0],
            )
        self._unknown = models
        self._follower.look_up(models)

    def _learned(self, places: dict[str, str]) -> None:
        self._follower.fleet.peers = places
        self._follower.wake()

    def _report(self, report: EngineReport, now: float) -> None:
        due = self._listeners.take_due(self._cfg.zone, now)
        newcomers = set(self._listeners.new_subscribers(now))
        engine = self._engine_news(report, now)
        wanted = self._wanted.to_messages('', self._wanted.models(), now)
        for every_s, addresses in due.items():
            engine.every_ms = int(every_s * _MILLISECONDS)
            for part, alike in self._by_part(addresses, now):
                if engine.said is not None:
                    engine.said.part_ppm = int(part * _MILLION)
                engine.wanted = []
                others = [one for one in alike if one not in newcomers]
                self._news.send(News(engine=engine), others)
                # They could only guess since when a version is wanted.
                engine.wanted = wanted
                new = [one for one in alike if one in newcomers]
                self._news.send(News(engine=engine), new)

    def _engine_news(self, report: EngineReport, now: float) -> EngineNews:
        """Give what every report of now says."""
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
        said = self._latest_notice.for_report(now, self.every_s)
        if said is not None:
            engine.said = said
        return engine

    def _by_part(
        self,
        addresses: list[Address],
        now: float,
    ) -> Iterator[tuple[float, list[Address]]]:
        """Yield entries with the part of a limit that each of them has."""
        zone = self._cfg.zone
        inside = set(self._listeners.in_zone(zone))
        for near in (True, False):
            alike = [one for one in addresses if (one in inside) is near]
            if alike:
                yield self._listeners.quota_share(zone, now, near=near), alike

    def _tell_neighbours(self, now: float) -> None:
        if now - self._neighbours_at < _NEIGHBOURS_EVERY_S:
            return
        self._neighbours_at = now
        for zone in self._listeners.zones():
            if self._falls_to_me(zone):
                self._tell_zone(zone)

    def _falls_to_me(self, zone: str) -> bool:
        """Tell by chance, as often as a few of those who may tell a zone."""
        beside = list(self._follower.fleet.peers.values())
        own = beside.count(zone)
        if own and zone != self._cfg.zone:
            return False
        # Where each process hears a part of the entries, and each entry hears
        # a part of the processes, so many more have to tell.
        part = min(1, MAX_SAME_ZONE / (own or MAX_SAME_ZONE))
        by = _NEIGHBOURS_BY / part**2
        return self._rng.random() * (own or len(beside)) <= by

    def _tell_zone(self, zone: str) -> None:
        near = self._in_turn(zone)
        whole = self._neighbours(zone)
        brief = NeighbourNews(whole.hosts)
        # The first hear other zones, and whoever loses them all; to tell each
        # time all of 20 would take a fifth of what a process may send.
        first, others = near[:_FEW], near[_FEW:]
        self._rng.shuffle(others)
        self._news.send(News(neighbours=brief), others[1:])
        if len(near) > 1 or whole.elsewhere:
            self._news.send(News(neighbours=whole), first + others[:1])

    def _neighbours(self, zone: str) -> NeighbourNews:
        hosts = sorted(host for host, _ in self._in_turn(zone))
        elsewhere = [
            ZoneHosts(other, pack(self._few_of(other)))
            for other in sorted(self._listeners.zones() - {zone})
        ]
        return NeighbourNews(pack(hosts[:_MOST_NEIGHBOURS]), elsewhere)

    def _few_of(self, zone: str) -> list[str]:
        return [host for host, _ in self._in_turn(zone)[:_FEW]]

    def _in_turn(self, zone: str) -> list[Address]:
        near = self._listeners.in_zone(zone)
        return sorted(near, key=lambda one: relay_rank(one[0]))

    def _tell_held(self, now: float) -> None:
        notices = self._follower.notices()
        everybody = self._held_is_due(notices, now)
        heard_by = self._held_by
        self._held_by = {}
        for notice in notices:
            hosts = self._follower.partners(notice.manifest)
            self._held_by[notice.manifest] = hosts
            if not everybody:
                # Whoever is new knows nothing yet.
                known = heard_by.get(notice.manifest, ())
                hosts = [host for host in hosts if host not in known]
            peers = [(host, self._cfg.wire_port) for host in hosts]
            self._news.send(News(held=notice), peers)

    def _held_is_due(self, notices: list[HeldNotice], now: float) -> bool:
        """Tell whether what is held is to be told to everybody now."""
        told = {one.manifest: one.held for one in notices}
        same = told == self._held_told
        pause_s = self._held_again_s if same else _HELD_EVERY_S
        if now - self._held_at < pause_s:
            return False
        again_s = 2 * self._held_again_s if same else _HELD_AGAIN_S
        self._held_again_s = min(again_s, _HELD_AGAIN_MOST_S)
        self._held_at = now
        self._held_told = told
        return True
