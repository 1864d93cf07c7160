"""Guard against answers whose head or framing can't be read as HTTP.

A server in trouble sent heads that were spoilt where they tell the length of
the body, in the status, or in a field's name. Callers got them as complete
answers, since libcurl reads numbers, lists and lines by rules of its own.
"""

import asyncio
import dataclasses
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from tornado.httpclient import HTTPRequest

from linnetwood.core.loops import SuspendableLoop
from linnetwood.core.sizes import KIB
from linnetwood.wire.chunkedbody import ChunkedBody
from linnetwood.wire.curldriver import CurlDriver, Transfer
from linnetwood.wire.curlrequest import Finish, Headers, Request
from linnetwood.wire.http import fetch, open_client, open_simple_client
from tests.strict_answers import UnfinishedError, UnreadableError, judge
from tests.test_curldriver import HOST, Server, respond_with

TOTAL_S = 20
RESUME_S = 0.01
LONG_PIECE = b'x' * 16 * KIB
SIGNED = b'X-Attempt-Id: c-1\r\nX-Server-Signature: s\r\n'
OK = b'HTTP/1.1 200 OK\r\n'
BODY = b'0123456789'  # noqa: WPS447
LENGTH = b'Content-Length: 10\r\n'
CODING = b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'a\r\n0123456789\r\n0\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


def with_length(field: bytes) -> bytes:
    """Return an answer whose length is told so."""
    return OK + SIGNED + field + b'\r\n' + BODY


def with_coding(fields: bytes, chunks: bytes = CHUNKS) -> bytes:
    """Return an answer whose body is coded so."""
    return OK + SIGNED + fields + b'\r\n' + chunks


def with_status(line: bytes) -> bytes:
    """Return an answer with this first line."""
    return line + SIGNED + LENGTH + b'\r\n' + BODY


def with_line(line: bytes) -> bytes:
    """Return an answer with one more line in its head."""
    return OK + SIGNED + line + LENGTH + b'\r\n' + BODY


