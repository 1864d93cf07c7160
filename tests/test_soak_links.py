"""Test the links between zones of the soak, in virtual time."""

import asyncio
import unittest
from collections import Counter

from linnetwood.lab import virtual
from linnetwood.lab.soak.links import Links

BYTES = 250000
NEAR = ('z1', 'z1')
THERE = ('z1', 'z2')
BACK = ('z2', 'z1')


async def carry_all(fill_s: float, *pairs: tuple[str, str]) -> list[float]:
    """Send bytes on ways at once; return when each has passed."""
    links = Links(('z1', 'z2'))
    loop = asyncio.get_running_loop()
    fillings = [
        asyncio.create_task(links.fill(pick, fill_s)) for pick in range(2)
    ]
    await asyncio.sleep(fill_s / 2)
    began = loop.time()

    async def carry(pair: tuple[str, str]) -> float:
        await links.way(*pair).carry(BYTES)
        return round(loop.time() - began, 1)

    found = list(await asyncio.gather(*map(carry, pairs)))
    await asyncio.gather(*fillings)
    return found


class LinksTest(unittest.TestCase):
    """Bytes that pass between zones."""

    # Guards against links without a limit, or with a queue for each connection.
    def test_each_direction_has_one_queue(self) -> None:
        """Bytes wait for those before them, but not within a zone."""
        found = virtual.run(carry_all(0, THERE, NEAR, THERE, BACK))
        self.assertEqual(found, [0.1, 0.0, 0.2, 0.1])

    # Guards against bulk traffic that nothing waits for, or for too long.
    def test_bulk_traffic(self) -> None:
        """It makes others wait for under half a second."""
        near, there = virtual.run(carry_all(4, NEAR, THERE))
        self.assertEqual(near, 0)
        self.assertGreaterEqual(there, 0.4)
        self.assertLess(there, 0.6)

    # Guards against a link that loses packets and delays nobody, or for good.
    def test_lost_packets(self) -> None:
        """Some bytes come late in both directions, until the loss ends."""

        async def carry_often() -> dict[tuple[str, str], int]:
            links = Links(('z1', 'z2', 'z3'))
            loop = asyncio.get_running_loop()
            links.lose_packets('z1', 'z2', loop.time() + 60)
            late = Counter[tuple[str, str]]()
            for pair in (THERE, BACK, ('z1', 'z3'), NEAR):
                for _ in range(200):
                    began = loop.time()
                    await links.way(*pair).carry(1)
                    late[pair] += loop.time() > began + 0.1
            await asyncio.sleep(60)
            began = loop.time()
            for _ in range(200):
                await links.way(*THERE).carry(1)
            self.assertLess(loop.time(), began + 0.1)
            return late

        late = virtual.run(carry_often())
        self.assertGreater(late[THERE], 0)
        self.assertGreater(late[BACK], 0)
        self.assertEqual(late[NEAR] + late['z1', 'z3'], 0)


if __name__ == '__main__':
    unittest.main()
