"""Neighbours choose each other, and a death changes little."""

import unittest

from linnetwood.neighbours import neighbours

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
        """On average the wish is met, and nobody is alone."""
        sizes = [len(chosen) for chosen in graph(VMS).values()]
        self.assertAlmostEqual(sum(sizes) / len(sizes), COUNT, delta=1)
        self.assertGreaterEqual(min(sizes), COUNT // 2 - 1)

    def test_connected(self) -> None:
        """Everybody is a few steps from everybody."""
        found = graph(VMS)
        reached = {VMS[0]}
        for _ in range(5):
            reached |= {far for near in reached for far in found[near]}
        self.assertEqual(reached, set(VMS))

    def test_death_changes_little(self) -> None:
        """Most of a VM's neighbours stay when another dies."""
        before = graph(VMS)
        after = graph([vm for vm in VMS if vm != 'vm-7'])
        kept = sum(len(before[vm] & after[vm]) for vm in after)
        whole = sum(len(before[vm] - {'vm-7'}) for vm in after)
        self.assertGreater(kept / whole, 0.97)


if __name__ == '__main__':
    unittest.main()
