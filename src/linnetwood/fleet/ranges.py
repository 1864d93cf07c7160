"""Ranges of keys: what they hold, what changes, who tells and who hears."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from linnetwood.core.errors import StoreError


class HistoryLostError(StoreError):
    """The changes since a revision can no longer be told."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A key's bytes and the revision that wrote them."""

    payload: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key as it was written, or without a record when it is gone.

    Its age is the seconds since somebody saw it come; infinity if nobody did.
    A key that is gone went at a revision, 0 if that is not told.
    """

    key: str
    record: Record | None
    age_s: float = 0
    deleted_revision: int = 0

    def may_follow(self, revision: int) -> bool:
        """Tell whether it may have come after a revision."""
        if self.record is not None:
            return self.record.revision > revision
        return not self.deleted_revision or self.deleted_revision > revision


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A range of keys, and the revision from which to wait for changes.

    Ages are those of changes; a key without one was not seen to change.
    """

    records: Mapping[str, Record]
    revision: int
    ages: Mapping[str, float] = dataclasses.field(default_factory=dict)


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


class RangeSink(Protocol):
    """Take in what a range holds."""

    def replace_all(self, snapshot: Snapshot) -> None:
        """Take in the whole range."""

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Take in changes, in order."""

    def mark_unreachable(self) -> None:
        """Learn that the store could not be read just now."""
