"""Which entries an endpoint process tells, and what those new need."""

import unittest

from linnetwood.fleet.news import Address
from linnetwood.fleet.reportsubscribers import (
    ReportSubscribers,
    ReportSubscription,
)

NEAR = ('10.0.0.1', 7700)
FAR = ('10.0.0.2', 7700)


class ListenersTest(unittest.TestCase):
    """Follow greetings by their times and numbers."""

    def test_newcomers(self) -> None:
        """An entry is new for a while, and again after it started anew."""
        found = ReportSubscribers(0)
        cases: tuple[tuple[str, Address, int, float, list[Address]], ...] = (
            ('first greeting', NEAR, 1, 0.0, [NEAR]),
            ('a second later', NEAR, 2, 1.0, [NEAR]),
            ('no longer new', NEAR, 3, 2.0, []),
            ('another comes', FAR, 1, 2.5, [FAR]),
            ('it started anew', NEAR, 1, 2.6, [FAR, NEAR]),
        )
        for name, address, number, now, expected in cases:
            with self.subTest(name=name):
                found.subscribe(address, ReportSubscription(number), now)
                self.assertCountEqual(found.new_subscribers(now), expected)

    def test_gone(self) -> None:
        """Four greetings missed, and an entry is told no more."""
        found = ReportSubscribers(0)
        found.subscribe(NEAR, ReportSubscription(1), 0)
        found.subscribe(FAR, ReportSubscription(1), 3)
        found.expire(3.9)
        self.assertCountEqual(found.addresses(), [NEAR, FAR])
        found.expire(4.1)
        self.assertEqual(found.addresses(), [FAR])

    def test_told_all_the_while(self) -> None:
        """The time counts from the last gap between all greetings."""
        found = ReportSubscribers(0)
        cases = (
            ('first', NEAR, 1, 1.0, 1.0),
            ('steady', NEAR, 2, 2.0, 2.0),
            ('one goes, another goes on', FAR, 1, 3.4, 3.4),
            ('a gap', NEAR, 3, 5.0, 0.0),
            ('steady again', FAR, 2, 6.0, 1.0),
        )
        for name, address, number, now, expected in cases:
            with self.subTest(name=name):
                found.subscribe(address, ReportSubscription(number), now)
                self.assertEqual(found.unbroken_for_s(now), expected)


if __name__ == '__main__':
    unittest.main()
