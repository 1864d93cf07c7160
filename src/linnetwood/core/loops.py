"""The event loop of all programs, whose time includes suspensions.

The selector waits by CLOCK_MONOTONIC, which stops while the VM is suspended, so
a timer that became due meanwhile would fire late by the whole suspension.
Therefore each wait is bounded, and due timers are found after it.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from linnetwood.core.clock import monotonic_s
from linnetwood.core.failures import log_loop_failure

# An idle process wakes 5 times a second for this, a busy one does so 100 times
# and more anyway. All time bounds are 2 s or longer.
MAX_WAIT_S = 0.2

_Result = TypeVar('_Result')


class BoundedSelector(selectors.DefaultSelector):
    """A selector that never waits longer than MAX_WAIT_S."""

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, possibly nothing before the timeout is over."""
        bounded = MAX_WAIT_S if timeout is None else min(timeout, MAX_WAIT_S)
        return super().select(bounded)


class SuspendableLoop(asyncio.SelectorEventLoop):
    """Run timers by the clock that includes suspensions."""

    def __init__(self) -> None:
        """Use the bounded selector."""
        super().__init__(BoundedSelector())

    def time(self) -> float:
        """Return the same seconds as the clocks of the programs."""
        return monotonic_s()


def run(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a program's coroutine to its end."""
    with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
        runner.get_loop().set_exception_handler(log_loop_failure)
        return runner.run(work)
