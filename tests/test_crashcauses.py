"""Which of the calls and parts that came together crash endpoints.

Load pattern: calls with a fatal part, no two of them alike, reach a random
entry twice a second, and wait up to 0.5 s at their endpoint before they run.
Sound calls share their other parts; some of these are first sent together with
the fatal part, and by sound calls some seconds later.
"""

import dataclasses
import unittest
from collections import deque
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
    incarnation_digest,
)

FATAL = 'fatal'
OTHER = 'other'
NEW = 'new'
STEP_S = 0.05
SHARE_DELAY_S = 0.25
RESTART_S = 3.0
RUN_S = 0.1
MAX_QUEUE_S = 0.5
FATAL_INTERVAL_S = 0.5
SOUND_SINCE_S = 3.0
CONTACT_S = 3.0
SETTLED_S = 2 * CONTACT_S
SLOTS = 8
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


@dataclasses.dataclass
class Running:
    """A call at an endpoint, and when it ends."""

    fingerprints: tuple[str, ...]
    entry: int
    until: float
    attempts_left: int


@dataclasses.dataclass
class Endpoint:
    """An endpoint, its incarnation and the calls that it runs."""

    name: str
    incarnation: int = 0
    down_until: float = 0
    crashes_at: float = 0
    running: list[Running] = dataclasses.field(default_factory=list)

    @property
    def digest(self) -> str:
        return incarnation_digest(f'{self.name}@{self.incarnation}')


