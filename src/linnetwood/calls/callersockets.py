"""Connections of callers: what the kernel holds, and what has arrived."""

import contextlib
import math
import socket
from collections.abc import Awaitable
from typing import Any

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from linnetwood.calls.readtimer import Phase, ReadTimer
from linnetwood.calls.routetable import CallLimits
from linnetwood.wire.accepting import BoundedServer
from linnetwood.wire.connectionlimit import ConnectionLimit, Stage

# Larger answers are written in pieces of this size. A piece counts as progress
# only when all of it is taken, so large ones would hide slow progress.
PIECE_BYTES = 16384
# Bytes that the kernel may hold unsent for a connection. With more, a caller
# that reads nothing is noticed later, and the VM needs more memory.
_UNSENT_BYTES = 16384
# Callers of this version get no chunks: a close ends a streamed answer.
UNCHUNKED_VERSION = 'HTTP/1.0'


class CallerStream(IOStream):
    """A caller's connection, with the timer of what is read from it."""

    def __init__(self, server: 'CallerServer', sock: socket.socket) -> None:
        """Read from a socket that the server has accepted."""
        super().__init__(
            sock,
            max_buffer_size=server.max_buffer_size,
            read_chunk_size=server.read_chunk_size,
        )
        self.received_at = -math.inf
        self.timer = ReadTimer(self, lambda: server.call_limits)
        self._server = server

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read bytes, and note when they arrived."""
        size = super().read_from_fd(buf)
        if size:
            self.received_at = self.timer.now()
            self.timer.note_received()
        return size

    def close_fd(self) -> None:
        """Close the socket, and stop the timer."""
        self.timer.stop()
        super().close_fd()

    def allow_head(self, max_bytes: int) -> None:
        """Allow a head of this size that is awaited or read now."""
        if self._read_regex is not None and self._read_max_bytes is not None:
            self._read_max_bytes = max(self._read_max_bytes, max_bytes)

    @property
    def stage(self) -> Stage:
        """Return what the connection is used for now."""
        if self.timer.phase is Phase.ANSWER:
            return Stage.BUSY
        return Stage.REQUEST if self.timer.is_receiving else Stage.IDLE

    @property
    def max_body_bytes(self) -> int:
        """Return the limit on bodies that is in force."""
        return self._server.call_limits.body_bytes

    @property
    def has_buffered(self) -> bool:
        """Return whether bytes were read that belong to no request yet."""
        return bool(self._read_buffer_size)

    @property
    def has_unread(self) -> bool:
        """Return whether bytes wait in the kernel; False after the end."""
        if self.closed():
            return False
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        with contextlib.suppress(OSError):
            return bool(self.socket.recv(1, flags))
        return False


class _TimedRequest(HTTPMessageDelegate):
    """Limit the time of a request that another delegate reads."""

    def __init__(self, delegate: HTTPMessageDelegate, timer: ReadTimer) -> None:
        self._delegate = delegate
        self._timer = timer

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Wait for the body."""
        self._timer.await_body()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a piece of the body on."""
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Set no limit while the request is answered."""
        self._timer.stop()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Pass the end on."""
        self._delegate.on_connection_close()


class CallerServer(HTTPServer, BoundedServer):
    """An HTTP server that limits what callers may hold, and for how long."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Start without connections."""
        super().initialize(*args, **kwargs)
        # The library's own timers don't look at what has arrived.
        self.conn_params.header_timeout = None
        self.conn_params.body_timeout = None
        self.call_limits = CallLimits()
        self.limit = ConnectionLimit('callers')
        self.streams: set[CallerStream] = set()

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Set the limits on a new connection, and serve it."""
        sock = stream.socket
        assert isinstance(sock, socket.socket)
        # Without this option a stalled caller is noticed later.
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES
            )
        caller = CallerStream(self, sock)
        self.limit.add(caller)
        if not caller.closed():
            self.streams.add(caller)
            super().handle_stream(caller, address)

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        """Start reading a request, and limit the time for it."""
        stream = request_conn.stream
        assert isinstance(stream, CallerStream)
        self.limit.note_used(stream)
        delegate = super().start_request(server_conn, request_conn)
        return self.timed(delegate, stream.timer)

    def timed(
        self, delegate: HTTPMessageDelegate, timer: ReadTimer
    ) -> HTTPMessageDelegate:
        """Limit the time of a request that is awaited now."""
        timer.await_head()
        return _TimedRequest(delegate, timer)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        super().on_close(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        assert isinstance(server_conn.stream, CallerStream)
        self.streams.discard(server_conn.stream)
        self.limit.discard(server_conn.stream)

    def set_limits(self, limits: CallLimits) -> None:
        """Apply new limits, also to what open connections wait for now.

        A request that is awaited already may have the size allowed before: its
        caller may not know the new limits yet.
        """
        is_changed = limits != self.call_limits
        self.call_limits = limits
        self.conn_params.max_header_size = limits.header_bytes
        self.conn_params.max_body_size = limits.body_bytes
        # Most configurations change routes alone.
        for stream in self.streams if is_changed else ():
            stream.timer.apply_limits()
            stream.allow_head(limits.header_bytes)

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request has arrived on a connection."""
        return any(stream.timer.is_receiving for stream in self.streams)
