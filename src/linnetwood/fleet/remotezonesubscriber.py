"""Subscribe to other zones, so that no zone depends on its own link alone.

A payload that reaches one zone first, as a whole, is relayed to the others as a
patch. A zone that the store refuses, or whose link to it is narrow, thus gets
changes in time.
"""

import asyncio
import math

from linnetwood.core.owner import TaskOwner
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.zonesubscription import ZoneSubscription
from linnetwood.wire.connections import Dialler

_CHECK_EVERY_S = 0.25
# Shorter for an entry that knows no revision yet and waits for a relay.
_STARTUP_CHECK_EVERY_S = 0.02
# A relay of the own zone is found sooner than this, also at a start.
_ISOLATED_AFTER_S = 0.3
# An entry without a revision gets the whole range from each zone: 60 KB with
# 1,900 routes.
_STARTUP_ZONES = 2
# An isolated entry stays subscribed to other zones for this time. Their updates
# arrive within a round trip; if it then left, it would be isolated again.
_STAY_SUBSCRIBED_S = 5.0


class RemoteZoneSubscriber(TaskOwner):
    """Own a connection to each of a few other zones, while they are needed.

    The relays of a zone and isolated entries need them.
    """

    def __init__(
        self,
        follower: RangeFollower,
        selector: RelaySelector,
        dialler: Dialler,
        port: int,
    ) -> None:
        """Connect to relays on one port, the same on all entries."""
        super().__init__()
        self._follower = follower
        self._selector = selector
        self._remote_zones = selector.remote_zones
        self._dialler = dialler
        self._port = port
        self._not_isolated_at = -math.inf
        self._isolated_until = -math.inf
        self._subscriptions: dict[str, ZoneSubscription] = {}

    async def close(self) -> None:
        """End the task and all subscriptions."""
        await super().close()
        await self._subscribe_only_to([])

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        self._not_isolated_at = loop.time()
        while True:
            known_revision = self._follower.revision
            zones = self._needed_zones(loop.time())
            await self._subscribe_only_to(
                zones if known_revision else zones[:_STARTUP_ZONES]
            )
            await asyncio.sleep(
                _CHECK_EVERY_S if known_revision else _STARTUP_CHECK_EVERY_S
            )

    def _needed_zones(self, now: float) -> list[str]:
        if not self._follower.is_isolated:
            self._not_isolated_at = now
        elif now - self._not_isolated_at > _ISOLATED_AFTER_S:
            self._isolated_until = now + _STAY_SUBSCRIBED_S
        if self._selector.is_relay or now < self._isolated_until:
            return self._remote_zones.zones(now)
        return []

    async def _subscribe_only_to(self, zones: list[str]) -> None:
        for left in self._subscriptions.keys() - set(zones):
            await self._subscriptions.pop(left).close()
        for zone in zones:
            if zone not in self._subscriptions:
                subscription = ZoneSubscription(
                    zone,
                    self._follower,
                    self._selector,
                    self._dialler,
                    self._port,
                )
                subscription.start()
                self._subscriptions[zone] = subscription
