"""Neighbours choose each other, and a death changes little."""

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
    """Give every VM's neighbours."""
    return {vm: set(neighbours(vm, vms, 'm', COUNT)) for vm in vms}


class NeighboursTest(unittest.TestCase):
    """The graph over all VMs."""

    def test_everybody_in_a_small_fleet(self) -> None:
        """A fleet no larger than the wish is a full graph."""
        found = neighbours('vm-0', VMS[:13], 'm', COUNT)
        self.assertEqual(set(found), set(VMS[1:13]))

    def test_choice_is_mutual(self) -> None:
        """Whoever is chosen chooses back."""
        found = graph(VMS)
        for vm, chosen in found.items():
            for other in chosen:
                self.assertIn(vm, found[other])

    def test_number(self) -> None:
        """Everybody has as many as wished."""
        sizes = {len(chosen) for chosen in graph(VMS).values()}
        self.assertEqual(sizes, {COUNT})

    def test_connected(self) -> None:
        """Everybody is a few steps from everybody."""
        found = graph(VMS)
        reached = {VMS[0]}
        for _ in range(5):
            reached |= {far for near in reached for far in found[near]}
        self.assertEqual(reached, set(VMS))

    def test_death_moves_nobody(self) -> None:
        """The dead are counted with the rest, so the others keep theirs."""
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
    """Pair VMs by chance, and keep the pairs while others come and go."""

    def setUp(self) -> None:
        self.vms = [f'10.2.0.{number}' for number in range(100)]

    def pairs(self, vms: list[str]) -> set[tuple[str, str]]:
        """Give all pairs, in both orders."""
        return {
            (vm, other) for vm in vms for other in partners(vm, vms, 'm@2', 12)
        }

    def test_both_sides_agree(self) -> None:
        """Each VM has about as many, and nobody itself."""
        pairs = self.pairs(self.vms)
        self.assertEqual(pairs, {(other, vm) for vm, other in pairs})
        counts = Counter(vm for vm, _ in pairs)
        self.assertEqual(len(counts), len(self.vms))
        self.assertLess(abs(sum(counts.values()) / len(self.vms) - 12), 1.5)
        self.assertFalse([vm for vm, other in pairs if vm == other])

    def test_one_that_comes_changes_few_pairs(self) -> None:
        """Under two in a hundred of those that were there."""
        before = self.pairs(self.vms)
        after = self.pairs([*self.vms, 'new'])
        self.assertLess(len(before - after), 0.02 * len(before))
        self.assertIn('new', {vm for vm, _ in after})

    def test_few(self) -> None:
        """All others, where there are no more than asked for."""
        self.assertEqual(partners('a', ['a', 'b', 'c'], 'm', 12), ['b', 'c'])


if __name__ == '__main__':
    unittest.main()
