"""Waits of earlier calls correct predictions, within bounds and for a time."""

import unittest

from linnetwood.calls.policy.lateness import (
    SPREAD_S,
    MeanLateness,
)


class MeanLatenessTest(unittest.TestCase):
    """Record calls that begin later or sooner than predicted."""

    def test_learns(self) -> None:
        """Late calls raise the correction step by step, prompt ones end it."""
        forecast = MeanLateness()
        self.assertEqual(forecast.mean_lateness_s(1, 10), 0)
        for _ in range(20):
            forecast.record(0.2, 0.5, 10)
        self.assertAlmostEqual(forecast.mean_lateness_s(1, 10), 0.3, 2)
        for _ in range(3):
            forecast.record(0.2, 0.2, 10)
        self.assertLess(forecast.mean_lateness_s(1, 10), 0.15)
        for _ in range(20):
            forecast.record(0.3, 0.2, 10)
        self.assertEqual(forecast.mean_lateness_s(1, 10), 0)

    def test_bounded(self) -> None:
        """At most half of the target, so that an idle engine gets calls."""
        forecast = MeanLateness()
        for _ in range(20):
            forecast.record(0.2, 4, 10)
        self.assertEqual(forecast.mean_lateness_s(0.6, 10), 0.3)

    def test_forgets(self) -> None:
        """It decays, since an entry that admits nothing learns nothing."""
        forecast = MeanLateness()
        for _ in range(20):
            forecast.record(0.2, 0.6, 10)
        self.assertAlmostEqual(forecast.mean_lateness_s(1, 15), 0.2, 2)
        self.assertLess(forecast.mean_lateness_s(1, 30), 0.03)

    def test_the_usual_spread_is_allowed(self) -> None:
        """The spread is added to the learned lateness."""
        forecast = MeanLateness()
        self.assertEqual(forecast.margin_s(1, 10), SPREAD_S)
        for _ in range(20):
            forecast.record(0.2, 4, 10)
        self.assertEqual(forecast.margin_s(0.6, 10), SPREAD_S + 0.3)


if __name__ == '__main__':
    unittest.main()
