"""Length-prefixed frames over one connection, one exchange at a time."""

import asyncio
import enum
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import cast

from linnetwood.core.clock import monotonic_s
from linnetwood.core.errors import CodecError, WireError
from linnetwood.core.sizes import MIB

MAX_FRAME = 4 * MIB
_READY_LIMIT = 1024
_WRITE_LIMIT = MAX_FRAME
_HEADER = struct.Struct('>IB')


class FrameKind(enum.IntEnum):
    """Say what a frame's payload is."""

    START = 1
    HEAD = 2
    BODY = 3
    END = 4
    CHUNK_REQUEST = 6
    CHUNK_REPLY = 7
    CHUNK = 8
    CONFIG_REQUEST = 10
    CONFIG_REPLY = 11
    DRAIN = 12
    DONE = 13
    PROGRESS_REQUEST = 14
    PROGRESS_REPLY = 15
    RANGE_REQUEST = 16
    RANGE_PART = 17
    RANGE_ITEMS = 18
    PEERS_REQUEST = 19
    PEERS = 20


# Looking a kind up here costs a third of what the enumeration's call does.
_KINDS = MappingProxyType({int(kind): kind for kind in FrameKind})


class Frame:
    """Hold one frame's kind and payload."""

    __slots__ = ('kind', 'payload')

    def __init__(self, kind: FrameKind, payload: bytes) -> None:
        """Keep both parts."""
        self.kind = kind
        self.payload = payload


def pack(kind: FrameKind, payload: bytes) -> bytes:
    """Put the header before the payload."""
    return _HEADER.pack(len(payload), kind) + payload


def split(pending: bytearray) -> Iterator[Frame]:
    """Yield the whole frames at the start of the bytes and remove them."""
    while len(pending) >= _HEADER.size:
        length, number = _HEADER.unpack_from(pending)
        if length > MAX_FRAME:
            raise CodecError('frame-too-large', f'{length} bytes')
        end = _HEADER.size + length
        if len(pending) < end:
            return
        payload = bytes(pending[_HEADER.size : end])
        del pending[:end]  # noqa: WPS420
        yield Frame(_kind(number), payload)


def _kind(number: int) -> FrameKind:
    kind = _KINDS.get(number)
    if kind is None:
        raise CodecError('unknown-frame', str(number))
    return kind


class FrameStream(asyncio.Protocol):
    """Read and write frames on one connection.

    It stands on asyncio's own transports: a tornado stream changes its
    registration with the poller for every read, which costs more than the
    relaying of a token itself (docs/MEASUREMENTS.md).
    """

    def __init__(
        self,
        accepted: 'Callable[[FrameStream], None] | None' = None,
    ) -> None:
        """Tell a server, if there is one, once the connection is made."""
        self.heard_at = float()
        self._accepted = accepted
        self._transport: asyncio.Transport | None = None
        self._pending = bytearray()
        self._ready: deque[Frame] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._gone = asyncio.Event()
        self._fault: CodecError | None = None
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection over."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._accepted is not None:
            self._accepted(self)

    def data_received(self, received: bytes) -> None:
        """Cut what came in into frames."""
        self.heard_at = monotonic_s()
        self._pending += received
        try:
            self._ready.extend(split(self._pending))
        except CodecError as exc:
            self._fault = exc
            self.close()
        if len(self._ready) > _READY_LIMIT and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._gone.set()
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        """Make writers wait for a slow reader."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    @property
    def closed(self) -> bool:
        """Tell whether either side has closed."""
        transport = self._transport
        return transport is None or transport.is_closing()

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits to be read."""
        return not (self._ready or self._pending)

    async def read(self) -> Frame:
        """Wait for the next frame; raise WireError when the peer is gone."""
        while not self._ready:
            self._check()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        frame = self._ready.popleft()
        if self._paused and not self._ready:
            self._resume()
        return frame

    async def read_within(self, silent_s: float) -> Frame:
        """Wait for the next frame, however long it takes while bytes come.

        Raises WireError when none came for so long, or the peer is gone.
        """
        while not self._ready:
            self._check()
            await self._stirred(silent_s)
        return await self.read()

    async def write(self, kind: FrameKind, payload: bytes) -> None:
        """Send one frame and wait while the peer reads too slowly."""
        self.send(kind, payload)
        if not self._writable.is_set():
            await self._writable.wait()

    def send(self, kind: FrameKind, payload: bytes) -> None:
        """Send one frame without waiting."""
        self._put(pack(kind, payload))

    def open_frame(self, kind: FrameKind, length: int) -> None:
        """Begin a frame whose payload is poured in parts."""
        self._put(_HEADER.pack(length, kind))

    async def pour(self, part: bytes) -> None:
        """Send a part of the payload; wait while the peer reads too slowly."""
        self._put(part)
        if not self._writable.is_set():
            await self._writable.wait()

    async def wait_closed(self) -> None:
        """Wait until either side closes; frames that come are kept."""
        await self._gone.wait()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection and drop what was not sent."""
        if self._transport is not None:
            self._transport.abort()

    def _put(self, payload: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            raise WireError('connection-lost', 'closed before the write')
        if transport.get_write_buffer_size() > _WRITE_LIMIT:
            raise WireError('reader-too-slow', f'over {_WRITE_LIMIT} bytes')
        transport.write(payload)

    async def _stirred(self, silent_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        try:
            async with asyncio.timeout(silent_s):
                await waiter
        except TimeoutError as exc:
            # Bytes that came at the last moment were not waited for in vain.
            if waiter.cancelled():
                raise WireError('peer-silent', self._silence(silent_s)) from exc

    def _silence(self, silent_s: float) -> str:
        return f'for {silent_s} s after {len(self._pending)} bytes of a frame'

    def _check(self) -> None:
        if self._fault is not None:
            raise self._fault
        if self._gone.is_set() or self.closed:
            raise WireError('connection-lost', 'closed')

    def _resume(self) -> None:
        self._paused = False
        if not self.closed and self._transport is not None:
            self._transport.resume_reading()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
