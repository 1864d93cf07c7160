"""Calls that are refused because endpoints ended under them."""

import unittest

from linnetwood.calls.crashes import REFUSAL_FIRST_S, CrashHistory, CrashRecord
from linnetwood.calls.dialect import CallHead, Urgency
from linnetwood.calls.direct import DirectCall
from linnetwood.calls.quarantine import Quarantine
from linnetwood.calls.routetable import Repeat, Route, Service, Share
from linnetwood.core.outcomes import Code, Ending, not_run

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


class At:
    """A time that tests set."""

    def __init__(self) -> None:
        self.at = float()

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at


class QuarantineTest(unittest.TestCase):
    """What is refused, and who is tried."""

    def setUp(self) -> None:
        self.crashes = CrashHistory()
        self.clock = At()
        self.verdict: Urgency | Ending = Urgency.IN_TIME
        self.quarantine = Quarantine(
            self.crashes,
            lambda call: self.verdict,
            self.clock,
        )
        for incarnation_id in 'ab':
            self.crashes.add(CrashRecord(FINGERPRINT, incarnation_id), 0)

    def test_to_ask_changes_nothing(self) -> None:
        """Whoever asks twice hears the same."""
        asked = [self.crashes.refused_for_s(FINGERPRINT, REFUSAL_FIRST_S)]
        asked.append(self.crashes.refused_for_s(FINGERPRINT, REFUSAL_FIRST_S))
        self.assertEqual(asked, [0, 0])

    def test_one_is_tried(self) -> None:
        """The next is refused meanwhile."""
        self.assertIsInstance(self.quarantine(CALL), Ending)
        self.clock.at = REFUSAL_FIRST_S
        self.assertIs(self.quarantine(CALL), Urgency.IN_TIME)
        self.assertIsInstance(self.quarantine(CALL), Ending)

    def test_one_that_is_refused_elsewhere_was_not_tried(self) -> None:
        """The next that has a place is."""
        self.clock.at = REFUSAL_FIRST_S
        self.verdict = not_run(Code.BUSY)
        self.assertIs(self.quarantine(CALL), self.verdict)
        self.verdict = Urgency.IN_TIME
        self.assertIs(self.quarantine(CALL), Urgency.IN_TIME)


if __name__ == '__main__':
    unittest.main()
