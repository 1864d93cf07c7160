"""A link that brings less than it should is noticed, slow senders are not."""

import unittest
from random import Random

from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.narrowing import LinkSense
from linnetwood.weights.reading import DirectReading
from linnetwood.weights.swarm import Swarm

CHUNK_S = 0.05


class NarrowingTest(unittest.TestCase):
    """Bring chunks at one speed or another."""

    def test_cases(self) -> None:
        """The fastest chunk counts, divided among those that came at once."""
        cases = (
            ('alone, as stated', [(0.05, 1)] * 6, False),
            ('three at once, as stated', [(0.15, 3)] * 6, False),
            ('three at once on a quarter', [(0.6, 3)] * 6, True),
            ('alone on a quarter', [(0.2, 1)] * 6, True),
            ('one fast among slow senders', [(0.6, 3)] * 5 + [(0.1, 2)], False),
            ('too few to tell', [(0.6, 3)] * 5, False),
            ('wide again', [(0.6, 3)] * 6 + [(0.06, 1)], False),
        )
        for name, came, expected in cases:
            with self.subTest(name=name):
                found = LinkSense(CHUNK_S)
                for took_s, flows in came:
                    found.came(took_s, flows)
                self.assertEqual(found.narrowed, expected)
        unknown = LinkSense(0)
        for _ in range(6):
            unknown.came(9, 1)
        self.assertFalse(unknown.narrowed)

    def test_a_narrowed_link_gets_one_chunk_at_a_time(self) -> None:
        """Calls to the engine beside it wait behind what was asked for."""
        cfg = SwarmOptions(window=3, chunk_link_s=CHUNK_S)
        found = Swarm(8, 0, cfg, DirectReading(8), Random(1), 0)
        for vm in ('a', 'b', 'c'):
            found.meet(vm)
            found.notice(vm, 0b11111111, 0)
        for _ in range(6):
            found.link.came(0.6, 3)
        self.assertEqual(len(list(found.plan(0))), 1)
        self.assertEqual(list(found.plan(0.1)), [])


if __name__ == '__main__':
    unittest.main()
