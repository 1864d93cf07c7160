"""Neighbours choose each other, and a failed VM changes few of them."""

import unittest
from collections import Counter

from linnetwood.fleet.members import Health, copy
from linnetwood.fleet.neighbours import neighbours, partners
from linnetwood.fleet.placement import assign_intents, assigned_with_failed
from linnetwood.gen.schema.ttypes import Deployment, Intent
from tests.test_membership import member

VMS = [f'vm-{number}' for number in range(200)]
COUNT = 12


def graph(vms: list[str]) -> dict[str, set[str]]:
    """Return the neighbours of every VM."""
    return {vm: set(neighbours(vm, vms, 'm', COUNT)) for vm in vms}


class NeighboursTest(unittest.TestCase):
    """The graph over all VMs."""

    def test_all_in_a_small_fleet(self) -> None:
        """In a fleet of 13 VMs, each has all others as neighbours."""
        found = neighbours('vm-0', VMS[:13], 'm', COUNT)
        self.assertEqual(set(found), set(VMS[1:13]))

    def test_choice_is_mutual(self) -> None:
        """A chosen VM chooses the other one, too."""
        found = graph(VMS)
        for vm, chosen in found.items():
            for other in chosen:
                self.assertIn(vm, found[other])

    def test_number(self) -> None:
        """Every VM has as many neighbours as wanted."""
        sizes = {len(chosen) for chosen in graph(VMS).values()}
        self.assertEqual(sizes, {COUNT})

    def test_connected(self) -> None:
        """Every VM reaches every other within 5 steps."""
        found = graph(VMS)
        reached = {VMS[0]}
        for _ in range(5):
            reached |= {far for near in reached for far in found[near]}
        self.assertEqual(reached, set(VMS))

    def test_a_failed_vm_moves_no_other(self) -> None:
        """Failed VMs keep their positions, so the others keep theirs."""
        intent = Intent(model='m', version='v', replicas=20)
        deployment = Deployment(intents=[intent])
        before = [
            copy(member(f'vm-{engine}'), kind='engine') for engine in range(20)
        ]
        after = [
            copy(engine, status=int(Health.DEAD))
            if engine.vm == 'vm-7'
            else engine
            for engine in before
        ]
        rings = [
            sorted(assigned_with_failed(deployment, members, intent))
            for members in (before, after)
        ]
        self.assertEqual(rings[0], rings[1])
        self.assertEqual(len(assign_intents(deployment, after)), 19)


class PartnersTest(unittest.TestCase):
    """Pair VMs at random, and keep the pairs while others come and go."""

    def setUp(self) -> None:
        self.vms = [f'10.2.0.{number}' for number in range(100)]

    def pairs(self, vms: list[str]) -> set[tuple[str, str]]:
        """Return all pairs, in both orders."""
        return {
            (vm, other) for vm in vms for other in partners(vm, vms, 'm@2', 12)
        }

    def test_both_sides_agree(self) -> None:
        """Each VM has about 12 partners, and never itself."""
        pairs = self.pairs(self.vms)
        self.assertEqual(pairs, {(other, vm) for vm, other in pairs})
        counts = Counter(vm for vm, _ in pairs)
        self.assertEqual(len(counts), len(self.vms))
        self.assertLess(abs(sum(counts.values()) / len(self.vms) - 12), 1.5)
        self.assertFalse([vm for vm, other in pairs if vm == other])

    def test_one_that_comes_changes_few_pairs(self) -> None:
        """A new VM changes under 2 % of the existing pairs."""
        before = self.pairs(self.vms)
        after = self.pairs([*self.vms, 'new'])
        self.assertLess(len(before - after), 0.02 * len(before))
        self.assertIn('new', {vm for vm, _ in after})

    def test_few(self) -> None:
        """All other VMs are partners where there are no more than wanted."""
        self.assertEqual(partners('a', ['a', 'b', 'c'], 'm', 12), ['b', 'c'])


if __name__ == '__main__':
    unittest.main()
