"""Follow a range of keys: read it once, then wait for what changes."""

import asyncio
import dataclasses
import math
from collections.abc import Mapping
from random import Random
from typing import Protocol

from linnetwood.core.backoff import pause_s
from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log

# A wait that is cut off unseen is noticed within this and the slack.
_WAIT_S = 2.0
# Changes that come in a crowd are fetched together.
_GATHER_S = 0.02


# Entries of live endpoints are back within two seconds of the store's return,
# so a store that is back is to be noticed well within one.
_PAUSE_FIRST_S = 0.1
_PAUSE_MOST_S = 0.8
_PAUSE_LEAST_SHARE = 0.5


class HistoryLostError(StoreError):
    """The changes since a revision can no longer be told."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A key's bytes and the revision that wrote them."""

    payload: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key as it was written, or without an record when it is gone."""

    key: str
    record: Record | None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A range of keys, and the revision from which to wait for changes."""

    records: Mapping[str, Record]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed, in order, and the revision to go on from."""

    changes: tuple[Change, ...]
    revision: int


class RangeStore(Protocol):
    """Read and wait for ranges of keys."""

    async def read(self, prefix: str) -> Snapshot:
        """Read a range; raise StoreError when the store does not answer."""

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes; raise HistoryLostError if they can't be told."""


class Sink(Protocol):
    """Take in what a range holds."""

    def replaced(self, records: Mapping[str, Record]) -> None:
        """Take in the whole range."""

    def changed(self, changes: tuple[Change, ...]) -> None:
        """Take in changes, in order."""

    def away(self) -> None:
        """Learn that the store could not be read just now."""


class Following:
    """Own one range: a task that reads, waits and begins again."""

    def __init__(
        self,
        store: RangeStore,
        prefix: str,
        sink: Sink,
        rng: Random,
    ) -> None:
        """Follow nothing yet."""
        self.learned = asyncio.Event()
        # By the clock of the loop, which is the monotonic one.
        self.heard_at = -math.inf
        self._store = store
        self._prefix = prefix
        self._sink = sink
        self._rng = rng
        self._revision = 0
        self._away = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following; what was learned stays."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        failures = 0
        while True:
            try:
                await self._step()
            except HistoryLostError:
                log(Event.STORE_HISTORY_LOST, prefix=self._prefix)
                # The store itself was there: what is missing now is gone.
                self._revision = 0
            except StoreError as exc:
                failures += 1
                self._note_away(exc)
                self._sink.away()
                await asyncio.sleep(self._pause_s(failures))
            else:
                failures = 0
                self._note_back()

    async def _step(self) -> None:
        if not self._revision:
            snapshot = await self._store.read(self._prefix)
            self._note_heard()
            self._sink.replaced(snapshot.records)
            self._revision = snapshot.revision
            self.learned.set()
            return
        found = await self._store.wait(self._prefix, self._revision, _WAIT_S)
        # A wait that ends empty confirms what is believed, too.
        self._note_heard()
        if found.changes:
            self._sink.changed(found.changes)
            await asyncio.sleep(_GATHER_S)
        self._revision = max(self._revision, found.revision)

    def _pause_s(self, failures: int) -> float:
        return pause_s(
            failures,
            self._rng,
            _PAUSE_FIRST_S,
            _PAUSE_MOST_S,
            _PAUSE_LEAST_SHARE,
        )

    def _note_heard(self) -> None:
        self.heard_at = asyncio.get_running_loop().time()

    def _note_away(self, exc: StoreError) -> None:
        if not self._away:
            log(
                Event.STORE_AWAY,
                prefix=self._prefix,
                code=exc.code,
                detail=exc.detail,
                revision=self._revision,
            )
        self._away = True

    def _note_back(self) -> None:
        if self._away:
            log(
                Event.STORE_BACK,
                prefix=self._prefix,
                revision=self._revision,
            )
        self._away = False
