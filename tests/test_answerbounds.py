"""What one answer may take of the loop, and beside its content."""

import asyncio
import itertools
import unittest

from linnetwood.wire.curldriver import (
    CurlDriver,
    Finish,
    Headers,
    Request,
    Transfer,
)
from tests.test_curldriver import HOST, Server, respond_with

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
COUNT = 20000
SMALL_CHUNKS = CHUNKED + b'1\r\nx\r\n' * COUNT + b'0\r\n\r\n'
# A turn of the loop may hold two turns of one answer.
IN_ONE_TURN = 128


class CountingReceiver:
    """Count pieces and bytes, and pause at the end of a turn."""

    def __init__(self, driver: CurlDriver, *, pauses: bool) -> None:
        self.transfer: Transfer | None = None
        self.pieces = 0
        self.received = 0
        self.finish: Finish | None = None
        self._driver = driver
        self._pauses = pauses

    def head(self, status: int, headers: Headers) -> None:
        """Do nothing."""

    def body(self, piece: bytes) -> None:
        """Count a piece."""
        self.pieces += 1
        self.received += len(piece)
        if self._pauses and self.transfer and not self.pieces % 64:
            self._driver.pause(self.transfer)

    def done(self, finish: Finish) -> None:
        """Record the end."""
        self.finish = finish


class TurnTest(unittest.IsolatedAsyncioTestCase):
    """Receive an answer of many small pieces."""

    async def start(self, *, pauses: bool) -> CountingReceiver:
        """Send a request."""
        server = Server(respond_with(SMALL_CHUNKS))
        self.driver = CurlDriver()
        req = Request(HOST, await server.start(), 'GET', '/', [])
        receiver = CountingReceiver(self.driver, pauses=pauses)
        receiver.transfer = self.driver.begin(req, receiver)
        self.addAsyncCleanup(server.close)
        self.addCleanup(self.driver.close)
        return receiver

    async def test_others_get_their_turn(self) -> None:
        """Guards against an answer in small pieces that holds up the loop."""
        receiver = await self.start(pauses=False)
        while receiver.finish is None:
            before = receiver.pieces
            await asyncio.sleep(0)
            self.assertLessEqual(receiver.pieces - before, IN_ONE_TURN)
        self.assertTrue(receiver.finish.whole)
        self.assertEqual(receiver.received, COUNT)

    async def test_a_pause_outlasts_the_turn(self) -> None:
        """Guards against pieces for a slow caller in the next turn."""
        receiver = await self.start(pauses=True)
        transfer = receiver.transfer
        assert transfer is not None
        while receiver.finish is None:
            await asyncio.sleep(0)
            if transfer.paused:
                before = receiver.pieces
                for _ in itertools.repeat(None, 3):
                    await asyncio.sleep(0)
                self.assertEqual(receiver.pieces, before)
                self.driver.resume(transfer)
        self.assertTrue(receiver.finish.whole)
        self.assertEqual(receiver.received, COUNT)


if __name__ == '__main__':
    unittest.main()
