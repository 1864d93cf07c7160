"""Reserve slots for more urgent calls while such calls are refused.

Load pattern: for some seconds more calls of one kind arrive than engines can
run beside those of other kinds. As in overload control by business priority, an
entry learns the pressure from what its own calls met: the share of recent calls
of a level that were refused or admitted as late. Calls that were admitted and
began late don't count, since faults and slow engines delay some at any load.
Less urgent levels then leave slots of engines free, as in trunk reservation.
The limit is on the load and not on the wait, since less urgent calls may have
longer targets. The pressure halves in a few seconds, so a threshold ends by
itself.
"""

import dataclasses
import math
from typing import Final

from linnetwood.calls.policy.retrycapacity import SlotUsage

# Long enough that an entry with a few calls a second sees the pressure.
_HALF_LIFE_S = 4.0
# Calls in time that are assumed beside those seen: a single refused call of a
# quiet level is weak evidence.
_ASSUMED_CALLS = 20.0
# Pressure begins above the first share of more urgent calls that are refused,
# and is full at the second. Some are refused at any load, as after a fault.
_TOLERATED_SHARE = 0.1
_FULL_SHARE = 0.5
# With a pressure from here on, less urgent levels get no late admissions.
_MIN_PRESSURE = 0.1
# Calls that run and wait at an engine, per slot, up to which less urgent calls
# are admitted: near the minimum pressure, and at full pressure.
_MAX_USED_SHARE = 1.0
_MIN_USED_SHARE = 0.75
# No threshold holds for a level whose share of admitted calls is below this
# part of the service's. A quarter must be served in time; this is higher since
# some of the admitted calls are late.
_FLOOR_SHARE = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class LoadLimit:
    """The load of an engine up to which a level is admitted as in time.

    The load is the number of calls that run and wait there, per slot; infinite
    where no threshold holds.
    """

    per_slot: float = math.inf

    def allows(self, usage: SlotUsage) -> bool:
        """Return whether one more call may be sent to an engine."""
        return usage.used < self.per_slot * usage.slots


NO_LIMIT: Final = LoadLimit()


@dataclasses.dataclass(slots=True)
class _LevelCounts:
    """Recent calls of one level, with older ones counting less."""

    refused: float = 0
    offered: float = 0
    admitted: float = 0

    def decay(self, elapsed_s: float) -> None:
        """Let the counts shrink with time."""
        factor = 2 ** (-elapsed_s / _HALF_LIFE_S)
        self.refused *= factor
        self.offered *= factor
        self.admitted *= factor


class PriorityThresholds:
    """Limit admissions by level; one instance per service and entry."""

    __slots__ = ('_counts', '_updated_at')

    def __init__(self) -> None:
        """Start without any load."""
        self._counts: dict[int, _LevelCounts] = {}
        self._updated_at = float()

    def record_decision(self, level: int, now: float, *, in_time: bool) -> None:
        """Record whether a call was admitted as in time.

        A call that is refused, or admitted as late, adds to the pressure.
        """
        counts = self._at(now, level)
        counts.offered += 1
        if in_time:
            counts.admitted += 1
        else:
            counts.refused += 1

    def pressure(self, level: int, now: float) -> float:
        """Return the highest pressure of the more urgent levels, 0 to 1."""
        if not level:
            # The usual case: one level, which no other precedes.
            return 0
        self._decay(now)
        refused_share = max(
            (
                counts.refused / (counts.offered + _ASSUMED_CALLS)
                for known, counts in self._counts.items()
                if known < level
            ),
            default=0,
        )
        excess = refused_share - _TOLERATED_SHARE
        return max(0, min(1, excess / (_FULL_SHARE - _TOLERATED_SHARE)))

    def allows_late(self, level: int, now: float) -> bool:
        """Return whether calls of a level may be admitted as late."""
        return self.pressure(level, now) < _MIN_PRESSURE

    def limit(self, level: int, now: float) -> LoadLimit:
        """Return the limit that holds for a level now."""
        pressure = self.pressure(level, now)
        if pressure < _MIN_PRESSURE or self._is_starved(level):
            return NO_LIMIT
        kept_share = pressure * (_MAX_USED_SHARE - _MIN_USED_SHARE)
        return LoadLimit(_MAX_USED_SHARE - kept_share)

    def _is_starved(self, level: int) -> bool:
        """Return whether a level is admitted much less often than others."""
        own = self._counts.get(level)
        if own is None or not own.offered:
            return False
        offered = sum(counts.offered for counts in self._counts.values())
        admitted = sum(counts.admitted for counts in self._counts.values())
        return own.admitted / own.offered < _FLOOR_SHARE * admitted / offered

    def _at(self, now: float, level: int) -> _LevelCounts:
        self._decay(now)
        return self._counts.setdefault(level, _LevelCounts())

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s > 0:
            self._updated_at = now
            for counts in self._counts.values():
                counts.decay(elapsed_s)


class ServiceThresholds:
    """The thresholds of each service."""

    __slots__ = ('_by_service',)

    def __init__(self) -> None:
        """Start without services."""
        self._by_service: dict[str, PriorityThresholds] = {}

    def of(self, service: str) -> PriorityThresholds:
        """Return the thresholds of a service, new if there are none."""
        found = self._by_service.get(service)
        if found is None:
            found = PriorityThresholds()
            self._by_service[service] = found
        return found
