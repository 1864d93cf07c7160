"""Predict how long an engine that has slowed down needs; no I/O or clock.

An engine reports its pace: 1 is the usual one, and a value over 1 means that
many times slower. Load patterns: some of the engines are slow for about half a
second and then others are, or some are slow for several seconds. A report is up
to 0.3 s old when it is used, and a call may wait for a slot until after the
engine is fast again. So a pace is expected to last as long as earlier ones did.
"""

import math
from collections import deque
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

# A pace this near to 1 counts as the usual one, and one this near to the last
# as the same.
_SAME_SHARE = 0.1
# Durations to learn from. Few enough that the latest seconds prevail.
_MAX_DURATIONS = 32
_LEARNING_RATE = 0.2
# The start of a pace is unknown if the previous report is older than this.
_MAX_GAP_S = 1.0
# An engine that slows down for a while is likely to be followed by others.
_SLOW_RECENTLY_S = 10.0
# Reported paces outside these bounds are ignored as faults.
_MIN_PACE = 0.1
_MAX_PACE = 100.0


def is_valid_pace(found: object) -> bool:
    """Return whether a value read from a report can be a pace."""
    if isinstance(found, bool) or not isinstance(found, int | float):
        return False
    return _MIN_PACE <= found <= _MAX_PACE


def is_same_pace(first: float, second: float) -> bool:
    """Return whether two paces are equal within the tolerance."""
    return math.isclose(first, second, rel_tol=_SAME_SHARE)


def explained_s(
    predicted_s: float, actual_s: float, pace_ratio: float
) -> float:
    """Return the part of a wait that a prediction and a change of pace explain.

    The ratio is the pace known now over the one known at the prediction.
    The pace changed at an unknown moment in between, so any wait between the
    prediction and its product with the ratio is explained.
    """
    changed_s = predicted_s
    if not is_same_pace(pace_ratio, 1):
        changed_s *= pace_ratio
    low_s, high_s = sorted((predicted_s, changed_s))
    return max(low_s, min(actual_s, high_s))


class PaceDurations:
    """How long paces other than the usual one lasted."""

    __slots__ = ('_durations_s', '_slow_at', 'next_pace')

    def __init__(self) -> None:
        """Start without knowledge: a pace then lasts until a report differs."""
        self._durations_s: deque[float] = deque(maxlen=_MAX_DURATIONS)
        # The mean pace that came after such a pace.
        self.next_pace = float(1)
        self._slow_at = -math.inf

    def note_slow(self, now: float) -> None:
        """Note that an engine reports that it is slow."""
        self._slow_at = now

    def slow_recently(self, now: float) -> bool:
        """Return whether any engine was slow lately."""
        return now - self._slow_at < _SLOW_RECENTLY_S

    def record(self, duration_s: float, next_pace: float) -> None:
        """Record how long a pace lasted, and which one came after it."""
        self._durations_s.append(duration_s)
        self.next_pace += _LEARNING_RATE * (next_pace - self.next_pace)

    def remaining_s(self, age_s: float) -> list[float]:
        """Return for how much longer a pace of an age may last, in seconds.

        One that has lasted longer than all before is expected to last as long
        again.
        """
        if not self._durations_s:
            return [math.inf]
        remaining_s = [one - age_s for one in self._durations_s if one > age_s]
        return remaining_s or [age_s]


class EnginePace:
    """The pace of one engine, by its reports."""

    __slots__ = ('_durations', '_reported_at', '_since', 'pace')

    def __init__(self, durations: PaceDurations) -> None:
        """Start at the usual pace."""
        self.pace = float(1)
        self._durations = durations
        # When the current pace was reported first and last. It began between
        # two reports; times are those of the receiver.
        self._since = -math.inf
        self._reported_at = -math.inf

    @property
    def is_usual(self) -> bool:
        """Return whether the pace is the usual one."""
        return is_same_pace(self.pace, 1)

    @property
    def is_slow(self) -> bool:
        """Return whether the engine is slower than usual."""
        return self.pace > 1 and not self.is_usual

    def record(self, pace: float, now: float) -> None:
        """Record the pace in a report that was received now."""
        if not is_same_pace(pace, self.pace):
            began_at = -math.inf
            if now - self._reported_at <= _MAX_GAP_S:
                began_at = (now + self._reported_at) / 2
            duration_s = began_at - self._since
            if math.isfinite(duration_s) and not self.is_usual:
                self._durations.record(duration_s, pace)
            self._since = began_at
            self.pace = pace
        if self.is_slow:
            self._durations.note_slow(now)
        self._reported_at = now

    def expected_s(self, usual_s: float, lag_s: float, now: float) -> float:
        """Return the seconds for what takes `usual_s` at the usual pace.

        A report is `lag_s` old when it is received.
        """
        if self.is_usual:
            return usual_s
        report_age_s = now - self._reported_at + lag_s
        times_s = [
            self._time_s(usual_s, remaining_s - report_age_s)
            for remaining_s in self._durations.remaining_s(
                self._reported_at - self._since
            )
        ]
        return sum(times_s) / len(times_s)

    def _time_s(self, usual_s: float, remaining_s: float) -> float:
        """Return the seconds needed if the pace lasts for `remaining_s`."""
        slow_s = min(usual_s * self.pace, max(0, remaining_s))
        rest_s = usual_s - slow_s / self.pace
        return slow_s + rest_s * self._durations.next_pace


class UsualPace(EnginePace):
    """Take every engine as running at its usual pace, whatever it reports."""

    __slots__ = ()

    def record(self, pace: float, now: float) -> None:
        """Ignore the pace in a report."""


PACES: Final[Mapping[str, type[EnginePace]]] = MappingProxyType(
    {'predicted': EnginePace, 'ignored': UsualPace},
)
