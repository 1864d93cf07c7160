"""A store that is back is heard soon, whatever request was lost before.

Guards against entries that all act by an old configuration until 2 s after the
store's return, since the request that each had sent just before it hangs. The
moment of the return is swept. Virtual time.
"""

import asyncio
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
# Entries are in touch 3 s after the store's return: half of it is left for
# links, relays and busy VMs.
HEARD_WITHIN_S = 1.5
ROUND_TRIP_S = 0.01
READ_LIMIT_S = 2.5
SLACK_S = 2.0
STEP_S = 0.02
SLOW_READ_S = 1.4


class AwayStore:
    """Lose each request that is sent while the store is away."""

    def __init__(self) -> None:
        self.revision = 1
        self.is_away = False
        self.calls = 0
        self._written = asyncio.Event()

    def write(self) -> None:
        """Write the key again."""
        self.revision += 1
        self._written.set()
        self._written = asyncio.Event()

    async def read(self, prefix: str) -> Snapshot:
        """Return the key."""
        await self._arrive(READ_LIMIT_S)
        return Snapshot({'k': Record(b'', self.revision)}, self.revision)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for a write of keys with a prefix."""
        await self._arrive(wait_s + SLACK_S)
        if self.revision <= after:
            await wait_for_event(self._written, wait_s)
        await self._answer(SLACK_S)
        if prefix or self.revision <= after:
            return Changes((), self.revision)
        found = Change('k', Record(b'', self.revision))
        return Changes((found,), self.revision)

    async def _arrive(self, limit_s: float) -> None:
        self.calls += 1
        await self._answer(limit_s)
        await asyncio.sleep(ROUND_TRIP_S)

    async def _answer(self, limit_s: float) -> None:
        if self.is_away:
            await asyncio.sleep(limit_s)
            raise StoreError('store-unreachable', 'silent')


async def heard_after_s(away_s: float) -> tuple[float, int]:
    """Return the time from the return to the change, and calls meanwhile."""
    store = AwayStore()
    follower = RangeFollower(
        store, '', RecordingSink(), Random(1), bounds_for(APPLY_S)
    )
    follower.start()
    await asyncio.sleep(1)
    store.is_away = True
    store.write()
    calls = store.calls
    await asyncio.sleep(away_s)
    calls = store.calls - calls
    store.is_away = False
    loop = asyncio.get_running_loop()
    returned_at = loop.time()
    while follower.revision < store.revision:
        await asyncio.sleep(0.01)
    heard_s = loop.time() - returned_at
    await follower.close()
    return heard_s, calls


class SlowReadStore(AwayStore):
    """Answer reads much later than waits."""

    async def read(self, prefix: str) -> Snapshot:
        """Return the key after more than the pause between short requests."""
        await asyncio.sleep(SLOW_READ_S)
        return await super().read(prefix)


async def calls_until_read(store: AwayStore) -> int:
    """Return the calls until the range is read after one failed request."""
    store.is_away = True
    follower = RangeFollower(
        store, '', RecordingSink(), Random(1), bounds_for(APPLY_S)
    )
    follower.start()
    while not follower.outages:
        await asyncio.sleep(0.01)
    store.is_away = False
    calls = store.calls
    async with asyncio.timeout(60):
        await follower.synced.wait()
    await follower.close()
    return store.calls - calls


class StoreReturnTest(unittest.TestCase):
    """Sweep how long the store is away."""

    def test_every_moment_of_the_return(self) -> None:
        """The change is known well before entries are in touch again."""
        for start_s in (3.0, 6.0):
            for number in range(150):
                away_s = start_s + number * STEP_S
                heard_s, _ = virtual.run(heard_after_s(away_s))
                with self.subTest(away_s=away_s):
                    self.assertLess(heard_s, HEARD_WITHIN_S)

    def test_reads_that_are_slower_than_short_requests(self) -> None:
        """Guards against a read that is dropped again and again."""
        calls = virtual.run(calls_until_read(SlowReadStore()))
        self.assertLess(calls, 5)

    def test_calls_to_a_store_that_is_away(self) -> None:
        """Guards against calls that each cost money, many times a second."""
        _, calls = virtual.run(heard_after_s(60))
        self.assertLess(calls, 150)


if __name__ == '__main__':
    unittest.main()
