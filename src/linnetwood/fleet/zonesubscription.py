"""Follow one entry of another zone, and a further one while it is silent.

Where the link between two regions fills up, the next update is late by as much
as the link queues, and a new connection takes twice that. A connection that is
silent, or whose entry names a better one, is therefore kept until another one
has brought an update. The two relays of a zone subscribe to different entries,
so that changes on their way are not lost with one of these.
"""

import asyncio
import math

from linnetwood.core.errors import LinnetwoodError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import TaskOwner
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.relayreader import RelayReader
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.revisions import number_of
from linnetwood.wire.connections import SILENCE_TIMEOUT_S, Dialler
from linnetwood.wire.frames import FrameStream

# How long it may take to connect, and how long a connection may be silent: the
# packets of a handshake may each wait for 2 s, or be lost and sent again.
GIVE_UP_S = 6.0
_CHECK_EVERY_S = 0.25
# The first, and two more while it is silent, until it is given up.
_MAX_CONNECTIONS = 3


class _Connection:
    """One subscription: when it began, and when it last brought an update."""

    __slots__ = ('began_at', 'heard_at', 'host', 'noted_silent', 'task')

    def __init__(self, host: str, now: float) -> None:
        self.host = host
        self.began_at = now
        self.heard_at = -math.inf
        self.noted_silent = False
        self.task: asyncio.Task[None] | None = None

    def is_silent(self, now: float) -> bool:
        """Return whether it has brought nothing for too long."""
        return now - max(self.began_at, self.heard_at) > SILENCE_TIMEOUT_S

    def is_good(self, now: float) -> bool:
        """Return whether it brings updates."""
        return math.isfinite(self.heard_at) and not self.is_silent(now)


class ZoneSubscription(TaskOwner):
    """Own the connections to the entries of one other zone."""

    def __init__(
        self,
        zone: str,
        follower: RangeFollower,
        selector: RelaySelector,
        dialler: Dialler,
        port: int,
    ) -> None:
        """Connect to relays on one port, the same on all entries."""
        super().__init__()
        self._zone = zone
        self._follower = follower
        self._selector = selector
        self._remote_zones = selector.remote_zones
        self._dialler = dialler
        self._port = port
        self._connections: list[_Connection] = []

    async def close(self) -> None:
        """End the task and all connections."""
        await super().close()
        await self._close_connections(self._connections)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            wanted = self._remote_zones.choose(
                self._zone, loop.time(), second=self._selector.has_relays
            )
            await self._close_surplus(wanted, loop.time())
            self._connect_if_none(wanted, loop.time())
            await self._wait_for_end()

    async def _wait_for_end(self) -> None:
        """Wait until a connection ends, or until the next check."""
        tasks = [one.task for one in self._connections if one.task is not None]
        if tasks:
            await asyncio.wait(
                tasks,
                timeout=_CHECK_EVERY_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        else:
            await asyncio.sleep(_CHECK_EVERY_S)

    async def _close_surplus(self, wanted: str | None, now: float) -> None:
        """Drop connections that ended, and close others beside a good one."""
        self._connections = [
            one
            for one in self._connections
            if one.task is None or not one.task.done()
        ]
        good = [one for one in self._connections if one.is_good(now)]
        best = [one for one in good if one.host == wanted] or good[-1:]
        if best:
            surplus = [
                one
                for one in self._connections
                if one not in best and (one in good or one.is_silent(now))
            ]
            await self._close_connections(surplus)
            self._connections = [
                one for one in self._connections if one not in surplus
            ]

    def _connect_if_none(self, wanted: str | None, now: float) -> None:
        """Connect to the wanted entry unless a connection may bring updates."""
        for connection in self._connections:
            if connection.is_silent(now):
                self._note_silent(connection, now)
            elif connection.host == wanted or not connection.is_good(now):
                return
        if wanted is not None and len(self._connections) < _MAX_CONNECTIONS:
            begun = _Connection(wanted, now)
            begun.task = asyncio.create_task(self._follow(begun))
            self._connections.append(begun)

    def _note_silent(self, connection: _Connection, now: float) -> None:
        if not connection.noted_silent:
            connection.noted_silent = True
            self._remote_zones.note_failure(connection.host, now)

    async def _close_connections(self, connections: list[_Connection]) -> None:
        for connection in connections:
            if connection.task is not None:
                connection.task.cancel()
                await asyncio.gather(connection.task, return_exceptions=True)

    async def _follow(self, connection: _Connection) -> None:
        """Apply updates until the connection ends; log why."""
        try:
            await self._follow_entry(connection)
        except LinnetwoodError as exc:
            now = asyncio.get_running_loop().time()
            self._remote_zones.note_failure(connection.host, now)
            log(
                Event.TELLER_LEFT,
                teller=connection.host,
                zone=self._zone,
                code=exc.code,
                detail=exc.detail,
                revision=number_of(self._follower.revision),
            )

    async def _follow_entry(self, connection: _Connection) -> None:
        stream = await self._dialler.dial((connection.host, self._port))
        try:
            await self._read_updates(stream, connection)
        finally:
            stream.close()

    async def _read_updates(
        self,
        stream: FrameStream,
        connection: _Connection,
    ) -> None:
        host = connection.host
        mirror = self._follower.mirror
        known_revision = -1
        reader = RelayReader(
            stream,
            mirror,
            host,
            is_remote=True,
            silence_timeout_s=GIVE_UP_S,
        )
        while True:
            if mirror.revision != known_revision:
                # Changes that are known here need not be sent.
                known_revision = mirror.revision
                await reader.request()
            update = await reader.read()
            connection.heard_at = asyncio.get_running_loop().time()
            self._remote_zones.note_success(host)
            self._follower.apply_remote_update(update)
            if update.preferred and host not in update.preferred:
                # The named relays ask the store; this one subscribes to them.
                self._remote_zones.prefer(self._zone, update.preferred)
