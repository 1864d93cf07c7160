"""Whether a call is a first attempt or the retry of a refused caller.

The detection is for a load pattern: for some seconds more calls arrive than
engines can run, and every refused caller retries once. Callers of a route have
the same time in total, of which a retrying caller has spent a part. A call
counts as a retry if that part is longer than the target of the route, since it
is late already. Where callers differ in their total time, the time that they
state shows nothing; an entry detects this itself.
"""

import dataclasses
from collections.abc import Callable
from types import MappingProxyType
from typing import Final, Protocol

# A refused caller waits for a fifth of its time or longer. Half of that tells
# it from a first attempt.
_MIN_SPENT_SHARE = 0.1
# Callers of a route may change their time. The longest time seen is forgotten
# after one to two of these periods.
_FORGET_AFTER_S = 30.0
# Routes for which times are stored; calls of others count as first attempts.
_MAX_ROUTES = 4096
# Callers have so little time that after this each refused caller has retried or
# given up.
_QUIET_AFTER_REFUSAL_S = 5.0
# Of at least this many calls, no more than the share below may state clearly
# less than the longest time. Some do, as they retry after an endpoint failed.
_MIN_COUNTED_CALLS = 20
_MAX_SHORT_SHARE = 0.05
# Counts are halved at this many calls, since callers may change.
_MAX_COUNTED_CALLS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class CallTraits:
    """The time that a caller states, with its route and the route's target."""

    route: str
    wait_s: float | None
    target_s: float


class FirstAttemptDetector(Protocol):
    """Distinguish first attempts from retries by the time a caller states."""

    def is_first(self, traits: CallTraits, now: float) -> bool:
        """Return whether a call is a first attempt."""

    def refused(self, now: float) -> None:
        """Record that a caller was refused and will retry."""


class AlwaysFirst:
    """Count every call as a first attempt."""

    def is_first(self, traits: CallTraits, now: float) -> bool:
        """Return True."""
        return True

    def refused(self, now: float) -> None:
        """Do nothing."""


class ByRemainingWait:
    """Count a call as a first attempt if its stated time is near the longest.

    While an entry refuses no calls, hardly any caller retries. If callers state
    shorter times even then, their times differ, and all calls count as first
    attempts.
    """

    __slots__ = (
        '_counted_calls',
        '_counted_short',
        '_longest',
        '_previous_longest',
        '_refused_at',
        '_rotated_at',
    )

    def __init__(self) -> None:
        """Start with no calls counted."""
        self._longest: dict[str, float] = {}
        self._previous_longest: dict[str, float] = {}
        self._rotated_at = float()
        self._refused_at = -_QUIET_AFTER_REFUSAL_S
        self._counted_calls = 0
        self._counted_short = 0

    @property
    def is_reliable(self) -> bool:
        """Return whether the callers seen on a route state the same time."""
        if self._counted_calls < _MIN_COUNTED_CALLS:
            return False
        return self._counted_short <= _MAX_SHORT_SHARE * self._counted_calls

    def is_first(self, traits: CallTraits, now: float) -> bool:
        """Return whether a call is a first attempt."""
        if traits.wait_s is None:
            return True
        longest_s = self._longest_of(traits.route, traits.wait_s, now)
        min_difference_s = max(traits.target_s, _MIN_SPENT_SHARE * longest_s)
        is_short = longest_s - traits.wait_s > min_difference_s
        if now - self._refused_at >= _QUIET_AFTER_REFUSAL_S:
            self._count(is_short)
        return not (is_short and self.is_reliable)

    def refused(self, now: float) -> None:
        """Record that a caller was refused and will retry."""
        self._refused_at = now

    def _longest_of(self, route: str, wait_s: float, now: float) -> float:
        if now - self._rotated_at >= _FORGET_AFTER_S:
            self._previous_longest = self._longest
            self._longest = {}
            self._rotated_at = now
        longest = max(wait_s, self._longest.get(route, 0))
        if route in self._longest or len(self._longest) < _MAX_ROUTES:
            self._longest[route] = longest
        return max(longest, self._previous_longest.get(route, 0))

    def _count(self, is_short: bool) -> None:
        if self._counted_calls >= _MAX_COUNTED_CALLS:
            self._counted_calls //= 2
            self._counted_short //= 2
        self._counted_calls += 1
        self._counted_short += is_short


FIRST_ATTEMPT_DETECTORS: Final = MappingProxyType[
    str, Callable[[], FirstAttemptDetector]
](
    {'all-alike': AlwaysFirst, 'by-patience': ByRemainingWait},
)
