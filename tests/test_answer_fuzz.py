"""Answers that are cut, mutated or reset at any byte, read through libcurl."""

import asyncio
import contextlib
import dataclasses
import io
import socket
import struct
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from linnetwood.core.loops import SuspendableLoop
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.curlrequest import Finish, Headers, Request
from tests.test_curldriver import HOST, Server

BODY = b'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'
TOTAL_S = 20
# SO_LINGER with a timeout of 0: closing sends a reset.
RESET = struct.pack('ii', 1, 0)
HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: c-1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
UNFRAMED = HEAD + b'Connection: close\r\n\r\n'
FRAMED = (
    HEAD + b'Content-Length: %d\r\n\r\n' % len(BODY) + BODY,
    CHUNKED + b'11\r\n%b\r\n11\r\n%b\r\n0\r\n\r\n' % (BODY[:17], BODY[17:]),
    CHUNKED + b'22;a=b\r\n%b\r\n0\r\nX-End: 1\r\n\r\n' % BODY,
)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
ANSWERS = (*FRAMED, UNFRAMED + BODY, INTERIM + FRAMED[0], INTERIM + FRAMED[1])
EXAMPLES = settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)


@dataclasses.dataclass(slots=True)
class Received:
    """The parts of an answer, in the order in which they came."""

    parts: list[str] = dataclasses.field(default_factory=list)
    octets: bytes = b''
    finish: Finish | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def head(self, status: int, headers: Headers) -> None:
        """Note the head."""
        self.parts.append('head')

    def body(self, piece: bytes) -> None:
        """Keep a piece."""
        self.parts.append('body')
        self.octets += piece

    def done(self, finish: Finish) -> None:
        """Note the end."""
        self.parts.append('done')
        self.finish = finish
        self.ended.set()


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """What a server sends, in pieces, before it closes or resets."""

    octets: bytes
    split: int
    resets: bool

    async def play(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send both pieces, and end the connection."""
        for piece in (self.octets[: self.split], self.octets[self.split :]):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if self.resets:
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


async def _read(sending: Sending) -> Received:
    problems: list[object] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: problems.append(context))
    server = Server(sending.play)
    port = await server.start()
    driver = CurlDriver()
    received = Received()
    req = Request(HOST, port, 'GET', '/', [('Host', 'x')], total_s=TOTAL_S)
    driver.begin(req, received)
    await received.ended.wait()
    # What comes after the end would come in the next turns.
    await asyncio.sleep(0)
    driver.close()
    await server.close()
    if problems:
        raise AssertionError(problems)
    return received


def read(sending: Sending) -> Received:
    """Read an answer; no exception may escape."""
    # One of a callback of libcurl is printed.
    with contextlib.redirect_stderr(io.StringIO()) as printed:
        with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
            received = runner.run(_read(sending))
    if printed.getvalue():
        raise AssertionError(printed.getvalue())
    return received


class AnswerFuzzTest(unittest.TestCase):
    """Read answers of servers that break off, or send what is no answer."""

    def assert_ordered(self, received: Received) -> None:
        """Check that the head comes first, if any, and the end last, once."""
        parts = received.parts
        self.assertEqual(parts.count('done'), 1)
        self.assertEqual(parts[-1], 'done')
        self.assertLessEqual(parts.count('head'), 1)
        if len(parts) > 1:
            self.assertEqual(parts[0], 'head')

    def assert_cut(self, cut: bytes, drawn: st.DataObject) -> None:
        """Check that an answer that ends here does not count as whole."""
        split = drawn.draw(st.integers(0, len(cut)))
        received = read(Sending(cut, split, drawn.draw(st.booleans())))
        self.assert_ordered(received)
        assert received.finish is not None
        self.assertFalse(received.finish.whole)
        self.assertIn(received.octets, BODY)

    @EXAMPLES
    @given(st.sampled_from((HEAD, CHUNKED, UNFRAMED, INTERIM)), st.data())
    def test_cut_in_the_head(self, head: bytes, drawn: st.DataObject) -> None:
        """Guards against half a head that counts as a whole answer."""
        kept = drawn.draw(st.integers(0, len(head) - 1))
        self.assert_cut(head[:kept], drawn)

    @EXAMPLES
    @given(st.sampled_from(FRAMED), st.data())
    def test_cut_in_the_body(self, whole: bytes, drawn: st.DataObject) -> None:
        """Guards against half a body that counts as a whole answer."""
        start = whole.index(b'\r\n\r\n') + 4
        kept = drawn.draw(st.integers(start, len(whole) - 1))
        self.assert_cut(whole[:kept], drawn)

    @EXAMPLES
    @given(st.integers(0, len(BODY)), st.data())
    def test_reset_without_a_length(
        self, kept: int, drawn: st.DataObject
    ) -> None:
        """Guards against a reset that counts as the end of an answer."""
        octets = UNFRAMED + BODY[:kept]
        split = drawn.draw(st.integers(0, len(octets)))
        received = read(Sending(octets, split, resets=True))
        self.assert_ordered(received)
        assert received.finish is not None
        self.assertFalse(received.finish.whole)

    @EXAMPLES
    @given(st.sampled_from(ANSWERS), st.data())
    def test_mutated_at_any_byte(
        self, whole: bytes, drawn: st.DataObject
    ) -> None:
        """Guards against exceptions that escape, and second ends."""
        at = drawn.draw(st.integers(0, len(whole)))
        inserted = drawn.draw(st.binary(max_size=4))
        removed = drawn.draw(st.integers(0, 4))
        octets = whole[:at] + inserted + whole[at + removed :]
        split = drawn.draw(st.integers(0, len(octets)))
        resets = drawn.draw(st.booleans())
        self.assert_ordered(read(Sending(octets, split, resets)))

    @EXAMPLES
    @given(st.binary(max_size=200), st.booleans())
    def test_bytes_that_are_no_answer(
        self, octets: bytes, resets: bool
    ) -> None:
        """Guards against exceptions that escape on any bytes."""
        received = read(Sending(octets, len(octets) // 2, resets))
        self.assert_ordered(received)


if __name__ == '__main__':
    unittest.main()
