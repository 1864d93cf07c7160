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
_GAIN = 0.3
# What was learned is halved in so many seconds, since an entry that refuses all
# learns no more.
_HALVED_S = 5.0
# Of a route's target: with more, calls to an idle engine may be refused.
_MOST_SHARE = 0.5


class Lateness(Protocol):
    """Learn from an entry's own calls what to allow for; one a service."""

    def seen(self, predicted_s: float, seen_s: float, now: float) -> None:
        """Take in how long a call waited, or has waited so far."""

    def allowed_s(self, target_s: float, now: float) -> float:
        """Give by how much sooner than a target calls must be predicted."""


class MeanLateness:
    """Allow the usual spread, and the mean by which calls came later."""

    __slots__ = ('_at', '_error_s')

    def __init__(self) -> None:
        """Believe predictions."""
        self._error_s = float()
        self._at = float()

    def seen(self, predicted_s: float, seen_s: float, now: float) -> None:
        """Take in how long a call waited, or has waited so far."""
        error_s = self._error_at(now)
        self._error_s = error_s + _GAIN * (seen_s - predicted_s - error_s)
        self._at = now

    def late_s(self, target_s: float, now: float) -> float:
        """Give by how much later than predicted calls with a target begin."""
        return min(max(0, self._error_at(now)), _MOST_SHARE * target_s)

    def allowed_s(self, target_s: float, now: float) -> float:
        """Give by how much sooner than a target calls must be predicted."""
        return SPREAD_S + self.late_s(target_s, now)

    def _error_at(self, now: float) -> float:
        return self._error_s * 2 ** ((self._at - now) / _HALVED_S)
