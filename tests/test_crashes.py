"""Calls that crash endpoints, at 3 to 98 entries, with no network or clock.

Load pattern: a fatal call is sent twice a second, with a new call id each time,
to a random entry. Each endpoint that starts to run it crashes 0.1 s later and
loses all other calls that it runs. The other calls are of two kinds: identical
calls that many callers send, and calls that are sent only once. The numbers
are those of the incident: 12 to 60 endpoints with 8 calls each, crash records
that all entries have 0.15 s after the crash (0.1 s of gathering, a call to the
store, the end of a watch), restarts that take 3 s, two attempts per call.

Under overload, 4 of 6 endpoints crashed within a second under one such call: it
waits 0.3 to 0.5 s on an endpoint before it starts, which is longer than it
takes to be sent again to another entry. So the load also has a wait of that
length, and several fatal calls at once.
"""

import dataclasses
import math
import unittest
from collections import Counter, deque
from collections.abc import Sequence
from itertools import product
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from linnetwood.calls.crashes import (
    ANSWER_TRUST_S,
    CRASH_RECORD_TTL_S,
    REFUSAL_ANSWERED_S,
    REFUSAL_FIRST_S,
    REFUSE_AFTER_CRASHES,
    CrashHistory,
    CrashRecord,
    incarnation_digest,
)

FATAL = 'fatal'
ALIKE = 'alike'
OWN = 'own'
SHARE_DELAY_S = 0.15
RUN_S = 0.1
RESTART_S = 3.0
STEP_S = 0.05
CALL_INTERVAL_S = 0.5
DURATION_S = 30.0
MAX_QUEUE_S = 0.5
FATAL_CALLS = ('fatal-1', 'fatal-2', 'fatal-3')
SLOTS = 8


def kind(fingerprint: str) -> str:
    """Give the kind by which calls are counted: identical or unique."""
    return ALIKE if fingerprint == ALIKE else OWN


@dataclasses.dataclass
class Endpoint:
    """An endpoint: its incarnation, its restart and the calls it runs."""

    incarnation: int = 0
    down_until: float = 0
    crashes_at: float | None = None
    crash_cause: str = ''
    running: list[tuple[str, int, float, int]] = dataclasses.field(
        default_factory=list,
    )


