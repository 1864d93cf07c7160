"""Direct calls at endpoints: complete answers, true refusals, safe retries."""

import asyncio
import dataclasses
import time
import unittest
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

import pycurl

from linnetwood.calls.attempt import AnswerSink, AttemptOutcome, AttemptResult
from linnetwood.calls.choice import Choice, Chooser
from linnetwood.calls.crashcauses import CrashCauses
from linnetwood.calls.crashes import CrashHistory, CrashRecord
from linnetwood.calls.crashwatch import CrashWatch
from linnetwood.calls.dialect import CallHead, OutgoingCall
from linnetwood.calls.direct import DirectDispatcher, RetryLimits
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import Report
from linnetwood.calls.prioritylevels import rank_priorities
from linnetwood.calls.routetable import Repeat, Route, Service, Share
from linnetwood.core.clock import SystemClock
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Code, Ending, Outcome
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver, Transfer
from linnetwood.wire.curlrequest import Headers, Receiver, Request
from linnetwood.wire.probing import refuses_connections
from tests.test_curldriver import HOST, Behaviour, Server, reset, respond_with
from tests.test_directory import PROFILE

ID = 'X-Attempt-Id: c-1\r\n'
SIGNED = f'{ID}X-Server-Signature: s-1\r\n'


def answer(head: str, body: bytes, length: int | None = None) -> bytes:
    """Return an HTTP answer with a length."""
    size = len(body) if length is None else length
    text = f'HTTP/1.1 {head}Content-Length: {size}\r\n\r\n'
    return text.encode() + body


DESK = Service('desk', 10)
CALL = 'c0' * 12
PART = 'f0' * 12
GOOD = answer(f'200 OK\r\n{SIGNED}', b'fine')
FULL = answer(f'503 No\r\n{ID}X-Not-Executed: 1\r\n', b'')
ELSEWHERE = answer('421 No\r\nX-Instance-Id: i-9\r\n', b'')
NOT_FOUND = answer(f'404 No\r\n{SIGNED}', b'no')
FAILED = answer(f'500 Bad\r\n{SIGNED}', b'oops')


async def never_answer(
    reader: asyncio.StreamReader, _: asyncio.StreamWriter
) -> None:
    """Wait until the caller closes the connection."""
    await reader.read()


