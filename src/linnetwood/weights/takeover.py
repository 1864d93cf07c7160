"""When the next reader may read a chunk after an origin outage; no I/O.

Load pattern: 41 VMs have 40 of 96 chunks left to read when an origin of 4.38
Mbit/s is reachable again after 6 s. Each chunk has a first reader and two that
take over. If these wait a fixed second, all 40 reads share the link for longer
than that, so other VMs start to read the same chunks: the origin sends each two
or three times, takes twice as long, and refuses connections.
"""

import dataclasses
from types import MappingProxyType
from typing import Final, Protocol

# While nothing shows that the origin is reachable again, this many first reads
# probe it at a time; the next ones follow after the longest pause of a probe.
# If all reads started at once, all would end late.
_PROBES = 4
_PROBE_WAIT_S = 0.8
# Time for one read and its announcement, once the origin is reachable again. It
# is short, since readers that have left delay the last chunks of a version.
RETURN_TAKEOVER_S = 0.3
# While nothing shows that the origin is reachable again, the first readers try
# it; later readers wait this many times as long, in case all first ones failed.
_UNCONFIRMED_FACTOR = 3


@dataclasses.dataclass(frozen=True, slots=True)
class OriginFailure:
    """What a VM knows of an origin after a failed read; times in seconds."""

    failed_at: float
    # When it answered this VM since then.
    answered_at: float | None
    # When peers were first seen to hold more chunks than at the failure.
    seen_elsewhere_at: float | None
    # Number of chunks that no VM is known to hold.
    unread: int
    # Whether this VM is the first reader of one of these chunks.
    is_first: bool
    # Number of these chunks that come before the one in question.
    ahead: int = 0


class TakeoverPolicy(Protocol):
    """Decide when the reader of a rank may read after a failure."""

    def __call__(
        self,
        rank: int,
        failure: OriginFailure,
        takeover_s: float,
        chunk_s: float,
    ) -> float:
        """Return the time in seconds from which it may read.

        :param rank: position among the readers of the chunk, 0 for the first
        :param chunk_s: seconds of one chunk alone on the origin's link
        """


def after_fixed_wait(
    rank: int,
    failure: OriginFailure,
    takeover_s: float,
    chunk_s: float,
) -> float:
    """Let each reader wait a fixed time for the previous one."""
    return failure.failed_at + rank * takeover_s


def after_unread_chunks(
    rank: int,
    failure: OriginFailure,
    takeover_s: float,
    chunk_s: float,
) -> float:
    """Let each reader also wait for the transfer time of unread chunks.

    First readers wait for the chunks ahead, later readers for all unread
    chunks. The wait starts when the origin is known to be reachable again. For
    a first read, chunks that peers hold show this, too. For a later read, a VM
    that is the first reader of any chunk relies on its own reads only, since
    the chunks of peers may have been read before the outage.
    """
    if not rank:
        return _first_due_at(failure, chunk_s)
    turn_s = min(takeover_s, RETURN_TAKEOVER_S)
    wait_s = rank * (turn_s + failure.unread * chunk_s)
    reachable_at = failure.answered_at
    if reachable_at is None and not failure.is_first:
        reachable_at = failure.seen_elsewhere_at
    if reachable_at is None:
        return failure.failed_at + _UNCONFIRMED_FACTOR * wait_s
    return max(failure.failed_at, reachable_at) + wait_s


def _first_due_at(failure: OriginFailure, chunk_s: float) -> float:
    probed_at = failure.failed_at + failure.ahead // _PROBES * _PROBE_WAIT_S
    seen = (failure.answered_at, failure.seen_elsewhere_at)
    reachable_at = min((at for at in seen if at is not None), default=None)
    if reachable_at is None:
        return probed_at
    waited_at = max(failure.failed_at, reachable_at) + failure.ahead * chunk_s
    return min(probed_at, waited_at)


AFTER_THE_REST: Final = 'after-the-rest'
TAKEOVERS: Final = MappingProxyType(
    {
        'after-a-time': after_fixed_wait,
        AFTER_THE_REST: after_unread_chunks,
    },
)
