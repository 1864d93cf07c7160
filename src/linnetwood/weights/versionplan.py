"""Which version comes next to an engine, and when the one after it is read.

Load pattern: two versions are named 2 to 4 s apart, each with a bound of its
own, and the origin is away for some seconds in between. From an older version's
bound on calls find no engine until the next one serves. No I/O or clock here.
"""

import dataclasses
import math
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, Protocol

from linnetwood.fleet.wanted import ENGINE_SWITCH_S, WantedVersions

# A plan is left for one that saves more than reckoning errs by: what is given
# up half done was brought for nothing.
_WORTH_A_CHANGE_S = 1.5
# What a change costs beside: engines change in two waves, so that the others go
# on; this is far less than the same time without a version.
_CHANGE_COSTS_S = 0.3
# As many chunks as every model that was met has.
_UNKNOWN_COUNT = 96


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkProgress:
    """How far a version is here, in chunks."""

    count: int
    # Not here yet.
    missing: int
    # Not here, and known nowhere but at the origin.
    unread: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlanInputs:
    """What one VM plans by; times in seconds."""

    model: str
    serving: int
    # What comes next by the plan that stands; 0 for none.
    planned: int
    now: float
    # A whole version over this VM's link, and a chunk over the origin's.
    transfer_s: float
    chunk_origin_s: float
    # By version, those whose manifest is here.
    progress: Mapping[int, ChunkProgress]


class VersionPlan(Protocol):
    """Plan what an engine gets; all VMs plan by the same times."""

    def choose_version(
        self, wanted: WantedVersions, outlook: PlanInputs
    ) -> int:
        """Give the version to bring next; 0 if none is known."""

    def may_read_ahead(self, brought: ChunkProgress) -> bool:
        """Tell whether the version after one so far here may be read."""


class ByNaming:
    """Weigh versions once, by when they were named and the link alone."""

    def choose_version(
        self, wanted: WantedVersions, outlook: PlanInputs
    ) -> int:
        """Give the version to bring next."""
        return wanted.next_target(
            outlook.model,
            outlook.serving,
            outlook.transfer_s,
            outlook.now,
        )

    def may_read_ahead(self, brought: ChunkProgress) -> bool:
        """Read the next version when this one is whole."""
        return not brought.missing


class ByForecast:
    """Weigh versions anew all the while, by what is left to bring.

    The version after the next one is read from the origin as soon as all of
    that one has left it, since the origin's link is free then.
    """

    def choose_version(
        self, wanted: WantedVersions, outlook: PlanInputs
    ) -> int:
        """Give the version with which calls are without one least."""
        newest = wanted.newest(outlook.model)
        without_s = {
            version: _without_s(wanted, outlook, version, newest)
            for version in _candidates(wanted, outlook, newest)
        }
        if not without_s:
            return newest
        best = min(without_s, key=lambda version: (without_s[version], version))
        stands = without_s.get(outlook.planned)
        if stands is not None and stands - without_s[best] < _WORTH_A_CHANGE_S:
            return outlook.planned
        return best

    def may_read_ahead(self, brought: ChunkProgress) -> bool:
        """Read the next version when all of this one has left the origin."""
        return not brought.unread


PLANS: Final[Mapping[str, VersionPlan]] = MappingProxyType(
    {'by-naming': ByNaming(), 'by-forecast': ByForecast()},
)


def _candidates(
    wanted: WantedVersions,
    outlook: PlanInputs,
    newest: int,
) -> Iterator[int]:
    for version, _ in wanted.cutoffs(outlook.model):
        if outlook.serving < version <= newest:
            yield version


def _without_s(
    wanted: WantedVersions,
    outlook: PlanInputs,
    version: int,
    newest: int,
) -> float:
    """Give the seconds without an allowed version, if this one comes next.

    Each change counts as well, by what an engine does not do meanwhile.
    """
    first = _brought(outlook, version)
    read_s = first.unread * outlook.chunk_origin_s
    here_s = max(read_s, first.missing * outlook.transfer_s / first.count)
    ready_s = here_s + ENGINE_SWITCH_S
    closes_s = _closes_s(wanted, outlook, outlook.serving)
    without_s = max(0, ready_s - closes_s)
    if version == newest:
        return without_s
    last = _brought(outlook, newest)
    last_s = max(
        read_s + last.unread * outlook.chunk_origin_s,
        here_s + last.missing * outlook.transfer_s / last.count,
    )
    closes_s = max(ready_s, _closes_s(wanted, outlook, version))
    without_s += max(0, last_s + ENGINE_SWITCH_S - closes_s)
    return without_s + _CHANGE_COSTS_S


def _closes_s(
    wanted: WantedVersions,
    outlook: PlanInputs,
    version: int,
) -> float:
    """Give in how many seconds calls start on a version no more."""
    closing = [at for one, at in wanted.cutoffs(outlook.model) if one > version]
    # What was named before this process heard of it has closed already.
    return max(0, min(closing, default=math.inf) - outlook.now)


def _brought(outlook: PlanInputs, version: int) -> ChunkProgress:
    """Give how far a version is here; all is lacking before its manifest is."""
    found = outlook.progress.get(version)
    if found is not None:
        return found
    counts = [one.count for one in outlook.progress.values()] or [
        _UNKNOWN_COUNT
    ]
    return ChunkProgress(counts[0], counts[0], counts[0])
