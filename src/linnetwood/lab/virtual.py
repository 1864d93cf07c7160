"""An event loop whose time jumps, so that hours of waiting take no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class _JumpingSelector(selectors.SelectSelector):
    """Move the time forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = float()

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Give what is ready now and let the time pass at once."""
        if timeout is None:
            raise RuntimeError('nothing will ever happen: a task waits in vain')
        self.elapsed += max(0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers in order, each as soon as the one before has run."""

    def __init__(self) -> None:
        """Begin at zero."""
        self._jumping = _JumpingSelector()
        self._suspended_s = float()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Give the virtual seconds so far."""
        return self._jumping.elapsed + self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Let the VM be suspended: the time goes on, and nothing runs."""
        self._suspended_s += seconds


class VirtualClock:
    """Tell the time of a virtual loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Follow the loop."""
        self._loop = loop

    def now(self) -> float:
        """Give the loop's seconds."""
        return self._loop.time()

    def wall(self) -> float:
        """Give the loop's seconds."""
        return self._loop.time()


def run(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run to the end in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        asyncio.set_event_loop(None)
        loop.close()
