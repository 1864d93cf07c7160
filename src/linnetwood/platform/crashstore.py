"""Crash records that entries share, as keys of the platform's store."""

import math
import re
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from linnetwood.calls.crashes import (
    CRASH_RECORD_TTL_S,
    CrashHistory,
    CrashRecord,
)
from linnetwood.calls.crashlog import log_new_crash
from linnetwood.core.clock import Clock
from linnetwood.core.errors import ConfigError, StoreError
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.platform import records
from linnetwood.platform.ignored import IgnoredRecords
from linnetwood.platform.store import LEASE_GONE, PlatformStore

_KEY = re.compile(f'{records.CRASH_PREFIX}([0-9a-f]{{24}})/([0-9a-f]{{16}})')
# The platform's limit of keys per transaction.
_MAX_KEYS_PER_WRITE = 32
_NO_LEASE = 0
# The value of a record whose calls were answered before. It outlives the
# entries that saw the answers.
_ANSWERED = b'answered'


class PlatformCrashStore:
    """Write crash records under a lease, so that they expire by themselves.

    A lease is used for half of its lifetime; a crash then needs only one call.
    A store restored from a copy may not know it, or have given it to others.
    """

    def __init__(
        self,
        store: PlatformStore,
        clock: Clock,
        was_answered: Callable[[str], bool],
    ) -> None:
        """Hold no lease yet; was_answered tells calls by their fingerprint."""
        self._was_answered = was_answered
        self._store = store
        self._clock = clock
        self._lease = _NO_LEASE
        self._lease_until = float()
        self._lease_era = 0

    @property
    def max_records(self) -> int:
        """Return the maximum number of records per write."""
        return _MAX_KEYS_PER_WRITE

    async def write(
        self, added: Sequence[CrashRecord], removed: Sequence[CrashRecord]
    ) -> None:
        """Add some records and remove others, all or none."""
        lease = await self._current_lease() if added else _NO_LEASE
        try:
            await self._store.write(
                {crash_key(crash): self._payload(crash) for crash in added},
                [crash_key(crash) for crash in removed],
                lease,
            )
        except StoreError as exc:
            if exc.code == LEASE_GONE:
                self._lease = _NO_LEASE
            raise
        if lease and self._store.era != self._lease_era:
            # The answer was the first one of another era.
            self._lease = _NO_LEASE
            raise StoreError(LEASE_GONE, f'era {self._store.era}')

    def _payload(self, crash: CrashRecord) -> bytes:
        return _ANSWERED if self._was_answered(crash.fingerprint) else b''

    async def _current_lease(self) -> int:
        now = self._clock.now()
        is_lost = self._store.era != self._lease_era
        if not self._lease or is_lost or now >= self._lease_until:
            self._lease = await self._store.lease(CRASH_RECORD_TTL_S)
            self._lease_until = now + CRASH_RECORD_TTL_S / 2
            self._lease_era = self._store.era
        return self._lease


class StoredRecords(Protocol):
    """Track which records the store holds, and restore lost ones."""

    def note_added(self, record: CrashRecord) -> None:
        """Note that the store holds a record."""

    def note_removed(self, record: CrashRecord) -> None:
        """Note that the store no longer holds a record."""

    def note_restored(self, held: Collection[CrashRecord]) -> None:
        """Note the records held by a store that was restored from a copy."""

    def was_removed(self, record: CrashRecord) -> bool:
        """Return whether a record was removed from the store."""


class NoStoredRecords:
    """Track and restore nothing."""

    def note_added(self, record: CrashRecord) -> None:
        """Do nothing."""

    def note_removed(self, record: CrashRecord) -> None:
        """Do nothing."""

    def note_restored(self, held: Collection[CrashRecord]) -> None:
        """Do nothing."""

    def was_removed(self, record: CrashRecord) -> bool:
        """Return False."""
        return False


class CrashFeed:
    """Apply the crash records in the store to the crash history."""

    def __init__(
        self,
        crashes: CrashHistory,
        clock: Clock,
        ignored: IgnoredRecords | None = None,
        stored: StoredRecords | None = None,
    ) -> None:
        """Update crashes from the store; report its records to `stored`."""
        self._stored = stored or NoStoredRecords()
        self._crashes = crashes
        self._clock = clock
        self._ignored = ignored or IgnoredRecords()

    def replace_all(self, found: Snapshot) -> None:
        """Replace all records; one of unknown age counts from now.

        Records that a restored store has lost still hold, each until its own
        time is over; those that it brings back don't.
        """
        now = self._clock.now()
        crashes = []
        for key, record in found.records.items():
            crash = self._read(key, record)
            if crash is not None:
                age_s = found.ages.get(key, math.inf)
                crashes.append((crash, now - _known_for_s(age_s)))
        if found.is_restored:
            self._crashes.add_shared(
                one for one in crashes if not self._stored.was_removed(one[0])
            )
            self._stored.note_restored([crash for crash, _ in crashes])
        else:
            self._crashes.replace_shared(crashes)
            for crash, _ in crashes:
                self._stored.note_added(crash)
        for key, record in found.records.items():
            self._note_value(self._read(key, record), record)

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changes, in order."""
        now = self._clock.now()
        for change in changes:
            crash = self._read(change.key, change.record)
            if crash is None:
                continue
            if change.record is None:
                self._crashes.remove(crash)
                self._stored.note_removed(crash)
            else:
                at = now - _known_for_s(change.age_s)
                if self._crashes.add(crash, at, shared=True):
                    log_new_crash(self._crashes, crash)
                self._stored.note_added(crash)
                self._note_value(crash, change.record)

    def _note_value(self, crash: CrashRecord | None, record: Record) -> None:
        if crash is not None and record.payload == _ANSWERED:
            self._crashes.note_answered_before(crash.fingerprint)

    def _read(self, key: str, record: Record | None) -> CrashRecord | None:
        found = _KEY.fullmatch(key)
        if found is not None:
            return CrashRecord(found[1], found[2])
        if record is not None:
            exc = ConfigError('end-malformed', key)
            self._ignored.record_ignored(key, record, exc)
        return None


def _known_for_s(age_s: float) -> float:
    """Return the age of a record in seconds; 0 if it is unknown."""
    return age_s if math.isfinite(age_s) else 0


def crash_key(crash: CrashRecord) -> str:
    """Return the store key of a record."""
    return f'{records.CRASH_PREFIX}{crash.fingerprint}/{crash.incarnation_id}'