class Fleet:
    """Entries that share crash records, and endpoints that crash."""

    def __init__(
        self,
        entries: int,
        endpoints: int,
        seed: int,
        *,
        fatal: Sequence[str] = (FATAL,),
        max_queue_s: float = 0,
    ) -> None:
        self.fatal = fatal
        self.max_queue_s = max_queue_s
        self.rng = Random(seed)
        self.entries = [CrashHistory() for _ in range(entries)]
        self.endpoints = [Endpoint() for _ in range(endpoints)]
        self.pending: deque[tuple[float, CrashRecord, bool]] = deque()
        self.crashed_at: list[float] = []
        self.crashes_by_call: Counter[str] = Counter()
        self.fatal_sent_at: list[float] = []
        self.answered: Counter[str] = Counter()
        self.calls_received: Counter[str] = Counter()
        self.incarnations = 0

    def run(self) -> None:
        """Run the simulation for DURATION_S."""
        now = float()
        next_call_at = CALL_INTERVAL_S
        number = 0
        while now < DURATION_S:
            now += STEP_S
            self._deliver_updates(now)
            self._advance_endpoints(now)
            if now >= next_call_at:
                next_call_at += CALL_INTERVAL_S
                for fatal in self.fatal:
                    self._receive(fatal, now)
            for _ in range(len(self.endpoints) // 4):
                number += 1
                own = f'{OWN}-{number}'
                self._receive(self.rng.choice((ALIKE, own)), now)

    def answered_share(self, kind_name: str) -> float:
        """Give the fraction of calls of a kind that were answered."""
        return self.answered[kind_name] / self.calls_received[kind_name]

    def _receive(self, fingerprint: str, now: float) -> None:
        entry = self.rng.randrange(len(self.entries))
        if fingerprint not in self.fatal:
            self.calls_received[kind(fingerprint)] += 1
        refused = self.entries[entry].refused_for_s(fingerprint, now)
        # Without a free slot a call is refused too and is no trial.
        if not refused and self._available(now):
            self.entries[entry].note_admitted(fingerprint, now)
            self._send(fingerprint, entry, now, 2)

    def _send(
        self, fingerprint: str, entry: int, now: float, tries: int
    ) -> None:
        available = self._available(now)
        if not available:
            return
        endpoint = self.rng.choice(available)
        if fingerprint in self.fatal:
            self.fatal_sent_at.append(now)
            self._schedule_crash(endpoint, fingerprint, now)
        until = now + self.rng.uniform(0.1, 1.5)
        if fingerprint in self.fatal:
            until = math.inf
        endpoint.running.append((fingerprint, entry, until, tries))

    def _available(self, now: float) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.down_until <= now and len(endpoint.running) < SLOTS
        ]

    def _schedule_crash(
        self, endpoint: Endpoint, fingerprint: str, now: float
    ) -> None:
        crashes_at = now + RUN_S + self.rng.uniform(0, self.max_queue_s)
        if endpoint.crashes_at is None or crashes_at < endpoint.crashes_at:
            endpoint.crashes_at = crashes_at
            endpoint.crash_cause = fingerprint

    def _advance_endpoints(self, now: float) -> None:
        for endpoint in self.endpoints:
            if endpoint.crashes_at is not None and now >= endpoint.crashes_at:
                self._crash(endpoint, now)
            done = [row for row in endpoint.running if row[2] <= now]
            for row in done:
                endpoint.running.remove(row)
                self.answered[kind(row[0])] += 1
                for crash in self.entries[row[1]].note_answered(row[0]):
                    self.pending.append((now + SHARE_DELAY_S, crash, False))

    def _crash(self, endpoint: Endpoint, now: float) -> None:
        self.crashed_at.append(now)
        self.crashes_by_call[endpoint.crash_cause] += 1
        running = endpoint.running
        endpoint.running = []
        endpoint.down_until = now + RESTART_S
        endpoint.crashes_at = None
        self.incarnations += 1
        incarnation_id = incarnation_digest(f'i-{self.incarnations}')
        for fingerprint, entry, _, _ in running:
            crash = CrashRecord(fingerprint, incarnation_id)
            if self.entries[entry].add(crash, now):
                self.pending.append((now + SHARE_DELAY_S, crash, True))
        for row in running:
            retries = row[3] > 1 and self.entries[row[1]].may_retry(row[0])
            if retries:
                self._send(row[0], row[1], now, row[3] - 1)

    def _deliver_updates(self, now: float) -> None:
        while self.pending and self.pending[0][0] <= now:
            at, crash, is_added = self.pending.popleft()
            for entry in self.entries:
                if is_added:
                    entry.add(crash, at, shared=True)
                else:
                    entry.remove(crash)


