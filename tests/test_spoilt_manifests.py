"""A manifest with a wrong digest is found out and read again; virtual time.

Guards against a version that is never complete, and an origin that is read
without end, since one digit of one digest was wrong as it was read.
"""

import asyncio
import dataclasses
import hashlib
import unittest

from linnetwood.core.options import Decisions
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab import virtual
from linnetwood.weights.chunks import Manifest
from tests.cold_fleet import ColdFleet
from tests.test_follower import (
    FakeEngine,
    FakeOrigin,
    chunk,
    make_follower,
)

VERSION = 2
COUNT = 96
WRONG = 40
RECOVERED_WITHIN_S = 12.0
MAX_COPIES = 1.2
WATCHED_S = 60.0


class SpoiltOrigin(FakeOrigin):
    """Spoil a digest of each of the first manifests, and chunks on request."""

    def __init__(self, *spoilt: int) -> None:
        super().__init__(COUNT)
        self.manifests_read = 0
        self.always_spoilt: set[int] = set()
        # By manifest in the order of reads, the chunk with a wrong digest.
        self._spoilt = list(spoilt)

    async def manifest(self, model: str, version: int) -> Manifest:
        found = await super().manifest(model, version)
        self.manifests_read += 1
        await asyncio.sleep(0.01)
        if not self._spoilt:
            return found
        digests = list(found.digests)
        digests[self._spoilt.pop(0)] = hashlib.sha256(b'spoilt').digest()
        return dataclasses.replace(found, digests=tuple(digests))

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        chunk = await super().chunk(model, version, index)
        await asyncio.sleep(0.005)
        return b'changed' if index in self.always_spoilt else chunk


async def served_after(
    origin: SpoiltOrigin, engine: FakeEngine
) -> float | None:
    """Return after how many seconds the version is served; None if never."""
    loop = asyncio.get_running_loop()
    wanted = WantedVersions(60)
    follower = make_follower(
        engine, origin, wanted, virtual.VirtualClock(loop), Decisions()
    )
    follower.fleet.chunk_bytes = 100
    wanted.add_named('m', VERSION, 0)
    follower.start()
    began = loop.time()
    while engine.serving != VERSION and loop.time() - began < WATCHED_S:
        follower.report = await engine.report()
        await asyncio.sleep(0.1)
    await follower.close()
    return loop.time() - began if engine.serving == VERSION else None


async def fleet_served_after_s(
    origin: SpoiltOrigin, zones: int, engines: int
) -> float:
    """Return when all engines of a cold fleet serve its first version."""
    fleet = ColdFleet(zones, engines, 1, origin=origin)
    await fleet.start()
    found_s = await fleet.served_after_s(1, WATCHED_S)
    await fleet.close()
    return found_s


class SpoiltManifestTest(unittest.TestCase):
    """One VM reads manifests that are wrong in one digest."""

    def test_a_wrong_digest(self) -> None:
        """The version is served in time, for about one copy of the origin."""
        for spoilt in (0, 1, 2, 3):
            with self.subTest(spoilt=spoilt):
                self.assert_served(*[WRONG] * spoilt)

    def test_another_wrong_digest_in_the_next_manifest(self) -> None:
        """Guards against a digest that fits what is held and is given up."""
        self.assert_served(WRONG, WRONG - 1)

    def assert_served(self, *spoilt: int) -> None:
        """Check the time, and what was read from the origin.

        Each spoilt manifest costs one more, and few reads of chunks.
        """
        origin = SpoiltOrigin(*spoilt)
        engine = FakeEngine()
        after_s = virtual.run(served_after(origin, engine))
        self.assertIsNotNone(after_s)
        self.assertLess(after_s or 0, RECOVERED_WITHIN_S)
        self.assertLessEqual(len(origin.reads), MAX_COPIES * COUNT)
        self.assertLessEqual(origin.manifests_read, 1 + len(spoilt))
        expected = {index: chunk(VERSION, index) for index in range(COUNT)}
        self.assertEqual(engine.loaded, [expected])

    def test_an_origin_that_stays_wrong(self) -> None:
        """Guards against reads without end, whatever is spoilt for good."""
        for spoilt, always in ((1000, set[int]()), (0, {WRONG})):
            with self.subTest(spoilt=spoilt):
                origin = SpoiltOrigin(*[WRONG] * spoilt)
                origin.always_spoilt = always
                engine = FakeEngine()
                self.assertIsNone(virtual.run(served_after(origin, engine)))
                self.assertLessEqual(len(origin.reads), COUNT + 1.5 * WATCHED_S)
                self.assertLessEqual(origin.manifests_read, WATCHED_S / 2)
                self.assertEqual(engine.loaded, [])

    def test_processes_that_pass_it_on(self) -> None:
        """Guards against a version that most processes never complete.

        Each process reads a manifest that is wrong in the same digest, twice.
        """
        for zones, engines in ((1, 1), (1, 3), (3, 1), (1, 6), (3, 2)):
            for spoilt in (1, zones * engines, 2 * zones * engines):
                with self.subTest(zones=zones, engines=engines, spoilt=spoilt):
                    origin = SpoiltOrigin(*[WRONG] * spoilt)
                    seconds = virtual.run(
                        fleet_served_after_s(origin, zones, engines)
                    )
                    self.assertLess(seconds, RECOVERED_WITHIN_S)
                    self.assertLessEqual(len(origin.reads), MAX_COPIES * COUNT)


if __name__ == '__main__':
    unittest.main()
