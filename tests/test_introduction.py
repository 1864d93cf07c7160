"""Entries that start subscribe to running ones while they read the store.

Load pattern: most entries of a zone are killed and start again at the same
moment, and each reads a range of 700 KB over the link that its region shares;
or all entries of all zones do. Virtual time, links at 6 Mbit/s.
"""

import asyncio
import unittest

from tests.test_narrow_regions import (
    ROUTES,
    ZONES,
    RegionEntry,
    Regions,
    configuration,
    run_scenario,
)

WHOLE_BYTES = len(configuration(1, ROUTES)) * 4 // 3
KEPT_ENTRIES = 1


class StartupSyncTest(unittest.TestCase):
    """Restart entries, and check what crosses the link."""

    def test_most_of_a_zone(self) -> None:
        """Less than one copy crosses, and all know the range within 1 s."""

        async def act(regions: Regions) -> None:
            regions.links.sent.clear()
            started = await restart(regions, regions.of('far')[KEPT_ENTRIES:])
            await asyncio.sleep(1)
            self.assertEqual(
                [entry.follower.revision for entry in started], [1] * 4
            )
            self.assertLess(regions.links.sent[ZONES[0], 'far'], WHOLE_BYTES)

        run_scenario(act)

    def test_all_entries(self) -> None:
        """Fewer than 4 copies cross, as the relays of a zone serve others."""

        async def act(regions: Regions) -> None:
            regions.links.sent.clear()
            started = await restart(regions, list(regions.entries))
            await asyncio.sleep(4)
            self.assertEqual(
                {entry.follower.revision for entry in started}, {1}
            )
            self.assertLess(
                regions.links.sent[ZONES[0], 'far'], 4 * WHOLE_BYTES
            )

        run_scenario(act)


async def restart(
    regions: Regions,
    entries: list[RegionEntry],
) -> list[RegionEntry]:
    """Kill entries and start them again without any state."""
    started = []
    for entry in entries:
        await regions.kill(entry)
        started.append(regions.add(entry.name))
    for entry in started:
        entry.start()
    return started


if __name__ == '__main__':
    unittest.main()
