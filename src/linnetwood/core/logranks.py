"""Rank log lines, and limit how often calls are logged as warnings."""

import collections
import enum

# Readers of logs may show the first few warnings only. Calls with one reason
# get one warning in this time, in seconds; the others are counted.
WARNING_PERIOD_S = 5.0
# Maximum number of reasons in a period; others are counted together.
_MAX_REASONS = 64
_REST = 'rest'


class Rank(enum.IntEnum):
    """Which lines are kept if there are too many; the highest last longest."""

    SUCCESS = 1
    FAILURE = 2
    # What the process decides calls by.
    BELIEF = 3


class CallWarnings:
    """Let the first call with a reason be a warning, and count the others."""

    __slots__ = ('_counts', '_since')

    def __init__(self) -> None:
        """Start without any call."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._since = float()

    def is_first(self, reason: str, now: float) -> bool:
        """Count a call; return whether it is the first with its reason."""
        if not self._counts:
            self._since = now
        if reason not in self._counts and len(self._counts) >= _MAX_REASONS:
            reason = _REST
        self._counts[reason] += 1
        return self._counts[reason] == 1

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the period ends."""
        return self._since + WARNING_PERIOD_S - now

    def end_period(self) -> dict[str, int]:
        """Start again; return how many calls were no warnings, by reason."""
        left_out = {
            reason: count - 1
            for reason, count in self._counts.items()
            if count > 1
        }
        self._counts.clear()
        return left_out
