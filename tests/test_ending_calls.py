"""An incident: calls that ended every server that began to run them.

Seen: two calls were sent to servers 5 and 10 times more after three servers had
ended under each; 19 and 20 ended in all, and under each all calls that ran
there. Each time the call came with an id of its own, at any entry: attempts and
the retry budget are counted by call and by entry, so nothing knew that it was
the same one, and the second attempt of each ended a second server. Proved by
the same run with and without such calls: servers ended only under these.
"""

import unittest
from random import Random

from linnetwood.lab.measure_soak import run_soak
from linnetwood.lab.soak.checks import Checker, Limits
from linnetwood.lab.soak.fleet import Size
from linnetwood.lab.soak.history import Call, History, Kind, Run, Trouble
from linnetwood.lab.soak.schedule import LEAD_S, Fault

KIND = 'call that ends servers'
SPAN_S = 12.0
SEED = 1


def pick_of(kind: Kind) -> int:
    """Give the pick by which a call of this kind is sent."""
    return next(
        pick for pick in range(100) if Random(pick).choice(tuple(Kind)) is kind
    )


class CheckerTest(unittest.TestCase):
    """Histories of a call that ended three servers."""

    def broken(self, late: int, *troubles: Trouble) -> list[str]:
        """Let it come so many times more, four seconds after the third."""
        at = [100.0, 101, 102, *(106.0 + one / 10 for one in range(late))]
        calls = [
            Call(f'c{one}', Kind.MAY, 'e', '/fatal', when, 4)
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

    def test_three_more_are_allowed(self) -> None:
        """The fourth breaks the rule, unless a fault lay on the entry."""
        self.assertEqual(self.broken(3), [])
        self.assertEqual(len(self.broken(4)), 1)
        self.assertIn('BUDGET', self.broken(4)[0])
        self.assertEqual(self.broken(4, Trouble('any', 103, 107, 'e')), [])


class ProgramsTest(unittest.TestCase):
    """The programs, and one such call of each kind of route."""

    def test_servers_are_spared(self) -> None:
        """It goes to hardly any server once three have ended."""
        planned = [Fault(LEAD_S, KIND, SPAN_S, pick_of(kind)) for kind in Kind]
        found = run_soak(SEED, 0, Size(6, 9, 9), callers=12, planned=planned)
        self.assertEqual(found['first'], [])
        self.assertEqual(found['ended_badly'], [])
        self.assertGreater(found['calls']['stream 200'], 0)


if __name__ == '__main__':
    unittest.main()
