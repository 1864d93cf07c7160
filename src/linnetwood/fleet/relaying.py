"""Pass the store's news on to neighbours, so that few copies cross regions."""

import asyncio
import math
from collections.abc import Mapping
from types import MappingProxyType

from tornado.netutil import bind_sockets

from linnetwood.core.errors import CodecError, LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.waits import happened
from linnetwood.fleet.belief import Told
from linnetwood.fleet.following import Following
from linnetwood.fleet.mirror import Lack
from linnetwood.fleet.rangeparts import (
    pack,
    as_milliseconds,
    as_seconds,
    unpack,
)
from linnetwood.fleet.ranges import Change
from linnetwood.fleet.tellers import Tellers
from linnetwood.gen.wire.ttypes import RangePart, RangeRequest
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.connections import (
    Dialler,
    FrameHandler,
    TcpDialler,
    WireServer,
)
from linnetwood.wire.frames import MAX_FRAME, Frame, FrameKind, FrameStream

# A teller that knows nothing new says so this often; one that is silent for
# more than two such times is left for another.
BEAT_S = 0.2
SILENT_S = 0.5
# A listener that reads nothing for so long is given up.
_WRITE_S = 5.0
_IDLE_S = 0.5
# A neighbour of the same availability zone is about a millisecond away.
_CONNECT_S = 0.4
# Below this a neighbour's word is of load and warmth: tens of lines a second.
_MUCH_OCTETS = 4096
_NO_HANDLERS: Mapping[int, FrameHandler] = MappingProxyType({})


class RangeTeller:
    """Tell neighbours what is known of a range, and since when."""

    def __init__(self, following: Following) -> None:
        """Tell what a follower knows."""
        self._following = following
        self._packed = b''
        self._packed_for = (-1, -1, False)
        self._packed_at = float()

    async def serve(self, stream: FrameStream, frame: Frame) -> None:
        """Tell one listener, until it goes."""
        after = decode(RangeRequest, frame.payload).after
        woken = asyncio.Event()
        self._following.listen(woken)
        try:
            while True:
                woken.clear()
                after = await self._tell(stream, after)
                await happened(woken, BEAT_S)
        finally:
            self._following.forget(woken)

    async def _tell(self, stream: FrameStream, after: int) -> int:
        following = self._following
        now = asyncio.get_running_loop().time()
        revision = following.mirror.revision
        news = revision > after
        # What was borrowed has no age for others, so it can't go in a circle.
        owned = -math.inf if following.borrows else now
        part = RangePart(
            revision=revision,
            age_ms=as_milliseconds(owned - following.heard_at),
            flow_age_ms=as_milliseconds(owned - following.flowed_at),
            flowing_ms=as_milliseconds(owned - following.flowing_since),
            outages=following.outages,
            items=news,
        )
        packed = b''
        if news:
            lack = following.mirror.lack(after, now)
            part.whole = lack.whole
            packed = self._pack(after, lack, now)
            part.packed_ms = as_milliseconds(now - self._packed_at)
        try:
            async with asyncio.timeout(_WRITE_S):
                await stream.write(FrameKind.RANGE_PART, encode(part))
                if packed:
                    await stream.write(FrameKind.RANGE_ITEMS, packed)
        except TimeoutError as exc:
            stream.abort()
            raise WireError('reader-too-slow', f'{_WRITE_S} s') from exc
        return max(after, revision)

    def _pack(self, after: int, lack: Lack, now: float) -> bytes:
        # Listeners that keep up all lack the same.
        lacked = (after, lack.revision, lack.whole)
        if self._packed_for != lacked:
            self._packed_at = now
            self._packed = pack(lack.changes)
            self._packed_for = lacked
        if len(self._packed) > MAX_FRAME:
            # Whoever lacks so much asks the store.
            raise WireError('range-too-large', f'{len(self._packed)} bytes')
        return self._packed


class RangeListener:
    """Hear a neighbour where there is one; a task that owns its connection."""

    def __init__(
        self,
        following: Following,
        tellers: Tellers,
        dialler: Dialler,
        port: int,
    ) -> None:
        """All entries tell on one port."""
        self._following = following
        self._tellers = tellers
        self._dialler = dialler
        self._port = port
        self._passed_over = ''
        self._troubles: dict[str, str] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to listen."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop listening."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        following = self._following
        while True:
            following.backed = self._tellers.known
            following.behind = self._tellers.behind
            host = self._choose()
            self._passed_over = ''
            if host is None:
                await asyncio.sleep(_IDLE_S)
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
        request = encode(RangeRequest(after=following.revision))
        await stream.write(FrameKind.RANGE_REQUEST, request)
        while self._stays(host):
            told = await _read(stream, host, following.revision)
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
    """Both sides at an entry: hear the neighbours, and tell them."""

    def __init__(
        self,
        following: Following,
        tellers: Tellers,
        port: int,
        handlers: Mapping[int, FrameHandler] = _NO_HANDLERS,
    ) -> None:
        """All entries tell on one port, and answer other frames there too."""
        teller = RangeTeller(following)
        self._port = port
        self._server = WireServer(
            {FrameKind.RANGE_REQUEST: teller.serve, **handlers},
        )
        dialler = TcpDialler(timeout_s=_CONNECT_S)
        self._listener = RangeListener(following, tellers, dialler, port)

    async def start(self, host: str) -> None:
        """Begin to tell and to listen."""
        await self._server.start(bind_sockets(self._port, host))
        self._listener.start()

    async def close(self) -> None:
        """Stop both."""
        await self._listener.close()
        await self._server.close()


async def _read(
    stream: FrameStream,
    host: str = '',
    known: int = 0,
) -> Told:
    frame = await _expect(stream, FrameKind.RANGE_PART)
    part = decode(RangePart, frame.payload)
    changes: tuple[Change, ...] = ()
    if part.items:
        packed = await _expect(stream, FrameKind.RANGE_ITEMS)
        changes = tuple(unpack(packed.payload, part.packed_ms))
        if len(packed.payload) > _MUCH_OCTETS:
            log(
                Event.NEWS_TAKEN,
                teller=host,
                asked=known,
                got=part.revision,
                octets=len(packed.payload),
                keys=len(changes),
                whole=part.whole,
                age_ms=part.age_ms,
            )
    return Told(
        part.revision,
        as_seconds(part.age_ms),
        as_seconds(part.flow_age_ms),
        as_seconds(part.flowing_ms),
        part.outages,
        part.whole,
        changes,
    )


async def _expect(stream: FrameStream, kind: FrameKind) -> Frame:
    frame = await stream.read_within(SILENT_S)
    if frame.kind is not kind:
        raise CodecError('unexpected-frame', frame.kind.name)
    return frame
