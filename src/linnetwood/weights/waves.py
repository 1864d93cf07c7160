"""Decide when engines change version, so that not all change at once; no I/O.

Before a change, an engine finishes its running calls and takes no new ones. The
first wave drains ahead of its change and is back in service first. The second
wave serves until the first is back, or until the cutoff after which no call may
begin on its version.
"""

from collections.abc import Iterable

from linnetwood.fleet.members import hash64
from linnetwood.weights.versionplan import ChunkProgress

# The first wave starts to drain when no more than this share of its chunks is
# missing. The rest of the transfer then takes about as long as calls take to
# finish.
DRAIN_MISSING_SHARE = 0.22


def in_first_wave(me: str, vms: Iterable[str], name: str) -> bool:
    """Tell whether this VM's engine changes in the first wave."""
    ranked = sorted({*vms, me}, key=lambda vm: hash64(f'{name}|{vm}'))
    return bool(ranked.index(me) % 2)


def is_draining(progress: ChunkProgress, *, first: bool) -> bool:
    """Return whether new calls should already go to other engines.

    While only the origin holds some chunks, the end of the transfer can't be
    predicted, for example in an outage. The first wave of engines would take no
    calls until then.
    """
    is_nearly_complete = (
        progress.missing <= progress.count * DRAIN_MISSING_SHARE
    )
    return first and is_nearly_complete and not progress.unread


def change_due_at(
    complete_at: float,
    cutoff: float,
    switch_s: float,
    *,
    first: bool,
) -> float:
    """Give the time of the change, in seconds.

    The second wave waits `switch_s` for the first to be back, but not past the
    cutoff.
    """
    if first:
        return complete_at
    return max(complete_at, min(complete_at + switch_s, cutoff))
