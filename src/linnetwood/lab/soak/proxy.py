"""Forward connections on loopback, with network faults on command.

Each command is a line of JSON on standard input: the forwarded addresses and
the mode. The modes are pass, slow (each piece is delayed), silent (nothing is
forwarded or closed), one-way (what the client sends is lost) and resets (open
connections are reset).
"""

import asyncio
import json
import socket
import struct
import sys
from typing import Any

_PIECE = 65536
_SLOW_S = 0.15
_LOOK_S = 0.02
_RESET = struct.pack('ii', 1, 0)


class Way:
    """An address to listen on, and the target to forward to."""

    def __init__(self, listen: str, target: str) -> None:
        """Start without a fault."""
        self.mode = 'pass'
        self._listen = _address(listen)
        self._target = _address(target)
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._looking: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen."""
        host, port = self._listen
        self._server = await asyncio.start_server(self._carry, host, port)

    def trouble(self, mode: str) -> None:
        """Set the mode; connections that were silenced stay silent."""
        self.mode = mode
        if mode == 'resets':
            for writer in tuple(self._open):
                _reset(writer)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            there = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            self._refuse()
            return
        self._open |= {writer, there[1]}
        await asyncio.gather(
            self._pass_on(reader, there[1], outward=True),
            self._pass_on(there[0], writer, outward=False),
        )
        self._open -= {writer, there[1]}

    def _refuse(self) -> None:
        """Refuse connections while the target refuses them."""
        if self._server is not None:
            self._server.close()
            self._server = None
            self._looking = asyncio.create_task(self._look())

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(_LOOK_S)
            try:
                there = await asyncio.open_connection(*self._target)
            except OSError:
                continue
            there[1].close()
            await self.start()
            return

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        outward: bool,
    ) -> None:
        try:
            await self._pour(reader, writer, outward=outward)
        except OSError:
            _reset(writer)
        finally:
            writer.close()

    async def _pour(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        outward: bool,
    ) -> None:
        silenced = False
        while piece := await reader.read(_PIECE):
            silenced = silenced or self.mode == 'silent'
            if silenced or (outward and self.mode == 'one-way'):
                continue
            if self.mode == 'slow':
                await asyncio.sleep(_SLOW_S)
            writer.write(piece)
            await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return host, int(port)


async def _run(pairs: list[str]) -> None:
    ways = {}
    for pair in pairs:
        name, listen, target = pair.split('=')
        ways[name] = Way(listen, target)
        await ways[name].start()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    while line := await reader.readline():
        said: dict[str, Any] = json.loads(line)
        for name in said['ways']:
            ways[name].trouble(said['mode'])


def main() -> None:
    """Forward until standard input ends."""
    asyncio.run(_run(sys.argv[1:]))


if __name__ == '__main__':
    main()
