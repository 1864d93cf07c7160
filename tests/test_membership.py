"""Failure detection by silence, and the order of member records."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwood.core.options import GossipOptions
from linnetwood.fleet.members import Health, copy, supersedes
from linnetwood.fleet.membership import Membership, View
from linnetwood.gen.wire.ttypes import Member

CFG = GossipOptions()
ZONE = 12


def member(vm: str, zone: str = 'z', **fields: int) -> Member:
    """Return a record of an endpoint that is alive."""
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
    """The memberships of one zone, with datagrams that take no time."""

    def __init__(self, count: int, loss: float = 0, seed: int = 1) -> None:
        """Start with every process knowing all others."""
        self.rng = Random(seed)
        self.loss = loss
        self.now = float()
        names = [f'vm-{number}' for number in range(count)]
        self.memberships = {vm: Membership(member(vm), CFG, 0) for vm in names}
        for membership in self.memberships.values():
            for vm in names:
                membership.receive(member(vm), 0)
        self.paused: set[str] = set()

    def step(self) -> None:
        """Let 0.1 s pass."""
        self.now += 0.1
        for vm in sorted(self.memberships.keys() - self.paused):
            self.run_process(vm, self.memberships[vm])

    def run_process(self, vm: str, membership: Membership) -> None:
        """Let one process tick, send heartbeats and ping silent members."""
        records = list(membership.tick(self.now))
        if round(self.now * 10) % 3 == 0:
            for other in membership.ring_neighbours(self.now).heartbeat_to:
                self.deliver(vm, other)
        for silent_member in membership.silent_members(self.now):
            if silent_member.vm not in self.paused:
                self.deliver(silent_member.vm, vm)
        for record in records:
            self.disseminate(record)

    def deliver(self, sender: str, target: str) -> None:
        """Deliver one datagram unless it is lost."""
        if target in self.memberships and self.rng.random() >= self.loss:
            self.memberships[target].heartbeat_received(sender, self.now)

    def disseminate(self, record: Member) -> None:
        """Deliver a record to all processes, and then what they refute."""
        for vm, membership in self.memberships.items():
            if vm in self.paused:
                continue
            refutation = membership.receive(record, self.now)
            if refutation is not None and refutation.vm == vm:
                self.disseminate(refutation)

    def run(self, seconds: float) -> None:
        """Let a number of seconds pass."""
        for _ in range(round(seconds * 10)):
            self.step()

    def held_dead(self, vm: str) -> int:
        """Count the other processes that hold a VM dead."""
        return sum(
            membership.view.members[vm].status == Health.DEAD
            for name, membership in self.memberships.items()
            if name != vm
        )


class MembershipTest(unittest.TestCase):
    """Failed processes are found within 3 s, and no others are held dead."""

    def test_dead_in_three_seconds(self) -> None:
        """Every other process holds a failed one dead after 3 s, not 2 s."""
        fleet = Fleet(ZONE)
        fleet.run(5)
        fleet.paused.add('vm-3')
        fleet.run(2)
        self.assertEqual(fleet.held_dead('vm-3'), 0)
        fleet.run(1)
        self.assertEqual(fleet.held_dead('vm-3'), ZONE - 1)

    def test_two_second_pause_is_survived(self) -> None:
        """A process that was paused for 2 s is not held dead."""
        for seed in range(5):
            fleet = Fleet(ZONE, loss=0.01, seed=seed)
            fleet.run(5)
            fleet.paused.add('vm-3')
            fleet.run(2)
            fleet.paused.clear()
            fleet.run(5)
            with self.subTest(seed):
                self.assertEqual(fleet.held_dead('vm-3'), 0)

    def test_loss_alone_fails_no_member(self) -> None:
        """Losing 1% of the datagrams for 120 s leaves no member dead."""
        fleet = Fleet(ZONE, loss=0.01)
        fleet.run(120)
        dead = sum(fleet.held_dead(vm) for vm in fleet.memberships)
        self.assertEqual(dead, 0)

    def test_paused_watcher_suspects_no_member(self) -> None:
        """A process that was paused itself does not suspect the others."""
        membership = Membership(member('a'), CFG, 0)
        membership.receive(member('b'), 0)
        membership.ring_neighbours(0)
        self.assertEqual(list(membership.tick(30)), [])

    def test_suspicion_comes_before_death(self) -> None:
        """A silent process becomes suspect first and dead later."""
        membership = Membership(member('a'), CFG, 0)
        membership.receive(member('b'), 0)
        statuses = [
            record.status
            for tick in range(1, 40)
            for record in membership.tick(tick / 10)
        ]
        self.assertEqual(statuses, [Health.SUSPECT, Health.DEAD])

    def test_suspect_process_refutes(self) -> None:
        """A suspect process refutes with a record of a higher version."""
        membership = Membership(member('a'), CFG, 0)
        answer = membership.receive(member('a', status=int(Health.SUSPECT)), 0)
        assert answer is not None
        self.assertEqual((answer.version, answer.status), (2, Health.ALIVE))

    def test_dead_is_superseded_only_by_a_newer_record(self) -> None:
        """A late record does not supersede a dead one; a restart does."""
        view = View(member('a'))
        view.update(member('b', status=int(Health.DEAD)))
        cases = (
            (member('b'), False),
            (member('b', version=2), True),
            (member('b', incarnation=2), True),
        )
        for record, expected in cases:
            with self.subTest(record.version):
                dead = member('b', status=int(Health.DEAD))
                self.assertEqual(supersedes(record, dead), expected)

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.permutations(range(8)), st.integers(0, 7))
    def test_views_agree_in_any_order(self, order: list[int], cut: int) -> None:
        """Records in any order, some of them twice, give the same view."""
        records = [
            member(f'vm-{number % 3}', version=number, status=1 + number % 4)
            for number in range(8)
        ]
        first = View(member('me'))
        second = View(member('me'))
        for number in range(8):
            first.update(records[number])
        for number in (*order, *order[:cut]):
            second.update(records[number])
        self.assertEqual(first.buckets, second.buckets)

    def test_differing_buckets_only(self) -> None:
        """Two views exchange only the buckets in which they differ."""
        first = View(member('me'))
        second = View(member('me'))
        for number in range(100):
            first.update(member(f'vm-{number}'))
            if number != 7:
                second.update(member(f'vm-{number}'))
        differing = [
            record.vm for record in first.differing_records(second.buckets)
        ]
        self.assertIn('vm-7', differing)
        self.assertLess(len(differing), 10)


if __name__ == '__main__':
    unittest.main()