class LoadTest(unittest.TestCase):
    """Cost of fatal calls for the whole fleet."""

    def test_few_endpoints_crash(self) -> None:
        """Few more crash than under the first fatal call, at any size."""
        for entries, endpoints in ((3, 12), (7, 12), (39, 26), (98, 60)):
            for seed in range(20):
                fleet = Fleet(entries, endpoints, seed)
                fleet.run()
                with self.subTest(entries=entries, seed=seed):
                    self.assertLessEqual(len(fleet.crashed_at), 4)
                    deadline = (
                        fleet.crashed_at[min(2, len(fleet.crashed_at) - 1)] + 3
                    )
                    late_calls = [
                        at for at in fleet.fatal_sent_at if at > deadline
                    ]
                    self.assertEqual(late_calls, [])
                    answered = (
                        fleet.answered.total() / fleet.calls_received.total()
                    )
                    self.assertGreater(answered, 0.95)

    def test_several_fatal_calls_wait_in_queues(self) -> None:
        """Each crashes few endpoints, and other calls are still answered."""
        sizes = ((3, 12), (40, 26), (98, 60))
        for (entries, endpoints), seed in product(sizes, range(10)):
            fleet = Fleet(
                entries,
                endpoints,
                seed,
                fatal=FATAL_CALLS,
                max_queue_s=MAX_QUEUE_S,
            )
            fleet.run()
            with self.subTest(entries=entries, seed=seed):
                self.assertLessEqual(max(fleet.crashes_by_call.values()), 4)
                self.assertGreater(fleet.answered_share(ALIKE), 0.85)
                self.assertGreater(fleet.answered_share(OWN), 0.85)

    def test_whole_fleet_crashes_at_once(self) -> None:
        """Identical calls are answered as often as calls sent once.

        Guard against identical calls that are refused for a minute. Three
        fatal calls crash nearly all of six endpoints within a second, with all
        calls that run there. Identical calls lose an answer on two endpoints
        before any of them is answered; while all of them are refused, none can
        clear the others.
        """
        for seed in range(20):
            fleet = Fleet(
                6, 6, seed, fatal=FATAL_CALLS, max_queue_s=MAX_QUEUE_S
            )
            fleet.run()
            others = fleet.answered_share(OWN)
            with self.subTest(seed=seed):
                self.assertLessEqual(max(fleet.crashes_by_call.values()), 4)
                self.assertGreater(fleet.answered_share(ALIKE), others - 0.1)

    def test_fatal_call_that_was_answered_before(self) -> None:
        """It crashes a few more endpoints, and none after the third crash."""
        sizes = ((3, 12), (6, 6), (40, 26), (98, 60))
        for (entries, endpoints), seed in product(sizes, range(5)):
            fleet = Fleet(entries, endpoints, seed, max_queue_s=MAX_QUEUE_S)
            for entry in fleet.entries:
                entry.note_answered(FATAL)
            fleet.run()
            with self.subTest(entries=entries, seed=seed):
                self.assertLessEqual(len(fleet.crashed_at), 6)
                deadline = (
                    fleet.crashed_at[min(2, len(fleet.crashed_at) - 1)] + 3
                )
                self.assertEqual(
                    [at for at in fleet.fatal_sent_at if at > deadline], []
                )


