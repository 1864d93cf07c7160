"""What a second cold look at two mends found."""

import asyncio
import math
import unittest
from random import Random
from unittest import mock

from linnetwood.calls.choice import Chooser, Need
from linnetwood.calls.directory import Directory, Listed
from linnetwood.core.errors import StoreError
from linnetwood.fleet.following import Following, Told, bounds_within
from linnetwood.fleet.ranges import Changes, Record, Snapshot
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab import virtual
from linnetwood.platform import records
from linnetwood.platform.feeds import OperatorFeed
from linnetwood.weights import chunks
from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.inflow import Inflow
from linnetwood.weights.swarm import ORIGIN, Swarm
from tests import test_narrow_way, test_swarm
from tests import test_relaying as zones

BOUND_S = 3.0
# What resident entries trust at most (programs/resident_entry.py).
TRUSTED_S = 0.6 * BOUND_S
BEAT_S = 0.2


class EveryChunk(test_swarm.Nobody):
    """Read any chunk from the origin at once."""

    def due_at(self, index: int, started: float) -> float | None:
        """Give the start."""
        return started

    def turns(self) -> int:
        """Give every chunk."""
        return chunks.full(test_swarm.COUNT)


class SwarmTest(unittest.TestCase):
    """A link that is whole, and senders that are not."""

    def test_slow_origin_leaves_peers_their_turn(self) -> None:
        """Where only the origin is slow, peers are asked beside it."""
        cfg = SwarmOptions(window=3)
        found = Swarm(
            test_swarm.COUNT, 0, cfg, EveryChunk(), Random(1), 0, None, Inflow()
        )
        found.meet('a')
        found.meet('b')
        now = 0.0
        # Nobody else holds anything: the origin brings each in a second.
        for _ in range(3):
            asked = list(found.plan(now))
            now += 1
            for one in asked:
                found.arrived(one.index)
        left = ~found.held & chunks.full(test_swarm.COUNT)
        # Now two peers near hold one chunk of those that are left.
        offered = left & -left
        found.notice('a', offered, 0)
        found.notice('b', offered, 0)
        sources = {one.source for one in found.plan(now)}
        self.assertIn(ORIGIN, sources)
        self.assertTrue(sources & {'a', 'b'}, sources)

    def test_a_late_chunk_of_one_that_left_is_no_sample(self) -> None:
        """What one peer brought is not counted as another's."""
        inflow = Inflow()
        found = Swarm(
            test_swarm.COUNT,
            0,
            SwarmOptions(window=1),
            test_swarm.Nobody(),
            Random(1),
            0,
            None,
            inflow,
        )
        found.meet('a')
        found.meet('b')
        found.notice('a', 1, 0)
        self.assertEqual(len(list(found.plan(0))), 1)
        # The list drops it for a moment; its chunk flows on.
        found.part('a')
        found.notice('b', 1, 0)
        self.assertEqual(len(list(found.plan(0.4))), 1)
        found.arrived(0)
        inflow.settle(0.405)
        # It took 0.4 s; that nothing was measured is right as well.
        if inflow.chunk_s:
            self.assertGreater(inflow.chunk_s, 0.1)

    def test_first_chunks_that_do_not_come_show_a_slow_way(self) -> None:
        """Chunks under way for long tell of the way before any has come."""
        inflow = Inflow()
        for _ in range(3):
            inflow.asked(0)
        self.assertGreater(inflow.tell_way_s(1.5), 0.5)

    def test_a_slow_sender_makes_no_slow_way(self) -> None:
        """One chunk in a second from the origin does not fill a link."""
        inflow = Inflow()
        for number in range(4):
            flight = inflow.asked(number)
            way_s = inflow.tell_way_s(number + 0.5)
            inflow.came(flight)
            inflow.settle(number + 1)
        self.assertLess(way_s, 0.3)

    def test_what_a_parted_peer_sends_takes_room(self) -> None:
        """Bytes under way from one that was dropped are still under way."""
        inflow = Inflow()
        for number in range(3):
            flight = inflow.asked(number * 0.5)
            inflow.came(flight)
            inflow.settle((number + 1) * 0.5)
        found = Swarm(
            test_swarm.COUNT,
            0,
            SwarmOptions(window=3),
            test_swarm.Nobody(),
            Random(1),
            0,
            None,
            inflow,
        )
        for vm in ('a', 'b'):
            found.meet(vm)
            found.notice(vm, 0b11, 0)
        self.assertEqual(len(list(found.plan(2))), 1)
        source = next(iter(found.pending.values())).source
        found.part(source)
        self.assertEqual(list(found.plan(2.01)), [])


