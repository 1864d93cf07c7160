"""Decisions that can be exchanged: by name, checked, each with its ways."""

import dataclasses
import pathlib
import tempfile
import unittest
from random import Random

from linnetwood.calls.policy.firstattempts import (
    FIRST_ATTEMPT_DETECTORS,
    AlwaysFirst,
    ByRemainingWait,
    CallTraits,
)
from linnetwood.calls.policy.retryafter import (
    RETRY_AFTER_POLICIES,
    LastPart,
    SizedWindow,
)
from linnetwood.calls.policy.retrycapacity import (
    RETRY_CAPACITY,
    SlotUsage,
    keep_reserve,
    same_as_first,
)
from linnetwood.core.errors import SettingsError
from linnetwood.core.options import Decisions
from linnetwood.programs.resident import read_decisions
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.versionplan import PLANS

POLICIES = {
    'first_tries': FIRST_ATTEMPT_DETECTORS,
    'return_room': RETRY_CAPACITY,
    'returns': RETRY_AFTER_POLICIES,
    'takeover': TAKEOVERS,
    'version_plan': PLANS,
}


class SettingsTest(unittest.TestCase):
    """What the settings file of a resident process may say."""

    def read(self, text: str) -> Decisions:
        """Read a file that says this."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'decisions.yaml'
            path.write_text(text)
            return read_decisions([str(path)])

    def test_every_way_has_a_name_and_every_name_a_way(self) -> None:
        """Nothing is allowed that can't be had, and the other way round."""
        fields = {field.name: field for field in dataclasses.fields(Decisions)}
        self.assertEqual(fields.keys(), POLICIES.keys())
        for name, policies in POLICIES.items():
            with self.subTest(decision=name):
                allowed = fields[name].metadata['allowed']
                self.assertEqual(set(allowed), set(policies))
                self.assertGreaterEqual(len(policies), 2)

    def test_without_a_file(self) -> None:
        """The ways that were best."""
        self.assertEqual(read_decisions([]), Decisions())

    def test_a_file(self) -> None:
        """It names what differs."""
        found = self.read('returns: sized-window\n')
        self.assertEqual(found, Decisions(returns='sized-window'))

    def test_what_does_not_fit(self) -> None:
        """It is refused with a code, the field and what is allowed."""
        cases = (
            ('returns: never\n', 'settings-bad-field'),
            ('retuns: last-part\n', 'settings-bad-field'),
            ('', 'settings-empty'),
            ('{', 'settings-not-yaml'),
        )
        for text, code in cases:
            with self.subTest(text=text):
                with self.assertRaises(SettingsError) as caught:
                    self.read(text)
                self.assertEqual(caught.exception.code, code)

    def test_files_that_are_not_there_or_too_many(self) -> None:
        """Nothing starts on a guess."""
        for argv, code in (
            (['/nowhere/decisions.yaml'], 'settings-unreadable'),
            (['a', 'b'], 'settings-too-many'),
        ):
            with self.subTest(argv=argv):
                with self.assertRaises(SettingsError) as caught:
                    read_decisions(argv)
                self.assertEqual(caught.exception.code, code)


class RetryAfterTest(unittest.TestCase):
    """When refused callers come back."""

    def test_nobody_is_told_to_wait_too_long(self) -> None:
        """A third of the time that is left, and not at once."""
        for make in RETRY_AFTER_POLICIES.values():
            retry_after = make(Random(1))
            for number in range(200):
                after_s = retry_after.after_s(6, number / 100)
                self.assertLessEqual(after_s, 2)
                self.assertGreaterEqual(after_s, 0.15)

    def test_a_window_as_long_as_the_crowd_needs(self) -> None:
        """Few come back soon; many over all that they wait."""
        few = SizedWindow(Random(1))
        many = SizedWindow(Random(1))
        for number in range(10):
            few.admitted(number / 100)
            many.admitted(number / 100)
        for number in range(20):
            many.after_s(6, 0.1 + number / 1000)
        soon = [few.after_s(6, 0.1) for _ in range(2)]
        later = [many.after_s(6, 0.2) for _ in range(40)]
        self.assertLess(max(soon), 1)
        self.assertGreater(max(later), 1.5)
        self.assertLess(min(later), 1)

    def test_the_last_part(self) -> None:
        """Whoever comes back is late anyway, and differs from others."""
        retry_after = LastPart(Random(1))
        found = [retry_after.after_s(6, 0) for _ in range(50)]
        self.assertGreaterEqual(min(found), 1.2)
        self.assertGreater(max(found) - min(found), 0.5)


