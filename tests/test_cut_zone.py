"""How a version reaches a zone that is cut off together with the origin.

Seen: a zone was cut off for 5 s while a version was on its way. Engines on both
sides held nearly all of it; none was whole before the cut had healed, and from
the version's bound on every call was refused for 4 s.

How: a chunk that any neighbour holds was never read from the origin. Behind the
cut the neighbours that hold it say nothing; the origin would, but isn't asked.
Nor is it for a chunk whose three readers are all behind the cut.

Proof: with the zone cut off 5 s after the naming its VMs lacked four to nine
chunks each, asked silent ones for these, and read none of them.
"""

import unittest
from itertools import product

from linnetwood.lab.transfers import Fleet, Outcome, Place, Ways
from linnetwood.weights.takeover import AFTER_THE_REST, TAKEOVERS
from linnetwood.weights.versionplan import ByForecast

SEEDS = range(5)
VERSION = 2
HEALS_AT = 13


def played(place: Place, seed: int) -> Outcome:
    """Let one version reach all engines."""
    ways = Ways(TAKEOVERS[AFTER_THE_REST], ByForecast())
    return Fleet(place, ways, seed).play(40)


class CutZoneTest(unittest.TestCase):
    """By the modules that decide, without a network."""

    def test_it_reads_what_others_hold_behind_the_cut(self) -> None:
        """Its engines are whole before it reaches the others again.

        Without a cut that takes them 9.9 to 10.6 s.
        """
        for since, seed in product((3, 5), SEEDS):
            place = Place(vms=11, cut=(since, HEALS_AT))
            with self.subTest(since=since, seed=seed):
                self.assertLess(played(place, seed).near_at[VERSION], HEALS_AT)

    def test_nobody_reads_more_without_a_cut(self) -> None:
        """All is read once, but for a few chunks."""
        for seed in SEEDS:
            place = Place(vms=11)
            with self.subTest(seed=seed):
                reads = played(place, seed).reads[VERSION]
                self.assertLessEqual(reads, place.chunks + 3)

    def test_the_others_lose_little_by_it(self) -> None:
        """The origin is free for them soon after the cut has healed."""
        for seed in SEEDS:
            place = Place(vms=11, cut=(4, 9))
            with self.subTest(seed=seed):
                outcome = played(place, seed)
                self.assertLess(outcome.whole_at[VERSION], 12.5)


if __name__ == '__main__':
    unittest.main()
