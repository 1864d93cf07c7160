"""Admit calls to each target's slots in fair order or refuse them early."""

import asyncio
import dataclasses
from collections.abc import Callable

from linnetwood.calls.fairness import FairQueue, QueueLimits, Ticket
from linnetwood.calls.pacing import BorrowPacer
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Code, Ending, not_run
from linnetwood.gen.schema.ttypes import Deployment

# Timers of the event loop may fire slightly early.
_MIN_PAUSE_S = 0.001
Capacity = Callable[[str], int]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request for a slot of a target."""

    target: str
    organisation: str
    deadline: float
    priority: int = 0


class Admission:
    """Hold one fair queue for each target; used on the event loop, no locks.

    The capacity of a target is this entry's fraction of the endpoints' slots,
    so that shares hold across all entries without a call to any service.
    """

    def __init__(
        self, limits: QueueLimits, capacity: Capacity, clock: Clock
    ) -> None:
        """Start without queues and shares."""
        self.in_flight = 0
        self._limits = limits
        self._capacity = capacity
        self._clock = clock
        self._shares: dict[str, int] = {}
        self._queues: dict[str, FairQueue] = {}
        self._waiters: dict[Ticket, asyncio.Future[Ending | None]] = {}
        self._resume_scheduled: set[FairQueue] = set()

    def configured(self, deployment: Deployment) -> None:
        """Apply the organisations' shares of a deployment."""
        self._shares.clear()
        self._shares.update(
            {
                organisation.name: organisation.share
                for organisation in deployment.organisations
            },
        )

    async def enter(self, request: AdmissionRequest) -> Ending | None:
        """Wait for a slot; return an ending if none is free in time."""
        queue = self._queue(request.target)
        decision = queue.submit(
            request.organisation,
            request.priority,
            request.deadline,
            self._clock.now(),
        )
        if isinstance(decision, Ticket):
            decision = await self._wait_for_slot(queue, decision)
        if decision is None:
            self.in_flight += 1
        return decision

    def leave(self, request: AdmissionRequest, took_s: float) -> None:
        """Release the slot and admit the next waiting calls."""
        self.in_flight -= 1
        queue = self._queue(request.target)
        queue.release(took_s)
        self._admit_waiting(queue)

    def _queue(self, target: str) -> FairQueue:
        queue = self._queues.get(target)
        if queue is None:
            pacer = BorrowPacer(self._limits.wait_s)
            queue = FairQueue(self._limits, self._shares, pacer)
            self._queues[target] = queue
        queue.capacity = max(1, self._capacity(target))
        return queue

    def _admit_waiting(self, queue: FairQueue) -> None:
        now = self._clock.now()
        for ticket, ending in queue.pop_admitted(now):
            waiter = self._waiters.pop(ticket)
            waiter.set_result(ending)
        if queue.resume_at is None or queue in self._resume_scheduled:
            return
        self._resume_scheduled.add(queue)
        asyncio.get_running_loop().call_later(
            max(_MIN_PAUSE_S, queue.resume_at - now),
            self._resume,
            queue,
        )

    def _resume(self, queue: FairQueue) -> None:
        self._resume_scheduled.discard(queue)
        self._admit_waiting(queue)

    async def _wait_for_slot(
        self, queue: FairQueue, ticket: Ticket
    ) -> Ending | None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = waiter
        try:
            async with asyncio.timeout(self._limits.wait_s):
                return await asyncio.shield(waiter)
        except TimeoutError:
            return self._give_up(queue, ticket, waiter)
        except asyncio.CancelledError:
            if self._give_up(queue, ticket, waiter) is None:
                queue.in_flight -= 1
                self._admit_waiting(queue)
            raise

    def _give_up(
        self,
        queue: FairQueue,
        ticket: Ticket,
        waiter: 'asyncio.Future[Ending | None]',
    ) -> Ending | None:
        if waiter.done():
            # Decided in the same loop step; a granted slot must not leak.
            return waiter.result()
        self._waiters.pop(ticket, None)
        queue.withdraw(ticket)
        return not_run(Code.LATE, 'waited too long')