class ResumedTest(unittest.TestCase):
    """A stream that is resumed on its own version."""

    def test_closed_version_is_not_begun_on_again(self) -> None:
        """Nothing is sent on a version in the last 1.2 s of its bound."""
        directory = Directory()
        directory.listed(
            Listed(
                'i-1',
                'pool',
                'h',
                1,
                'z1',
                16,
                ready=True,
                versions={test_narrow_way.MODEL: 1},
            ),
        )
        need = Need(
            test_narrow_way.SERVICE,
            'z1',
            100,
            test_narrow_way.MODEL,
            least_version=2,
            exact_version=1,
        )
        self.assertIsNone(Chooser(directory, Random(1)).choose(need, (), 0))


class Quiet:
    """A store where nothing is written."""

    def __init__(self) -> None:
        self.mute = False
        self.failing = False
        self.paused_at: list[float] = []

    async def read(self, prefix: str) -> Snapshot:
        """Give one key."""
        return Snapshot({'k': Record(b'1', 1)}, 1)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait in vain, fail, or never answer."""
        if self.failing:
            self.paused_at.append(asyncio.get_running_loop().time())
            raise StoreError('store-unreachable', '')
        if self.mute:
            # As the store's client: no first byte (wait_s and 2 s).
            await asyncio.sleep(wait_s + 2)
            raise StoreError('store-unreachable', 'silent')
        await asyncio.sleep(wait_s + 0.005)
        return Changes((), after)


def follower(store: Quiet) -> Following:
    """Give a follower within a bound of three seconds."""
    return Following(store, '', mock.Mock(), Random(1), bounds_within(BOUND_S))


def word(age_s: float, revision: int = 1) -> Told:
    """Give a neighbour's word without news."""
    return Told(revision, age_s, math.inf, math.inf, 0, False, ())


class FollowingTest(unittest.TestCase):
    """An entry in a quiet hour."""

    def test_listener_that_loses_its_teller_stays_within_trust(self) -> None:
        """Nothing is wrong with the store: no belief gets old."""

        async def play() -> None:
            following = follower(Quiet())
            following.start()
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0.1)
            for _ in range(10):
                following.told(word(0.1))
                await asyncio.sleep(BEAT_S)
            # The neighbour is gone from now on.
            oldest_s = 0.0
            until = loop.time() + 4
            while loop.time() < until:
                oldest_s = max(oldest_s, loop.time() - following.heard_at)
                await asyncio.sleep(0.01)
            await following.close()
            self.assertLess(oldest_s, TRUSTED_S)

        virtual.run(play())

    def test_heard_at_never_goes_back(self) -> None:
        """An answer that began long ago makes no belief older."""

        async def play() -> None:
            store = zones.FarStore()
            handle = zones.Handle(store, 'me')
            following = Following(
                handle, '', zones.Newest(), Random(1), bounds_within(BOUND_S)
            )
            handle.heard = following.flowed
            following.start()
            await asyncio.sleep(0.5)
            store.write(b'2' * 3000000)
            # It is turned to another entry while its own answer comes.
            following.borrows = True
            furthest_s = 0.0
            for _ in range(400):
                following.told(word(0, following.revision))
                before = following.heard_at
                await asyncio.sleep(0.01)
                furthest_s = max(furthest_s, before - following.heard_at)
            await following.close()
            self.assertEqual(furthest_s, 0)

        virtual.run(play())

    def test_failures_are_over_when_a_neighbour_tells(self) -> None:
        """The first failure after a good hour is a first one."""

        async def play() -> None:
            store = Quiet()
            following = follower(store)
            following.backed = True
            following.start()
            await asyncio.sleep(0.1)
            store.failing = True
            await asyncio.sleep(12)
            store.failing = False
            # From now on a neighbour tells, all the while.
            for _ in range(300):
                following.told(word(0.1))
                await asyncio.sleep(BEAT_S)
            store.failing = True
            store.paused_at.clear()
            await asyncio.sleep(6)
            await following.close()
            first, second = store.paused_at[:2]
            self.assertLess(second - first, 0.4)

        virtual.run(play())

    def test_mute_store_makes_lost(self) -> None:
        """Who hears nothing for long may hear anybody, failed or not."""

        async def play() -> None:
            store = Quiet()
            following = follower(store)
            following.start()
            await asyncio.sleep(0.95)
            store.mute = True
            await asyncio.sleep(1 + TRUSTED_S)
            lost = following.lost
            await following.close()
            self.assertTrue(lost)

        virtual.run(play())


