"""Configuration changes: compare-and-swap, lost answers and validation."""

import asyncio
import unittest

from linnetwood.core.errors import ConfigError, StoreAnswerLostError, StoreError
from linnetwood.fleet import configuration
from linnetwood.fleet.configchanges import ConfigChanges
from linnetwood.fleet.kvtable import KvTable
from linnetwood.fleet.store import StoredValue, SwapOutcome
from linnetwood.gen.schema.ttypes import (
    Adapter,
    Configuration,
    Deployment,
    Intent,
    Model,
    Organisation,
    Verdict,
    Version,
)

V1 = Version(name='v1', manifest='a1')
V2 = Version(name='v2', manifest='a2')


class FixedClock:
    """A clock that stands still at 0."""

    def now(self) -> float:
        """Return 0."""
        return 0

    def wall(self) -> float:
        """Return 0."""
        return 0


class FakeStore:
    """A store in memory that fails as its flags say."""

    def __init__(self) -> None:
        """Start reachable; lose no answer."""
        self.table = KvTable()
        self.down = False
        self.lose_next = False
        self.lost_write_lands = True

    async def get(self, key: str) -> StoredValue:
        """Read a key."""
        if self.down:
            raise StoreError('store-unreachable')
        entry = self.table.get(key, 0)
        return (
            StoredValue(entry.version, entry.payload)
            if entry
            else StoredValue(0, b'')
        )

    async def swap(self, key: str, payload: bytes, expect: int) -> SwapOutcome:
        """Swap a key; lose the answer, or the write, as set."""
        if self.down:
            raise StoreError('store-unreachable')
        lose = self.lose_next
        self.lose_next = False
        if lose and not self.lost_write_lands:
            raise StoreAnswerLostError('store-answer-lost')
        swap = self.table.swap(key, payload, expect, 0)
        if lose:
            raise StoreAnswerLostError('store-answer-lost')
        return SwapOutcome(swap.done, swap.version)

    async def wait(
        self, key: str, after: int, wait_s: float
    ) -> StoredValue | None:
        """Return at once without a change."""
        return None


def proposal(base: int, operation: str) -> configuration.Proposal:
    """Return a proposal of a small change."""
    deployment = Deployment(models=[Model(name=operation, versions=[V1])])
    return configuration.Proposal(deployment, base, operation, 'asha', 'test')


class ChangesTest(unittest.IsolatedAsyncioTestCase):
    """Verdicts on changes."""

    def setUp(self) -> None:
        """Start with an empty store."""
        self.store = FakeStore()
        self.adopted: list[bytes] = []
        self.changes = ConfigChanges(
            self.store, FixedClock(), self.adopted.append
        )

    async def test_accepts_in_order(self) -> None:
        """Each accepted change raises the revision by one."""
        first = await self.changes.propose(proposal(0, 'one'))
        second = await self.changes.propose(proposal(1, 'two'))
        self.assertEqual(
            [(answer.verdict, answer.revision) for answer in (first, second)],
            [(Verdict.ACCEPTED, 1), (Verdict.ACCEPTED, 2)],
        )

    async def test_race_has_one_winner(self) -> None:
        """Of two changes on one base one is refused, naming the other."""
        answers = await asyncio.gather(
            self.changes.propose(proposal(0, 'one')),
            self.changes.propose(proposal(0, 'two')),
        )
        verdicts = sorted(answer.verdict for answer in answers)
        self.assertEqual(verdicts, [Verdict.ACCEPTED, Verdict.REFUSED])
        loser = max(answers, key=lambda answer: answer.verdict)
        self.assertEqual(
            [change.operator_name for change in loser.since], ['asha']
        )

    async def test_lost_answer_is_settled_by_reading_back(self) -> None:
        """A write that took effect is reported accepted."""
        self.store.lose_next = True
        answer = await self.changes.propose(proposal(0, 'one'))
        self.assertEqual(answer.verdict, Verdict.ACCEPTED)

    async def test_lost_write_is_not_guessed(self) -> None:
        """A write that may still take effect is reported not known."""
        self.store.lose_next = True
        self.store.lost_write_lands = False
        answer = await self.changes.propose(proposal(0, 'one'))
        self.assertEqual(answer.verdict, Verdict.NOT_KNOWN)

    async def test_repeated_operation_is_accepted_once(self) -> None:
        """Proposing again under the same operation id changes nothing."""
        await self.changes.propose(proposal(0, 'one'))
        again = await self.changes.propose(proposal(0, 'one'))
        self.assertEqual((again.verdict, again.revision), (Verdict.ACCEPTED, 1))

    async def test_outage_is_refused_clearly(self) -> None:
        """While the store is down a change is refused."""
        self.store.down = True
        answer = await self.changes.propose(proposal(0, 'one'))
        self.assertEqual(
            (answer.verdict, answer.code),
            (Verdict.REFUSED, 'store-unavailable'),
        )

    async def test_settle(self) -> None:
        """Settling returns accepted, refused, or not known during an outage."""
        await self.changes.propose(proposal(0, 'one'))
        accepted = await self.changes.settle('one')
        refused = await self.changes.settle('never')
        self.store.down = True
        unknown = await self.changes.settle('one')
        self.assertEqual(
            [accepted.verdict, refused.verdict, unknown.verdict],
            [Verdict.ACCEPTED, Verdict.REFUSED, Verdict.NOT_KNOWN],
        )


class RulesTest(unittest.TestCase):
    """Validation, cancelled rollouts and the size limit."""

    def test_validation_errors(self) -> None:
        """Each contradiction is reported with what is allowed."""
        model = Model(
            name='m',
            versions=[V1],
            adapters=[Adapter(name='a', base_version='v9', manifest='b')],
        )
        cases = (
            (Deployment(models=[model]), 'base_version'),
            (Deployment(models=[Model(name='m', versions=[V1, V1])]), 'twice'),
            (
                Deployment(organisations=[Organisation(name='o', share=0)]),
                'at least 1',
            ),
            (
                Deployment(
                    intents=[Intent(model='m', version='v', replicas=1)]
                ),
                'declared version',
            ),
        )
        for deployment, words in cases:
            with self.subTest(words):
                self.assertIn(
                    words, ' '.join(configuration.validation_errors(deployment))
                )

    def test_rollout_and_cancel(self) -> None:
        """Cancelling restores the previous version and replica count."""
        declared = Deployment(models=[Model(name='m', versions=[V1, V2])])
        first = configuration.with_intent(
            declared,
            Intent(model='m', version='v1', replicas=3),
        )
        second = configuration.with_intent(
            first,
            Intent(model='m', version='v2', replicas=5),
        )
        back = configuration.without_rollout(second, 'm').intents[0]
        self.assertEqual((back.version, back.replicas), ('v1', 3))

    def test_too_large_is_refused(self) -> None:
        """A configuration above the size limit of a value is refused."""
        models = [
            Model(name=f'{number}' + 'x' * 1000, versions=[])
            for number in range(1100)
        ]
        large = Configuration(
            revision=1,
            deployment=Deployment(models=models),
            history=[],
        )
        with self.assertRaisesRegex(ConfigError, 'config-too-large'):
            configuration.pack(large)


if __name__ == '__main__':
    unittest.main()
