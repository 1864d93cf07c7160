"""Decide when an entry is too near its limits for new calls."""

import math
import sys
from collections.abc import Callable

from linnetwood.calls.heldbytes import HeldBytes

# Share of the limit that held bytes may take; the rest is for the process
# itself, and for copies while bytes are moved.
HELD_SHARE = 0.25
# Share of the limit from which new calls are refused.
_RESIDENT_SHARE = 0.85
# Freed memory is not always returned to the kernel, so a large process that
# holds little takes new calls: they use what was freed.
_USUAL_HELD_SHARE = 0.02
# Buffers and objects of a call in progress, beyond its bytes.
_CALL_BYTES = 65536
# Share of the limit that calls in progress may take beyond their bytes.
_CALLS_SHARE = 0.25
_SAMPLE_S = 0.1


class MemoryGuard:
    """Compare calls, the memory of the process and what it holds with limits.

    Callers that read slowly are evicted for new calls.
    """

    __slots__ = (
        '_held',
        '_limit',
        '_max_calls',
        '_read_resident',
        '_resident',
        '_sampled',
    )

    def __init__(
        self,
        held: HeldBytes,
        limit_bytes: int = 0,
        read_resident: Callable[[], int] = int,
        max_calls: int = sys.maxsize,
    ) -> None:
        """Use the memory limit of the process, 0 for none.

        `max_calls` bounds calls in progress.
        """
        self._max_calls = max_calls
        self._held = held
        self._limit = limit_bytes
        self._read_resident = read_resident
        self._resident = 0
        self._sampled = -math.inf

    def refuses(self, active_calls: int, now: float) -> bool:
        """Return whether a new call is refused; `now` in seconds.

        `active_calls` include it.
        """
        is_over = active_calls > self._max_calls
        # The call of an evicted caller ends in the next turns.
        if is_over and not self._held.evict_one(only_slow=True):
            return True
        if self._held.is_full:
            return True
        # Reading the memory costs a system call, so what is held is checked
        # first.
        in_use = self._held.total + active_calls * _CALL_BYTES
        if not self._limit or in_use < self._limit * _USUAL_HELD_SHARE:
            return False
        if now >= self._sampled + _SAMPLE_S:
            self._sampled = now
            self._resident = self._read_resident()
        if self._resident < self._limit * _RESIDENT_SHARE:
            return False
        self._held.evict_one()
        return True


def calls_within(limit_bytes: int) -> int:
    """Return how many calls a memory limit allows at once; 0 sets none."""
    if not limit_bytes:
        return sys.maxsize
    return max(1, int(limit_bytes * _CALLS_SHARE) // _CALL_BYTES)
