"""Direct calls at endpoints: complete answers, true refusals, safe retries."""

import asyncio
import dataclasses
import time
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from linnetwood.calls.attempt import AttemptOutcome, AttemptResult
from linnetwood.calls.choice import Choice
from linnetwood.calls.crashes import CrashRecord
from linnetwood.calls.dialect import OutgoingCall
from linnetwood.calls.direct import RetryLimits
from linnetwood.calls.endpointstats import Report
from linnetwood.calls.prioritylevels import rank_priorities
from linnetwood.calls.routetable import Repeat, Service
from linnetwood.core.outcomes import Code, Ending, Outcome
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import Transfer
from linnetwood.wire.curlrequest import Receiver, Request
from tests.direct_calls import (
    CALL,
    ELSEWHERE,
    FAILED,
    FULL,
    GOOD,
    ID,
    NOT_FOUND,
    PART,
    SIGNED,
    AnswerFromSecond,
    DirectFixture,
    HeadlessSink,
    answer,
    events,
    never_answer,
    stream,
    was_sent,
)
from tests.test_curldriver import Behaviour, reset, respond_with
from tests.test_directory import PROFILE


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
            sent = any(map(was_sent, begun))
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
