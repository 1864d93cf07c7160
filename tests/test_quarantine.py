"""Calls that are refused because endpoints crashed under them."""

import unittest
from random import Random

from linnetwood.calls.crashcauses import CrashCauses
from linnetwood.calls.crashes import REFUSAL_FIRST_S, CrashHistory, CrashRecord
from linnetwood.calls.dialect import CallHead, Urgency
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.quarantine import Quarantine
from linnetwood.calls.routetable import Repeat, Route, Service, Share
from linnetwood.core.outcomes import Code, Ending, not_run
from tests.clocks import ManualClock
from tests.crash_fleet import refused_s

FINGERPRINT = 'c0' * 12
ROUTE = Route(
    'r', 'h', '/', Repeat.MAY, False, 1, 1, 1, 2, 0, True, (Share('s', 1),)
)
CALL = DirectCall(
    CallHead('c', None, '', '', 0, ''),
    ROUTE,
    Service('s', 9),
    None,
    'GET',
    '/',
    [],
    b'',
    0,
    1,
    fingerprint=FINGERPRINT,
)


class QuarantineTest(unittest.TestCase):
    """Which calls are refused, and which one is the trial."""

    def setUp(self) -> None:
        self.crashes = CrashHistory()
        self.clock = ManualClock(0)
        self.verdict: Urgency | Ending = Urgency.IN_TIME
        self.quarantine = Quarantine(
            CrashCauses(self.crashes, Random(1), lambda: 1),
            lambda call: self.verdict,
            self.clock,
        )
        for incarnation_id in 'ab':
            self.crashes.add(CrashRecord(FINGERPRINT, incarnation_id), 0)

    def test_query_changes_nothing(self) -> None:
        """Two queries give the same time."""
        waits = [refused_s(self.crashes, FINGERPRINT, REFUSAL_FIRST_S)]
        waits.append(refused_s(self.crashes, FINGERPRINT, REFUSAL_FIRST_S))
        self.assertEqual(waits, [0, 0])

    def test_trial(self) -> None:
        """Other calls are refused during the trial."""
        self.assertIsInstance(self.quarantine(CALL), Ending)
        self.clock.at = REFUSAL_FIRST_S
        self.assertIs(self.quarantine(CALL), Urgency.IN_TIME)
        self.assertIsInstance(self.quarantine(CALL), Ending)

    def test_call_refused_for_another_reason_is_no_trial(self) -> None:
        """The next call that is admitted is the trial."""
        self.clock.at = REFUSAL_FIRST_S
        self.verdict = not_run(Code.BUSY)
        self.assertIs(self.quarantine(CALL), self.verdict)
        self.verdict = Urgency.IN_TIME
        self.assertIs(self.quarantine(CALL), Urgency.IN_TIME)


if __name__ == '__main__':
    unittest.main()
