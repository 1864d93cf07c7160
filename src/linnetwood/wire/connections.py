"""Connections between the system's own processes."""

import asyncio
import contextlib
import dataclasses
import socket
import ssl
import sys
import weakref
from collections.abc import Awaitable, Callable
from typing import Protocol

from linnetwood.core.errors import CodecError, LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.wire.connectionlimit import ConnectionLimit, Stage
from linnetwood.wire.frames import Frame, FrameStream
from linnetwood.wire.rawsockets import limit_unread

Address = tuple[str, int]
_MAX_IDLE = 64
CONNECT_TIMEOUT_S = 1.0
# The code of an error: the peer may go on, unlike one that refused.
CONNECT_TIMEOUT = 'connect-timeout'
# A lost packet is resent after at most about 1 s, so a shorter silence within
# an answer does not mean that the connection is dead.
SILENCE_TIMEOUT_S = 2.0


class Dialler(Protocol):
    """Open connections to other processes."""

    async def dial(self, address: Address) -> FrameStream:
        """Connect, or raise WireError, with CONNECT_TIMEOUT for silence."""


class Pool(Dialler, Protocol):
    """Connect, and keep connections whose exchange ended cleanly."""

    def reuse(self, address: Address) -> FrameStream | None:
        """Return an idle connection, if there is one."""

    def keep(self, address: Address, stream: FrameStream) -> None:
        """Keep a connection for later exchanges."""


class TcpDialler:
    """Open TCP connections, and keep idle ones for reuse."""

    def __init__(
        self,
        context: ssl.SSLContext | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        """Start without connections; without a context, don't use TLS."""
        self._context = context
        self._timeout_s = timeout_s
        self._idle: dict[Address, list[FrameStream]] = {}

    async def dial(self, address: Address) -> FrameStream:
        """Connect to a process."""
        host, port = address
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._timeout_s):
                opened = await loop.create_connection(
                    FrameStream,
                    host,
                    port,
                    ssl=self._context,
                )
        except TimeoutError as exc:
            raise WireError(CONNECT_TIMEOUT, f'{host}:{port}') from exc
        except OSError as exc:
            raise WireError('connect-failed', f'{host}:{port}: {exc}') from exc
        return opened[1]

    def reuse(self, address: Address) -> FrameStream | None:
        """Return a connection whose last exchange ended cleanly, if any."""
        kept = self._idle.get(address, [])
        while kept:
            stream = kept.pop()
            if not stream.closed and stream.idle:
                return stream
            stream.close()
        return None

    def keep(self, address: Address, stream: FrameStream) -> None:
        """Keep a connection whose exchange ended cleanly."""
        kept = self._idle.setdefault(address, [])
        if stream.closed or not stream.idle or len(kept) >= _MAX_IDLE:
            stream.close()
            return
        kept.append(stream)

    def close(self) -> None:
        """Close every idle connection."""
        for kept in self._idle.values():
            for stream in kept:
                stream.close()
        self._idle.clear()


FrameHandler = Callable[[FrameStream, Frame], Awaitable[None]]


class _Connection:
    """An accepted connection, and whether a frame of it is handled now."""

    __slots__ = ('frames', 'is_busy')

    def __init__(self, frames: FrameStream) -> None:
        self.frames = frames
        self.is_busy = False

    @property
    def stage(self) -> Stage:
        """Return what it is used for now."""
        if self.is_busy:
            return Stage.BUSY
        return Stage.IDLE if self.frames.idle else Stage.REQUEST

    def close(self) -> None:
        """Close it; what is unsent is lost."""
        self.frames.abort()


@dataclasses.dataclass(frozen=True, slots=True)
class WireLimits:
    """Limits on accepted connections: their number, and what they hold.

    If they hold more than `held_bytes` together, unread or not yet taken by
    their peers, the one that holds most is closed.
    """

    connections: ConnectionLimit
    held_bytes: int = sys.maxsize


class WireServer:
    """Accept connections, and pass each opening frame to its handler."""

    def __init__(
        self,
        handlers: dict[int, FrameHandler],
        limits: WireLimits | None = None,
    ) -> None:
        """Handle these kinds of opening frames."""
        self._by_kind = handlers
        self._limits = limits or WireLimits(ConnectionLimit('processes'))
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        # Connections whose last bytes may be unsent.
        self._streams: weakref.WeakSet[FrameStream] = weakref.WeakSet()

    async def start(
        self,
        sockets: list[socket.socket],
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Listen on bound sockets; without a context, don't use TLS."""
        loop = asyncio.get_running_loop()
        for sock in sockets:
            limit_unread(sock.fileno())
            server = await loop.create_server(
                self._accept,
                sock=sock,
                ssl=context,
            )
            self._servers.append(server)

    async def close(self, flush_s: float = 0) -> None:
        """Stop accepting and close every connection.

        Wait up to `flush_s` seconds until the peers have what was sent.
        """
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(flush_s):
                for stream in tuple(self._streams):
                    await stream.wait_closed()

    def _accept(self) -> FrameStream:
        return FrameStream(self._accepted)

    def _accepted(self, frames: FrameStream) -> None:
        self._streams.add(frames)
        frames.on_large = self._make_room
        conn = _Connection(frames)
        self._limits.connections.add(conn)
        task = asyncio.get_running_loop().create_task(self._handle(conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_room(self, _: FrameStream) -> None:
        """Close connections until all hold no more than they may."""
        open_streams = [one for one in self._streams if not one.closed]
        open_streams.sort(key=_held_bytes)
        total = sum(map(_held_bytes, open_streams))
        while total > self._limits.held_bytes:
            largest = open_streams.pop()
            total -= largest.held_bytes
            detail = f'{largest.held_bytes} bytes'
            log(Event.FRAME_REFUSED, code='no-memory', detail=detail)
            largest.abort()

    async def _handle(self, conn: _Connection) -> None:
        frames = conn.frames
        try:
            await self._serve(conn)
        except CodecError as exc:
            log(Event.FRAME_REFUSED, code=exc.code, detail=exc.detail)
        except LinnetwoodError:
            # The peer is gone; the handler has cleaned up.
            return
        finally:
            self._limits.connections.discard(conn)
            frames.close()

    async def _serve(self, conn: _Connection) -> None:
        while True:
            frame = await conn.frames.read()
            handler = self._by_kind.get(frame.kind)
            if handler is None:
                raise CodecError('unexpected-frame', frame.kind.name)
            conn.is_busy = True
            await handler(conn.frames, frame)
            conn.is_busy = False
            self._limits.connections.note_used(conn)


def _held_bytes(stream: FrameStream) -> int:
    return stream.held_bytes