class AnswerFromSecond:
    """Never answer the first request; answer later ones, or none."""

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.seen = 0

    async def behave(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Behave as an endpoint does for a request."""
        self.seen += 1
        if self.answers and self.seen > 1:
            writer.write(GOOD)
            await writer.drain()
        else:
            await never_answer(reader, writer)


class RecordingSink(AnswerSink):
    """Record the answer that a caller is sent."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.received = b''
        self.ended = ''

    def begin(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers

    def send_piece(self, piece: bytes) -> None:
        self.received += piece

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        self.begin(status, headers)
        self.received = body
        self.ended = 'whole'

    def finish(self) -> None:
        self.ended = 'whole'

    def abort(self) -> None:
        self.ended = 'aborted'


class HeadlessSink(RecordingSink):
    """Refuse every head, as the library does with some headers."""

    def begin(self, status: int, headers: Headers) -> None:
        raise ValueError('unsafe header')


def events(*numbers: int) -> bytes:
    """Return whole events of a stream."""
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


def stream(*parts: bytes, ends: bool = True) -> bytes:
    """Return a chunked stream; without an end it is truncated."""
    head = f'HTTP/1.1 200 OK\r\n{SIGNED}Transfer-Encoding: chunked\r\n\r\n'
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    end = b'0\r\n\r\n' if ends else b''
    return head.encode() + chunks + end


async def accepts_connections(endpoint: Endpoint) -> bool:
    """Return whether an endpoint proves to run by a connection."""
    return not await refuses_connections(endpoint.host, endpoint.port)


def _was_sent(transfer: Transfer) -> bool:
    handle = transfer.handle
    return handle is None or bool(handle.getinfo(pycurl.REQUEST_SIZE))


class DirectFixture(unittest.IsolatedAsyncioTestCase):
    """A dispatcher, and endpoints that tests choose."""

    async def asyncSetUp(self) -> None:
        self.servers: list[Server] = []
        self.sink = RecordingSink()
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(1))
        self.driver = CurlDriver()
        self.dispatcher = DirectDispatcher(
            self.chooser,
            self.driver,
            PlatformDialect(),
            WantedVersions(8),
            'z1',
            NoMetrics(),
        )

    async def asyncTearDown(self) -> None:
        self.driver.close()
        for server in self.servers:
            await server.close()

    async def serve(self, *behaviours: Behaviour) -> None:
        """Start endpoints that are chosen in this order."""
        for number, behave in enumerate(behaviours):
            server = Server(behave)
            self.servers.append(server)
            port = await server.start()
            name = f'i-{number}'
            self.directory.update(
                Endpoint(name, 'desk', HOST, port, 'z1', 6, ready=True),
            )
            for _ in range(number):
                self.chooser.stats_of(name).record_sent()

    def watch_crashes(self) -> None:
        """Check endpoints whose answers broke off."""
        self.crashes = CrashHistory()
        self.dispatcher.crash_observer = CrashWatch(
            self.crashes,
            CrashCauses(self.crashes, Random(1), lambda: 1),
            self.directory,
            SystemClock(),
            refuses_connections,
            accepts_connections,
            mock.Mock(),
        )

    async def call(
        self,
        repeat: Repeat,
        *,
        streams: bool = False,
        attempts: int = 2,
        wait_s: float = 20,
        service: Service = DESK,
    ) -> tuple[Ending, RecordingSink]:
        """Run one call."""
        route = Route(
            'r',
            'h',
            '/',
            repeat,
            streams,
            timeout_s=wait_s,
            target_s=0.4,
            gap_s=0.4,
            attempts=attempts,
            priority=1,
            public=True,
            shares=(Share('desk', 1),),
        )
        now = asyncio.get_running_loop().time()
        call = DirectCall(
            CallHead(call_id='c-1'),
            route,
            service,
            None,
            'POST',
            '/x',
            [('Host', 'h'), ('X-Attempt-Id', 'c-1')],
            b'body',
            now,
            now + wait_s,
            fingerprint=CALL,
            part_fingerprints=(PART,),
        )
        return await self.dispatcher.run(call, self.sink), self.sink

    def runs(self) -> int:
        """Count the requests that reached any endpoint."""
        return sum(len(server.requests) for server in self.servers)


class DirectTest(DirectFixture):
    """Run calls at test servers, the first of which may fail."""

    async def test_outcomes_of_calls_that_may_not_be_repeated(self) -> None:
        """Only proof that a call did not run leads to a second endpoint."""
        late = answer(f'200 OK\r\n{SIGNED}', b'fin', length=4)
        other = GOOD.replace(b'c-1', b'c-2')
        unsigned = answer(f'200 OK\r\n{ID}', b'fine')
        cases: tuple[tuple[str, Behaviour, Outcome, int], ...] = (
            ('good', respond_with(GOOD), Outcome.ANSWERED, 1),
            ('full', respond_with(FULL), Outcome.ANSWERED, 2),
            ('elsewhere', respond_with(ELSEWHERE), Outcome.ANSWERED, 2),
            ('failed', respond_with(FAILED), Outcome.ANSWERED, 1),
            ('reset', reset, Outcome.UNKNOWN, 1),
            ('closed', respond_with(b''), Outcome.UNKNOWN, 1),
            ('half', respond_with(late), Outcome.UNKNOWN, 1),
            ('of another call', respond_with(other), Outcome.UNKNOWN, 1),
            ('unsigned', respond_with(unsigned), Outcome.UNKNOWN, 1),
        )
        for name, first, outcome, runs in cases:
            with self.subTest(name=name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.serve(first, respond_with(GOOD))
                ending, sink = await self.call(Repeat.NEVER)
                self.assertEqual((ending.outcome, self.runs()), (outcome, runs))
                if outcome is Outcome.UNKNOWN:
                    self.assertEqual(sink.received, b'')

    async def test_engines_are_told_the_priority(self) -> None:
        """Calls of a service with levels must not be equal at its engine."""
        levels = rank_priorities((), (0, 1))
        leveled = Service('desk', 10, PROFILE, levels=levels)
        cases = ((Service('desk', 10, PROFILE), False), (leveled, True))
        for service, is_told in cases:
            await self.serve(respond_with(GOOD))
            await self.call(Repeat.NEVER, service=service)
            request = self.servers[-1].requests[0]
            self.assertEqual(b'X-Request-Priority: 7' in request, is_told)
            self.assertEqual(b'X-Request-Priority' in request, is_told)

    async def test_restart_is_no_proof_that_a_call_did_not_run(self) -> None:
        """After a restart under the same id, only repeatable calls go on."""

        async def crash(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            # It is listed again before the connection of the call is reset.
            self.directory.update(dataclasses.replace(listed, born=5))
            await reset(reader, writer)

        await self.serve(crash)
        listed = self.directory.eligible('desk', 0)[0]
        for repeat, runs in ((Repeat.NEVER, 1), (Repeat.MAY, 2)):
            with self.subTest(repeat=repeat):
                self.servers[0].requests.clear()
                self.directory.update(listed)
                ending, _ = await self.call(repeat)
                self.assertEqual(ending.outcome, Outcome.UNKNOWN)
                self.assertEqual(self.runs(), runs)

    async def test_repeatable_calls_are_retried(self) -> None:
        """Any failure leads to a second endpoint, whose answer is delivered."""
        cases: tuple[tuple[str, Behaviour], ...] = (
            ('failed', respond_with(FAILED)),
            ('reset', reset),
            ('unsigned', respond_with(answer(f'200 OK\r\n{ID}', b'bad'))),
        )
        for name, first in cases:
            with self.subTest(name=name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.serve(first, respond_with(GOOD))
                ending, sink = await self.call(Repeat.MAY)
                self.assertEqual(ending.outcome, Outcome.ANSWERED)
                self.assertEqual((sink.status, sink.received), (200, b'fine'))

    async def call_frozen(self, turns: int) -> tuple[bool, Ending]:
        """Freeze past the deadline; return also whether it was sent before."""
        begun: list[Transfer] = []
        begin = self.driver.begin

        def record(req: Request, receiver: Receiver) -> Transfer:
            begun.append(begin(req, receiver))
            return begun[-1]

        with mock.patch.object(self.driver, 'begin', record):
            calling = asyncio.create_task(self.call(Repeat.NEVER, wait_s=0.15))
            for _ in range(turns):
                await asyncio.sleep(0)
            sent = any(map(_was_sent, begun))
            time.sleep(0.3)
            return sent, (await calling)[0]

    async def test_a_freeze_that_outlasts_the_deadline(self) -> None:
        """Guards against calls sent after a freeze to endpoints for nobody.

        The entry freezes after any number of turns of the loop, also while it
        connects. What was not sent by then is truly not run, and its endpoint
        is not to blame.
        """
        outcomes = set()
        for turns in range(1, 9):
            with self.subTest(turns=turns):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.serve(respond_with(GOOD))
                sent, ending = await self.call_frozen(turns)
                # The reset at the deadline may have overtaken what was sent.
                self.assertLessEqual(self.runs(), int(sent))
                self.assertEqual(ending.outcome is Outcome.NOT_RUN, not sent)
                stats = self.chooser.stats_of('i-0')
                self.assertLess(stats.backoff_until, 0)
                outcomes.add(sent)
        self.assertEqual(outcomes, {True, False})

    async def test_no_more_attempts_than_the_route_allows(self) -> None:
        """The last failure of an endpoint is delivered to the caller."""
        await self.serve(
            respond_with(FAILED), respond_with(FAILED), respond_with(GOOD)
        )
        ending, sink = await self.call(Repeat.MAY)
        self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual((sink.status, sink.received), (500, b'oops'))
        self.assertEqual(self.runs(), 2)

    async def test_answer_cut_by_a_crash_is_not_whole(self) -> None:
        """Guard against half an answer that is delivered as a whole one.

        An answer without length and chunks ends with its connection, as it
        does when its endpoint crashes.
        """

        async def crash(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            writer.write(f'HTTP/1.1 200 OK\r\n{SIGNED}\r\n'.encode())
            writer.write(events(1))
            await writer.drain()
            self.servers[0].stop_listening()

        for streams in (True, False):
            with self.subTest(streams=streams):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.serve(crash)
                self.watch_crashes()
                ending, sink = await self.call(Repeat.NEVER, streams=streams)
                self.assertEqual(ending.outcome, Outcome.UNKNOWN)
                self.assertNotEqual(sink.ended, 'whole')

    async def test_answer_that_ends_with_its_connection(self) -> None:
        """It is whole if its endpoint goes on."""
        head = f'HTTP/1.1 200 OK\r\n{SIGNED}\r\n'
        await self.serve(respond_with(head.encode() + b'fine'))
        self.watch_crashes()
        ending, sink = await self.call(Repeat.NEVER)
        self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual((sink.received, sink.ended), (b'fine', 'whole'))

    async def test_what_clears_calls_and_parts(self) -> None:
        """Guard against an answer that clears what it says nothing about.

        An endpoint that fails survived the call, but may not have begun to
        write an answer on its prompt. One without a length may have crashed.
        """
        unframed = f'HTTP/1.1 200 OK\r\n{SIGNED}\r\nfine'.encode()
        cases: tuple[tuple[bytes, float, set[str]], ...] = (
            (GOOD, 0, set()),
            (FAILED, 0, {PART}),
            (answer(f'404 No\r\n{SIGNED}', b''), 0, {PART}),
            (FULL, 0, {CALL, PART}),
            (unframed, 0, {CALL, PART}),
            (unframed, 0.5, set()),
        )
        for first, pause_s, suspected in cases:
            with self.subTest(first=first, pause_s=pause_s):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.serve(respond_with(first))
                self.watch_crashes()
                for fingerprint in (CALL, PART):
                    self.crashes.add(CrashRecord(fingerprint, 'a'), 0)
                await self.call(Repeat.NEVER)
                await asyncio.sleep(pause_s)
                left = {
                    one for one in (CALL, PART) if self.crashes.crash_count(one)
                }
                self.assertEqual(left, suspected)

    async def test_deadline_is_no_lost_connection(self) -> None:
        """Guard against 502 for a call out of time."""
        await self.serve(never_answer)
        ending, _ = await self.call(Repeat.NEVER, wait_s=0.2)
        self.assertEqual(
            (ending.outcome, ending.code),
            (Outcome.UNKNOWN, Code.LATE.value),
        )

    async def test_long_calls_do_not_count_against_their_endpoint(self) -> None:
        """Guard against avoiding a sound endpoint, and trusting a dead one."""
        for answers, is_avoided in ((True, False), (False, True)):
            await self.asyncTearDown()
            await self.asyncSetUp()
            server = AnswerFromSecond(answers)
            await self.serve(server.behave)
            calls = [self.call(Repeat.NEVER, wait_s=1) for _ in range(2)]
            await asyncio.gather(*calls)
            rate = self.chooser.stats_of('i-0').failure_rate
            with self.subTest(answers=answers):
                self.assertEqual(rate > 0, is_avoided)

    async def test_refused_everywhere_is_not_run(self) -> None:
        """A call that no endpoint ran ends as not run, with a retry delay."""
        await self.serve(respond_with(FULL), respond_with(FULL))
        ending, _ = await self.call(Repeat.NEVER)
        self.assertEqual(ending.outcome, Outcome.NOT_RUN)
        self.assertGreater(ending.retry_after_ms, 0)

    # Entries that had just started sent call after call by the records of
    # engines that had ended with all VMs, and told callers to return at once.
    async def test_a_replaced_endpoint_gets_no_further_call(self) -> None:
        """Later calls go elsewhere, or are refused without an attempt."""
        await self.serve(respond_with(ELSEWHERE), respond_with(GOOD))
        for _ in range(3):
            ending, _ = await self.call(Repeat.NEVER)
            self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual(len(self.servers[0].requests), 1)

    async def test_no_more_attempts_than_the_retry_budget_allows(self) -> None:
        """A failure is retried only if the budget has a retry left."""
        cases = ((RetryLimits(0, 0), 1), (RetryLimits(0, 4), 2))
        for bounds, runs in cases:
            with self.subTest(bounds=bounds):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.serve(respond_with(FAILED), respond_with(GOOD))
                self.dispatcher.retry_limits = bounds
                await self.call(Repeat.MAY)
                self.assertEqual(self.runs(), runs)

    async def test_stream_is_resumed_at_another_endpoint(self) -> None:
        """One answer has all events: none is missing, repeated or cut."""
        first = stream(events(0, 1), b'id: 2\nda', ends=False)
        await self.serve(
            respond_with(first), respond_with(stream(events(2, 3)))
        )
        ending, sink = await self.call(Repeat.RESUME, streams=True)
        self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual(sink.received, events(0, 1, 2, 3))
        self.assertEqual(sink.ended, 'whole')
        self.assertIn(b'Last-Event-Id: 1\r\n', self.servers[1].requests[0])

    async def test_events_without_a_head_are_not_sent(self) -> None:
        """Guard against events of a second attempt behind no status line."""
        self.sink = HeadlessSink()
        answers = respond_with(stream(events(0, 1)))
        await self.serve(answers, answers)
        ending, sink = await self.call(Repeat.RESUME, streams=True)
        self.assertEqual(ending.outcome, Outcome.UNKNOWN)
        self.assertEqual(sink.received, b'')

    async def test_error_status_does_not_end_a_resumed_stream(self) -> None:
        """Guard against a truncated answer that looks complete."""
        first = stream(events(0, 1), ends=False)
        await self.serve(respond_with(first), respond_with(NOT_FOUND))
        ending, sink = await self.call(Repeat.RESUME, streams=True)
        self.assertEqual(ending.outcome, Outcome.UNKNOWN)
        self.assertEqual((sink.received, sink.ended), (events(0, 1), 'aborted'))

    async def test_a_slow_engine_is_not_unhealthy(self) -> None:
        """Guard against a back-off from an engine that reports to be slow."""
        result = AttemptResult(AttemptOutcome.STALLED, reached=True)
        for pace, backs_off in ((2.5, False), (1, True)):
            await self.serve(respond_with(b''))
            listed = next(self.directory.all())
            stats = self.chooser.stats_of(listed.incarnation_id)
            now = asyncio.get_running_loop().time()
            stats.record_report(
                Report(0, 1, 1, changing=False, received_at=now, pace=pace)
            )
            choice = Choice(listed, 0)
            sent: Any = SimpleNamespace(
                choice=choice,
                first_event_at=now,
                call_id='',
                has_head=False,
            )
            call: Any = SimpleNamespace(service=Service('desk', 6))
            recorder = self.dispatcher.recorder
            silent: Any = SimpleNamespace(attempt=sent, sent=sent)
            recorder.note_silence(call, silent, now)
            recorder.note_result(call, sent, sent, result)
            with self.subTest(pace=pace):
                self.assertEqual(stats.backoff_until > now, backs_off)
                self.assertEqual(stats.failure_rate, 0)

    async def test_stream_that_may_not_be_resumed_is_aborted(self) -> None:
        """A truncated answer must not look complete."""
        first = stream(events(0, 1), ends=False)
        await self.serve(
            respond_with(first), respond_with(stream(events(2, 3)))
        )
        ending, sink = await self.call(Repeat.NEVER, streams=True)
        self.assertEqual(ending.outcome, Outcome.UNKNOWN)
        self.assertEqual((sink.received, sink.ended), (events(0, 1), 'aborted'))
        self.assertEqual(self.runs(), 1)

    async def test_key_is_removed_and_the_organisation_is_set(self) -> None:
        """An endpoint gets the organisation of a call, never the API key."""
        sent = PlatformDialect().outgoing(
            [
                ('Authorization', 'Bearer k1'),
                ('X-Tenant', 'forged'),
                ('X-Other', 'kept'),
                ('Connection', 'close, X-Hop'),
                ('X-Hop', 'dropped'),
            ],
            OutgoingCall('i-1', 0.25, 't-1'),
        )
        self.assertEqual(
            sent,
            [
                ('X-Other', 'kept'),
                ('X-Deadline-Ms', '250'),
                ('X-Expected-Instance', 'i-1'),
                ('X-Tenant', 't-1'),
            ],
        )


if __name__ == '__main__':
    unittest.main()
