"""A second wait is in time, whatever the wait before it met.

Guards against an entry that acts by an older configuration, since it took the
time until a second wait was sent for the store's own delay: where the next wait
hangs as well, as on another connection that went silent, the second wait beside
it was sent so late that the view was not confirmed for over 2 s.

Load pattern: connections to the store that are open go silent, new ones work.
Virtual time.
"""

import asyncio
import math
import unittest
from random import Random

from linnetwood.core.errors import StoreError
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.freshness import bounds_for
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.ranges import Change, Changes, Record, Snapshot
from linnetwood.lab import virtual
from tests.test_following import RecordingSink

APPLY_S = 2.0
ROUND_TRIP_S = 0.01
# The store's client gives a wait up this long after its end.
SLACK_S = 2.0
SILENT = math.inf


class SilentStore:
    """Answer each wait after its own delay, and some never."""

    def __init__(self, delays: list[float]) -> None:
        self.delays = delays
        self.revision = 1
        self.requested_at: list[float] = []
        self.answered_at: list[float] = []
        self._written = asyncio.Event()

    def write(self) -> None:
        """Write the key again."""
        self.revision += 1
        self._written.set()
        self._written = asyncio.Event()

    async def read(self, prefix: str) -> Snapshot:
        """Return the key."""
        await asyncio.sleep(ROUND_TRIP_S)
        return Snapshot({'k': Record(b'', self.revision)}, self.revision)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for a write."""
        loop = asyncio.get_running_loop()
        self.requested_at.append(loop.time())
        delay_s = self.delays.pop(0) if self.delays else ROUND_TRIP_S
        if delay_s == SILENT:
            await asyncio.sleep(wait_s + SLACK_S)
            raise StoreError('store-unreachable', 'silent')
        await asyncio.sleep(delay_s)
        if self.revision <= after:
            await wait_for_event(self._written, wait_s)
        self.answered_at.append(loop.time())
        found = Change('k', Record(b'', self.revision))
        return Changes((found,) if self.revision > after else (), self.revision)


async def heard_after_s(second_s: float) -> float:
    """Return the time from a write until it is known.

    Two waits hang, one after the other. The second wait beside the first one
    is answered after `second_s` more; then the key is written.
    """
    store = SilentStore([SILENT, second_s, SILENT])
    bounds = bounds_for(APPLY_S)
    follower = RangeFollower(store, '', RecordingSink(), Random(1), bounds)
    follower.start()
    while not store.answered_at:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.02)
    loop = asyncio.get_running_loop()
    written_at = loop.time()
    store.write()
    while follower.revision < store.revision:
        await asyncio.sleep(0.01)
    heard_s = loop.time() - written_at
    await follower.close()
    return heard_s


class SecondWaitTest(unittest.TestCase):
    """Waits on connections that went silent are sent a second time."""

    def test_two_waits_that_hang_in_a_row(self) -> None:
        """A change is known well within its bound, beside the second one."""
        for second_s in (ROUND_TRIP_S, 0.3, 0.6):
            with self.subTest(second_s=second_s):
                heard_s = virtual.run(heard_after_s(second_s))
                self.assertLess(heard_s, 0.8 * APPLY_S)


if __name__ == '__main__':
    unittest.main()
