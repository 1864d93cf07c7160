"""Answers without end, or in tiny pieces, end the request within bounds."""

import asyncio
import math
import unittest
from collections.abc import Awaitable, Callable

from linnetwood.core.errors import OrderError, WeightsError
from linnetwood.platform.weights import PlatformOrigin, ServerEngine
from linnetwood.wire.asking import Answer, SilenceLimits, ask
from linnetwood.wire.curldriver import CurlDriver, Request
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


class TinyPiecesTest(unittest.IsolatedAsyncioTestCase):
    """Each piece costs the same time, whatever its size."""

    async def test_an_answer_in_chunks_of_one_byte(self) -> None:
        """Guards against a server that keeps the event loop busy with chunks.

        All bytes that an answer may have take minutes in such chunks.
        """
        answer = await asked(send_without_end(CHUNKED, BYTE_CHUNK * 1000))
        self.assertEqual(answer.status, 0)
        self.assertLess(len(answer.body), TINY_PIECES_BYTES)
        self.assertRegex(answer.finish.detail, r'^\d+ pieces in \d+ bytes$')

    async def test_a_short_answer_in_chunks_of_one_byte(self) -> None:
        """Guards against sound answers that are refused for their pieces."""
        answer = await asked(
            respond_with(CHUNKED + BYTE_CHUNK * 1000 + b'0\r\n\r\n')
        )
        self.assertEqual((answer.status, answer.body), (200, b'x' * 1000))


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
