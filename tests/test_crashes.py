"""Calls that end endpoints, at 3 to 98 entries, with no network or clock.

Load pattern: such a call comes twice a second, with an id of its own each time,
at an entry drawn by lot; each endpoint that begins to run it ends 0.1 s later,
with every call beside it. Beside it run calls that are alike with one another
(everybody asks the same) and calls that are like no other. The figures are
those of the incident: 12 to 60 endpoints with 8 calls each, ends that all know
0.15 s later (0.1 s of gathering, a call to the store, a wait that ends), back
after 3 s, two attempts a call.

Seen later: of 6 endpoints 4 ended within a second under one such call, in an
overload. It waits there 0.3 to 0.5 s before it begins, longer than it takes to
come again at another entry. So the load has a wait of that length, and several
such calls at once.
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
    ENDS_BORNE,
    FORGOTTEN_S,
    REFUSED_ANSWERED_S,
    REFUSED_FIRST_S,
    TRUSTED_ANSWERED_S,
    Crashes,
    End,
    incarnation_digest,
)

FATAL = 'fatal'
ALIKE = 'alike'
OWN = 'own'
KNOWN_S = 0.15
RUNS_S = 0.1
BACK_S = 3.0
STEP_S = 0.05
COMES_S = 0.5
LASTS_S = 30.0
QUEUED_S = 0.5
SEVERAL = ('fatal-1', 'fatal-2', 'fatal-3')
PLACES = 8


def kind(likeness: str) -> str:
    """Give what calls are counted by: alike, or like no other."""
    return ALIKE if likeness == ALIKE else OWN


@dataclasses.dataclass
class Endpoint:
    """One endpoint: its life, until when it is away, and what it runs."""

    incarnation: int = 0
    away_until: float = 0
    ends_at: float | None = None
    ends_by: str = ''
    running: list[tuple[str, int, float, int]] = dataclasses.field(
        default_factory=list,
    )


class Fleet:
    """Entries that share what ended, and endpoints that end."""

    def __init__(
        self,
        entries: int,
        endpoints: int,
        seed: int,
        *,
        fatal: Sequence[str] = (FATAL,),
        waits_s: float = 0,
    ) -> None:
        self.fatal = fatal
        self.waits_s = waits_s
        self.rng = Random(seed)
        self.entries = [Crashes() for _ in range(entries)]
        self.endpoints = [Endpoint() for _ in range(endpoints)]
        self.told: deque[tuple[float, End, bool]] = deque()
        self.ended: list[float] = []
        self.ended_by: Counter[str] = Counter()
        self.sent: list[float] = []
        self.served: Counter[str] = Counter()
        self.asked: Counter[str] = Counter()
        self.lives = 0

    def play(self) -> None:
        """Let time pass."""
        now = float()
        comes_at = COMES_S
        number = 0
        while now < LASTS_S:
            now += STEP_S
            self._hear(now)
            self._end_some(now)
            if now >= comes_at:
                comes_at += COMES_S
                for fatal in self.fatal:
                    self._ask(fatal, now)
            for _ in range(len(self.endpoints) // 4):
                number += 1
                own = f'{OWN}-{number}'
                self._ask(self.rng.choice((ALIKE, own)), now)

    def share_served(self, kind_of: str) -> float:
        """Give the share of calls of a kind that were answered."""
        return self.served[kind_of] / self.asked[kind_of]

    def _ask(self, likeness: str, now: float) -> None:
        entry = self.rng.randrange(len(self.entries))
        if likeness not in self.fatal:
            self.asked[kind(likeness)] += 1
        refused = self.entries[entry].wait_s(likeness, now)
        # Without a place a call is refused, too, and isn't tried.
        if not refused and self._able(now):
            self.entries[entry].goes(likeness, now)
            self._send(likeness, entry, now, 2)

    def _send(self, likeness: str, entry: int, now: float, tries: int) -> None:
        able = self._able(now)
        if not able:
            return
        one = self.rng.choice(able)
        if likeness in self.fatal:
            self.sent.append(now)
            self._begin(one, likeness, now)
        until = now + self.rng.uniform(0.1, 1.5)
        if likeness in self.fatal:
            until = math.inf
        one.running.append((likeness, entry, until, tries))

    def _able(self, now: float) -> list[Endpoint]:
        return [
            one
            for one in self.endpoints
            if one.away_until <= now and len(one.running) < PLACES
        ]

    def _begin(self, one: Endpoint, likeness: str, now: float) -> None:
        ends_at = now + RUNS_S + self.rng.uniform(0, self.waits_s)
        if one.ends_at is None or ends_at < one.ends_at:
            one.ends_at = ends_at
            one.ends_by = likeness

    def _end_some(self, now: float) -> None:
        for one in self.endpoints:
            if one.ends_at is not None and now >= one.ends_at:
                self._end(one, now)
            done = [row for row in one.running if row[2] <= now]
            for row in done:
                one.running.remove(row)
                self.served[kind(row[0])] += 1
                for end in self.entries[row[1]].answered(row[0]):
                    self.told.append((now + KNOWN_S, end, False))

    def _end(self, one: Endpoint, now: float) -> None:
        self.ended.append(now)
        self.ended_by[one.ends_by] += 1
        running = one.running
        one.running = []
        one.away_until = now + BACK_S
        one.ends_at = None
        self.lives += 1
        incarnation_id = incarnation_digest(f'i-{self.lives}')
        for likeness, entry, _, _ in running:
            end = End(likeness, incarnation_id)
            if self.entries[entry].ended(end, now):
                self.told.append((now + KNOWN_S, end, True))
        for row in running:
            again = row[3] > 1 and self.entries[row[1]].may_go_again(row[0])
            if again:
                self._send(row[0], row[1], now, row[3] - 1)

    def _hear(self, now: float) -> None:
        while self.told and self.told[0][0] <= now:
            at, end, came = self.told.popleft()
            for entry in self.entries:
                if came:
                    entry.ended(end, at, shared=True)
                else:
                    entry.withdrawn(end)


class LoadTest(unittest.TestCase):
    """What the calls cost, by the fleet as a whole."""

    def test_few_endpoints_end(self) -> None:
        """Hardly more than the first coming costs, whatever the size."""
        for entries, endpoints in ((3, 12), (7, 12), (39, 26), (98, 60)):
            for seed in range(20):
                fleet = Fleet(entries, endpoints, seed)
                fleet.play()
                with self.subTest(entries=entries, seed=seed):
                    self.assertLessEqual(len(fleet.ended), 4)
                    due = fleet.ended[min(2, len(fleet.ended) - 1)] + 3
                    late = [at for at in fleet.sent if at > due]
                    self.assertEqual(late, [])
                    served = fleet.served.total() / fleet.asked.total()
                    self.assertGreater(served, 0.95)

    def test_several_that_wait_in_queues(self) -> None:
        """Each ends few, and whatever else is sent goes on."""
        sizes = ((3, 12), (40, 26), (98, 60))
        for (entries, endpoints), seed in product(sizes, range(10)):
            fleet = Fleet(
                entries,
                endpoints,
                seed,
                fatal=SEVERAL,
                waits_s=QUEUED_S,
            )
            fleet.play()
            with self.subTest(entries=entries, seed=seed):
                self.assertLessEqual(max(fleet.ended_by.values()), 4)
                self.assertGreater(fleet.share_served(ALIKE), 0.85)
                self.assertGreater(fleet.share_served(OWN), 0.85)

    def test_a_fleet_that_ends_at_once(self) -> None:
        """Calls that all send go on as those that nobody else sends.

        Seen: three such calls end nearly all of six endpoints within a second,
        and whatever else runs there. Calls that are alike lose an answer at
        two endpoints before any of them is answered. Refused for a minute,
        none of them can clear the others.
        """
        for seed in range(20):
            fleet = Fleet(6, 6, seed, fatal=SEVERAL, waits_s=QUEUED_S)
            fleet.play()
            others = fleet.share_served(OWN)
            with self.subTest(seed=seed):
                self.assertLessEqual(max(fleet.ended_by.values()), 4)
                self.assertGreater(fleet.share_served(ALIKE), others - 0.1)

    def test_one_that_was_answered_before(self) -> None:
        """It costs some endpoints more, and none once three have ended."""
        sizes = ((3, 12), (6, 6), (40, 26), (98, 60))
        for (entries, endpoints), seed in product(sizes, range(5)):
            fleet = Fleet(entries, endpoints, seed, waits_s=QUEUED_S)
            for entry in fleet.entries:
                entry.answered(FATAL)
            fleet.play()
            with self.subTest(entries=entries, seed=seed):
                self.assertLessEqual(len(fleet.ended), 6)
                due = fleet.ended[min(2, len(fleet.ended) - 1)] + 3
                self.assertEqual([at for at in fleet.sent if at > due], [])


class RulesTest(unittest.TestCase):
    """What is refused, until when, and what clears it."""

    def setUp(self) -> None:
        self.crashes = Crashes()

    def end(self, *incarnation_ids: str, at: float = 0) -> None:
        """Let lives end under calls that are alike."""
        for incarnation_id in incarnation_ids:
            self.crashes.ended(End(FATAL, incarnation_id), at)

    def test_one_end_is_borne(self) -> None:
        """Whoever was near by is tried elsewhere."""
        self.end('a')
        self.end('a')
        self.assertEqual(self.crashes.wait_s(FATAL, 0), 0)
        self.assertTrue(self.crashes.may_go_again(FATAL))

    def test_two_are_not(self) -> None:
        """Nor is it sent to a second endpoint by the same call."""
        self.end('a', 'b')
        self.assertEqual(self.crashes.wait_s(FATAL, 0), REFUSED_FIRST_S)
        self.assertFalse(self.crashes.may_go_again(FATAL))
        self.assertEqual(self.crashes.wait_s('other', 0), 0)

    def test_one_is_tried_alone_in_the_end(self) -> None:
        """If it ends one more, the next comes after twice the time."""
        self.end('a', 'b')
        later = REFUSED_FIRST_S
        self.assertEqual(self.crashes.wait_s(FATAL, later), 0)
        self.crashes.goes(FATAL, later)
        self.assertGreater(self.crashes.wait_s(FATAL, later), 0)
        self.end('c', at=later)
        wait_s = self.crashes.wait_s(FATAL, later)
        self.assertEqual(wait_s, 2 * REFUSED_FIRST_S)

    def test_an_answer_clears(self) -> None:
        """And says which ends others must no longer count."""
        self.end('a', 'b')
        held = self.crashes.answered(FATAL)
        self.assertEqual(held, [End(FATAL, 'a'), End(FATAL, 'b')])
        self.assertEqual(self.crashes.wait_s(FATAL, 0), 0)
        self.assertEqual(self.crashes.answered(FATAL), [])

    def test_answers_from_before(self) -> None:
        """One like them is soon tried, again and again while ends are new."""
        self.crashes.answered(FATAL)
        self.end('a', 'b')
        self.assertEqual(self.crashes.wait_s(FATAL, 0), REFUSED_ANSWERED_S)
        self.crashes.goes(FATAL, REFUSED_ANSWERED_S)
        tried_s = self.crashes.wait_s(FATAL, REFUSED_ANSWERED_S)
        self.assertGreater(tried_s, REFUSED_ANSWERED_S)
        self.end('c', at=REFUSED_ANSWERED_S)
        wait_s = self.crashes.wait_s(FATAL, REFUSED_ANSWERED_S)
        self.assertEqual(wait_s, REFUSED_ANSWERED_S)
        self.end('d', at=TRUSTED_ANSWERED_S)
        wait_s = self.crashes.wait_s(FATAL, TRUSTED_ANSWERED_S)
        self.assertEqual(wait_s, 4 * REFUSED_FIRST_S)

    def test_answers_are_not_kept_for_ever(self) -> None:
        """What everybody sends is answered again in time."""
        self.crashes.answered(FATAL)
        for number in range(5000):
            self.crashes.answered(f'l-{number}')
        self.end('a', 'b')
        self.assertEqual(self.crashes.wait_s(FATAL, 0), REFUSED_FIRST_S)

    def test_ends_are_forgotten(self) -> None:
        """Those of long ago, and those that are withdrawn."""
        self.end('a', 'b')
        self.crashes.expire(FORGOTTEN_S)
        self.assertEqual(self.crashes.ends(FATAL), 0)
        self.end('a', 'b')
        self.crashes.withdrawn(End(FATAL, 'a'))
        self.crashes.withdrawn(End('other', 'a'))
        self.assertEqual(self.crashes.ends(FATAL), 1)

    def test_what_is_shared_is_replaced(self) -> None:
        """Ends that were seen here stay: they may not have been told yet."""
        self.end('mine')
        self.crashes.replaced([(End(FATAL, 'a'), 0), (End(FATAL, 'b'), 0)])
        self.assertEqual(self.crashes.ends(FATAL), 3)
        self.crashes.replaced([(End(FATAL, 'b'), 0)])
        self.assertEqual(self.crashes.ends(FATAL), 2)

    def test_nobody_can_fill_it(self) -> None:
        """The oldest go; what is held stays bounded."""
        for number in range(5000):
            self.crashes.ended(End(f'l-{number}', 'a'), number)
        self.assertEqual(self.crashes.ends('l-0'), 0)
        self.assertEqual(self.crashes.ends('l-4999'), 1)

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
        """A call is refused where two lives ended since its last answer."""
        crashes = Crashes()
        held: dict[str, set[str]] = {'x': set(), 'y': set()}
        for what, likeness, incarnation_id in steps:
            end = End(likeness, incarnation_id)
            if what == 'ended':
                news = incarnation_id not in held[likeness]
                self.assertEqual(crashes.ended(end, 0), news)
                held[likeness].add(incarnation_id)
            elif what == 'withdrawn':
                crashes.withdrawn(end)
                held[likeness].discard(incarnation_id)
            else:
                crashes.answered(likeness)
                held[likeness].clear()
            refused = crashes.wait_s(likeness, 0) > 0
            self.assertEqual(refused, len(held[likeness]) >= ENDS_BORNE)


if __name__ == '__main__':
    unittest.main()
