"""Named versions: what to bring next, and what a call may still start on."""

import unittest

from linnetwood.fleet.wanted import (
    NOT_NAMED,
    SEND_MARGIN_S,
    START_MARGIN_S,
    WantedVersions,
)
from linnetwood.gen.wire.ttypes import WantedWeights

BOUND_S = 8.0
TRANSFER_S = 6.0


def named(*rows: tuple[int, float]) -> WantedVersions:
    """Give versions of one model, named at times."""
    wanted = WantedVersions(BOUND_S)
    for version, since in rows:
        wanted.add_named('m', version, since)
    return wanted


class WantedTest(unittest.TestCase):
    """Decide by versions and times alone."""

    def test_each_version_has_its_own_bound(self) -> None:
        """A newer version does not put off the bound of an older one."""
        wanted = named((2, 18.0), (3, 20.0))
        due = 18.0 + BOUND_S - SEND_MARGIN_S
        cases = (
            (due - 0.1, 0),
            (due, 2),
            (due + 1.9, 2),
            (due + 2.0, 3),
        )
        for now, expected in cases:
            with self.subTest(now=now):
                self.assertEqual(wanted.oldest_allowed('m', now), expected)
        self.assertEqual(wanted.oldest_allowed('other', 99), 0)

    def test_a_guess_gives_way_to_what_others_saw(self) -> None:
        """An entry that came late must not shorten anybody's bound."""
        cases = (
            ('guess alone', ((15.0, True),), 15.0),
            ('guess, then seen', ((15.0, True), (18.0, False)), 18.0),
            ('seen, then guess', ((18.0, False), (15.0, True)), 18.0),
            ('two guesses', ((16.0, True), (15.0, True)), 15.0),
            ('two saw it', ((18.2, False), (18.0, False)), 18.0),
        )
        for name, told, expected in cases:
            with self.subTest(name=name):
                wanted = WantedVersions(BOUND_S)
                for since, guessed in told:
                    wanted.add_named('m', 2, since, guessed=guessed)
                cutoff = wanted.cutoff('m', 2)
                self.assertEqual(cutoff, expected + BOUND_S - SEND_MARGIN_S)

    def test_a_guess_is_told_as_one(self) -> None:
        """Whoever hears it keeps what was seen."""
        late = WantedVersions(BOUND_S)
        late.add_named('m', 2, 15.0, guessed=True)
        there = named((2, 18.0))
        there.apply_messages(late.to_messages('s', ['m'], 20.0), 20.0)
        late.apply_messages(there.to_messages('', ['m'], 20.0), 20.0)
        cutoff = 18.0 + BOUND_S - SEND_MARGIN_S
        self.assertEqual(there.cutoff('m', 2), cutoff)
        self.assertEqual(late.cutoff('m', 2), cutoff)

    def test_a_guess_of_what_nobody_saw_before_is_news(self) -> None:
        """Told by entries all along, a process knows that it is new."""
        late = WantedVersions(BOUND_S)
        late.add_named('m', 2, 26.0 - BOUND_S / 2, guessed=True)
        told = late.to_messages('s', ['m'], 26.0)
        cases = (
            ('new to a steady one', named(), True, 25.0),
            ('new to one that just came', named(), False, 22.0),
            ('seen before', named((2, 20.0)), True, 20.0),
        )
        for name, there, steady, expected in cases:
            with self.subTest(name=name):
                there.apply_messages(told, 26.0, steady=steady)
                cutoff = there.cutoff('m', 2)
                self.assertEqual(cutoff, expected + BOUND_S - SEND_MARGIN_S)

    def test_a_call_begins_before_the_first_newer_bound(self) -> None:
        """What waits at an old version is taken back in time."""
        wanted = named((2, 18.0), (3, 20.0))
        cases = ((1, 18.0), (2, 20.0), (3, float('inf')))
        for version, since in cases:
            with self.subTest(version=version):
                self.assertEqual(
                    wanted.start_deadline('m', version),
                    since + BOUND_S - START_MARGIN_S,
                )

    def test_a_call_slow_to_arrive_is_within_the_bound(self) -> None:
        """Over a narrow link it arrives more than a second after it left."""
        wanted = named((2, 18.0))
        on_the_way_s = 1.15
        bound = 18.0 + BOUND_S
        last_sent = next(
            step / 100
            for step in range(1800, 2600)
            if wanted.oldest_allowed('m', step / 100)
        )
        self.assertLess(last_sent + on_the_way_s, bound)
        taken_back = wanted.start_deadline('m', 1)
        self.assertLess(taken_back + on_the_way_s / 2, bound)

    def test_older_version_first_where_the_newer_comes_late(self) -> None:
        """Both ways are weighed by when calls would find no engine."""
        cases = (
            ('soon after', (2, 18.0), (3, 20.0), 1, 6.0, 20.0, 3),
            ('long after', (2, 20.0), (3, 24.0), 1, 6.0, 24.0, 2),
            ('narrow links', (2, 20.0), (3, 24.0), 1, 7.2, 24.0, 3),
            ('served already', (2, 20.0), (3, 24.0), 2, 6.0, 27.0, 3),
            ('hopeless', (2, 0.0), (3, 24.0), 1, 6.0, 24.0, 3),
        )
        for name, old, new, serving, transfer_s, now, expected in cases:
            with self.subTest(name=name):
                wanted = named(old, new)
                aim = wanted.next_target('m', serving, transfer_s, now)
                self.assertEqual(aim, expected)

    def test_serving_version_goes_to_empty_engines(self) -> None:
        """A version that serves and was never named is wanted too."""
        wanted = WantedVersions(BOUND_S)
        wanted.add_serving([('m', 1)])
        self.assertEqual(wanted.next_target('m', 0, TRANSFER_S, 5.0), 1)
        self.assertEqual(wanted.oldest_allowed('m', 100.0), 0)

    def test_what_is_told_is_learned(self) -> None:
        """Another process knows the same versions and bounds."""
        wanted = named((2, 18.0), (3, 20.0))
        wanted.add_serving([('m', 1)])
        rows = wanted.to_messages('pool', ['m'], 21.0)
        self.assertEqual(
            [(row.version, row.age_ms) for row in rows],
            [(1, NOT_NAMED), (2, 3000), (3, 1000)],
        )
        other = WantedVersions(BOUND_S)
        other.apply_messages(rows, 121.0)
        self.assertEqual(other.oldest_allowed('m', 118.0 + BOUND_S), 2)
        self.assertEqual(other.newest('m'), 3)

    def test_earliest_word_of_a_version_counts(self) -> None:
        """A process that came later learns the true age from others."""
        wanted = named((2, 30.0))
        wanted.apply_messages([WantedWeights('pool', 'm', 2, 5000)], 31.0)
        self.assertEqual(wanted.oldest_allowed('m', 26.0 + BOUND_S), 2)


if __name__ == '__main__':
    unittest.main()
