"""Count milliseconds in steps, so that memory does not grow with calls."""

import collections

_STEP_MS = 25
# Waits are counted up to so many steps, and what lies beyond as the last.
_LAST_STEP = 2000


class Spread:
    """How often values of each step came."""

    __slots__ = ('_counts', '_step_ms', 'count')

    def __init__(self, step_ms: int = _STEP_MS) -> None:
        """Begin empty."""
        self.count = 0
        self._step_ms = step_ms
        self._counts: collections.Counter[int] = collections.Counter()

    def add(self, milliseconds: float) -> None:
        """Count one."""
        step = int(milliseconds // self._step_ms)
        self._counts[max(-_LAST_STEP, min(_LAST_STEP, step))] += 1
        self.count += 1

    def at(self, share: float) -> int | None:
        """Give a quantile, to the step; None of nothing."""
        left = share * self.count
        for step in sorted(self._counts):
            left -= self._counts[step]
            if left < 0:
                return step * self._step_ms
        return None
