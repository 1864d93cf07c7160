"""Versions named shortly after each other, and an origin outage.

Load pattern: 41 VMs of three availability zones bring two versions named 2 s
apart, each with a bound of 13.4 s, over links of 3.65 Mbit/s from an origin of
4.38 Mbit/s that accepts 48 connections and is unreachable for 6 s from just
after the second naming: links, bounds and times of the shifted fleet. A VM that
fetches the versions in the order of naming leaves calls without an engine after
the older version's bound, and again after the newer one's.
"""

import unittest

from linnetwood.fleet.wanted import SEND_MARGIN_S, WantedVersions
from linnetwood.lab.transfers import Fleet
from linnetwood.lab.transferscenario import Outcome, Policies, Scenario
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.versionplan import (
    PLANS,
    ByForecast,
    ByNaming,
    ChunkProgress,
    PlanInputs,
    VersionPlan,
)

BOUND_S = 13.4
TRANSFER_S = 7.2
CHUNK_ORIGIN_S = 0.045
COUNT = 96
ALL = ChunkProgress(COUNT, COUNT, COUNT)
OUTAGE = Scenario(named_at=(0, 2), outage=(2.5, 8.5))


def named(*since: float) -> WantedVersions:
    """Return versions from 2 on, named at these times."""
    wanted = WantedVersions(BOUND_S)
    wanted.add_serving([('m', 1)])
    for version, at in enumerate(since, start=2):
        wanted.add_named('m', version, at)
    return wanted


def plan_inputs(
    now: float,
    *progress: ChunkProgress,
    serving: int = 1,
    planned: int = 0,
) -> PlanInputs:
    """Return a plan's inputs with this progress of the versions from 2 on."""
    return PlanInputs(
        'm',
        serving,
        planned,
        now,
        TRANSFER_S,
        CHUNK_ORIGIN_S,
        dict(enumerate(progress, start=2)),
    )