SOUND = (
    with_length(LENGTH),
    with_length(b''),
    with_length(b'content-length:10\r\n'),
    with_length(b'Content-Length: \t 0010 \t\r\n'),
    with_coding(CODING),
    with_coding(b'transfer-encoding:CHUNKED\r\n'),
    with_coding(
        CODING,
        b'5;a;b=c;d="e;f"\r\n01234\r\n5 ; g = h\r\n56789\r\n0\r\n\r\n',
    ),
    with_coding(CODING, b'00a\r\n0123456789\r\n000\r\nX-Sum: 1\r\n\r\n'),
    with_status(b'HTTP/1.1 200 \r\n'),
    with_status(b'HTTP/1.0 200 OK\r\n'),
    with_status(b'HTTP/1.1 599 Own\r\n'),
    with_line(b'X-Odd!#$%&\'*+-.^_`|~: \xe4\t"\r\n'),
    with_line(b'X-Empty:\r\n'),
    INTERIM + with_length(LENGTH),
    b'HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n' + INTERIM + with_coding(CODING),
)
SPOILT = (
    # Where the length is told.
    with_length(b'Content-Length: 10x\r\n'),
    with_length(b'Content-Length: x10\r\n'),
    with_length(b'Content-Length: 1 0\r\n'),
    with_length(b'Content-Length: +10\r\n'),
    with_length(b'Content-Length: -10\r\n'),
    with_length(b'Content-Length: 0x0a\r\n'),
    with_length(b'Content-Length: 10.0\r\n'),
    with_length(b'Content-Length: 1e1\r\n'),
    with_length(b'Content-Length: \r\n'),
    with_length(b'Content-Length: 10,\r\n'),
    with_length(b'Content-Length: 10, 10\r\n'),
    with_length(b'Content-Length: 10, 11\r\n'),
    with_length(b'Content-Length: 10\r\nContent-Length: 11\r\n'),
    with_length(b'Content-Length: 10\r\nContent-Length: 10\r\n'),
    with_length(b'Content-Length: 5\r\nContent-Length: 10\r\n'),
    with_length(b'Content-Length: 99999999999999999999999\r\n'),
    with_length(b'Content-Length: 18446744073709551626\r\n'),
    with_length(b'Content-Length: 10;\r\n'),
    with_length(b'Content-Length: "10"\r\n'),
    with_length(b'Content-Length: \xd9\xa1\xd9\xa0\r\n'),
    with_length(b'Content-Length : 10\r\n'),
    with_length(b'Content-Length\t: 10\r\n'),
    with_length(b' Content-Length: 10\r\n'),
    with_length(b'Content-Length: 1\r\n 0\r\n'),
    with_length(b'Content-Length:\r\n 10\r\n'),
    with_length(b'Content-Length 10\r\n'),
    with_length(b'Content-Length: 10\n'),
    with_length(b'Content-Length: 10\r'),
    # Where the coding is told.
    with_coding(b'Transfer-Encoding: chunkedx\r\n'),
    with_coding(b'Transfer-Encoding: xchunked\r\n'),
    with_coding(b'Transfer-Encoding: chunked,\r\n'),
    with_coding(b'Transfer-Encoding: ,chunked\r\n'),
    with_coding(b'Transfer-Encoding: chunked, chunked\r\n'),
    with_coding(b'Transfer-Encoding: chunked chunked\r\n'),
    with_coding(b'Transfer-Encoding: chunked;q=1\r\n'),
    with_coding(b'Transfer-Encoding: identity\r\n'),
    with_coding(b'Transfer-Encoding: identity, chunked\r\n'),
    with_coding(b'Transfer-Encoding: gzip\r\n'),
    with_coding(b'Transfer-Encoding: gzip, chunked\r\n'),
    with_coding(b'Transfer-Encoding: chunked, gzip\r\n'),
    with_coding(b'Transfer-Encoding: \r\n'),
    with_coding(b'Transfer-Encoding: "chunked"\r\n'),
    with_coding(b'Transfer-Encoding : chunked\r\n'),
    with_coding(b'Transfer-Encoding: chunked\x0b\r\n'),
    with_coding(CODING + CODING),
    with_coding(CODING + b'Transfer-Encoding: gzip\r\n'),
    with_coding(CODING + LENGTH),
    with_coding(LENGTH + CODING),
    with_coding(b'Content-Length: 20\r\n' + CODING),
    b'HTTP/1.0 200 OK\r\n' + SIGNED + CODING + b'\r\n' + CHUNKS,
    # In the size of a chunk, and around it.
    with_coding(CODING, b'ax\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'0xa\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'+a\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b' a\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a \r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a b\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a;\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a;=b\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a;b=\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a;b="c\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a;b\x01\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a,b\r\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a\n0123456789\r\n0\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\n0\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789x\r\n0\r\n\r\n'),
    with_coding(CODING, b'a\r\n01234567890\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n\r\n0\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0x\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0;\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0\r\n\n'),
    with_coding(CODING, b'1000000000000000a\r\n0123456789\r\n0\r\n\r\n'),
    # In a trailer.
    with_coding(CODING, b'a\r\n0123456789\r\n0\r\nX Sum: 1\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0\r\nX-Sum\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0\r\nX-Sum: \x01\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0\r\n X-Sum: 1\r\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0\r\nX-Sum: 1\n\r\n'),
    with_coding(CODING, b'a\r\n0123456789\r\n0\r\nX-Sum: 1\r\n y\r\n\r\n'),
    # In the status.
    with_status(b'HTTP/1.1 000 OK\r\n'),
    with_status(b'HTTP/1.1 099 OK\r\n'),
    with_status(b'HTTP/1.1 20 OK\r\n'),
    with_status(b'HTTP/1.1 2 OK\r\n'),
    with_status(b'HTTP/1.1 2000 OK\r\n'),
    with_status(b'HTTP/1.1 0200 OK\r\n'),
    with_status(b'HTTP/1.1 200x OK\r\n'),
    with_status(b'HTTP/1.1 2x0 OK\r\n'),
    with_status(b'HTTP/1.1 +20 OK\r\n'),
    with_status(b'HTTP/1.1 -20 OK\r\n'),
    with_status(b'HTTP/1.1 20\xb2 OK\r\n'),
    with_status(b'HTTP/1.1 600 OK\r\n'),
    with_status(b'HTTP/1.1 999 OK\r\n'),
    with_status(b'HTTP/1.1  200 OK\r\n'),
    with_status(b'HTTP/1.1\t200 OK\r\n'),
    with_status(b'HTTP/1.1 200\tOK\r\n'),
    with_status(b'HTTP/1.1 200\r\n'),
    with_status(b'HTTP/1.1 200 O\x01K\r\n'),
    with_status(b'HTTP/1.1 200 OK\n'),
    with_status(b' HTTP/1.1 200 OK\r\n'),
    with_status(b'HTTP/1.11 200 OK\r\n'),
    with_status(b'HTTP/2.1 200 OK\r\n'),
    with_status(b'HTTP/1. 200 OK\r\n'),
    with_status(b'HTTP/1,1 200 OK\r\n'),
    with_status(b'HTTP 200 OK\r\n'),
    with_status(b'http/1.1 200 OK\r\n'),
    with_status(b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n'),
    # Lines that are no fields.
    with_line(b'X Odd: 1\r\n'),
    with_line(b'X-Odd : 1\r\n'),
    with_line(b' X-Odd: 1\r\n'),
    with_line(b'\tX-Odd: 1\r\n'),
    with_line(b'X-Odd: 1\r\n  folded\r\n'),
    with_line(b'X\x01Odd: 1\r\n'),
    with_line(b'X\x7fOdd: 1\r\n'),
    with_line(b'X\xe4Odd: 1\r\n'),
    with_line(b'X(Odd): 1\r\n'),
    with_line(b'X\x00Odd: 1\r\n'),
    with_line(b': 1\r\n'),
    with_line(b'X-Odd\r\n'),
    with_line(b'X-Odd: a\x00b\r\n'),
    with_line(b'X-Odd: a\x01b\r\n'),
    with_line(b'X-Odd: a\x7fb\r\n'),
    with_line(b'X-Odd: a\rb\r\n'),
    with_line(b'X-Odd: 1\n'),
    with_line(b'X-Odd: 1\r\r\n'),
    with_line(b'HTTP/1.1 200 OK\r\n'),
    with_line(b'\xff\xfe\x00\x01\r\n'),
    OK + b'HTTP/1.1 201 OK\r\n' + SIGNED + LENGTH + b'\r\n' + BODY,
    OK + b' X-First: 1\r\n' + SIGNED + LENGTH + b'\r\n' + BODY,
    # In an interim head.
    b'HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n' + with_length(LENGTH),
    b'HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n' + with_length(b''),
    b'HTTP/1.1 100 Continue\r\nX-Odd\r\n\r\n' + with_length(LENGTH),
    b'HTTP/1.1 100 Continue\r\n' + CODING + b'\r\n' + with_length(LENGTH),
    b'HTTP/1.1 1000 Continue\r\n\r\n' + with_length(LENGTH),
    b'HTTP/1.1 100\r\n\r\n' + with_length(LENGTH),
    b'HTTP/1.1 100 Continue\n\r\n' + with_length(LENGTH),
    # What has no head at all.
    BODY,
    b'\r\n' + with_length(LENGTH),
)
EXAMPLES = settings(
    max_examples=400,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)


@dataclasses.dataclass
class Received:
    """What a receiver got of one answer."""

    status: int = 0
    headers: Headers = dataclasses.field(default_factory=list)
    octets: bytes = b''
    finish: Finish | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def head(self, status: int, headers: Headers) -> None:
        """Keep the head."""
        self.status = status
        self.headers = headers

    def body(self, piece: bytes) -> None:
        """Keep a piece."""
        self.octets += piece

    def done(self, finish: Finish) -> None:
        """Keep the end."""
        self.finish = finish
        self.ended.set()

    @property
    def whole(self) -> bool:
        """Return whether the answer counts as complete."""
        return self.finish is not None and self.finish.whole


async def receive(octets: bytes, split: int, method: str = 'GET') -> Received:
    """Receive an answer that is sent in two pieces."""

    async def behave(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(octets[:split])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        writer.write(octets[split:])

    server = Server(behave)
    driver = CurlDriver()
    received = Received()
    req = Request(HOST, await server.start(), method, '/', [], total_s=TOTAL_S)
    driver.begin(req, received)
    await received.ended.wait()
    driver.close()
    await server.close()
    return received


def received_by_driver(octets: bytes, split: int = 0) -> Received:
    """Receive an answer on a loop of its own."""
    with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
        return runner.run(receive(octets, split))


def is_readable(octets: bytes) -> bool:
    """Return whether a strict reader has a whole answer."""
    try:
        judge(octets)
    except (UnreadableError, UnfinishedError):
        return False
    return True


class KindsTest(unittest.IsolatedAsyncioTestCase):
    """Read one answer of each kind, sound or spoilt."""

    def test_the_judge(self) -> None:
        """The judge itself tells sound answers from spoilt ones."""
        for octets in SOUND:
            self.assertTrue(is_readable(octets), octets)
        for octets in SPOILT:
            self.assertFalse(is_readable(octets), octets)

    async def test_sound_answers_are_whole(self) -> None:
        """Guards against a reader that refuses what servers may send."""
        for octets in SOUND:
            with self.subTest(octets=octets):
                received = await receive(octets, 0)
                self.assertTrue(received.whole, received.finish)
                self.assertEqual(received.octets, BODY)

    async def test_spoilt_answers_are_not_whole(self) -> None:
        """Guards against bytes that are passed on as an answer."""
        for octets in SPOILT:
            with self.subTest(octets=octets):
                received = await receive(octets, 0)
                self.assertFalse(received.whole, received)

    async def test_answers_without_a_body(self) -> None:
        """Guards against a length that is told of a body that never comes."""
        for method, octets in (
            ('HEAD', OK + SIGNED + LENGTH + b'\r\n'),
            ('HEAD', OK + SIGNED + CODING + b'\r\n'),
            ('GET', b'HTTP/1.1 204 No\r\n' + SIGNED + b'\r\n'),
            ('GET', b'HTTP/1.1 304 Not\r\n' + SIGNED + LENGTH + b'\r\n'),
        ):
            with self.subTest(method=method, octets=octets):
                received = await receive(octets, 0, method)
                self.assertTrue(received.whole, received.finish)
                self.assertEqual(received.octets, b'')


class TrailersTest(unittest.TestCase):
    """Read trailers without an end."""

    def test_trailers_count_as_framing(self) -> None:
        """Guards against a bound that the next sound trailer lifts."""
        chunked = ChunkedBody()
        chunked.feed(b'1\r\nx\r\n0\r\n')
        line = b'X-Sum: ' + b'x' * 4000 + b'\r\n'
        for _ in range(20):
            chunked.feed(line)
        self.assertTrue(chunked.has_excess_framing)
        self.assertFalse(chunked.is_complete)


class PausingReceiver(Received):
    """Pause at the first piece, and go on in a later turn."""

    def pause_with(self, driver: CurlDriver, transfer: Transfer) -> None:
        """Pause this transfer."""
        self.driver = driver
        self.transfer = transfer

    def body(self, piece: bytes) -> None:
        """Keep a piece, and take no more for now."""
        super().body(piece)
        self.driver.pause(self.transfer)
        loop = asyncio.get_running_loop()
        loop.call_later(RESUME_S, self.driver.resume, self.transfer)


class PausedTest(unittest.IsolatedAsyncioTestCase):
    """Read on after a pause."""

    async def test_spoilt_behind_a_pause(self) -> None:
        """Guards against an error that escapes as libcurl passes on bytes."""
        whole = b'4000\r\n' + LONG_PIECE + b'\r\n'
        for chunks, is_whole in (
            (whole * 3 + b'0\r\n\r\n', True),
            (whole * 2 + whole.replace(b'4000', b'400x') + b'0\r\n\r\n', False),
        ):
            server = Server(respond_with(with_coding(CODING, chunks)))
            driver = CurlDriver()
            receiver = PausingReceiver()
            req = Request(HOST, await server.start(), 'GET', '/', [])
            receiver.pause_with(driver, driver.begin(req, receiver))
            await receiver.ended.wait()
            driver.close()
            await server.close()
            with self.subTest(chunks=chunks[-20:]):
                self.assertEqual(receiver.whole, is_whole)


class ChangedAnywhereTest(unittest.TestCase):
    """Change sound answers anywhere, and ask an independent reader."""

    @EXAMPLES
    @given(st.sampled_from(SOUND), st.data())
    def test_one_change(self, sound: bytes, drawn: st.DataObject) -> None:
        """Guards against any change that only libcurl can read."""
        at = drawn.draw(st.integers(0, len(sound)))
        inserted = drawn.draw(
            st.sampled_from(
                (b'', b' ', b'\t', b'\r', b'\n', b'\r\n', b'\0', b'\x7f')
            )
            | st.binary(max_size=3)
        )
        removed = drawn.draw(st.integers(0, 3))
        octets = sound[:at] + inserted + sound[at + removed :]
        split = drawn.draw(st.integers(0, len(octets)))
        received = received_by_driver(octets, split)
        try:
            judged = judge(octets)
        except (UnreadableError, UnfinishedError):
            self.assertFalse(received.whole, octets)
            return
        if received.whole:
            self.assertEqual(received.status, judged.status)
            self.assertEqual(received.octets, judged.body)
            self.assertEqual(received.headers, list(judged.fields))


Opener = Callable[[int], Any]


class ClientsTest(unittest.IsolatedAsyncioTestCase):
    """The clients that read whole answers, on the product's own path."""

    async def answers(
        self, opener: Opener, kinds: tuple[bytes, ...]
    ) -> list[tuple[bytes, Any]]:
        """Return what a client makes of answers."""
        script = list(kinds)

        async def behave(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(script[0])

        server = Server(behave)
        port = await server.start()
        found = []
        while script:
            client = opener(1)
            reply = await fetch(
                client,
                HTTPRequest(
                    f'http://{HOST}:{port}/', decompress_response=False
                ),
            )
            client.close()
            found.append((script.pop(0), reply))
        await server.close()
        return found

    async def test_spoilt_answers(self) -> None:
        """Guards against spoilt answers of stores, origins and engines."""
        for opener in (open_client, open_simple_client):
            for octets, reply in await self.answers(opener, SPOILT):
                with self.subTest(opener=opener.__name__, octets=octets):
                    self.assertEqual(reply.code, 599, reply.headers)

    async def test_sound_answers(self) -> None:
        """Guards against clients that refuse what servers may send."""
        for octets, reply in await self.answers(open_client, SOUND):
            with self.subTest(octets=octets):
                self.assertEqual(reply.body, BODY, reply.error)


if __name__ == '__main__':
    unittest.main()
