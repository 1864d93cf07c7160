"""Changes of the store that are lost, delayed or requested too often."""

import asyncio
import unittest
from random import Random
from unittest import mock

from linnetwood.fleet.freshness import RelayedUpdate, bounds_for
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelayserver import RangeRelayServer
from linnetwood.fleet.ranges import Change, Changes, Record, Snapshot
from linnetwood.fleet.relayreader import read_update
from linnetwood.gen.wire.ttypes import RangeRequest
from linnetwood.lab import virtual
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet
from linnetwood.wire.codec import encode
from linnetwood.wire.frames import FrameKind, FrameStream
from tests import test_relaying as zones

KEY = zones.KEY


class CountingStore(zones.FarStore):
    """A store that counts the reads that begin."""

    reads = 0


class CountingLink(zones.StoreLink):
    """The link of an entry to it."""

    async def read(self, prefix: str) -> Snapshot:
        """Read everything."""
        CountingStore.reads += 1
        return await super().read(prefix)


class SlowLink(zones.StoreLink):
    """A link to a store that takes 0.5 s for each answer."""

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes since a revision."""
        await asyncio.sleep(0.5)
        return await super().wait(prefix, after, wait_s)


def new_follower() -> RangeFollower:
    """Return a follower of a store of its own that has not started."""
    return RangeFollower(
        zones.StoreLink(zones.FarStore(), 'me'),
        '',
        zones.NewestSink(),
        Random(1),
        bounds_for(2),
    )


async def _reads_of_a_start() -> int:
    """Start a zone whose entries know each other from the beginning."""
    CountingStore.reads = 0
    with (
        mock.patch.object(zones, 'FarStore', CountingStore),
        mock.patch.object(zones, 'StoreLink', CountingLink),
    ):
        zone = zones.Zone()
        zone.store.records[KEY] = Record(b'1' * zones.LARGE_BYTES * 3, 1)
        await zone.start()
        await zone.close()
    return CountingStore.reads


class ZoneFailuresTest(unittest.TestCase):
    """Run a zone in virtual time."""

    def test_first_relay_refused(self) -> None:
        """An entry that the store refuses gets changes from another one."""

        async def act(zone: zones.Zone) -> None:
            first = zone.first_relay()
            zone.store.cut.add(first.name)
            zone.store.write(b'2')
            await asyncio.sleep(zones.APPLY_S + 5)
            self.assertEqual(zones.payloads(zone), {b'2'})

        zones.run_scenario(act)

    def test_all_start_at_once(self) -> None:
        """No entry cancels a read that it must repeat at once."""
        reads = virtual.run(_reads_of_a_start())
        self.assertLessEqual(reads, zones.ENTRIES)

    def test_slow_store(self) -> None:
        """While a slow store answers the relays, others send no requests."""

        with (
            mock.patch.object(zones, 'StoreLink', SlowLink),
            mock.patch.object(zones, 'APPLY_S', 2.0),
        ):
            calls: list[int] = []

            async def act(zone: zones.Zone) -> None:
                zone.store.calls = 0
                await asyncio.sleep(10)
                calls.append(zone.store.calls // 2)

            zones.run_scenario(act)
        # Two relays, whose waits last 1.1 s each.
        self.assertLess(calls[0], 2 * 10 / 1.1 + 4)

    def test_one_cut_off_makes_few_connections(self) -> None:
        """A relay that is out of touch itself is not dialled all the time."""

        async def act(zone: zones.Zone) -> None:
            zone.store.cut.add(zone.first_relay().name)
            with mock.patch.object(
                MemoryNet, 'dial', autospec=True, side_effect=MemoryNet.dial
            ) as dial:
                await asyncio.sleep(10)
            # At most one dial in 2 s by each entry.
            self.assertLess(dial.call_count, 5 * zones.ENTRIES)

        zones.run_scenario(act)


class AgeTest(unittest.TestCase):
    """The age of a follower's view."""

    def test_age_counts_from_the_start_of_an_answer(self) -> None:
        """A change written while an answer arrives is not part of it."""

        async def scenario() -> None:
            store = zones.FarStore()
            link = zones.StoreLink(store, 'me')
            follower = RangeFollower(
                link, '', zones.NewestSink(), Random(1), bounds_for(2)
            )
            link.on_bytes = follower.note_bytes
            store.records[KEY] = Record(b'1' * 6000000, 1)
            follower.start()
            await asyncio.sleep(0.1)
            # Written after the store made its answer, which takes 4 s to come.
            store.write(b'2')
            await follower.synced.wait()
            age_s = asyncio.get_running_loop().time() - follower.confirmed_at
            await follower.close()
            self.assertGreater(age_s, 3.5)

        virtual.run(scenario())

    def test_a_change_is_as_old_as_the_answer_that_brings_it(self) -> None:
        """It was written before the store began to answer.

        On a link that is narrow or full of whole configurations, an answer may
        take 4 s to arrive. If its changes had an age of 0, the bound of a
        version would count from then, here and at subscribers of this entry
        alone.
        """

        async def scenario() -> None:
            store = zones.FarStore()
            link = zones.StoreLink(store, 'me')
            sink = zones.NewestSink()
            follower = RangeFollower(link, '', sink, Random(1), bounds_for(2))
            link.on_bytes = follower.note_bytes
            follower.start()
            await asyncio.sleep(0.5)
            store.write(b'2' * 4 * zones.LINK_BYTES_PER_S)
            await asyncio.sleep(5)
            await follower.close()
            self.assertEqual(len(sink.ages), 1)
            self.assertGreater(sink.ages[0], 3.5)

        virtual.run(scenario())

    def test_an_older_answer_makes_no_view_older(self) -> None:
        """A confirmation by a relay meanwhile stays valid."""

        async def scenario() -> None:
            follower = new_follower()
            follower.apply_update(RelayedUpdate(1, 0, 0, 0, 0, False, ()))
            confirmed_at = follower.confirmed_at
            follower._note_answer(confirmed_at - 1)
            self.assertEqual(follower.confirmed_at, confirmed_at)

        virtual.run(scenario())

    def test_a_slow_read_is_not_repeated(self) -> None:
        """However long a read took, a wait follows it."""

        async def scenario() -> None:
            CountingStore.reads = 0
            store = CountingStore()
            store.records[KEY] = Record(b'1' * zones.LINK_BYTES_PER_S * 8, 1)
            link = CountingLink(store, 'me')
            follower = RangeFollower(
                link, '', zones.NewestSink(), Random(1), bounds_for(2)
            )
            link.on_bytes = follower.note_bytes
            follower.start()
            await asyncio.sleep(30)
            await follower.close()
            self.assertEqual(CountingStore.reads, 1)

        virtual.run(scenario())

    def test_ages_come_with_the_whole(self) -> None:
        """A whole range from a relay has the ages of its keys."""

        async def scenario() -> None:
            follower = new_follower()
            update = RelayedUpdate(
                9,
                0,
                0,
                0,
                0,
                whole=True,
                changes=(Change(KEY, Record(b'x', 7), 5),),
            )
            follower.apply_update(update)
            now = asyncio.get_running_loop().time()
            delta = follower.mirror.delta_since(0, now)
            self.assertEqual([change.age_s for change in delta.changes], [5])

        virtual.run(scenario())


