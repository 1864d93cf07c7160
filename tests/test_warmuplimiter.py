"""How many calls cold endpoints get from entries that don't communicate.

Load pattern: the endpoints of a zone come back cold together and every entry
has calls for them at once. Entries start and die meanwhile, and the number of
entries is reported late. The test uses virtual time.
"""

import unittest
from random import Random

from linnetwood.calls.warmuplimiter import WarmupLimiter

PER_S = 26.0
ALLOWED = PER_S * 1.5 + 5
STEP_S = 0.01
SPAN_S = 12.0
SIZES = (3, 39, 98, 410)


class Entries:
    """Entries that send to one cold endpoint as often as they may."""

    def __init__(self, count: int, seed: int) -> None:
        self.known_count = count
        self.sent: list[float] = []
        self.rng = Random(seed)
        self.limiters = [self.limiter() for _ in range(count)]

    def limiter(self) -> WarmupLimiter:
        """Return the limiter of a new entry."""
        return WarmupLimiter(
            Random(self.rng.random()), lambda: self.known_count
        )

    def step(self, now: float, share: float = 1) -> None:
        """Let a share of the entries send a call if they may."""
        for limiter in self.limiters:
            if self.rng.random() < share and limiter.may_send('i', PER_S, now):
                limiter.record_sent('i', PER_S, now)
                self.sent.append(now)

    def max_in_a_second(self) -> int:
        """Return the largest number of calls sent within any second."""
        times = sorted(self.sent)
        first = 0
        most = 0
        for number, at in enumerate(times):
            while at - times[first] >= 1:
                first += 1
            most = max(most, number - first + 1)
        return most


class WarmupLimiterTest(unittest.TestCase):
    """Count the calls that arrive within a second."""

    def play(self, entries: Entries, share: float = 1) -> None:
        """Let all entries have calls for 12 s."""
        for number in range(int(SPAN_S / STEP_S)):
            entries.step(number * STEP_S, share)

    def test_sum_over_all_entries(self) -> None:
        """The sum stays within the bound at each size and demand."""
        for count in SIZES:
            for share in (1, 0.05):
                with self.subTest(count=count, share=share):
                    entries = Entries(count, count)
                    self.play(entries, share)
                    self.assertLessEqual(entries.max_in_a_second(), ALLOWED)

    def test_the_rate_is_used(self) -> None:
        """At least two thirds of the rate arrive: calls wait 1.5 times."""
        for count in SIZES:
            with self.subTest(count=count):
                entries = Entries(count, count)
                self.play(entries)
                rate = len(entries.sent) / SPAN_S
                self.assertGreaterEqual(rate, PER_S / 1.5)

    def test_burst_after_long_idling(self) -> None:
        """Entries that were idle together do not all send at once."""
        for count in SIZES[1:]:
            entries = Entries(count, count)
            for number in range(100):
                entries.step(number * STEP_S)
            entries.sent.clear()
            for number in range(100):
                entries.step(60 + number * STEP_S)
            with self.subTest(count=count):
                self.assertLessEqual(entries.max_in_a_second(), ALLOWED)

    def test_burst_after_short_idling(self) -> None:
        """Guard against send times that entries save while they are idle."""
        for count in SIZES:
            entries = Entries(count, count)
            self.play(entries)
            entries.sent.clear()
            for number in range(100):
                entries.step(SPAN_S + 8 + number * STEP_S)
            with self.subTest(count=count):
                self.assertLessEqual(entries.max_in_a_second(), ALLOWED)

    def test_new_entries_and_a_late_count(self) -> None:
        """A fifth more entries than are known, a few new ones per second."""
        entries = Entries(39, 1)
        entries.known_count = 39
        for number in range(int(SPAN_S / STEP_S)):
            if number % 100 == 0 and len(entries.limiters) < 47:
                entries.limiters.append(entries.limiter())
            if number % 130 == 0:
                entries.limiters[number % 39] = entries.limiter()
            entries.step(number * STEP_S)
        self.assertLessEqual(entries.max_in_a_second(), ALLOWED)

    def test_unlisted_endpoints_are_forgotten(self) -> None:
        """A limiter keeps nothing of endpoints that are no longer listed."""
        limiter = WarmupLimiter(Random(1), lambda: 1)
        limiter.record_sent('i', PER_S, 0)
        limiter.forget_unlisted(set())
        self.assertEqual(limiter._next_send_at, {})


if __name__ == '__main__':
    unittest.main()
