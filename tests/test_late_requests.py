"""A request that is read late makes updates older only until the next one.

A relay that reads one request of its subscriber late lets updates that arrive
within milliseconds count as 0.4 s older than they are: their ages count from
the last request that the relay has read. Without an earlier request that lasts
for 10 s, until the regular one. Virtual time.
"""

import asyncio
import unittest
from random import Random

from linnetwood.fleet.mirror import Mirror
from linnetwood.fleet.rangerelayserver import HEARTBEAT_S
from linnetwood.fleet.relayreader import RelayReader
from linnetwood.lab import virtual
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet
from linnetwood.wire.frames import FrameStream
from tests import test_relaying as zones

READ_DELAY_S = 0.4
SETTLED_S = 2.0
LASTS_S = 8.0


async def _overstated_s() -> float:
    """Return how much too old updates count once the relay keeps up again."""
    net = MemoryNet(Random(1), 0, 0)
    entry = zones.Entry('10.0.0.1', zones.FarStore(), net)

    async def accept(stream: FrameStream) -> None:
        frame = await stream.read()
        await asyncio.sleep(READ_DELAY_S)
        await entry.relay_server.serve(stream, frame)

    entry.follower.start()
    await entry.follower.synced.wait()
    address = (entry.name, zones.PORT)
    net.accepting[address] = accept
    stream = await MemoryDialler(net).dial(address)
    reader = RelayReader(stream, Mirror(), entry.name)
    await reader.request()
    loop = asyncio.get_running_loop()
    began = loop.time()
    worst_s = float()
    while loop.time() < began + LASTS_S:
        update = await reader.read()
        if loop.time() > began + SETTLED_S:
            truth_s = loop.time() - entry.follower.confirmed_at
            worst_s = max(worst_s, update.age_s - truth_s)
    stream.close()
    await entry.follower.close()
    await net.close()
    return worst_s


class LateRequestsTest(unittest.TestCase):
    """Read one request late."""

    def test_updates_in_time_are_not_old_for_long(self) -> None:
        """No update that arrives at once counts a heartbeat too old."""
        self.assertLess(virtual.run(_overstated_s()), HEARTBEAT_S)


if __name__ == '__main__':
    unittest.main()
