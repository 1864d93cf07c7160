"""Decisions on calls: the settings that select policies, and the policies."""

import dataclasses
import math
import pathlib
import tempfile
import unittest
from random import Random

from linnetwood.calls.enginepace import PACES, PaceDurations
from linnetwood.calls.heldbytes import READER_LIMITS, HeldBytes
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
from linnetwood.calls.prioritylevels import rank_priorities
from linnetwood.calls.routetable import RouteTable, Service
from linnetwood.core.errors import SettingsError
from linnetwood.core.options import Decisions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.programs.resident import read_decisions
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.versionplan import PLANS

POLICIES = {
    'paces': PACES,
    'priorities': ('ranked', 'ignored'),
    'prompt_parts': ('counted', 'ignored'),
    'slow_readers': READER_LIMITS,
    'first_tries': FIRST_ATTEMPT_DETECTORS,
    'return_room': RETRY_CAPACITY,
    'returns': RETRY_AFTER_POLICIES,
    'takeover': TAKEOVERS,
    'version_plan': PLANS,
}


class SettingsTest(unittest.TestCase):
    """Read the decisions in the settings file of a resident process."""

    def read(self, text: str) -> Decisions:
        """Read a settings file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'decisions.yaml'
            path.write_text(text)
            return read_decisions([str(path)])

    def test_settings_allow_exactly_the_known_policies(self) -> None:
        """Each decision allows the names of all its policies and no others."""
        fields = {field.name: field for field in dataclasses.fields(Decisions)}
        self.assertEqual(fields.keys(), POLICIES.keys())
        for name, policies in POLICIES.items():
            with self.subTest(decision=name):
                allowed = fields[name].metadata['allowed']
                self.assertEqual(set(allowed), set(policies))
                self.assertGreaterEqual(len(policies), 2)

    def test_defaults_without_a_file(self) -> None:
        """Without a file the default policies are used."""
        self.assertEqual(read_decisions([]), Decisions())

    def test_file_overrides_defaults(self) -> None:
        """A file needs to name only what differs from the defaults."""
        found = self.read('returns: sized-window\n')
        self.assertEqual(found, Decisions(returns='sized-window'))

    def test_invalid_files_are_refused(self) -> None:
        """An invalid file is refused with the code of its error."""
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

    def test_missing_or_surplus_files_are_refused(self) -> None:
        """A process doesn't guess which settings are meant."""
        for argv, code in (
            (['/nowhere/decisions.yaml'], 'settings-unreadable'),
            (['a', 'b'], 'settings-too-many'),
        ):
            with self.subTest(argv=argv):
                with self.assertRaises(SettingsError) as caught:
                    read_decisions(argv)
                self.assertEqual(caught.exception.code, code)


class RetryAfterTest(unittest.TestCase):
    """When refused callers retry."""

    def test_retry_delays_are_bounded(self) -> None:
        """Delays are 0.15 s to a third of the remaining time."""
        for make in RETRY_AFTER_POLICIES.values():
            retry_after = make(Random(1))
            for number in range(200):
                after_s = retry_after.after_s(6, number / 100)
                self.assertLessEqual(after_s, 2)
                self.assertGreaterEqual(after_s, 0.15)

    def test_window_grows_with_the_refused_callers(self) -> None:
        """A few retry soon; many are spread over the longest wait."""
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

    def test_last_part_of_the_wait(self) -> None:
        """Retries are late, and spread."""
        retry_after = LastPart(Random(1))
        found = [retry_after.after_s(6, 0) for _ in range(50)]
        self.assertGreaterEqual(min(found), 1.2)
        self.assertGreater(max(found) - min(found), 0.5)


def traits(
    route: str, wait_s: float | None, target_s: float = 0.5
) -> CallTraits:
    """Return the traits of a call whose caller states this wait."""
    return CallTraits(route, wait_s, target_s)


