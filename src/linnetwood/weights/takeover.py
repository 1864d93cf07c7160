"""When the next reader may read a chunk after the origin was away; no I/O.

Load pattern: 41 VMs have 40 of 96 chunks left to read when an origin of 4.38
Mbit/s comes back after 6 s. Each chunk has a first reader and two that take
over. If these wait a fixed second, all 40 reads share the link for longer than
that, so that others begin the same chunks: the origin sends each two or three
times, takes twice as long, and turns connections away.
"""

import dataclasses
import math
from types import MappingProxyType
from typing import Final, Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Away:
    """What a VM knows of an origin that failed it; times in seconds."""

    failed_at: float
    # Its last answer since then; none if it is away as far as is known.
    answered_at: float | None
    # Chunks that nobody is known to hold.
    unread: int
    # Whether this VM is the first reader of one of these.
    is_first: bool


class TakeOver(Protocol):
    """Decide when the reader of a rank may read after a failure."""

    def __call__(
        self,
        rank: int,
        away: Away,
        takeover_s: float,
        chunk_s: float,
    ) -> float:
        """Give the time from which it may; infinity for not as things stand.

        A chunk takes so long on the origin's link by itself.
        """


def after_a_time(
    rank: int,
    away: Away,
    takeover_s: float,
    chunk_s: float,
) -> float:
    """Let each reader wait the same time for the one before it."""
    return away.failed_at + rank * takeover_s


def after_the_rest(
    rank: int,
    away: Away,
    takeover_s: float,
    chunk_s: float,
) -> float:
    """Let each reader wait for as long as all that is unread takes as well.

    Whoever is the first reader of something learns by that read that the origin
    is back, and waits for nothing else before.
    """
    if rank and away.is_first and away.answered_at is None:
        return math.inf
    since = away.failed_at
    if away.answered_at is not None:
        since = max(since, away.answered_at)
    return since + rank * (takeover_s + away.unread * chunk_s)


AFTER_THE_REST: Final = 'after-the-rest'
TAKEOVERS: Final = MappingProxyType(
    {
        'after-a-time': after_a_time,
        AFTER_THE_REST: after_the_rest,
    },
)
