"""An endpoint whose answer has no end is given up at a bound, and avoided."""

import asyncio
import socket
from types import SimpleNamespace
from typing import Any
from unittest import mock

from linnetwood.calls.attempt import (
    MAX_ANSWER_BYTES,
    MAX_EVENT_BYTES,
    AnswerStream,
    Attempt,
    AttemptOutcome,
    AttemptResult,
)
from linnetwood.calls.choice import Choice
from linnetwood.calls.heldbytes import HeldBytes, HoldLimits
from linnetwood.calls.routetable import Repeat
from linnetwood.core.outcomes import Outcome
from linnetwood.core.sizes import KIB, MIB
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curlrequest import Request
from tests.direct_calls import (
    SIGNED,
    DirectFixture,
    answer,
    events,
    stream,
)
from tests.test_curldriver import Behaviour, respond_with

PIECE = b'x' * 64 * KIB
CHUNKED = f'HTTP/1.1 200 OK\r\n{SIGNED}Transfer-Encoding: chunked\r\n\r\n'
CLOSING = f'HTTP/1.1 200 OK\r\n{SIGNED}\r\n'
LONG = f'HTTP/1.1 200 OK\r\n{SIGNED}Content-Length: 999999999\r\n\r\n'
LONG_CHUNK = b'%x\r\n%s\r\n' % (len(PIECE), PIECE)
SMALL_CHUNKS = b'1\r\nx\r\n' * 10000
TINY_IN_LONG = b'1;%s\r\nx\r\n' % PIECE
# Far more than a caller that stops reading at a bound has in its buffers.
SENT_AT_MOST = 64 * MIB


