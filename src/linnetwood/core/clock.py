"""Clocks, which are passed in so that tests need not wait."""

import time
from typing import Protocol

# It includes time for which the VM is suspended, unlike CLOCK_MONOTONIC.
_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def monotonic_s() -> float:
    """Return the seconds on which all ages, leases and timers are based.

    They never step back and include suspensions of the VM, so that information
    from before a suspension is as old here as on any other VM.
    """
    return time.clock_gettime(_CLOCK)


class Clock(Protocol):
    """A monotonic clock, and the time of day."""

    def now(self) -> float:
        """Return seconds that never step back and include suspensions."""

    def wall(self) -> float:
        """Return Unix seconds."""


class SystemClock:
    """Read the clocks of the machine."""

    def now(self) -> float:
        """Return seconds that never step back and include suspensions."""
        return monotonic_s()

    def wall(self) -> float:
        """Return Unix seconds."""
        return time.time()
