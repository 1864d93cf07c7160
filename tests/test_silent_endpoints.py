"""Streams at sound endpoints that fall silent for a second and go on.

Callers lost these streams: silence was taken for an end, and the only attempt
was cancelled before it was known whether another one may be sent.
"""

import asyncio
import dataclasses
import math
import unittest
from collections.abc import Sequence
from random import Random
from unittest import mock

from linnetwood.calls.attemptrecorder import AttemptRecorder
from linnetwood.calls.choice import Chooser
from linnetwood.calls.crashwatch import NoCrashWatch
from linnetwood.calls.direct import DirectDispatcher, RetryLimits
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.core.events import Event
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Ending, Outcome
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab import virtual
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver, Transfer
from linnetwood.wire.curlrequest import Finish, Headers, Receiver, Request
from tests.direct_calls import RecordingSink, events
from tests.test_narrow_way import ROUTE
from tests.test_severed import stream_call

COUNT = 10
WHOLE = events(*range(1, COUNT + 1))
EVENT_INTERVAL_S = 0.1
SILENT_S = 1.6
SIGNED = [('X-Attempt-Id', 'c-1'), ('X-Server-Signature', 's-1')]
REFUSED = [('X-Attempt-Id', 'c-1'), ('X-Not-Executed', '1')]
NO_RETRIES = RetryLimits(share=0, reserve=0)
RETRIES = RetryLimits(reserve=100)


class SuspectsAll(NoCrashWatch):
    """Suspect every call of crashing its endpoints."""

    def may_retry(self, fingerprints: Sequence[str]) -> bool:
        """Allow no retry."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """What an endpoint does: after which event it is silent, and how long."""

    silent_after: int = 0
    silent_s: float = 0
    refuses: bool = False
    # Part of the next event precedes the silence.
    splits: bool = False
    # The body of its refusal never comes.
    hangs: bool = False


class ScriptedDriver(CurlDriver):
    """Carry streams of scripted endpoints, each by its port."""

    def __init__(self, scripts: dict[int, Script]) -> None:
        self.scripts = scripts
        self.begun: list[tuple[int, int]] = []
        self.loop = asyncio.get_running_loop()
        self.last_begun_at = float()
        self.open: dict[Transfer, asyncio.Task[None]] = {}
        self.most_open = 0

    def begin(self, req: Request, receiver: Receiver) -> Transfer:
        """Send a stream from behind the last event that the caller has."""
        after = int(dict(req.headers).get('Last-Event-Id', '0'))
        self.begun.append((req.port, after))
        self.last_begun_at = self.loop.time()
        transfer = Transfer(receiver)
        work = self.send(transfer, self.scripts[req.port], after)
        self.open[transfer] = asyncio.create_task(work)
        self.most_open = max(self.most_open, len(self.open))
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Stop a transfer at once."""
        task = self.open.pop(transfer, None)
        if task is not None:
            task.cancel()

    async def send(
        self, transfer: Transfer, script: Script, after: int
    ) -> None:
        """Send the events that follow, with the silence of the script."""
        receiver = transfer.receiver
        head: Headers = REFUSED if script.refuses else SIGNED
        receiver.head(503 if script.refuses else 200, head)
        if script.hangs:
            await asyncio.sleep(ROUTE.timeout_s)
        numbers = () if script.refuses else range(after + 1, COUNT + 1)
        for number in numbers:
            event = events(number)
            if script.silent_s and number == script.silent_after + 1:
                size = len(event) // 2 if script.splits else 0
                receiver.body(event[:size])
                event = event[size:]
                await asyncio.sleep(script.silent_s)
            await asyncio.sleep(EVENT_INTERVAL_S)
            receiver.body(event)
        self.open.pop(transfer)
        receiver.done(Finish(whole=True, connected=True))


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """How one call ended, and what was sent for it."""

    ending: Ending
    sink: RecordingSink
    driver: ScriptedDriver
    stats: dict[str, EndpointStats]
    began_at: float


