"""When a refused caller is to come back.

Load pattern: engines take less than what comes for seconds, and callers who are
refused come back once, within a third of the time that they have left. If all
are told the same, they come back as one crowd; if they come back early, they
keep out those who would be in time. The window is sized as in a reconnection
storm: callers sent away, divided by the rate that is borne.
"""

import collections
from collections.abc import Callable
from random import Random
from types import MappingProxyType
from typing import Final, Protocol

# Callers wait for at most this share of the time that they have left (the
# users' pages).
_WAITED_SHARE = 1 / 3
_LEAST_S = 0.15
# They come back over the last part of it.
_EARLIEST_SHARE = 0.6
# Or not before this share of all their time: by what is left they are told from
# those who come first.
_SOONEST_SHARE = 0.12
# Refusals and admissions are counted over so long.
_COUNTED_S = 1.0


class Returns(Protocol):
    """Say when to come back, by what this entry saw."""

    def admitted(self, now: float) -> None:
        """Note a call that was taken."""

    def after_s(self, left_s: float, now: float) -> float:
        """Refuse a caller with so much time left; give when it returns."""


class LastPart:
    """Let all come back over the last part of what they wait.

    Whoever comes back is late already, since its time counts from its first
    try; what matters then is that there is room.
    """

    def __init__(self, rng: Random) -> None:
        """Draw from a source of chance."""
        self._rng = rng

    def admitted(self, now: float) -> None:
        """Note nothing."""

    def after_s(self, left_s: float, now: float) -> float:
        """Give a time in the last part."""
        share = self._rng.uniform(_EARLIEST_SHARE, 1)
        return max(_LEAST_S, left_s * _WAITED_SHARE * share)


class SizedWindow:
    """Spread callers over the time in which so many are taken.

    Few that are refused come back soon, and many over all that they wait.
    """

    def __init__(self, rng: Random) -> None:
        """Have seen nobody."""
        self._rng = rng
        self._admitted: collections.deque[float] = collections.deque()
        self._refused: collections.deque[float] = collections.deque()

    def admitted(self, now: float) -> None:
        """Note a call that was taken."""
        self._admitted.append(now)
        _expire(self._admitted, now)

    def after_s(self, left_s: float, now: float) -> float:
        """Give a time in a window as long as the refused need to be taken."""
        self._refused.append(now)
        _expire(self._refused, now)
        _expire(self._admitted, now)
        least_s = max(_LEAST_S, left_s * _SOONEST_SHARE)
        most_s = max(_LEAST_S, left_s * _WAITED_SHARE)
        borne = max(1, len(self._admitted)) / _COUNTED_S
        window_s = least_s + len(self._refused) / borne
        return self._rng.uniform(least_s, min(most_s, window_s))


RETURNS: Final = MappingProxyType[str, Callable[[Random], Returns]](
    {'last-part': LastPart, 'sized-window': SizedWindow},
)


def _expire(times: collections.deque[float], now: float) -> None:
    while times and now - times[0] > _COUNTED_S:
        times.popleft()
