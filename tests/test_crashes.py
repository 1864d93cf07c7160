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

import unittest
from collections.abc import Iterator, Sequence
from itertools import product
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from linnetwood.calls.crashcauses import CrashCauses
from linnetwood.calls.crashes import (
    ANSWER_TRUST_S,
    CRASH_RECORD_TTL_S,
    REFUSAL_ANSWERED_S,
    REFUSAL_FIRST_S,
    REFUSE_AFTER_CRASHES,
    CrashHistory,
    CrashRecord,
)
from tests.crash_fleet import Call, CrashFleet, refused_s

FATAL = 'fatal'
ALIKE = 'alike'
OWN = 'own'
CALL_INTERVAL_S = 0.5
DURATION_S = 30.0
MAX_QUEUE_S = 0.5
FATAL_CALLS = ('fatal-1', 'fatal-2', 'fatal-3')


class Fleet(CrashFleet):
    """Send fatal calls, identical calls of many callers, and unique calls."""

    def __init__(
        self,
        entries: int,
        endpoints: int,
        seed: int,
        *,
        fatal: Sequence[str] = (FATAL,),
        max_queue_s: float = 0,
    ) -> None:
        super().__init__(entries, endpoints, seed, max_queue_s)
        self.fatal = fatal
        self.next_fatal_at = CALL_INTERVAL_S
        self.number = 0

    def arrivals(self, now: float) -> Iterator[Call]:
        """Yield a quarter of a sound call for each endpoint, and fatal ones."""
        if now >= self.next_fatal_at:
            self.next_fatal_at += CALL_INTERVAL_S
            for fatal in self.fatal:
                yield Call((fatal,), FATAL, fatal)
        for _ in range(len(self.endpoints) // 4):
            self.number += 1
            own = Call((f'{OWN}-{self.number}',), OWN)
            yield self.rng.choice((Call((ALIKE,), ALIKE), own))

    def answered_share(self, *groups: str) -> float:
        """Return the share of calls of some groups that were answered."""
        answered = sum(self.answered[one] for one in groups)
        return answered / sum(self.received[one] for one in groups)


class LoadTest(unittest.TestCase):
    """Cost of fatal calls for the whole fleet."""

    def test_few_endpoints_crash(self) -> None:
        """Few more crash than under the first fatal call, at any size."""
        for entries, endpoints in ((3, 12), (7, 12), (39, 26), (98, 60)):
            for seed in range(20):
                fleet = Fleet(entries, endpoints, seed)
                fleet.run(DURATION_S)
                with self.subTest(entries=entries, seed=seed):
                    self.assertLessEqual(len(fleet.crashed_at), 4)
                    self.assertEqual(fleet.late_calls(3), 0)
                    self.assertGreater(fleet.answered_share(ALIKE, OWN), 0.95)

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
            fleet.run(DURATION_S)
            with self.subTest(entries=entries, seed=seed):
                self.assertLessEqual(max(fleet.crashes_by_cause.values()), 4)
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
            fleet.run(DURATION_S)
            others = fleet.answered_share(OWN)
            with self.subTest(seed=seed):
                self.assertLessEqual(max(fleet.crashes_by_cause.values()), 4)
                self.assertGreater(fleet.answered_share(ALIKE), others - 0.1)

    def test_fatal_call_that_was_answered_before(self) -> None:
        """It crashes a few more endpoints, and none after the third crash."""
        sizes = ((3, 12), (6, 6), (40, 26), (98, 60))
        for (entries, endpoints), seed in product(sizes, range(5)):
            fleet = Fleet(entries, endpoints, seed, max_queue_s=MAX_QUEUE_S)
            for history in fleet.histories:
                history.note_answered(FATAL)
            fleet.run(DURATION_S)
            with self.subTest(entries=entries, seed=seed):
                self.assertLessEqual(len(fleet.crashed_at), 6)
                self.assertEqual(fleet.late_calls(3), 0)


class RulesTest(unittest.TestCase):
    """Which calls are refused, for how long, and what clears them."""

    def setUp(self) -> None:
        self.crashes = CrashHistory()
        self.causes = CrashCauses(self.crashes, Random(1), lambda: 1)

    def crash(self, *incarnation_ids: str, at: float = 0) -> None:
        """Let incarnations crash under calls of one fingerprint."""
        for incarnation_id in incarnation_ids:
            self.crashes.add(CrashRecord(FATAL, incarnation_id), at)

    def test_one_crash_is_tolerated(self) -> None:
        """A bystander may be retried on another endpoint."""
        self.crash('a')
        self.crash('a')
        self.assertEqual(refused_s(self.crashes, FATAL, 0), 0)
        self.assertTrue(self.causes.may_retry((FATAL,)))

    def test_two_crashes_refuse(self) -> None:
        """A call under way is not sent to a second endpoint either."""
        self.crash('a', 'b')
        self.assertEqual(refused_s(self.crashes, FATAL, 0), REFUSAL_FIRST_S)
        self.assertFalse(self.causes.may_retry((FATAL,)))
        self.assertEqual(refused_s(self.crashes, 'other', 0), 0)

    def test_trial_after_a_refusal(self) -> None:
        """If it crashes an endpoint, the next comes after twice the time."""
        self.crash('a', 'b')
        later = REFUSAL_FIRST_S
        self.assertEqual(refused_s(self.crashes, FATAL, later), 0)
        self.crashes.note_admitted(FATAL, later)
        self.assertGreater(refused_s(self.crashes, FATAL, later), 0)
        self.crash('c', at=later)
        wait_s = refused_s(self.crashes, FATAL, later)
        self.assertEqual(wait_s, 2 * REFUSAL_FIRST_S)

    def test_an_answer_clears(self) -> None:
        """It gives the records that other entries must drop."""
        self.crash('a', 'b')
        held = self.crashes.note_answered(FATAL)
        self.assertEqual(
            held, [CrashRecord(FATAL, 'a'), CrashRecord(FATAL, 'b')]
        )
        self.assertEqual(refused_s(self.crashes, FATAL, 0), 0)
        self.assertEqual(self.crashes.note_answered(FATAL), [])

    def test_answers_before_the_crashes(self) -> None:
        """Trials come soon and repeatedly while the crashes are recent."""
        self.crashes.note_answered(FATAL)
        self.crash('a', 'b')
        self.assertEqual(refused_s(self.crashes, FATAL, 0), REFUSAL_ANSWERED_S)
        self.crashes.note_admitted(FATAL, REFUSAL_ANSWERED_S)
        tried_s = refused_s(self.crashes, FATAL, REFUSAL_ANSWERED_S)
        self.assertGreater(tried_s, REFUSAL_ANSWERED_S)
        self.crash('c', at=REFUSAL_ANSWERED_S)
        wait_s = refused_s(self.crashes, FATAL, REFUSAL_ANSWERED_S)
        self.assertEqual(wait_s, REFUSAL_ANSWERED_S)
        self.crash('d', at=ANSWER_TRUST_S)
        wait_s = refused_s(self.crashes, FATAL, ANSWER_TRUST_S)
        self.assertEqual(wait_s, 4 * REFUSAL_FIRST_S)

    def test_old_answers_are_dropped(self) -> None:
        """Common calls are answered again before they are dropped."""
        self.crashes.note_answered(FATAL)
        for number in range(5000):
            self.crashes.note_answered(f'l-{number}')
        self.crash('a', 'b')
        self.assertEqual(refused_s(self.crashes, FATAL, 0), REFUSAL_FIRST_S)

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
        """A call is refused after two crashes since its last answer.

        No endpoint crashes under both calls, so neither explains the other.
        """
        crashes = CrashHistory()
        held: dict[str, set[str]] = {'x': set(), 'y': set()}
        for action, fingerprint, incarnation_id in steps:
            crash = CrashRecord(fingerprint, f'{fingerprint}{incarnation_id}')
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
            refused = refused_s(crashes, fingerprint, 0) > 0
            self.assertEqual(
                refused, len(held[fingerprint]) >= REFUSE_AFTER_CRASHES
            )


if __name__ == '__main__':
    unittest.main()
