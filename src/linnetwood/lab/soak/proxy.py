"""Forward connections on loopback, with network faults on command.

Each command is a line of JSON on standard input: the forwarded addresses and
the mode. The modes are pass, slow (each chunk is delayed), silent (nothing is
forwarded or closed), one-way (what the client sends is lost) and resets (open
connections are reset).
"""

import asyncio
import json
import socket
import struct
import sys
from typing import Any

_READ_BYTES = 65536
_SLOW_DELAY_S = 0.15
_PROBE_INTERVAL_S = 0.02
_RESET = struct.pack('ii', 1, 0)


class Forwarder:
    """An address to listen on, and the target to forward to."""

    def __init__(self, listen: str, target: str) -> None:
        """Start without a fault."""
        self.mode = 'pass'
        self._listen = _address(listen)
        self._target = _address(target)
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._probe_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen."""
        host, port = self._listen
        self._server = await asyncio.start_server(
            self._forward_connection, host, port
        )

    def close(self) -> None:
        """Stop listening, and reset open connections."""
        if self._probe_task is not None:
            self._probe_task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._open):
            _reset(writer)

    def apply_mode(self, mode: str) -> None:
        """Set the mode; connections that were silenced stay silent."""
        self.mode = mode
        if mode == 'resets':
            for writer in tuple(self._open):
                _reset(writer)

    async def _forward_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            target = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            self._refuse()
            return
        self._open |= {writer, target[1]}
        await asyncio.gather(
            self._forward(reader, target[1], to_target=True),
            self._forward(target[0], writer, to_target=False),
        )
        self._open -= {writer, target[1]}

    def _refuse(self) -> None:
        """Refuse connections until the target accepts them again."""
        if self._server is not None:
            self._server.close()
            self._server = None
            self._probe_task = asyncio.create_task(self._probe_target())

    async def _probe_target(self) -> None:
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_S)
            try:
                target = await asyncio.open_connection(*self._target)
            except OSError:
                continue
            target[1].close()
            await self.start()
            return

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_target: bool,
    ) -> None:
        try:
            if await self._copy(reader, writer, to_target=to_target):
                # The end of a silenced connection isn't forwarded.
                await writer.wait_closed()
        except OSError:
            _reset(writer)
        finally:
            writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_target: bool,
    ) -> bool:
        """Forward until the source closes; return whether it was silenced."""
        is_silenced = False
        while chunk := await reader.read(_READ_BYTES):
            is_silenced = is_silenced or self.mode == 'silent'
            if is_silenced or (to_target and self.mode == 'one-way'):
                continue
            if self.mode == 'slow':
                await asyncio.sleep(_SLOW_DELAY_S)
            writer.write(chunk)
            await writer.drain()
        return is_silenced


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return host, int(port)


async def _run(pairs: list[str]) -> None:
    forwarders = {}
    for pair in pairs:
        name, listen, target = pair.split('=')
        forwarders[name] = Forwarder(listen, target)
        await forwarders[name].start()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    while line := await reader.readline():
        command: dict[str, Any] = json.loads(line)
        for name in command['ways']:
            forwarders[name].apply_mode(command['mode'])


def main() -> None:
    """Forward until standard input ends."""
    asyncio.run(_run(sys.argv[1:]))


if __name__ == '__main__':
    main()
