"""How much sooner than its target a call must be predicted to begin.

Load pattern: more calls than the engines take, for seconds or for good. An
entry predicts by reports, and does not see what others have sent since; in
overload that makes every prediction hopeful at the same time, all admit more,
and calls in time fall to half of what the engines could do. So each entry
corrects what it admits by what its own calls saw.
"""

from typing import Protocol

# A prediction is a mean; calls come this much later one time in four.
SPREAD_S = 0.06
# A call's share in what is believed: large enough for bursts that last seconds.
_LEARNING_RATE = 0.3
# What was learned is halved in so many seconds, since an entry that refuses all
# learns no more.
_HALF_LIFE_S = 5.0
# Of a route's target: with more, calls to an idle engine may be refused.
_MAX_TARGET_SHARE = 0.5


class Lateness(Protocol):
    """Learn from an entry's own calls what to allow for; one a service."""

    def record(self, predicted_s: float, actual_s: float, now: float) -> None:
        """Take in how long a call waited, or has waited so far."""

    def margin_s(self, target_s: float, now: float) -> float:
        """Give by how much sooner than a target calls must be predicted."""


class MeanLateness:
    """Allow the usual spread, and the mean by which calls came later."""

    __slots__ = ('_updated_at', '_error_s')

    def __init__(self) -> None:
        """Believe predictions."""
        self._error_s = float()
        self._updated_at = float()

    def record(self, predicted_s: float, actual_s: float, now: float) -> None:
        """Take in how long a call waited, or has waited so far."""
        error_s = self._error_at(now)
        self._error_s = error_s + _LEARNING_RATE * (
            actual_s - predicted_s - error_s
        )
        self._updated_at = now

    def mean_lateness_s(self, target_s: float, now: float) -> float:
        """Give by how much later than predicted calls with a target begin."""
        return min(max(0, self._error_at(now)), _MAX_TARGET_SHARE * target_s)

    def margin_s(self, target_s: float, now: float) -> float:
        """Give by how much sooner than a target calls must be predicted."""
        return SPREAD_S + self.mean_lateness_s(target_s, now)

    def _error_at(self, now: float) -> float:
        return self._error_s * 2 ** ((self._updated_at - now) / _HALF_LIFE_S)
