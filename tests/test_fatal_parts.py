"""Guard against parts of prompts that crash every engine that answers them.

Calls with one part, no two of them alike, were sent to engines 15 and 23 times
more after five crashes, and crashed 32 and 42 engines. Crashes were counted by
a digest of the whole call, which is new each time.
"""

import unittest

from linnetwood.lab.measure_soak import run_soak
from linnetwood.lab.soak.checks import Checker
from linnetwood.lab.soak.fatalparts import (
    Company,
    CrashMoment,
    FatalPart,
    draw_fatal_part,
)
from linnetwood.lab.soak.fleet import Size
from linnetwood.lab.soak.history import (
    Arrival,
    Call,
    CallKind,
    FaultRecord,
    History,
    Run,
)
from linnetwood.lab.soak.limits import Limits
from linnetwood.lab.soak.schedule import LEAD_S, Fault

PART_FAULT = 'part that ends engines'
SPAN_S = 14.0
SEED = 1
FATAL = FatalPart(1, False, CrashMoment.BEFORE_EVENTS, Company.USUAL).part_id


def pick_of(
    moment: CrashMoment, company: Company, *, stands_first: bool = False
) -> int:
    """Return a pick for which such a part is drawn."""
    return next(
        pick
        for pick in range(1000)
        if draw_fatal_part(pick)
        == FatalPart(pick, stands_first, moment, company)
    )


class CheckerTest(unittest.TestCase):
    """Check histories of a part that crashed five engines."""

    def setUp(self) -> None:
        self.history = History()

    def add(self, at: float, *parts: str, runs: bool, crashes: bool) -> None:
        """Add a call that reaches a server if it runs."""
        call_id = f'c{len(self.history.calls)}'
        self.history.calls.append(
            Call(
                call_id,
                CallKind.STREAM,
                'e',
                '/chat/x',
                at,
                6,
                ended_at=at + 0.5,
                parts=(*parts, call_id),
            )
        )
        if runs:
            run = Run(call_id, 'i', 'pool', at, 0, 6000, 's', crashed=crashes)
            run.ended_at = at + 0.1
            self.history.runs.append(run)
            self.history.arrivals.append(Arrival(call_id, 'i', at))

    def violated_rules(self) -> set[str]:
        """Return the violated rules of the fatal part."""
        found = Checker(self.history, Limits()).violations()
        return {one.partition(' ')[0] for one in found if FATAL in one}

    def add_crashes(self, count: int, *, late: int) -> None:
        """Add crashes 0.5 s apart, and calls that run 4 s after the fifth."""
        for number in range(count):
            at = 100 + number / 2
            self.add(at, 'a', FATAL, runs=True, crashes=True)
        for number in range(late):
            at = 106 + number / 10
            self.add(at, 'a', FATAL, runs=True, crashes=False)

    def test_three_calls_after_the_crashes_are_allowed(self) -> None:
        """A fourth is a violation unless a fault affected the entry."""
        self.add_crashes(5, late=3)
        self.assertEqual(self.violated_rules(), set())
        self.add(107, 'a', FATAL, runs=True, crashes=False)
        self.assertEqual(self.violated_rules(), {'BUDGET'})
        self.history.troubles.append(FaultRecord('any', 103, 108, 'e'))
        self.assertEqual(self.violated_rules(), set())

    def test_four_crashes_are_too_few(self) -> None:
        """Entries need not know a part that crashed four engines."""
        self.add_crashes(4, late=9)
        self.assertEqual(self.violated_rules(), set())

    def test_sound_calls_begin_half_as_often(self) -> None:
        """Those with the same first part are compared by themselves."""
        self.history.troubles.append(FaultRecord('any', 99, 101, 'servers'))
        for number in range(40):
            self.add(90 + number / 10, 'b', runs=True, crashes=False)
        self.add_crashes(2, late=0)
        self.add(120, 'a', FATAL, runs=False, crashes=False)
        for number in range(60):
            self.add(107 + number / 10, 'b', runs=True, crashes=False)
        for number in range(20):
            begins = number < 10
            self.add(107 + number / 10, 'a', runs=begins, crashes=False)
        self.assertEqual(self.violated_rules(), set())
        self.add(110, 'a', runs=False, crashes=False)
        self.assertEqual(self.violated_rules(), {'LOST'})


class ProgramsTest(unittest.TestCase):
    """Run the programs with such calls."""

    def violations(self, *picks: int) -> object:
        """Return the violations of a run with some parts at once."""
        planned = [Fault(LEAD_S, PART_FAULT, SPAN_S, pick) for pick in picks]
        found = run_soak(SEED, 0, Size(9, 9, 6), callers=27, planned=planned)
        self.assertEqual(found['ended_badly'], [])
        self.assertGreater(found['calls']['stream 200'], 0)
        return found['first']

    def test_calls_reach_few_engines(self) -> None:
        """Two parts at once, each in calls whose other parts vary."""
        picks = (
            pick_of(CrashMoment.BEFORE_EVENTS, Company.USUAL),
            pick_of(CrashMoment.AFTER_EVENT, Company.MANY),
        )
        self.assertEqual(self.violations(*picks), [])

    def test_sound_calls_with_the_same_first_part(self) -> None:
        """They are served, though the part was new with the fatal one.

        Each engine writes a whole event without length or chunks before it
        crashes, so that its answer seems complete.
        """
        pick = pick_of(CrashMoment.AT_EVENT_END, Company.NEW_FIRST)
        self.assertEqual(self.violations(pick), [])


if __name__ == '__main__':
    unittest.main()
