"""Calls in time hold up where more come than the engines take.

Load pattern: one to three times the rate of the knee for five seconds, at the
sizes of three deployments; virtual time. Bounds are of the same seeds' knee.
"""

import dataclasses
import itertools
import unittest

from linnetwood.lab.policy import Simulation
from linnetwood.lab.policyoutcome import Outcome
from linnetwood.lab.policyscenario import Scenario, SlowEngines
from linnetwood.lab.sheets import SHEETS

SEEDS = (0, 1)
WARM_S = 3
SPAN_S = 5
# Calls a second and engine that nearly all begin in time.
KNEE = 4.2
LARGE = Scenario(98, 60, 5, report_interval_s=0.2)
GROWN = Scenario(40, 23, 3, report_interval_s=0.17)

# A burst after a calm of three seconds; times in seconds.
CALM_S = 3
ENDS_S = 12
PATIENCE_S = 6


def in_time(scenario: Scenario, times: float) -> float:
    """Return calls in time a second, in the mean of the seeds."""
    rate = KNEE * scenario.engines * times
    played = Scenario(
        scenario.entries,
        scenario.engines,
        scenario.zones,
        rate,
        scenario.report_interval_s,
        scenario.loaded_zones,
    )
    found = [Simulation(played, seed).run(WARM_S, SPAN_S) for seed in SEEDS]
    return sum(one.in_time for one in found) / len(SEEDS) / SPAN_S


class PolicyTest(unittest.TestCase):
    """Simulate the policies under load."""

    def test_overload(self) -> None:
        """At any rate, at least 0.8 of the calls in time at the knee remain."""
        for scenario in (LARGE, GROWN):
            knee = in_time(scenario, 1)
            self.assertGreater(knee, 0.9 * KNEE * scenario.engines)
            for times in (1.3, 1.6, 2, 3):
                with self.subTest(engines=scenario.engines, times=times):
                    self.assertGreater(in_time(scenario, times), 0.8 * knee)

    def test_herds(self) -> None:
        """At the knee no engine gets over three times the mean in a second."""
        simulation = Simulation(Scenario(98, 60, 5, KNEE * 60, 0.2), 0)
        row = simulation.run(WARM_S, SPAN_S).row(60)
        self.assertLess(row['most_over_mean'], 3)

    def test_one_loaded_zone(self) -> None:
        """Calls that exceed one zone's engines go to the others in time."""
        scenario = Scenario(98, 60, 5, report_interval_s=0.2, loaded_zones=1)
        own = KNEE * 60 / scenario.zones
        self.assertGreater(in_time(scenario, 0.5), 2 * own)


class SlowEnginesTest(unittest.TestCase):
    """Some engines are slow for a while, by reports that are 0.2 s old."""

    def in_time(self, scenario: Scenario, slow: SlowEngines) -> int:
        """Add up the calls in time of the seeds."""
        played = dataclasses.replace(
            scenario,
            rate=KNEE * scenario.engines,
            sheet=SHEETS['shifted'],
            report_age_s=0.2,
            slow=slow,
        )
        return sum(
            Simulation(played, seed).run(WARM_S, SPAN_S).in_time
            for seed in SEEDS
        )

    def test_nearly_as_many_as_with_even_engines(self) -> None:
        """Guard against calls sent to engines that report to be slow."""
        scenarios = (
            Scenario(35, 20, 3, report_interval_s=0.1),
            Scenario(98, 98, 5, report_interval_s=0.1),
        )
        kinds = (SlowEngines(0.15, 2.5, 0.6), SlowEngines(0.15, 4, 5))
        for scenario, slow in itertools.product(scenarios, kinds):
            even = dataclasses.replace(slow, equal=True)
            with self.subTest(engines=scenario.engines, slow=slow):
                self.assertGreater(
                    self.in_time(scenario, slow),
                    0.95 * self.in_time(scenario, even),
                )


class ReturnsTest(unittest.TestCase):
    """Overload in which every refused caller comes back once.

    Whoever comes back is late already. Overflowing calls are kept from the
    places of fresh ones by trunk reservation, and only while places are short.
    """

    def played(
        self,
        patience_s: float,
        span: tuple[float, float],
    ) -> Outcome:
        """Add up what becomes of the calls of a span from a time on."""
        times = 2.2
        scenario = Scenario(
            9,
            9,
            3,
            4.6 * 9 * times,
            report_interval_s=0.17,
            sheet=SHEETS['first'],
            patience_s=patience_s,
            half_rate_s=CALM_S,
            half_rate_from_s=ENDS_S,
        )
        found = Outcome(0)
        for seed in SEEDS:
            one = Simulation(scenario, seed).run(*span)
            found.received += one.received
            found.in_time += one.in_time
            found.refused_twice += one.refused_twice
        return found

    def test_first_tries_keep_their_place(self) -> None:
        """As many are in time as if nobody came back."""
        # The first who were refused are back two seconds after the calm.
        span = (6, ENDS_S - 6)
        alone = self.played(0, span)
        beside = self.played(PATIENCE_S, span)
        self.assertGreater(beside.in_time, 0.95 * alone.in_time)

    def test_returns_are_served_once_the_burst_is_over(self) -> None:
        """From half a second after it hardly anybody is refused twice."""
        after = self.played(PATIENCE_S, (ENDS_S + 1, 2))
        self.assertGreater(after.received, 0)
        self.assertLess(after.refused_twice, 0.04 * after.received)


if __name__ == '__main__':
    unittest.main()
