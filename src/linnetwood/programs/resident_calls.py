"""The call path of an entry, with the policies from the settings."""

import asyncio
import dataclasses
import sys
from random import Random

from linnetwood.calls.callserver import CallServerDelegate
from linnetwood.calls.choice import Chooser
from linnetwood.calls.configbasis import ConfigAgeTracker
from linnetwood.calls.deadlineadmission import DeadlineAdmission
from linnetwood.calls.direct import DirectDispatcher
from linnetwood.calls.directory import Directory
from linnetwood.calls.enginepace import PACES
from linnetwood.calls.heldbytes import READER_LIMITS
from linnetwood.calls.memoryguard import HELD_SHARE, MemoryGuard, calls_within
from linnetwood.calls.policy.firstattempts import FIRST_ATTEMPT_DETECTORS
from linnetwood.calls.policy.retryafter import RETRY_AFTER_POLICIES
from linnetwood.calls.policy.retrycapacity import RETRY_CAPACITY
from linnetwood.calls.regionpace import RegionPace
from linnetwood.calls.viewwait import ViewNews, ViewWait
from linnetwood.calls.viewwatch import ViewWatch
from linnetwood.core.clock import Clock
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.loops import held_up_s
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.options import Decisions
from linnetwood.core.processmemory import resident_bytes
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.revisions import era_of
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver


def await_views(
    delegate: CallServerDelegate, news: ViewNews, config_age: ConfigAgeTracker
) -> None:
    """Let calls that are read after a hold-up wait for a fresh view."""
    loop = asyncio.get_running_loop()
    view_wait = ViewWait(
        news,
        lambda: config_age.basis().is_stale,
        lambda: held_up_s(loop),
    )
    delegate.use_view_wait(view_wait.wait)


def watch_views(
    follower: RangeFollower,
    config_age: ConfigAgeTracker,
    max_age_s: float,
    metrics: ExposedMetrics,
) -> ViewWatch:
    """Return the watch of the view's age, and expose its figures."""
    watch = ViewWatch(
        follower, config_age, follower.sources, max_age_s, metrics
    )
    metrics.gauge(Metric.STORE_AGE_S, config_age.store_age_s)
    metrics.gauge(Metric.VIEW_STALE_S, watch.stale_s)
    metrics.gauge(Metric.STORE_ERA, lambda: era_of(follower.revision))
    return watch


class CallPath:
    """Compose admission, choice of an endpoint, and dispatch of calls."""

    def __init__(
        self,
        directory: Directory,
        driver: CurlDriver,
        wanted: WantedVersions,
        zone: str,
        metrics: Metrics,
        clock: Clock,
        rng: Random,
        decisions: Decisions,
    ) -> None:
        """Build all parts without starting them."""
        self.chooser = Chooser(directory, rng, PACES[decisions.paces])
        self.dialect = PlatformDialect(
            reads_parts=decisions.prompt_parts == 'counted'
        )
        self.dispatcher = DirectDispatcher(
            self.chooser,
            driver,
            self.dialect,
            wanted,
            zone,
            metrics,
        )
        self.dispatcher.held.limits = READER_LIMITS[decisions.slow_readers]
        self.admission = DeadlineAdmission(
            self.chooser,
            self.dispatcher,
            clock,
            RETRY_AFTER_POLICIES[decisions.returns](rng),
            FIRST_ATTEMPT_DETECTORS[decisions.first_tries](),
            RETRY_CAPACITY[decisions.return_room],
            self.dispatcher.thresholds,
        )

    def limit_rate(self, region: str) -> None:
        """Read long answers from other regions at a bounded rate."""
        self.dispatcher.region_pace = RegionPace(
            region, lambda: self.chooser.entry_count()
        )

    def limit_memory(
        self,
        delegate: CallServerDelegate,
        limit_bytes: int,
        metrics: ExposedMetrics,
        max_calls: int = sys.maxsize,
    ) -> None:
        """Refuse calls near the limits of the process; 0 bytes set none."""
        held = self.dispatcher.held
        held.limits = dataclasses.replace(
            held.limits, entry=int(limit_bytes * HELD_SHARE)
        )
        delegate.memory_guard = MemoryGuard(
            held,
            limit_bytes,
            resident_bytes,
            min(max_calls, calls_within(limit_bytes)),
        )
        metrics.gauge(Metric.ANSWERS_HELD_BYTES, lambda: held.answers)
        metrics.gauge(Metric.BODIES_HELD_BYTES, lambda: held.bodies)