async def play(
    scripts: dict[int, Script],
    limits: RetryLimits = RETRIES,
    attempts: int = 2,
    *,
    is_suspected: bool = False,
    has_room: Sequence[bool] = (),
) -> Played:
    """Run one call; endpoints are tried in the order of the scripts."""
    loop = asyncio.get_running_loop()
    directory = Directory()
    chooser = Chooser(directory, Random(1))
    for position, port in enumerate(scripts):
        name = f'i-{port}'
        directory.update(Endpoint(name, 'pool', 'h', port, 'z', 16, ready=True))
        for _ in range(position):
            chooser.stats_of(name).record_sent()
    driver = ScriptedDriver(scripts)
    dispatcher = DirectDispatcher(
        chooser, driver, PlatformDialect(), WantedVersions(8), 'z', NoMetrics()
    )
    dispatcher.retry_limits = limits
    if has_room:
        dispatcher.held = mock.Mock(answers=0)
        dispatcher.held.add_in_flight.side_effect = has_room
    if is_suspected:
        dispatcher.crash_observer = SuspectsAll()
    now = loop.time()
    call = stream_call(now, dataclasses.replace(ROUTE, attempts=attempts))
    sink = RecordingSink()
    ending = await dispatcher.run(call, sink)
    return Played(ending, sink, driver, chooser.stats, now)


SILENT = Script(silent_after=5, silent_s=SILENT_S)
DEAD = Script(silent_after=5, silent_s=99)
LATE = Script(silent_after=0, silent_s=ROUTE.timeout_s / 2)


