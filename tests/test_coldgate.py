"""What cold endpoints receive from entries that do not talk to each other.

Load pattern: a zone's endpoints come back cold together and every entry has
calls for them at once; entries start and die meanwhile, and the number of
entries is told late. Virtual time.
"""

import unittest
from random import Random

from linnetwood.calls.warmuplimiter import WarmupLimiter

PER_S = 26.0
ALLOWED = PER_S * 1.5 + 5
STEP_S = 0.01
SPAN_S = 12.0
SIZES = (3, 39, 98, 410)


class Crowd:
    """Entries that would send to one cold endpoint as often as they may."""

    def __init__(self, count: int, seed: int) -> None:
        self.told = count
        self.sent: list[float] = []
        self.rng = Random(seed)
        self.gates = [self.gate() for _ in range(count)]

    def gate(self) -> WarmupLimiter:
        """Give a new entry's gate."""
        return WarmupLimiter(Random(self.rng.random()), lambda: self.told)

    def step(self, now: float, share: float = 1) -> None:
        """Let a share of the entries have a call."""
        for gate in self.gates:
            if self.rng.random() < share and gate.may_send('i', PER_S, now):
                gate.record_sent('i', PER_S, now)
                self.sent.append(now)

    def most(self) -> int:
        """Give the most that were sent within any second."""
        times = sorted(self.sent)
        first = 0
        most = 0
        for number, at in enumerate(times):
            while at - times[first] >= 1:
                first += 1
            most = max(most, number - first + 1)
        return most


class ColdGateTest(unittest.TestCase):
    """Count what arrives within a second."""

    def play(self, crowd: Crowd, share: float = 1) -> None:
        """Let all have calls for a while."""
        for number in range(int(SPAN_S / STEP_S)):
            crowd.step(number * STEP_S, share)

    def test_sum_over_all_entries(self) -> None:
        """It stays within what is allowed, at each size and demand."""
        for count in SIZES:
            for share in (1, 0.05):
                with self.subTest(entries=count, share=share):
                    crowd = Crowd(count, count)
                    self.play(crowd, share)
                    self.assertLessEqual(crowd.most(), ALLOWED)

    def test_the_rate_is_used(self) -> None:
        """Two thirds of what is borne arrive: half as long again at most."""
        for count in SIZES:
            with self.subTest(entries=count):
                crowd = Crowd(count, count)
                self.play(crowd)
                rate = len(crowd.sent) / SPAN_S
                self.assertGreaterEqual(rate, PER_S / 1.5)

    def test_a_wave_after_silence(self) -> None:
        """Entries that were idle together do not all send at once."""
        for count in SIZES[1:]:
            crowd = Crowd(count, count)
            for number in range(100):
                crowd.step(number * STEP_S)
            crowd.sent.clear()
            for number in range(100):
                crowd.step(60 + number * STEP_S)
            with self.subTest(entries=count):
                self.assertLessEqual(crowd.most(), ALLOWED)

    def test_a_wave_after_a_pause(self) -> None:
        """Guard against turns that entries save while they are idle."""
        for count in SIZES:
            crowd = Crowd(count, count)
            self.play(crowd)
            crowd.sent.clear()
            for number in range(100):
                crowd.step(SPAN_S + 8 + number * STEP_S)
            with self.subTest(entries=count):
                self.assertLessEqual(crowd.most(), ALLOWED)

    def test_entries_that_come_and_a_count_that_is_late(self) -> None:
        """A fifth more entries than are known, a few new ones a second."""
        crowd = Crowd(39, 1)
        crowd.told = 39
        for number in range(int(SPAN_S / STEP_S)):
            if number % 100 == 0 and len(crowd.gates) < 47:
                crowd.gates.append(crowd.gate())
            if number % 130 == 0:
                crowd.gates[number % 39] = crowd.gate()
            crowd.step(number * STEP_S)
        self.assertLessEqual(crowd.most(), ALLOWED)

    def test_what_is_gone_is_forgotten(self) -> None:
        """A gate keeps nothing of endpoints that are no longer listed."""
        gate = WarmupLimiter(Random(1), lambda: 1)
        gate.record_sent('i', PER_S, 0)
        gate.forget_unlisted(set())
        self.assertEqual(gate._next_send_at, {})


if __name__ == '__main__':
    unittest.main()
