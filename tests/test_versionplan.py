"""Versions named one soon after the other, and an origin that is away.

Load pattern: 41 VMs of three availability zones bring two versions named 2 s
apart, each with a bound of 13.4 s, over links of 3.65 Mbit/s from an origin of
4.38 Mbit/s that takes 48 connections and is away for six seconds from just
after the second naming: links, bounds and times of the shifted fleet. Whoever
brings the versions in the order of their names has calls without an engine
from the older one's bound on, and again from the newer one's.
"""

import unittest

from linnetwood.fleet.wanted import SEND_MARGIN_S, WantedVersions
from linnetwood.lab.transfers import Fleet, Outcome, Place, Ways
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.versionplan import (
    PLANS,
    ChunkProgress,
    ByForecast,
    ByNaming,
    PlanInputs,
    VersionPlan,
)

BOUND_S = 13.4
TRANSFER_S = 7.2
CHUNK_ORIGIN_S = 0.045
COUNT = 96
ALL = ChunkProgress(COUNT, COUNT, COUNT)
AWAY = Place(named=(0, 2), away=(2.5, 8.5))


def named(*since: float) -> WantedVersions:
    """Name versions from the second on at these times."""
    wanted = WantedVersions(BOUND_S)
    wanted.add_serving([('m', 1)])
    for version, at in enumerate(since, start=2):
        wanted.add_named('m', version, at)
    return wanted


def outlook(
    now: float,
    *brought: ChunkProgress,
    serving: int = 1,
    planned: int = 0,
) -> PlanInputs:
    """Look out where so much of the versions from the second on is here."""
    return PlanInputs(
        'm',
        serving,
        planned,
        now,
        TRANSFER_S,
        CHUNK_ORIGIN_S,
        dict(enumerate(brought, start=2)),
    )


class PlanTest(unittest.TestCase):
    """Which version comes next, by what is left to bring."""

    def aim(self, wanted: WantedVersions, seen: PlanInputs) -> int:
        """Ask the plan that is in force."""
        return ByForecast().choose_version(wanted, seen)

    def test_nothing_is_named(self) -> None:
        """What serves is wanted, as in the plan by names."""
        for plan in (ByForecast(), ByNaming()):
            self.assertEqual(plan.choose_version(named(), outlook(0)), 1)
            self.assertEqual(
                plan.choose_version(WantedVersions(9), outlook(0)), 0
            )

    def test_one_is_named(self) -> None:
        """It is next, however late it is."""
        for now in (0, 100):
            self.assertEqual(self.aim(named(0), outlook(now, ALL)), 2)

    def test_the_newer_can_be_whole_in_time(self) -> None:
        """The older one is left out: it would only take the link."""
        self.assertEqual(self.aim(named(0, 2), outlook(2, ALL, ALL)), 3)

    def test_the_newer_comes_too_late_for_the_older_one_s_bound(self) -> None:
        """The older one comes first, while it helps."""
        wanted = named(0, 9)
        half = ChunkProgress(COUNT, 20, 0)
        self.assertEqual(self.aim(wanted, outlook(9, half, ALL)), 2)

    def test_both_can_be_whole_in_time(self) -> None:
        """Versions 4 s apart, half of the older here: it is not given up.

        All of the newer in its place would come a second after the older one's
        bound; one after the other, both come about in time.
        """
        wanted = named(0, 4)
        half = ChunkProgress(COUNT, 48, 10)
        for planned in (0, 2):
            seen = outlook(4, half, ALL, planned=planned)
            self.assertEqual(self.aim(wanted, seen), 2)

    def test_little_is_saved_by_giving_up_what_is_half_here(self) -> None:
        """Less than transfers are reckoned wrong by, so the plan stands."""
        seen = outlook(4, ChunkProgress(COUNT, 56, 15), ALL, planned=2)
        self.assertEqual(self.aim(named(0, 4), seen), 2)

    def test_the_older_is_hopeless(self) -> None:
        """It could only serve when calls may start on it no more."""
        wanted = named(0, 4)
        late = 4 + BOUND_S - SEND_MARGIN_S - 3
        seen = outlook(late, ChunkProgress(COUNT, 40, 40), ALL, planned=2)
        self.assertEqual(self.aim(wanted, seen), 3)
        seen = outlook(late, ChunkProgress(COUNT, 0, 0), ALL, planned=2)
        self.assertEqual(self.aim(wanted, seen), 2)

    def test_what_serves_is_not_brought_again(self) -> None:
        """Nor anything older."""
        seen = outlook(5, ALL, ALL, serving=2)
        self.assertEqual(self.aim(named(0, 4), seen), 3)

    def test_a_plan_stands_where_another_saves_little(self) -> None:
        """VMs that go back and forth bring neither."""
        wanted = named(0, 4)
        fresh = [
            self.aim(wanted, outlook(4, ChunkProgress(COUNT, left, left), ALL))
            for left in range(COUNT + 1)
        ]
        edge = fresh.index(3)
        for planned in (2, 3):
            near = ChunkProgress(COUNT, edge, edge)
            seen = outlook(4, near, ALL, planned=planned)
            self.assertEqual(self.aim(wanted, seen), planned)

    def test_reading_ahead(self) -> None:
        """The origin's link is free when all of a version has left it."""
        brought = ChunkProgress(COUNT, 30, 0)
        self.assertTrue(ByForecast().may_read_ahead(brought))
        self.assertFalse(ByNaming().may_read_ahead(brought))
        self.assertFalse(
            ByForecast().may_read_ahead(ChunkProgress(COUNT, 30, 1))
        )


class LoadTest(unittest.TestCase):
    """Play both decisions as they are and as they were."""

    def play(self, plan: str, takeover: str, place: Place) -> Outcome:
        """Play one seed."""
        found: VersionPlan = PLANS[plan]
        return Fleet(place, Ways(TAKEOVERS[takeover], found), 0).play()

    def test_calls_have_a_version(self) -> None:
        """Half of the time without one at most, and fewer reads."""
        before = self.play('by-naming', 'after-a-time', AWAY)
        after = self.play('by-forecast', 'after-the-rest', AWAY)
        self.assertLess(after.without_s, before.without_s / 2 + 1)
        self.assertLess(after.reads.total(), before.reads.total() / 2 + 1)

    def test_what_is_left_is_read_once_after_an_outage(self) -> None:
        """At most a quarter of all chunks twice, and few refused."""
        place = Place(away=(2.5, 8.5))
        after = self.play('by-forecast', 'after-the-rest', place)
        self.assertLessEqual(after.reads[2], COUNT + COUNT // 4)
        self.assertLess(after.refused, COUNT // 4)


if __name__ == '__main__':
    unittest.main()
