"""Answers without end, or in tiny pieces, end the request within bounds."""

import asyncio
import itertools
import math
import unittest
from collections.abc import Awaitable, Callable

from linnetwood.core.errors import OrderError, WeightsError
from linnetwood.lab import virtual
from linnetwood.platform.weights import PlatformOrigin, ServerEngine
from linnetwood.wire.answerreader import TOO_MUCH_FRAMING
from linnetwood.wire.asking import Answer, SilenceLimits, ask
from linnetwood.wire.curldriver import CurlDriver, Transfer
from linnetwood.wire.curlrequest import Receiver, Request
from tests.test_curldriver import HOST, Behaviour, Server, respond_with

MAX_BYTES = 1048576
# What may be read before an answer in tiny pieces is abandoned.
TINY_PIECES_BYTES = 65536
LIMITS = SilenceLimits(20, 20)
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
BYTE_CHUNK = b'1\r\nx\r\n'


def send_without_end(head: bytes, block: bytes) -> Behaviour:
    """Return a behaviour that sends a block again and again."""

    async def behave(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head)
        while True:
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(0)

    return behave


async def asked(behave: Behaviour) -> Answer:
    """Send one request, which only silence or size may end."""
    server = Server(behave)
    port = await server.start()
    driver = CurlDriver()
    req = Request(HOST, port, 'GET', '/', [('Host', 'x')])
    answer = await ask(driver, req, MAX_BYTES, LIMITS)
    driver.close()
    await server.close()
    return answer


class TinyPiecesDriver(CurlDriver):
    """Pass on pieces of one byte, as far as an answer may be large."""

    def begin(self, req: Request, receiver: Receiver) -> Transfer:
        """Answer at once."""
        receiver.head(200, [])
        for _ in itertools.repeat(None, MAX_BYTES):
            receiver.body(b'x')
        return Transfer(receiver)


class TinyPiecesTest(unittest.IsolatedAsyncioTestCase):
    """Each piece costs the same time, whatever its size."""

    async def test_an_answer_in_chunks_of_one_byte(self) -> None:
        """Guards against a server that keeps the event loop busy with chunks.

        All bytes that an answer may have take minutes in such chunks.
        """
        answer = await asked(send_without_end(CHUNKED, BYTE_CHUNK * 1000))
        self.assertEqual(answer.status, 0)
        self.assertLess(len(answer.body), TINY_PIECES_BYTES)
        self.assertEqual(answer.finish.detail, TOO_MUCH_FRAMING)

    async def test_a_body_of_one_byte_at_a_time(self) -> None:
        """Guards against tiny pieces that have no framing."""
        answer = await ask(
            TinyPiecesDriver(), Request(HOST, 1, 'GET', '/', []), MAX_BYTES
        )
        self.assertEqual(answer.status, 0)
        self.assertLess(len(answer.body), TINY_PIECES_BYTES)
        self.assertRegex(answer.finish.detail, r'^\d+ pieces in \d+ bytes$')

    async def test_a_short_answer_in_chunks_of_one_byte(self) -> None:
        """Guards against sound answers that are refused for their pieces."""
        answer = await asked(
            respond_with(CHUNKED + BYTE_CHUNK * 1000 + b'0\r\n\r\n')
        )
        self.assertEqual((answer.status, answer.body), (200, b'x' * 1000))


class TricklingDriver(CurlDriver):
    """Answer each request with one piece a second, without end."""

    def __init__(self, piece: bytes) -> None:
        self._piece = piece
        self._task: asyncio.Task[None] | None = None

    def begin(self, req: Request, receiver: Receiver) -> Transfer:
        self._task = asyncio.create_task(self._send(receiver))
        return Transfer(receiver)

    def cancel(self, transfer: Transfer) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _send(self, receiver: Receiver) -> None:
        receiver.head(200, [])
        while True:
            receiver.body(self._piece)
            await asyncio.sleep(1)


class SlowAnswersTest(unittest.TestCase):
    """Answers that go on for as long as their servers want."""

    async def read_for(self, piece: bytes, seconds: float) -> Answer | None:
        """Return the answer, or None if it goes on after this time."""
        req = Request(HOST, 1, 'GET', '/', [])
        asking = ask(TricklingDriver(piece), req, MAX_BYTES, LIMITS)
        try:
            async with asyncio.timeout(seconds):
                return await asking
        except TimeoutError:
            return None

    def test_a_few_bytes_a_second(self) -> None:
        """Guards against a reader that a server holds for hours."""
        answer = virtual.run(self.read_for(b'x', 60))
        assert answer is not None
        self.assertEqual(answer.status, 0)
        self.assertRegex(answer.finish.detail, r'^\d+ bytes in \d+ s$')

    def test_a_narrow_link(self) -> None:
        """Guards against large answers that are read again and again."""
        self.assertIsNone(virtual.run(self.read_for(bytes(1000), 600)))


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A server in trouble may send a body without end."""

    async def asyncSetUp(self) -> None:
        behave = send_without_end(UNFRAMED, bytes(TINY_PIECES_BYTES))
        self.server = Server(behave)
        address = (HOST, await self.server.start())
        self.driver = CurlDriver()
        self.engine = ServerEngine(address, self.driver)
        self.origin = PlatformOrigin(self.driver)
        self.origin.address = address

    async def asyncTearDown(self) -> None:
        self.driver.close()
        await self.server.close()

    async def test_small_answers(self) -> None:
        """Guards against megabytes that are read, and parsed, for a report."""
        requests: tuple[Callable[[], Awaitable[object]], ...] = (
            self.engine.report,
            lambda: self.engine.staged('m'),
            lambda: self.engine.stage('m', 0, b'chunk'),
            lambda: self.engine.activate('m', 1, 0, math.inf),
            lambda: self.origin.manifest('m', 1),
            lambda: self.origin.newest('m'),
        )
        for send in requests:
            with self.assertRaises((OrderError, WeightsError)) as raised:
                await send()
            self.assertIn(f'over {MAX_BYTES} bytes', str(raised.exception))


if __name__ == '__main__':
    unittest.main()
