"""The program beside a model engine of the users' platform."""

import asyncio
import sys
from random import Random

from tornado.netutil import bind_sockets

from linnetwood.core.clock import SystemClock
from linnetwood.core.errors import OrderError
from linnetwood.core.events import Event, log
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.options import Decisions, Transfer
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.settings import ProcessSettings
from linnetwood.platform.weights import PlatformOrigin, ServerEngine
from linnetwood.programs import resident
from linnetwood.programs.figures import FiguresPage
from linnetwood.programs.resident_talk import EndpointTalk
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
# Entries that hear few engines are told this often, and a change of version is
# seen within this.
_REPORT_EVERY_S = 0.1
_BY_DEFAULT = Decisions()


class ResidentEndpoint:
    """Put the parts of an endpoint process together."""

    def __init__(
        self,
        cfg: ProcessSettings,
        engine: tuple[str, int],
        decisions: Decisions = _BY_DEFAULT,
    ) -> None:
        """Build; start nothing."""
        self._cfg = cfg
        self._clock = SystemClock()
        self.wanted = WantedVersions(cfg.version_bound_s, cfg.contact_s)
        self.driver = CurlDriver()
        self._engine = ServerEngine(engine, self.driver)
        self._origin = PlatformOrigin(self.driver)
        self._inbound_link = InboundLink()
        self._metrics = ExposedMetrics()
        self._figures = FiguresPage(self._metrics)
        tools = self._tools()
        self.follower = VersionFollower(
            tools,
            self._engine,
            self._origin,
            self.wanted,
            cfg.wire_port,
            decisions,
        )
        self.talk = EndpointTalk(
            cfg,
            self._clock,
            self.follower,
            self.wanted,
            self._origin,
            self._inbound_link,
        )
        self._server = WireServer(
            {FrameKind.CHUNK_REQUEST: tools.uploads.serve},
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and begin to follow."""
        cfg = self._cfg
        await self._server.start(bind_sockets(cfg.wire_port, cfg.host))
        await self.talk.start()
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
        await self.talk.close()
        self._figures.close()
        self.driver.close()

    async def _run(self) -> None:
        while True:
            try:
                self.follower.report = await self._engine.report()
            except OrderError as exc:
                log(Event.ENGINE_UNREACHABLE, code=exc.code, detail=exc.detail)
                self.follower.report = None
            self.talk.tell()
            await asyncio.sleep(self._report_every_s())

    def _report_every_s(self) -> float:
        """Give when the engine is to be asked again, in seconds."""
        if self.follower.busy:
            return _REPORT_EVERY_S
        return max(_REPORT_EVERY_S, self.talk.every_s)

    def _tools(self) -> Tools:
        store = ChunkStore()
        counters = TransferCounters()
        cfg = Transfer(window=3)
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
    """Bring weights to the engine of this VM."""
    if cfg.engine is None:
        await resident.until_stopped()
        return
    endpoint = ResidentEndpoint(cfg, cfg.engine, decisions)
    await endpoint.start()
    await resident.until_stopped()
    await endpoint.close()


def main() -> None:
    """Serve until told to stop."""
    sys.exit(resident.run(NAME, serve, sys.argv[1:]))


if __name__ == '__main__':
    main()
