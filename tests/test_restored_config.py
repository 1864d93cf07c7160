"""The product's own configuration, whose service is restored from a copy.

Guards against accepted changes that are lost, and against later ones that are
never in force: the service holds an older configuration, each process waits for
a version that is far ahead, and the next changes get revisions that all
processes take for known.
"""

import asyncio
import unittest

from linnetwood.fleet import configuration
from linnetwood.fleet.configchanges import ConfigChanges
from linnetwood.fleet.store import StoredValue
from linnetwood.gen.schema.ttypes import Verdict
from linnetwood.lab import virtual
from tests.test_config_machine import new_config_task
from tests.test_configuration import FakeStore, FixedClock, proposal

WAIT_S = 10.0
LOST = 3


class WaitingStore(FakeStore):
    """A store whose waits last, and that may be restored from a copy."""

    async def wait(
        self, key: str, after: int, wait_s: float
    ) -> StoredValue | None:
        """Return a later version when there is one, or nothing at the end."""
        for _ in range(int(wait_s * 10)):
            stored = await self.get(key)
            if stored.version > after:
                return stored
            await asyncio.sleep(0.1)
        return None

    def save(self) -> StoredValue:
        """Return the key as it is."""
        entry = self.table.get(configuration.CONFIG_KEY, 0)
        assert entry is not None
        return StoredValue(entry.version, entry.payload)

    def restore(self, copy: StoredValue) -> None:
        """Lose what was written since a copy, and count versions from there."""
        fresh = FakeStore()
        for expect in range(copy.version):
            fresh.table.swap(configuration.CONFIG_KEY, copy.payload, expect, 0)
        self.table = fresh.table


class RestoredConfigTest(unittest.TestCase):
    """Restore the service, and change the configuration again."""

    def setUp(self) -> None:
        self.store = WaitingStore()
        self.task = new_config_task('a', self.store)
        self.changes = ConfigChanges(self.store, FixedClock(), self.task.adopt)

    async def propose(self, count: int) -> None:
        """Accept some changes, one after the other."""
        for _ in range(count):
            base = self.task.current.revision
            answer = await self.changes.propose(proposal(base, f'op-{base}'))
            self.assertEqual(answer.verdict, Verdict.ACCEPTED)

    async def play(self, *, seen: bool, lose_answer: bool = False) -> None:
        """Lose some changes with a copy, and check that they are back."""
        await self.propose(2)
        copy = self.store.save()
        await self.propose(LOST)
        newest = self.task.current
        await self.task.start(WAIT_S)
        await asyncio.sleep(2 * WAIT_S)
        self.store.down = seen
        await asyncio.sleep(1)
        self.store.restore(copy)
        self.store.down = False
        self.store.lose_next = lose_answer
        # Pauses after an outage last a minute at most.
        await asyncio.sleep(150)
        self.assertEqual(self.task.current, newest)
        stored = configuration.unpack(self.store.save().payload)
        self.assertEqual(stored, newest)
        await self.propose(1)
        other = new_config_task('b', self.store)
        await other.start(WAIT_S)
        await asyncio.sleep(1)
        self.assertEqual(other.current.revision, newest.revision + 1)
        await other.close()
        await self.task.close()

    def test_what_was_accepted_is_written_again(self) -> None:
        """And the next change is in force, also where no outage was seen."""
        for seen in (True, False):
            with self.subTest(seen=seen):
                self.setUp()
                virtual.run(self.play(seen=seen))

    def test_the_answer_of_that_write_is_lost(self) -> None:
        """It is read, and written again if need be."""
        for lands in (True, False):
            with self.subTest(lands=lands):
                self.setUp()
                self.store.lost_write_lands = lands
                virtual.run(self.play(seen=True, lose_answer=True))

    def test_a_race_for_the_first_change(self) -> None:
        """A change that was accepted on the copy is not overwritten unseen."""

        async def scenario() -> None:
            await self.propose(2)
            copy = self.store.save()
            await self.propose(LOST)
            await self.task.start(WAIT_S)
            self.store.restore(copy)
            late = new_config_task('late', self.store)
            changes = ConfigChanges(self.store, FixedClock(), late.adopt)
            answer = await changes.propose(proposal(2, 'late'))
            self.assertEqual(answer.verdict, Verdict.ACCEPTED)
            await asyncio.sleep(3 * WAIT_S)
            # The service has no order between the two histories: the higher
            # revision is in force, and who proposed the other is told so.
            settled = await changes.settle('late')
            self.assertEqual(settled.verdict, Verdict.REFUSED)
            await self.task.close()

        virtual.run(scenario())


if __name__ == '__main__':
    unittest.main()
