"""Who is taken at the door, how urgently, and who is refused."""

import unittest
from random import Random

from linnetwood.calls.choice import Choice, Chooser, Requirements
from linnetwood.calls.deadlineadmission import DeadlineAdmission
from linnetwood.calls.dialect import CallHead, Urgency
from linnetwood.calls.direct import DirectCall
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
FIRST_TRY_S = 6.0
# What is left to a caller who was refused and waited for a fourth of that.
RETURN_S = 4.5


class FixedClock:
    """A clock that stands still."""

    def now(self) -> float:
        return 10

    def wall(self) -> float:
        return 0


class Needs:
    """Stand in for the dispatcher: every call needs the same."""

    def requirements(self, call: DirectCall) -> Requirements:
        enough_s = call.route.target_s - SPREAD_S
        return Requirements(
            call.service, 'z1', 1000, 'm', acceptable_wait_s=enough_s
        )


def call(wait_s: float, service: Service = POOL) -> DirectCall:
    """Give a call whose caller waits so long."""
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


class EntranceTest(unittest.TestCase):
    """Offer calls to engines with more or less to do."""

    def setUp(self) -> None:
        directory = Directory()
        self.chooser = Chooser(directory, Random(1))
        directory.update(endpoint('i-1'))
        self.admission = DeadlineAdmission(
            self.chooser,
            Needs(),
            FixedClock(),
            LastPart(Random(1)),
        )
        self.admission(call(FIRST_TRY_S))

    def offered(self, waiting: int, running: int) -> str:
        """Say what becomes of a call at an engine with so much to do."""
        word = report(waiting, running, 10)
        self.chooser.stats_of('i-1').record_report(word)
        found = self.admission(call(FIRST_TRY_S))
        if isinstance(found, Ending):
            self.assertIs(found.outcome, Outcome.NOT_RUN)
            self.assertGreater(found.retry_after_ms, 0)
            return 'refused'
        return found.value

    def test_late_calls_take_nobody_s_place(self) -> None:
        """What will be late is taken where a slot is free, else refused."""
        cases = (
            ('idle', 0, 2, Urgency.IN_TIME.value),
            ('few wait, all slots taken', 2, 16, 'refused'),
            ('many wait', 9, 16, 'refused'),
            ('many are read, slots are free', 8, 0, Urgency.LATE.value),
            ('all but one are read', 14, 1, 'refused'),
        )
        for name, waiting, running, expected in cases:
            with self.subTest(name=name):
                self.assertEqual(self.offered(waiting, running), expected)

    def test_callers_come_back_late_and_not_at_once(self) -> None:
        """They wait for a third of their time at most, and differ."""
        self.chooser.stats_of('i-1').record_report(report(9, 16, 10))
        waits = []
        for _ in range(50):
            found = self.admission(call(FIRST_TRY_S))
            assert isinstance(found, Ending)
            waits.append(found.retry_after_ms)
        left_ms = (call(FIRST_TRY_S).deadline - FixedClock().now()) * 1000
        self.assertLessEqual(max(waits), left_ms / 3)
        self.assertGreaterEqual(min(waits), int(left_ms / 3 * 0.6))
        self.assertGreater(max(waits) - min(waits), left_ms / 3 * 0.3)

    def test_plain_services_take_every_call(self) -> None:
        """Only engines tell enough to predict by."""
        desk = Service('desk', 10)
        self.assertIs(
            self.admission(call(FIRST_TRY_S, desk)),
            Urgency.IN_TIME,
        )

    def test_no_endpoint_is_a_refusal(self) -> None:
        """Nothing can run where nobody serves."""
        nobody = DeadlineAdmission(
            Chooser(Directory(), Random(1)),
            Needs(),
            FixedClock(),
            LastPart(Random(1)),
        )
        found = nobody(call(FIRST_TRY_S))
        assert isinstance(found, Ending)
        self.assertEqual(found.code, 'no-endpoint')

    def test_choice_is_the_chooser_s(self) -> None:
        """The prediction comes of the endpoint that would be taken."""
        found = self.chooser.choose(Requirements(POOL, 'z1', 1000, 'm'), (), 10)
        assert isinstance(found, Choice)
        self.assertGreater(found.wait_s, 0)


class ReturningTest(unittest.TestCase):
    """Offer first tries and returns to an engine with more or less to do."""

    def setUp(self) -> None:
        directory = Directory()
        self.chooser = Chooser(directory, Random(1))
        directory.update(endpoint('i-1'))
        self.admission = DeadlineAdmission(
            self.chooser,
            Needs(),
            FixedClock(),
            LastPart(Random(1)),
            ByRemainingWait(),
            keep_reserve,
        )
        self.offer(0, 0, *(FIRST_TRY_S for _ in range(100)))

    def offer(self, waiting: int, running: int, *waits: float) -> list[str]:
        """Say what becomes of calls at an engine with so much to do."""
        word = report(waiting, running, 10)
        self.chooser.stats_of('i-1').record_report(word)
        found = [self.admission(call(wait_s)) for wait_s in waits]
        return [
            one.detail if isinstance(one, Ending) else one.value
            for one in found
        ]

    def test_first_tries_have_the_last_places(self) -> None:
        """Returns have what is left beside a reserve, and are refused truly."""
        in_time = Urgency.IN_TIME.value
        cases = (
            ('idle', 0, 2, in_time, in_time),
            ('half is taken', 0, 8, in_time, in_time),
            ('most is taken', 0, 12, in_time, 'came back'),
        )
        for name, waiting, running, first, again in cases:
            with self.subTest(name=name):
                found = self.offer(waiting, running, FIRST_TRY_S, RETURN_S)
                self.assertEqual(found, [first, again])

    def test_refused_returns_may_come_again(self) -> None:
        """They are told when, within a third of what they have left."""
        self.chooser.stats_of('i-1').record_report(report(0, 12, 10))
        found = self.admission(call(RETURN_S))
        assert isinstance(found, Ending)
        self.assertIs(found.outcome, Outcome.NOT_RUN)
        self.assertGreater(found.retry_after_ms, 0)

    def test_plain_services_take_returns(self) -> None:
        """Only engines tell enough to keep places."""
        desk = Service('desk', 10)
        found = self.admission(call(RETURN_S, desk))
        self.assertIs(found, Urgency.IN_TIME)


if __name__ == '__main__':
    unittest.main()