class RelayedOutagesTest(unittest.TestCase):
    """Outages that a relay reports."""

    def test_outages_are_passed_on(self) -> None:
        """A follower counts the outages that its relay reports."""

        async def scenario() -> None:
            follower = new_follower()
            before = follower.outages
            for outages in (0, 1):
                follower.apply_update(
                    RelayedUpdate(1, 0, 0, 0, outages, False, ())
                )
            self.assertGreater(follower.outages, before)

        virtual.run(scenario())


class RelayServerTest(unittest.TestCase):
    """The updates that a relay sends."""

    def test_whole_is_whole(self) -> None:
        """Changes that were packed are never sent as the whole range."""

        async def scenario() -> None:
            follower = new_follower()
            mirror = follower.mirror
            whole = {KEY: Record(b'1', 1), 'servers/a': Record(b'a', 2)}
            mirror.replace_all(Snapshot(whole, 2), 0)
            new = Record(b'2', 3)
            mirror.apply_changes((Change(KEY, new),), 3, 0)
            relay_server = RangeRelayServer(follower)
            net = MemoryNet(Random(1), 0, 0)

            async def accept(stream: FrameStream) -> None:
                await relay_server.serve(stream, await stream.read())

            net.accepting[('t', 1)] = accept

            async def request_after(after: int) -> RelayedUpdate:
                stream = await MemoryDialler(net).dial(('t', 1))
                request = encode(RangeRequest(after=after))
                await stream.write(FrameKind.RANGE_REQUEST, request)
                update = await read_update(stream)
                stream.close()
                return update

            before = await request_after(2)
            self.assertFalse(before.whole)
            # Read again after an outage; nothing was written meanwhile.
            mirror.replace_all(Snapshot({**whole, KEY: new}, 3), 1)
            after = await request_after(2)
            await net.close()
            keys = {change.key for change in after.changes}
            if after.whole:
                self.assertEqual(keys, set(whole))

        virtual.run(scenario())


class OwnAnswerTest(unittest.TestCase):
    """The entry's own answer, and a relay's answer that never ends."""

    def test_own_answer_comes_in_time(self) -> None:
        """It is cancelled for the relay's answer, and repeated in time."""

        async def scenario() -> None:
            store = zones.FarStore()
            link = zones.StoreLink(store, 'me')
            sink = zones.NewestSink()
            follower = RangeFollower(link, '', sink, Random(1), bounds_for(3))
            link.on_bytes = follower.note_bytes
            follower.start()
            await asyncio.sleep(3)
            store.write(b'2' * zones.LARGE_BYTES * 3)
            await asyncio.sleep(0.4)
            self.assertEqual(sink.payload, b'1')
            # The relay knows no more, and its own answer begins.
            loop = asyncio.get_running_loop()
            written_at = loop.time()
            for nth in range(20):
                flowing_s = nth * 0.1
                update = RelayedUpdate(
                    1, 2 + flowing_s, 0, flowing_s, 0, False, ()
                )
                follower.apply_update(update)
                await asyncio.sleep(0.1)
            await asyncio.sleep(3)
            late_s = sink.applied_at - written_at
            await follower.close()
            self.assertEqual(sink.payload[:1], b'2')
            self.assertLess(late_s, zones.APPLY_S)

        virtual.run(scenario())


if __name__ == '__main__':
    unittest.main()
