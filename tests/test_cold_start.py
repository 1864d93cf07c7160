"""What a fleet needs to begin again is known after all of it was lost."""

import asyncio
import json
import unittest
from collections.abc import Callable

from linnetwood.fleet.ranges import Record, Snapshot
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab import virtual
from linnetwood.platform import records
from linnetwood.platform.feeds import OperatorFeed
from tests.cold_fleet import MODEL, ORIGIN_ADDRESS, ColdFleet
from tests.test_deadlineadmission import StoppedClock

# The users allow 12 s until calls are served again after all VMs are back.
RECOVERY_S = 12.0
# The store has the records of living servers so soon after its return.
LISTED_AGAIN_S = 2.0


def change_nothing(fleet: ColdFleet) -> None:
    """Leave a fleet as it is."""


def recovery_s(
    prepare: Callable[[ColdFleet], None] = change_nothing,
    version: int = 1,
    lost: float = 0,
) -> float:
    """Start a fleet; return when all engines serve a version."""

    async def play() -> float:
        fleet = ColdFleet(lost=lost)
        prepare(fleet)
        await fleet.start()
        found_s = await fleet.served_after_s(version, RECOVERY_S)
        await fleet.close()
        return found_s

    return virtual.run(play())


class UnknownVersionTest(unittest.TestCase):
    """No process and no engine knows which version served before."""

    # No engine served again after all VMs had lost power with the store's
    # leases, since the version was known only from engines that served it.
    def test_engines_serve_again_after_all_lost_power(self) -> None:
        """The version that was served is loaded on engines that hold none."""
        self.assertLess(recovery_s(), RECOVERY_S)

    def test_one_entry_that_knows_the_version_is_enough(self) -> None:
        """It tells the processes beside engines, and the origin isn't asked."""
        asked = []

        def prepare(fleet: ColdFleet) -> None:
            entry = next(iter(fleet.entries.values()))
            entry.wanted.add_serving([(MODEL, 1)])
            asked.append(fleet.origin)

        self.assertLess(recovery_s(prepare), RECOVERY_S)
        self.assertEqual(asked[0].asked, 0)

    def test_one_engine_that_serves_is_enough(self) -> None:
        """Its process tells entries that lack the version."""

        def prepare(fleet: ColdFleet) -> None:
            next(iter(fleet.endpoints.values())).engine.serving = 1

        self.assertLess(recovery_s(prepare), RECOVERY_S)

    def test_a_version_that_the_store_no_longer_holds(self) -> None:
        """The origin's newest version counts where its naming was lost."""

        def prepare(fleet: ColdFleet) -> None:
            fleet.origin.published = 2

        self.assertLess(recovery_s(prepare, version=2), RECOVERY_S)

    def test_a_named_version_is_never_undercut(self) -> None:
        """An origin that has an older one as its newest changes nothing."""

        def prepare(fleet: ColdFleet) -> None:
            loop = asyncio.get_running_loop()
            entry = next(iter(fleet.entries.values()))
            loop.call_later(
                1, entry.wanted.add_named, MODEL, 2, loop.time() + 1
            )

        self.assertLess(recovery_s(prepare, version=2), RECOVERY_S)

    def test_lost_datagrams(self) -> None:
        """A third of all datagrams may be lost."""
        self.assertLess(recovery_s(lost=0.3), RECOVERY_S)

    def test_zones_that_are_cut_off_from_each_other(self) -> None:
        """Each finds the version and reads all of it by itself."""

        def prepare(fleet: ColdFleet) -> None:
            zones = frozenset(fleet.datagrams.zones.values())
            fleet.datagrams.cut_zones = zones

        self.assertLess(recovery_s(prepare), RECOVERY_S)

    def test_a_version_that_is_published_for_the_first_time(self) -> None:
        """Until then nothing is loaded, and no call finds an engine."""

        def prepare(fleet: ColdFleet) -> None:
            fleet.origin.published = None
            loop = asyncio.get_running_loop()
            loop.call_later(4, setattr, fleet.origin, 'published', 1)

        found_s = recovery_s(prepare)
        self.assertGreater(found_s, 4)
        self.assertLess(found_s, RECOVERY_S)


class NamingTimeTest(unittest.TestCase):
    """Nobody is left who saw when a version was named."""

    # Entries that started after a loss of all processes sent calls to versions
    # whose bound had passed, as they assumed half of a long bound to be left.
    def test_no_old_version_is_used_in_touch(self) -> None:
        """Bounds in s, and how long after its start an entry is in touch."""
        for bound_s, contact_s in ((8, 3), (10, 4), (10.3, 4), (13.4, 3)):
            with self.subTest(bound_s=bound_s):
                wanted = WantedVersions(bound_s, contact_s)
                feed = OperatorFeed(
                    lambda routes: None, wanted, StoppedClock(), lambda: None
                )
                key = f'{records.VERSION_PREFIX}{MODEL}'
                said = json.dumps({'model': MODEL, 'version': 2})
                record = Record(said.encode(), 9)
                feed.replace_all(Snapshot({key: record}, 9, {}))
                in_touch_at = StoppedClock().now() + contact_s
                oldest = wanted.oldest_allowed(MODEL, in_touch_at)
                self.assertEqual(oldest, 2)


class LostListTest(unittest.TestCase):
    """The list of engines lapsed; they write their records again."""

    def test_engines_that_are_listed_late(self) -> None:
        """Entries and processes beside engines find each other all the same."""

        async def play() -> tuple[float, set[tuple[str, int] | None]]:
            fleet = ColdFleet()
            listed = list(fleet.directory.all())
            for engine in listed:
                fleet.directory.discard(engine.endpoint_id)
            await fleet.start()
            await asyncio.sleep(LISTED_AGAIN_S)
            for engine in listed:
                fleet.directory.update(engine)
            found_s = await fleet.served_after_s(1, RECOVERY_S)
            origins = {vm.origin.address for vm in fleet.endpoints.values()}
            await fleet.close()
            return found_s, origins

        found_s, origins = virtual.run(play())
        self.assertLess(found_s, RECOVERY_S - LISTED_AGAIN_S)
        # The address stands in the configuration alone; entries pass it on.
        self.assertEqual(origins, {ORIGIN_ADDRESS})


if __name__ == '__main__':
    unittest.main()
