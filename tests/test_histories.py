"""The promises hold in histories under faults, and the checker sees breaks."""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwood.calls import dispatch
from linnetwood.calls.keys import KeyDecision, KeyMemory
from linnetwood.core.outcomes import ANSWERED, Outcome
from linnetwood.lab import checking, histories, virtual
from linnetwood.lab.checking import Effect, Held, History, Seen, Stop
from linnetwood.lab.memory_net import MemoryDialler

SEEDS = range(40)


def broken(seeds: range = SEEDS) -> set[str]:
    """Give the kinds of promises broken in some histories."""
    found: set[str] = set()
    for seed in seeds:
        history = virtual.run(histories.one(seed))
        found |= {
            text.partition(':')[0] for text in checking.violations(history)
        }
    return found


def answered(mark: str, body: bytes = b'x') -> Seen:
    """Give an answered call."""
    return Seen(mark, 0, 1, Outcome.ANSWERED, body)


class CheckerTest(unittest.TestCase):
    """Each promise broken on paper is found, and only that one."""

    def test_each_break_is_found(self) -> None:
        """One small history for each promise."""
        expected = {('a', ''): b'x'}
        cases = (
            ('mixed', History(effects=[Effect('a', 'vm', 0, complete=False)])),
            (
                'not its own',
                History(calls=[answered('a', b'y')], expected=expected),
            ),
            (
                'said not run',
                History(
                    calls=[Seen('a', 0, 1, Outcome.NOT_RUN)],
                    effects=[Effect('a', 'vm', 0)],
                ),
            ),
            (
                'ran more than once',
                History(
                    calls=[Seen('a', 0, 1, Outcome.UNKNOWN, at_most_once=True)],
                    effects=[Effect('a', 'v', 0), Effect('a', 'w', 1)],
                ),
            ),
            (
                'new work while leaving',
                History(effects=[Effect('a', 'vm', 9)], left={'vm': 5}),
            ),
            ('cut off', History(stops=[Stop('vm', ('a',), ('a',))])),
            (
                'configuration reverted',
                History(held=[Held('e', 2, 'b'), Held('e', 1, 'a')]),
            ),
            (
                'two configurations',
                History(held=[Held('e', 1, 'a'), Held('f', 1, 'b')]),
            ),
            ('never ended', History(calls=[Seen('a', 0)])),
        )
        for words, history in cases:
            with self.subTest(words):
                found = list(checking.violations(history))
                self.assertEqual(len(found), 1)
                self.assertIn(words, found[0])

    def test_good_history(self) -> None:
        """A history that keeps every promise is left alone."""
        history = History(
            calls=[answered('a'), Seen('b', 0, 1, Outcome.NOT_RUN)],
            effects=[Effect('a', 'vm', 0)],
            expected={('a', ''): b'x'},
            held=[Held('e', 1, 'a'), Held('e', 1, 'a'), Held('e', 2, 'b')],
        )
        self.assertEqual(list(checking.violations(history)), [])


class HistoriesTest(unittest.TestCase):
    """The real code keeps the promises; code broken on purpose does not."""

    @settings(max_examples=40, deadline=None, derandomize=True, database=None)
    @given(
        seed=st.integers(1000, 1_000_000),
        cut=st.floats(0, 0.2),
        stall=st.floats(0, 0.3),
        faults=st.integers(0, 12),
    )
    def test_promises_hold(
        self,
        seed: int,
        cut: float,
        stall: float,
        faults: int,
    ) -> None:
        """No mixture of faults breaks a promise."""
        shape = histories.Shape(cut=cut, stall=stall, faults=faults)
        history = virtual.run(histories.one(seed, shape))
        self.assertEqual(list(checking.violations(history)), [])

    def test_same_seed_same_history(self) -> None:
        """A history can be had again from its seed."""
        first, second = (virtual.run(histories.one(7)) for _ in range(2))
        self.assertEqual(first, second)

    def test_retry_of_what_may_have_run(self) -> None:
        """Retrying every unknown call runs some of them twice."""
        with mock.patch.object(dispatch, 'may_retry', return_value=True):
            self.assertIn('ran more than once', broken())

    def test_last_attempt_only(self) -> None:
        """Judging a call by its last attempt says not run of some that ran."""
        with mock.patch.object(
            dispatch, 'conclude', lambda endings: endings[-1]
        ):
            self.assertIn('said not run, but ran', broken(range(100)))

    def test_forgetful_key_memory(self) -> None:
        """A memory that admits every key runs some of them twice."""
        with mock.patch.object(
            KeyMemory, 'claim', return_value=KeyDecision.RUN
        ):
            self.assertIn('ran more than once', broken())

    def test_connection_kept_after_a_timeout(self) -> None:
        """A connection kept with an answer still to come spoils answers."""

        def keep(self: dispatch.Dispatcher, *args: object) -> None:
            address, stream, _ = args
            if stream is not None:
                self._pool._idle.setdefault(  # type: ignore[attr-defined]
                    address,
                    [],
                ).append(stream)

        def reuse(self: object, address: object) -> object:
            kept = self._idle.get(address, [])  # type: ignore[attr-defined]
            return kept.pop() if kept else None

        with (
            mock.patch.object(dispatch.Dispatcher, '_release', keep),
            mock.patch.object(MemoryDialler, 'reuse', reuse),
            mock.patch.object(dispatch, '_is_own_head', return_value=True),
            mock.patch.object(
                dispatch.Dispatcher,
                '_read_ending',
                return_value=ANSWERED,
            ),
        ):
            self.assertIn('not its own whole answer', broken())

    def test_guard_that_ignores_leaving(self) -> None:
        """An endpoint that takes calls while it leaves gets new work."""
        refusal = 'linnetwood.calls.guard.refusal'
        late = histories.Shape(calls=60)
        found: set[str] = set()
        with (
            mock.patch(refusal, return_value=None),
            mock.patch.object(histories, '_GOSSIP_LAG_S', 30.0),
        ):
            for seed in SEEDS:
                history = virtual.run(histories.one(seed, late))
                found |= {
                    text.partition(':')[0]
                    for text in checking.violations(history)
                }
        self.assertIn('new work while leaving', found)


if __name__ == '__main__':
    unittest.main()
