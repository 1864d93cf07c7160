"""The rates of calls that the store takes from all programs together."""

import time
from collections import deque
from collections.abc import Callable
from typing import Final

_WINDOW_S = 1.0
READS_PER_S: Final = 2000
WRITES_PER_S: Final = 400


class Rate:
    """Count the calls of the last second; those beyond a rate are refused."""

    def __init__(
        self, per_s: int, now: Callable[[], float] = time.monotonic
    ) -> None:
        """Start without calls."""
        self._per_s = per_s
        self._now = now
        self._taken: deque[float] = deque()

    def takes(self) -> bool:
        """Count a call; return whether it is within the rate."""
        now = self._now()
        while self._taken and self._taken[0] <= now - _WINDOW_S:
            self._taken.popleft()
        if len(self._taken) >= self._per_s:
            return False
        self._taken.append(now)
        return True
