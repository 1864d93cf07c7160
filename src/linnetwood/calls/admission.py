"""Admit calls to each target's slots in fair order, or refuse them early."""

import asyncio
import dataclasses
from collections.abc import Callable

from linnetwood.calls.fairness import Bounds, FairQueue, Ticket
from linnetwood.calls.pacing import Pace
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Code, Ending, not_run
from linnetwood.gen.schema.ttypes import Deployment

# Timers of the loop may be a little early.
_LEAST_PAUSE_S = 0.001
Capacity = Callable[[str], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Visit:
    """Who asks for a slot of which target."""

    target: str
    organisation: str
    deadline: float
    priority: int = 0


class Admission:
    """Hold one fair queue for each target; one task's state, no locks.

    The capacity of a target is this entry's part of the endpoints' slots, so
    that shares hold over all entries without a call to any service.
    """

    def __init__(
        self, bounds: Bounds, capacity: Capacity, clock: Clock
    ) -> None:
        """Start without queues."""
        self.under_way = 0
        self._bounds = bounds
        self._capacity = capacity
        self._clock = clock
        self._shares: dict[str, int] = {}
        self._queues: dict[str, FairQueue] = {}
        self._turns: dict[Ticket, asyncio.Future[Ending | None]] = {}
        self._resuming: set[FairQueue] = set()

    def configured(self, deployment: Deployment) -> None:
        """Take in the organisations' shares."""
        self._shares.clear()
        self._shares.update(
            {one.name: one.share for one in deployment.organisations},
        )

    async def enter(self, visit: Visit) -> Ending | None:
        """Wait for a slot; give an ending when there is none in time."""
        queue = self._queue(visit.target)
        answer = queue.ask(
            visit.organisation,
            visit.priority,
            visit.deadline,
            self._clock.now(),
        )
        if isinstance(answer, Ticket):
            answer = await self._turn(queue, answer)
        if answer is None:
            self.under_way += 1
        return answer

    def leave(self, visit: Visit, took_s: float) -> None:
        """Give the slot back and let in who is next."""
        self.under_way -= 1
        queue = self._queue(visit.target)
        queue.done(took_s)
        self._let_in(queue)

    def _queue(self, target: str) -> FairQueue:
        queue = self._queues.get(target)
        if queue is None:
            pace = Pace(self._bounds.wait_s)
            queue = FairQueue(self._bounds, self._shares, pace)
            self._queues[target] = queue
        queue.capacity = max(1, self._capacity(target))
        return queue

    def _let_in(self, queue: FairQueue) -> None:
        now = self._clock.now()
        for ticket, ending in queue.admitted(now):
            turn = self._turns.pop(ticket)
            turn.set_result(ending)
        if queue.resume_at is None or queue in self._resuming:
            return
        self._resuming.add(queue)
        asyncio.get_running_loop().call_later(
            max(_LEAST_PAUSE_S, queue.resume_at - now),
            self._resume,
            queue,
        )

    def _resume(self, queue: FairQueue) -> None:
        self._resuming.discard(queue)
        self._let_in(queue)

    async def _turn(self, queue: FairQueue, ticket: Ticket) -> Ending | None:
        turn = asyncio.get_running_loop().create_future()
        self._turns[ticket] = turn
        try:
            async with asyncio.timeout(self._bounds.wait_s):
                return await asyncio.shield(turn)
        except TimeoutError:
            return self._gave_up(queue, ticket, turn)
        except asyncio.CancelledError:
            if self._gave_up(queue, ticket, turn) is None:
                queue.under_way -= 1
                self._let_in(queue)
            raise

    def _gave_up(
        self,
        queue: FairQueue,
        ticket: Ticket,
        turn: 'asyncio.Future[Ending | None]',
    ) -> Ending | None:
        if turn.done():
            # The turn came in the same step; it must not be lost.
            return turn.result()
        self._turns.pop(ticket, None)
        queue.withdraw(ticket)
        return not_run(Code.LATE, 'waited too long')
