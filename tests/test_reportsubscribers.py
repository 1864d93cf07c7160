"""Subscriptions of entries to the load reports of an endpoint process."""

import unittest

from linnetwood.fleet.news import Address
from linnetwood.fleet.reportsubscribers import (
    ReportSubscribers,
    ReportSubscription,
)

NEAR = ('10.0.0.1', 7700)
FAR = ('10.0.0.2', 7700)


class ReportSubscribersTest(unittest.TestCase):
    """Follow subscriptions by their times and numbers."""

    def test_new_subscribers(self) -> None:
        """An entry is new for 1.5 s, and again after it restarted."""
        subscribers = ReportSubscribers(0)
        cases: tuple[tuple[str, Address, int, float, list[Address]], ...] = (
            ('first subscription', NEAR, 1, 0.0, [NEAR]),
            ('a second later', NEAR, 2, 1.0, [NEAR]),
            ('no longer new', NEAR, 3, 2.0, []),
            ('another entry', FAR, 1, 2.5, [FAR]),
            ('the first restarted', NEAR, 1, 2.6, [FAR, NEAR]),
        )
        for name, address, number, now, expected in cases:
            with self.subTest(name=name):
                subscribers.subscribe(address, ReportSubscription(number), now)
                self.assertCountEqual(
                    subscribers.new_subscribers(['m'], now), expected
                )

    def test_new_subscribers_by_their_models(self) -> None:
        """An entry gets what it may use: all, where it names no models."""
        subscribers = ReportSubscribers(0)
        subscribers.subscribe(NEAR, ReportSubscription(1), 0)
        named = ReportSubscription(1, models=frozenset('ab'))
        subscribers.subscribe(FAR, named, 0)
        for known, expected in (
            (['b', 'c'], [NEAR, FAR]),
            (['c'], [NEAR]),
            ([], [NEAR]),
        ):
            with self.subTest(known=known):
                found = subscribers.new_subscribers(known, 1)
                self.assertEqual(found, expected)

    def test_lacking(self) -> None:
        """Only who lacks a version that is known here is named."""
        subscribers = ReportSubscribers(0)
        subscribers.subscribe(NEAR, ReportSubscription(1), 0)
        lacking = ReportSubscription(1, unknown_models=frozenset('ab'))
        subscribers.subscribe(FAR, lacking, 0)
        self.assertEqual(subscribers.lacking(['b', 'c']), [FAR])
        self.assertEqual(subscribers.lacking(['c']), [])
        subscribers.subscribe(FAR, ReportSubscription(2), 1)
        self.assertEqual(subscribers.lacking(['b', 'c']), [])

    def test_expired(self) -> None:
        """A subscription expires 4 s after it was last renewed."""
        subscribers = ReportSubscribers(0)
        subscribers.subscribe(NEAR, ReportSubscription(1), 0)
        subscribers.subscribe(FAR, ReportSubscription(1), 3)
        subscribers.expire(3.9)
        self.assertCountEqual(subscribers.addresses(), [NEAR, FAR])
        subscribers.expire(4.1)
        self.assertEqual(subscribers.addresses(), [FAR])

    def test_unbroken_time(self) -> None:
        """The time counts from the last gap in which no entry renewed."""
        subscribers = ReportSubscribers(0)
        cases = (
            ('first', NEAR, 1, 1.0, 1.0),
            ('steady', NEAR, 2, 2.0, 2.0),
            ('one stops, another goes on', FAR, 1, 3.4, 3.4),
            ('a gap', NEAR, 3, 5.0, 0.0),
            ('steady again', FAR, 2, 6.0, 1.0),
        )
        for name, address, number, now, expected in cases:
            with self.subTest(name=name):
                subscribers.subscribe(address, ReportSubscription(number), now)
                self.assertEqual(subscribers.unbroken_for_s(now), expected)


if __name__ == '__main__':
    unittest.main()
