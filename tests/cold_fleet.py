"""Entries, endpoint processes and engines in memory that all start at once."""

import asyncio
from collections.abc import Callable
from random import Random

from linnetwood.calls.choice import Chooser, Requirements
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.reports import Reports
from linnetwood.calls.routetable import Origin, RouteTable
from linnetwood.core.errors import OrderError, WireError
from linnetwood.core.metrics import open_metrics
from linnetwood.core.options import Transfer
from linnetwood.fleet.news import Address, NewsHandler, NewsSocket
from linnetwood.fleet.peerlist import PeerListClient
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import ChunkReply, ChunkRequest, News
from linnetwood.lab import virtual
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet
from linnetwood.platform.weights import PlatformOrigin
from linnetwood.programs.resident_messages import EndpointMessenger
from linnetwood.weights.chunks import ChunkStore
from linnetwood.weights.exchange import Fetcher, TransferCounters, Uploads
from linnetwood.weights.follower import OriginChunks, VersionFollower
from linnetwood.weights.inboundlink import InboundLink
from linnetwood.weights.transfer import Tools
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.frames import FrameStream
from linnetwood.wire.links import UnlimitedLink
from tests.process_settings import process_settings
from tests.test_directory import POOL
from tests.test_follower import FakeEngine, FakeOrigin

PORT = 7700
MODEL = 'm'
BOUND_S = 8.0
ORIGIN_ADDRESS = ('10.9.0.1', 80)
_LATENCY_S = 0.001
_TICK_S = 0.1
_SERVED_POLL_S = 0.05


class Datagrams:
    """Carry datagrams between processes; lose some and those that are cut."""

    def __init__(self, rng: Random, lost: float) -> None:
        """Lose this share of all datagrams."""
        self.handlers: dict[str, NewsHandler] = {}
        self.cut_zones: frozenset[str] = frozenset()
        self.zones: dict[str, str] = {}
        self._rng = rng
        self._lost = lost

    def connects(self, sender: str, receiver: str) -> bool:
        """Return whether no cut lies between two processes."""
        zones = {self.zones[sender], self.zones[receiver]}
        return len(zones) == 1 or not zones & self.cut_zones

    def carry(self, sender: str, news: News, receiver: str) -> None:
        """Deliver a datagram a moment later, unless it is lost."""
        if not self.connects(sender, receiver):
            return
        if self._rng.random() < self._lost:
            return
        handler = self.handlers.get(receiver)
        if handler is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(
                _LATENCY_S, handler.handle_news, news, (sender, PORT)
            )


class Port(NewsSocket):
    """A stand-in for the socket of one process."""

    def __init__(
        self, host: str, handler: NewsHandler, datagrams: Datagrams
    ) -> None:
        super().__init__(handler)
        self._host = host
        self._datagrams = datagrams

    async def start(self, host: str, port: int) -> None:
        """Receive from now on."""
        self._datagrams.handlers[self._host] = self._handler

    def send(self, news: News, addresses: list[Address]) -> None:
        """Send one message to several processes."""
        for host, _ in addresses:
            self._datagrams.carry(self._host, news, host)


class EntryVm:
    """The parts of an entry that exchange reports and choose endpoints."""

    def __init__(
        self, fleet: 'ColdFleet', host: str, zone: str, rng: Random
    ) -> None:
        """Know the list of engines; start nothing."""
        self.zone = zone
        self.wanted = WantedVersions(BOUND_S)
        self.chooser = Chooser(fleet.directory, rng)
        self._host = host
        self.reports = Reports(
            fleet.directory,
            self.chooser,
            self.wanted,
            fleet.clock,
            PORT,
            lambda: None,
            zone,
            RelaySelector(host, rng),
        )
        self.reports.route_table = RouteTable(
            services={POOL.name: POOL},
            origin=Origin(*ORIGIN_ADDRESS, 1e6, 48),
        )
        self.reports._news = Port(host, self.reports, fleet.datagrams)
        fleet.net.accepting[host, PORT] = self._serve_peers

    async def start(self) -> None:
        """Subscribe to the reports of engines."""
        await self.reports.start(self._host)

    def serves(self, now: float) -> bool:
        """Return whether a call would find an engine."""
        requirements = Requirements(POOL, self.zone, 1000, MODEL)
        return self.chooser.choose(requirements, (), now) is not None

    async def _serve_peers(self, stream: FrameStream) -> None:
        while True:
            frame = await stream.read()
            await self.reports.subscriptions.peers.serve(stream, frame)


