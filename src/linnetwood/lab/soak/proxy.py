"""Forward connections on loopback, with network faults on command.

Connections between zones share the links between these. On loopback nothing
tells the zone of a caller of a server: each zone is taken in turn.

Each command is a line of JSON on standard input: the forwarded addresses and
the mode, or a link to fill or to lose packets on. The modes are pass, slow
(each chunk is delayed), silent (nothing is forwarded or closed), one-way (what
the client sends is lost) and resets (open connections are reset).
"""

import asyncio
import contextlib
import itertools
import json
import socket
import struct
import sys
from collections.abc import Iterator
from typing import Any

from linnetwood.lab.soak.links import Links, LocalWay, Way
from linnetwood.lab.soak.standstalls import print_stalls

_READ_BYTES = 65536
_BUFFER_BYTES = 262144
_SLOW_DELAY_S = 0.15
_PROBE_INTERVAL_S = 0.02
_RESET = struct.pack('ii', 1, 0)
# The ways to and from a target.
Ways = tuple[Way, Way]


class Forwarder:
    """An address to listen on, and the target to forward to."""

    def __init__(
        self, listen: str, target: str, ways: Iterator[Ways] | None = None
    ) -> None:
        """Start without a fault; each connection takes the next ways."""
        self._ways = ways or itertools.repeat((LocalWay(), LocalWay()))
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
        for one in (writer, target[1]):
            _limit_buffers(one)
        there, back = next(self._ways)
        await asyncio.gather(
            self._forward(reader, target[1], there, to_target=True),
            self._forward(target[0], writer, back, to_target=False),
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
        way: Way,
        *,
        to_target: bool,
    ) -> None:
        try:
            if await self._copy(reader, writer, way, to_target=to_target):
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
        way: Way,
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
            await way.carry(len(chunk))
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


def _limit_buffers(writer: asyncio.StreamWriter) -> None:
    """Keep what waits at a link in its queue, not in the buffers before it."""
    sock = writer.get_extra_info('socket')
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        # The connection may have been reset by now.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, option, _BUFFER_BYTES)


def _ways(
    links: Links, zones: list[str], server_zone: str, callers_zone: str
) -> Iterator[Ways]:
    """Yield the ways to and from a server, for all zones if none is known."""
    for zone in itertools.cycle([callers_zone] if callers_zone else zones):
        yield links.way(zone, server_zone), links.way(server_zone, zone)


class _Proxy:
    """Own the forwarders and the links."""

    def __init__(self, zones: list[str], rows: list[str]) -> None:
        self._links = Links(zones)
        self._filling: set[asyncio.Task[None]] = set()
        self._forwarders: dict[str, Forwarder] = {}
        for row in rows:
            name, listen, target, *between = row.split('=')
            ways = _ways(self._links, zones, *between)
            self._forwarders[name] = Forwarder(listen, target, ways)

    async def start(self) -> None:
        for forwarder in self._forwarders.values():
            await forwarder.start()

    def run_command(self, command: dict[str, Any]) -> None:
        match command:
            case {'fill': [pick, span_s]}:
                filling = self._links.fill(pick, span_s)
                self._filling.add(asyncio.create_task(filling))
            case {'lose': [[source, target], span_s]}:
                until = asyncio.get_running_loop().time() + span_s
                self._links.lose_packets(source, target, until)
            case {'ways': names, 'mode': mode}:
                for name in names:
                    self._forwarders[name].apply_mode(mode)


async def _run(zones: list[str], rows: list[str]) -> None:
    proxy = _Proxy(zones, rows)
    await proxy.start()
    stalls = asyncio.create_task(print_stalls())
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    while line := await reader.readline():
        proxy.run_command(json.loads(line))
    stalls.cancel()


def main() -> None:
    """Forward until standard input ends."""
    zones, *rows = sys.argv[1:]
    asyncio.run(_run(zones.split(','), rows))


if __name__ == '__main__':
    main()
