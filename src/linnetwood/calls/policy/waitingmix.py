"""Estimate the priority levels of the calls that wait at engines.

An engine reports how many calls wait, but not their levels. By Little's law the
calls of a level that wait are in proportion to the total time that calls of the
level spend waiting, and the calls of one entry are a sample of those of all.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

_HALF_LIFE_S = 2.0
# The mix counts like this number of calls waiting at one engine.
_WEIGHT = 2.0
NO_MIX: Final[Mapping[int, float]] = MappingProxyType({})


class WaitingMix:
    """Weigh levels by how long recent calls waited; one per service."""

    __slots__ = ('_updated_at', '_waited_s', 'weights')

    def __init__(self) -> None:
        """Start without any calls."""
        self._waited_s: dict[int, float] = {}
        self._updated_at = float()
        self.weights: Mapping[int, float] = NO_MIX

    def record(self, level: int, waited_s: float, now: float) -> None:
        """Record that a call of a level has waited for some seconds."""
        decay = 2 ** ((self._updated_at - now) / _HALF_LIFE_S)
        self._updated_at = now
        for older in self._waited_s:
            self._waited_s[older] *= decay
        self._waited_s[level] = self._waited_s.get(level, 0) + waited_s
        total_s = sum(self._waited_s.values())
        if total_s > 0:
            self.weights = {
                known: _WEIGHT * one_s / total_s
                for known, one_s in self._waited_s.items()
            }
