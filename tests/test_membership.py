"""Who lives: silence, suspicion, death, and what is newer."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwood.core.options import Gossiping
from linnetwood.fleet.members import Health, copy, supersedes
from linnetwood.fleet.membership import Membership, View
from linnetwood.gen.wire.ttypes import Member

CFG = Gossiping()
ZONE = 12


def member(vm: str, zone: str = 'z', **fields: int) -> Member:
    """Give a plain statement."""
    base = Member(
        vm=vm,
        incarnation=1,
        version=1,
        role='endpoint',
        availability_zone=zone,
        region='r',
        rack='',
        host='h',
        port=1,
        status=int(Health.ALIVE),
    )
    return copy(base, **fields)


class Fleet:
    """Run the decisions of one zone with datagrams that take no time."""

    def __init__(self, count: int, loss: float = 0, seed: int = 1) -> None:
        """Let everybody know everybody."""
        self.rng = Random(seed)
        self.loss = loss
        self.now = float()
        names = [f'vm-{number}' for number in range(count)]
        self.nodes = {vm: Membership(member(vm), CFG, 0) for vm in names}
        for node in self.nodes.values():
            for vm in names:
                node.receive(member(vm), 0)
        self.paused: set[str] = set()

    def step(self) -> None:
        """Let a tenth of a second pass."""
        self.now += 0.1
        for vm in sorted(self.nodes.keys() - self.paused):
            self.turn(vm, self.nodes[vm])

    def turn(self, vm: str, node: Membership) -> None:
        """Let one process do what is due."""
        verdicts = list(node.tick(self.now))
        if round(self.now * 10) % 3 == 0:
            for other in node.ring_neighbours(self.now).heartbeat_to:
                self.deliver(vm, other)
        for silent in node.silent_members(self.now):
            if silent.vm not in self.paused:
                self.deliver(silent.vm, vm)
        for verdict in verdicts:
            self.spread(verdict)

    def deliver(self, sender: str, target: str) -> None:
        """Bring one sign of life, if it is not lost."""
        if target in self.nodes and self.rng.random() >= self.loss:
            self.nodes[target].heartbeat_received(sender, self.now)

    def spread(self, statement: Member) -> None:
        """Bring a statement to everybody, and what they answer."""
        for vm, node in self.nodes.items():
            if vm in self.paused:
                continue
            answer = node.receive(statement, self.now)
            if answer is not None and answer.vm == vm:
                self.spread(answer)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds * 10)):
            self.step()

    def held_dead(self, vm: str) -> int:
        """Count the processes that hold another dead."""
        return sum(
            node.view.members[vm].status == Health.DEAD
            for name, node in self.nodes.items()
            if name != vm
        )


class MembershipTest(unittest.TestCase):
    """Death is found in three seconds, and nobody is buried alive."""

    def test_dead_in_three_seconds(self) -> None:
        """Every other process holds a dead one dead in time."""
        fleet = Fleet(ZONE)
        fleet.run(5)
        fleet.paused.add('vm-3')
        fleet.run(2)
        self.assertEqual(fleet.held_dead('vm-3'), 0)
        fleet.run(1)
        self.assertEqual(fleet.held_dead('vm-3'), ZONE - 1)

    def test_two_second_pause_is_survived(self) -> None:
        """A process that was away for two seconds lives on."""
        for seed in range(5):
            fleet = Fleet(ZONE, loss=0.01, seed=seed)
            fleet.run(5)
            fleet.paused.add('vm-3')
            fleet.run(2)
            fleet.paused.clear()
            fleet.run(5)
            with self.subTest(seed):
                self.assertEqual(fleet.held_dead('vm-3'), 0)

    def test_loss_alone_kills_nobody(self) -> None:
        """One datagram in a hundred lost for two minutes harms nobody."""
        fleet = Fleet(ZONE, loss=0.01)
        fleet.run(120)
        dead = sum(fleet.held_dead(vm) for vm in fleet.nodes)
        self.assertEqual(dead, 0)

    def test_paused_watcher_blames_nobody(self) -> None:
        """A process that was itself away does not take others for dead."""
        node = Membership(member('a'), CFG, 0)
        node.receive(member('b'), 0)
        node.ring_neighbours(0)
        self.assertEqual(list(node.tick(30)), [])

    def test_suspicion_comes_before_death(self) -> None:
        """The statements about a silent process grow worse in order."""
        node = Membership(member('a'), CFG, 0)
        node.receive(member('b'), 0)
        statuses = [
            one.status for tick in range(1, 40) for one in node.tick(tick / 10)
        ]
        self.assertEqual(statuses, [Health.SUSPECT, Health.DEAD])

    def test_suspected_process_answers(self) -> None:
        """A process that hears it is suspected says otherwise, louder."""
        node = Membership(member('a'), CFG, 0)
        answer = node.receive(member('a', status=int(Health.SUSPECT)), 0)
        assert answer is not None
        self.assertEqual((answer.version, answer.status), (2, Health.ALIVE))

    def test_dead_is_raised_only_by_a_newer_statement(self) -> None:
        """A late statement does not raise the dead; a restart does."""
        view = View(member('a'))
        view.update(member('b', status=int(Health.DEAD)))
        cases = (
            (member('b'), False),
            (member('b', version=2), True),
            (member('b', incarnation=2), True),
        )
        for statement, expected in cases:
            with self.subTest(statement.version):
                dead = member('b', status=int(Health.DEAD))
                self.assertEqual(supersedes(statement, dead), expected)

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.permutations(range(8)), st.integers(0, 7))
    def test_views_agree_in_any_order(self, order: list[int], cut: int) -> None:
        """Statements in any order, and twice, end in the same view."""
        statements = [
            member(f'vm-{number % 3}', version=number, status=1 + number % 4)
            for number in range(8)
        ]
        first = View(member('me'))
        second = View(member('me'))
        for number in range(8):
            first.update(statements[number])
        for number in (*order, *order[:cut]):
            second.update(statements[number])
        self.assertEqual(first.buckets, second.buckets)

    def test_differing_buckets_only(self) -> None:
        """Two views exchange only the parts in which they differ."""
        first = View(member('me'))
        second = View(member('me'))
        for number in range(100):
            first.update(member(f'vm-{number}'))
            if number != 7:
                second.update(member(f'vm-{number}'))
        differing = [one.vm for one in first.differing_records(second.buckets)]
        self.assertIn('vm-7', differing)
        self.assertLess(len(differing), 10)


if __name__ == '__main__':
    unittest.main()
