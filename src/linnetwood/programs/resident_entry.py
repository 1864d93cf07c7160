"""The program on an entry VM of the users' platform."""

import asyncio
import sys
from random import Random

from tornado.httpserver import HTTPServer

from linnetwood.calls.direct import RetryBounds
from linnetwood.calls.directory import Directory
from linnetwood.calls.front import Front, open_server
from linnetwood.calls.grounds import Vigil
from linnetwood.calls.reports import Reports
from linnetwood.calls.routebook import RouteBook
from linnetwood.core.clock import SystemClock
from linnetwood.core.events import Event, log
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.metrics import Metric
from linnetwood.core.options import Decisions
from linnetwood.fleet.tellers import Tellers
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.feeds import (
    EndpointFeed,
    OperatorFeed,
    StoreFeed,
)
from linnetwood.platform.ignored import Ignored
from linnetwood.platform.settings import Residence
from linnetwood.platform.store import PlatformStore
from linnetwood.programs import resident
from linnetwood.programs.figures import FiguresPage
from linnetwood.programs.listening import listen, readiness_server
from linnetwood.programs.resident_calls import CallPath
from linnetwood.programs.resident_ends import EndNews
from linnetwood.programs.resident_news import StoreNews
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.frames import FrameKind

NAME = 'linnetwood-resident-entry'
_BY_DEFAULT = Decisions()
# The balancer asks once a second and takes a VM out after two misses.
_BALANCER_SEES_S = 2.5
_STOP_MARGIN_S = 0.7
# A part of the budget is left for entries that come and go meanwhile.
_RETRY_PART = 0.6
# Of a configuration's bound: waits at the store last 0.3 of it, neighbours'
# word is trusted up to 0.4; an older belief is no healthy entry's.
_TRUSTED_PART = 0.6
_CHECK_S = 0.05
_IDLE_CHECK_S = 0.4


class ResidentEntry:
    """Put the parts of an entry together."""

    def __init__(
        self,
        cfg: Residence,
        decisions: Decisions = _BY_DEFAULT,
    ) -> None:
        """Build; start nothing."""
        self.book = RouteBook()
        self._cfg = cfg
        self._stopping = False
        clock = SystemClock()
        rng = Random()
        self.directory = Directory()
        self.wanted = WantedVersions(cfg.version_bound_s)
        self.driver = CurlDriver()
        metrics = ExposedMetrics()
        path = CallPath(
            self.directory,
            self.driver,
            self.wanted,
            cfg.zone,
            metrics,
            clock,
            rng,
            decisions,
        )
        chooser = path.chooser
        self.dispatcher = path.dispatcher
        store = PlatformStore(cfg.store, self.driver)
        ends = EndNews(store, self.directory, clock, rng)
        self.dispatcher.ends = ends.watch
        self._ends = ends
        self._tellers = Tellers(cfg.host, rng)
        self.reports = Reports(
            self.directory,
            chooser,
            self.wanted,
            clock,
            cfg.wire_port,
            self._share_retries,
            cfg.zone,
            self._tellers,
        )
        self.dispatcher.noticed = self.reports.forward_notice
        self.vigil = Vigil(
            clock,
            lambda: self._following.heard_at,
            cfg.config_bound_s * _TRUSTED_PART,
        )
        self.front = Front(
            lambda: self.book,
            self.dispatcher,
            path.dialect,
            ends.before(path.entrance),
            rng,
            metrics,
            self.vigil.grounds,
        )
        metrics.gauge(Metric.CONFIG_VERSION, lambda: self.book.version)
        metrics.gauge(Metric.STORE_AGE_S, self.vigil.store_age_s)
        chooser.entry_count = lambda: self.reports.entry_count
        ends.entries = chooser.entry_count
        self._figures = FiguresPage(metrics)
        wake = self.reports.wake
        ignored = Ignored(lambda: metrics.count(Metric.RECORDS_IGNORED))
        feed = StoreFeed(
            OperatorFeed(
                self.adopt,
                self.wanted,
                clock,
                wake,
                ignored,
                lambda zones: self.directory.evacuate(zones, clock.now()),
            ),
            EndpointFeed(self.directory, clock, wake, ignored, cfg.regions),
            ends.feed(ignored),
        )
        self._news = StoreNews(
            cfg,
            store,
            feed,
            self._tellers,
            rng,
            {FrameKind.PEERS_REQUEST: self.reports.subscriptions.peers.serve},
            self.reports.request_neighbours,
        )
        self._following = self._news.following
        self.reports.subscriptions.revision = lambda: self._following.revision
        self._callers = open_server(self.front, self.book.limits)
        self._servers: list[HTTPServer] = []

    async def start(self) -> None:
        """Listen, and learn what there is to serve."""
        cfg = self._cfg
        self._listen(readiness_server(lambda: self.ready), cfg.readiness)
        self._figures.start(cfg.host)
        await self.reports.start(cfg.host)
        await self._news.start()
        self._ends.start()
        self._listen(self._callers, cfg.callers)

    async def close(self) -> None:
        """Be taken out, finish what is under way, then go."""
        self._stopping = True
        self.front.stopping = True
        await self._finish_calls()
        await self._ends.close()
        await self._news.close()
        await self.reports.close()
        self._figures.close()
        self.driver.close()

    def adopt(self, book: RouteBook) -> None:
        """Put a newer configuration in force; an older one never is."""
        if book.version <= self.book.version and self.book.revision:
            return
        self.book = book
        self.vigil.adopted(book)
        self.reports.book = book
        self._callers.bound(book.limits)
        self._share_retries()
        log(
            Event.ROUTES_ADOPTED,
            version=book.version,
            revision=book.revision,
            routes=sum(map(len, book.by_host.values())),
        )

    @property
    def ready(self) -> bool:
        """Tell whether calls should come here."""
        learned = self._following.learned.is_set()
        return learned and bool(self.book.revision) and not self._stopping

    async def _finish_calls(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        until = began + self._cfg.stop_within_s - _STOP_MARGIN_S
        while loop.time() < began + _BALANCER_SEES_S:
            await asyncio.sleep(_IDLE_CHECK_S)
            self.front.close_idle()
        for server in self._servers:
            server.stop()
        self.front.leaving = True
        while self.front.under_way and loop.time() < until:
            await asyncio.sleep(_CHECK_S)
            self.front.close_idle()
        if self.front.under_way:
            log(Event.STOP_LIMIT_REACHED, in_flight=self.front.under_way)

    def _share_retries(self) -> None:
        # All entries share one budget without talk: each takes its part.
        entries = max(1, self.reports.entry_count)
        self.dispatcher.retry_bounds = RetryBounds(
            self._cfg.retry_share * _RETRY_PART,
            max(1, self._cfg.retry_extra * _RETRY_PART / entries),
        )

    def _listen(
        self,
        server: HTTPServer,
        address: tuple[str, int] | None,
    ) -> None:
        if address is not None:
            listen(server, address)
            self._servers.append(server)


async def serve(cfg: Residence, decisions: Decisions) -> None:
    """Answer callers on an entry VM."""
    entry = ResidentEntry(cfg, decisions)
    await entry.start()
    await resident.until_stopped()
    await entry.close()


def main() -> None:
    """Serve until told to stop."""
    sys.exit(resident.run(NAME, serve, sys.argv[1:]))


if __name__ == '__main__':
    main()