class Endless:
    """Answer with bytes that never end, until the caller closes."""

    def __init__(self, head: str, block: bytes) -> None:
        self.sent = 0
        self._head = head.encode()
        self._block = block

    async def behave(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send until the connection is reset."""
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, len(PIECE))
        writer.write(self._head)
        while self.sent < SENT_AT_MOST:
            writer.write(self._block)
            await writer.drain()
            self.sent += len(self._block)


class EndlessAnswersTest(DirectFixture):
    """Run calls at servers, the first of which answers without an end."""

    async def check_given_up(self, head: str, block: bytes) -> None:
        """Expect that the endpoint is reset soon, and avoided then."""
        for streams in (True, False):
            with self.subTest(block=block[:9], streams=streams):
                await self.asyncTearDown()
                await self.asyncSetUp()
                endless = Endless(head, block)
                await self.serve(endless.behave)
                ending, sink = await self.call(Repeat.NEVER, streams=streams)
                self.assertEqual(ending.outcome, Outcome.UNKNOWN)
                self.assertNotEqual(sink.ended, 'whole')
                self.assertLess(endless.sent, SENT_AT_MOST)
                now = asyncio.get_running_loop().time()
                stats = self.chooser.stats_of('i-0')
                self.assertGreater(stats.backoff_until, now)

    async def test_body_without_a_length(self) -> None:
        """Guards against reading at full rate until the call's deadline."""
        await self.check_given_up(CLOSING, PIECE)

    async def test_body_with_a_length(self) -> None:
        """Guards against a stated length that is taken on trust."""
        await self.check_given_up(LONG, PIECE)

    async def test_chunks(self) -> None:
        """Guards against chunks of any size that never end an answer."""
        for block in (LONG_CHUNK, SMALL_CHUNKS):
            await self.check_given_up(CHUNKED, block)

    async def test_bytes_that_are_no_part_of_the_answer(self) -> None:
        """Guards against bytes that libcurl reads and drops by itself."""
        for head, block in ((f'{CHUNKED}5;', PIECE), (CHUNKED, TINY_IN_LONG)):
            await self.check_given_up(head, block)

    async def test_heads_and_trailers(self) -> None:
        """Guards against headers, trailers and interim heads without end."""
        field = b'X-One: a\r\n'
        for head, block in (
            (CLOSING[:-2], field),
            (f'{CHUNKED}0\r\n', field),
            ('', b'HTTP/1.1 100 Continue\r\n\r\n'),
        ):
            await self.check_given_up(head, block * 1000)

    async def test_an_answer_that_is_not_of_the_call(self) -> None:
        """Guards against megabytes over a link that nobody gets."""
        for streams in (True, False):
            await self.asyncTearDown()
            await self.asyncSetUp()
            endless = Endless('HTTP/1.1 200 OK\r\n\r\n', PIECE)
            await self.serve(endless.behave)
            ending, _ = await self.call(Repeat.NEVER, streams=streams)
            self.assertEqual(ending.outcome, Outcome.UNKNOWN)
            self.assertLess(endless.sent, MAX_ANSWER_BYTES)

    async def test_little_is_on_its_way(self) -> None:
        """Guards against megabytes on a link behind the bound of an answer."""
        for streams, bound in (
            (True, MAX_EVENT_BYTES),
            (False, MAX_ANSWER_BYTES),
        ):
            await self.asyncTearDown()
            await self.asyncSetUp()
            endless = Endless(CLOSING, PIECE)
            await self.serve(endless.behave)
            await self.call(Repeat.NEVER, streams=streams)
            with self.subTest(streams=streams):
                self.assertLess(endless.sent, bound + MIB)

    async def test_a_stream_goes_on_elsewhere(self) -> None:
        """Guards against a resumable stream that is given up for good."""
        first = Endless(CLOSING + events(0, 1).decode(), PIECE)
        await self.serve(first.behave, respond_with(stream(events(2, 3))))
        ending, sink = await self.call(Repeat.RESUME, streams=True)
        self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual(sink.received, events(0, 1, 2, 3))

    async def test_a_call_is_no_suspect(self) -> None:
        """Guards against taking an answer that we end for a crash."""
        for streams in (True, False):
            await self.asyncTearDown()
            await self.asyncSetUp()
            await self.serve(Endless(CLOSING, PIECE).behave)
            observer = mock.Mock(wraps=self.dispatcher.crash_observer)
            self.dispatcher.crash_observer = observer
            await self.call(Repeat.NEVER, streams=streams)
            observer.note_lost.assert_not_called()
            observer.note_answered.assert_not_called()

    async def test_the_largest_answer_is_whole(self) -> None:
        """Guards against a bound that cuts answers of the largest size."""
        body = b'y' * MAX_ANSWER_BYTES
        for size, outcome in ((0, Outcome.ANSWERED), (1, Outcome.UNKNOWN)):
            await self.asyncTearDown()
            await self.asyncSetUp()
            sent = answer(f'200 OK\r\n{SIGNED}', body + b'y' * size)
            behave: Behaviour = respond_with(sent)
            await self.serve(behave)
            ending, sink = await self.call(Repeat.NEVER)
            self.assertEqual(ending.outcome, outcome)
            self.assertEqual(sink.received, b'' if size else body)


class EndlessAttemptTest(DirectFixture):
    """Attempts without a connection."""

    def attempt(
        self, *, streams: bool, held: HeldBytes | None = None
    ) -> Attempt:
        """Return an attempt whose answer has begun."""
        attempt = Attempt(
            AnswerStream(mock.Mock(), ''),
            PlatformDialect(),
            'c-1',
            streams=streams,
            clock_now=0,
            held=held,
        )
        self.carrier = mock.Mock()
        attempt.start(self.carrier, Request('h', 1, 'GET', '/', []))
        attempt.head(200, [('X-Server-Signature', 's')])
        return attempt

    async def test_the_connection_is_reset_at_once(self) -> None:
        """Guards against reading on while the call's end is handled."""
        for streams, piece in (
            (True, PIECE),
            (True, b'data: x\n\n' * 1000),
            (False, PIECE),
        ):
            attempt = self.attempt(streams=streams)
            read_bytes = 0
            while not self.carrier.cancel.called:
                attempt.body(piece)
                read_bytes += len(piece)
                self.assertLessEqual(read_bytes, MAX_ANSWER_BYTES + len(PIECE))
            self.assertTrue(attempt.fut.done())

    async def test_long_answers_together(self) -> None:
        """Guards against answers that together exceed an entry's memory."""
        for streams in (True, False):
            held = HeldBytes(HoldLimits(entry=MIB))
            attempts = [
                self.attempt(streams=streams, held=held) for _ in range(5)
            ]
            for _ in range(16):
                for one in attempts:
                    one.body(PIECE)
            with self.subTest(streams=streams):
                self.assertLess(held.answers, 2 * MIB)
                self.assertTrue(any(one.fut.done() for one in attempts))

    async def test_usual_answers_of_a_full_entry(self) -> None:
        """Guards against usual answers that are ended for long ones."""
        held = HeldBytes(HoldLimits(entry=MIB))
        held.answers = 2 * MIB
        attempt = self.attempt(streams=False, held=held)
        attempt.body(PIECE)
        self.assertFalse(attempt.fut.done())

    async def test_an_answer_too_slow_to_reach_a_bound(self) -> None:
        """Guards against an endpoint that uses up the time of all calls."""
        result = AttemptResult(AttemptOutcome.TIMED_OUT, reached=True)
        for size, is_avoided in ((KIB, False), (320 * KIB, True)):
            for streams in (True, False):
                attempt = self.attempt(streams=streams)
                attempt.body(b'x' * size)
                attempt.close()
                await self.serve(respond_with(b''))
                choice = Choice(next(self.directory.all()), 0)
                sent: Any = SimpleNamespace(choice=choice, sent_at=0)
                self.dispatcher.recorder.note_result(
                    mock.Mock(), sent, attempt, result
                )
                stats = self.chooser.stats_of('i-0')
                with self.subTest(size=size, streams=streams):
                    self.assertEqual(stats.backoff_until > 0, is_avoided)
