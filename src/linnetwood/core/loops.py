"""The event loop of all programs: its time counts suspensions.

A wait for sockets is one of the steady clock, which stands still while the VM
is suspended: a timer that was due meanwhile would fire late by that long. So no
wait is longer than a bound, and whatever was due is seen within it.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from linnetwood.core.clock import seconds

# A process with nothing to do wakes five times a second for it; one under load
# does so a hundred times and more. All bounds are of 2 s and up.
WAIT_MOST_S = 0.2

_Result = TypeVar('_Result')


class ShortWaits(selectors.DefaultSelector):
    """Wait for sockets, and look at the time between."""

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Give what is ready; nothing may be, before the timeout is over."""
        bounded = WAIT_MOST_S if timeout is None else min(timeout, WAIT_MOST_S)
        return super().select(bounded)


class SuspendableLoop(asyncio.SelectorEventLoop):
    """Run timers by the time that counts suspensions."""

    def __init__(self) -> None:
        """Wait in short turns."""
        super().__init__(ShortWaits())

    def time(self) -> float:
        """Give the seconds that all clocks of the programs give."""
        return seconds()


def run(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a program's work to its end."""
    with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
        return runner.run(work)