class RulesTest(unittest.TestCase):
    """Which calls are refused, for how long, and what clears them."""

    def setUp(self) -> None:
        self.crashes = CrashHistory()

    def crash(self, *incarnation_ids: str, at: float = 0) -> None:
        """Let incarnations crash under calls of one fingerprint."""
        for incarnation_id in incarnation_ids:
            self.crashes.add(CrashRecord(FATAL, incarnation_id), at)

    def test_one_crash_is_tolerated(self) -> None:
        """A bystander may be retried on another endpoint."""
        self.crash('a')
        self.crash('a')
        self.assertEqual(self.crashes.refused_for_s(FATAL, 0), 0)
        self.assertTrue(self.crashes.may_retry(FATAL))

    def test_two_crashes_refuse(self) -> None:
        """A call under way is not sent to a second endpoint either."""
        self.crash('a', 'b')
        self.assertEqual(self.crashes.refused_for_s(FATAL, 0), REFUSAL_FIRST_S)
        self.assertFalse(self.crashes.may_retry(FATAL))
        self.assertEqual(self.crashes.refused_for_s('other', 0), 0)

    def test_trial_after_a_refusal(self) -> None:
        """If it crashes an endpoint, the next comes after twice the time."""
        self.crash('a', 'b')
        later = REFUSAL_FIRST_S
        self.assertEqual(self.crashes.refused_for_s(FATAL, later), 0)
        self.crashes.note_admitted(FATAL, later)
        self.assertGreater(self.crashes.refused_for_s(FATAL, later), 0)
        self.crash('c', at=later)
        wait_s = self.crashes.refused_for_s(FATAL, later)
        self.assertEqual(wait_s, 2 * REFUSAL_FIRST_S)

    def test_an_answer_clears(self) -> None:
        """It gives the records that other entries must drop."""
        self.crash('a', 'b')
        held = self.crashes.note_answered(FATAL)
        self.assertEqual(
            held, [CrashRecord(FATAL, 'a'), CrashRecord(FATAL, 'b')]
        )
        self.assertEqual(self.crashes.refused_for_s(FATAL, 0), 0)
        self.assertEqual(self.crashes.note_answered(FATAL), [])

    def test_answers_before_the_crashes(self) -> None:
        """Trials come soon and repeatedly while the crashes are recent."""
        self.crashes.note_answered(FATAL)
        self.crash('a', 'b')
        self.assertEqual(
            self.crashes.refused_for_s(FATAL, 0), REFUSAL_ANSWERED_S
        )
        self.crashes.note_admitted(FATAL, REFUSAL_ANSWERED_S)
        tried_s = self.crashes.refused_for_s(FATAL, REFUSAL_ANSWERED_S)
        self.assertGreater(tried_s, REFUSAL_ANSWERED_S)
        self.crash('c', at=REFUSAL_ANSWERED_S)
        wait_s = self.crashes.refused_for_s(FATAL, REFUSAL_ANSWERED_S)
        self.assertEqual(wait_s, REFUSAL_ANSWERED_S)
        self.crash('d', at=ANSWER_TRUST_S)
        wait_s = self.crashes.refused_for_s(FATAL, ANSWER_TRUST_S)
        self.assertEqual(wait_s, 4 * REFUSAL_FIRST_S)

    def test_old_answers_are_dropped(self) -> None:
        """Common calls are answered again before they are dropped."""
        self.crashes.note_answered(FATAL)
        for number in range(5000):
            self.crashes.note_answered(f'l-{number}')
        self.crash('a', 'b')
        self.assertEqual(self.crashes.refused_for_s(FATAL, 0), REFUSAL_FIRST_S)

    def test_old_and_withdrawn_records_are_dropped(self) -> None:
        """Records expire, and withdrawn ones no longer count."""
        self.crash('a', 'b')
        self.crashes.expire(CRASH_RECORD_TTL_S)
        self.assertEqual(self.crashes.crash_count(FATAL), 0)
        self.crash('a', 'b')
        self.crashes.remove(CrashRecord(FATAL, 'a'))
        self.crashes.remove(CrashRecord('other', 'a'))
        self.assertEqual(self.crashes.crash_count(FATAL), 1)

    def test_shared_records_are_replaced(self) -> None:
        """Crashes seen here stay: they may not have been shared yet."""
        self.crash('mine')
        self.crashes.replace_shared(
            [(CrashRecord(FATAL, 'a'), 0), (CrashRecord(FATAL, 'b'), 0)]
        )
        self.assertEqual(self.crashes.crash_count(FATAL), 3)
        self.crashes.replace_shared([(CrashRecord(FATAL, 'b'), 0)])
        self.assertEqual(self.crashes.crash_count(FATAL), 2)

    def test_memory_is_bounded(self) -> None:
        """The oldest suspects are dropped."""
        for number in range(5000):
            self.crashes.add(CrashRecord(f'l-{number}', 'a'), number)
        self.assertEqual(self.crashes.crash_count('l-0'), 0)
        self.assertEqual(self.crashes.crash_count('l-4999'), 1)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('ended', 'withdrawn', 'answered')),
                st.sampled_from('xy'),
                st.sampled_from('abc'),
            ),
        ),
    )
    def test_any_order(self, steps: list[tuple[str, str, str]]) -> None:
        """A call is refused after two crashes since its last answer."""
        crashes = CrashHistory()
        held: dict[str, set[str]] = {'x': set(), 'y': set()}
        for action, fingerprint, incarnation_id in steps:
            crash = CrashRecord(fingerprint, incarnation_id)
            if action == 'ended':
                is_new = incarnation_id not in held[fingerprint]
                self.assertEqual(crashes.add(crash, 0), is_new)
                held[fingerprint].add(incarnation_id)
            elif action == 'withdrawn':
                crashes.remove(crash)
                held[fingerprint].discard(incarnation_id)
            else:
                crashes.note_answered(fingerprint)
                held[fingerprint].clear()
            refused = crashes.refused_for_s(fingerprint, 0) > 0
            self.assertEqual(
                refused, len(held[fingerprint]) >= REFUSE_AFTER_CRASHES
            )


if __name__ == '__main__':
    unittest.main()
