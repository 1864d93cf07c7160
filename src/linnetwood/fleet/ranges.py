"""Ranges of keys: snapshots, changes, and the protocols for both.

All revisions order changes across the histories of a store: see revisions.py.
"""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from linnetwood.core.errors import StoreError


class HistoryLostError(StoreError):
    """The store no longer has the changes since a revision.

    Its era is then higher than that of the revision if it was restored.
    """

    def __init__(self, code: str, detail: str = '', era: int = 0) -> None:
        """Set the code, the detail and the era that the store named."""
        super().__init__(code, detail)
        self.era = era


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A key's bytes and the revision that wrote them."""

    payload: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key as it was written, or without a record when it is deleted.

    age_s is the seconds since some entry first saw the change, infinity if none
    did. deleted_revision is the revision of the deletion, 0 if unknown.
    """

    key: str
    record: Record | None
    age_s: float = 0
    deleted_revision: int = 0

    def may_follow(self, revision: int) -> bool:
        """Return whether the change may be newer than a revision."""
        if self.record is not None:
            return self.record.revision > revision
        return not self.deleted_revision or self.deleted_revision > revision


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A range of keys, and the revision from which to wait for changes.

    Ages are in seconds, by key, as in Change; a key without an age was not seen
    to change. Of a store that was restored from a copy since the view before,
    keys may be missing that still hold, and others may be back that were gone.
    """

    records: Mapping[str, Record]
    revision: int
    ages: Mapping[str, float] = dataclasses.field(default_factory=dict)
    is_restored: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order, and the revision to go on from."""

    changes: tuple[Change, ...]
    revision: int


class RangeStore(Protocol):
    """Read and wait for ranges of keys."""

    async def read(self, prefix: str) -> Snapshot:
        """Read a range; raise StoreError when the store does not answer."""

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait up to wait_s for changes after a revision.

        Raises HistoryLostError when the store no longer has them, StoreError
        when it does not answer.
        """


class RangeSink(Protocol):
    """Receive what a range holds."""

    def replace_all(self, snapshot: Snapshot) -> None:
        """Replace the whole range."""

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changes in order."""

    def mark_unreachable(self) -> None:
        """Note that the store could not be reached just now."""
