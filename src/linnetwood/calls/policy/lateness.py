"""Keep a margin between the predicted start of a call and its target.

Load pattern: more calls than the engines can take, for seconds or permanently.
An entry predicts by reports and doesn't see the calls that others have sent
since. In overload all entries are therefore too optimistic at the same time and
admit too many calls, and the calls that begin in time fall to half of what the
engines could do. So each entry corrects its predictions by the waits of its own
calls.
"""

from typing import Protocol

# A prediction is a mean; in 1 case of 4 a call begins this much later.
SPREAD_S = 0.06
# The weight of one call: large enough to follow bursts of a few seconds.
_LEARNING_RATE = 0.3
# The learned error halves in this time, since an entry that refuses all calls
# learns nothing new.
_HALF_LIFE_S = 5.0
# The same for one of several priority levels. A level may have few calls, so a
# large error would last and idle engines would refuse its calls.
_LEVEL_HALF_LIFE_S = 1.5
# Bound of the correction as a share of the target: with more, calls to an idle
# engine may be refused.
_MAX_TARGET_SHARE = 0.5


class Lateness(Protocol):
    """Learn a margin from an entry's own calls; one instance per service."""

    def record(self, predicted_s: float, actual_s: float, now: float) -> None:
        """Record how long a call waited, or has waited so far."""

    def margin_s(self, target_s: float, now: float) -> float:
        """Return how far before the target a predicted start must be."""


def acceptable_wait_s(
    target_s: float, margin_s: float, free_slot_s: float
) -> float:
    """Return the longest acceptable wait in seconds with a rough margin.

    A few calls that met a slow engine, or calls of a rare priority level, can
    raise the margin until even engines with a free slot are excluded. These
    stay acceptable, or their slots would be idle while calls are refused.

    :param free_slot_s: the wait predicted at an engine with a free slot
    """
    return max(target_s - margin_s, min(target_s - SPREAD_S, free_slot_s))


class MeanLateness:
    """Use the usual spread plus the mean lateness of recent calls."""

    __slots__ = ('_updated_at', '_error_s', '_half_life_s')

    def __init__(self, half_life_s: float = _HALF_LIFE_S) -> None:
        """Start without a correction."""
        self._half_life_s = half_life_s
        self._error_s = float()
        self._updated_at = float()

    def record(self, predicted_s: float, actual_s: float, now: float) -> None:
        """Record how long a call waited, or has waited so far."""
        error_s = self._error_at(now)
        self._error_s = error_s + _LEARNING_RATE * (
            actual_s - predicted_s - error_s
        )
        self._updated_at = now

    def mean_lateness_s(self, target_s: float, now: float) -> float:
        """Return how much later than predicted calls begin, within a bound."""
        return min(max(0, self._error_at(now)), _MAX_TARGET_SHARE * target_s)

    def margin_s(self, target_s: float, now: float) -> float:
        """Return how far before the target a predicted start must be."""
        return SPREAD_S + self.mean_lateness_s(target_s, now)

    def _error_at(self, now: float) -> float:
        elapsed_s = now - self._updated_at
        return self._error_s * 2 ** (-elapsed_s / self._half_life_s)


def level_lateness() -> Lateness:
    """Return the lateness of one of several levels of priority."""
    return MeanLateness(_LEVEL_HALF_LIFE_S)
