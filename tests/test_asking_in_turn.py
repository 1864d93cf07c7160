"""Where all relays of a zone are out of touch, its entries take turns.

Load pattern: 13 entries trust the same relays, which fall silent at the same
moment; each answer of the store fills the link that all share for a while.
Virtual time.
"""

import asyncio
import unittest
from random import Random

from linnetwood.fleet.freshness import RelayedUpdate, bounds_for
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.ranges import Changes, Record, Snapshot
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.remotezoneselector import relay_rank
from linnetwood.lab import virtual
from tests.test_following import RecordingSink

APPLY_S = 3
ENTRIES = [f'10.0.0.{number}' for number in range(13)]
UPDATE = RelayedUpdate(5, 0, 0, 0, 0, whole=False, changes=())


class RecordingStore:
    """Record the times of wait requests, and never answer them."""

    def __init__(self) -> None:
        self.requested_at: list[float] = []

    async def read(self, prefix: str) -> Snapshot:
        """Return one key."""
        return Snapshot({'k': Record(b'', 5)}, 5)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait forever."""
        self.requested_at.append(asyncio.get_running_loop().time())
        await asyncio.Event().wait()
        raise AssertionError


def selector_of(me: str) -> RelaySelector:
    """Return the selector of an entry that knows all others."""
    selector = RelaySelector(me, Random(1))
    selector.note_seen(ENTRIES, 0)
    return selector


async def request_delay_s(me: str) -> float:
    """Return how long after the last update an entry requests the store."""
    store = RecordingStore()
    bounds = bounds_for(APPLY_S)
    follower = RangeFollower(store, '', RecordingSink(), Random(1), bounds)
    follower.stagger_position = selector_of(me).stagger_position
    follower.start()
    await follower.synced.wait()
    updated_at = asyncio.get_running_loop().time()
    follower.apply_update(UPDATE)
    store.requested_at.clear()
    await asyncio.sleep(APPLY_S)
    await follower.close()
    return store.requested_at[0] - updated_at


class StaggeredRequestsTest(unittest.TestCase):
    """Make each entry of a zone lose its relays."""

    def test_one_after_the_other(self) -> None:
        """The first sends at once, and at most 3 within the first 0.1 s."""
        times = sorted(virtual.run(request_delay_s(me)) for me in ENTRIES)
        fresh_s = bounds_for(APPLY_S).max_age_s
        self.assertAlmostEqual(times[0], fresh_s, 2)
        self.assertLessEqual(
            sum(time_s < times[0] + 0.1 for time_s in times), 3
        )
        # The last one has two fifths of the bound left for its answer.
        self.assertLessEqual(times[-1], 0.6 * APPLY_S + 0.01)

    def test_few_entries_request_at_once(self) -> None:
        """Only the two relays and the entry after them have position 0."""
        self.assertEqual(RelaySelector('a', Random(1)).stagger_position, 0)
        counts = sorted(selector_of(me).stagger_position for me in ENTRIES)
        self.assertEqual(counts, [0, 0, 0, *range(1, 11)])

    def test_an_entry_without_relays_asks_others_again_soon(self) -> None:
        """However often these knew nothing new, as others follow it."""
        first = min(ENTRIES, key=relay_rank)
        selector = selector_of(first)
        for number in range(10):
            now = number / 10
            selector.note_seen(ENTRIES, now)
            selector.note_failure(ENTRIES[-1], now)
            again_at = now + 0.25
            self.assertIsNotNone(selector.choose(again_at, any_entry=True))


if __name__ == '__main__':
    unittest.main()
