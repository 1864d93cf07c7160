"""The program on the VM of a model engine of the users' platform."""

import signal

if __name__ == '__main__':
    # Until its handler stands, SIGHUP would end the program during the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
from random import Random

from tornado.netutil import bind_sockets

from linnetwood.core.clock import SystemClock
from linnetwood.core.connectionshares import endpoint_shares
from linnetwood.core.errors import OrderError
from linnetwood.core.events import Event, log
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.options import Decisions, Transfer
from linnetwood.core.owner import supervise
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.settings import ProcessSettings
from linnetwood.platform.weights import PlatformOrigin, ServerEngine
from linnetwood.programs import resident
from linnetwood.programs.metricspage import MetricsPage
from linnetwood.programs.resident_limits import ResidentLimits
from linnetwood.programs.resident_messages import EndpointMessenger
from linnetwood.weights.chunks import ChunkStore
from linnetwood.weights.exchange import Fetcher, TransferCounters, Uploads
from linnetwood.weights.follower import OriginChunks, VersionFollower
from linnetwood.weights.inboundlink import InboundLink
from linnetwood.weights.transfer import Tools
from linnetwood.wire.connections import TcpDialler, WireServer
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.frames import FrameKind
from linnetwood.wire.links import ShapedLink

NAME = 'linnetwood-resident-endpoint'
# The interval of reports to entries with few engines, and of polling the engine
# during a change of version.
_MIN_REPORT_INTERVAL_S = 0.1
_DEFAULT_DECISIONS = Decisions()


class ResidentEndpoint:
    """Compose the parts of an endpoint process."""

    def __init__(
        self,
        cfg: ProcessSettings,
        engine: tuple[str, int],
        decisions: Decisions = _DEFAULT_DECISIONS,
    ) -> None:
        """Build all parts without starting them."""
        self._cfg = cfg
        self._clock = SystemClock()
        self.wanted = WantedVersions(cfg.version_bound_s, cfg.contact_s)
        self.driver = CurlDriver()
        self._engine = ServerEngine(engine, self.driver)
        self._origin = PlatformOrigin(self.driver)
        self._inbound_link = InboundLink()
        self._metrics = ExposedMetrics()
        limits = ResidentLimits(
            cfg, endpoint_shares(cfg.file_descriptors), self._metrics
        )
        self._metrics_page = MetricsPage(
            self._metrics, limits.control('metrics')
        )
        tools = self._tools()
        self.follower = VersionFollower(
            tools,
            self._engine,
            self._origin,
            self.wanted,
            cfg.wire_port,
            decisions,
        )
        self.messenger = EndpointMessenger(
            cfg,
            self._clock,
            self.follower,
            self.wanted,
            self._origin,
            self._inbound_link,
        )
        self._server = WireServer(
            {FrameKind.CHUNK_REQUEST: tools.uploads.serve},
            limits.processes(),
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and start to follow the wanted versions."""
        cfg = self._cfg
        await self._server.start(bind_sockets(cfg.wire_port, cfg.host))
        await self.messenger.start()
        self._metrics_page.start(cfg.host)
        self._task = asyncio.create_task(
            supervise('ResidentEndpoint', self._run)
        )
        self.follower.start()

    async def close(self) -> None:
        """Stop; the engine continues to serve."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.follower.close()
        await self._server.close()
        await self.messenger.close()
        self._metrics_page.close()
        self.driver.close()

    async def _run(self) -> None:
        while True:
            try:
                self.follower.report = await self._engine.report()
            except OrderError as exc:
                log(Event.ENGINE_UNREACHABLE, code=exc.code, detail=exc.detail)
                self.follower.report = None
            self.messenger.send_due()
            await asyncio.sleep(self._report_interval_s())

    def _report_interval_s(self) -> float:
        """Return the interval of polling the engine, in seconds."""
        if self.follower.busy:
            return _MIN_REPORT_INTERVAL_S
        return max(_MIN_REPORT_INTERVAL_S, self.messenger.report_interval_s)

    def _tools(self) -> Tools:
        store = ChunkStore()
        counters = TransferCounters()
        cfg = Transfer(window=4)
        link = ShapedLink(self._cfg.link_bytes_per_s, self._clock)
        return Tools(
            me=self._cfg.host,
            store=store,
            fetcher=Fetcher(self._cfg.host, TcpDialler(), link),
            uploads=Uploads(store, link, counters, cfg.upload_queue),
            origin=OriginChunks(self._origin),
            link=link,
            clock=self._clock,
            rng=Random(),
            counters=counters,
            metrics=self._metrics,
            cfg=cfg,
            inbound_link=self._inbound_link,
        )


async def serve(cfg: ProcessSettings, decisions: Decisions) -> None:
    """Transfer weights to the engine of this VM."""
    if cfg.engine is None:
        await resident.until_stopped()
        return
    endpoint = ResidentEndpoint(cfg, cfg.engine, decisions)
    await endpoint.start()
    await resident.until_stopped()
    await endpoint.close()


def main() -> None:
    """Serve until stopped."""
    resident.run_and_exit(NAME, serve)


if __name__ == '__main__':
    main()
