"""Keep records in force that a restored store lost; no I/O or clock.

A store that is restored from a copy lacks what operators wrote last, until they
write it again. Entries that saw it keep it in force. An entry that starts in
between reads only the copy, so the others send it what the copy lacks.
"""

from collections.abc import Callable, Iterable

from linnetwood.core.bounded import keep_newest
from linnetwood.fleet.ranges import Change, Record, Snapshot

# Operators delete a key for each evacuation that ends.
_MAX_DELETED = 4096


def _apply_none(changes: tuple[Change, ...]) -> None:
    """Do nothing by default."""


class RetainedRecords:
    """Hold the records under some prefix that await being written again.

    Without a prefix nothing is retained. Each record is kept with the time at
    which it was first seen and the revision of the store that lacked it.
    """

    __slots__ = ('_apply', '_deleted', '_held', '_prefix', 'version')

    def __init__(
        self,
        prefix: str | None = None,
        apply: Callable[[tuple[Change, ...]], None] = _apply_none,
    ) -> None:
        """Start without records; `apply` puts retained ones in force."""
        # Rises with each record that is added.
        self.version = 0
        self._prefix = prefix
        self._apply = apply
        self._held: dict[str, tuple[Record, float, int]] = {}
        # The revision up to which the deletion of a key is known.
        self._deleted: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """Return the highest revision of a retained record, 0 for none."""
        return max(
            (record.revision for record, _, _ in self._held.values()),
            default=0,
        )

    def changes(self, now: float) -> tuple[Change, ...]:
        """Return the retained records with their ages."""
        return tuple(
            Change(key, record, now - seen_at)
            for key, (record, seen_at, _) in self._held.items()
        )

    def note_restored(
        self, before: Iterable[Change], found: Snapshot, now: float
    ) -> None:
        """Retain what was there before and a restored store lacks."""
        retained = {change.key: change for change in before}
        retained.update((change.key, change) for change in self.changes(now))
        self._held.clear()
        for key, change in retained.items():
            copied = found.records.get(key)
            record = change.record
            if record is not None and (
                copied is None or copied.payload != record.payload
            ):
                self._retain(change, found.revision, now)

    def note_read(self, found: Snapshot) -> None:
        """Drop the records that were written again before a read."""
        for key, (_, _, lacked_at) in tuple(self._held.items()):
            record = found.records.get(key)
            if record is not None and record.revision > lacked_at:
                self._held.pop(key)

    def note_changes(self, changes: Iterable[Change], revision: int) -> None:
        """Drop the records whose keys were written or deleted up to then."""
        for change in changes:
            self._held.pop(change.key, None)
            self._deleted.pop(change.key, None)
            if change.record is None and self._may_retain(change.key):
                keep_newest(self._deleted, change.key, revision, _MAX_DELETED)

    def add(
        self, changes: Iterable[Change], lacked_at: int, now: float
    ) -> None:
        """Retain records that another entry retains as of a revision.

        It may not have heard of a later deletion.
        """
        for change in changes:
            known = self._held.get(change.key)
            is_new = known is None or known[0] != change.record
            if is_new and not self._is_deleted(change):
                self._retain(change, lacked_at, now)

    def apply(self, now: float) -> None:
        """Put the retained records in force, if there are any."""
        if self._held:
            self._apply(self.changes(now))

    def _may_retain(self, key: str) -> bool:
        return self._prefix is not None and key.startswith(self._prefix)

    def _is_deleted(self, change: Change) -> bool:
        """Return whether the key was deleted after a record was written."""
        return not change.may_follow(self._deleted.get(change.key, 0))

    def _retain(self, change: Change, lacked_at: int, now: float) -> None:
        if change.record is None or not self._may_retain(change.key):
            return
        self.version += 1
        self._held[change.key] = (
            change.record,
            now - change.age_s,
            lacked_at,
        )
