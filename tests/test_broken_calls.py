"""Calls of the product's own path whose callers leave, or that errors end."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, cast
from unittest import mock

from tornado.netutil import bind_sockets

from linnetwood.calls.admission import Admission, AdmissionRequest
from linnetwood.calls.basehandler import HandlerContext
from linnetwood.calls.callers import MAX_BODY_BYTES, application
from linnetwood.calls.callersockets import CallerServer
from linnetwood.calls.dispatch import AnswerSink, Call
from linnetwood.calls.fairness import QueueLimits
from linnetwood.core.clock import SystemClock
from linnetwood.core.events import Event
from linnetwood.core.metrics import Metric
from linnetwood.core.outcomes import ANSWERED, Code, Ending, not_run, unknown
from linnetwood.core.traces import NoTraces
from linnetwood.gen.wire.ttypes import Head
from tests.clocks import ManualClock
from tests.test_curldriver import HOST

LIMIT_S = 30
OUTCOME = b'\r\nX-Linnetwood-Outcome: '
SECRET = 'text of a private prompt'
CALL = 'GET /services/desk/x HTTP/1.1'
Behaviour = Callable[[Call, AnswerSink], Awaitable[Ending]]


class Scripted:
    """Admit calls when a test says so, and run them as it says."""

    def __init__(self) -> None:
        self.behave: Behaviour = fail
        self.admits = asyncio.Event()
        self.admits.set()
        # Admit a call in the step in which its caller leaves.
        self.admits_gone = False
        # Calls that wait for a slot, that got one, and that gave it back.
        self.waiting = 0
        self.entered = 0
        self.left = 0

    async def enter(self, _: object) -> None:
        """Admit a call."""
        self.waiting += 1
        try:
            await self.admits.wait()
        except asyncio.CancelledError:
            if not self.admits_gone:
                raise
        finally:
            self.waiting -= 1
        self.entered += 1

    def leave(self, call: object, took_s: float) -> None:
        """Count calls that left."""
        self.left += 1

    async def run(self, call: Call, sink: AnswerSink) -> Ending:
        """Run a call as the test says."""
        return await self.behave(call, sink)


async def fail(call: Call, sink: AnswerSink) -> Ending:
    """Fail before an answer."""
    raise KeyError(SECRET)


async def fail_after_head(call: Call, sink: AnswerSink) -> Ending:
    """Fail as the head of an answer is not what it should be."""
    await sink.head(Head(call.call_id, 200, [f'X-One: a\x00{SECRET}']), '')
    return ANSWERED


async def fail_to_admit(request: object) -> None:
    """Fail before the call is admitted."""
    raise KeyError(SECRET)


async def fail_in_answer(call: Call, sink: AnswerSink) -> Ending:
    """Fail after a part of an answer."""
    await sink.head(Head(call.call_id, 200, []), '')
    await sink.body(b'part')
    raise KeyError(SECRET)


class BrokenCallTest(unittest.IsolatedAsyncioTestCase):
    """Send requests over sockets to an entry whose calls fail."""

    async def asyncSetUp(self) -> None:
        self.scripted = Scripted()
        self.metrics = mock.MagicMock()
        scripted = cast(Any, self.scripted)
        self.context = HandlerContext(
            scripted,
            scripted,
            scripted,
            SystemClock(),
            self.metrics,
            60,
            NoTraces(),
        )
        self.server = CallerServer(
            application(self.context, scripted), max_body_size=MAX_BODY_BYTES
        )
        sockets = bind_sockets(0, HOST)
        self.server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()

    async def received(
        self, *lines: str, body: bytes = b'', more: int = 0
    ) -> bytes:
        """Send a request and return what comes until the connection ends.

        `more` is the length that the request states, if not that of the body.
        """
        reader, writer = await asyncio.open_connection(HOST, self.port)
        length = f'Content-Length: {more or len(body)}'
        end = (length, 'Host: h', 'Connection: close', '', '')
        head = '\r\n'.join((*lines, *end))
        writer.write(head.encode('latin1') + body)
        async with asyncio.timeout(LIMIT_S):
            received = await reader.read()
        writer.close()
        return received

    async def test_cut_answer_does_not_look_complete(self) -> None:
        """Guard against a part of an answer that ends like a whole one."""
        self.scripted.behave = fail_in_answer
        received = await self.failed('cut')
        self.assertIn(b'\r\nTransfer-Encoding: chunked\r\n', received)
        self.assertTrue(received.endswith(b'\r\n4\r\npart\r\n'), received)
        self.assertEqual(self.scripted.left, 1)

    async def test_cancelled_call_gets_no_empty_answer(self) -> None:
        """Guard against an empty 200 from a call that was cancelled."""

        async def cancel(call: Call, sink: AnswerSink) -> Ending:
            raise asyncio.CancelledError

        self.scripted.behave = cancel
        self.assertEqual(
            await self.received('GET /services/desk/x HTTP/1.1'), b''
        )

    async def test_errors_before_an_answer(self) -> None:
        """Guard against an end that tells neither "not run" nor "unknown"."""
        for behave in (fail, fail_after_head):
            self.scripted.behave = behave
            with self.subTest(behave=behave.__name__):
                received = await self.failed('unknown')
                self.assertTrue(received.startswith(b'HTTP/1.1 502 '))
                self.assertIn(OUTCOME + b'unknown', received)
                self.assertEqual(
                    self.metrics.count.mock_calls,
                    [
                        mock.call(Metric.CALLS_UNKNOWN),
                        mock.call(Metric.CALLS_FAILED, kind=mock.ANY),
                    ],
                )
            self.metrics.count.reset_mock()
        self.assertEqual(self.scripted.left, 2)

    async def test_errors_before_a_call_is_sent(self) -> None:
        """Guard against "unknown" for a call that no endpoint got."""
        failing = mock.patch.object(self.scripted, 'enter', fail_to_admit)
        for line in (CALL, 'POST /v1/keys?service=desk HTTP/1.1'):
            with self.subTest(line=line), failing:
                received = await self.failed('not-run', line)
                self.assertTrue(received.startswith(b'HTTP/1.1 503 '))
                self.assertIn(OUTCOME + b'not-run', received)
                self.assertIn(b'\r\nRetry-After: 1\r\n', received)
        self.assertEqual(self.scripted.left, 0)

    async def test_each_end_has_its_line(self) -> None:
        """Guard against an unanswered call that no line tells of."""
        call_ids: list[str] = []
        cases = (
            (not_run(Code.NO_ENDPOINT, 'x' * 999), False, Event.CALL_NOT_RUN),
            (unknown(Code.CONNECTION_LOST, 'x'), False, Event.CALL_UNKNOWN),
            (unknown(Code.CONNECTION_LOST, 'x'), True, Event.CALL_CUT),
        )
        for ending, begins, event in cases:

            async def end(call: Call, sink: AnswerSink) -> Ending:
                call_ids.append(call.call_id)
                if begins:
                    await sink.head(Head(call.call_id, 200, []), '')
                    await sink.body(b'part')
                return ending

            self.scripted.behave = end
            with (
                self.subTest(event=event),
                self.assertLogs('linnetwood', 'INFO') as captured,
            ):
                await self.received(CALL)
            line: Any = captured.records[-1]
            found = (line.event, line.code, line.call)
            self.assertEqual(found, (event, ending.code, call_ids[-1]))
            self.assertEqual(line.detail, ending.detail[:120])

    async def test_invalid_calls_have_a_line(self) -> None:
        """Guard against refusals that nobody can find in the log."""
        for lines, code in (
            (('POST /v1/completions HTTP/1.1',), 'bad-request'),
            (
                ('GET /services/desk/x HTTP/1.1', 'X-Linnetwood-Key: x'),
                'key-malformed',
            ),
        ):
            with self.assertLogs('linnetwood', 'INFO') as captured:
                received = await self.received(*lines)
            line = captured.records[-1].__dict__
            with self.subTest(code=code):
                self.assertIn(b' 400 ', received)
                self.assertEqual(line['event'], Event.CALL_NOT_RUN)
                self.assertEqual(line['code'], code)

    async def test_forms_are_not_read(self) -> None:
        """Guard against a refusal of bodies that only the service reads."""
        got: list[bytes] = []

        async def take(call: Call, sink: AnswerSink) -> Ending:
            got.append(call.body)
            await sink.head(Head(call.call_id, 200, []), '')
            return ANSWERED

        self.scripted.behave = take
        urlencoded = 'Content-Type: application/x-www-form-urlencoded'
        multipart = 'Content-Type: multipart/form-data'
        cases = (
            (b'a&' * 1500, (urlencoded,)),
            (b'zipped', (urlencoded, 'Content-Encoding: gzip')),
            (b'no part', (multipart,)),
            (b'no part', (f'{multipart}; boundary=b',)),
            (b'z' * 200000, ()),
            (b'', ()),
        )
        for body, headers in cases:
            with self.subTest(body=body[:9], headers=headers):
                lines = ('POST /services/desk/x HTTP/1.1', *headers)
                received = await self.received(*lines, body=body)
                self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received)
                self.assertEqual(got.pop(), body)

    async def test_too_long_body(self) -> None:
        """Guard against a body that is held beyond the limit."""
        body = bytes(MAX_BODY_BYTES + 1)
        lines = ('POST /services/desk/x HTTP/1.1',)
        received = await self.received(*lines, body=body[:10], more=len(body))
        self.assertTrue(received.startswith(b'HTTP/1.1 400 '), received)
        self.assertEqual(self.scripted.entered, 0)

    async def test_errors_of_the_library_stay(self) -> None:
        """Guard against "not run, come again" for what is never allowed."""
        received = await self.received('PUT /v1/keys HTTP/1.1')
        self.assertTrue(received.startswith(b'HTTP/1.1 405 '))

    async def failed(self, answer: str, line: str = CALL) -> bytes:
        """Return what the caller of a failing call gets."""
        with (
            self.assertLogs('linnetwood', 'INFO') as captured,
            self.assertNoLogs('tornado.application'),
        ):
            received = await self.received(line)
        lines = [record.__dict__ for record in captured.records]
        self.assertNotIn(SECRET, f'{lines}{received!r}')
        failed = [one for one in lines if one['event'] == Event.CALL_FAILED]
        self.assertEqual([one['answer'] for one in failed], [answer])
        return received

    async def test_caller_leaves_while_its_call_waits(self) -> None:
        """Guard against a call that runs after its caller has left."""
        for admits_gone in (False, True):
            with self.subTest(admits_gone=admits_gone):
                self.scripted.admits_gone = admits_gone
                line = await self.line_of_gone_caller()
                self.assertEqual(line.code, 'caller-gone')
                self.assertEqual(self.scripted.entered, int(admits_gone))
                self.assertEqual(self.scripted.left, int(admits_gone))

    async def line_of_gone_caller(self) -> Any:
        """Leave while a call waits, and return what is logged first."""
        self.scripted.admits.clear()
        _, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b'GET /services/desk/x HTTP/1.1\r\nHost: h\r\n\r\n')
        await self.until(lambda: self.scripted.waiting == 1)
        with self.assertLogs('linnetwood', 'INFO') as captured:
            writer.close()
            await self.until(lambda: bool(captured.records))
        return captured.records[0]

    async def until(self, happened: Callable[[], bool]) -> None:
        """Wait for something that must happen."""
        async with asyncio.timeout(LIMIT_S):
            while not happened():
                await asyncio.sleep(0.01)


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    """Calls that leave the queue of a target with one slot."""

    async def test_slot_of_a_call_that_leaves(self) -> None:
        """Guard against a slot that is lost with the call that got it."""
        for is_granted in (False, True):
            with self.subTest(is_granted=is_granted):
                gate = Admission(QueueLimits(), lambda _: 1, ManualClock())
                call = AdmissionRequest('desk', '', 200)
                self.assertIsNone(await gate.enter(call))
                waiting = asyncio.create_task(gate.enter(call))
                await asyncio.sleep(0)
                if is_granted:
                    gate.leave(call, 1)
                waiting.cancel()
                await asyncio.wait([waiting])
                self.assertTrue(waiting.cancelled())
                if not is_granted:
                    gate.leave(call, 1)
                self.assertEqual(gate.in_flight, 0)
                self.assertIsNone(await gate.enter(call))


if __name__ == '__main__':
    unittest.main()
