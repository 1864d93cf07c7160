"""What a range holds, and what somebody at an older revision lacks of it."""

import dataclasses
import math
import zlib
from collections import defaultdict, deque
from collections.abc import Iterator

from linnetwood.fleet.ranges import Change, Record, Snapshot

# Beyond so many deletions the oldest are forgotten, and whoever asks from
# before them is told the whole range.
MOST_DELETIONS = 4096
# Of payloads from here on differences are told, in place of the whole; others
# are about as small as a difference.
LARGE_OCTETS = 8192
# So many versions before the newest are kept, since others may hold them yet.
# Compressed, one of 1,900 routes takes 60 KB.
_EARLIER_KEPT = 4
_FAST = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Lack:
    """What brings a range to a revision: all of it, or what changed."""

    revision: int
    whole: bool
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    record: Record
    since: float


class Mirror:
    """Hold the newest record of each key; of several writes only the last."""

    __slots__ = (
        '_deleted',
        '_earlier',
        '_floor',
        '_known',
        'large_revision',
        'revision',
    )

    def __init__(self) -> None:
        """Hold nothing, as of no revision."""
        self.revision = 0
        # Of the large payload that was written last.
        self.large_revision = 0
        self._known: dict[str, _Known] = {}
        self._deleted: deque[tuple[int, str, float]] = deque()
        self._earlier: dict[str, deque[tuple[int, bytes]]] = defaultdict(
            lambda: deque(maxlen=_EARLIER_KEPT),
        )
        self._floor = 0

    def replaced(self, found: Snapshot, now: float) -> None:
        """Take in the whole range; deletions before it are not known."""
        before = self._known
        self._known = {
            key: self._kept(key, record, now - found.ages.get(key, math.inf))
            for key, record in found.records.items()
        }
        for name, one in before.items():
            self._keep_earlier(name, one.record)
        self._note_large()
        self._deleted.clear()
        self._floor = found.revision
        self.revision = found.revision

    def changed(
        self,
        changes: tuple[Change, ...],
        revision: int,
        now: float,
    ) -> None:
        """Take in changes, in order."""
        for change in changes:
            since = now - change.age_s
            if change.record is None:
                self._delete(change.key, change.gone_at or revision, since)
            else:
                self._write(change.key, change.record, since)
        self.revision = max(self.revision, revision)
        self._note_large()

    def lack(self, after: int, now: float) -> Lack:
        """Give what somebody lacks who knows everything up to a revision."""
        if after < self._floor:
            return Lack(self.revision, whole=True, changes=self._all(now))
        return Lack(
            self.revision,
            whole=False,
            changes=tuple(self._since(after, now)),
        )

    def held(self) -> dict[str, int]:
        """Give the revisions of the large payloads that are held, by key."""
        return {
            key: one.record.revision
            for key, one in self._known.items()
            if len(one.record.payload) >= LARGE_OCTETS
        }

    def payload(self, key: str, revision: int) -> bytes | None:
        """Give a key's payload as of this write, if it is still known."""
        known = self._known.get(key)
        if known is not None and known.record.revision == revision:
            return known.record.payload
        earlier = dict(self._earlier.get(key, ()))
        packed = earlier.get(revision)
        return None if packed is None else zlib.decompress(packed)

    def _kept(self, key: str, record: Record, since: float) -> _Known:
        known = self._known.get(key)
        if known is not None and known.record.revision == record.revision:
            seen = filter(math.isfinite, (since, known.since))
            since = min(seen, default=since)
        return _Known(record, since)

    def _write(self, key: str, record: Record, since: float) -> None:
        # A range is read in pages: one read late may hold what comes only now.
        known = self._known.get(key)
        if known is None or known.record.revision < record.revision:
            self._known[key] = _Known(record, since)
            if known is not None:
                self._keep_earlier(key, known.record)

    def _note_large(self) -> None:
        self.large_revision = max(self.held().values(), default=0)

    def _keep_earlier(self, key: str, record: Record) -> None:
        known = self._known.get(key)
        if known is None or known.record.revision == record.revision:
            return
        if len(record.payload) >= LARGE_OCTETS:
            packed = zlib.compress(record.payload, _FAST)
            self._earlier[key].append((record.revision, packed))

    def _delete(self, key: str, revision: int, since: float) -> None:
        # Where its own revision is not told, that of all the changes it came
        # with is no lower, so nobody who lacks it is left out.
        self._known.pop(key, None)
        self._deleted.append((revision, key, since))
        if len(self._deleted) > MOST_DELETIONS:
            self._floor = self._deleted.popleft()[0]

    def _all(self, now: float) -> tuple[Change, ...]:
        return tuple(
            Change(key, one.record, now - one.since)
            for key, one in self._known.items()
        )

    def _since(self, after: int, now: float) -> Iterator[Change]:
        for revision, key, since in self._deleted:
            if revision > after and key not in self._known:
                yield Change(key, None, now - since)
        for name, one in self._known.items():
            if one.record.revision > after:
                yield Change(name, one.record, now - one.since)
