"""A local copy of a range, and what an older revision of it lacks."""

import dataclasses
import math
import zlib
from collections import defaultdict, deque
from collections.abc import Iterator

from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.revisions import same_era

# Beyond this number the oldest deletions are forgotten; a subscriber whose
# revision is older than these gets the whole range.
MAX_DELETIONS = 4096
# Payloads of at least this size are sent as patches. Smaller ones are about as
# small as a patch.
LARGE_BYTES = 8192
# The number of versions before the newest one that are kept as a base of
# patches, since other entries may still hold them. A compressed configuration
# of 1,900 routes takes 60 KB.
_EARLIER_VERSIONS = 4
_FASTEST_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """What brings a range up to a revision: all of it, or the changes."""

    revision: int
    whole: bool
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredKey:
    record: Record
    changed_at: float


class Mirror:
    """Hold the last record that was written to each key."""

    __slots__ = (
        '_deleted',
        '_earlier',
        '_history_start',
        '_stored',
        'first_revision',
        'large_revision',
        'revision',
    )

    def __init__(self) -> None:
        """Start empty, at revision 0."""
        self.revision = 0
        # The revision of the large payload that was written last, at most that
        # of the range.
        self.large_revision = 0
        # The revision at which the range was read first, 0 before that.
        self.first_revision = 0
        self._stored: dict[str, _StoredKey] = {}
        self._deleted: deque[tuple[int, str, float]] = deque()
        self._earlier: dict[str, deque[tuple[int, bytes]]] = defaultdict(
            lambda: deque(maxlen=_EARLIER_VERSIONS),
        )
        self._history_start = 0

    def replace_all(self, snapshot: Snapshot, now: float) -> None:
        """Replace the whole range; earlier deletions are forgotten."""
        previous = self._stored
        self._stored = {
            key: self._merge_age(
                key, record, now - snapshot.ages.get(key, math.inf)
            )
            for key, record in snapshot.records.items()
        }
        for old_key, stored in previous.items():
            self._keep_earlier(old_key, stored.record)
        self._deleted.clear()
        self._history_start = snapshot.revision
        self.revision = snapshot.revision
        self.first_revision = self.first_revision or snapshot.revision
        self._note_large()

    def compare(self, snapshot: Snapshot) -> dict[str, int]:
        """Count the keys that a snapshot would lose, change and keep."""
        held = {key: one.record.payload for key, one in self._stored.items()}
        found = snapshot.records
        common = held.keys() & found.keys()
        kept = sum(held[key] == found[key].payload for key in common)
        return {
            'lost': len(held) - len(common),
            'changed': len(common) - kept,
            'kept': kept,
        }

    def changes_of_all(self, now: float) -> tuple[Change, ...]:
        """Return all records with their ages."""
        return tuple(
            Change(key, stored.record, now - stored.changed_at)
            for key, stored in self._stored.items()
        )

    def known_ages(self, now: float) -> dict[str, float]:
        """Return the ages of the records that were seen to change, by key."""
        return {
            key: now - stored.changed_at
            for key, stored in self._stored.items()
            if math.isfinite(stored.changed_at)
        }

    def apply_changes(
        self,
        changes: tuple[Change, ...],
        revision: int,
        now: float,
    ) -> None:
        """Apply changes in order."""
        for change in changes:
            changed_at = now - change.age_s
            if change.record is None:
                self._delete(
                    change.key, change.deleted_revision or revision, changed_at
                )
            else:
                self._write(change.key, change.record, changed_at)
        self.revision = max(self.revision, revision)
        self._note_large()

    def delta_since(self, known_revision: int, now: float) -> Delta:
        """Return what a copy of the range at a known revision lacks."""
        if known_revision < self._history_start:
            return Delta(
                self.revision, whole=True, changes=self.changes_of_all(now)
            )
        return Delta(
            self.revision,
            whole=False,
            changes=tuple(self._changes_since(known_revision, now)),
        )

    def held_revisions(self) -> dict[str, int]:
        """Return the revisions of the large payloads that are held, by key."""
        return {
            key: stored.record.revision
            for key, stored in self._stored.items()
            if len(stored.record.payload) >= LARGE_BYTES
        }

    def payload_at(self, key: str, revision: int) -> bytes | None:
        """Return a key's payload as of one write, if it is still held."""
        stored = self._stored.get(key)
        if stored is not None and stored.record.revision == revision:
            return stored.record.payload
        earlier = dict(self._earlier.get(key, ()))
        packed = earlier.get(revision)
        return None if packed is None else zlib.decompress(packed)

    def _merge_age(
        self, key: str, record: Record, changed_at: float
    ) -> _StoredKey:
        stored = self._stored.get(key)
        if stored is not None and _is_same(stored.record, record):
            seen_at = filter(math.isfinite, (changed_at, stored.changed_at))
            changed_at = min(seen_at, default=changed_at)
        return _StoredKey(record, changed_at)

    def _write(self, key: str, record: Record, changed_at: float) -> None:
        # A range is read in pages: a page that was read late may already hold
        # this change.
        stored = self._stored.get(key)
        if stored is None or stored.record.revision < record.revision:
            self._stored[key] = _StoredKey(record, changed_at)
            if stored is not None:
                self._keep_earlier(key, stored.record)

    def _note_large(self) -> None:
        # A page that was read late may hold a payload that is newer than the
        # range: a subscriber that has it still counts as having the range.
        newest = max(self.held_revisions().values(), default=0)
        self.large_revision = min(newest, self.revision)

    def _keep_earlier(self, key: str, record: Record) -> None:
        stored = self._stored.get(key)
        if stored is None or stored.record.revision == record.revision:
            return
        if len(record.payload) >= LARGE_BYTES:
            packed = zlib.compress(record.payload, _FASTEST_LEVEL)
            self._earlier[key].append((record.revision, packed))

    def _delete(self, key: str, revision: int, changed_at: float) -> None:
        # Where the deletion's own revision is unknown, the revision of the
        # changes that it came with is used. That one is no lower, so every
        # subscriber that lacks the deletion gets it.
        self._stored.pop(key, None)
        self._deleted.append((revision, key, changed_at))
        if len(self._deleted) > MAX_DELETIONS:
            self._history_start = self._deleted.popleft()[0]

    def _changes_since(
        self, known_revision: int, now: float
    ) -> Iterator[Change]:
        for revision, key, changed_at in self._deleted:
            if revision > known_revision and key not in self._stored:
                yield Change(key, None, now - changed_at)
        for stored_key, stored in self._stored.items():
            if stored.record.revision > known_revision:
                yield Change(stored_key, stored.record, now - stored.changed_at)


def _is_same(held: Record, read: Record) -> bool:
    """Return whether a record that is read was held before.

    A restored store gives it a revision of another era.
    """
    if same_era(held.revision, read.revision):
        return held.revision == read.revision
    return held.payload == read.payload
