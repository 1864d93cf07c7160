"""Datagrams between the processes on the users' platform."""

import asyncio
import socket
from typing import Protocol, cast

from linnetwood.core.errors import CodecError
from linnetwood.core.events import Event, log
from linnetwood.gen.wire.ttypes import News
from linnetwood.wire import codec

Address = tuple[str, int]


class Reader(Protocol):
    """Take in what others send."""

    def heard(self, news: News, source: Address) -> None:
        """Take in one datagram."""


class NewsPort(asyncio.DatagramProtocol):
    """Own the UDP socket of a process."""

    def __init__(self, reader: Reader) -> None:
        """Hand what comes in to the reader."""
        self._reader = reader
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)  # noqa: WPS425
        sock.bind((host, port))
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way to send."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, payload: bytes, addr: Address) -> None:
        """Decode and hand on; bytes that are no message are dropped."""
        try:
            news = codec.decode(News, payload)
        except CodecError as exc:
            log(Event.DATAGRAM_DROPPED, source=addr[0], code=exc.code)
            return
        self._reader.heard(news, addr)

    def error_received(self, exc: Exception) -> None:
        """Go on: a process that is away is met again later."""

    def send(self, news: News, addresses: list[Address]) -> None:
        """Send one message to several processes."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        payload = codec.encode(news)
        for address in addresses:
            transport.sendto(payload, address)
