"""Clients outside the limits: many connections at once, and what they do."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterable

from linnetwood.core.sizes import KIB

Address = tuple[str, int]
# As little as the kernel allows, so that bytes stay at the sender.
_CLIENT_BUFFER_BYTES = 4 * KIB
# A full queue of new connections drops what opens one.
_CONNECT_WITHIN_S = 3.0
_CONNECT_AT_ONCE = 100
_BLOCK = b'x' * (64 * KIB)


class Crowd:
    """Connections of clients to one address, until they are closed."""

    def __init__(self, address: Address) -> None:
        """Start without connections."""
        self._address = address
        self._socks: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def size(self) -> int:
        """Return how many connections were made."""
        return len(self._socks)

    async def connect(self, count: int, sent: bytes = b'') -> None:
        """Connect so many times, and send the same bytes on each."""
        numbers = range(count)
        for start in numbers[::_CONNECT_AT_ONCE]:
            batch = numbers[start : start + _CONNECT_AT_ONCE]
            await asyncio.gather(*(self._connect_once(sent) for _ in batch))

    def send_endlessly(self, limit: int) -> None:
        """Send so many bytes more on each connection, as they are taken."""
        self._begin(lambda sock: _send_blocks(sock, limit))

    def read_slowly(self, size: int, pause_s: float) -> None:
        """Read a few bytes on each connection, again and again."""
        self._begin(lambda sock: _read_on(sock, size, pause_s))

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()

    async def _connect_once(self, sent: bytes) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _CLIENT_BUFFER_BYTES
        )
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_WITHIN_S):
                await loop.sock_connect(sock, self._address)
                await loop.sock_sendall(sock, sent)
        except (OSError, TimeoutError):
            # A server may close a connection of a crowd, or refuse it.
            sock.close()
            return
        self._socks.append(sock)

    def _begin(self, act: Callable[[socket.socket], Awaitable[None]]) -> None:
        async def until_closed(sock: socket.socket) -> None:
            with contextlib.suppress(OSError):
                await act(sock)

        self._tasks.extend(
            asyncio.create_task(until_closed(sock)) for sock in self._socks
        )


async def _send_blocks(sock: socket.socket, limit: int) -> None:
    loop = asyncio.get_running_loop()
    for _ in itertools.repeat(None, limit // len(_BLOCK)):
        await loop.sock_sendall(sock, _BLOCK)


async def _read_on(sock: socket.socket, size: int, pause_s: float) -> None:
    while True:
        with contextlib.suppress(BlockingIOError):
            if not sock.recv(size):
                return
        await asyncio.sleep(pause_s)


def request(
    target: str, host: str, headers: Iterable[str] = (), method: str = 'GET'
) -> bytes:
    """Return the head of a request."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}', *headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()
