"""Entries in a quiet hour, and a store that falls silent for some."""

import asyncio
import math
import unittest
from random import Random
from unittest import mock

from linnetwood.core.errors import StoreError
from linnetwood.fleet.belief import Told, bounds_within
from linnetwood.fleet.following import Following
from linnetwood.fleet.ranges import Changes, Record, Snapshot
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab import virtual
from linnetwood.platform import records
from linnetwood.platform.feeds import OperatorFeed
from tests import test_relaying as zones

BOUND_S = 3.0
# What resident entries trust at most (programs/resident_entry.py).
TRUSTED_S = 0.6 * BOUND_S
BEAT_S = 0.2


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

    def test_slow_answers_make_nobody_lost(self) -> None:
        """What is old because its answer took long needs no other neighbour.

        Whoever borrows leaves again as soon as the store has answered: both
        at once would mean to connect and leave for ever.
        """

        async def play() -> None:
            following = follower(Quiet())
            loop = asyncio.get_running_loop()
            following._note_heard(loop.time() - 2 * BOUND_S)
            self.assertFalse(following.unanswered)
            self.assertFalse(following.lost)

        virtual.run(play())

    def test_answers_that_never_end_are_trusted_once(self) -> None:
        """A neighbour whose answers flow and break off stands for nothing."""

        async def play() -> None:
            store = zones.FarStore()
            sink = zones.Newest()
            following = Following(
                zones.Handle(store, 'me'),
                '',
                sink,
                Random(1),
                bounds_within(BOUND_S),
            )
            following.start()
            await asyncio.sleep(1)
            store.write(b'2')
            loop = asyncio.get_running_loop()
            written_at = loop.time()
            following.told(word(0))
            sink.at = written_at
            while loop.time() < written_at + 2 * BOUND_S:
                age_s = loop.time() - written_at + 0.5
                flowing_s = age_s % 0.5
                told = Told(1, age_s, 0, flowing_s, 0, False, ())
                following.told(told)
                await asyncio.sleep(BEAT_S)
            await following.close()
            self.assertEqual(sink.payload, b'2')
            self.assertLess(sink.at - written_at, BOUND_S)

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
