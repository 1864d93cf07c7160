"""The program on an entry VM of the users' platform."""

import signal

if __name__ == '__main__':
    # Until its handler stands, SIGHUP would end the program during the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
from random import Random

from linnetwood.calls.callserver import CallServerDelegate, open_server
from linnetwood.calls.configbasis import ConfigAgeTracker, ConfigBasis
from linnetwood.calls.direct import RetryLimits
from linnetwood.calls.directory import Directory
from linnetwood.calls.reports import Reports
from linnetwood.calls.routetable import RouteTable
from linnetwood.core.clock import SystemClock
from linnetwood.core.connectionshares import entry_shares
from linnetwood.core.events import Event, log
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.metrics import Metric
from linnetwood.core.options import Decisions
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.feeds import EndpointFeed, OperatorFeed, StoreFeed
from linnetwood.platform.ignored import IgnoredRecords
from linnetwood.platform.settings import ProcessSettings
from linnetwood.platform.store import PlatformStore
from linnetwood.programs import resident
from linnetwood.programs.adoptionlog import log_adopted, log_older
from linnetwood.programs.resident_calls import (
    CallPath,
    await_views,
    watch_views,
)
from linnetwood.programs.resident_crashes import CrashTracker
from linnetwood.programs.resident_limits import ResidentLimits
from linnetwood.programs.resident_listeners import EntryListeners
from linnetwood.programs.resident_store import StoreFollower
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.frames import FrameKind

NAME = 'linnetwood-resident-entry'
_DEFAULT_DECISIONS = Decisions()
# The balancer checks once a second and removes a VM after two failures.
_BALANCER_NOTICES_S = 2.5
_STOP_MARGIN_S = 0.7
# The rest of the budget is for entries that start or end meanwhile.
_RETRY_SHARE = 0.6
# Share of a configuration's bound. Waits at the store take 0.3 of it, and views
# of relays are trusted up to 0.4; a healthy entry's view is never older than
# this.
_TRUSTED_SHARE = 0.6
_CHECK_S = 0.05
_IDLE_CHECK_S = 0.4


