"""Which calls are admitted, with which urgency, and which are refused."""

import dataclasses
import unittest
from random import Random

from linnetwood.calls.choice import Choice, Chooser, Requirements
from linnetwood.calls.deadlineadmission import DeadlineAdmission
from linnetwood.calls.dialect import CallHead, Urgency
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.directory import Directory
from linnetwood.calls.policy.firstattempts import ByRemainingWait
from linnetwood.calls.policy.lateness import SPREAD_S
from linnetwood.calls.policy.retryafter import LastPart
from linnetwood.calls.policy.retrycapacity import keep_reserve
from linnetwood.calls.routetable import Repeat, Route, Service, Share
from linnetwood.core.outcomes import Ending, Outcome
from tests.test_directory import POOL, endpoint, report

ROUTE = Route(
    'r',
    'h',
    '/',
    Repeat.RESUME,
    streams=True,
    timeout_s=6,
    target_s=0.4,
    gap_s=0.4,
    attempts=2,
    priority=1,
    public=True,
    shares=(Share('pool', 1),),
)
FIRST_ATTEMPT_WAIT_S = 6.0
# Left to a caller who was refused and waited for a fourth of its time.
RETRY_WAIT_S = 4.5


class StoppedClock:
    """A clock that always shows the same time."""

    def now(self) -> float:
        return 10

    def wall(self) -> float:
        return 0


class FixedRequirements:
    """Replace the dispatcher: all calls have the same requirements."""

    def requirements(self, call: DirectCall) -> Requirements:
        enough_s = call.route.target_s - SPREAD_S
        return Requirements(
            call.service, 'z1', 1000, 'm', acceptable_wait_s=enough_s
        )


def call(wait_s: float, service: Service = POOL) -> DirectCall:
    """Return a call whose caller waits for `wait_s` seconds."""
    return DirectCall(
        CallHead(call_id='c', wait_s=wait_s, model='m'),
        ROUTE,
        service,
        None,
        'POST',
        '/',
        [],
        b'',
        10,
        16,
    )


def one_engine() -> Chooser:
    """Return a chooser that knows one engine."""
    directory = Directory()
    directory.update(endpoint('i-1'))
    return Chooser(directory, Random(1))


class DeadlineAdmissionTest(unittest.TestCase):
    """Admit calls at an engine under different loads."""

    def setUp(self) -> None:
        self.chooser = one_engine()
        self.admission = DeadlineAdmission(
            self.chooser,
            FixedRequirements(),
            StoppedClock(),
            LastPart(Random(1)),
        )
        self.admission(call(FIRST_ATTEMPT_WAIT_S))

    def decide(self, waiting: int, running: int) -> str:
        """Return the decision on a call at an engine with this load."""
        engine_report = report(waiting, running, 10)
        self.chooser.stats_of('i-1').record_report(engine_report)
        decision = self.admission(call(FIRST_ATTEMPT_WAIT_S))
        if isinstance(decision, Ending):
            self.assertIs(decision.outcome, Outcome.NOT_RUN)
            self.assertGreater(decision.retry_after_ms, 0)
            return 'refused'
        return decision.value

    def test_late_calls_displace_no_others(self) -> None:
        """A call that will be late is admitted only if a slot stays free."""
        cases = (
            ('idle', 0, 2, Urgency.IN_TIME.value),
            ('few wait, all slots taken', 2, 16, 'refused'),
            ('many wait', 9, 16, 'refused'),
            ('many are read, slots are free', 8, 0, Urgency.LATE.value),
            ('all but one are read', 14, 1, 'refused'),
        )
        for name, waiting, running, expected in cases:
            with self.subTest(name=name):
                self.assertEqual(self.decide(waiting, running), expected)

    def test_retry_delays_are_long_and_spread(self) -> None:
        """Delays are at most a third of the remaining time, and differ."""
        self.chooser.stats_of('i-1').record_report(report(9, 16, 10))
        waits = []
        for _ in range(50):
            decision = self.admission(call(FIRST_ATTEMPT_WAIT_S))
            assert isinstance(decision, Ending)
            waits.append(decision.retry_after_ms)
        left_ms = (
            call(FIRST_ATTEMPT_WAIT_S).deadline - StoppedClock().now()
        ) * 1000
        self.assertLessEqual(max(waits), left_ms / 3)
        self.assertGreaterEqual(min(waits), int(left_ms / 3 * 0.6))
        self.assertGreater(max(waits) - min(waits), left_ms / 3 * 0.3)

    def test_plain_services_admit_every_call(self) -> None:
        """Waits are predicted for engines only."""
        service = Service('desk', 10)
        self.assertIs(
            self.admission(call(FIRST_ATTEMPT_WAIT_S, service)),
            Urgency.IN_TIME,
        )

    def test_call_without_an_endpoint_is_refused(self) -> None:
        """A call is refused if its service has no endpoint."""
        empty = DeadlineAdmission(
            Chooser(Directory(), Random(1)),
            FixedRequirements(),
            StoppedClock(),
            LastPart(Random(1)),
        )
        decision = empty(call(FIRST_ATTEMPT_WAIT_S))
        assert isinstance(decision, Ending)
        self.assertEqual(decision.code, 'no-endpoint')

    def test_refusals_name_what_endpoints_lack(self) -> None:
        """An empty list, empty engines and old versions are told apart."""
        held = endpoint('i-1')
        empty = dataclasses.replace(held, versions={})
        leaving = dataclasses.replace(held, ready=False)
        cases = (
            ('nothing listed', (), 0, 'unlisted'),
            ('leaving', (leaving,), 0, 'unlisted'),
            ('holds nothing', (empty,), 0, 'no-weights'),
            ('older than allowed', (held,), 2, 'old-weights'),
        )
        for name, listed, min_version, expected in cases:
            with self.subTest(name=name):
                directory = Directory()
                for one in listed:
                    directory.update(one)
                required = Requirements(POOL, 'z1', 1000, 'm', min_version)
                found = Chooser(directory, Random(1)).unavailable_reason(
                    required, 0, 10
                )
                self.assertEqual(found.value, expected)

    def test_chooser_predicts_a_wait(self) -> None:
        """The prediction is of the endpoint that would be chosen."""
        choice = self.chooser.choose(
            Requirements(POOL, 'z1', 1000, 'm'), (), 10
        )
        assert isinstance(choice, Choice)
        self.assertGreater(choice.wait_s, 0)


