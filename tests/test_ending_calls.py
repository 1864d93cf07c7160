"""Guard against calls that crash every server that begins to run them.

Two such calls were sent to servers 5 and 10 times more after three crashes, and
crashed 19 and 20 servers in all. Callers repeated them with new ids at any
entry, while attempts and the retry budget are counted by id and by entry.
Servers crashed only in runs with such calls.
"""

import unittest
from random import Random

from linnetwood.lab.measure_soak import run_soak
from linnetwood.lab.soak.checks import Checker
from linnetwood.lab.soak.fleet import Size
from linnetwood.lab.soak.history import (
    Call,
    CallKind,
    FaultRecord,
    History,
    Run,
)
from linnetwood.lab.soak.limits import Limits
from linnetwood.lab.soak.schedule import LEAD_S, Fault

FATAL_CALLS = 'call that ends servers'
SPAN_S = 12.0
SEED = 1


def pick_of(kind: CallKind) -> int:
    """Return a pick for which a call of this kind is sent."""
    return next(
        pick
        for pick in range(100)
        if Random(pick).choice(tuple(CallKind)) is kind
    )


class CheckerTest(unittest.TestCase):
    """Check histories of a call that crashed three servers."""

    def violations(self, late: int, *troubles: FaultRecord) -> list[str]:
        """Return the violations if it runs so often 4 s after the third."""
        at = [100.0, 101, 102, *(106.0 + one / 10 for one in range(late))]
        calls = [
            Call(f'c{one}', CallKind.IDEMPOTENT, 'e', '/fatal', when, 4)
            for one, when in enumerate(at)
        ]
        runs = [
            Run(
                f'c{one}',
                f'i{one}',
                'desk',
                when,
                0,
                4000,
                's',
                ended_at=when + 0.1,
                crashed=True,
            )
            for one, when in enumerate(at)
        ]
        history = History(calls, runs, troubles=list(troubles))
        return list(Checker(history, Limits()).violations())

    def test_three_runs_after_the_crashes_are_allowed(self) -> None:
        """A fourth run is a violation unless a fault affected the entry."""
        self.assertEqual(self.violations(3), [])
        self.assertEqual(len(self.violations(4)), 1)
        self.assertIn('BUDGET', self.violations(4)[0])
        self.assertEqual(
            self.violations(4, FaultRecord('any', 103, 107, 'e')), []
        )


class ProgramsTest(unittest.TestCase):
    """Run the programs with such calls."""

    def test_fatal_calls_reach_few_servers(self) -> None:
        """Calls of each kind reach few servers after three crashes."""
        planned = [
            Fault(LEAD_S, FATAL_CALLS, SPAN_S, pick_of(kind))
            for kind in CallKind
        ]
        found = run_soak(SEED, 0, Size(6, 9, 9), callers=12, planned=planned)
        self.assertEqual(found['first'], [])
        self.assertEqual(found['ended_badly'], [])
        self.assertGreater(found['calls']['stream 200'], 0)


if __name__ == '__main__':
    unittest.main()
