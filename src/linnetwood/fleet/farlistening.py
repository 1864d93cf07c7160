"""Hear entries of other zones, so that no zone rests on its own way alone.

Whatever reaches one zone first, whole, goes on to the others as a difference. A
zone that the store turns away, or whose link to it is narrow, is told in time.
"""

import asyncio
import math

from linnetwood.core.errors import LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import Owner
from linnetwood.fleet.following import Following
from linnetwood.fleet.tellers import Tellers
from linnetwood.fleet.toldreading import Hearing
from linnetwood.wire.connections import SILENT_S, Dialler
from linnetwood.wire.frames import FrameStream

_LOOK_S = 0.25
# Whoever knows nothing yet waits for somebody to hear.
_LOOK_FIRST_S = 0.02
# A neighbour that tells is found sooner, also at a start.
_LOST_AFTER_S = 0.3
# Whoever knows nothing is told the whole range, 60 KB with 1,900 routes.
_ZONES_FIRST = 2
# Whoever was lost goes on hearing other zones for so long: it is told by these
# within a round trip, and would be lost again as soon as it left them.
_LOST_FOR_S = 5.0


class FarListener(Owner):
    """Own a connection to each of a few other zones, while they are needed.

    Those that a zone hears need them, and whoever hears nobody else.
    """

    def __init__(
        self,
        following: Following,
        tellers: Tellers,
        dialler: Dialler,
        port: int,
    ) -> None:
        """All entries tell on one port."""
        super().__init__()
        self._following = following
        self._tellers = tellers
        self._elsewhere = tellers.elsewhere
        self._dialler = dialler
        self._port = port
        self._found_at = -math.inf
        self._lost_until = -math.inf
        self._hearing: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Stop listening."""
        await super().close()
        await self._hear_only([])

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        self._found_at = loop.time()
        while True:
            known = self._following.revision
            zones = self._needed(loop.time())
            await self._hear_only(zones if known else zones[:_ZONES_FIRST])
            await asyncio.sleep(_LOOK_S if known else _LOOK_FIRST_S)

    def _needed(self, now: float) -> list[str]:
        if not self._following.lost:
            self._found_at = now
        elif now - self._found_at > _LOST_AFTER_S:
            self._lost_until = now + _LOST_FOR_S
        if self._tellers.leading or now < self._lost_until:
            return self._elsewhere.zones(now)
        return []

    async def _hear_only(self, zones: list[str]) -> None:
        for zone in self._hearing.keys() - set(zones):
            task = self._hearing.pop(zone)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        for zone in zones:
            if zone not in self._hearing:
                task = asyncio.create_task(self._hear_zone(zone))
                self._hearing[zone] = task

    async def _hear_zone(self, zone: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            host = self._elsewhere.choose(zone, loop.time())
            if host is None:
                await asyncio.sleep(_LOOK_S)
                continue
            try:
                await self._hear(zone, host)
            except LinnetwoodError as exc:
                self._elsewhere.failed(host, loop.time())
                log(
                    Event.TELLER_LEFT,
                    teller=host,
                    zone=zone,
                    code=exc.code,
                    detail=exc.detail,
                    revision=self._following.revision,
                )

    async def _hear(self, zone: str, host: str) -> None:
        stream = await self._dialler.dial((host, self._port))
        try:
            await self._hear_on(stream, zone, host)
        finally:
            stream.close()

    async def _hear_on(
        self,
        stream: FrameStream,
        zone: str,
        host: str,
    ) -> None:
        mirror = self._following.mirror
        known = -1
        hearing = Hearing(stream, mirror, host, far=True, silent_s=SILENT_S)
        while True:
            if mirror.revision != known:
                # What is known here need not be told.
                known = mirror.revision
                await hearing.ask()
            told = await hearing.read()
            self._elsewhere.told(host)
            self._following.told_far(told)
            if told.rather and host not in told.rather:
                # It hears these itself; they hear the store.
                self._elsewhere.rather(zone, told.rather)
                raise WireError('teller-names-another', told.rather[0])
