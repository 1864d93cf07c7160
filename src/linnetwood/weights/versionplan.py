"""Which version an engine gets next, and when the one after it is read.

Load pattern: two versions are named 2 to 4 s apart, each with its own bound,
and the origin is unreachable for some seconds in between. After an older
version's bound calls find no engine until the next one serves. No I/O or clock
here.
"""

import dataclasses
import math
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, Protocol

from linnetwood.fleet.wanted import ENGINE_SWITCH_S, WantedVersions

# A plan is replaced only by one that saves more than the estimates' error: the
# chunks of an abandoned version were transferred in vain.
_MIN_SAVING_S = 1.5
# Additional cost of each change of version. Engines change in two waves and the
# other wave keeps serving, so it is far below the cost of the same time without
# any version.
_CHANGE_COST_S = 0.3
# Until enough VMs hold the chunks of a new version, the links of the others are
# partly idle, which delays the version by about this time.
_FIRST_COPIES_S = 1.2
# An engine without running calls changes its version in this time.
_IDLE_SWITCH_S = 0.3
# Assumed chunks of a version while no manifest is known; all known models have
# this many.
_DEFAULT_CHUNK_COUNT = 96


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkProgress:
    """How much of a version this VM holds, in chunks."""

    count: int
    # Chunks that this VM does not hold yet.
    missing: int
    # Missing chunks that are known to be held by the origin only.
    unread: int
    # The mean of `missing` over this VM and its partners, so that VMs with
    # different chunks decide alike; by default this VM's own.
    mean_missing: float | None = None

    @property
    def planned_missing(self) -> float:
        """Return the missing chunks to plan with."""
        if self.mean_missing is None:
            return self.missing
        return self.mean_missing


@dataclasses.dataclass(frozen=True, slots=True)
class PlanInputs:
    """What one VM bases its plan on; times in seconds."""

    model: str
    serving: int
    # Next version of the current plan; 0 for none.
    planned: int
    now: float
    # Transfer time of a version on this VM's link, of a chunk on the origin's.
    transfer_s: float
    chunk_origin_s: float
    # By version; only versions whose manifest is known.
    progress: Mapping[int, ChunkProgress]


class VersionPlan(Protocol):
    """Plan which version an engine gets; all VMs plan by the same times."""

    def choose_version(self, wanted: WantedVersions, inputs: PlanInputs) -> int:
        """Return the version to fetch next; 0 if none is known."""

    def may_read_ahead(self, progress: ChunkProgress) -> bool:
        """Return whether the version after the given one may be read."""


class ByNaming:
    """Choose by the times of naming and this VM's link; ignore progress."""

    def choose_version(self, wanted: WantedVersions, inputs: PlanInputs) -> int:
        """Return the version to fetch next."""
        return wanted.next_target(
            inputs.model,
            inputs.serving,
            inputs.transfer_s,
            inputs.now,
        )

    def may_read_ahead(self, progress: ChunkProgress) -> bool:
        """Read the next version when this one is complete."""
        return not progress.missing


class ByForecast:
    """Choose again at each step, by the chunks that are still missing.

    The version after the next one is read from the origin as soon as all chunks
    of the next one have been read, since the origin's link is free then.
    """

    def choose_version(self, wanted: WantedVersions, inputs: PlanInputs) -> int:
        """Return the version that leaves calls unserved for the least time."""
        newest = wanted.newest(inputs.model)
        unserved_s = {
            version: _unserved_s(wanted, inputs, version, newest)
            for version in _candidates(wanted, inputs, newest)
        }
        if not unserved_s:
            return newest
        best = min(
            unserved_s, key=lambda version: (unserved_s[version], version)
        )
        current_s = unserved_s.get(inputs.planned)
        if (
            current_s is not None
            and current_s - unserved_s[best] < _MIN_SAVING_S
        ):
            return inputs.planned
        return best

    def may_read_ahead(self, progress: ChunkProgress) -> bool:
        """Read the next version when the origin has sent all of this one."""
        return not progress.unread


