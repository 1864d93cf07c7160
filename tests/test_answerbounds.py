"""What one answer may take of the loop, and beside its content."""

import asyncio
import functools
import itertools
import socket
import unittest
from unittest import mock

from linnetwood.calls.directory import Endpoint
from linnetwood.calls.regionpace import RegionPace
from linnetwood.core.sizes import KIB, MIB
from linnetwood.wire.answerbounds import AnswerBounds, Pace
from linnetwood.wire.answerreader import TOO_MUCH_FRAMING
from linnetwood.wire.curldriver import CurlDriver, Transfer
from linnetwood.wire.curlrequest import Finish, Headers, Request
from tests.test_curldriver import (
    HOST,
    WHOLE,
    Server,
    read_request,
    respond_with,
)

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
COUNT = 20000
SMALL_CHUNKS = CHUNKED + b'1\r\nx\r\n' * COUNT + b'0\r\n\r\n'
# An extension of a chunk, which libcurl reads and drops.
ENDLESS_BLOCK = b'x' * 64 * KIB
ENDLESS_COUNT = 16
# What the buffers of a connection may hold, and what is read before it ends.
ENDLESS_SENT_AT_MOST = 16 * MIB
# A turn of the loop may hold two turns of one answer.
IN_ONE_TURN = 128
# What the entries of a zone may read together of long answers.
ZONE_BYTES_PER_S = 500000
# What is read of an answer before its pace applies, and one piece.
FREE_BYTES = 272 * KIB


class GatedPace:
    """Allow as many pieces as a test does."""

    def __init__(self) -> None:
        self.pieces = 0

    @property
    def wait_s(self) -> float:
        """Return a short wait if no piece is allowed."""
        return 0 if self.pieces else 0.001

    def add(self, size: int) -> None:
        """Count a piece."""
        self.pieces -= 1


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

    async def start(
        self,
        *,
        pauses: bool,
        answer: bytes = SMALL_CHUNKS,
        pace: Pace | None = None,
    ) -> CountingReceiver:
        """Send a request."""
        server = Server(respond_with(answer))
        self.driver = CurlDriver()
        req = Request(HOST, await server.start(), 'GET', '/', [], pace=pace)
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

    async def test_a_long_stream_of_short_events(self) -> None:
        """Guards against events of a stream that are taken for framing."""
        chunk = b'9\r\ndata: x\n\n\r\n'
        answer = CHUNKED + chunk * 100000 + b'0\r\n\r\n'
        receiver = await self.start(pauses=False, answer=answer)
        while receiver.finish is None:
            await asyncio.sleep(0)
        self.assertTrue(receiver.finish.whole)

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

    async def test_a_long_answer_from_another_region(self) -> None:
        """Guards against answers that fill the link between two regions."""
        pace = GatedPace()
        body = b'x' * 2 * FREE_BYTES
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        receiver = await self.start(
            pauses=False, answer=head % len(body) + body, pace=pace
        )
        allowed_bytes = FREE_BYTES
        while receiver.finish is None:
            await asyncio.sleep(0)
            self.assertLessEqual(receiver.received, allowed_bytes)
            if not pace.pieces and receiver.received > FREE_BYTES - 32 * KIB:
                pace.pieces = 1
                allowed_bytes += 16 * KIB
        self.assertTrue(receiver.finish.whole)
        self.assertEqual(receiver.received, len(body))


