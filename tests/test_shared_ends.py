"""Ends of endpoints, shared by entries of three zones, in virtual time.

Load pattern: a call ends three endpoints, each seen by one entry of another
zone, while the store turns a zone away, entries start, or a zone returns. All
that reach the store are to know within 3 s of the third end.
"""

import asyncio
import unittest

from linnetwood.calls.crashes import CrashRecord
from linnetwood.platform.crashstore import crash_key
from tests.test_narrow_regions import ZONES, RegionEntry, Regions, run_scenario

CRASHES = [CrashRecord('c0' * 12, f'{number:016x}') for number in range(3)]
KNOWN_WITHIN_S = 3.0


def known(entry: RegionEntry) -> set[str]:
    """Give the keys of ends that an entry holds."""
    now = asyncio.get_running_loop().time()
    held = entry.follower.mirror.delta_since(0, now).changes
    return {
        change.key for change in held if change.record and 'ends/' in change.key
    }


def write(regions: Regions, *crashes: CrashRecord) -> None:
    """Write ends, as entries that saw them do."""
    for store in regions.stores.values():
        for crash in crashes:
            store.write(b'', crash_key(crash))


class SharedCrashesTest(unittest.TestCase):
    """Write ends, and see who knows them."""

    def assert_known(self, entries: list[RegionEntry]) -> None:
        """Every one of them knows all ends."""
        keys = {crash_key(crash) for crash in CRASHES}
        for entry in entries:
            with self.subTest(entry=entry.name):
                self.assertEqual(known(entry), keys)

    def test_seen_in_three_zones(self) -> None:
        """All know all, half a second apart."""

        async def act(regions: Regions) -> None:
            for crash in CRASHES:
                write(regions, crash)
                await asyncio.sleep(0.5)
            await asyncio.sleep(KNOWN_WITHIN_S - 0.5)
            self.assert_known(regions.entries)

        run_scenario(act)

    def test_a_zone_that_the_store_turns_away(self) -> None:
        """It hears of them from the others."""

        async def act(regions: Regions) -> None:
            far = regions.stores[ZONES[2]]
            far.cut = {entry.name for entry in regions.of(ZONES[2])}
            await asyncio.sleep(2)
            write(regions, *CRASHES)
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assert_known(regions.entries)

        run_scenario(act)

    def test_an_entry_that_starts(self) -> None:
        """It learns them with all the rest."""

        async def act(regions: Regions) -> None:
            write(regions, *CRASHES)
            await asyncio.sleep(1)
            new = regions.add('10.1.0.9')
            new.start()
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assert_known([new])

        run_scenario(act)

    def test_a_zone_that_returns(self) -> None:
        """The store turned it away and nobody was named to it meanwhile."""

        async def act(regions: Regions) -> None:
            lost = regions.of(ZONES[1])
            regions.entries = [
                entry for entry in regions.entries if entry not in lost
            ]
            store = regions.stores[ZONES[1]]
            store.cut = {entry.name for entry in lost}
            write(regions, *CRASHES)
            await asyncio.sleep(30)
            regions.entries += lost
            store.cut.clear()
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assert_known(lost)

        run_scenario(act)


if __name__ == '__main__':
    unittest.main()
