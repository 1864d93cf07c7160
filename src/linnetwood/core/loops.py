"""The event loop of all programs, whose time includes suspensions.

The selector waits by CLOCK_MONOTONIC, which stops while the VM is suspended, so
a timer that became due meanwhile would fire late by the whole suspension.
Therefore each wait is bounded, and due timers are found after it.
"""

import asyncio
import math
import selectors
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from linnetwood.core.clock import monotonic_s
from linnetwood.core.events import Event, log
from linnetwood.core.failures import log_loop_failure
from linnetwood.core.slowturns import SlowTurns

# An idle process wakes 5 times a second for this, a busy one does so 100 times
# and more anyway. All time bounds are 2 s or longer.
MAX_WAIT_S = 0.2
# A loop that stood still for longer than this was held up. What ends at an
# address takes longer to be replaced there.
HELD_UP_S = 1.0

_DIGITS = 3

_Result = TypeVar('_Result')


class BoundedSelector(selectors.DefaultSelector):
    """A selector that never waits longer than MAX_WAIT_S."""

    def __init__(self) -> None:
        """Start without any hold-up of the loop."""
        super().__init__()
        self.held_up_at = -math.inf
        self._returned_at = monotonic_s()
        self._slow_turns = SlowTurns(self._returned_at, time.process_time())

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, possibly nothing before the timeout is over."""
        self._note_turn(monotonic_s())
        bounded = MAX_WAIT_S if timeout is None else min(timeout, MAX_WAIT_S)
        found = super().select(bounded)
        now = monotonic_s()
        if now - self._returned_at > HELD_UP_S:
            self.held_up_at = now
        self._returned_at = now
        return found

    def _note_turn(self, now: float) -> None:
        """Log slow turns, at most once a period."""
        slow_turns = self._slow_turns
        slow_turns.add(now - self._returned_at)
        if not slow_turns.is_over(now):
            return
        period = slow_turns.end_period(now, time.process_time())
        if period is not None:
            log(
                Event.LOOP_SLOW,
                turns=period.turns,
                slow_s=round(period.slow_s, _DIGITS),
                longest_s=round(period.longest_s, _DIGITS),
                processor_s=round(period.processor_s, _DIGITS),
            )


class SuspendableLoop(asyncio.SelectorEventLoop):
    """Run timers by the clock that includes suspensions."""

    def __init__(self) -> None:
        """Use the bounded selector."""
        self._bounded = BoundedSelector()
        super().__init__(self._bounded)

    @property
    def held_up_at(self) -> float:
        """Return when the last hold-up of the loop ended; -inf without any.

        The process was frozen, its VM was suspended, or a step took too long.
        """
        return self._bounded.held_up_at

    def time(self) -> float:
        """Return the same seconds as the clocks of the programs."""
        return monotonic_s()


def held_up_s(loop: asyncio.AbstractEventLoop) -> float:
    """Return how long ago a loop was held up last, in seconds."""
    if isinstance(loop, SuspendableLoop):
        return loop.time() - loop.held_up_at
    return math.inf


def run(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a program's coroutine to its end."""
    with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
        runner.get_loop().set_exception_handler(log_loop_failure)
        return runner.run(work)
