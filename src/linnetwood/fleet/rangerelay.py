"""Relay the store's changes between entries; few copies cross regions."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

from tornado.netutil import bind_sockets

from linnetwood.core.errors import LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import TaskOwner
from linnetwood.fleet.freshness import RelayedUpdate
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelayserver import RangeRelayServer
from linnetwood.fleet.relayreader import RelayReader
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.remotezonesubscriber import RemoteZoneSubscriber
from linnetwood.fleet.revisions import era_of, number_of
from linnetwood.fleet.zonesubscription import GIVE_UP_S
from linnetwood.wire.connections import (
    Dialler,
    FrameHandler,
    TcpDialler,
    WireLimits,
    WireServer,
)
from linnetwood.wire.frames import FrameKind, FrameStream

_IDLE_S = 0.5
# Shorter for an entry that knows no revision yet and waits for a relay.
_STARTUP_IDLE_S = 0.02
# An entry of the same availability zone is about 1 ms away.
_CONNECT_TIMEOUT_S = 0.4
_NO_HANDLERS: Mapping[int, FrameHandler] = MappingProxyType({})


class RangeSubscriber(TaskOwner):
    """Follow a relay of the own zone; a task that owns the connection."""

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
        self._dialler = dialler
        self._port = port
        self._skipped_host = ''
        self._error_codes: dict[str, str] = {}

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        follower = self._follower
        while True:
            follower.has_relays = self._selector.has_relays
            follower.stagger_position = self._selector.stagger_position
            host = self._choose()
            self._skipped_host = ''
            if host is None:
                idle_s = _IDLE_S if follower.revision else _STARTUP_IDLE_S
                await asyncio.sleep(idle_s)
                continue
            follower.uses_fallback_relay = not self._selector.is_before(host)
            try:
                await self._follow_relay(host)
            except LinnetwoodError as exc:
                self._selector.note_failure(host, loop.time())
                self._log_error(host, exc)
            finally:
                follower.forget_relay()

    def _choose(self, exclude: str = '') -> str | None:
        return self._selector.choose(
            asyncio.get_running_loop().time(),
            any_entry=self._follower.is_isolated,
            exclude=exclude or self._skipped_host,
        )

    async def _follow_relay(self, host: str) -> None:
        stream = await self._dialler.dial((host, self._port))
        try:
            await self._read_updates(stream, host)
        finally:
            stream.close()

    async def _read_updates(self, stream: FrameStream, host: str) -> None:
        follower = self._follower
        reader = RelayReader(stream, follower.mirror, host)
        await reader.request()
        while self._should_stay(host):
            update = await reader.read()
            if follower.apply_update(update):
                self._selector.note_success(host)
                self._log_subscribed(host)
            else:
                self._leave_if_better(host, update)

    def _should_stay(self, host: str) -> bool:
        if self._skipped_host == host:
            return False
        if self._follower.uses_fallback_relay:
            return self._follower.is_store_silent
        return self._selector.is_known(host)

    def _leave_if_better(self, host: str, update: RelayedUpdate) -> None:
        """Leave a relay whose view is too old, if there may be a better one.

        Otherwise it is kept: it sends an update as soon as it reaches the store
        again, and one copy then serves the whole zone.
        """
        alternative = self._choose(exclude=host)
        selector = self._selector
        if alternative is None and selector.is_first_choice(host):
            return
        if (
            alternative is None
            or selector.is_first_choice(alternative)
            or not selector.is_first_choice(host)
        ):
            raise WireError('teller-stale', f'{update.age_s:.3f} s')
        # The alternative is tried once, and this relay gets no cooldown.
        self._skipped_host = host

    def _log_error(self, host: str, exc: LinnetwoodError) -> None:
        # The same error again is not logged.
        if self._error_codes.get(host) == exc.code:
            return
        self._error_codes[host] = exc.code
        log(
            Event.TELLER_LEFT,
            teller=host,
            code=exc.code,
            detail=exc.detail,
            revision=number_of(self._follower.revision),
        )

    def _log_subscribed(self, host: str) -> None:
        if self._error_codes.get(host) != '':
            # Any error of other relays from now on is logged again.
            self._error_codes = {host: ''}
            revision = self._follower.revision
            log(
                Event.TELLER_HEARD,
                teller=host,
                revision=number_of(revision),
                era=era_of(revision),
            )


class RangeRelay:
    """Both sides of relaying at an entry: subscriber and server."""

    def __init__(
        self,
        follower: RangeFollower,
        selector: RelaySelector,
        port: int,
        handlers: Mapping[int, FrameHandler] = _NO_HANDLERS,
        limits: WireLimits | None = None,
    ) -> None:
        """Serve on the port that all entries use.

        Frames of other kinds that arrive there go to the handlers.
        """
        relay_server = RangeRelayServer(follower, selector)
        self._port = port
        self._server = WireServer(
            {FrameKind.RANGE_REQUEST: relay_server.serve, **handlers},
            limits,
        )
        dialler = TcpDialler(timeout_s=_CONNECT_TIMEOUT_S)
        self._subscriber = RangeSubscriber(follower, selector, dialler, port)
        remote_dialler = TcpDialler(timeout_s=GIVE_UP_S)
        self._remote_subscriber = RemoteZoneSubscriber(
            follower, selector, remote_dialler, port
        )

    async def start(self, host: str) -> None:
        """Start the server and the subscribers."""
        await self._server.start(bind_sockets(self._port, host))
        self._subscriber.start()
        self._remote_subscriber.start()

    async def close(self) -> None:
        """Stop the subscribers and the server."""
        await self._subscriber.close()
        await self._remote_subscriber.close()
        await self._server.close()
