"""When the next reader may read a chunk after the origin was away; no I/O.

Load pattern: 41 VMs have 40 of 96 chunks left to read when an origin of 4.38
Mbit/s comes back after 6 s. Each chunk has a first reader and two that take
over. If these wait a fixed second, all 40 reads share the link for longer than
that, so that others begin the same chunks: the origin sends each two or three
times, takes twice as long, and turns connections away.
"""

import dataclasses
from types import MappingProxyType
from typing import Final, Protocol


# While nothing shows that the origin is back, its first readers try it; others
# do so as many times less often, in case these are all gone.
_UNTOLD_TIMES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class OriginFailure:
    """What a VM knows of an origin that failed it; times in seconds."""

    failed_at: float
    # When it answered this VM since then.
    answered_at: float | None
    # When another was seen to hold more than at the failure.
    seen_elsewhere_at: float | None
    # Chunks that nobody is known to hold.
    unread: int
    # Whether this VM is the first reader of one of these.
    is_first: bool


class TakeoverPolicy(Protocol):
    """Decide when the reader of a rank may read after a failure."""

    def __call__(
        self,
        rank: int,
        failure: OriginFailure,
        takeover_s: float,
        chunk_s: float,
    ) -> float:
        """Give the time from which it may.

        A chunk takes so long on the origin's link by itself.
        """


def after_fixed_wait(
    rank: int,
    failure: OriginFailure,
    takeover_s: float,
    chunk_s: float,
) -> float:
    """Let each reader wait the same time for the one before it."""
    return failure.failed_at + rank * takeover_s


def after_unread_chunks(
    rank: int,
    failure: OriginFailure,
    takeover_s: float,
    chunk_s: float,
) -> float:
    """Let each reader wait for as long as all that is unread takes as well.

    It is counted from when the origin is known to be back. Whoever is the first
    reader of something learns that by its own read and by nothing else, since
    what others hold may have been read before.
    """
    wait_s = rank * (takeover_s + failure.unread * chunk_s)
    back_at = failure.answered_at
    if back_at is None and not failure.is_first:
        back_at = failure.seen_elsewhere_at
    if back_at is None:
        return failure.failed_at + _UNTOLD_TIMES * wait_s
    return max(failure.failed_at, back_at) + wait_s


AFTER_THE_REST: Final = 'after-the-rest'
TAKEOVERS: Final = MappingProxyType(
    {
        'after-a-time': after_fixed_wait,
        AFTER_THE_REST: after_unread_chunks,
    },
)