class FirstAttemptTest(unittest.TestCase):
    """Tell first attempts from retries by the waits that callers state."""

    def setUp(self) -> None:
        self.detector = ByRemainingWait()
        for number in range(20):
            self.assertTrue(
                self.detector.is_first(traits('r', 6 + number / 100), 0)
            )

    def test_refused_callers_have_less_time(self) -> None:
        """Retries state a fifth less at least; first attempts differ little."""
        self.detector.refused(1)
        self.assertTrue(self.detector.is_first(traits('r', 6.0), 1))
        self.assertFalse(self.detector.is_first(traits('r', 4.8), 2))
        self.assertFalse(self.detector.is_first(traits('r', 4.1), 2))

    def test_retries_that_may_be_in_time_count_as_first(self) -> None:
        """A call that has waited for less than its target counts as first."""
        self.detector.refused(1)
        self.assertTrue(self.detector.is_first(traits('r', 4.8, 2), 2))
        self.assertFalse(self.detector.is_first(traits('r', 4.1, 1.5), 2))

    def test_routes_are_independent(self) -> None:
        """Callers of different routes may state different waits."""
        self.assertTrue(self.detector.is_first(traits('s', 1.5), 0))
        self.assertFalse(self.detector.is_first(traits('r', 1.5), 0))

    def test_calls_without_a_wait_count_as_first(self) -> None:
        """A caller that states no wait is never treated as retrying."""
        self.assertTrue(self.detector.is_first(traits('r', None), 0))

    def test_calls_count_as_first_until_enough_were_seen(self) -> None:
        """One call is not enough to compare with."""
        detector = ByRemainingWait()
        detector.is_first(traits('r', 6), 0)
        self.assertTrue(detector.is_first(traits('r', 3), 0))

    def test_detection_turns_itself_off_where_callers_differ(self) -> None:
        """Where callers state different waits, all count as first attempts."""
        detector = ByRemainingWait()
        rng = Random(1)
        waits = [rng.uniform(2, 6) for _ in range(200)]
        found = [detector.is_first(traits('r', wait_s), 0) for wait_s in waits]
        self.assertTrue(all(found[40:]))
        detector.refused(1)
        self.assertTrue(detector.is_first(traits('r', 2), 1))

    def test_retries_after_refusals_keep_the_detection_on(self) -> None:
        """Short waits after a refusal don't show that callers differ."""
        self.detector.refused(10)
        found = [self.detector.is_first(traits('r', 4), 11) for _ in range(100)]
        self.assertFalse(any(found))
        self.assertTrue(self.detector.is_reliable)

    def test_old_waits_are_forgotten(self) -> None:
        """Callers that wait less than before count as first again."""
        found = [
            self.detector.is_first(traits('r', 3), at)
            for at in range(1, 100, 5)
        ]
        self.assertTrue(found[-1])

    def test_memory_is_bounded(self) -> None:
        """At 4096 routes no more are stored; their calls count as first."""
        for number in range(10000):
            self.detector.is_first(traits(f'r{number}', 6), 0)
        self.assertLessEqual(len(self.detector._longest), 4096)
        self.assertTrue(self.detector.is_first(traits('r9999', 1), 0))

    def test_without_detection_all_count_as_first(self) -> None:
        """The other policy tells no calls apart."""
        self.assertTrue(AlwaysFirst().is_first(traits('r', 0.1), 0))


class RetryCapacityTest(unittest.TestCase):
    """Which slots retrying callers may take."""

    def test_same_slots_as_first_attempts(self) -> None:
        """Retrying callers may take any slot."""
        for taken in (0, 8, 15, 20):
            self.assertTrue(same_as_first(SlotUsage(taken, 16)))

    def test_slots_beyond_a_reserve(self) -> None:
        """A retrying caller needs more than a quarter of the slots free."""
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


class SwitchedOffTest(unittest.TestCase):
    """Parts of the decisions that a settings file switches off."""

    def test_paces(self) -> None:
        """An engine counts as usual, whatever pace it reports."""
        for name, expected_s in (('predicted', 0.25), ('ignored', 0.1)):
            pace = PACES[name](PaceDurations())
            pace.record(2.5, 1)
            with self.subTest(policy=name):
                self.assertAlmostEqual(pace.expected_s(0.1, 0, 1), expected_s)

    def test_priorities(self) -> None:
        """All calls of a service are of one level, and engines get none."""
        ranked = rank_priorities((0, 1), (0, 2))
        service = Service('pool', 1, levels=ranked)
        table = RouteTable(3, 2, services={'pool': service})
        found = table.without_priorities()
        levels = found.services['pool'].levels
        self.assertEqual(levels.count, 1)
        self.assertIsNone(levels.engine_priority(levels.level(1, 2)))
        self.assertEqual((found.revision, found.version), (3, 2))
        self.assertEqual(
            dataclasses.replace(found, services=table.services), table
        )

    def test_prompt_parts(self) -> None:
        """Guard against a part that is counted though it is switched off."""
        headers = [('X-Prompt-Prefix', 'a:1,b:2')]
        for reads_parts, parts in ((True, ('a',)), (False, ())):
            dialect = PlatformDialect(reads_parts=reads_parts)
            with self.subTest(reads_parts=reads_parts):
                self.assertEqual(dialect.read(headers).shared_parts, parts)

    def test_slow_readers(self) -> None:
        """The limit on all that the entry holds stays in force."""
        held = HeldBytes(
            dataclasses.replace(READER_LIMITS['unlimited'], entry=1000)
        )
        self.assertGreater(held.pause_above, 1 << 40)
        self.assertTrue(math.isinf(held.limits.stall_s))
        held.answers = 1000
        self.assertTrue(held.is_full)
        self.assertEqual(held.pause_above, 0)


if __name__ == '__main__':
    unittest.main()
