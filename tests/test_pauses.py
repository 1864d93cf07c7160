"""After a pause no order is given from what was known before."""

import unittest

from linnetwood.core.pauses import PauseDetector
from linnetwood.weights.orders import next_fence


class PausesTest(unittest.TestCase):
    """Check when an order may be given."""

    def test_orders(self) -> None:
        """Orders stop only after a pause, until a peer confirms."""
        cases = (
            ('not paused', (1, 2, 3), False, 3.5, True),
            ('paused', (1, 9), False, 9.5, False),
            ('paused without a tick', (1,), False, 9, False),
            ('confirmed', (1, 9), True, 9.5, True),
        )
        for name, ticks, confirmed, now, expected in cases:
            watch = PauseDetector(0)
            for tick in ticks:
                watch.tick(tick)
            if confirmed:
                watch.confirm()
            with self.subTest(name):
                self.assertEqual(watch.may_order(now), expected)

    def test_isolated(self) -> None:
        """Without any answer, orders are allowed again after 10 s."""
        watch = PauseDetector(0)
        found = [watch.may_order(9 + second) for second in range(13)]
        self.assertEqual(found.index(True), 11)

    def test_fences_grow(self) -> None:
        """A fence is above the engine's own and grows with the revision."""
        cases = ((1, 0, 1 << 20), (1, 1 << 20, (1 << 20) + 1), (2, 5, 2 << 20))
        for revision, standing, expected in cases:
            with self.subTest(expected):
                self.assertEqual(next_fence(revision, standing), expected)


if __name__ == '__main__':
    unittest.main()
