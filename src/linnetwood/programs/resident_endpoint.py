"""The program beside a model engine of the users' platform."""

import asyncio
import sys
from random import Random

from tornado.netutil import bind_sockets

from linnetwood.core.clock import SystemClock
from linnetwood.core.errors import OrderError
from linnetwood.core.events import Event, log
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.options import Transfer
from linnetwood.fleet.listeners import Listeners
from linnetwood.fleet.news import Address, NewsPort
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import (
    EngineNews,
    EntryNews,
    NeighbourNews,
    News,
)
from linnetwood.platform.settings import Residence, address
from linnetwood.platform.weights import PlatformOrigin, ServerEngine
from linnetwood.programs import resident
from linnetwood.programs.figures import FiguresPage
from linnetwood.weights.chunks import ChunkStore
from linnetwood.weights.engine import EngineReport
from linnetwood.weights.exchange import Fetcher, Tally, Uploads
from linnetwood.weights.follower import OriginChunks, VersionFollower
from linnetwood.weights.inflow import Inflow
from linnetwood.weights.transfer import Tools
from linnetwood.wire.connections import TcpDialler, WireServer
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.frames import FrameKind
from linnetwood.wire.links import GentleLink

_MILLISECONDS = 1000
_REPORT_EVERY_S = 0.1
_HELD_EVERY_S = 0.1
# Entries forget a neighbour that three such tellings left out.
_NEIGHBOURS_EVERY_S = 1.0
# So many endpoint processes of a zone tell each time, whatever their number:
# that all are silent for three times happens once in e**12.
_NEIGHBOURS_BY = 4
# So many addresses fit one datagram of an ordinary network.
_MOST_NEIGHBOURS = 64
# The part of its link that a download fills (measured, docs/MEASUREMENTS.md).
_TRANSFER_SHARE = 0.72
# What was told already is told again, since datagrams may be lost.
_HELD_AGAIN_S = 1.0


