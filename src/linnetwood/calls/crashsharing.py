"""Share with all entries which calls endpoints crashed under.

Each record is one key in the platform's store. Like a configuration it reaches
all entries with its age, including those in other zones and those that start
later, and it expires by itself. Only a crash writes one.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import Protocol

from linnetwood.calls.crashes import CrashRecord
from linnetwood.core.backoff import pause_s
from linnetwood.core.bounded import keep_newest
from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import TaskOwner
from linnetwood.core.waits import wait_for_event

# Records of one crash are gathered for this long and written with one call.
_BATCH_S = 0.1
# Removals are not urgent: they clear calls that are not refused.
_REMOVAL_DELAY_S = 1.0
_BACKOFF_FIRST_S = 0.1
# When several endpoints crash at once, entries spread their writes so that all
# of them together use less than half the limit of a store that accepts 400
# calls a second.
_MAX_CALLS_PER_S = 150
# All entries must know of a crash within 3 s; this leaves 0.5 s for the call to
# the store and for the notification.
_MAX_SPREAD_S = 2.5
# Share of the spread that is kept free for entries that lost calls of a single
# endpoint: these write first.
_MIN_SPREAD_SHARE = 0.2
# Number of entries that may remove the same record before they see that another
# entry already did.
_CONCURRENT_REMOVALS = 8
# Time that a call to the store and the notification of it take.
_WATCH_DELAY_S = 0.2
# The store may carry out an unanswered write some seconds later.
_LATE_WRITE_S = 10.0
# A store that is reachable again gets the records within this time; all entries
# must know of a crash within 3 s.
_BACKOFF_MAX_S = 0.8
_BACKOFF_MIN_SHARE = 0.5
# Records of 10 crashes with 16 calls of three fingerprints each, at one entry;
# beyond that the oldest are dropped.
_MAX_PENDING = 512


class CrashStore(Protocol):
    """The store in which entries share crash records."""

    @property
    def max_records(self) -> int:
        """Return the maximum number of records per write."""

    async def write(
        self, added: Sequence[CrashRecord], removed: Sequence[CrashRecord]
    ) -> None:
        """Add some records and remove others, all or none.

        Raises StoreError if the outcome is uncertain; the write may be
        repeated.
        """


class CrashPublisher(TaskOwner):
    """Write crash records to the store, one call at a time."""

    def __init__(
        self,
        store: CrashStore,
        rng: Random,
        entries: Callable[[], int],
    ) -> None:
        """Start with nothing to write; entries() share the store's limit."""
        super().__init__()
        self._entries = entries
        self._store = store
        self._rng = rng
        self._to_add: deque[CrashRecord] = deque(maxlen=_MAX_PENDING)
        self._to_remove: deque[CrashRecord] = deque(maxlen=_MAX_PENDING)
        # Records that this entry wrote and the store holds. A store that is
        # restored from a copy may lose them, and nobody else writes them again.
        self._written: dict[CrashRecord, None] = {}
        # Records that the store held and that were removed, here or by others.
        # A store that is restored from a copy may bring them back.
        self._removed: dict[CrashRecord, None] = {}
        # Records that an unanswered write may have added.
        self._uncertain: set[CrashRecord] = set()
        self._wake = asyncio.Event()
        self._write_soon = asyncio.Event()

    def share(self, record: CrashRecord) -> None:
        """Share a record with all entries."""
        if record in self._to_remove:
            self._to_remove.remove(record)
        self._removed.pop(record, None)
        self._to_add.append(record)
        self._write_soon.set()
        self._wake.set()

    def withdraw(self, record: CrashRecord, *, urgent: bool = False) -> None:
        """Withdraw a record from all entries, at once if it is urgent."""
        if record in self._to_add:
            self._to_add.remove(record)
            if record not in self._uncertain:
                # It was never written.
                return
        self._queue_removal(record)
        if urgent:
            self._write_soon.set()

    def note_added(self, record: CrashRecord) -> None:
        """Note that the store holds a record."""
        self._removed.pop(record, None)

    def note_removed(self, record: CrashRecord) -> None:
        """Note that the store no longer holds a record."""
        self._written.pop(record, None)
        keep_newest(self._removed, record, None, _MAX_PENDING)
        if record in self._to_remove and record not in self._uncertain:
            self._to_remove.remove(record)

    def was_removed(self, record: CrashRecord) -> bool:
        """Return whether a record was removed from the store."""
        return record in self._removed

    def note_restored(self, held: Collection[CrashRecord]) -> None:
        """Write again what a restored store has lost.

        This includes records written here and removals by any entry; `held`
        are the records that the store holds.
        """
        for brought_back in self._removed.keys() & set(held):
            self._queue_removal(brought_back)
        for record in self._written.keys() - set(held):
            if record not in self._to_add:
                self.share(record)

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
        """Gather records for one call, after a random delay.

        Calls of one endpoint come from few entries. When several endpoints
        crash at once, or all entries see the same answer, a random delay
        spreads the writes of the entries.
        """
        if not self._to_add:
            spread_s = self._entries() * _WATCH_DELAY_S / _CONCURRENT_REMOVALS
            delay_s = _REMOVAL_DELAY_S + self._rng.uniform(0, spread_s)
            # A record to add, or an urgent removal, ends this wait.
            await wait_for_event(self._write_soon, delay_s)
        self._write_soon.clear()
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
            keep_newest(self._written, record, None, _MAX_PENDING)
            if record in self._to_add:
                self._to_add.remove(record)
        for record in removed:
            self._removal_written(record)

    def _queue_removal(self, record: CrashRecord) -> None:
        if record not in self._to_remove:
            self._to_remove.append(record)
            self._wake.set()

    def _removal_written(self, record: CrashRecord) -> None:
        self._written.pop(record, None)
        keep_newest(self._removed, record, None, _MAX_PENDING)
        if record in self._to_remove:
            self._to_remove.remove(record)
        if record in self._uncertain:
            self._uncertain.discard(record)
            loop = asyncio.get_running_loop()
            loop.call_later(_LATE_WRITE_S, self._remove_late_write, record)

    def _remove_late_write(self, record: CrashRecord) -> None:
        """Remove what an unanswered write may have added since its removal."""
        is_shared_again = record in self._written or record in self._to_add
        if not is_shared_again:
            self._queue_removal(record)

    def _backoff_s(self, failures: int) -> float:
        return pause_s(
            failures - 1,
            self._rng,
            _BACKOFF_FIRST_S,
            _BACKOFF_MAX_S,
            _BACKOFF_MIN_SHARE,
        )
