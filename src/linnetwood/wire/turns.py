"""One at a time, the urgent before the others."""

import asyncio
from collections import deque


class TurnQueue:
    """Grant one turn at a time; each of the two kinds in order of asking."""

    def __init__(self) -> None:
        """Start free."""
        self._taken = False
        self._urgent: deque[asyncio.Future[None]] = deque()
        self._others: deque[asyncio.Future[None]] = deque()

    async def take(self, *, urgent: bool) -> None:
        """Wait for a turn; who is cancelled meanwhile has none."""
        if not self._taken:
            self._taken = True
            return
        fut = asyncio.get_running_loop().create_future()
        (self._urgent if urgent else self._others).append(fut)
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                # The turn came in the same step; it must not be lost.
                self.give_back()
            raise

    def give_back(self) -> None:
        """End a turn; the next who still waits has it."""
        for waiting in (self._urgent, self._others):
            while waiting:
                fut = waiting.popleft()
                if not fut.done():
                    fut.set_result(None)
                    return
        self._taken = False
