"""When a refused caller should retry.

The policies are for a load pattern: for some seconds more calls arrive than
engines can run, and each refused caller retries once, within a third of the
time that it has left. If all get the same delay, they retry in one burst; if
they retry early, they displace calls that would be in time. As in a
reconnection storm, the window for retries is sized as the number of refused
callers divided by the rate at which calls are admitted.
"""

import collections
from collections.abc import Callable
from random import Random
from types import MappingProxyType
from typing import Final, Protocol

# Callers wait for at most this share of the time that they have left, as the
# platform states.
_MAX_WAIT_SHARE = 1 / 3
_MIN_RETRY_AFTER_S = 0.15
# `LastPart` spreads retries from this share of that wait to its end.
_WINDOW_START_SHARE = 0.6
# `SizedWindow` delays retries by at least this share of the time that is left.
# The time that remains then tells retrying callers from first attempts.
_MIN_WAIT_SHARE = 0.12
# Refusals and admissions are counted over this period.
_RATE_WINDOW_S = 1.0


class RetryAfterPolicy(Protocol):
    """Decide when refused callers retry, by what this entry has seen."""

    def admitted(self, now: float) -> None:
        """Count an admitted call."""

    def after_s(self, remaining_s: float, now: float) -> float:
        """Count a refused caller and return its retry delay in seconds."""


class LastPart:
    """Spread retries over the last part of the longest wait.

    A retrying caller is late already, since its target counts from its first
    attempt. So it matters more that capacity is free than that it retries soon.
    """

    def __init__(self, rng: Random) -> None:
        """Draw delays from a random source."""
        self._rng = rng

    def admitted(self, now: float) -> None:
        """Do nothing."""

    def after_s(self, remaining_s: float, now: float) -> float:
        """Return a random delay in the last part."""
        share = self._rng.uniform(_WINDOW_START_SHARE, 1)
        return max(_MIN_RETRY_AFTER_S, remaining_s * _MAX_WAIT_SHARE * share)


class SizedWindow:
    """Spread retries over the time that it takes to admit the refused callers.

    A few refused callers retry soon, and many over all of the longest wait.
    """

    def __init__(self, rng: Random) -> None:
        """Start with no calls counted."""
        self._rng = rng
        self._admitted: collections.deque[float] = collections.deque()
        self._refused: collections.deque[float] = collections.deque()

    def admitted(self, now: float) -> None:
        """Count an admitted call."""
        self._admitted.append(now)
        _drop_expired(self._admitted, now)

    def after_s(self, remaining_s: float, now: float) -> float:
        """Return a random delay in a window that fits the refused callers."""
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
