"""Test that slow turns of a loop are told apart from freezes."""

import unittest

from linnetwood.core.slowturns import PERIOD_S, SlowPeriod, SlowTurns


class SlowTurnsTest(unittest.TestCase):
    """Sum up turns with given times."""

    def test_slow_turns_of_a_period(self) -> None:
        """An entry held up by its own work must not look like a frozen one."""
        slow = SlowTurns(10.0, 2.0)
        for turn_s in (0.25, 0.01, 0.5):
            slow.add(turn_s)
        self.assertFalse(slow.is_over(10.0 + PERIOD_S / 2))
        self.assertTrue(slow.is_over(10.0 + PERIOD_S))
        self.assertEqual(
            slow.end_period(11.0, 2.75), SlowPeriod(2, 0.75, 0.5, 0.75)
        )

    def test_periods_without_slow_turns(self) -> None:
        """Quick turns are not reported, nor are slow ones reported twice."""
        slow = SlowTurns(10.0, 0)
        slow.add(0.5)
        self.assertIsNotNone(slow.end_period(11.0, 0.5))
        slow.add(0.01)
        self.assertIsNone(slow.end_period(12.0, 0.9))
