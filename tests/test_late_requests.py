"""A request that is read late makes words older only until the next one.

What was seen: in virtual time alone, words that come within milliseconds count
as 0.4 s older than they are for ten seconds. How it comes about: a teller reads
its listener's request late, once. Cause: a word counts from the last request
that its teller has read, and the listener asks anew only after ten seconds.
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
    """Give how much too old words count once the teller keeps up again."""
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
    """Requests are read late, once."""

    def test_updates_in_time_are_not_old_for_long(self) -> None:
        """No word that comes at once counts a beat too old."""
        self.assertLess(virtual.run(_overstated_s()), HEARTBEAT_S)


if __name__ == '__main__':
    unittest.main()
