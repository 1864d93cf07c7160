"""Pass the store's news on to neighbours, so that few copies cross regions."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

from tornado.netutil import bind_sockets

from linnetwood.core.errors import LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import Owner
from linnetwood.fleet.belief import Told
from linnetwood.fleet.farlistening import FarListener
from linnetwood.fleet.following import Following
from linnetwood.fleet.rangeteller import RangeTeller
from linnetwood.fleet.tellers import Tellers
from linnetwood.fleet.toldreading import Hearing
from linnetwood.wire.connections import (
    Dialler,
    FrameHandler,
    TcpDialler,
    WireServer,
)
from linnetwood.wire.frames import FrameKind, FrameStream

_IDLE_S = 0.5
# Whoever knows nothing yet waits for somebody to hear.
_IDLE_FIRST_S = 0.02
# A neighbour of the same availability zone is about a millisecond away.
_CONNECT_S = 0.4
# A packet to another region may wait on a full link for a second or more.
_FAR_CONNECT_S = 2.0
_NO_HANDLERS: Mapping[int, FrameHandler] = MappingProxyType({})


class RangeListener(Owner):
    """Hear a neighbour where there is one; a task that owns its connection."""

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
        self._dialler = dialler
        self._port = port
        self._passed_over = ''
        self._troubles: dict[str, str] = {}

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        following = self._following
        while True:
            following.backed = self._tellers.known
            following.behind = self._tellers.behind
            host = self._choose()
            self._passed_over = ''
            if host is None:
                idle_s = _IDLE_S if following.revision else _IDLE_FIRST_S
                await asyncio.sleep(idle_s)
                continue
            following.borrows = not self._tellers.before(host)
            try:
                await self._hear(host)
            except LinnetwoodError as exc:
                self._tellers.failed(host, loop.time())
                self._note_trouble(host, exc)
            finally:
                following.left()

    def _choose(self, but: str = '') -> str | None:
        return self._tellers.choose(
            asyncio.get_running_loop().time(),
            widely=self._following.lost,
            but=but or self._passed_over,
        )

    async def _hear(self, host: str) -> None:
        stream = await self._dialler.dial((host, self._port))
        try:
            await self._hear_on(stream, host)
        finally:
            stream.close()

    async def _hear_on(self, stream: FrameStream, host: str) -> None:
        following = self._following
        hearing = Hearing(stream, following.mirror, host)
        await hearing.ask()
        while self._stays(host):
            told = await hearing.read()
            if following.told(told):
                self._tellers.told(host)
                self._note_heard(host)
            else:
                self._weigh(host, told)

    def _stays(self, host: str) -> bool:
        if self._passed_over == host:
            return False
        if self._following.borrows:
            return self._following.unanswered
        return self._tellers.knows(host)

    def _weigh(self, host: str, told: Told) -> None:
        """Leave a neighbour that is out of touch, if there may be a better.

        Where there is none it is kept: it tells as soon as the store is back
        for it, and one copy then serves the whole zone.
        """
        another = self._choose(but=host)
        tellers = self._tellers
        if another is None and tellers.leads(host):
            return
        if another is None or tellers.leads(another) or not tellers.leads(host):
            raise WireError('teller-stale', f'{told.age_s:.3f} s')
        # Any other is looked at for once, and this one is not left to rest.
        self._passed_over = host

    def _note_trouble(self, host: str, exc: LinnetwoodError) -> None:
        # The same trouble again says nothing new.
        if self._troubles.get(host) == exc.code:
            return
        self._troubles[host] = exc.code
        log(
            Event.TELLER_LEFT,
            teller=host,
            code=exc.code,
            detail=exc.detail,
            revision=self._following.revision,
        )

    def _note_heard(self, host: str) -> None:
        if self._troubles.get(host) != '':
            # Whatever befalls others from now on is new.
            self._troubles = {host: ''}
            revision = self._following.revision
            log(Event.TELLER_HEARD, teller=host, revision=revision)


class Relay:
    """Both sides at an entry: hear other entries, and tell them."""

    def __init__(
        self,
        following: Following,
        tellers: Tellers,
        port: int,
        handlers: Mapping[int, FrameHandler] = _NO_HANDLERS,
    ) -> None:
        """All entries tell on one port, and answer other frames there too."""
        teller = RangeTeller(following, tellers)
        self._port = port
        self._server = WireServer(
            {FrameKind.RANGE_REQUEST: teller.serve, **handlers},
        )
        dialler = TcpDialler(timeout_s=_CONNECT_S)
        self._listener = RangeListener(following, tellers, dialler, port)
        far = TcpDialler(timeout_s=_FAR_CONNECT_S)
        self._far = FarListener(following, tellers, far, port)

    async def start(self, host: str) -> None:
        """Begin to tell and to listen."""
        await self._server.start(bind_sockets(self._port, host))
        self._listener.start()
        self._far.start()

    async def close(self) -> None:
        """Stop telling and listening."""
        await self._listener.close()
        await self._far.close()
        await self._server.close()
