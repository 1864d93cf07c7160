"""Which of the calls and parts that came together crash endpoints.

Load pattern: calls with a fatal part, no two of them alike, reach a random
entry twice a second, and wait up to 0.5 s at their endpoint before they run.
Sound calls share their other parts; some of these are first sent together with
the fatal part, and by sound calls some seconds later.
"""

import unittest
from collections.abc import Iterator
from itertools import product
from random import Random

from linnetwood.calls.answeredcalls import AnsweredFingerprints
from linnetwood.calls.crashcauses import (
    RETRIAL_INTERVAL_S,
    CrashCauses,
    Suspicion,
)
from linnetwood.calls.crashes import (
    REFUSAL_FIRST_S,
    CrashHistory,
    CrashRecord,
)
from tests.crash_fleet import Call, CrashFleet

FATAL = 'fatal'
OTHER = 'other'
NEW = 'new'
SOUND = 'sound'
MAX_QUEUE_S = 0.5
FATAL_INTERVAL_S = 0.5
SOUND_SINCE_S = 3.0
SETTLED_S = 6.0
# Share of sound calls with the new first part.
NEW_SHARE = 0.1
POPULAR = 20
# Entries, from which calls come, and endpoints.
SIZES = ((3, 12), (9, 9), (40, 26), (98, 60))
DESIGN_SIZE = (410, 600)


class CausesTest(unittest.TestCase):
    """Calls with two parts that lost endpoints together."""

    def setUp(self) -> None:
        self.crashes = CrashHistory()
        self.entries = 1
        self.causes = CrashCauses(self.crashes, Random(1), lambda: self.entries)

    def crash(self, incarnation_id: str, *fingerprints: str) -> None:
        """Let an incarnation crash at time 0."""
        for fingerprint in fingerprints:
            self.crashes.add(CrashRecord(fingerprint, incarnation_id), 0)

    def refused_s(self, *fingerprints: str, now: float = 0) -> float:
        """Return for how long a call is refused."""
        return self.causes.refusing(fingerprints, now)[1]

    def drawn_wait_s(self, seed: int) -> float:
        """Return for how long another entry refuses the fatal part."""
        suspect = self.crashes.suspect(FATAL)
        assert suspect is not None
        suspect.turn = None
        causes = CrashCauses(self.crashes, Random(seed), lambda: self.entries)
        return causes.refusing([FATAL], 0)[1]

    def test_parts_that_came_together(self) -> None:
        """A call with one of them is a trial; one with both is refused."""
        self.crash('a', FATAL, NEW)
        self.crash('b', FATAL, NEW)
        self.assertEqual(self.refused_s(FATAL, NEW), REFUSAL_FIRST_S)
        self.assertEqual(self.refused_s(NEW), 0)
        self.assertFalse(self.causes.may_retry([NEW]))
        self.causes.note_admitted([NEW], 0)
        self.assertGreater(self.refused_s(NEW), 0)

    def test_callers_wait_for_no_turn(self) -> None:
        """Guard against sound callers sent away for as long as a fatal one."""
        self.entries = 410
        self.crash('a', FATAL, NEW)
        self.crash('b', FATAL, NEW)
        for now in range(10):
            self.assertLess(self.refused_s(NEW, now=now), 2)
            self.assertGreater(self.refused_s(FATAL, NEW, now=now), 20)

    def test_answered_trial(self) -> None:
        """It clears its part, and leaves the other as the cause."""
        self.crash('a', FATAL, NEW)
        self.crash('b', FATAL, NEW)
        self.crashes.note_answered(NEW)
        self.assertEqual(self.refused_s(NEW), 0)
        self.assertEqual(self.refused_s(FATAL), REFUSAL_FIRST_S)

    def test_crashed_trial(self) -> None:
        """It makes its part the cause, and the other is explained by it."""
        self.crash('a', FATAL, NEW)
        self.crash('b', FATAL, NEW)
        self.crash('c', FATAL)
        self.assertGreater(self.refused_s(FATAL), REFUSAL_FIRST_S)
        self.assertEqual(self.refused_s(NEW), 0)
        self.assertTrue(self.causes.may_retry([NEW]))
        self.assertEqual(self.crashes.suspect_count, 2)
        self.crash('d', NEW)
        self.assertGreater(self.refused_s(NEW), REFUSAL_FIRST_S)
        self.crashes.note_answered(NEW)
        self.assertEqual(self.crashes.suspect_count, 1)

    def test_two_fatal_parts(self) -> None:
        """A bystander of both is explained by them together."""
        for incarnation_id in 'abc':
            self.crash(incarnation_id, FATAL)
        for incarnation_id in 'def':
            self.crash(incarnation_id, OTHER)
        self.crash('a', NEW)
        self.crash('d', NEW)
        self.assertEqual(self.causes.suspicion(NEW, [NEW]), Suspicion.EXPLAINED)
        self.assertGreater(self.refused_s(FATAL), REFUSAL_FIRST_S)
        self.assertGreater(self.refused_s(OTHER), REFUSAL_FIRST_S)

    def test_popular_part(self) -> None:
        """One that was answered before is explained by one that never was."""
        self.crashes.note_answered(OTHER)
        for incarnation_id in 'ab':
            self.crash(incarnation_id, FATAL, OTHER)
        self.assertEqual(self.refused_s(OTHER), 0)
        self.assertEqual(self.refused_s(FATAL), REFUSAL_FIRST_S)

    def test_trials_of_all_entries(self) -> None:
        """Guard against one trial at each entry, all at the same time."""
        for incarnation_id in 'ab':
            self.crash(incarnation_id, FATAL)
        # Ten entries are due in this time on average.
        window_s = REFUSAL_FIRST_S + 10 * RETRIAL_INTERVAL_S
        for entries in (7, 98, 410):
            self.entries = entries
            waits = list(map(self.drawn_wait_s, range(self.entries)))
            with self.subTest(entries=entries):
                self.assertGreaterEqual(min(waits), REFUSAL_FIRST_S)
                due = sum(wait_s < window_s for wait_s in waits)
                self.assertLessEqual(due, 20)

    def test_trial_without_an_answer(self) -> None:
        """Another call is tried once it can't have crashed its endpoint."""
        self.crash('a', FATAL, NEW)
        self.crash('b', FATAL, NEW)
        self.causes.note_admitted([NEW], 0)
        self.causes.note_ended([NEW], 0.5)
        self.assertGreater(self.refused_s(NEW, now=0.5), 0)
        self.assertEqual(self.refused_s(NEW, now=2), 0)

    def test_memory_of_answers(self) -> None:
        """Guard against single calls that push out what many calls share."""
        answered = AnsweredFingerprints()
        answered.add(OTHER)
        answered.add(OTHER)
        for number in range(10000):
            answered.add(f'once-{number}')
        self.assertIn(OTHER, answered)
        self.assertNotIn('once-0', answered)
        self.assertIn('once-9999', answered)


