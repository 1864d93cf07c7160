"""A process's configuration never reverts; no accepted change is lost."""

import asyncio
import unittest
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from linnetwood.core.options import GossipOptions
from linnetwood.fleet import configuration
from linnetwood.fleet.configchanges import ConfigChanges
from linnetwood.fleet.configtask import ConfigTask, backoff_s, choose_watchers
from linnetwood.fleet.configuration import CONFIG_KEY
from linnetwood.fleet.gossip import GossipTask
from linnetwood.fleet.membership import Membership
from linnetwood.gen.schema.ttypes import Answer, Configuration, Verdict
from linnetwood.lab import virtual
from linnetwood.wire.connections import TcpDialler
from tests.test_configuration import FakeStore, FixedClock, proposal
from tests.test_membership import member

PROCESSES = ('a', 'b', 'c')
process_indexes = st.sampled_from(range(len(PROCESSES)))


def new_config_task(vm: str, store: FakeStore) -> ConfigTask:
    """Return the configuration task of a process that holds nothing yet."""
    clock = FixedClock()
    rng = Random(1)
    gossip = GossipTask(
        Membership(member(vm), GossipOptions(), 0),
        GossipOptions(),
        clock,
        rng,
    )
    return ConfigTask(store, gossip, TcpDialler(), clock, rng)


class ConfigMachine(RuleBasedStateMachine):
    """Three processes and one store, with late events and lost answers."""

    def __init__(self) -> None:
        """Start without an accepted change."""
        super().__init__()
        self.store = FakeStore()
        self.tasks = [new_config_task(vm, self.store) for vm in PROCESSES]
        self.held = [0 for _ in PROCESSES]
        self.seen: list[bytes] = []
        self.accepted: dict[str, int] = {}
        self.number = 0

    @rule(index=process_indexes, lose=st.booleans(), lands=st.booleans())
    def propose(self, index: int, lose: bool, lands: bool) -> None:
        """An operator proposes a change based on what one process holds."""
        task = self.tasks[index]
        self.number += 1
        operation = f'op-{self.number}'
        self.store.lose_next = lose
        self.store.lost_write_lands = lands
        changes = ConfigChanges(self.store, FixedClock(), task.adopt)
        answer: Answer = virtual.run(
            changes.propose(proposal(task.current.revision, operation)),
        )
        self.store.lose_next = False
        if answer.verdict == Verdict.ACCEPTED:
            self.accepted[operation] = answer.revision
        self.keep(task)

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        """The store becomes unreachable or comes back."""
        self.store.down = down

    @rule(index=process_indexes)
    def read(self, index: int) -> None:
        """A watcher reads the store."""
        if self.store.down:
            return
        stored = virtual.run(self.store.get(CONFIG_KEY))
        if stored.version:
            self.tasks[index].adopt(stored.payload)
        self.keep(self.tasks[index])

    @rule(index=process_indexes, event=st.integers(0, 50))
    def late_event(self, index: int, event: int) -> None:
        """Any earlier configuration arrives again, late."""
        if self.seen:
            self.tasks[index].adopt(self.seen[event % len(self.seen)])

    @rule(index=process_indexes, peer=process_indexes)
    def from_peer(self, index: int, peer: int) -> None:
        """A process receives a newer or older configuration from a peer."""
        encoded = self.tasks[peer].encoded
        if encoded:
            self.tasks[index].adopt(encoded)

    @rule(index=process_indexes, peer=process_indexes)
    def restart(self, index: int, peer: int) -> None:
        """A process restarts and reads from a peer before it is ready."""
        if index == peer:
            return
        self.tasks[index] = new_config_task(PROCESSES[index], self.store)
        self.held[index] = 0
        self.from_peer(index, peer)

    def keep(self, task: ConfigTask) -> None:
        """Remember the configuration that a process holds."""
        if task.encoded:
            self.seen.append(task.encoded)

    @invariant()
    def never_reverts(self) -> None:
        """No process goes back to a lower revision."""
        for index, task in enumerate(self.tasks):
            assert task.current.revision >= self.held[index]
            self.held[index] = task.current.revision

    @invariant()
    def accepted_is_never_lost(self) -> None:
        """Every accepted change is in the history under its revision.

        Only changes older than the history that is kept are exempt.
        """
        record = self.store.table.get(CONFIG_KEY, 0)
        current = configuration.unpack(record.payload if record else b'')
        history = {
            change.operation_id: change.revision for change in current.history
        }
        oldest = current.history[0].revision if current.history else 0
        for operation, revision in self.accepted.items():
            assert revision < oldest or history[operation] == revision

    @invariant()
    def same_revision_same_text(self) -> None:
        """Processes with the same revision hold the same bytes."""
        encoded_by_revision: dict[int, bytes] = {}
        for task in self.tasks:
            revision = task.current.revision
            found = encoded_by_revision.setdefault(revision, task.encoded)
            assert found == task.encoded


ConfigMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)
ConfigMachineTest = ConfigMachine.TestCase


class WatchersTest(unittest.TestCase):
    """A few processes watch the store, whatever the size of the fleet."""

    def test_number_does_not_grow(self) -> None:
        """Two processes of a region watch, of 30 and of 900 members."""
        for count in (30, 900):
            members = [member(f'vm-{number}') for number in range(count)]
            with self.subTest(count):
                self.assertEqual(len(choose_watchers(members, 'r', [])), 2)

    def test_zone_on_its_own_watches_for_itself(self) -> None:
        """A zone that is cut off chooses watchers among its own members."""
        members = [member(f'vm-{number}', zone='z') for number in range(9)]
        members += [member(f'w-{number}', zone='w') for number in range(9)]
        chosen = choose_watchers(members, 'r', ['z'])
        self.assertTrue(all(vm.startswith('w-') for vm in chosen))

    def test_return_after_an_outage_is_spread(self) -> None:
        """Pauses grow, are jittered and last a minute at most."""
        rng = Random(1)
        pauses = [backoff_s(failures, rng) for failures in range(1, 12)]
        self.assertLess(pauses[0], 2.1)
        self.assertLessEqual(max(pauses), 60)
        late = {round(backoff_s(11, rng), 3) for _ in range(20)}
        self.assertGreater(len(late), 15)


class LearnTest(unittest.IsolatedAsyncioTestCase):
    """Which configurations a process takes in."""

    async def test_older_is_ignored(self) -> None:
        """An older or equal revision is not passed to listeners."""
        task = new_config_task('a', FakeStore())
        received: list[Configuration] = []
        task.add_listener(received.append)
        for revision in (2, 1, 2):
            task.adopt(
                configuration.pack(
                    Configuration(
                        revision=revision,
                        deployment=configuration.empty().deployment,
                        history=[],
                    ),
                ),
            )
        await asyncio.sleep(0)
        self.assertEqual(
            [configuration.revision for configuration in received], [2]
        )


if __name__ == '__main__':
    unittest.main()
