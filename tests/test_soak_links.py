"""Test the links between zones of the soak, in virtual time."""

import asyncio
import unittest

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


if __name__ == '__main__':
    unittest.main()
