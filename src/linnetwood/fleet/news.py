"""Datagrams between the processes on the users' platform."""

import asyncio
import socket
from typing import Protocol, cast

from linnetwood.core.errors import CodecError
from linnetwood.core.events import Event, log
from linnetwood.fleet.trafficcounters import TrafficCounters
from linnetwood.gen.wire.ttypes import News
from linnetwood.wire import codec

Address = tuple[str, int]

# A line on what was said and heard is logged this often: 0.1% of the datagrams.
COUNTS_LOGGED_EVERY_S = 10.0


class NewsHandler(Protocol):
    """Take in what others send."""

    def handle_news(self, news: News, source: Address) -> None:
        """Take in one datagram."""


class NewsSocket(asyncio.DatagramProtocol):
    """Own the UDP socket of a process."""

    def __init__(self, reader: NewsHandler) -> None:
        """Hand what comes in to the reader."""
        self._handler = reader
        self._counters = TrafficCounters()
        self._log_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)  # noqa: WPS425
        sock.bind((host, port))
        await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self._log_timer = loop.call_later(
            COUNTS_LOGGED_EVERY_S, self._log_counts
        )

    def close(self) -> None:
        """Stop listening."""
        if self._log_timer is not None:
            self._log_timer.cancel()
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
            self._counters.count_received(None, len(payload))
            log(Event.DATAGRAM_DROPPED, source=addr[0], code=exc.code)
            return
        self._counters.count_received(news, len(payload))
        self._handler.handle_news(news, addr)

    def error_received(self, exc: Exception) -> None:
        """Go on: a process that is away is met again later."""

    def send(self, news: News, addresses: list[Address]) -> None:
        """Send one message to several processes."""
        transport = self._transport
        if transport is None or transport.is_closing() or not addresses:
            return
        payload = codec.encode(news)
        self._counters.count_sent(news, len(payload), len(addresses))
        for address in addresses:
            transport.sendto(payload, address)

    def _log_counts(self) -> None:
        for direction, kind, flow in self._counters.take_counts():
            log(
                Event.TALK_COUNTED,
                direction=direction,
                kind=kind,
                datagrams=flow.datagrams,
                bytes=flow.byte_count,
                span_s=COUNTS_LOGGED_EVERY_S,
            )
        loop = asyncio.get_running_loop()
        self._log_timer = loop.call_later(
            COUNTS_LOGGED_EVERY_S, self._log_counts
        )
