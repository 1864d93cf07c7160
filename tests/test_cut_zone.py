"""How a version reaches a zone that is cut off together with the origin.

Guards against a zone that stays incomplete until the cut heals: with a zone cut
off for 5 s during a transfer, engines on both sides held nearly all chunks, but
none was complete before the cut had healed, and after the version's bound every
call was refused for 4 s.

A chunk that any neighbour holds was never read from the origin. Neighbours
behind the cut don't answer; the origin would, but got no request. The same was
true of a chunk whose 3 readers are all behind the cut. With the zone cut off 5
s after the naming its VMs missed 4 to 9 chunks each, requested these from
silent VMs, and read none of them from the origin.
"""

import unittest
from itertools import product

from linnetwood.lab.transfers import Fleet
from linnetwood.lab.transferscenario import Outcome, Policies, Scenario
from linnetwood.weights.takeover import AFTER_THE_REST, TAKEOVERS
from linnetwood.weights.versionplan import ByForecast

SEEDS = range(5)
VERSION = 2
HEALS_AT = 13


def run_transfer(scenario: Scenario, seed: int) -> Outcome:
    """Run the transfer of one version to all engines."""
    policies = Policies(TAKEOVERS[AFTER_THE_REST], ByForecast())
    return Fleet(scenario, policies, seed).run(40)


class CutZoneTest(unittest.TestCase):
    """Run the modules that decide, without a network."""

    def test_zone_reads_chunks_held_behind_the_cut(self) -> None:
        """Its engines are complete before the cut heals.

        Without a cut that takes them 9.9 to 10.6 s.
        """
        for since, seed in product((3, 5), SEEDS):
            scenario = Scenario(vms=11, cut=(since, HEALS_AT))
            with self.subTest(since=since, seed=seed):
                self.assertLess(
                    run_transfer(scenario, seed).near_complete_at[VERSION],
                    HEALS_AT,
                )

    # A zone that was cut off before a version was named missed the chunks whose
    # readers are all outside until the cut healed.
    def test_zone_that_was_cut_off_before_the_naming(self) -> None:
        """It reads all chunks from the origin, which is on its side."""
        for seed in SEEDS:
            scenario = Scenario(vms=11, cut=(0, HEALS_AT))
            with self.subTest(seed=seed):
                self.assertLess(
                    run_transfer(scenario, seed).near_complete_at[VERSION],
                    HEALS_AT,
                )

    def test_no_additional_reads_without_a_cut(self) -> None:
        """All chunks but a few are read once."""
        for seed in SEEDS:
            scenario = Scenario(vms=11)
            with self.subTest(seed=seed):
                reads = run_transfer(scenario, seed).reads[VERSION]
                self.assertLessEqual(reads, scenario.chunks + 3)

    def test_other_zones_are_hardly_delayed(self) -> None:
        """The origin's link is free for them soon after the cut heals."""
        for seed in SEEDS:
            scenario = Scenario(vms=11, cut=(4, 9))
            with self.subTest(seed=seed):
                outcome = run_transfer(scenario, seed)
                self.assertLess(outcome.complete_at_by_version[VERSION], 12.5)


if __name__ == '__main__':
    unittest.main()
