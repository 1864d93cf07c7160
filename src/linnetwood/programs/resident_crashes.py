"""What an entry knows of calls that end endpoints: seen here, and shared."""

from collections.abc import Callable
from random import Random

from linnetwood.calls.crashes import CrashHistory
from linnetwood.calls.crashsharing import CrashPublisher
from linnetwood.calls.crashwatch import CrashWatch
from linnetwood.calls.directory import Directory
from linnetwood.calls.quarantine import Admit, Quarantine
from linnetwood.core.clock import Clock
from linnetwood.platform.crashstore import CrashFeed, PlatformCrashStore
from linnetwood.platform.ignored import Ignored
from linnetwood.platform.store import PlatformStore
from linnetwood.wire.probing import refuses


class CrashTracker:
    """Own the watch over crashes, and what is told of them."""

    def __init__(
        self,
        store: PlatformStore,
        directory: Directory,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Suspect nobody."""
        # How many entries share the store's calls.
        self.entries: Callable[[], int] = _one_entry
        self._clock = clock
        self._crashes = CrashHistory()
        self._publisher = CrashPublisher(
            PlatformCrashStore(store, clock),
            rng,
            lambda: self.entries(),
        )
        self.watch = CrashWatch(
            self._crashes,
            directory,
            clock,
            refuses,
            self._publisher,
        )

    def start(self) -> None:
        """Begin to tell."""
        self._publisher.start()

    async def close(self) -> None:
        """Watch and tell no more."""
        await self.watch.close()
        await self._publisher.close()

    def feed(self, ignored: Ignored) -> CrashFeed:
        """Give what takes in the ends that others share."""
        return CrashFeed(
            self._crashes,
            self._clock,
            ignored,
            self._publisher.note_removed,
        )

    def refuse_before(self, admit: Admit) -> Quarantine:
        """Give what refuses calls that end endpoints, before all else."""
        return Quarantine(self._crashes, admit, self._clock)


def _one_entry() -> int:
    return 1
