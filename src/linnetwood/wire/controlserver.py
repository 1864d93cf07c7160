"""HTTP servers for the platform's own small requests."""

from collections.abc import Callable
from typing import Any

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from linnetwood.core.sizes import KIB
from linnetwood.wire.accepting import BoundedServer
from linnetwood.wire.connectionlimit import ConnectionLimit, Stage

# Balancers and collectors send a short head and no body.
_MAX_HEAD_BYTES = 8 * KIB
_MAX_BODY_BYTES = KIB
_MAX_BUFFER_BYTES = 8 * _MAX_HEAD_BYTES
# Longer than the pauses between the questions of a balancer.
_IDLE_S = 15.0
_BODY_S = 2.0
Answer = Callable[[HTTPServerRequest], None]


class _Connection:
    """A connection, which serves nothing that takes time."""

    __slots__ = ('_stream',)

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream

    @property
    def stage(self) -> Stage:
        """Return the same for all: the one that was used last stays."""
        return Stage.IDLE

    def close(self) -> None:
        """Close it."""
        self._stream.close()


class ControlServer(HTTPServer, BoundedServer):
    """Answer requests of the platform, within tight limits."""

    def initialize(self, answer: Answer) -> None:  # type: ignore[override]
        """Set the limits; the number of connections is set with `limit`."""
        super().initialize(
            answer,
            max_header_size=_MAX_HEAD_BYTES,
            max_body_size=_MAX_BODY_BYTES,
            max_buffer_size=_MAX_BUFFER_BYTES,
            chunk_size=_MAX_BODY_BYTES,
            idle_connection_timeout=_IDLE_S,
            body_timeout=_BODY_S,
        )
        self._by_stream: dict[object, _Connection] = {}

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Count a new connection, and serve it."""
        conn = _Connection(stream)
        self.limit.add(conn)
        if not stream.closed():
            self._by_stream[stream] = conn
            super().handle_stream(stream, address)

    def start_request(self, server_conn: object, request_conn: Any) -> Any:
        """Note that a connection is used."""
        conn = self._by_stream.get(request_conn.stream)
        if conn is not None:
            self.limit.note_used(conn)
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        super().on_close(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        conn = self._by_stream.pop(server_conn.stream, None)
        if conn is not None:
            self.limit.discard(conn)


def open_control_server(
    answer: Answer, limit: ConnectionLimit
) -> ControlServer:
    """Return a server that answers by a function."""
    server = ControlServer(answer)
    server.limit = limit
    return server
