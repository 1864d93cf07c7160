"""Send bytes without end on connections that stand-in servers hand over.

Each datagram on a Unix socket has an order and a connection. Each connection
that ends gives one line of JSON on standard output.
"""

import asyncio
import dataclasses
import enum
import hashlib
import json
import signal
import socket
import sys
import time
from collections.abc import Mapping
from types import MappingProxyType

_CHUNKED = '\r\nTransfer-Encoding: chunked\r\n\r\n'
_BLOCK_BYTES = 65536
_REPEATS = 4096
_LENGTH = 1000000000000
_FIELDS = b'X-Field: value\r\n' * _REPEATS
_BYTES = b'x' * _BLOCK_BYTES
_ORDER_BYTES = 4096
MARK = '{"call_id"'


class Framing(enum.Enum):
    """The part of an answer that does not end."""

    LINE = 'line'
    FIELDS = 'fields'
    INTERIM = 'interim'
    BODY = 'body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    SMALL_CHUNKS = 'small chunks'
    EXTENSION = 'extension'
    TRAILER = 'trailer'


# For each: what follows the fields of the head, and what is then repeated.
_PARTS: Mapping[Framing, tuple[str, bytes]] = MappingProxyType(
    {
        Framing.LINE: ('\r\nX-Line: ', _BYTES),
        Framing.FIELDS: ('\r\n', _FIELDS),
        Framing.INTERIM: ('', b'HTTP/1.1 100 Continue\r\n\r\n' * _REPEATS),
        Framing.BODY: ('\r\nConnection: close\r\n\r\n', _BYTES),
        Framing.LENGTH: (f'\r\nContent-Length: {_LENGTH}\r\n\r\n', _BYTES),
        Framing.CHUNKS: (_CHUNKED, b'10000\r\n%b\r\n' % _BYTES),
        Framing.SMALL_CHUNKS: (_CHUNKED, b'1\r\nx\r\n' * _REPEATS),
        Framing.EXTENSION: (f'{_CHUNKED}5;a=', _BYTES),
        Framing.TRAILER: (f'{_CHUNKED}0\r\n', _FIELDS),
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A call, the fields of its answer's head, and what does not end."""

    call_id: str
    server: str
    framing: str
    head: str = ''

    def opening(self) -> bytes:
        """Return what is sent once."""
        framing = Framing(self.framing)
        head = '' if framing is Framing.INTERIM else self.head
        return f'{head}{_PARTS[framing][0]}'.encode()

    def block(self) -> bytes:
        """Return what is repeated."""
        return _PARTS[Framing(self.framing)][1]


def digest_of(call_id: str) -> int:
    """Return a number under 256 that chooses how a call is answered."""
    return hashlib.blake2b(call_id.encode(), digest_size=1).digest()[0]


def hand_over(path: str, order: Order, conn: socket.socket) -> None:
    """Let the process at a path answer on a connection; raise OSError."""
    text = json.dumps(dataclasses.asdict(order)).encode()
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        # It must not wait for a process that sends without end.
        sock.setblocking(False)  # noqa: WPS425
        sock.connect(path)
        socket.send_fds(sock, [text], [conn.fileno()])


class EndlessAnswers:
    """Own the connections that were handed over."""

    def __init__(self, path: str) -> None:
        """Receive orders at a path."""
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self._sock.setblocking(False)  # noqa: WPS425
        self._sock.bind(path)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start to receive."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._sock, self._receive)

    async def close(self) -> None:
        """Close all connections."""
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _receive(self) -> None:
        text, fds, *_ = socket.recv_fds(self._sock, _ORDER_BYTES, 1)
        conn = socket.socket(fileno=fds[0])
        conn.setblocking(False)  # noqa: WPS425
        # What waits in a large buffer would count as taken by the caller.
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BLOCK_BYTES)
        task = asyncio.create_task(_answer(Order(**json.loads(text)), conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _answer(order: Order, conn: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    at = time.monotonic()
    taken = 0
    block = order.block()
    try:
        await loop.sock_sendall(conn, order.opening())
        while True:
            await loop.sock_sendall(conn, block)
            taken += len(block)
    except OSError:
        # The caller has closed the connection.
        conn.close()
    finally:
        conn.close()
        _write(order, at, taken)


def _write(order: Order, at: float, taken: int) -> None:
    row = {
        'call_id': order.call_id,
        'server': order.server,
        'framing': order.framing,
        'at': at,
        'until': time.monotonic(),
        'taken': taken,
    }
    sys.stdout.write(f'{json.dumps(row)}\n')
    sys.stdout.flush()


async def _run(path: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    answers = EndlessAnswers(path)
    answers.start()
    await stop.wait()
    await answers.close()


def main() -> None:
    """Answer without end until a signal to stop."""
    asyncio.run(_run(sys.argv[1]))


if __name__ == '__main__':
    main()