class ResidentEndpoint:
    """Put the parts of an endpoint process together."""

    def __init__(self, cfg: Residence, engine: tuple[str, int]) -> None:
        """Build; start nothing."""
        self._cfg = cfg
        self._address = f'{engine[0]}:{engine[1]}'
        self._clock = SystemClock()
        self.wanted = WantedVersions(cfg.version_bound_s)
        self.driver = CurlDriver()
        self._engine = ServerEngine(engine, self.driver)
        self._origin = PlatformOrigin(self.driver)
        self._news = NewsPort(self)
        self._listeners = Listeners(self._clock.now())
        self._number = 0
        self._inflow = Inflow()
        self._held_at = float()
        self._neighbours_at = float()
        self._rng = Random()
        self._held_told: dict[str, bytes] = {}
        self._metrics = ExposedMetrics()
        self._figures = FiguresPage(self._metrics)
        tools = self._tools()
        self.follower = VersionFollower(
            tools,
            self._engine,
            self._origin,
            self.wanted,
            cfg.wire_port,
        )
        self._server = WireServer(
            {FrameKind.CHUNK_REQUEST: tools.uploads.serve},
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and begin to follow."""
        cfg = self._cfg
        await self._server.start(bind_sockets(cfg.wire_port, cfg.host))
        await self._news.start(cfg.host, cfg.wire_port)
        self._figures.start(cfg.host)
        self._task = asyncio.create_task(self._run())
        self.follower.start()

    async def close(self) -> None:
        """Stop; the engine goes on serving."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.follower.close()
        await self._server.close()
        self._news.close()
        self._figures.close()
        self.driver.close()

    def heard(self, news: News, source: Address) -> None:
        """Take in what entries and peers tell."""
        if news.entry is not None:
            self._heard_entry(news.entry, source)
        if news.held is not None:
            self.follower.noticed(news.held)

    def _heard_entry(self, entry: EntryNews, source: Address) -> None:
        now = self._clock.now()
        self._listeners.heard(source, entry.number, now, entry.zone)
        told_for_s = self._listeners.told_for_s(now)
        steady = told_for_s > self._cfg.version_bound_s
        self.wanted.heard(entry.wanted, now, steady=steady)
        around = self.follower.around
        around.peers = {one.host: one.zone for one in entry.peers}
        around.origin_bytes_per_s = entry.origin_bytes_per_s
        size = entry.chunks * entry.chunk_bytes
        share = _TRANSFER_SHARE * self._cfg.link_bytes_per_s
        self.follower.transfer_s = size / share
        if entry.origin:
            self._origin.address = address(entry.origin)
        self.follower.rouse()

    async def _run(self) -> None:
        while True:
            try:
                self.follower.report = await self._engine.report()
            except OrderError as exc:
                log(Event.ENGINE_UNREACHABLE, code=exc.code, detail=exc.detail)
                self.follower.report = None
            self._tell()
            await asyncio.sleep(_REPORT_EVERY_S)

    def _tell(self) -> None:
        now = self._clock.now()
        self._listeners.settle(now)
        report = self.follower.report
        if report is not None:
            self._report(report, now)
        self._tell_neighbours(now)
        self._tell_held(now)

    def _report(self, report: EngineReport, now: float) -> None:
        everyone = self._listeners.addresses()
        self._number += 1
        engine = EngineNews(
            address=self._address,
            number=self._number,
            waiting=report.waiting,
            running=report.running,
            kv_used=report.kv_used,
            kv_total=report.kv_total,
            serving=max(report.serving.values(), default=0),
            changing=report.changing or self.follower.spared,
            entries=len(everyone),
            way_ms=int(self._inflow.tell_way_s(now) * _MILLISECONDS),
        )
        newcomers = set(self._listeners.newcomers(now))
        others = [one for one in everyone if one not in newcomers]
        self._news.send(News(engine=engine), others)
        if newcomers:
            # They could only guess since when a version is wanted.
            engine.wanted = self.wanted.told('', self.wanted.models(), now)
            self._news.send(News(engine=engine), list(newcomers))

    def _tell_neighbours(self, now: float) -> None:
        if now - self._neighbours_at < _NEIGHBOURS_EVERY_S:
            return
        self._neighbours_at = now
        for zone in self._listeners.zones():
            if self._falls_to_me(zone):
                self._tell_zone(zone)

    def _falls_to_me(self, zone: str) -> bool:
        """Tell by chance, as often as a few of those who may tell a zone."""
        beside = list(self.follower.around.peers.values())
        own = beside.count(zone)
        if own and zone != self._cfg.zone:
            return False
        return self._rng.random() * (own or len(beside)) <= _NEIGHBOURS_BY

    def _tell_zone(self, zone: str) -> None:
        near = self._listeners.of_zone(zone)
        hosts = sorted(host for host, _ in near)
        if len(hosts) > 1:
            news = NeighbourNews(hosts=hosts[:_MOST_NEIGHBOURS])
            self._news.send(News(neighbours=news), near)

    def _tell_held(self, now: float) -> None:
        notices = self.follower.notices()
        told = {one.manifest: one.held for one in notices}
        pause_s = _HELD_AGAIN_S if told == self._held_told else _HELD_EVERY_S
        if now - self._held_at < pause_s:
            return
        self._held_at = now
        self._held_told = told
        peers = [
            (host, self._cfg.wire_port)
            for host in self.follower.around.peers
            if host != self._cfg.host
        ]
        for notice in notices:
            self._news.send(News(held=notice), peers)

    def _tools(self) -> Tools:
        store = ChunkStore()
        tally = Tally()
        cfg = Transfer(window=3)
        link = GentleLink(self._cfg.link_bytes_per_s, self._clock)
        return Tools(
            me=self._cfg.host,
            store=store,
            fetcher=Fetcher(self._cfg.host, TcpDialler(), link),
            uploads=Uploads(store, link, tally, cfg.upload_queue),
            origin=OriginChunks(self._origin),
            link=link,
            clock=self._clock,
            rng=Random(),
            tally=tally,
            metrics=self._metrics,
            cfg=cfg,
            inflow=self._inflow,
        )


async def serve(cfg: Residence) -> None:
    """Bring weights to the engine of this VM."""
    if cfg.engine is None:
        await resident.until_stopped()
        return
    endpoint = ResidentEndpoint(cfg, cfg.engine)
    await endpoint.start()
    await resident.until_stopped()
    await endpoint.close()


def main() -> None:
    """Serve until told to stop."""
    sys.exit(resident.run('linnetwood-resident-endpoint', serve))


if __name__ == '__main__':
    main()
