"""An event loop in virtual time, in which waiting takes no real time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class _VirtualSelector(selectors.SelectSelector):
    """Advance the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = float()

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now, and advance the time by the timeout."""
        if timeout is None:
            raise RuntimeError(
                'deadlock: a task waits, but no timer is scheduled'
            )
        self.elapsed += max(0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers in order, each as soon as the previous one has run."""

    def __init__(self) -> None:
        """Start at zero."""
        self._selector = _VirtualSelector()
        self._suspended_s = float()
        super().__init__(self._selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._selector.elapsed + self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Simulate a suspended VM: advance the time without running timers."""
        self._suspended_s += seconds


class VirtualClock:
    """A clock that reads the time of a virtual loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Use the time of a loop."""
        self._loop = loop

    def now(self) -> float:
        """Return the time of the loop in seconds."""
        return self._loop.time()

    def wall(self) -> float:
        """Return the time of the loop in seconds."""
        return self._loop.time()


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end in virtual time; return its result."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        asyncio.set_event_loop(None)
        loop.close()
