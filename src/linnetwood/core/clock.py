"""Time, passed in so that decisions can be tested without waiting."""

import time
from typing import Protocol

# It counts the time for which the VM is suspended; the steady clock does not.
_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def seconds() -> float:
    """Give the seconds that all ages, leases and timers go by.

    They never step back, and go on while the VM is suspended: whatever was
    heard before is then as old as it is for everybody else.
    """
    return time.clock_gettime(_CLOCK)


class Clock(Protocol):
    """Tell the time twice: for spans and for people."""

    def now(self) -> float:
        """Give seconds that never step back and count suspensions."""

    def wall(self) -> float:
        """Give Unix seconds."""


class SystemClock:
    """Read the clocks of the machine."""

    def now(self) -> float:
        """Give seconds that never step back and count suspensions."""
        return seconds()

    def wall(self) -> float:
        """Give Unix seconds."""
        return time.time()
