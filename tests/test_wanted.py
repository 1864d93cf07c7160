"""Named versions: what to load next, and what calls may still start on."""

import unittest

from linnetwood.fleet.wanted import (
    NOT_NAMED,
    SEND_MARGIN_S,
    START_MARGIN_S,
    UNKNOWN_VERSION,
    WantedVersions,
)
from linnetwood.gen.wire.ttypes import WantedWeights

BOUND_S = 8.0
TRANSFER_S = 6.0


def named(*rows: tuple[int, float]) -> WantedVersions:
    """Return versions of one model, each named at a time."""
    wanted = WantedVersions(BOUND_S)
    for version, named_at in rows:
        wanted.add_named('m', version, named_at)
    return wanted


class WantedTest(unittest.TestCase):
    """Decisions by versions and times."""

    def test_each_version_has_its_own_bound(self) -> None:
        """A newer version does not extend the bound of an older one."""
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

    def test_a_seen_time_replaces_a_guess(self) -> None:
        """An entry that starts late must not shorten the bound of others."""
        cases = (
            ('guess alone', ((15.0, True),), 15.0),
            ('guess, then seen', ((15.0, True), (18.0, False)), 18.0),
            ('seen, then guess', ((18.0, False), (15.0, True)), 18.0),
            ('two guesses', ((16.0, True), (15.0, True)), 15.0),
            ('two saw it', ((18.2, False), (18.0, False)), 18.0),
        )
        for name, times, expected in cases:
            with self.subTest(name=name):
                wanted = WantedVersions(BOUND_S)
                for named_at, guessed in times:
                    wanted.add_named('m', 2, named_at, guessed=guessed)
                cutoff = wanted.cutoff('m', 2)
                self.assertEqual(cutoff, expected + BOUND_S - SEND_MARGIN_S)

    def test_a_model_without_a_version_is_sent_as_unknown(self) -> None:
        """It changes nothing where a version is known."""
        sender = WantedVersions(BOUND_S)
        messages = sender.to_messages('pool', ['m'], 20.0)
        self.assertEqual(
            [(sent.model, sent.version) for sent in messages],
            [('m', UNKNOWN_VERSION)],
        )
        receiver = WantedVersions(BOUND_S)
        self.assertEqual(receiver.unknown_models(messages), ('m',))
        receiver.apply_messages(messages, 20.0)
        self.assertEqual(receiver.versions_by_model(), {})
        receiver.add_serving([('m', 1)])
        receiver.apply_messages(messages, 20.0)
        self.assertEqual(receiver.newest('m'), 1)
        self.assertEqual(receiver.unknown_models(messages), ())

    def test_a_guess_is_sent_as_a_guess(self) -> None:
        """A process that receives a guess keeps the time that it saw."""
        late = WantedVersions(BOUND_S)
        late.add_named('m', 2, 15.0, guessed=True)
        receiver = named((2, 18.0))
        receiver.apply_messages(late.to_messages('s', ['m'], 20.0), 20.0)
        late.apply_messages(receiver.to_messages('', ['m'], 20.0), 20.0)
        cutoff = 18.0 + BOUND_S - SEND_MARGIN_S
        self.assertEqual(receiver.cutoff('m', 2), cutoff)
        self.assertEqual(late.cutoff('m', 2), cutoff)

    def test_a_guess_about_an_unknown_version_is_recent(self) -> None:
        """A steady process takes a version it never heard of as just named."""
        late = WantedVersions(BOUND_S)
        late.add_named('m', 2, 26.0 - BOUND_S / 2, guessed=True)
        messages = late.to_messages('s', ['m'], 26.0)
        cases = (
            ('new to a steady process', named(), True, 25.0),
            ('new to a process that just started', named(), False, 22.0),
            ('seen before', named((2, 20.0)), True, 20.0),
        )
        for name, receiver, steady, expected in cases:
            with self.subTest(name=name):
                receiver.apply_messages(messages, 26.0, steady=steady)
                cutoff = receiver.cutoff('m', 2)
                self.assertEqual(cutoff, expected + BOUND_S - SEND_MARGIN_S)

    def test_a_call_starts_before_the_first_newer_bound(self) -> None:
        """A call that waits at an old version is cancelled in time."""
        wanted = named((2, 18.0), (3, 20.0))
        cases = ((1, 18.0), (2, 20.0), (3, float('inf')))
        for version, named_at in cases:
            with self.subTest(version=version):
                self.assertEqual(
                    wanted.start_deadline('m', version),
                    named_at + BOUND_S - START_MARGIN_S,
                )

    def test_a_call_slow_to_arrive_is_within_the_bound(self) -> None:
        """Over a slow link a call may take 1.15 s to arrive."""
        wanted = named((2, 18.0))
        in_transit_s = 1.15
        bound = 18.0 + BOUND_S
        last_sent = next(
            step / 100
            for step in range(1800, 2600)
            if wanted.oldest_allowed('m', step / 100)
        )
        self.assertLess(last_sent + in_transit_s, bound)
        cancelled_at = wanted.start_deadline('m', 1)
        self.assertLess(cancelled_at + in_transit_s / 2, bound)

    def test_older_version_first_where_the_newer_comes_late(self) -> None:
        """The order that leaves calls without an engine for less time wins."""
        cases = (
            ('soon after', (2, 18.0), (3, 20.0), 1, 6.0, 20.0, 3),
            ('long after', (2, 20.0), (3, 24.0), 1, 6.0, 24.0, 2),
            ('slow links', (2, 20.0), (3, 24.0), 1, 7.2, 24.0, 3),
            ('served already', (2, 20.0), (3, 24.0), 2, 6.0, 27.0, 3),
            ('too late', (2, 0.0), (3, 24.0), 1, 6.0, 24.0, 3),
        )
        for name, old, new, serving, transfer_s, now, expected in cases:
            with self.subTest(name=name):
                wanted = named(old, new)
                target = wanted.next_target('m', serving, transfer_s, now)
                self.assertEqual(target, expected)

    def test_serving_version_is_loaded_on_empty_engines(self) -> None:
        """A version that serves but was never named is wanted, too."""
        wanted = WantedVersions(BOUND_S)
        wanted.add_serving([('m', 1)])
        self.assertEqual(wanted.next_target('m', 0, TRANSFER_S, 5.0), 1)
        self.assertEqual(wanted.oldest_allowed('m', 100.0), 0)

    def test_messages_carry_versions_and_bounds(self) -> None:
        """A process that receives them knows the same versions and bounds."""
        wanted = named((2, 18.0), (3, 20.0))
        wanted.add_serving([('m', 1)])
        messages = wanted.to_messages('pool', ['m'], 21.0)
        self.assertEqual(
            [(message.version, message.age_ms) for message in messages],
            [(1, NOT_NAMED), (2, 3000), (3, 1000)],
        )
        other = WantedVersions(BOUND_S)
        other.apply_messages(messages, 121.0)
        self.assertEqual(other.oldest_allowed('m', 118.0 + BOUND_S), 2)
        self.assertEqual(other.newest('m'), 3)

    def test_the_earliest_time_of_a_version_counts(self) -> None:
        """A process that saw a version late learns its true age from others."""
        wanted = named((2, 30.0))
        wanted.apply_messages([WantedWeights('pool', 'm', 2, 5000)], 31.0)
        self.assertEqual(wanted.oldest_allowed('m', 26.0 + BOUND_S), 2)


if __name__ == '__main__':
    unittest.main()
