"""A manifest that everybody needs at once is read from the origin by a few.

Load pattern: a version is named, and all VMs of five zones begin. Virtual time.
"""

import asyncio
import unittest
from random import Random

from linnetwood.core.errors import WeightsError
from linnetwood.gen.wire.ttypes import ChunkReply
from linnetwood.lab import virtual
from linnetwood.weights.chunks import Manifest
from linnetwood.weights.manifests import ManifestFinder
from tests.test_follower import manifest

ZONES = 5
VMS = 100
# One reading takes so long where as many as this are answered together.
READ_S = 0.05
WORD_S = 0.15
AIM = ('m', 2)
NAME = 'm@2'


class CountedOrigin:
    """Answer so many at a time, and turn the others away."""

    def __init__(self) -> None:
        self.asked = 0
        self.away_until = float()

    async def manifest(self, model: str, version: int) -> Manifest:
        self.asked += 1
        await asyncio.sleep(READ_S)
        if asyncio.get_running_loop().time() < self.away_until:
            raise WeightsError('no-answer')
        return manifest(version)

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        raise WeightsError('no-answer')


class Fleet:
    """VMs that ask each other and the origin."""

    def __init__(self) -> None:
        self.origin = CountedOrigin()
        self.zones = {f'vm-{one}': one % ZONES for one in range(VMS)}
        self.held: set[str] = set()
        self.at: dict[str, float] = {}
        self.finding = {
            host: ManifestFinder(host, self, self.origin, 7700, Random(host))
            for host in self.zones
        }

    async def fetch(
        self,
        vm: str,
        address: tuple[str, int],
        name: str,
        index: int,
    ) -> tuple[ChunkReply, bytes]:
        """Give a holder's manifest."""
        await asyncio.sleep(READ_S)
        encoded = manifest(2).encode() if vm in self.held else b''
        return ChunkReply(manifest=name, index=index), encoded

    def near(self, host: str) -> set[str]:
        """Give the VMs of a zone."""
        zone = self.zones[host]
        return {one for one, place in self.zones.items() if place == zone}

    async def find(self, host: str) -> None:
        """Find it as a VM does, which asks again after a pause."""
        loop = asyncio.get_running_loop()
        while True:
            near = self.near(host)
            try:
                await self.finding[host].find(*AIM, near, lambda _: [])
            except WeightsError:
                await asyncio.sleep(0.3)
                continue
            break
        self.held.add(host)
        self.at[host] = loop.time()
        await asyncio.sleep(WORD_S)
        for one in near:
            self.finding[one].record_holder(NAME, host)

    async def all_find(self, away_s: float = 0) -> None:
        """Let all begin at once."""
        self.origin.away_until = asyncio.get_running_loop().time() + away_s
        await asyncio.gather(*map(self.find, self.zones))


def played(away_s: float = 0) -> tuple[int, float]:
    """Give how often the origin was asked, and when the last VM had it."""

    async def play() -> tuple[int, float]:
        fleet = Fleet()
        await fleet.all_find(away_s)
        return fleet.origin.asked, max(fleet.at.values())

    return virtual.run(play())


class ManifestsTest(unittest.TestCase):
    """Let a hundred VMs begin in the same moment."""

    def test_few_ask_the_origin(self) -> None:
        """At most four of the twenty of a zone; nobody waits for a second."""
        asked, last_s = played()
        self.assertLessEqual(asked, 4 * ZONES)
        self.assertLess(last_s, 1)

    def test_an_origin_that_is_away(self) -> None:
        """Found soon after its return; each VM asks less than once a second."""
        asked, last_s = played(away_s=5)
        self.assertLess(last_s, 7)
        self.assertLess(asked / 5, VMS)


if __name__ == '__main__':
    unittest.main()
