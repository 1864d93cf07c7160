"""Entries without changes, and a store that falls silent for some."""

import asyncio
import math
import unittest
from random import Random
from unittest import mock

from linnetwood.core.errors import StoreError, WireError
from linnetwood.fleet import rangerelayserver
from linnetwood.fleet.freshness import RelayedUpdate, bounds_for
from linnetwood.fleet.mirror import LARGE_BYTES
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelayserver import (
    REMOTE_HEARTBEAT_S,
    RangeRelayServer,
)
from linnetwood.fleet.ranges import Changes, Record, Snapshot
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import RangeRequest
from linnetwood.lab import virtual
from linnetwood.lab.memory_net import MemoryNet, MemoryStream
from linnetwood.platform import records
from linnetwood.platform.feeds import OperatorFeed
from linnetwood.wire.codec import encode
from linnetwood.wire.frames import Frame, FrameKind
from tests import test_relaying as zones

BOUND_S = 3.0
# The maximum age of a view that resident entries trust
# (programs/resident_entry.py).
MAX_AGE_S = 0.6 * BOUND_S
HEARTBEAT_S = 0.2


class QuietStore:
    """A store where nothing is written."""

    def __init__(self) -> None:
        self.is_silent = False
        self.is_failing = False
        self.requested_at: list[float] = []

    async def read(self, prefix: str) -> Snapshot:
        """Return one key."""
        return Snapshot({'k': Record(b'1', 1)}, 1)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait without changes, fail, or send no answer."""
        if self.is_failing:
            self.requested_at.append(asyncio.get_running_loop().time())
            raise StoreError('store-unreachable', '')
        if self.is_silent:
            # As the store's client: no first byte within wait_s and 2 s.
            await asyncio.sleep(wait_s + 2)
            raise StoreError('store-unreachable', 'silent')
        await asyncio.sleep(wait_s + 0.005)
        return Changes((), after)


def new_follower(store: QuietStore) -> RangeFollower:
    """Return a follower with a bound of 3 s."""
    return RangeFollower(store, '', mock.Mock(), Random(1), bounds_for(BOUND_S))


def update_without_changes(age_s: float, revision: int = 1) -> RelayedUpdate:
    """Return a relay's update without changes."""
    return RelayedUpdate(revision, age_s, math.inf, math.inf, 0, False, ())


