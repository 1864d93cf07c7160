"""Connections between the system's own processes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from linnetwood.errors import CodecError, LinnetwoodError, WireError
from linnetwood.events import Event, log
from linnetwood.frames import Frame, FrameStream

Address = tuple[str, int]
_BUFFER_BYTES = 16777216
_IDLE_KEPT = 64
CONNECT_TIMEOUT_S = 1.0


class Dialler(Protocol):
    """Open connections to other processes."""

    async def dial(self, address: Address) -> FrameStream:
        """Connect; raise WireError if that can't be done."""


class Pool(Dialler, Protocol):
    """Dial, and keep connections whose exchange ended cleanly."""

    def reuse(self, address: Address) -> FrameStream | None:
        """Give a connection that is kept, if any."""

    def keep(self, address: Address, stream: FrameStream) -> None:
        """Keep a connection for a later exchange."""


class TcpDialler:
    """Open connections over TCP and keep finished ones for the next."""

    def __init__(self, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Keep nothing yet."""
        self._client = TCPClient()
        self._timeout_s = timeout_s
        self._idle: dict[Address, list[FrameStream]] = {}

    async def dial(self, address: Address) -> FrameStream:
        """Connect to a process."""
        host, port = address
        try:
            async with asyncio.timeout(self._timeout_s):
                stream = await self._client.connect(
                    host,
                    port,
                    max_buffer_size=_BUFFER_BYTES,
                )
        except (OSError, StreamClosedError, TimeoutError) as exc:
            raise WireError('connect-failed', f'{host}:{port}: {exc}') from exc
        return FrameStream(stream)

    def reuse(self, address: Address) -> FrameStream | None:
        """Give a connection whose last exchange ended cleanly, if any."""
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
        if stream.closed or not stream.idle or len(kept) >= _IDLE_KEPT:
            stream.close()
            return
        kept.append(stream)

    def close(self) -> None:
        """Close every connection that is kept."""
        for kept in self._idle.values():
            for stream in kept:
                stream.close()
        self._idle.clear()


FrameHandler = Callable[[FrameStream, Frame], Awaitable[None]]


class WireServer(TCPServer):
    """Accept connections and hand each frame that opens something on."""

    def __init__(self, handlers: dict[int, FrameHandler]) -> None:
        """Serve the given kinds of opening frames."""
        super().__init__(max_buffer_size=_BUFFER_BYTES)
        self._by_kind = handlers
        self._streams: set[FrameStream] = set()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection until it closes."""
        frames = FrameStream(stream)
        self._streams.add(frames)
        try:
            await self._serve(frames)
        except CodecError as exc:
            log(Event.FRAME_REFUSED, code=exc.code, source=str(address))
        except LinnetwoodError:
            # The peer went away; whoever served it has cleaned up.
            return
        finally:
            self._streams.discard(frames)
            frames.close()

    def close(self) -> None:
        """Stop accepting and close every connection."""
        self.stop()
        for stream in tuple(self._streams):
            stream.close()

    async def _serve(self, frames: FrameStream) -> None:
        while True:
            frame = await frames.read()
            handler = self._by_kind.get(frame.kind)
            if handler is None:
                raise CodecError('unexpected-frame', frame.kind.name)
            await handler(frames, frame)
