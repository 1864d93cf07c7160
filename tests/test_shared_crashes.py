"""Crash records shared by entries of three zones, in virtual time.

Load pattern: a call crashes three endpoints, each seen by an entry in a
different zone, while the store refuses a zone, entries start, or a zone
returns. All entries that reach the store must know the records within 3 s of
the third crash.
"""

import asyncio
import unittest

from linnetwood.calls.crashes import CrashRecord
from linnetwood.platform.crashstore import crash_key
from tests.test_narrow_regions import ZONES, RegionEntry, Regions, run_scenario

CRASHES = [CrashRecord('c0' * 12, f'{number:016x}') for number in range(3)]
KNOWN_WITHIN_S = 3.0


def known(entry: RegionEntry) -> set[str]:
    """Return the keys of the crash records that an entry holds."""
    now = asyncio.get_running_loop().time()
    held = entry.follower.mirror.delta_since(0, now).changes
    return {
        change.key for change in held if change.record and 'ends/' in change.key
    }


def write(regions: Regions, *crashes: CrashRecord) -> None:
    """Write crash records as the entries do that saw the crashes."""
    for store in regions.stores.values():
        for crash in crashes:
            store.write(b'', crash_key(crash))


class SharedCrashesTest(unittest.TestCase):
    """Write crash records and check which entries hold them."""

    def assert_known(self, entries: list[RegionEntry]) -> None:
        """Check that each of the entries holds all records."""
        keys = {crash_key(crash) for crash in CRASHES}
        for entry in entries:
            with self.subTest(entry=entry.name):
                self.assertEqual(known(entry), keys)

    def test_seen_in_three_zones(self) -> None:
        """All entries hold all records, written 0.5 s apart."""

        async def act(regions: Regions) -> None:
            for crash in CRASHES:
                write(regions, crash)
                await asyncio.sleep(0.5)
            await asyncio.sleep(KNOWN_WITHIN_S - 0.5)
            self.assert_known(regions.entries)

        run_scenario(act)

    def test_zone_refused_by_the_store(self) -> None:
        """Its entries get the records from other zones."""

        async def act(regions: Regions) -> None:
            far = regions.stores[ZONES[2]]
            far.cut = {entry.name for entry in regions.of(ZONES[2])}
            await asyncio.sleep(2)
            write(regions, *CRASHES)
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assert_known(regions.entries)

        run_scenario(act)

    def test_entry_that_starts(self) -> None:
        """It gets the records with the rest of the store."""

        async def act(regions: Regions) -> None:
            write(regions, *CRASHES)
            await asyncio.sleep(1)
            new = regions.add('10.1.0.9')
            new.start()
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assert_known([new])

        run_scenario(act)

    def test_zone_that_returns(self) -> None:
        """The store refused it, and it was told of no entries meanwhile."""

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
