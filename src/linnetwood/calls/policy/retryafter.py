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
_MAX_WAIT_SHARE = 1 / 3
_MIN_RETRY_AFTER_S = 0.15
# They come back over the last part of it.
_WINDOW_START_SHARE = 0.6
# Or not before this share of all their time: by what is left they are told from
# those who come first.
_MIN_WAIT_SHARE = 0.12
# Refusals and admissions are counted over so long.
_RATE_WINDOW_S = 1.0


class RetryAfterPolicy(Protocol):
    """Say when to come back, by what this entry saw."""

    def admitted(self, now: float) -> None:
        """Note a call that was taken."""

    def after_s(self, remaining_s: float, now: float) -> float:
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

    def after_s(self, remaining_s: float, now: float) -> float:
        """Give a time in the last part."""
        share = self._rng.uniform(_WINDOW_START_SHARE, 1)
        return max(_MIN_RETRY_AFTER_S, remaining_s * _MAX_WAIT_SHARE * share)


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
        _drop_expired(self._admitted, now)

    def after_s(self, remaining_s: float, now: float) -> float:
        """Give a time in a window as long as the refused need to be taken."""
        self._refused.append(now)
        _drop_expired(self._refused, now)
        _drop_expired(self._admitted, now)
        min_s = max(_MIN_RETRY_AFTER_S, remaining_s * _MIN_WAIT_SHARE)
        max_s = max(_MIN_RETRY_AFTER_S, remaining_s * _MAX_WAIT_SHARE)
        admitted_per_s = max(1, len(self._admitted)) / _RATE_WINDOW_S
        window_s = min_s + len(self._refused) / admitted_per_s
        return self._rng.uniform(min_s, min(max_s, window_s))


RETRY_AFTER_POLICIES: Final = MappingProxyType[
    str, Callable[[Random], RetryAfterPolicy]
](
    {'last-part': LastPart, 'sized-window': SizedWindow},
)


def _drop_expired(times: collections.deque[float], now: float) -> None:
    while times and now - times[0] > _RATE_WINDOW_S:
        times.popleft()