class RefusedPiecesTest(unittest.TestCase):
    """Count what a connection holds while its pieces are not taken."""

    def test_an_answer_that_waits_is_not_framing(self) -> None:
        """Guards against long answers cut off since they wait their turn."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        theirs.sendall(b'x' * 32 * KIB)
        pace = GatedPace()
        paced = AnswerBounds(pace)
        self.assertTrue(paced.add_piece(FREE_BYTES))
        paused = AnswerBounds()
        for _ in range(ENDLESS_COUNT):
            self.assertTrue(paced.may_read(ours.fileno()))
            self.assertFalse(paced.add_piece(16 * KIB))
            self.assertFalse(paced.is_contentless)
            self.assertTrue(paused.may_read(ours.fileno()))
            paused.refuse_piece()
            self.assertFalse(paused.is_contentless)


class RegionPaceTest(unittest.IsolatedAsyncioTestCase):
    """The rate of one entry."""

    async def test_entries_share_the_rate(self) -> None:
        """Guards against entries that fill a link together, or read nothing."""
        for entries, rate in ((2, 250000), (100, 5000)):
            pace = RegionPace('r1', functools.partial(int, entries))
            with mock.patch.object(asyncio.get_running_loop(), 'time') as time:
                time.return_value = 1
                self.assertEqual(pace.wait_s, 0)
                pace.add(rate)
                pace.add(rate)
                self.assertEqual(pace.wait_s, 2)
                time.return_value = 9
                self.assertEqual(pace.wait_s, 0)

    async def test_a_zone_of_any_size(self) -> None:
        """Guards against large zones that fill a link by long answers."""
        for entries, in_zone in ((7, 3), (98, 20), (410, 41)):
            pace = RegionPace('r1', functools.partial(int, entries))
            with mock.patch.object(asyncio.get_running_loop(), 'time') as time:
                time.return_value = 1
                pace.add(ZONE_BYTES_PER_S)
                with self.subTest(entries=entries):
                    self.assertGreaterEqual(pace.wait_s, in_zone)

    async def test_only_other_regions_have_a_pace(self) -> None:
        """Guards against slow answers from the own region, or without one."""
        pace = RegionPace('r1', lambda: 1)
        for region, is_paced in (('r1', False), ('', False), ('r2', True)):
            one = Endpoint('i', 's', 'h', 1, 'z', 1, ready=True, region=region)
            self.assertEqual(pace.pace_of(one) is pace, is_paced)


class ManyEndlessTest(unittest.IsolatedAsyncioTestCase):
    """Receive several answers without content and without an end at once."""

    def setUp(self) -> None:
        self.most_sent = 0

    async def behave(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send the extension of a chunk until the connection is reset."""
        writer.write(CHUNKED + b'5;')
        sent = 0
        while sent < 2 * ENDLESS_SENT_AT_MOST:
            sent += len(ENDLESS_BLOCK)
            self.most_sent = max(self.most_sent, sent)
            writer.write(ENDLESS_BLOCK)
            await writer.drain()

    async def test_each_is_read_for_itself(self) -> None:
        """Guards against reading all of them on at each event of one."""
        server = Server(self.behave)
        self.addAsyncCleanup(server.close)
        driver = CurlDriver()
        self.addCleanup(driver.close)
        req = Request(HOST, await server.start(), 'GET', '/', [])
        receivers = [
            CountingReceiver(driver, pauses=False) for _ in range(ENDLESS_COUNT)
        ]
        for receiver in receivers:
            driver.begin(req, receiver)
        while not all(receiver.finish for receiver in receivers):
            await asyncio.sleep(0)
        for receiver in receivers:
            assert receiver.finish is not None
            self.assertEqual(receiver.finish.detail, TOO_MUCH_FRAMING)
        self.assertLess(self.most_sent, ENDLESS_SENT_AT_MOST)

    async def test_a_kept_connection(self) -> None:
        """Guards against a bound on the first answer of a connection only."""
        server = Server(self.behave_on_reuse)
        self.addAsyncCleanup(server.close)
        driver = CurlDriver()
        self.addCleanup(driver.close)
        port = await server.start()
        req = Request(HOST, port, 'GET', '/', [], keep=True)
        for detail in ('', TOO_MUCH_FRAMING):
            receiver = CountingReceiver(driver, pauses=False)
            driver.begin(req, receiver)
            while receiver.finish is None:
                await asyncio.sleep(0)
            self.assertEqual(receiver.finish.detail, detail)
        self.assertEqual(server.connections, 1)

    async def behave_on_reuse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, and the next one without an end."""
        writer.write(WHOLE)
        await read_request(reader)
        await self.behave(reader, writer)


class FramingTest(unittest.TestCase):
    """Count what arrives beside the content of an answer."""

    def setUp(self) -> None:
        self.bounds = AnswerBounds()
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        self.near = near
        self.far = far

    def reads(self, sent: int, pieces: int, size: int) -> int:
        """Return how many reads are allowed, 1000 at most."""
        for number in range(1000):
            self.far.send(b'x' * sent)
            if not self.bounds.may_read(self.near.fileno()):
                return number
            self.near.recv(sent)
            for _ in itertools.repeat(None, pieces):
                self.bounds.begin_turn()
                self.bounds.add_piece(size)
        return 1000

    def test_bytes_without_content_are_bounded(self) -> None:
        """Guards against framing that is read until the deadline."""
        self.assertLess(self.reads(16 * KIB, 1, 1), 16)

    def test_an_answer_in_small_chunks_is_sound(self) -> None:
        """Guards against a bound that ends streams of short events."""
        # Five bytes frame a chunk of up to 15.
        self.assertEqual(self.reads(15 * 600, 600, 10), 1000)

    def test_a_head_that_arrives_bytewise_is_sound(self) -> None:
        """Guards against a bound on reads that bring no whole line."""
        self.assertEqual(self.reads(1, 0, 0), 1000)


if __name__ == '__main__':
    unittest.main()
