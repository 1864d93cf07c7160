"""Send and receive datagrams between processes on the users' platform."""

import asyncio
import socket
from typing import Protocol, cast

from linnetwood.core.errors import CodecError
from linnetwood.core.events import Event, log
from linnetwood.fleet.trafficcounters import TrafficCounters
from linnetwood.gen.wire.ttypes import News
from linnetwood.wire import codec

Address = tuple[str, int]

# Counts of datagrams are logged this often. The log lines are then 0.1% as many
# as the datagrams.
COUNTS_LOGGED_EVERY_S = 10.0


class NewsHandler(Protocol):
    """Handle what other processes send."""

    def handle_news(self, news: News, source: Address) -> None:
        """Handle one datagram from an address."""


class NewsSocket(asyncio.DatagramProtocol):
    """Own the UDP socket of a process."""

    def __init__(self, handler: NewsHandler) -> None:
        """Pass what is received to a handler; `start` opens the socket."""
        self._handler = handler
        self._counters = TrafficCounters()
        self._log_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Bind the socket and begin to count datagrams."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)  # noqa: WPS425
        sock.bind((host, port))
        await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self._log_timer = loop.call_later(
            COUNTS_LOGGED_EVERY_S, self._log_counts
        )

    def close(self) -> None:
        """Stop logging counts and close the socket."""
        if self._log_timer is not None:
            self._log_timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, payload: bytes, addr: Address) -> None:
        """Decode a datagram and pass it on; drop it if it is no message."""
        try:
            news = codec.decode(News, payload)
        except CodecError as exc:
            self._counters.count_received(None, len(payload))
            log(Event.DATAGRAM_DROPPED, source=addr[0], code=exc.code)
            return
        self._counters.count_received(news, len(payload))
        self._handler.handle_news(news, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: an unreachable process is tried again later."""

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
        for direction, kind, count in self._counters.take_counts():
            log(
                Event.TALK_COUNTED,
                direction=direction,
                kind=kind,
                datagrams=count.datagrams,
                bytes=count.byte_count,
                span_s=COUNTS_LOGGED_EVERY_S,
            )
        loop = asyncio.get_running_loop()
        self._log_timer = loop.call_later(
            COUNTS_LOGGED_EVERY_S, self._log_counts
        )
