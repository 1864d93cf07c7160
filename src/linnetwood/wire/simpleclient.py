"""Tornado's own HTTP client, with answers that are read strictly."""

import errno
import socket
from typing import Any

from tornado.iostream import IOStream
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from linnetwood.wire.answerreader import HEAD_TOO_LARGE, AnswerReader

# Of one line of a head.
_MAX_LINE_BYTES = 65536


class RawAnswer:
    """The one answer of a connection, as its bytes arrive."""

    __slots__ = ('_line', '_reader', 'fault')

    def __init__(self) -> None:
        """Start before the first byte."""
        self.fault = ''
        self._reader = AnswerReader()
        # A line of the head that is not complete yet.
        self._line = b''

    def feed(self, octets: bytes) -> None:
        """Read the next bytes; `fault` says what is wrong with them."""
        start = 0
        while self._reader.head.is_open and start < len(octets):
            if self.fault:
                return
            start = self._feed_line(octets, start)
        if start < len(octets):
            self._reader.add_body(octets[start:])
        self.fault = self.fault or self._reader.fault

    def _feed_line(self, octets: bytes, start: int) -> int:
        end = octets.find(b'\n', start) + 1 or len(octets)
        self._line += octets[start:end]
        if self._line.endswith(b'\n'):
            self._reader.add_line(self._line)
            self._line = b''
            self.fault = self._reader.fault
        elif len(self._line) > _MAX_LINE_BYTES:
            self.fault = HEAD_TOO_LARGE
        return end


class StrictStream(IOStream):
    """A connection that ends at the first fault of its answer."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start before the answer."""
        super().__init__(*args, **kwargs)
        self._answer = RawAnswer()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read bytes, and check them."""
        size = super().read_from_fd(buf)
        if size:
            self._answer.feed(bytes(memoryview(buf)[:size]))
        if self._answer.fault:
            raise ConnectionResetError(errno.ECONNRESET, self._answer.fault)
        return size


class StrictTcpClient(TCPClient):
    """Connect with streams that check what they read.

    Over TLS tornado reads by a stream of its own, which checks nothing.
    """

    def _create_stream(
        self,
        max_buffer_size: int | None,
        af: socket.AddressFamily,
        addr: tuple[Any, ...],
        source_ip: str | None = None,
        source_port: int | None = None,
    ) -> Any:
        # No request names a source.
        stream = StrictStream(
            socket.socket(af), max_buffer_size=max_buffer_size
        )
        return stream, stream.connect(addr)


class StrictSimpleClient(SimpleAsyncHTTPClient):
    """Send each request on a connection of its own."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Connect by streams that check what they read."""
        super().initialize(*args, **kwargs)
        self.tcp_client.close()
        self.tcp_client = StrictTcpClient()
