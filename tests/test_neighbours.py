"""Neighbours choose each other, and a death changes little."""

import unittest

from linnetwood.fleet.members import Health, copy
from linnetwood.fleet.neighbours import neighbours
from linnetwood.fleet.placement import assign, with_the_dead
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
        living = [copy(member(f'vm-{one}'), kind='engine') for one in range(20)]
        fallen = [
            copy(one, status=int(Health.DEAD)) if one.vm == 'vm-7' else one
            for one in living
        ]
        rings = [
            sorted(with_the_dead(deployment, members, intent))
            for members in (living, fallen)
        ]
        self.assertEqual(rings[0], rings[1])
        self.assertEqual(len(assign(deployment, fallen)), 19)


if __name__ == '__main__':
    unittest.main()
