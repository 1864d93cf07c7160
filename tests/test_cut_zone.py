"""How a version reaches a zone that is cut off together with the origin.

Seen: a zone was cut off for 5 s while a version was on its way. Engines on both
sides held nearly all of it; none was whole before the cut had healed, and from
the version's bound on every call was refused for 4 s.

How: a chunk that any neighbour holds is never read from the origin. Behind the
cut the neighbours that hold it say nothing; the origin would, but isn't asked.
"""

import unittest

from linnetwood.lab.transfers import Fleet, Outcome, Place, Ways
from linnetwood.weights.takeover import AFTER_THE_REST, TAKEOVERS
from linnetwood.weights.versionplan import ByForecast

SEEDS = range(5)
VERSION = 2


def played(place: Place, seed: int) -> Outcome:
    """Let one version reach all engines."""
    ways = Ways(TAKEOVERS[AFTER_THE_REST], ByForecast())
    return Fleet(place, ways, seed).play(40)


class CutZoneTest(unittest.TestCase):
    """By the modules that decide, without a network."""

    def test_it_reads_what_others_hold_behind_the_cut(self) -> None:
        """Its engines are whole before it reaches the others again."""
        for since, until in ((4, 9), (3, 11)):
            for seed in SEEDS:
                place = Place(vms=11, cut=(since, until))
                with self.subTest(since=since, seed=seed):
                    near_at = played(place, seed).near_at[VERSION]
                    self.assertLess(near_at, until)

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
