"""The simulated fleet of a transfer, its faults, and what came of it."""

import dataclasses
import math
from collections import Counter
from typing import Any

from linnetwood.weights.takeover import TakeoverPolicy
from linnetwood.weights.versionplan import VersionPlan

# The links of the fleet in docs/design/shifted.md.
_LINK_BYTES_PER_S = 456250
_ORIGIN_BYTES_PER_S = 547500


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The simulated fleet and its faults; times in seconds."""

    vms: int = 41
    zones: int = 3
    chunks: int = 96
    chunk_bytes: int = 24576
    link_bytes_per_s: float = _LINK_BYTES_PER_S
    # The share of a link that chunks may use.
    link_share: float = 0.9
    origin_bytes_per_s: float = _ORIGIN_BYTES_PER_S
    connections: int = 48
    bound_s: float = 13.4
    transfer_s: float = 7.2
    named_at: tuple[float, ...] = (0,)
    outage: tuple[float, float] = (math.inf, math.inf)
    # When the zone of the origin is cut off from all others.
    cut: tuple[float, float] = (math.inf, math.inf)

    @property
    def chunk_origin_s(self) -> float:
        """Return the seconds that a chunk takes on the origin's link."""
        return self.chunk_bytes / self.origin_bytes_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """The policies that are compared."""

    takeover: TakeoverPolicy
    plan: VersionPlan


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of a simulation; times in seconds from its start."""

    # Chunks read from the origin, by version.
    reads: Counter[int] = dataclasses.field(default_factory=Counter)
    refused: int = 0
    complete_at_by_version: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    # The same for the VMs of the origin's zone alone.
    near_complete_at: dict[int, float] = dataclasses.field(default_factory=dict)
    # Seconds without an allowed version, as the mean over all engines.
    without_s: float = 0
    all_served_at: float = math.inf

    def row(self) -> dict[str, Any]:
        """Return the figures to print."""
        return {
            'reads': dict(sorted(self.reads.items())),
            'refused': self.refused,
            'whole_at': {
                version: round(at, 2)
                for version, at in sorted(self.complete_at_by_version.items())
            },
            'without_s': round(self.without_s, 2),
            'served_at': round(self.all_served_at, 2),
        }
