"""Subscribe to other zones, so that no zone depends on its own link alone.

A payload that reaches one zone first, as a whole, is relayed to the others as a
patch. A zone that the store refuses, or whose link to it is narrow, thus gets
changes in time.
"""

import asyncio
import math

from linnetwood.core.errors import LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import TaskOwner
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.relayreader import RelayReader
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.revisions import number_of
from linnetwood.wire.connections import SILENCE_TIMEOUT_S, Dialler
from linnetwood.wire.frames import FrameStream

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
        self._zone_tasks: dict[str, asyncio.Task[None]] = {}

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
        for zone in self._zone_tasks.keys() - set(zones):
            task = self._zone_tasks.pop(zone)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        for zone in zones:
            if zone not in self._zone_tasks:
                task = asyncio.create_task(self._follow_zone(zone))
                self._zone_tasks[zone] = task

    async def _follow_zone(self, zone: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            host = self._remote_zones.choose(zone, loop.time())
            if host is None:
                await asyncio.sleep(_CHECK_EVERY_S)
                continue
            try:
                await self._follow_entry(zone, host)
            except LinnetwoodError as exc:
                self._remote_zones.note_failure(host, loop.time())
                log(
                    Event.TELLER_LEFT,
                    teller=host,
                    zone=zone,
                    code=exc.code,
                    detail=exc.detail,
                    revision=number_of(self._follower.revision),
                )

    async def _follow_entry(self, zone: str, host: str) -> None:
        stream = await self._dialler.dial((host, self._port))
        try:
            await self._read_updates(stream, zone, host)
        finally:
            stream.close()

    async def _read_updates(
        self,
        stream: FrameStream,
        zone: str,
        host: str,
    ) -> None:
        mirror = self._follower.mirror
        known_revision = -1
        reader = RelayReader(
            stream,
            mirror,
            host,
            is_remote=True,
            silence_timeout_s=SILENCE_TIMEOUT_S,
        )
        while True:
            if mirror.revision != known_revision:
                # Changes that are known here need not be sent.
                known_revision = mirror.revision
                await reader.request()
            update = await reader.read()
            self._remote_zones.note_success(host)
            self._follower.apply_remote_update(update)
            if update.preferred and host not in update.preferred:
                # The named relays reach the store; this one subscribes to them.
                self._remote_zones.prefer(zone, update.preferred)
                raise WireError('teller-names-another', update.preferred[0])