class MemoryFetcher(Fetcher):
    """Read chunks of peers from their memory."""

    def __init__(self, fleet: 'ColdFleet', me: str) -> None:
        """Reach the peers of a fleet."""
        super().__init__(me, MemoryDialler(fleet.net), UnlimitedLink())
        self._fleet = fleet
        self._host = me

    async def fetch(
        self,
        vm: str,
        address: Address,
        manifest: str,
        index: int,
        on_first_byte: Callable[[], None] | None = None,
    ) -> tuple[ChunkReply, bytes]:
        """Return the reply and the bytes, if any."""
        await asyncio.sleep(_LATENCY_S)
        if not self._fleet.datagrams.connects(self._host, vm):
            raise WireError('connect-failed', vm)
        uploads = self._fleet.endpoints[vm].uploads
        payload = uploads._payload(ChunkRequest(self._host, manifest, index))
        held = uploads.held_bytes(manifest)
        reply = ChunkReply(manifest, index, payload is not None, held, 0)
        return reply, payload or b''


class EndpointVm:
    """An engine that holds nothing, and the process beside it."""

    def __init__(
        self, fleet: 'ColdFleet', host: str, zone: str, rng: Random
    ) -> None:
        """Know nothing; start nothing."""
        self.engine = FakeEngine()
        self.wanted = WantedVersions(BOUND_S)
        self._host = host
        self._driver = CurlDriver()
        store = ChunkStore()
        counters = TransferCounters()
        cfg = Transfer()
        self.uploads = Uploads(
            store, UnlimitedLink(), counters, cfg.upload_queue
        )
        tools = Tools(
            me=host,
            store=store,
            fetcher=MemoryFetcher(fleet, host),
            uploads=self.uploads,
            origin=OriginChunks(fleet.origin),
            link=UnlimitedLink(),
            clock=fleet.clock,
            rng=rng,
            counters=counters,
            metrics=open_metrics('', 0),
            cfg=cfg,
        )
        self.follower = VersionFollower(
            tools, self.engine, fleet.origin, self.wanted, PORT
        )
        # Chunks come from a stand-in; this one only learns its address.
        self.origin = PlatformOrigin(self._driver)
        self.messenger = EndpointMessenger(
            process_settings(
                vm=f'side-{host}',
                host=host,
                zone=zone,
                wire_port=PORT,
                engine=(host, 80),
                version_bound_s=BOUND_S,
            ),
            fleet.clock,
            self.follower,
            self.wanted,
            self.origin,
            InboundLink(),
        )
        self.messenger._news = Port(host, self.messenger, fleet.datagrams)
        self.messenger._peers = PeerListClient(
            MemoryDialler(fleet.net), self.messenger._set_peers
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Report, and follow the wanted versions."""
        await self.messenger.start()
        self.follower.start()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.follower.close()
        await self.messenger.close()
        self._driver.close()

    async def _run(self) -> None:
        while True:
            try:
                self.follower.report = await self.engine.report()
            except OrderError:
                self.follower.report = None
            self.messenger.send_due()
            await asyncio.sleep(_TICK_S)


class ColdFleet:
    """All processes and engines of a service, none of which knows a version."""

    def __init__(
        self,
        zones: int = 3,
        engines: int = 2,
        entries: int = 2,
        lost: float = 0,
        origin: FakeOrigin | None = None,
    ) -> None:
        """Create a number of engines and entries in each availability zone."""
        rng = Random(1)
        self.clock = virtual.VirtualClock(asyncio.get_running_loop())
        self.net = MemoryNet(rng, 0, 0)
        self.datagrams = Datagrams(rng, lost)
        self.origin = origin or FakeOrigin()
        self.directory = Directory()
        self.endpoints: dict[str, EndpointVm] = {}
        self.entries: dict[str, EntryVm] = {}
        for number in range(zones):
            zone = f'z{number}'
            for index in range(engines):
                host = f'10.{number}.1.{index}'
                self.datagrams.zones[host] = zone
                self.directory.update(engine_record(host, zone))
                self.endpoints[host] = EndpointVm(self, host, zone, rng)
            for index in range(entries):
                host = f'10.{number}.2.{index}'
                self.datagrams.zones[host] = zone
                self.entries[host] = EntryVm(self, host, zone, rng)

    async def start(self) -> None:
        """Start every process."""
        for endpoint in self.endpoints.values():
            await endpoint.start()
        for entry in self.entries.values():
            await entry.start()

    async def close(self) -> None:
        """Stop every process."""
        for endpoint in self.endpoints.values():
            await endpoint.close()
        for entry in self.entries.values():
            await entry.reports.close()
        await self.net.close()

    def serving(self) -> set[int]:
        """Return the versions that the engines serve; 0 for none."""
        return {vm.engine.serving for vm in self.endpoints.values()}

    async def served_after_s(self, version: int, limit_s: float) -> float:
        """Return when all engines served a version and all entries knew."""
        began = self.clock.now()
        while self.clock.now() - began < limit_s:
            now = self.clock.now()
            found = all(entry.serves(now) for entry in self.entries.values())
            if found and self.serving() == {version}:
                return now - began
            await asyncio.sleep(_SERVED_POLL_S)
        return limit_s


def engine_record(host: str, zone: str) -> Endpoint:
    """Return the record of an engine that holds no version."""
    return Endpoint(f'i-{host}', POOL.name, host, 80, zone, 16, ready=True)
