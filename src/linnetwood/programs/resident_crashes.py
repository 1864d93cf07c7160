"""Crash tracking of an entry: crashes seen here and shared by others."""

from collections.abc import Callable
from random import Random

from linnetwood.calls.crashcauses import CrashCauses
from linnetwood.calls.crashes import CrashHistory
from linnetwood.calls.crashsharing import CrashPublisher
from linnetwood.calls.crashwatch import CrashWatch
from linnetwood.calls.directory import Directory
from linnetwood.calls.quarantine import Admit, Quarantine
from linnetwood.core.clock import Clock
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.metrics import Metric
from linnetwood.platform.crashstore import CrashFeed, PlatformCrashStore
from linnetwood.platform.ignored import IgnoredRecords
from linnetwood.platform.store import PlatformStore
from linnetwood.platform.survival import SurvivalProbe
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.probing import refuses_connections


def _no_engines(service: str) -> bool:
    """Take every service for a plain one by default."""
    return False


class CrashTracker:
    """Own the crash watch, the crash history and its publisher."""

    def __init__(
        self,
        store: PlatformStore,
        directory: Directory,
        driver: CurlDriver,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start without suspects."""
        # Number of entries that share the limit of calls to the store.
        self.entries: Callable[[], int] = _one_entry
        # Whether a service is configured with engines.
        self.has_engines: Callable[[str], bool] = _no_engines
        self._clock = clock
        self._crashes = CrashHistory()
        self._publisher = CrashPublisher(
            PlatformCrashStore(store, clock, self._crashes.was_answered),
            rng,
            lambda: self.entries(),
        )
        self._causes = CrashCauses(
            self._crashes, rng, lambda: max(1, self.entries())
        )
        self.watch = CrashWatch(
            self._crashes,
            self._causes,
            directory,
            clock,
            refuses_connections,
            SurvivalProbe(driver, lambda service: self.has_engines(service)),
            self._publisher,
        )

    def expose(self, metrics: ExposedMetrics) -> None:
        """Add the number of suspects to the metrics."""
        metrics.gauge(Metric.SUSPECTS, lambda: self._crashes.suspect_count)

    def start(self) -> None:
        """Start to write crash records to the store."""
        self._publisher.start()

    async def close(self) -> None:
        """Stop watching and writing."""
        await self.watch.close()
        await self._publisher.close()

    def feed(self, ignored: IgnoredRecords) -> CrashFeed:
        """Return the feed that applies the records shared by others."""
        return CrashFeed(self._crashes, self._clock, ignored, self._publisher)

    def quarantine_before(self, admit: Admit) -> Quarantine:
        """Return an admission that first refuses calls that crash endpoints."""
        return Quarantine(self._causes, admit, self._clock)


def _one_entry() -> int:
    return 1