class Fleet:
    """Entries that share crash records, and endpoints that crash."""

    def __init__(
        self, entries: int, endpoints: int, seed: int, *, new_first: bool
    ) -> None:
        self.rng = Random(seed)
        self.new_first = new_first
        self.histories = [CrashHistory() for _ in range(entries)]
        self.causes = [
            CrashCauses(history, Random(seed + number), self.entry_count)
            for number, history in enumerate(self.histories)
        ]
        self.endpoints = [Endpoint(f'i-{one}') for one in range(endpoints)]
        self.updates: deque[tuple[float, CrashRecord, bool]] = deque()
        self.crashed_at: list[float] = []
        self.fatal_sent_at: list[float] = []
        self.sound = 0
        self.refused = 0
        self.new_sent = 0
        self.new_begun = 0
        self.number = 0

    def entry_count(self) -> int:
        """Return the number of entries."""
        return len(self.histories)

    def run(self, span_s: float) -> None:
        """Send calls for some seconds."""
        now = float()
        next_fatal_at = FATAL_INTERVAL_S
        while now < span_s:
            now += STEP_S
            self._deliver_updates(now)
            for endpoint in self.endpoints:
                self._advance(endpoint, now)
            if now >= next_fatal_at:
                next_fatal_at += FATAL_INTERVAL_S
                self._receive(now, self._first(now, is_fatal=True), FATAL)
            for _ in range(max(1, len(self.endpoints) // 4)):
                self._receive(now, self._first(now, is_fatal=False))

    def answer_all_before(self) -> None:
        """Let all entries see an answer on each part but the new one."""
        parts = [FATAL, *(f'first-{one}' for one in range(POPULAR))]
        for history, part in product(self.histories, parts):
            history.note_answered(part)

    def admitted_share(self) -> float:
        """Return the share of sound calls that were not refused."""
        return 1 - self.refused / self.sound

    def late_calls(self) -> int:
        """Return how often the part was sent 3 s after the fifth crash."""
        if len(self.crashed_at) < 5:
            return 0
        known_at = self.crashed_at[4] + CONTACT_S
        return sum(at > known_at for at in self.fatal_sent_at)

    def _first(self, now: float, *, is_fatal: bool) -> str:
        if self.new_first and (
            is_fatal or (now > SOUND_SINCE_S and self.rng.random() < NEW_SHARE)
        ):
            return NEW
        return f'first-{self.rng.randrange(POPULAR)}'

    def _receive(self, now: float, *parts: str) -> None:
        self.number += 1
        fingerprints = (f'call-{self.number}', *parts)
        entry = self.rng.randrange(len(self.causes))
        is_new = parts == (NEW,)
        self.sound += FATAL not in parts
        # New parts are compared from 6 s after the last crash on.
        last_crash_at = max(self.crashed_at, default=0)
        counted = is_new and now - last_crash_at > SETTLED_S
        self.new_sent += counted
        if self.causes[entry].refusing(fingerprints, now)[0]:
            self.refused += FATAL not in parts
            return
        self.causes[entry].note_admitted(fingerprints, now)
        if self._send(Running(fingerprints, entry, 0, 2), now):
            self.new_begun += counted

    def _send(self, call: Running, now: float) -> bool:
        free = [
            one
            for one in self.endpoints
            if one.down_until <= now and len(one.running) < SLOTS
        ]
        if not free:
            return False
        endpoint = self.rng.choice(free)
        call.attempts_left -= 1
        call.until = now + self.rng.uniform(0.2, 1.5)
        if FATAL in call.fingerprints:
            self.fatal_sent_at.append(now)
            crashes_at = now + RUN_S + self.rng.uniform(0, MAX_QUEUE_S)
            call.until = crashes_at + 1
            if not endpoint.crashes_at or crashes_at < endpoint.crashes_at:
                endpoint.crashes_at = crashes_at
        endpoint.running.append(call)
        return True

    def _advance(self, endpoint: Endpoint, now: float) -> None:
        if endpoint.crashes_at and now >= endpoint.crashes_at:
            self._crash(endpoint, now)
        done = [one for one in endpoint.running if one.until <= now]
        for call in done:
            endpoint.running.remove(call)
            for fingerprint in call.fingerprints:
                history = self.histories[call.entry]
                for record in history.note_answered(fingerprint):
                    self.updates.append((now + SHARE_DELAY_S, record, False))
            self.causes[call.entry].note_ended(call.fingerprints, now)

    def _crash(self, endpoint: Endpoint, now: float) -> None:
        self.crashed_at.append(now)
        lost = endpoint.running
        digest = endpoint.digest
        endpoint.running = []
        endpoint.crashes_at = 0
        endpoint.incarnation += 1
        endpoint.down_until = now + RESTART_S
        for call in lost:
            for fingerprint in call.fingerprints:
                record = CrashRecord(fingerprint, digest)
                if self.histories[call.entry].add(record, now):
                    self.updates.append((now + SHARE_DELAY_S, record, True))
        for call in lost:
            causes = self.causes[call.entry]
            if call.attempts_left and causes.may_retry(call.fingerprints):
                self._send(call, now)
            else:
                causes.note_ended(call.fingerprints, now)

    def _deliver_updates(self, now: float) -> None:
        while self.updates and self.updates[0][0] <= now:
            at, record, is_added = self.updates.popleft()
            for history in self.histories:
                if is_added:
                    history.add(record, at - SHARE_DELAY_S, shared=True)
                else:
                    history.remove(record)


class LoadTest(unittest.TestCase):
    """What a fatal part costs the whole fleet, with no network or clock."""

    def play(self, *, new_first: bool) -> None:
        """Check the crashes and the sound calls at several sizes."""
        for entries, endpoints in (*SIZES, DESIGN_SIZE):
            for seed in range(10 if entries < 100 else 2):
                fleet = Fleet(entries, endpoints, seed, new_first=new_first)
                fleet.run(30)
                with self.subTest(entries=entries, seed=seed):
                    self.assertLessEqual(fleet.late_calls(), 3)
                    self.assertGreaterEqual(fleet.admitted_share(), 0.97)
                    self.assertGreaterEqual(fleet.new_begun, fleet.new_sent / 2)

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
                    self.assertLessEqual(fleet.late_calls(), 3)
                    self.assertGreaterEqual(fleet.admitted_share(), 0.97)


if __name__ == '__main__':
    unittest.main()