class Fleet(CrashFleet):
    """Send calls with a fatal part, and sound calls that share other parts."""

    share_delay_s = 0.25
    answer_s = (0.2, 1.5)

    def __init__(
        self, entries: int, endpoints: int, seed: int, *, new_first: bool
    ) -> None:
        super().__init__(entries, endpoints, seed, MAX_QUEUE_S)
        self.new_first = new_first
        self.next_fatal_at = FATAL_INTERVAL_S
        self.number = 0

    def arrivals(self, now: float) -> Iterator[Call]:
        """Yield a quarter of a sound call for each endpoint, and fatal ones."""
        if now >= self.next_fatal_at:
            self.next_fatal_at += FATAL_INTERVAL_S
            yield self._call(FATAL, self._first(now, is_fatal=True), FATAL)
        for _ in range(max(1, len(self.endpoints) // 4)):
            first = self._first(now, is_fatal=False)
            # New parts are compared from 6 s after the last crash on.
            settled = now - max(self.crashed_at, default=0) > SETTLED_S
            is_compared = first == NEW and settled
            yield self._call(NEW if is_compared else SOUND, first)

    def answer_all_before(self) -> None:
        """Let all entries see an answer on each part but the new one."""
        parts = [FATAL, *(f'first-{one}' for one in range(POPULAR))]
        for history, part in product(self.histories, parts):
            history.note_answered(part)

    def admitted_share(self) -> float:
        """Return the share of sound calls that were not refused."""
        refused = self.refused[SOUND] + self.refused[NEW]
        return 1 - refused / (self.received[SOUND] + self.received[NEW])

    def _call(self, group: str, *parts: str) -> Call:
        self.number += 1
        fatal = FATAL if FATAL in parts else ''
        return Call((f'call-{self.number}', *parts), group, fatal)

    def _first(self, now: float, *, is_fatal: bool) -> str:
        if self.new_first and (
            is_fatal or (now > SOUND_SINCE_S and self.rng.random() < NEW_SHARE)
        ):
            return NEW
        return f'first-{self.rng.randrange(POPULAR)}'


class LoadTest(unittest.TestCase):
    """What a fatal part costs the whole fleet, with no network or clock."""

    def play(self, *, new_first: bool) -> None:
        """Check the crashes and the sound calls at several sizes."""
        for entries, endpoints in (*SIZES, DESIGN_SIZE):
            for seed in range(10 if entries < 100 else 2):
                fleet = Fleet(entries, endpoints, seed, new_first=new_first)
                fleet.run(30)
                with self.subTest(entries=entries, seed=seed):
                    self.assertLessEqual(fleet.late_calls(5), 3)
                    self.assertGreaterEqual(fleet.admitted_share(), 0.97)
                    self.assertGreaterEqual(
                        fleet.begun[NEW], fleet.received[NEW] / 2
                    )

    def test_fatal_part_with_usual_company(self) -> None:
        """Few endpoints crash, and sound calls with its company are served."""
        self.play(new_first=False)

    def test_fatal_part_with_a_new_first_part(self) -> None:
        """Guard against a sound part that can't clear itself.

        Calls with it were refused, since it had come only with the fatal one;
        refused calls are not answered.
        """
        self.play(new_first=True)

    def test_fatal_part_that_was_answered_before(self) -> None:
        """Guard against trust in old answers, and in those of its company."""
        for entries, endpoints in SIZES:
            for seed in range(5):
                fleet = Fleet(entries, endpoints, seed, new_first=False)
                fleet.answer_all_before()
                fleet.run(30)
                with self.subTest(entries=entries, seed=seed):
                    self.assertLessEqual(fleet.late_calls(5), 3)
                    self.assertGreaterEqual(fleet.admitted_share(), 0.97)


if __name__ == '__main__':
    unittest.main()
