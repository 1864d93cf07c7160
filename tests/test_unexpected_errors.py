"""Unexpected errors: each whole request is answered, and a line says why."""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from linnetwood.calls.attempt import AnswerSink
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.routetable import RouteTable
from linnetwood.core import loops
from linnetwood.core.events import Event
from linnetwood.core.outcomes import ANSWERED, Ending
from tests.direct_calls import GOOD
from tests.test_callserver import CallServerCase, request
from tests.test_curldriver import HOST, respond_with

SECRET = 'text of a private prompt'
# Far longer than any answer here takes.
GUARD_S = 30


class UnexpectedError(Exception):
    """An error that no code expects."""


def fail(*_: object) -> Urgency:
    """Raise an error whose text must not be logged."""
    raise UnexpectedError(SECRET)


class FailingDispatcher:
    """Run calls up to an error."""

    def __init__(self, before: Callable[[AnswerSink], None]) -> None:
        self.before = before

    async def run(
        self, call: DirectCall, sink: AnswerSink, urgency: Urgency
    ) -> Ending:
        """Do what comes before the error."""
        self.before(sink)
        fail()
        return ANSWERED


def begin(sink: AnswerSink) -> None:
    """Begin a streamed answer."""
    sink.begin(200, [])
    sink.send_piece(b'one')


def send_whole(sink: AnswerSink) -> None:
    """Send a whole answer."""
    sink.send_whole(200, [], b'fine')


class UnexpectedErrorsTest(CallServerCase):
    """Calls that fail in each of their steps."""

    async def failed_call(self) -> tuple[bytes, dict[str, object]]:
        """Return all that a caller gets, and the line about the error."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        last = request('/a/x').replace(b'\r\n', b'\r\nConnection: close\r\n', 1)
        with self.assertLogs('linnetwood', 'INFO') as captured:
            writer.write(last)
            async with asyncio.timeout(GUARD_S):
                got = await reader.read()
        writer.close()
        lines = [record.__dict__ for record in captured.records]
        for line in lines:
            self.assertNotIn(SECRET, str(line))
        failed = Event.CALL_FAILED
        found = [line for line in lines if line.get('event') == failed]
        self.assertEqual(len(found), 1)
        self.assertEqual(found[0]['error'], 'UnexpectedError')
        self.assertIn('fail', str(found[0]['places']))
        self.assertEqual(self.delegate.active_calls, 0)
        self.assertEqual(self.delegate.held.total, 0)
        return got, found[0]

    async def test_errors_before_any_attempt_refuse_the_call(self) -> None:
        """Guard against silence towards callers when a step fails."""

        def fail_to_find() -> RouteTable:
            raise UnexpectedError(SECRET)

        for step, failing in (('admit', fail), ('route_table', fail_to_find)):
            with (
                self.subTest(step=step),
                mock.patch.object(self.delegate, step, failing),
            ):
                got, line = await self.failed_call()
                self.assertTrue(got.startswith(b'HTTP/1.1 503 '), got)
                self.assertIn(b'Retry-After: 1.000', got)
                self.assertTrue(got.endswith(b'\r\n\r\ninternal-error'))
                self.assertEqual(line['answer'], 'not-run')
        text = self.metrics.text().decode()
        self.assertIn(
            'linnetwood_calls_failed_total{error="UnexpectedError"} 2.0', text
        )

    async def test_errors_of_a_dispatched_call_claim_no_refusal(self) -> None:
        """Guard against 'not run' for what may have run, and false ends."""
        cases: tuple[tuple[Callable[[AnswerSink], None], str, bytes], ...] = (
            (lambda sink: None, 'unknown', b'HTTP/1.1 502 '),
            (begin, 'cut', b'HTTP/1.1 200 '),
            (send_whole, 'whole', b'HTTP/1.1 200 '),
        )
        for before, expected, status in cases:
            with self.subTest(expected=expected):
                failing = FailingDispatcher(before)
                dispatcher = self.delegate.dispatcher
                with mock.patch.object(dispatcher, 'run', failing.run):
                    got, line = await self.failed_call()
                self.assertTrue(got.startswith(status), got)
                self.assertEqual(line['answer'], expected)
                # The end of a chunked answer.
                self.assertNotIn(b'0\r\n\r\n', got)
                self.assertEqual(got.endswith(b'fine'), expected == 'whole')

    async def test_connection_stays_usable(self) -> None:
        """Guard against a lost connection, on which more calls may wait."""
        await self.serve(respond_with(GOOD))
        admit = self.delegate.admit
        failures = [fail]

        def fail_once(call: DirectCall) -> Urgency | Ending:
            return failures.pop()() if failures else admit(call)

        self.delegate.admit = fail_once
        async with asyncio.timeout(GUARD_S):
            answers = await self.send(request('/a/x'), request('/a/x'))
        self.assertEqual([answer[0] for answer in answers], [503, 200])

    async def test_refusal_that_fails_closes_the_connection(self) -> None:
        """Guard against silence when the refusal itself can't be sent."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        with (
            mock.patch.object(self.delegate, 'admit', fail),
            mock.patch('linnetwood.calls.callserver.refuse', fail),
        ):
            got, _ = await self.failed_call()
        self.assertEqual(got, b'')


class LoopFailuresTest(unittest.TestCase):
    """Errors that no task or callback caught, in any program."""

    def test_each_is_logged(self) -> None:
        """Guard against parts of a process that end without a line."""

        async def work() -> None:
            loop = asyncio.get_running_loop()
            loop.call_soon(fail)
            task = asyncio.create_task(asyncio.sleep(0))
            task.add_done_callback(fail)
            loop.create_future().set_exception(UnexpectedError(SECRET))
            loop.call_exception_handler({'message': 'm' * 500})
            await task
            await asyncio.sleep(0)

        with self.assertLogs('linnetwood', 'WARNING') as captured:
            loops.run(work())
        lines = [record.__dict__ for record in captured.records]
        self.assertEqual(
            [line['event'] for line in lines], [Event.TASK_FAILED] * 4
        )
        errors = [line.get('error') for line in lines]
        self.assertEqual(errors.count('UnexpectedError'), 3)
        for line in lines:
            self.assertNotIn(SECRET, str(line))
            self.assertLess(len(str(line['detail'])), 200)
