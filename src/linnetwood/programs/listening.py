"""The ports of an entry, for callers and for the balancer's checks."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets

from linnetwood.wire.connectionlimit import ConnectionLimit
from linnetwood.wire.controlserver import open_control_server

_OK = 200
_UNAVAILABLE = 503


def listen(server: HTTPServer, address: tuple[str, int]) -> None:
    """Let a server accept connections at an address."""
    host, port = address
    server.add_sockets(bind_sockets(port, host))


def readiness_server(
    is_ready: Callable[[], bool], limit: ConnectionLimit
) -> HTTPServer:
    """Return the server for the readiness checks of the balancer."""
    return open_control_server(_Readiness(is_ready), limit)


class _Readiness:
    """Answer every request, whatever its path."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(self, req: HTTPServerRequest) -> None:
        status, reason = _UNAVAILABLE, b'Not Ready'
        if self._is_ready():
            status, reason = _OK, b'OK'
        conn = req.connection
        if conn is not None:
            lines = b'HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n'
            conn.write(lines % (status, reason))
            conn.finish()