class SilentEndpointTest(unittest.TestCase):
    """Run in virtual time."""

    def assert_whole(self, played: Played) -> None:
        """Assert that the caller got each event once, and the end."""
        self.assertEqual(played.ending.outcome, Outcome.ANSWERED)
        self.assertEqual(played.sink.received, WHOLE)
        self.assertEqual(played.sink.ended, 'whole')
        self.assertFalse(played.driver.open)

    def test_silent_stream_is_not_cut_without_a_retry_budget(self) -> None:
        """Guard against cutting the only source of an answer."""
        for silent in (SILENT, LATE):
            with self.subTest(silent=silent):
                played = virtual.run(
                    play({1: silent, 2: Script()}, limits=NO_RETRIES)
                )
                self.assert_whole(played)
                self.assertEqual(played.driver.begun, [(1, 0)])

    def test_silent_stream_is_not_cut_without_attempts(self) -> None:
        """Guard against a cut where the route allows no other attempt."""
        played = virtual.run(play({1: SILENT, 2: Script()}, attempts=1))
        self.assert_whole(played)

    def test_silent_stream_is_not_cut_without_other_endpoints(self) -> None:
        """Guard against a cut where no other endpoint may run the call."""
        self.assert_whole(virtual.run(play({1: SILENT})))

    def test_silent_stream_is_not_cut_for_a_suspected_call(self) -> None:
        """Guard against a cut of a call that may go to no other endpoint."""
        played = virtual.run(play({1: SILENT, 2: Script()}, is_suspected=True))
        self.assert_whole(played)

    def test_silent_stream_is_not_cut_by_a_refusal_elsewhere(self) -> None:
        """Guard against a refused second attempt that ends the first."""
        played = virtual.run(play({1: SILENT, 2: Script(refuses=True)}))
        self.assert_whole(played)
        self.assertEqual(played.driver.begun, [(1, 0), (2, 5)])

    def test_silent_stream_goes_on_while_the_other_is_silent(self) -> None:
        """Guard against a cut where two endpoints are silent at once."""
        other = Script(silent_after=5, silent_s=2 * SILENT_S)
        played = virtual.run(play({1: SILENT, 2: other}))
        self.assert_whole(played)

    def test_second_attempt_goes_on_while_the_first_is_silent(self) -> None:
        """Guard against an answer that waits though another one has it."""
        for silent_s in (SILENT_S, ROUTE.timeout_s):
            silent = Script(silent_after=5, silent_s=silent_s)
            with self.subTest(silent_s=silent_s):
                played = virtual.run(play({1: silent, 2: Script()}))
                self.assert_whole(played)
                self.assertEqual(played.driver.begun, [(1, 0), (2, 5)])
                self.assertLessEqual(played.driver.most_open, 2)

    def test_endpoint_without_room_is_asked_again(self) -> None:
        """Guard against a stream that may go nowhere for one full moment."""
        played = virtual.run(
            play({1: DEAD, 2: Script()}, has_room=(True, False, True))
        )
        self.assert_whole(played)
        self.assertEqual(played.driver.begun, [(1, 0), (2, 5)])

    def test_parts_of_an_event_are_not_mixed(self) -> None:
        """Guard against half an event that another attempt completes."""
        for silent_s in (SILENT_S - 0.4, SILENT_S, ROUTE.timeout_s):
            silent = Script(silent_after=5, silent_s=silent_s, splits=True)
            for other in (Script(), Script(silent_after=5, silent_s=SILENT_S)):
                with self.subTest(silent=silent, other=other):
                    played = virtual.run(play({1: silent, 2: other}))
                    self.assert_whole(played)

    def test_endpoint_that_goes_on_is_no_longer_avoided(self) -> None:
        """Guard against refusals for endpoints that were silent before."""
        for silent_s, is_avoided in ((SILENT_S, False), (99, True)):
            silent = Script(silent_after=5, silent_s=silent_s)
            played = virtual.run(play({1: silent}, limits=NO_RETRIES))
            stats = played.stats['i-1']
            with self.subTest(silent_s=silent_s):
                self.assertEqual(stats.failure_rate, 0)
                self.assertEqual(stats.backoff_until > 0, is_avoided)

    def test_wait_is_compared_with_its_prediction_once(self) -> None:
        """Guard against a margin that grows twice for one late call."""
        virtual.run(self.check_one_comparison())

    async def check_one_comparison(self) -> None:
        """Let an attempt be silent before its first event."""
        lateness = mock.Mock()
        stats = EndpointStats()
        chooser = mock.Mock()
        chooser.stats_of.return_value = stats
        recorder = AttemptRecorder(chooser, lambda: lateness)
        call = mock.Mock()
        call.service.levels.count = 1
        sent = mock.Mock(sent_at=0)
        sent.choice.wait_s = 0
        sent.choice.pace = 1
        silent = mock.Mock(sent=sent)
        silent.attempt.first_event_at = 0
        silent.attempt.wait_recorded = False
        recorder.note_silence(call, silent, 1)
        recorder.note_begun(call, sent, mock.Mock(), silent.attempt)
        lateness.record.assert_called_once()

    def test_answer_during_a_silence_ends_the_back_off(self) -> None:
        """Guard against avoiding an endpoint that has just answered."""
        stats = EndpointStats()
        stats.record_silence(1)
        stats.record_success()
        self.assertEqual(stats.backoff_until, -math.inf)

    def test_streams_that_fall_silent_together_count_once(self) -> None:
        """Guard against avoiding an endpoint longer the more streams it has."""
        one, many = EndpointStats(), EndpointStats()
        one.record_silence(1)
        for number in range(10):
            many.record_silence(1 + number / 100)
        self.assertEqual(many.backoff_until, one.backoff_until)
        self.assertEqual((many.failure_rate, one.failure_rate), (0, 0))
        again_at = many.backoff_until
        many.record_silence(again_at)
        self.assertEqual(many.backoff_until - again_at, 2 * (again_at - 1))

    def test_each_attempt_is_logged(self) -> None:
        """Guard against attempts whose cost nobody sees."""
        for silent_s, how in ((SILENT_S, 'overtaken'), (99, 'stalled')):
            silent = Script(silent_after=COUNT - 1, silent_s=silent_s)
            late = Script(silent_after=COUNT - 1, silent_s=SILENT_S)
            with self.assertLogs('linnetwood', 'INFO') as captured:
                played = virtual.run(play({1: silent, 2: late}))
            self.assert_whole(played)
            ended = [
                getattr(record, 'how', '')
                for record in captured.records
                if getattr(record, 'event', 0) == Event.ATTEMPT_ENDED
            ]
            with self.subTest(silent_s=silent_s):
                self.assertCountEqual(ended, ['answered', how])

    def test_refusal_counts_from_its_head_on(self) -> None:
        """Guard against waiting for the body of a refusal as if silent."""
        refusing = Script(refuses=True, hangs=True)
        played = virtual.run(play({1: refusing, 2: Script()}))
        self.assert_whole(played)
        self.assertEqual(played.driver.last_begun_at, played.began_at)


if __name__ == '__main__':
    unittest.main()