class RetryingCallerTest(unittest.TestCase):
    """Admit first attempts and retries at an engine under different loads."""

    def setUp(self) -> None:
        self.chooser = one_engine()
        self.admission = DeadlineAdmission(
            self.chooser,
            FixedRequirements(),
            StoppedClock(),
            LastPart(Random(1)),
            ByRemainingWait(),
            keep_reserve,
        )
        self.decide_each(0, 0, *(FIRST_ATTEMPT_WAIT_S for _ in range(100)))

    def decide_each(
        self, waiting: int, running: int, *waits: float
    ) -> list[str]:
        """Return the decisions on calls at an engine with this load."""
        engine_report = report(waiting, running, 10)
        self.chooser.stats_of('i-1').record_report(engine_report)
        decisions = [self.admission(call(wait_s)) for wait_s in waits]
        return [
            decision.detail if isinstance(decision, Ending) else decision.value
            for decision in decisions
        ]

    def test_last_slots_are_reserved_for_first_attempts(self) -> None:
        """Retrying callers get only the slots beyond a reserve."""
        in_time = Urgency.IN_TIME.value
        cases = (
            ('idle', 0, 2, in_time, in_time),
            ('half is in use', 0, 8, in_time, in_time),
            ('most is in use', 0, 12, in_time, 'came back'),
        )
        for name, waiting, running, first, again in cases:
            with self.subTest(name=name):
                decisions = self.decide_each(
                    waiting, running, FIRST_ATTEMPT_WAIT_S, RETRY_WAIT_S
                )
                self.assertEqual(decisions, [first, again])

    def test_refused_retrying_callers_get_a_retry_delay(self) -> None:
        """They end as not run, and may retry once more."""
        self.chooser.stats_of('i-1').record_report(report(0, 12, 10))
        decision = self.admission(call(RETRY_WAIT_S))
        assert isinstance(decision, Ending)
        self.assertIs(decision.outcome, Outcome.NOT_RUN)
        self.assertGreater(decision.retry_after_ms, 0)

    def test_plain_services_admit_retrying_callers(self) -> None:
        """Slots are reserved at engines only."""
        service = Service('desk', 10)
        decision = self.admission(call(RETRY_WAIT_S, service))
        self.assertIs(decision, Urgency.IN_TIME)


if __name__ == '__main__':
    unittest.main()
