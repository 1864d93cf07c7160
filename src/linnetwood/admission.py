"""Admit calls within a bound, and make the rest wait a little or go."""

import asyncio
from collections import OrderedDict

from linnetwood.clock import Clock
from linnetwood.outcomes import Code, Ending, not_run


class BoundedGate:
    """Let so many calls through at a time; queue some more, in order."""

    def __init__(
        self,
        limit: int,
        queue_limit: int,
        wait_s: float,
        clock: Clock,
    ) -> None:
        """Start empty."""
        self.under_way = 0
        self._limit = limit
        self._queue_limit = queue_limit
        self._wait_s = wait_s
        self._clock = clock
        self._queue: OrderedDict[int, asyncio.Future[None]] = OrderedDict()
        self._ticket = 0

    async def enter(self, organisation: str, deadline: float) -> Ending | None:
        """Take a turn, at once or after a wait."""
        if self.under_way < self._limit:
            self.under_way += 1
            return None
        if len(self._queue) >= self._queue_limit:
            return not_run(Code.QUEUE_FULL)
        wait_s = min(self._wait_s, deadline - self._clock.now())
        return await self._queued(wait_s)

    def leave(self, organisation: str) -> None:
        """Give the turn to the next in the queue."""
        while self._queue:
            _, fut = self._queue.popitem(last=False)
            if not fut.done():
                fut.set_result(None)
                return
        self.under_way -= 1

    async def _queued(self, wait_s: float) -> Ending | None:
        self._ticket += 1
        ticket = self._ticket
        fut = asyncio.get_running_loop().create_future()
        self._queue[ticket] = fut
        try:
            async with asyncio.timeout(wait_s):
                await fut
        except TimeoutError:
            self._queue.pop(ticket, None)
            return not_run(Code.BUSY, 'waited too long')
        return None