def traits(
    route: str, wait_s: float | None, target_s: float = 0.5
) -> CallTraits:
    """Give what a caller says that it waits."""
    return CallTraits(route, wait_s, target_s)


class FirstAttemptTest(unittest.TestCase):
    """Who comes for the first time, by what callers say that they wait."""

    def setUp(self) -> None:
        self.detector = ByRemainingWait()
        for number in range(20):
            self.assertTrue(
                self.detector.is_first(traits('r', 6 + number / 100), 0)
            )

    def test_who_was_refused_has_less_time(self) -> None:
        """A fifth of it at least; others differ by little."""
        self.detector.refused(1)
        self.assertTrue(self.detector.is_first(traits('r', 6.0), 1))
        self.assertFalse(self.detector.is_first(traits('r', 4.8), 2))
        self.assertFalse(self.detector.is_first(traits('r', 4.1), 2))

    def test_who_may_still_be_in_time(self) -> None:
        """It counts as a first try, also where it has waited."""
        self.detector.refused(1)
        self.assertTrue(self.detector.is_first(traits('r', 4.8, 2), 2))
        self.assertFalse(self.detector.is_first(traits('r', 4.1, 1.5), 2))

    def test_routes_differ(self) -> None:
        """Each has callers of its own."""
        self.assertTrue(self.detector.is_first(traits('s', 1.5), 0))
        self.assertFalse(self.detector.is_first(traits('r', 1.5), 0))

    def test_nothing_is_said(self) -> None:
        """Then nobody is put behind."""
        self.assertTrue(self.detector.is_first(traits('r', None), 0))

    def test_nobody_is_known_yet(self) -> None:
        """All are alike until enough were seen."""
        detector = ByRemainingWait()
        detector.is_first(traits('r', 6), 0)
        self.assertTrue(detector.is_first(traits('r', 3), 0))

    def test_callers_that_differ(self) -> None:
        """The way does not fit, and is left by itself."""
        detector = ByRemainingWait()
        rng = Random(1)
        waits = [rng.uniform(2, 6) for _ in range(200)]
        found = [detector.is_first(traits('r', wait_s), 0) for wait_s in waits]
        self.assertTrue(all(found[40:]))
        detector.refused(1)
        self.assertTrue(detector.is_first(traits('r', 2), 1))

    def test_returns_don_t_count_against_it(self) -> None:
        """Those who come back after a refusal are what it is for."""
        self.detector.refused(10)
        found = [self.detector.is_first(traits('r', 4), 11) for _ in range(100)]
        self.assertFalse(any(found))
        self.assertTrue(self.detector.is_reliable)

    def test_callers_that_wait_less_from_now_on(self) -> None:
        """What they waited before is forgotten."""
        found = [
            self.detector.is_first(traits('r', 3), at)
            for at in range(1, 100, 5)
        ]
        self.assertTrue(found[-1])

    def test_memory_is_bounded(self) -> None:
        """Routes beyond a number are not told apart."""
        for number in range(10000):
            self.detector.is_first(traits(f'r{number}', 6), 0)
        self.assertLessEqual(len(self.detector._longest), 4096)
        self.assertTrue(self.detector.is_first(traits('r9999', 1), 0))

    def test_all_alike(self) -> None:
        """The other way tells nobody apart."""
        self.assertTrue(AlwaysFirst().is_first(traits('r', 0.1), 0))


class RetryCapacityTest(unittest.TestCase):
    """Which places callers who come back may have."""

    def test_as_first(self) -> None:
        """All that first tries may have."""
        for taken in (0, 8, 15, 20):
            self.assertTrue(same_as_first(SlotUsage(taken, 16)))

    def test_a_reserve(self) -> None:
        """Where more than a quarter of the slots is free."""
        for taken, slots, expected in (
            (0, 16, True),
            (11, 16, True),
            (12, 16, False),
            (20, 16, False),
            (0, 1, True),
            (1, 1, False),
        ):
            with self.subTest(taken=taken, slots=slots):
                self.assertIs(keep_reserve(SlotUsage(taken, slots)), expected)


if __name__ == '__main__':
    unittest.main()
