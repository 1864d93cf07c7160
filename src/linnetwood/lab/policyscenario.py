"""The fleet and the load of a simulation of policies."""

import dataclasses
import math

from linnetwood.calls.prioritylevels import PriorityLevels, rank_priorities
from linnetwood.core.options import Decisions
from linnetwood.lab.sheets import SHEETS, Sheet


@dataclasses.dataclass(frozen=True, slots=True)
class SlowEngines:
    """A share of the engines is slow; which ones is drawn at an interval."""

    share: float = 0
    pace: float = 1
    redraw_interval_s: float = 0.6
    # Engines don't report their pace.
    unreported: bool = False
    # All engines have the same share of the total capacity instead.
    equal: bool = False

    def capacity(self) -> float:
        """Return the capacity as a share of that without slow engines."""
        return 1 - self.share + self.share / self.pace


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The simulated fleet and its load; the rate in calls a second."""

    entries: int = 98
    engines: int = 60
    zones: int = 5
    rate: float = 250
    report_interval_s: float = 0.25
    # The number of zones whose entries get calls; 0 for all.
    loaded_zones: int = 0
    sheet: Sheet = SHEETS['large']
    decisions: Decisions = Decisions()
    # The share of the rate by which it rises and falls, and the period.
    rate_swing: float = 0
    swing_period_s: float = 4.0
    # How long callers wait; they retry once if they are refused. With 0 they
    # don't retry, and no late call is admitted.
    patience_s: float = 0
    # The rate is halved until this time.
    half_rate_s: float = 0
    # The rate is halved again from this time on.
    half_rate_from_s: float = math.inf
    # The age of a report when it is sent.
    report_age_s: float = 0
    slow: SlowEngines = SlowEngines()
    # Whether the priorities of kinds are used.
    by_priority: bool = True
    # Calls of the kind with this index are so many times as frequent in a span.
    surging: int = 0
    surge: float = 1
    surge_from_s: float = 0
    surge_until_s: float = math.inf

    def weights(self, now: float) -> list[float]:
        """Return the relative frequency of each kind."""
        weights = [kind.weight for kind in self.sheet.kinds]
        if self.surge_from_s <= now < self.surge_until_s:
            weights[self.surging] *= self.surge
        return weights

    def levels(self) -> PriorityLevels:
        """Return the levels of the kinds."""
        if not self.by_priority:
            return PriorityLevels()
        return rank_priorities((), (one.priority for one in self.sheet.kinds))