PLANS: Final[Mapping[str, VersionPlan]] = MappingProxyType(
    {'by-naming': ByNaming(), 'by-forecast': ByForecast()},
)


def _candidates(
    wanted: WantedVersions,
    inputs: PlanInputs,
    newest: int,
) -> Iterator[int]:
    """Yield the newest version, and older ones that can serve for a while."""
    for version, _ in wanted.cutoffs(inputs.model):
        if not inputs.serving < version <= newest:
            continue
        if version == newest or _can_serve(wanted, inputs, version):
            yield version


def _can_serve(
    wanted: WantedVersions, inputs: PlanInputs, version: int
) -> bool:
    """Return whether a version can serve before its successor's cutoff."""
    fetched_s = _fetched_s(_progress(inputs, version), inputs)
    serving_in_s = fetched_s + _IDLE_SWITCH_S
    return serving_in_s < _closing_in_s(wanted, inputs, version)


def _unserved_s(
    wanted: WantedVersions,
    inputs: PlanInputs,
    version: int,
    newest: int,
) -> float:
    """Return the seconds without an allowed version if this one comes next.

    Each change of version adds the cost of the work an engine misses meanwhile.
    """
    first = _progress(inputs, version)
    fetched_s = _fetched_s(first, inputs)
    closing_in_s = _closing_in_s(wanted, inputs, inputs.serving)
    ready_s = _ready_s(fetched_s, closing_in_s)
    unserved_s = max(0, ready_s - closing_in_s)
    if version == newest:
        return unserved_s
    last = _progress(inputs, newest)
    read_s = (first.unread + last.unread) * inputs.chunk_origin_s
    newest_fetched_s = max(
        read_s + _spread_s(last),
        fetched_s + last.planned_missing * inputs.transfer_s / last.count,
    )
    closing_in_s = max(ready_s, _closing_in_s(wanted, inputs, version))
    newest_ready_s = _ready_s(newest_fetched_s, closing_in_s)
    unserved_s += max(0, newest_ready_s - closing_in_s)
    return unserved_s + _CHANGE_COST_S


def _fetched_s(progress: ChunkProgress, inputs: PlanInputs) -> float:
    """Return the seconds until this VM holds a version that comes next."""
    read_s = progress.unread * inputs.chunk_origin_s
    link_s = progress.planned_missing * inputs.transfer_s / progress.count
    return max(read_s, link_s) + _spread_s(progress)


def _spread_s(progress: ChunkProgress) -> float:
    """Return the seconds lost while few VMs hold chunks of a version."""
    return _FIRST_COPIES_S * progress.unread / progress.count


def _ready_s(fetched_s: float, closing_in_s: float) -> float:
    """Return the seconds until an engine can serve a fetched version.

    It changes only when its running calls have ended. Calls that begin by the
    cutoff of the present version, in `closing_in_s`, end `ENGINE_SWITCH_S`
    later.
    """
    calls_end_s = min(fetched_s, closing_in_s) + ENGINE_SWITCH_S
    return max(fetched_s + _IDLE_SWITCH_S, calls_end_s)


def _closing_in_s(
    wanted: WantedVersions,
    inputs: PlanInputs,
    version: int,
) -> float:
    """Return after how many seconds no call may start on a version."""
    closing = [
        cutoff
        for newer, cutoff in wanted.cutoffs(inputs.model)
        if newer > version
    ]
    # The cutoff may have passed before this process learned of the version.
    return max(0, min(closing, default=math.inf) - inputs.now)


def _progress(inputs: PlanInputs, version: int) -> ChunkProgress:
    """Return a version's progress; all is missing without a manifest."""
    found = inputs.progress.get(version)
    if found is not None:
        return found
    counts = [known.count for known in inputs.progress.values()] or [
        _DEFAULT_CHUNK_COUNT
    ]
    return ChunkProgress(counts[0], counts[0], counts[0])
