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
_SPENT_SHARE = 0.1
# A route's callers may change what they wait; the longest is forgotten after
# one to two spans of this.
_SPAN_S = 30.0
# Routes whose callers are known; others count as first tries.
_MOST_ROUTES = 4096
# Whoever was refused is back or gone after this, by the time that callers have.
_QUIET_S = 5.0
# Of so many calls at least, no more than this share may say less: some come
# back because an endpoint failed.
_QUIET_CALLS = 20
_QUIET_SHARE = 0.05
# Beyond so many, what was counted is halved: callers may change.
_QUIET_MOST = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """What a caller says that it waits, of its route and the route's target."""

    route: str
    wait_s: float | None
    target_s: float


class FirstTries(Protocol):
    """Tell first tries from others by what a caller says that it waits."""

    def is_first(self, said: Said, now: float) -> bool:
        """Tell whether a caller of a route comes for the first time."""

    def refused(self, now: float) -> None:
        """Note that somebody was sent away and will come back."""


class AllAlike:
    """Count every call as a first try."""

    def is_first(self, said: Said, now: float) -> bool:
        """Take it for one."""
        return True

    def refused(self, now: float) -> None:
        """Note nothing."""


class ByPatience:
    """Count a call as a first try if its caller waits about the longest.

    While an entry refuses nobody, hardly anybody comes back: whoever says less
    then shows that callers differ, and all count as first tries.
    """

    __slots__ = (
        '_before',
        '_longest',
        '_quiet_calls',
        '_quiet_short',
        '_refused_at',
        '_turned_at',
    )

    def __init__(self) -> None:
        """Know no callers."""
        self._longest: dict[str, float] = {}
        self._before: dict[str, float] = {}
        self._turned_at = float()
        self._refused_at = -_QUIET_S
        self._quiet_calls = 0
        self._quiet_short = 0

    @property
    def fits(self) -> bool:
        """Tell whether callers were seen to have the same time."""
        if self._quiet_calls < _QUIET_CALLS:
            return False
        return self._quiet_short <= _QUIET_SHARE * self._quiet_calls

    def is_first(self, said: Said, now: float) -> bool:
        """Tell whether a caller of a route comes for the first time."""
        if said.wait_s is None:
            return True
        longest_s = self._longest_of(said.route, said.wait_s, now)
        least_s = max(said.target_s, _SPENT_SHARE * longest_s)
        is_short = longest_s - said.wait_s > least_s
        if now - self._refused_at >= _QUIET_S:
            self._count(is_short)
        return not (is_short and self.fits)

    def refused(self, now: float) -> None:
        """Note that somebody was sent away and will come back."""
        self._refused_at = now

    def _longest_of(self, route: str, wait_s: float, now: float) -> float:
        if now - self._turned_at >= _SPAN_S:
            self._before = self._longest
            self._longest = {}
            self._turned_at = now
        longest = max(wait_s, self._longest.get(route, 0))
        if route in self._longest or len(self._longest) < _MOST_ROUTES:
            self._longest[route] = longest
        return max(longest, self._before.get(route, 0))

    def _count(self, is_short: bool) -> None:
        if self._quiet_calls >= _QUIET_MOST:
            self._quiet_calls //= 2
            self._quiet_short //= 2
        self._quiet_calls += 1
        self._quiet_short += is_short


FIRST_TRIES: Final = MappingProxyType[str, Callable[[], FirstTries]](
    {'all-alike': AllAlike, 'by-patience': ByPatience},
)
