"""Who is taken at the door, how urgently, and who is refused."""

import unittest
from random import Random

from linnetwood.calls.choice import Choice, Chooser, Need
from linnetwood.calls.dialect import CallHead, Urgency
from linnetwood.calls.direct import DirectCall
from linnetwood.calls.directory import Directory
from linnetwood.calls.entrance import Entrance
from linnetwood.calls.policy.lateness import SPREAD_S
from linnetwood.calls.policy.returns import LastPart
from linnetwood.calls.routebook import Repeat, Route, Service, Share
from linnetwood.core.outcomes import Ending, Outcome
from tests.test_directory import POOL, listed, report

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


class FixedClock:
    """A clock that stands still."""

    def now(self) -> float:
        return 10

    def wall(self) -> float:
        return 0


class Needs:
    """Stand in for the dispatcher: every call needs the same."""

    def need(self, call: DirectCall) -> Need:
        enough_s = call.route.target_s - SPREAD_S
        return Need(call.service, 'z1', 1000, 'm', enough_s=enough_s)


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
        directory.listed(listed('i-1'))
        self.entrance = Entrance(
            self.chooser,
            Needs(),
            FixedClock(),
            LastPart(Random(1)),
        )
        self.entrance(call(FIRST_TRY_S))

    def offered(self, waiting: int, running: int) -> str:
        """Say what becomes of a call at an engine with so much to do."""
        word = report(waiting, running, 10)
        self.chooser.standing('i-1').heard(word)
        found = self.entrance(call(FIRST_TRY_S))
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
        self.chooser.standing('i-1').heard(report(9, 16, 10))
        waits = []
        for _ in range(50):
            found = self.entrance(call(FIRST_TRY_S))
            assert isinstance(found, Ending)
            waits.append(found.retry_after_ms)
        left_ms = (call(FIRST_TRY_S).until - FixedClock().now()) * 1000
        self.assertLessEqual(max(waits), left_ms / 3)
        self.assertGreaterEqual(min(waits), int(left_ms / 3 * 0.6))
        self.assertGreater(max(waits) - min(waits), left_ms / 3 * 0.3)

    def test_plain_services_take_every_call(self) -> None:
        """Only engines tell enough to predict by."""
        desk = Service('desk', 10)
        self.assertIs(
            self.entrance(call(FIRST_TRY_S, desk)),
            Urgency.IN_TIME,
        )

    def test_no_endpoint_is_a_refusal(self) -> None:
        """Nothing can run where nobody serves."""
        nobody = Entrance(
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
        found = self.chooser.choose(Need(POOL, 'z1', 1000, 'm'), (), 10)
        assert isinstance(found, Choice)
        self.assertGreater(found.wait_s, 0)


if __name__ == '__main__':
    unittest.main()