class RangeFollowerTest(unittest.TestCase):
    """An entry while nothing changes."""

    def test_a_subscriber_that_loses_its_relay_stays_up_to_date(self) -> None:
        """While the store answers, no view gets old."""

        async def scenario() -> None:
            follower = new_follower(QuietStore())
            follower.start()
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0.1)
            for _ in range(10):
                follower.apply_update(update_without_changes(0.1))
                await asyncio.sleep(HEARTBEAT_S)
            # The relay is gone from now on.
            oldest_s = 0.0
            until = loop.time() + 4
            while loop.time() < until:
                oldest_s = max(oldest_s, loop.time() - follower.confirmed_at)
                await asyncio.sleep(0.01)
            await follower.close()
            self.assertLess(oldest_s, MAX_AGE_S)

        virtual.run(scenario())

    def test_confirmed_at_never_goes_back(self) -> None:
        """An answer that began long ago makes no view older."""

        async def scenario() -> None:
            store = zones.FarStore()
            link = zones.StoreLink(store, 'me')
            follower = RangeFollower(
                link, '', zones.NewestSink(), Random(1), bounds_for(BOUND_S)
            )
            link.on_bytes = follower.note_bytes
            follower.start()
            await asyncio.sleep(0.5)
            store.write(b'2' * 3000000)
            # It uses a fallback relay while its own answer arrives.
            follower.uses_fallback_relay = True
            set_back_s = 0.0
            for _ in range(400):
                follower.apply_update(
                    update_without_changes(0, follower.revision)
                )
                before = follower.confirmed_at
                await asyncio.sleep(0.01)
                set_back_s = max(set_back_s, before - follower.confirmed_at)
            await follower.close()
            self.assertEqual(set_back_s, 0)

        virtual.run(scenario())

    def test_failures_are_over_when_a_relay_sends_updates(self) -> None:
        """The first failure after many good updates counts as a first one."""

        async def scenario() -> None:
            store = QuietStore()
            follower = new_follower(store)
            follower.has_relays = True
            follower.start()
            await asyncio.sleep(0.1)
            store.is_failing = True
            await asyncio.sleep(12)
            store.is_failing = False
            # From now on a relay sends updates all the time.
            for _ in range(300):
                follower.apply_update(update_without_changes(0.1))
                await asyncio.sleep(HEARTBEAT_S)
            store.is_failing = True
            store.requested_at.clear()
            await asyncio.sleep(6)
            await follower.close()
            first, second = store.requested_at[:2]
            self.assertLess(second - first, 0.4)

        virtual.run(scenario())

    def test_slow_answers_isolate_nobody(self) -> None:
        """A view that is old because its answer took long needs no other relay.

        An entry leaves a fallback relay as soon as the store has answered. If a
        slow answer also made it isolated, it would connect and leave forever.
        """

        async def scenario() -> None:
            follower = new_follower(QuietStore())
            loop = asyncio.get_running_loop()
            follower._note_answer(loop.time() - 2 * BOUND_S)
            self.assertFalse(follower.is_store_silent)
            self.assertFalse(follower.is_isolated)

        virtual.run(scenario())

    def test_answers_that_never_end_are_trusted_once(self) -> None:
        """Answers of a relay that break off don't replace the store."""

        async def scenario() -> None:
            store = zones.FarStore()
            sink = zones.NewestSink()
            follower = RangeFollower(
                zones.StoreLink(store, 'me'),
                '',
                sink,
                Random(1),
                bounds_for(BOUND_S),
            )
            follower.start()
            await asyncio.sleep(1)
            store.write(b'2')
            loop = asyncio.get_running_loop()
            written_at = loop.time()
            follower.apply_update(update_without_changes(0))
            sink.applied_at = written_at
            while loop.time() < written_at + 2 * BOUND_S:
                age_s = loop.time() - written_at + 0.5
                flowing_s = age_s % 0.5
                update = RelayedUpdate(1, age_s, 0, flowing_s, 0, False, ())
                follower.apply_update(update)
                await asyncio.sleep(HEARTBEAT_S)
            await follower.close()
            self.assertEqual(sink.payload, b'2')
            self.assertLess(sink.applied_at - written_at, BOUND_S)

        virtual.run(scenario())

    def test_a_silent_store_isolates(self) -> None:
        """An entry without any news may use any relay, failed or not."""

        async def scenario() -> None:
            store = QuietStore()
            follower = new_follower(store)
            follower.start()
            await asyncio.sleep(0.95)
            store.is_silent = True
            await asyncio.sleep(1 + MAX_AGE_S)
            is_isolated = follower.is_isolated
            await follower.close()
            self.assertTrue(is_isolated)

        virtual.run(scenario())


class SilentLink(zones.StoreLink):
    """A link to a store that sends some entries no answer at all."""

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait as the store's client does for a first byte."""
        try:
            async with asyncio.timeout(wait_s + 2):
                return await super().wait(prefix, after, wait_s)
        except TimeoutError as exc:
            raise StoreError('store-unreachable', 'silent') from exc

    async def _connect(self) -> None:
        self._store.calls += 1
        if self._name in self._store.cut:
            await asyncio.Event().wait()


