"""Accept connections of tornado's servers within a limit."""

import asyncio
import errno
import socket
from collections.abc import Callable, Iterable
from typing import Any

from tornado.tcpserver import TCPServer

from linnetwood.core.events import Event, log
from linnetwood.wire.connectionlimit import ConnectionLimit
from linnetwood.wire.rawsockets import limit_unread

# More may wait, but what was accepted is to be read in between.
_ACCEPT_AT_ONCE = 16
# Until more are accepted after the process ran out of descriptors or memory.
_PAUSE_S = 0.2
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
Take = Callable[[socket.socket, Any], None]


class Acceptor:
    """Accept the connections of one listening socket."""

    def __init__(self, sock: socket.socket, take: Take) -> None:
        """Pass each connection on, with the address of its client."""
        self._sock = sock
        self._take = take
        self._loop = asyncio.get_running_loop()
        self._pause: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Accept from now on."""
        self._pause = None
        self._loop.add_reader(self._sock, self._accept)

    def close(self) -> None:
        """Accept no more; the owner closes the socket."""
        self._loop.remove_reader(self._sock)
        if self._pause is not None:
            self._pause.cancel()

    def _accept(self) -> None:
        for _ in range(_ACCEPT_AT_ONCE):
            try:
                conn, address = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as exc:
                self._wait(exc)
                return
            self._take(conn, address)

    def _wait(self, exc: OSError) -> None:
        """Accept later: without a descriptor the loop would turn on and on."""
        if exc.errno not in _EXHAUSTED:
            raise exc
        log(Event.ACCEPT_PAUSED, detail=str(exc))
        self._loop.remove_reader(self._sock)
        self._pause = self._loop.call_later(_PAUSE_S, self.start)


class BoundedServer(TCPServer):
    """Keep the number of connections, and what they have unread, bounded."""

    limit: ConnectionLimit

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections of these sockets."""
        for sock in sockets:
            # Accepted connections have the same.
            limit_unread(sock.fileno())
            acceptor = Acceptor(sock, self._handle_connection)
            acceptor.start()
            self._sockets[sock.fileno()] = sock
            self._handlers[sock.fileno()] = acceptor.close