class ResidentEntry:
    """Compose the parts of an entry process."""

    def __init__(
        self,
        cfg: ProcessSettings,
        decisions: Decisions = _DEFAULT_DECISIONS,
    ) -> None:
        """Build all parts without starting them."""
        self.route_table = RouteTable()
        self._cfg = cfg
        self._decisions = decisions
        self._stopping = False
        clock = SystemClock()
        rng = Random()
        self.directory = Directory()
        self.wanted = WantedVersions(cfg.version_bound_s, cfg.contact_s)
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
        crashes = CrashTracker(store, self.directory, self.driver, clock, rng)
        self.dispatcher.crash_observer = crashes.watch
        self._crashes = crashes
        self._selector = RelaySelector(cfg.host, rng)
        self.reports = Reports(
            self.directory,
            chooser,
            self.wanted,
            clock,
            cfg.wire_port,
            self._share_retries,
            cfg.zone,
            self._selector,
        )
        self.dispatcher.on_notice = self.reports.forward_notice
        self.config_age = ConfigAgeTracker(
            clock,
            lambda: self._follower.confirmed_at,
            cfg.config_bound_s * _TRUSTED_SHARE,
            lambda: self._follower.store_confirmed_at,
        )
        self.delegate = CallServerDelegate(
            lambda: self.route_table,
            self.dispatcher,
            path.dialect,
            crashes.quarantine_before(path.admission),
            rng,
            metrics,
            self._config_basis,
        )
        path.limit_rate(cfg.region)
        limits = ResidentLimits(
            cfg, entry_shares(cfg.file_descriptors), metrics
        )
        path.limit_memory(
            self.delegate, cfg.memory_bytes, metrics, limits.shares.calls
        )
        metrics.gauge(Metric.CONFIG_VERSION, lambda: self.route_table.version)
        chooser.entry_count = lambda: self.reports.entry_count
        crashes.entries = chooser.entry_count
        crashes.has_engines = lambda name: self.route_table.has_engines(name)
        crashes.expose(metrics)
        ignored = IgnoredRecords(lambda: metrics.count(Metric.RECORDS_IGNORED))
        feed = StoreFeed(
            OperatorFeed(
                self.adopt,
                self.wanted,
                clock,
                self.reports.wake,
                ignored,
                lambda zones: self.directory.evacuate(zones, clock.now()),
            ),
            EndpointFeed(
                self.directory,
                clock,
                self.reports.wake,
                ignored,
                cfg.regions,
            ),
            crashes.feed(ignored),
        )
        self._news = StoreFollower(
            cfg,
            store,
            feed,
            self._selector,
            rng,
            {FrameKind.PEERS_REQUEST: self.reports.subscriptions.peers.serve},
            self.reports.request_neighbours,
            limits.processes(),
        )
        self._follower = self._news.follower
        await_views(self.delegate, self._follower, self.config_age)
        self._view_watch = watch_views(
            self._follower,
            self.config_age,
            cfg.config_bound_s * _TRUSTED_SHARE,
            metrics,
        )
        self.reports.subscriptions.revision = lambda: self._follower.revision
        self._callers = open_server(self.delegate, self.route_table.limits)
        self._listeners = EntryListeners(
            cfg, self._callers, lambda: self.ready, metrics, limits
        )
        self._metrics_page = self._listeners.metrics_page

    async def start(self) -> None:
        """Listen, and start to follow the store."""
        cfg = self._cfg
        self._listeners.start_control()
        await self.reports.start(cfg.host)
        await self._news.start()
        self._view_watch.start()
        self._crashes.start()
        self._listeners.start_callers()

    async def close(self) -> None:
        """Report as not ready, wait for calls in progress, and stop."""
        self._stopping = True
        self.delegate.stopping = True
        await self._finish_calls()
        await self._crashes.close()
        await self._view_watch.close()
        await self._news.close()
        await self.reports.close()
        self._listeners.close()
        self.driver.close()

    def adopt(self, route_table: RouteTable) -> None:
        """Apply a newer configuration; ignore an older one."""
        in_force = self.route_table
        if self._decisions.priorities == 'ignored':
            route_table = route_table.without_priorities()
        if in_force.revision and not route_table.replaces(in_force):
            if route_table.version < in_force.version:
                log_older(route_table, in_force, self._news_fields())
            return
        self.route_table = route_table
        self.config_age.adopted(route_table)
        self.reports.route_table = route_table
        self._callers.set_limits(route_table.limits)
        self._share_retries()
        changes = log_adopted(route_table, in_force, self._news_fields())
        now = asyncio.get_running_loop().time()
        self.delegate.traces.note_adopted(route_table.version, changes, now)

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send calls here."""
        learned = self._follower.synced.is_set()
        return (
            learned and bool(self.route_table.revision) and not self._stopping
        )

    def _news_fields(self) -> dict[str, object]:
        return self._follower.sources.news(asyncio.get_running_loop().time())

    def _config_basis(self) -> ConfigBasis:
        """Return the basis of calls; stale until a configuration is in force.

        A view is confirmed also where its configuration can't be read.
        """
        basis = self.config_age.basis()
        return basis if self.route_table.revision else basis.as_stale()

    async def _finish_calls(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        until = began + self._cfg.stop_within_s - _STOP_MARGIN_S
        while loop.time() < began + _BALANCER_NOTICES_S:
            await asyncio.sleep(_IDLE_CHECK_S)
            self.delegate.close_idle()
        self._listeners.stop_accepting()
        self.delegate.leaving = True
        while self._has_work() and loop.time() < until:
            await asyncio.sleep(_CHECK_S)
            self.delegate.close_idle()
        if self._has_work():
            log(
                Event.STOP_LIMIT_REACHED,
                in_flight=self.delegate.active_calls,
                unread_bytes=self.delegate.held.answers,
            )

    def _has_work(self) -> bool:
        delegate = self.delegate
        # Requests that arrive are refused once they are whole, and answers are
        # delivered to callers that still read them.
        return (
            self._callers.is_receiving
            or bool(delegate.active_calls)
            or bool(delegate.held.answers)
        )

    def _share_retries(self) -> None:
        # All entries share one budget without messages; each uses its share.
        entries = max(1, self.reports.entry_count)
        self.dispatcher.retry_limits = RetryLimits(
            self._cfg.retry_share * _RETRY_SHARE,
            max(1, self._cfg.retry_extra * _RETRY_SHARE / entries),
        )


async def serve(cfg: ProcessSettings, decisions: Decisions) -> None:
    """Serve callers on an entry VM."""
    entry = ResidentEntry(cfg, decisions)
    await entry.start()
    await resident.until_stopped()
    await entry.close()


def main() -> None:
    """Serve until stopped."""
    resident.run_and_exit(NAME, serve)


if __name__ == '__main__':
    main()
