"""The configuration never reverts, and what was accepted is never lost."""

import asyncio
import unittest
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from linnetwood.core.options import Gossiping
from linnetwood.fleet import configuration
from linnetwood.fleet.changes import ConfigChanges
from linnetwood.fleet.configuration import CONFIG_KEY
from linnetwood.fleet.gossip import GossipTask
from linnetwood.fleet.membership import Membership
from linnetwood.fleet.watching import ConfigTask, backoff_s, choose_watchers
from linnetwood.gen.schema.ttypes import Answer, Configuration, Verdict
from linnetwood.lab import virtual
from linnetwood.wire.connections import TcpDialler
from tests.test_configuration import FakeStore, FixedClock, proposal
from tests.test_membership import member

PROCESSES = ('a', 'b', 'c')
places = st.sampled_from(range(len(PROCESSES)))


def process(vm: str, store: FakeStore) -> ConfigTask:
    """Give a process that holds nothing yet."""
    clock = FixedClock()
    rng = Random(1)
    gossip = GossipTask(
        Membership(member(vm), Gossiping(), 0),
        Gossiping(),
        clock,
        rng,
    )
    return ConfigTask(store, gossip, TcpDialler(), clock, rng)


class ConfigMachine(RuleBasedStateMachine):
    """Three processes, one service, late events and lost answers."""

    def __init__(self) -> None:
        """Start with nothing accepted."""
        super().__init__()
        self.store = FakeStore()
        self.tasks = [process(vm, self.store) for vm in PROCESSES]
        self.held = [0 for _ in PROCESSES]
        self.seen: list[bytes] = []
        self.accepted: dict[str, int] = {}
        self.number = 0

    @rule(place=places, lose=st.booleans(), lands=st.booleans())
    def propose(self, place: int, lose: bool, lands: bool) -> None:
        """An operator proposes what follows from a process's own view."""
        task = self.tasks[place]
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
        """The service goes or comes back."""
        self.store.down = down

    @rule(place=places)
    def read(self, place: int) -> None:
        """A watcher reads the service."""
        if self.store.down:
            return
        stored = virtual.run(self.store.get(CONFIG_KEY))
        if stored.version:
            self.tasks[place].adopt(stored.payload)
        self.keep(self.tasks[place])

    @rule(place=places, event=st.integers(0, 50))
    def late_event(self, place: int, event: int) -> None:
        """Any configuration ever seen comes again, late."""
        if self.seen:
            self.tasks[place].adopt(self.seen[event % len(self.seen)])

    @rule(place=places, peer=places)
    def from_peer(self, place: int, peer: int) -> None:
        """A process hears from a peer, newer or older."""
        encoded = self.tasks[peer].encoded
        if encoded:
            self.tasks[place].adopt(encoded)

    @rule(place=places, peer=places)
    def restart(self, place: int, peer: int) -> None:
        """A process starts anew and learns from a peer before it is ready."""
        if place == peer:
            return
        self.tasks[place] = process(PROCESSES[place], self.store)
        self.held[place] = 0
        self.from_peer(place, peer)

    def keep(self, task: ConfigTask) -> None:
        """Remember every configuration that a process ever held."""
        if task.encoded:
            self.seen.append(task.encoded)

    @invariant()
    def never_reverts(self) -> None:
        """No process goes back to a lower revision."""
        for place, task in enumerate(self.tasks):
            assert task.current.revision >= self.held[place]
            self.held[place] = task.current.revision

    @invariant()
    def accepted_is_never_lost(self) -> None:
        """What an operator was told is accepted stands, in its place."""
        entry = self.store.table.get(CONFIG_KEY, 0)
        standing = configuration.unpack(entry.payload if entry else b'')
        history = {one.operation_id: one.revision for one in standing.history}
        oldest = standing.history[0].revision if standing.history else 0
        for operation, revision in self.accepted.items():
            assert revision < oldest or history[operation] == revision

    @invariant()
    def same_revision_same_text(self) -> None:
        """Two processes never mean different things by one revision."""
        texts: dict[int, bytes] = {}
        for task in self.tasks:
            revision = task.current.revision
            found = texts.setdefault(revision, task.encoded)
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
    """A few watch, whatever the fleet's size."""

    def test_number_does_not_grow(self) -> None:
        """Two of a region watch, of thirty and of nine hundred."""
        for count in (30, 900):
            members = [member(f'vm-{one}') for one in range(count)]
            with self.subTest(count):
                self.assertEqual(len(choose_watchers(members, 'r', [])), 2)

    def test_zone_on_its_own_watches_for_itself(self) -> None:
        """Zones that are not heard from are left out."""
        members = [member(f'vm-{one}', zone='z') for one in range(9)]
        members += [member(f'w-{one}', zone='w') for one in range(9)]
        chosen = choose_watchers(members, 'r', ['z'])
        self.assertTrue(all(vm.startswith('w-') for vm in chosen))

    def test_return_after_an_outage_is_spread(self) -> None:
        """Pauses grow, are jittered and end at a minute."""
        rng = Random(1)
        pauses = [backoff_s(failures, rng) for failures in range(1, 12)]
        self.assertLess(pauses[0], 2.1)
        self.assertLessEqual(max(pauses), 60)
        late = {round(backoff_s(11, rng), 3) for _ in range(20)}
        self.assertGreater(len(late), 15)


class LearnTest(unittest.IsolatedAsyncioTestCase):
    """What a process holds in force."""

    async def test_older_is_ignored(self) -> None:
        """An older configuration changes nothing and tells nobody."""
        task = process('a', FakeStore())
        told: list[Configuration] = []
        task.add_listener(told.append)
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
        self.assertEqual([one.revision for one in told], [2])


if __name__ == '__main__':
    unittest.main()
