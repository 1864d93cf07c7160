"""Length-prefixed frames on a connection, for one exchange at a time."""

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
_READY_BYTES = 1048576
_WRITE_LIMIT = MAX_FRAME
# What a connection may hold until its owner is asked whether there is room.
_USUAL_HELD_BYTES = 65536
# Frames to read before other tasks run. A peer that sends tiny ones without end
# would otherwise keep a reader in one turn of the event loop.
_READ_AT_ONCE = 256
_HEADER = struct.Struct('>IB')


class FrameKind(enum.IntEnum):
    """The type of a frame's payload."""

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


# A lookup here takes a third of the time of calling the enumeration.
_KINDS = MappingProxyType({int(kind): kind for kind in FrameKind})


class Frame:
    """A frame's kind and payload."""

    __slots__ = ('kind', 'payload')

    def __init__(self, kind: FrameKind, payload: bytes) -> None:
        """Set both parts."""
        self.kind = kind
        self.payload = payload


def pack(kind: FrameKind, payload: bytes) -> bytes:
    """Return the payload with its header."""
    return _HEADER.pack(len(payload), kind) + payload


def split(pending: bytearray) -> Iterator[Frame]:
    """Remove and yield the complete frames at the start of the bytes."""
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


def _ignore_large(_: 'FrameStream') -> None:
    """Do nothing by default."""


class FrameStream(asyncio.Protocol):
    """Read and write frames on one connection.

    It uses asyncio's transports: a tornado stream changes its registration
    with the poller for every read, which takes more time than relaying a token
    does (docs/MEASUREMENTS.md).
    """

    def __init__(
        self,
        accepted: 'Callable[[FrameStream], None] | None' = None,
    ) -> None:
        """Call `accepted`, if given, once the connection is made."""
        self.last_received_at = float()
        # Called when it holds more than usual, again and again.
        self.on_large: Callable[[FrameStream], None] = _ignore_large
        self._accepted = accepted
        self._transport: asyncio.Transport | None = None
        self._pending = bytearray()
        self._ready: deque[Frame] = deque()
        # Bytes received since no frame was ready.
        self._unread = 0
        self._read_at_once = 0
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed_event = asyncio.Event()
        self._error: CodecError | None = None
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._accepted is not None:
            self._accepted(self)

    def data_received(self, received: bytes) -> None:
        """Split received bytes into frames."""
        self.last_received_at = monotonic_s()
        self._pending += received
        self._unread += len(received)
        try:
            self._ready.extend(split(self._pending))
        except CodecError as exc:
            self._error = exc
            self.close()
        if self._is_behind and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._wake()
        if self._unread_bytes > _USUAL_HELD_BYTES:
            self.on_large(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake readers and writers; drop the part of a frame."""
        self._pending.clear()
        self._closed_event.set()
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        """Block writers, since the peer reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()

    @property
    def closed(self) -> bool:
        """Return whether either side has closed."""
        transport = self._transport
        return transport is None or transport.is_closing()

    @property
    def idle(self) -> bool:
        """Return whether no received bytes are unread."""
        return not (self._ready or self._pending)

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are not read, or not taken by the peer."""
        transport = self._transport
        if transport is None:
            return self._unread_bytes
        return self._unread_bytes + transport.get_write_buffer_size()

    async def read(self) -> Frame:
        """Wait for the next frame; raise WireError if the connection ends."""
        if self._read_at_once >= _READ_AT_ONCE:
            self._read_at_once = 0
            await asyncio.sleep(0)
        while not self._ready:
            self._raise_if_closed()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._read_at_once += 1
        frame = self._ready.popleft()
        if not self._ready:
            self._unread = 0
            if self._paused:
                self._resume()
        return frame

    async def read_within(self, silent_s: float) -> Frame:
        """Wait for the next frame as long as bytes arrive.

        Raises WireError after `silent_s` seconds without bytes, or if the
        connection ends.
        """
        while not self._ready:
            self._raise_if_closed()
            await self._wait_for_bytes(silent_s)
        return await self.read()

    async def write(self, kind: FrameKind, payload: bytes) -> None:
        """Send one frame, and wait while the peer reads too slowly."""
        self.send(kind, payload)
        await self.wait_writable()

    def send(self, kind: FrameKind, payload: bytes) -> None:
        """Send one frame without waiting."""
        self._write_bytes(pack(kind, payload))

    def begin_frame(self, kind: FrameKind, length: int) -> None:
        """Send the header of a frame whose payload follows in parts."""
        self._write_bytes(_HEADER.pack(length, kind))

    async def write_part(self, part: bytes) -> None:
        """Send a part of a payload; wait while the peer reads too slowly."""
        self._write_bytes(part)
        await self.wait_writable()

    @property
    def writable(self) -> bool:
        """Return whether the peer reads as fast as this side writes."""
        return self._writable.is_set()

    async def wait_writable(self) -> None:
        """Wait while the peer reads too slowly."""
        if not self._writable.is_set():
            await self._writable.wait()

    async def wait_closed(self) -> None:
        """Wait until either side closes; received frames remain readable."""
        await self._closed_event.wait()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection and discard unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    def _write_bytes(self, payload: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            raise WireError('connection-lost', 'closed before the write')
        if transport.get_write_buffer_size() > _WRITE_LIMIT:
            raise WireError('reader-too-slow', f'over {_WRITE_LIMIT} bytes')
        transport.write(payload)
        if self.held_bytes > _USUAL_HELD_BYTES:
            self.on_large(self)

    @property
    def _unread_bytes(self) -> int:
        return max(len(self._pending), self._unread)

    async def _wait_for_bytes(self, silent_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        try:
            async with asyncio.timeout(silent_s):
                await waiter
        except TimeoutError as exc:
            # If bytes arrived at the last moment, this is no timeout.
            if waiter.cancelled():
                raise WireError(
                    'peer-silent', self._silence_detail(silent_s)
                ) from exc

    def _silence_detail(self, silent_s: float) -> str:
        return f'for {silent_s} s after {len(self._pending)} bytes of a frame'

    def _raise_if_closed(self) -> None:
        if self._error is not None:
            raise self._error
        if self._closed_event.is_set() or self.closed:
            raise WireError('connection-lost', 'closed')

    @property
    def _is_behind(self) -> bool:
        count = len(self._ready)
        # Without a complete frame the reader waits for more bytes.
        return count > _READY_LIMIT or (
            count > 0 and self._unread > _READY_BYTES
        )

    def _resume(self) -> None:
        self._paused = False
        if not self.closed and self._transport is not None:
            self._transport.resume_reading()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
