"""Put complete versions into service at the engine and check they stay."""

import dataclasses
import functools
from collections.abc import Callable

from linnetwood.calls.guard import Guard
from linnetwood.core.clock import Clock
from linnetwood.core.errors import OrderError
from linnetwood.core.events import Event, log
from linnetwood.core.pauses import PauseDetector
from linnetwood.fleet import placement
from linnetwood.fleet.gossip import GossipTask
from linnetwood.gen.schema.ttypes import Intent
from linnetwood.weights.chunks import Manifest
from linnetwood.weights.orders import (
    LoadOrder,
    OrderClient,
    chunks_digest,
    next_fence,
)

_CHECK_INTERVAL_S = 1.0
_SUPERSEDED = 'superseded'
_PAUSED = 'paused'
# Codes of orders that this process decided not to send.
WITHHELD = frozenset((_SUPERSEDED, _PAUSED))


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The version that this VM is to serve."""

    label: str
    manifest: str
    intent: Intent

    def is_same_version(self, other: 'Target') -> bool:
        """Tell whether both name the same chunks of the same version."""
        return (self.label, self.manifest) == (other.label, other.manifest)


class EngineController:
    """Take the engine out of service, order loads, verify confirmations."""

    def __init__(
        self,
        gossip: GossipTask,
        orders: OrderClient,
        guard: Guard,
        clock: Clock,
    ) -> None:
        """Start without knowledge of the engine."""
        self.pauses = PauseDetector(clock.now())
        self._gossip = gossip
        self._orders = orders
        self._guard = guard
        self._clock = clock
        self._checked_at = float()

    def serves(self, target: Target) -> bool:
        """Tell whether calls are accepted for the target."""
        return self._guard.state.serving == target.label

    async def adopt_if_served(self, target: Target) -> bool:
        """Go into service if the engine reports exactly the target."""
        if not await self._engine_reports(target):
            return False
        self.go_into_service(target, 1)
        return True

    async def still_serves(self, target: Target) -> bool:
        """Check the engine every second; tell whether it serves the target."""
        now = self._clock.now()
        if now - self._checked_at < _CHECK_INTERVAL_S:
            return True
        self._checked_at = now
        if await self._engine_reports(target):
            return True
        # The engine was restarted or took an order from elsewhere.
        log(Event.ORDER_REFUSED, code='engine-changed', version=target.label)
        self._guard.state.serving = ''
        self._gossip.update_self(serving='')
        return False

    def may_load(self, target: Target, total: int) -> bool:
        """Tell whether this VM may leave service for a load now."""
        me = self._gossip.own_record
        if not me.serving:
            return True
        if me.wanted != target.label:
            # Other VMs need the complete count only from now on.
            self._gossip.update_self(
                wanted=target.label, held=total, total=total
            )
        members = self._gossip.members.values()
        return placement.may_load(me.vm, target.intent, members)

    async def leave_service(self) -> None:
        """Accept no calls, and wait without limit for the calls in progress."""
        self._guard.state.loading = True
        self._guard.state.serving = ''
        self._gossip.update_self(serving='')
        await self._guard.idle.wait()

    async def order(
        self,
        target: Target,
        manifest: Manifest,
        revision: int,
        is_wanted: Callable[[], bool],
    ) -> None:
        """Order the load; raise OrderError unless it is confirmed exactly.

        Nothing is ordered once the target is no longer wanted, or after a pause
        of this process in which that may have changed.
        """
        status = await self._orders.status()
        self._require_current(target, is_wanted)
        order = LoadOrder(
            fence=next_fence(revision, status.fence),
            serving=target.label,
            manifest=target.manifest,
            chunks_digest=chunks_digest(manifest),
        )
        log(Event.ORDER_GIVEN, version=target.label, fence=order.fence)
        await self._orders.load(
            order, functools.partial(self._is_current, is_wanted)
        )

    def go_into_service(self, target: Target, total: int) -> None:
        """Accept calls for the target, and publish that."""
        self._guard.state.serving = target.label
        self._guard.state.loading = False
        self._gossip.update_self(
            serving=target.label,
            wanted=target.label,
            held=total,
            total=total,
        )

    def _is_current(self, is_wanted: Callable[[], bool]) -> bool:
        return is_wanted() and self.pauses.may_order(self._clock.now())

    def _require_current(
        self, target: Target, is_wanted: Callable[[], bool]
    ) -> None:
        if not is_wanted():
            raise OrderError(_SUPERSEDED, target.label)
        if not self.pauses.may_order(self._clock.now()):
            raise OrderError(_PAUSED, 'no order until a peer has answered')

    async def _engine_reports(self, target: Target) -> bool:
        status = await self._orders.status()
        reported = (status.serving, status.manifest)
        return reported == (target.label, target.manifest)
