"""Changes in quick succession are fetched together, within their bound.

Load pattern: 100 servers write their warm-up times, each at its own moment of a
second, so that the store has a change for each wait at once. Virtual time.
"""

import asyncio
import unittest
from random import Random

from linnetwood.fleet.freshness import bounds_for
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.ranges import Change, Changes, Record, Snapshot
from linnetwood.lab import virtual
from tests.test_following import RecordingSink

EVERY_S = 0.01
LASTS_S = 10
ANSWER_S = 0.004


class BusyStore:
    """Write one key every 0.01 s, from the beginning on."""

    def __init__(self) -> None:
        self.calls = 0

    @property
    def revision(self) -> int:
        """Return the revision that was written last."""
        return 1 + int(asyncio.get_running_loop().time() / EVERY_S)

    async def read(self, prefix: str) -> Snapshot:
        """Return the key."""
        self.calls += 1
        await asyncio.sleep(ANSWER_S)
        found = Record(b'', self.revision)
        return Snapshot({'k': found}, found.revision)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the newest change as soon as there is one."""
        self.calls += 1
        await asyncio.sleep(ANSWER_S)
        while self.revision <= after:
            await asyncio.sleep(EVERY_S)
        change = Change('k', Record(b'', self.revision))
        return Changes((change,), self.revision)


async def calls_and_age(apply_s: float) -> tuple[float, float]:
    """Follow the store; return calls a second and the view's highest age."""
    store = BusyStore()
    bounds = bounds_for(apply_s)
    follower = RangeFollower(store, '', RecordingSink(), Random(1), bounds)
    follower.start()
    await follower.synced.wait()
    oldest_s = float()
    for _ in range(round(LASTS_S / EVERY_S)):
        await asyncio.sleep(EVERY_S)
        behind = store.revision - follower.revision
        oldest_s = max(oldest_s, behind * EVERY_S)
    await follower.close()
    return store.calls / LASTS_S, oldest_s


class FrequentChangesTest(unittest.TestCase):
    """Follow a store that changes all the time."""

    def test_calls_are_bounded(self) -> None:
        """At most 10 or 5 calls/s, and a view younger than 0.1 of the bound."""
        for apply_s, most_calls in ((2, 10), (4, 5)):
            calls, oldest_s = virtual.run(calls_and_age(apply_s))
            with self.subTest(apply_s=apply_s):
                self.assertLessEqual(calls, most_calls)
                self.assertLess(oldest_s, apply_s / 10)


if __name__ == '__main__':
    unittest.main()
