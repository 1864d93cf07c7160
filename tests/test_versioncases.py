"""What the links allow for versions, and plays against it."""

import dataclasses
import math
import unittest

from linnetwood.lab.transfers import Fleet
from linnetwood.lab.transferscenario import Policies, Scenario
from linnetwood.lab.versioncases import FIRST, draw_scenario, min_without_s
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.versionplan import PLANS

NEVER = (math.inf, math.inf)
POLICIES = Policies(TAKEOVERS['after-the-rest'], PLANS['by-forecast'])


class LimitTest(unittest.TestCase):
    """No plan is faster than the origin and the links."""

    def test_an_outage_delays_the_limit(self) -> None:
        """The origin is away from the naming until after the cutoff."""
        scenario = Scenario(named_at=(0,), outage=(0, 20), bound_s=13.4)
        bring_s = (
            scenario.chunks
            * scenario.chunk_bytes
            / (scenario.link_bytes_per_s * scenario.link_share)
        )
        least_s = 20 + bring_s + 0.3 - (13.4 - 1.2)
        self.assertAlmostEqual(min_without_s(scenario), least_s, delta=0.1)
        open_place = dataclasses.replace(scenario, outage=NEVER)
        self.assertEqual(min_without_s(open_place), 0)

    def test_plays_end_and_keep_the_limit(self) -> None:
        """VMs that split over versions complete none of them."""
        for scenario in (draw_scenario(0), draw_scenario(6), FIRST):
            played = Fleet(scenario, POLICIES, 0).run()
            with self.subTest(scenario=scenario):
                self.assertLess(played.all_served_at, 25)
                least_s = min_without_s(scenario) - 0.1
                self.assertGreater(played.without_s, least_s)

    def test_one_version_is_read_about_once(self) -> None:
        """Repeats delay first reads; a slow receiver holds up no sender.

        A sender that waited for its receiver took more than 9 s.
        """
        scenario = dataclasses.replace(FIRST, named_at=(0,), outage=NEVER)
        played = Fleet(scenario, POLICIES, 0).run()
        self.assertLess(played.reads.total(), scenario.chunks * 1.15)
        self.assertLess(played.complete_at_by_version[2], 8)


if __name__ == '__main__':
    unittest.main()
