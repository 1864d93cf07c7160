"""Share with all entries which calls endpoints crashed under.

What is shared is a key of the platform's store for each end: it reaches all
entries as a configuration does, also those of other zones and those that start,
with its age, and goes by itself. Only a crash writes one.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from linnetwood.calls.crashes import CrashRecord
from linnetwood.core.backoff import pause_s
from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import Owner
from linnetwood.core.waits import happened

# All suspects of one crash are written with one call.
_BATCH_S = 0.1
# What clears a call that is not refused is in no hurry.
_REMOVAL_DELAY_S = 1.0
_BACKOFF_FIRST_S = 0.1
# Entries take turns where several endpoints end at once, so that their calls
# stay under half of what a store takes whose own limit is 400 a second.
_MAX_CALLS_PER_S = 150
# All are to know within 3 s; half a second is left for the call and the news.
_MAX_SPREAD_S = 2.5
# Whoever lost calls of one endpoint alone has gone before.
_MIN_SPREAD_SHARE = 0.2
# So many entries may take the same end away before they see that one did.
_CONCURRENT_REMOVALS = 8
# What a call to the store and the news of it take.
_WATCH_DELAY_S = 0.2
# A write without an answer may be carried out some seconds later.
_LATE_WRITE_S = 10.0
# A store that is back is told within this; all are to know within 3 s.
_BACKOFF_MAX_S = 0.8
_BACKOFF_MIN_SHARE = 0.5
# Of 32 crashes with 16 calls each; beyond that the oldest are not told.
_MAX_PENDING = 512


class CrashStore(Protocol):
    """Where all entries read the ends that are shared."""

    @property
    def max_records(self) -> int:
        """Give how many ends one call may carry."""

    async def write(
        self, added: Sequence[CrashRecord], removed: Sequence[CrashRecord]
    ) -> None:
        """Write some ends and take away others, all or none.

        Raises StoreError where that is not certain; it may be done again.
        """


class CrashPublisher(Owner):
    """Own the calls that tell; one at a time."""

    def __init__(
        self,
        store: CrashStore,
        rng: Random,
        entries: Callable[[], int],
    ) -> None:
        """Have nothing to tell; so many entries share the store."""
        super().__init__()
        self._entries = entries
        self._store = store
        self._rng = rng
        self._to_add: deque[CrashRecord] = deque(maxlen=_MAX_PENDING)
        self._to_remove: deque[CrashRecord] = deque(maxlen=_MAX_PENDING)
        # Those that a write without an answer so far may have brought.
        self._uncertain: set[CrashRecord] = set()
        self._wake = asyncio.Event()
        self._add_pending = asyncio.Event()

    def share(self, record: CrashRecord) -> None:
        """Tell of an end."""
        if record in self._to_remove:
            self._to_remove.remove(record)
        self._to_add.append(record)
        self._add_pending.set()
        self._wake.set()

    def withdraw(self, record: CrashRecord) -> None:
        """Tell that an end counts no more."""
        if record in self._to_add:
            self._to_add.remove(record)
            if record not in self._uncertain:
                # Nobody can have heard of it.
                return
        self._queue_removal(record)

    def note_removed(self, record: CrashRecord) -> None:
        """Note that the store holds an end no more."""
        if record in self._to_remove and record not in self._uncertain:
            self._to_remove.remove(record)

    async def _run(self) -> None:
        failures = 0
        while True:
            await self._wake.wait()
            await self._wait_to_write()
            try:
                await self._write_batch()
            except StoreError as exc:
                failures += 1
                log(Event.ENDS_UNSHARED, code=exc.code, detail=exc.detail)
                await asyncio.sleep(self._backoff_s(failures))
                continue
            failures = 0
            if not self._to_add and not self._to_remove:
                self._wake.clear()

    async def _wait_to_write(self) -> None:
        """Wait for more to tell with the same call, and for this one's turn.

        One endpoint's calls come from few entries; where several end at once,
        or all entries see the same answer, these take turns by chance.
        """
        if not self._to_add:
            spread_s = self._entries() * _WATCH_DELAY_S / _CONCURRENT_REMOVALS
            delay_s = _REMOVAL_DELAY_S + self._rng.uniform(0, spread_s)
            # What is to be shared does not wait for that.
            await happened(self._add_pending, delay_s)
        self._add_pending.clear()
        if self._to_add:
            await asyncio.sleep(_BATCH_S)
            spread_s = self._spread_s()
            first_s = spread_s * _MIN_SPREAD_SHARE
            await asyncio.sleep(self._rng.uniform(first_s, spread_s))

    def _spread_s(self) -> float:
        if len({record.incarnation_id for record in self._to_add}) <= 1:
            return 0
        return min(_MAX_SPREAD_S, self._entries() / _MAX_CALLS_PER_S)

    async def _write_batch(self) -> None:
        max_records = self._store.max_records
        added = list(self._to_add)[:max_records]
        removed = list(self._to_remove)[: max_records - len(added)]
        if not added and not removed:
            return
        self._uncertain.intersection_update((*self._to_add, *self._to_remove))
        self._uncertain.update(added)
        await self._store.write(added, removed)
        for record in added:
            self._uncertain.discard(record)
            if record in self._to_add:
                self._to_add.remove(record)
        for record in removed:
            self._removal_written(record)

    def _queue_removal(self, record: CrashRecord) -> None:
        if record not in self._to_remove:
            self._to_remove.append(record)
            self._wake.set()

    def _removal_written(self, record: CrashRecord) -> None:
        if record in self._to_remove:
            self._to_remove.remove(record)
        if record in self._uncertain:
            self._uncertain.discard(record)
            loop = asyncio.get_running_loop()
            loop.call_later(_LATE_WRITE_S, self._queue_removal, record)

    def _backoff_s(self, failures: int) -> float:
        return pause_s(
            failures - 1,
            self._rng,
            _BACKOFF_FIRST_S,
            _BACKOFF_MAX_S,
            _BACKOFF_MIN_SHARE,
        )
