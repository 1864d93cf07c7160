"""A histogram of milliseconds, whose memory doesn't grow with the calls."""

import collections

_STEP_MS = 25
# Values beyond this step are counted in it.
_LAST_STEP = 2000


class Histogram:
    """The number of values in each step."""

    __slots__ = ('_counts', '_step_ms', 'count')

    def __init__(self, step_ms: int = _STEP_MS) -> None:
        """Start empty."""
        self.count = 0
        self._step_ms = step_ms
        self._counts: collections.Counter[int] = collections.Counter()

    def add(self, milliseconds: float) -> None:
        """Add one value."""
        step = int(milliseconds // self._step_ms)
        self._counts[max(-_LAST_STEP, min(_LAST_STEP, step))] += 1
        self.count += 1

    def quantile(self, share: float) -> int | None:
        """Return a quantile, rounded down to a step; None without values."""
        left = share * self.count
        for step in sorted(self._counts):
            left -= self._counts[step]
            if left < 0:
                return step * self._step_ms
        return None
