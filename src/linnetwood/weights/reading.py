"""Which VM reads a chunk from the origin or another zone, and when; no I/O."""

import dataclasses
from bisect import bisect_right
from collections.abc import Iterable
from typing import Protocol

from linnetwood.fleet.members import hash64
from linnetwood.weights import chunks
from linnetwood.weights.swarmoptions import SwarmOptions
from linnetwood.weights.takeover import (
    OriginFailure,
    TakeoverPolicy,
    after_unread_chunks,
)

_RING_POINTS = 16
READERS_PER_CHUNK = 3
# Reads start this many chunks ahead of the rate of the origin's link. The
# reader's own link also carries chunks from peers, so a few reads at a time
# don't fill the origin's link.
READ_AHEAD = 6
# Time until peers learn that a chunk is held.
_ANNOUNCE_S = 0.1


class Ring:
    """Place VMs on a ring so that each chunk has readers in an agreed order."""

    def __init__(self, manifest: str, vms: Iterable[str]) -> None:
        """Place each VM at several points."""
        self._points = sorted(
            (hash64(f'{manifest}|{vm}|{point}'), vm)
            for vm in vms
            for point in range(_RING_POINTS)
        )
        self._keys = [key for key, _ in self._points]
        self.members = len(self._points) // _RING_POINTS
        self._manifest = manifest

    def readers(self, index: int, count: int) -> list[str]:
        """Return up to count VMs that should read a chunk, in order."""
        readers: dict[str, None] = {}
        start = bisect_right(self._keys, hash64(f'{self._manifest}#{index}'))
        for _, vm in self._points[start:] + self._points[:start]:
            readers[vm] = None
            if len(readers) == count:
                break
        return list(readers)


class OriginPolicy(Protocol):
    """Decide when a process may read a chunk from the origin."""

    def due_at(self, index: int, started: float) -> float | None:
        """Return the time from which this process may read the chunk."""

    def retry_at(self, index: int, failure: OriginFailure) -> float:
        """Return the time of the next read after a failure of the origin."""

    def fallback_at(self, index: int, since: float) -> float:
        """Return the time to read a chunk that only silent VMs hold.

        :param since: time since when these VMs have been silent
        """

    def assigned(self) -> int:
        """Return the bitmap of chunks that list this process as a reader."""

    def is_takeover(self, index: int) -> bool:
        """Return whether another process is the chunk's first reader."""


@dataclasses.dataclass(frozen=True, slots=True)
class PreviousTurns:
    """Chunks assigned to this VM before a change of the fleet, and how long."""

    chunks: int
    elapsed_s: float


def _handover_s(
    index: int, before: PreviousTurns | None, cfg: SwarmOptions
) -> float:
    if before is None or index < 0 or before.chunks >> index & 1:
        return 0
    return before.elapsed_s + cfg.takeover_s


def _turn_s(index: int, rank: int, count: int, cfg: SwarmOptions) -> float:
    """Return the start of a reader's turn, in seconds from the beginning."""
    is_repeat = rank > 0 and index != chunks.MANIFEST_INDEX
    chunks_before = count if is_repeat else max(0, index - READ_AHEAD)
    return chunks_before * cfg.chunk_origin_s + rank * cfg.takeover_s


class SharedReading:
    """Have each chunk read once, by the first VM on the ring.

    The reads are spread over the time that the origin's link needs. When all
    first reads have had that time, the next VM on the ring takes over those
    chunks that no VM has announced, so no repeat delays a first read. When
    the fleet changes, chunks newly assigned to this VM wait for the time that
    has elapsed so far plus the takeover time, since their previous reader may
    have read them already.
    """

    def __init__(
        self,
        me: str,
        ring: Ring,
        count: int,
        cfg: SwarmOptions,
        before: PreviousTurns | None = None,
        takeover: TakeoverPolicy = after_unread_chunks,
    ) -> None:
        """Compute when this process reads which chunks."""
        self._me = me
        self._ring = ring
        self._fallback_s: dict[int, float] = {}
        self._takeover = takeover
        self._cfg = cfg
        self._due: dict[int, float] = {}
        self._ranks: dict[int, int] = {}
        for index in range(chunks.MANIFEST_INDEX, count):
            readers = ring.readers(index, READERS_PER_CHUNK)
            if me in readers:
                rank = readers.index(me)
                self._ranks[index] = rank
                due = _turn_s(index, rank, count, cfg)
                self._due[index] = max(due, _handover_s(index, before, cfg))
        self._assigned = sum(1 << chunk for chunk in self._due if chunk >= 0)

    def due_at(self, index: int, started: float) -> float | None:
        """Return the time of this process's turn, or None without one."""
        due = self._due.get(index)
        return None if due is None else started + due

    def retry_at(self, index: int, failure: OriginFailure) -> float:
        """Return the time after a failure, when all first turns have passed.

        Without this all readers of a chunk would read it at the same time.
        """
        return self._takeover(
            self._ranks.get(index, READERS_PER_CHUNK),
            failure,
            self._cfg.takeover_s,
            self._cfg.chunk_origin_s,
        )

    def fallback_at(self, index: int, since: float) -> float:
        """Return the time of this VM's turn among all VMs of the ring.

        All VMs get a turn, since seldom all of them are reachable. Each waits
        until the previous one could have announced the chunk.
        """
        if index not in self._fallback_s:
            readers = self._ring.readers(index, self._ring.members)
            rank = readers.index(self._me) if self._me in readers else 0
            self._fallback_s[index] = rank * (
                self._cfg.chunk_origin_s + _ANNOUNCE_S
            )
        return since + self._fallback_s[index]

    def assigned(self) -> int:
        """Return the bitmap of chunks that list this process as a reader."""
        return self._assigned

    def is_takeover(self, index: int) -> bool:
        """Return whether this process is not the first reader."""
        return self._ranks.get(index) != 0


class ZoneReading:
    """Have one VM of a zone fetch each chunk from outside; the others wait.

    Traffic between zones is expensive. The next VM on the zone's ring takes
    over when the chunk has not arrived in time, and in the end every VM may.
    """

    def __init__(
        self,
        me: str,
        ring: Ring,
        members: int,
        count: int,
        takeover_s: float,
    ) -> None:
        """Compute the delay of each chunk from this VM's rank."""
        self._due = [
            ring.readers(index, members).index(me) * takeover_s
            for index in range(count)
        ]

    def due_at(self, index: int, started: float) -> float | None:
        """Return when a neighbour of another zone may be requested."""
        return started + self._due[index]


class DueTimes(Protocol):
    """Decide from when on a chunk may be fetched from one kind of source."""

    def due_at(self, index: int, started: float) -> float | None:
        """Return the time, or None for never."""


class DirectReading:
    """Let every VM read all chunks from the origin, as a baseline."""

    def __init__(self, count: int) -> None:
        """Assign all chunks of a version with this many."""
        self._assigned = chunks.full_bitmap(count)

    def fallback_at(self, index: int, since: float) -> float:
        """Allow every chunk at once."""
        return since

    def assigned(self) -> int:
        """Return the bitmap of all chunks."""
        return self._assigned

    def is_takeover(self, index: int) -> bool:
        """Return False: every VM is its own first reader."""
        return False

    def due_at(self, index: int, started: float) -> float | None:
        """Allow every chunk at once."""
        return started

    def retry_at(self, index: int, failure: OriginFailure) -> float:
        """Allow every chunk at once."""
        return failure.failed_at
