"""Who reads which chunk from the origin or from afar, and when; no I/O."""

import dataclasses
from bisect import bisect_right
from collections.abc import Iterable
from typing import Protocol

from linnetwood.fleet.members import hash64
from linnetwood.weights import chunks
from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.takeover import (
    OriginFailure,
    TakeoverPolicy,
    after_unread_chunks,
)

_RING_POINTS = 16
READERS_PER_CHUNK = 3
# What a chunk takes to be told of.
_SHOWN_S = 0.1


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
        """Give the VMs that should read a chunk, first choice first."""
        found: dict[str, None] = {}
        start = bisect_right(self._keys, hash64(f'{self._manifest}#{index}'))
        for _, vm in self._points[start:] + self._points[:start]:
            found[vm] = None
            if len(found) == count:
                break
        return list(found)


class OriginPolicy(Protocol):
    """Decide when a process may read a chunk from the origin."""

    def due_at(self, index: int, started: float) -> float | None:
        """Give the time from which this process may read the chunk."""

    def retry_at(self, index: int, failure: OriginFailure) -> float:
        """Give the time of the turn once an origin that failed is back."""

    def fallback_at(self, index: int, since: float) -> float:
        """Give the time to read what only VMs hold that are silent since."""

    def assigned(self) -> int:
        """Give the bitmap of chunks whose readers this process is among."""

    def is_takeover(self, index: int) -> bool:
        """Tell whether another process was to read the chunk first."""


@dataclasses.dataclass(frozen=True, slots=True)
class PreviousTurns:
    """Which chunks were this VM's to read before, and for how long."""

    chunks: int
    elapsed_s: float


def _grace_s(
    index: int, before: PreviousTurns | None, cfg: SwarmOptions
) -> float:
    if before is None or index < 0 or before.chunks >> index & 1:
        return 0
    return before.elapsed_s + cfg.takeover_s


class SharedReading:
    """Let each chunk be read once, by the VM that the ring names.

    The reads are spread over the time that the origin's link needs, and the
    next VM on the ring takes over when nobody has shown the chunk in time.
    When the fleet changes, turns that were not this VM's before wait for as
    long, since whoever had them may have read the chunk already.
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
        """Work out this process's turns."""
        self._me = me
        self._ring = ring
        self._alone_s: dict[int, float] = {}
        self._takeover = takeover
        self._cfg = cfg
        self._due: dict[int, float] = {}
        self._ranks: dict[int, int] = {}
        for index in range(chunks.MANIFEST_INDEX, count):
            readers = ring.readers(index, READERS_PER_CHUNK)
            if me in readers:
                rank = readers.index(me)
                self._ranks[index] = rank
                wait = max(0, index) * cfg.chunk_origin_s
                due = wait + rank * cfg.takeover_s
                self._due[index] = max(due, _grace_s(index, before, cfg))
        self._turns = sum(1 << chunk for chunk in self._due if chunk >= 0)

    def due_at(self, index: int, started: float) -> float | None:
        """Give the time of this process's turn, if it has one."""
        due = self._due.get(index)
        return None if due is None else started + due

    def retry_at(self, index: int, failure: OriginFailure) -> float:
        """Give the turn after a failure: by then every first turn is over.

        Without this all readers of a chunk would read it at the same time.
        """
        return self._takeover(
            self._ranks.get(index, READERS_PER_CHUNK),
            failure,
            self._cfg.takeover_s,
            self._cfg.chunk_origin_s,
        )

    def fallback_at(self, index: int, since: float) -> float:
        """Give the turn among all VMs, which are seldom all in reach.

        Each waits until the one before it could have shown the chunk.
        """
        if index not in self._alone_s:
            readers = self._ring.readers(index, self._ring.members)
            rank = readers.index(self._me) if self._me in readers else 0
            self._alone_s[index] = rank * (self._cfg.chunk_origin_s + _SHOWN_S)
        return since + self._alone_s[index]

    def assigned(self) -> int:
        """Give the chunks for which this process is among the readers."""
        return self._turns

    def is_takeover(self, index: int) -> bool:
        """Tell whether this process is not the first reader."""
        return self._ranks.get(index) != 0


class ZoneReading:
    """Let one VM of a zone bring each chunk into it; the others wait for that.

    Bytes between zones are dear. The next VM on the zone's ring takes over
    when the chunk has not come in time, and in the end anyone may.
    """

    def __init__(
        self,
        me: str,
        ring: Ring,
        members: int,
        count: int,
        takeover_s: float,
    ) -> None:
        """Work out this VM's rank for each chunk."""
        self._due = [
            ring.readers(index, members).index(me) * takeover_s
            for index in range(count)
        ]

    def due_at(self, index: int, started: float) -> float | None:
        """Give the time from which a far neighbour may be asked."""
        return started + self._due[index]


class DueTimes(Protocol):
    """Tell from when on a chunk may be fetched some way."""

    def due_at(self, index: int, started: float) -> float | None:
        """Give the time, or None for never."""


class DirectReading:
    """Let every VM read everything from the origin: the plain baseline."""

    def __init__(self, count: int) -> None:
        """Know how many chunks there are."""
        self._turns = chunks.full(count)

    def fallback_at(self, index: int, since: float) -> float:
        """Allow every chunk at once."""
        return since

    def assigned(self) -> int:
        """Give every chunk."""
        return self._turns

    def is_takeover(self, index: int) -> bool:
        """Take over from nobody."""
        return False

    def due_at(self, index: int, started: float) -> float | None:
        """Allow every chunk at once."""
        return started

    def retry_at(self, index: int, failure: OriginFailure) -> float:
        """Allow every chunk at once."""
        return failure.failed_at