class PlanTest(unittest.TestCase):
    """Which version comes next, by the missing chunks."""

    def choose(self, wanted: WantedVersions, inputs: PlanInputs) -> int:
        """Return the choice of the default plan."""
        return ByForecast().choose_version(wanted, inputs)

    def test_nothing_is_named(self) -> None:
        """The serving version stays wanted, in both plans."""
        for plan in (ByForecast(), ByNaming()):
            self.assertEqual(plan.choose_version(named(), plan_inputs(0)), 1)
            self.assertEqual(
                plan.choose_version(WantedVersions(9), plan_inputs(0)), 0
            )

    def test_one_version_is_named(self) -> None:
        """It is next at any time."""
        for now in (0, 100):
            self.assertEqual(self.choose(named(0), plan_inputs(now, ALL)), 2)

    def test_the_newer_can_be_complete_in_time(self) -> None:
        """The older one is skipped: it would only occupy the link."""
        self.assertEqual(self.choose(named(0, 2), plan_inputs(2, ALL, ALL)), 3)

    def test_the_newer_comes_too_late_for_the_older_one_s_bound(self) -> None:
        """The older one comes first while it can serve calls."""
        wanted = named(0, 9)
        half = ChunkProgress(COUNT, 20, 0)
        self.assertEqual(self.choose(wanted, plan_inputs(9, half, ALL)), 2)

    def test_both_can_be_complete_in_time(self) -> None:
        """With versions 4 s apart, a half-fetched older one is not abandoned.

        The newer one instead would be complete 1 s after the older one's bound;
        fetched one after the other, both are complete roughly in time.
        """
        wanted = named(0, 4)
        half = ChunkProgress(COUNT, 48, 10)
        for planned in (0, 2):
            inputs = plan_inputs(4, half, ALL, planned=planned)
            self.assertEqual(self.choose(wanted, inputs), 2)

    def test_abandoning_a_half_fetched_version_saves_little(self) -> None:
        """Less than the estimates' error is saved, so the plan is kept."""
        inputs = plan_inputs(4, ChunkProgress(COUNT, 56, 15), ALL, planned=2)
        self.assertEqual(self.choose(named(0, 4), inputs), 2)

    def test_the_older_is_too_late(self) -> None:
        """It could serve only when no call may start on it any more."""
        wanted = named(0, 4)
        late = 4 + BOUND_S - SEND_MARGIN_S - 3
        inputs = plan_inputs(late, ChunkProgress(COUNT, 40, 40), ALL, planned=2)
        self.assertEqual(self.choose(wanted, inputs), 3)
        inputs = plan_inputs(late, ChunkProgress(COUNT, 0, 0), ALL, planned=2)
        self.assertEqual(self.choose(wanted, inputs), 2)

    def test_serving_version_is_not_fetched_again(self) -> None:
        """Nor is any older version."""
        inputs = plan_inputs(5, ALL, ALL, serving=2)
        self.assertEqual(self.choose(named(0, 4), inputs), 3)

    def test_plan_is_kept_where_another_saves_little(self) -> None:
        """VMs that alternate between versions complete neither."""
        wanted = named(0, 4)
        fresh = [
            self.choose(
                wanted, plan_inputs(4, ChunkProgress(COUNT, left, left), ALL)
            )
            for left in range(COUNT + 1)
        ]
        edge = fresh.index(3)
        for planned in (2, 3):
            near = ChunkProgress(COUNT, edge, edge)
            inputs = plan_inputs(4, near, ALL, planned=planned)
            self.assertEqual(self.choose(wanted, inputs), planned)

    def test_a_version_that_comes_too_late_is_dropped(self) -> None:
        """An engine loaded it after its successor's bound, also if planned."""
        wanted = named(0, 4)
        cutoff = 4 + BOUND_S - 1.2
        whole = ChunkProgress(COUNT, 0, 0)
        for now, expected in ((cutoff - 1, 2), (cutoff - 0.2, 3)):
            inputs = plan_inputs(now, whole, ALL, planned=2)
            self.assertEqual(self.choose(wanted, inputs), expected)

    def test_partners_plan_alike(self) -> None:
        """By their own chunks alone, VMs split over versions."""
        wanted = named(0, 4)
        chosen = {
            self.choose(
                wanted,
                plan_inputs(4, ChunkProgress(COUNT, missing, 0, 30.0), ALL),
            )
            for missing in range(COUNT)
        }
        self.assertEqual(len(chosen), 1)

    def test_reading_ahead(self) -> None:
        """The origin's link is free once it has sent all of a version."""
        progress = ChunkProgress(COUNT, 30, 0)
        self.assertTrue(ByForecast().may_read_ahead(progress))
        self.assertFalse(ByNaming().may_read_ahead(progress))
        self.assertFalse(
            ByForecast().may_read_ahead(ChunkProgress(COUNT, 30, 1))
        )


# Of two versions of 96 chunks, the first of which is given up.
MOST_READS = 159


class LoadTest(unittest.TestCase):
    """Simulate the default policies and the simpler ones."""

    def play(self, plan: str, takeover: str, place: Scenario) -> Outcome:
        """Simulate seed 0."""
        version_plan: VersionPlan = PLANS[plan]
        return Fleet(
            place, Policies(TAKEOVERS[takeover], version_plan), 0
        ).run()

    def test_calls_have_a_version(self) -> None:
        """At most half of the unserved time, and few chunks read twice."""
        before = self.play('by-naming', 'after-a-time', OUTAGE)
        after = self.play('by-forecast', 'after-the-rest', OUTAGE)
        self.assertLess(after.without_s, before.without_s / 2 + 1)
        self.assertLess(after.reads.total(), MOST_READS)

    def test_unread_chunks_are_read_once_after_an_outage(self) -> None:
        """At most a quarter of all chunks twice, and few refusals."""
        place = Scenario(outage=(2.5, 8.5))
        after = self.play('by-forecast', 'after-the-rest', place)
        self.assertLessEqual(after.reads[2], COUNT + COUNT // 4)
        self.assertLess(after.refused, COUNT // 4)


if __name__ == '__main__':
    unittest.main()
