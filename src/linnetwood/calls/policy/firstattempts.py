"""Whether a caller comes for the first time or was sent away before.

Load pattern: more calls than engines take for some seconds, and every caller
who is refused comes back once. Callers of a kind have the same time in all, of
which one who comes back has spent a part. It counts as one who comes back where
that part is longer than its target, so that it is late already. Where callers
differ in their time, what one says tells nothing: an entry finds that out by
itself.
"""

import dataclasses
from collections.abc import Callable
from types import MappingProxyType
from typing import Final, Protocol

# Who is refused waits for a fifth of the time that it has, or longer.
_MIN_SPENT_SHARE = 0.1
# A route's callers may change what they wait; the longest is forgotten after
# one to two spans of this.
_FORGET_AFTER_S = 30.0
# Routes whose callers are known; others count as first tries.
_MAX_ROUTES = 4096
# Whoever was refused is back or gone after this, by the time that callers have.
_QUIET_AFTER_REFUSAL_S = 5.0
# Of so many calls at least, no more than this share may say less: some come
# back because an endpoint failed.
_MIN_COUNTED_CALLS = 20
_MAX_SHORT_SHARE = 0.05
# Beyond so many, what was counted is halved: callers may change.
_MAX_COUNTED_CALLS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class CallTraits:
    """What a caller says that it waits, of its route and the route's target."""

    route: str
    wait_s: float | None
    target_s: float


class FirstAttemptDetector(Protocol):
    """Tell first tries from others by what a caller says that it waits."""

    def is_first(self, traits: CallTraits, now: float) -> bool:
        """Tell whether a caller of a route comes for the first time."""

    def refused(self, now: float) -> None:
        """Note that somebody was sent away and will come back."""


class AlwaysFirst:
    """Count every call as a first try."""

    def is_first(self, traits: CallTraits, now: float) -> bool:
        """Take it for one."""
        return True

    def refused(self, now: float) -> None:
        """Note nothing."""


class ByRemainingWait:
    """Count a call as a first try if its caller waits about the longest.

    While an entry refuses nobody, hardly anybody comes back: whoever says less
    then shows that callers differ, and all count as first tries.
    """

    __slots__ = (
        '_previous_longest',
        '_longest',
        '_counted_calls',
        '_counted_short',
        '_refused_at',
        '_rotated_at',
    )

    def __init__(self) -> None:
        """Know no callers."""
        self._longest: dict[str, float] = {}
        self._previous_longest: dict[str, float] = {}
        self._rotated_at = float()
        self._refused_at = -_QUIET_AFTER_REFUSAL_S
        self._counted_calls = 0
        self._counted_short = 0

    @property
    def is_reliable(self) -> bool:
        """Tell whether callers were seen to have the same time."""
        if self._counted_calls < _MIN_COUNTED_CALLS:
            return False
        return self._counted_short <= _MAX_SHORT_SHARE * self._counted_calls

    def is_first(self, traits: CallTraits, now: float) -> bool:
        """Tell whether a caller of a route comes for the first time."""
        if traits.wait_s is None:
            return True
        longest_s = self._longest_of(traits.route, traits.wait_s, now)
        min_difference_s = max(traits.target_s, _MIN_SPENT_SHARE * longest_s)
        is_short = longest_s - traits.wait_s > min_difference_s
        if now - self._refused_at >= _QUIET_AFTER_REFUSAL_S:
            self._count(is_short)
        return not (is_short and self.is_reliable)

    def refused(self, now: float) -> None:
        """Note that somebody was sent away and will come back."""
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
