"""Time, passed in so that decisions can be tested without waiting."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tell the time twice: for spans and for people."""

    def now(self) -> float:
        """Give monotonic seconds."""

    def wall(self) -> float:
        """Give Unix seconds."""


class SystemClock:
    """Read the clocks of the machine."""

    def now(self) -> float:
        """Give monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Give Unix seconds."""
        return time.time()