class MuteHandle(zones.Handle):
    """A way to a store that gives some entries no answer at all."""

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait as the store's client does for a first byte."""
        try:
            async with asyncio.timeout(wait_s + 2):
                return await super().wait(prefix, after, wait_s)
        except TimeoutError as exc:
            raise StoreError('store-unreachable', 'silent') from exc

    async def _reach(self) -> None:
        self._store.calls += 1
        if self._name in self._store.cut:
            await asyncio.Event().wait()


class ZoneTest(unittest.TestCase):
    """A zone with a store that is well."""

    def test_store_is_mute_to_the_first(self) -> None:
        """Whoever hears nobody before it has a change in time, too."""

        late_s: list[float] = []

        async def act(zone: zones.Zone) -> None:
            first = zone.first()
            # Anywhere in a wait.
            await asyncio.sleep(len(late_s) * 0.05)
            zone.store.cut.add(first.name)
            zone.store.write(b'2')
            written_at = asyncio.get_running_loop().time()
            await asyncio.sleep(2 * zones.APPLY_S)
            late_s.append(first.sink.at - written_at)

        for _ in range(20):
            with mock.patch.object(zones, 'Handle', MuteHandle):
                zones.played(act)
        self.assertLess(max(late_s), zones.APPLY_S)

    def test_no_belief_gets_old_when_the_first_ends(self) -> None:
        """The store is well, so nobody need refuse by an old belief."""

        async def act(zone: zones.Zone) -> None:
            loop = asyncio.get_running_loop()
            await zone.kill(zone.first())
            oldest_s = 0.0
            until = loop.time() + 5
            while loop.time() < until:
                oldest_s = max(
                    oldest_s,
                    *(
                        loop.time() - one.following.heard_at
                        for one in zone.entries
                    ),
                )
                await asyncio.sleep(0.01)
            self.assertLess(oldest_s, TRUSTED_S)

        zones.played(act)


class FeedTest(unittest.TestCase):
    """Since when a version stands that nobody saw come."""

    def test_a_guess_is_not_made_younger_by_reading_anew(self) -> None:
        """What stood there before did not come just now."""
        clock = mock.Mock()
        clock.now.return_value = 100.0
        wanted = WantedVersions(8)
        feed = OperatorFeed(mock.Mock(), wanted, clock, lambda: None)
        key = records.VERSION_PREFIX + 'm'
        found = Snapshot({key: Record(b'', 1)}, 1)
        with mock.patch.object(records, 'named_version', return_value=('m', 2)):
            feed.replaced(found)
            before = wanted.cutoff('m', 2)
            clock.now.return_value = 106.0
            feed.replaced(found)
        self.assertEqual(wanted.cutoff('m', 2), before)


if __name__ == '__main__':
    unittest.main()