class ZoneTest(unittest.TestCase):
    """A zone whose store works."""

    def test_store_is_silent_to_the_first_relay(self) -> None:
        """An entry without a relay before it has a change in time, too."""

        late_s: list[float] = []

        async def act(zone: zones.Zone) -> None:
            first = zone.first_relay()
            # At any moment of a wait.
            await asyncio.sleep(len(late_s) * 0.05)
            zone.store.cut.add(first.name)
            zone.store.write(b'2')
            written_at = asyncio.get_running_loop().time()
            await asyncio.sleep(2 * zones.APPLY_S)
            late_s.append(first.sink.applied_at - written_at)

        for _ in range(20):
            with mock.patch.object(zones, 'StoreLink', SilentLink):
                zones.run_scenario(act)
        self.assertLess(max(late_s), zones.APPLY_S)

    def test_no_view_gets_old_when_the_first_relay_ends(self) -> None:
        """While the store works, no entry need refuse by an old view."""

        async def act(zone: zones.Zone) -> None:
            loop = asyncio.get_running_loop()
            await zone.kill(zone.first_relay())
            oldest_s = 0.0
            until = loop.time() + 5
            while loop.time() < until:
                oldest_s = max(
                    oldest_s,
                    *(
                        loop.time() - entry.follower.confirmed_at
                        for entry in zone.entries
                    ),
                )
                await asyncio.sleep(0.01)
            self.assertLess(oldest_s, MAX_AGE_S)

        zones.run_scenario(act)


class PagedStore(QuietStore):
    """A store whose last page holds a write that came after the first page."""

    async def read(self, prefix: str) -> Snapshot:
        """Return one large key."""
        return Snapshot({'k': Record(bytes(LARGE_BYTES), 3)}, 2)


class CountingStream(MemoryStream):
    """A connection that ends after some frames."""

    def __init__(self) -> None:
        super().__init__(MemoryNet(Random(1), 0, 0))
        self.sent = 0

    def send(self, kind: FrameKind, payload: bytes) -> None:
        """Count a frame, and lose it."""
        self.sent += 1
        if self.sent > 50:
            raise WireError('connection-lost', 'too many frames')


class RemoteZoneTest(unittest.TestCase):
    """What a subscriber of another zone gets while nothing changes."""

    def test_a_page_that_is_newer_than_the_range(self) -> None:
        """Updates go out at each heartbeat, not as fast as the link takes."""

        async def scenario() -> int:
            follower = new_follower(PagedStore())
            follower.start()
            await follower.synced.wait()
            request = Frame(
                FrameKind.RANGE_REQUEST, encode(RangeRequest(0, True, []))
            )
            stream = CountingStream()
            serving = asyncio.create_task(
                RangeRelayServer(follower).serve(stream, request)
            )
            await asyncio.wait((serving,), timeout=4 * REMOTE_HEARTBEAT_S)
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
            await follower.close()
            return stream.sent

        self.assertLessEqual(virtual.run(scenario()), 6)

    def test_a_timer_that_fires_early(self) -> None:
        """The heartbeat is due then, also if the clock stands still."""
        waits = []

        async def fire_early(event: asyncio.Event, seconds: float) -> bool:
            waits.append(seconds)
            if len(waits) > 50:
                raise WireError('connection-lost', 'too many waits')
            await asyncio.sleep(0)
            return False

        async def scenario() -> int:
            follower = new_follower(QuietStore())
            stream = CountingStream()
            request = Frame(
                FrameKind.RANGE_REQUEST, encode(RangeRequest(0, True, []))
            )
            with mock.patch.object(
                rangerelayserver, 'wait_for_event', fire_early
            ):
                with self.assertRaises(WireError):
                    await RangeRelayServer(follower).serve(stream, request)
            return stream.sent

        self.assertEqual(virtual.run(scenario()), 51)


class FeedTest(unittest.TestCase):
    """The age of a version that no entry saw being written."""

    def test_a_guess_is_not_made_younger_by_reading_anew(self) -> None:
        """A record that was there before is not taken for a new one."""
        clock = mock.Mock()
        clock.now.return_value = 100.0
        wanted = WantedVersions(8)
        feed = OperatorFeed(mock.Mock(), wanted, clock, lambda: None)
        key = records.VERSION_PREFIX + 'm'
        found = Snapshot({key: Record(b'', 1)}, 1)
        with mock.patch.object(records, 'named_version', return_value=('m', 2)):
            feed.replace_all(found)
            before = wanted.cutoff('m', 2)
            clock.now.return_value = 106.0
            feed.replace_all(found)
        self.assertEqual(wanted.cutoff('m', 2), before)


if __name__ == '__main__':
    unittest.main()
