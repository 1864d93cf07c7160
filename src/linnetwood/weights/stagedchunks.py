"""Chunks staged at an engine, and the reads that verify them before an order.

A staged chunk may turn bad at any time, so a check is evidence for a short time
only. The program or the VM may be frozen at any point of a check, and reads may
be slow, so each chunk has the time of its own last check.
"""

import asyncio
import hashlib
import math
from collections import deque
from collections.abc import Iterator
from itertools import islice

from linnetwood.core.clock import Clock
from linnetwood.core.events import Event, log
from linnetwood.weights import chunks
from linnetwood.weights.engine import Engine

# An engine must not load a chunk that has been bad for longer than this.
_MAX_BAD_S = 3.0
# The part of it in which the engine answers an order that was sent.
ORDER_ANSWER_S = 1.0
# The age of the oldest check up to which an order may still be sent.
_MAX_CHECK_AGE_S = _MAX_BAD_S - ORDER_ANSWER_S
# Checks older than this are repeated, so that they are recent at the end of a
# pass of the usual length.
_REPEAT_AFTER_S = 1.0
_PASS_S = 0.75
# More connections would take those of callers at the engine.
_MAX_PARALLEL = 64
_MAX_BYTES_AT_ONCE = 4194304
_TIMED_READS = 9
_MIN_READ_S = 1.0e-6


class StagedChunks:
    """Record which chunks of a version are staged, and each one's last check.

    Times are seconds of the process's clock.
    """

    __slots__ = ('_verified_at', 'bitmap')

    def __init__(self) -> None:
        """Start with none of the chunks staged."""
        self.bitmap = 0
        self._verified_at: dict[int, float] = {}

    def add(self, index: int) -> None:
        """Record that a chunk was staged, which is not verified yet."""
        self.bitmap |= 1 << index

    def remove(self, index: int) -> None:
        """Record that a chunk must be staged again."""
        self.bitmap &= ~(1 << index)
        self._verified_at.pop(index, None)

    def mark_verified(self, index: int, at: float) -> None:
        """Record that a chunk was still right at a time."""
        self._verified_at[index] = at

    def unverified_since(self, since: float) -> list[int]:
        """Return the staged chunks without a check since then, oldest first."""
        times = {
            index: self._verified_at.get(index, -math.inf)
            for index in chunks.indices(self.bitmap)
        }
        return sorted(
            (index for index, at in times.items() if at < since),
            key=times.__getitem__,
        )

    def all_verified(self, count: int) -> bool:
        """Return whether this many chunks are staged and were right."""
        return count > 0 and len(self._verified_at) == count

    def order_by(self, count: int) -> float:
        """Return until when to order a version of this many chunks.

        It is -inf unless all of them were verified.
        """
        if not self.all_verified(count):
            return -math.inf
        return min(self._verified_at.values()) + _MAX_CHECK_AGE_S

    def oldest_check_s(self, now: float) -> float:
        """Return the age of the oldest check in seconds, 0 without any."""
        return now - min(self._verified_at.values(), default=now)


class StagedCheck:
    """Read staged chunks back from the engine, several at once if it is slow.

    Reads in parallel keep a pass short enough for an order to follow it while
    all of its checks are recent.
    """

    def __init__(self, engine: Engine, clock: Clock) -> None:
        """Start with one read at a time."""
        self._engine = engine
        self._clock = clock
        self._read_s: deque[float] = deque(maxlen=_TIMED_READS)
        self._limit = _MAX_PARALLEL

    async def run(
        self, model: str, manifest: chunks.Manifest, staged: StagedChunks
    ) -> None:
        """Verify what has no recent check; have wrong chunks staged again.

        Raise OrderError if the engine can't be read; what was verified by then
        counts.
        """
        due = staged.unverified_since(self._clock.now() - _REPEAT_AFTER_S)
        remaining = iter(due)
        while batch := list(islice(remaining, self._width(len(due), manifest))):
            reads = [
                self._verify(model, index, manifest, staged) for index in batch
            ]
            outcomes = await asyncio.gather(*reads, return_exceptions=True)
            for failure in _failures(outcomes):
                # The engine may accept fewer connections than were tried.
                self._limit = max(1, len(batch) // 2)
                raise failure
        self._limit = min(_MAX_PARALLEL, 2 * self._limit)

    def _width(self, count: int, manifest: chunks.Manifest) -> int:
        """Return how many reads at once make a pass as long as it may be."""
        if not self._read_s:
            return 1
        median_s = sorted(self._read_s)[len(self._read_s) // 2]
        read_s = max(_MIN_READ_S, median_s)
        rounds = max(1, math.floor(_PASS_S / read_s))
        in_memory = max(1, _MAX_BYTES_AT_ONCE // manifest.chunk_bytes)
        return min(math.ceil(count / rounds), in_memory, self._limit)

    async def _verify(
        self,
        model: str,
        index: int,
        manifest: chunks.Manifest,
        staged: StagedChunks,
    ) -> None:
        asked_at = self._clock.now()
        chunk = await self._engine.read_staged(model, index)
        self._read_s.append(self._clock.now() - asked_at)
        found = b'' if chunk is None else hashlib.sha256(chunk).digest()
        if found == manifest.digests[index]:
            # The engine read it later than this.
            staged.mark_verified(index, asked_at)
            return
        log(Event.CHUNK_BAD, model=model, index=index, source='staged')
        staged.remove(index)


def _failures(outcomes: list[BaseException | None]) -> Iterator[BaseException]:
    return (one for one in outcomes if one is not None)
