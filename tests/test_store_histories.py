"""Answers and updates that belong to different histories of the store."""

import asyncio
import math
import unittest
from random import Random

from linnetwood.core.errors import CodecError, StoreError
from linnetwood.fleet.freshness import RelayedUpdate, bounds_for
from linnetwood.fleet.mirror import LARGE_BYTES, Mirror
from linnetwood.fleet.rangecodec import pack, unpack
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelayserver import RangeRelayServer
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    Record,
    Snapshot,
)
from linnetwood.fleet.relayreader import RelayReader, read_update
from linnetwood.fleet.revisions import MAX_ERA, era_of, join, number_of
from linnetwood.gen.wire.ttypes import RangePart, RangeRequest
from linnetwood.lab import virtual
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet
from linnetwood.wire.codec import encode
from linnetwood.wire.frames import FrameKind, FrameStream
from tests.test_following import (
    RecordingSink,
    ScriptedStore,
    StoreClientTest,
)

APPLY_S = 2.0


def answer(status: int, body: str, *eras: str) -> bytes:
    """Return an encoded answer of the store that names eras."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'Store-Era: {era}' for era in eras]
    return ('\r\n'.join((*lines, '', '')) + body).encode()


def page(key: str, number: int, *, more: bool = False) -> str:
    """Return a page of one key at a revision of the store."""
    return (
        f'{{"items": [{{"private_key": "{key}", "value": "eA==",'
        f' "revision": {number}}}], "has_more": {str(more).lower()},'
        f' "timestamp": {number}}}'
    )


def waited(number: int, *keys: str) -> str:
    """Return the answer of a wait up to a revision."""
    rows = ', '.join(
        f'{{"private_key": "{key}", "value": "eA==", "revision": {number}}}'
        for key in keys
    )
    return f'{{"events": [{rows}], "timestamp": {number}}}'


class RevisionTest(unittest.TestCase):
    """Order revisions of all histories."""

    def test_a_later_history_is_higher(self) -> None:
        """Its lowest number is above the highest of an earlier one."""
        last = join(1, (1 << 40) - 1)
        first = join(2, 0)
        self.assertLess(last, first)
        self.assertEqual((era_of(first), number_of(first)), (2, 0))
        self.assertEqual(join(0, 25), 25)
        self.assertLess(join(MAX_ERA, (1 << 40) - 1), 1 << 63)

    def test_received_numbers_are_checked(self) -> None:
        """What a peer sends beyond the limits is an error of the message."""
        good = pack([Change('k', Record(b'v', 5))])
        cases = ((good, -1), (good, MAX_ERA + 1))
        beyond = pack([Change('k', Record(b'v', 5))])
        self.assertEqual(len(tuple(unpack(beyond, 0, None, MAX_ERA))), 1)
        for packed, era in cases:
            with self.subTest(era=era), self.assertRaises(CodecError):
                tuple(unpack(packed, 0, None, era))


class AnswersTest(StoreClientTest):
    """Answers name the history that their revisions belong to."""

    async def wait_code(self, after: int) -> str:
        """Return the code with which a wait fails."""
        with self.assertRaises(StoreError) as caught:
            await self.store.wait('', after, 1)
        return caught.exception.code

    async def test_revisions_hold_the_era(self) -> None:
        """What is sent is the store's own number."""
        self.server.answers = [
            answer(200, page('a', 7), '3'),
            answer(200, waited(8, 'b'), '3'),
        ]
        found = await self.store.read('')
        self.assertEqual(found.revision, join(3, 7))
        self.assertEqual(found.records['a'].revision, join(3, 7))
        changes = await self.store.wait('', found.revision, 1)
        self.assertEqual(changes.revision, join(3, 8))
        self.assertIn(b'after_revision=7&', self.server.requests[-1])

    async def test_a_later_history_means_that_changes_are_lost(self) -> None:
        """A wait across it fails, with 410 or with changes of another one."""
        for status, body in (
            (200, waited(26, 'b')),
            (410, ''),
            (200, waited(25)),
        ):
            with self.subTest(status=status, body=body):
                self.server.answers = [answer(status, body, '2')]
                with self.assertRaises(HistoryLostError) as caught:
                    await self.store.wait('', join(1, 25), 1)
                self.assertEqual(caught.exception.era, 2)

    async def test_a_late_answer_brings_nothing_back(self) -> None:
        """An answer of an earlier history than is known is a failure."""
        self.server.answers = [
            answer(200, page('a', 7), '2'),
            answer(200, page('a', 25), '1'),
            answer(200, waited(26, 'b'), '1'),
            answer(410, '', '1'),
        ]
        await self.store.read('')
        with self.assertRaises(StoreError) as caught:
            await self.store.read('')
        self.assertEqual(caught.exception.code, 'store-era-old')
        self.assertEqual(await self.wait_code(join(2, 7)), 'store-era-old')
        self.assertEqual(await self.wait_code(join(2, 7)), 'store-era-old')

    async def test_an_era_that_only_relays_have_named(self) -> None:
        """An answer of an earlier one is late, whoever knew of the later."""
        self.server.answers = [answer(200, waited(26, 'b'), '1')]
        self.assertEqual(await self.wait_code(join(2, 7)), 'store-era-old')

    async def test_an_era_that_changes_between_pages(self) -> None:
        """Pages of two histories are not joined."""
        self.server.answers = [
            answer(200, page('a', 7, more=True), '1'),
            answer(200, page('b', 6), '2'),
        ]
        with self.assertRaises(HistoryLostError) as caught:
            await self.store.read('')
        self.assertEqual(caught.exception.era, 2)

    async def test_a_header_that_is_missing_once(self) -> None:
        """The known history goes on, and the next header decides."""
        self.server.answers = [
            answer(200, page('a', 7), '2'),
            answer(200, waited(8, 'b')),
            answer(200, waited(9, 'c'), 'two'),
            answer(200, waited(4, 'c'), '3'),
        ]
        found = await self.store.read('')
        after = (await self.store.wait('', found.revision, 1)).revision
        self.assertEqual(after, join(2, 8))
        after = (await self.store.wait('', after, 1)).revision
        self.assertEqual(after, join(2, 9))
        self.assertEqual(await self.wait_code(after), 'store-history-lost')

    async def test_a_revision_beyond_the_limits(self) -> None:
        """It is a bad answer, and nothing is taken from it."""
        for number in (-1, 1 << 40):
            with self.subTest(number=number):
                self.server.answers = [answer(200, waited(number), '1')]
                self.assertEqual(
                    await self.wait_code(join(1, 1)), 'store-bad-answer'
                )


def update(revision: int, age_s: float, *keys: str) -> RelayedUpdate:
    """Return a whole update of a relay that receives nothing just now."""
    changes = tuple(Change(key, Record(b'x', revision)) for key in keys)
    return RelayedUpdate(
        revision, age_s, math.inf, math.inf, 0, whole=True, changes=changes
    )


class HangingStore(ScriptedStore):
    """A store whose waits hang until they end with a lost history."""

    def __init__(self, first: Snapshot) -> None:
        super().__init__(first)
        self._ended = asyncio.Event()

    def end_waits(self) -> None:
        """End the waits that hang, and let later ones find no changes."""
        self._ended.set()

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        self.requests.append(('wait', after))
        await self._ended.wait()
        if era_of(after) < 2:
            raise HistoryLostError('store-history-lost', '', 2)
        await asyncio.sleep(wait_s)
        return Changes((), after)


class TrustTest(unittest.TestCase):
    """A relay of a lost history is not trusted, however young its view."""

    def test_the_entry_reads_the_store_itself(self) -> None:
        """It takes nothing from that relay and loses nothing to it."""

        async def scenario() -> None:
            old = join(1, 25)
            new = Snapshot({'n': Record(b'n', join(2, 7))}, join(2, 7))
            store = ScriptedStore(
                Snapshot({'o': Record(b'o', old)}, old),
                HistoryLostError('store-history-lost', '', 2),
                new,
                Changes((), join(2, 7)),
            )
            sink = RecordingSink()
            follower = RangeFollower(
                store, '', sink, Random(1), bounds_for(APPLY_S)
            )
            follower.start()
            for _ in range(80):
                await asyncio.sleep(0.05)
                if ('wait', old) in store.requests:
                    follower.apply_update(update(join(1, 26), 0.05, 'o', 'p'))
                    follower.apply_remote_update(
                        update(join(1, 27), 0.05, 'o', 'p')
                    )
            await follower.close()
            self.assertEqual(follower.revision, join(2, 7))
            self.assertEqual(sink.calls[-1], dict(new.records))
            held = [call for call in sink.calls if isinstance(call, dict)]
            self.assertEqual([set(records) for records in held], [{'o'}, {'n'}])

        virtual.run(scenario())

    def test_a_history_that_a_relay_has_brought_meanwhile(self) -> None:
        """It is not read again when the wait in the earlier one ends."""

        async def scenario() -> None:
            old = join(1, 25)
            new = join(2, 7)
            store = HangingStore(Snapshot({'o': Record(b'o', old)}, old))
            follower = RangeFollower(
                store, '', RecordingSink(), Random(1), bounds_for(APPLY_S)
            )
            follower.start()
            await asyncio.sleep(0.1)
            # The relay's own view is too old to be trusted.
            follower.apply_update(update(new, 1.5, 'n'))
            store.end_waits()
            await asyncio.sleep(2)
            await follower.close()
            self.assertEqual(follower.revision, new)
            calls = [call for call, _ in store.requests]
            self.assertEqual(calls.count('read'), 1)

        virtual.run(scenario())

    def test_a_relay_that_reads_the_new_history_is_waited_for(self) -> None:
        """One copy then serves the zone; but not for longer than its bound."""

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            old = join(1, 25)
            store = ScriptedStore(
                Snapshot({'o': Record(b'o', old)}, old),
                HistoryLostError('store-history-lost', '', 2),
            )
            bounds = bounds_for(APPLY_S)
            follower = RangeFollower(
                store, '', RecordingSink(), Random(1), bounds
            )
            # Another entry has its turn first.
            follower.stagger_position = 1
            follower.start()
            while ('wait', old) not in store.requests:
                await asyncio.sleep(0.01)
            began_at = loop.time()
            for nth in range(30):
                flowing_s = nth * 0.05
                follower.apply_update(
                    RelayedUpdate(old, 0.05, 0, flowing_s, 0, False, ())
                )
                await asyncio.sleep(0.05)
            await follower.close()
            read_at = store.requested_at[2]
            self.assertEqual(store.requests[2], ('read', 0))
            self.assertGreaterEqual(
                read_at - began_at, bounds.max_receiving_s - 0.05
            )
            self.assertLess(read_at - began_at, APPLY_S / 2)

        virtual.run(scenario())


class TurnsTest(unittest.TestCase):
    """Entries of a zone read a restored store one after the other."""

    async def read_after_s(self, era: int, position: int) -> float:
        """Return how long after a lost history an entry reads the store."""
        store = ScriptedStore(
            Snapshot({}, join(1, 25)),
            HistoryLostError('store-history-lost', '', era),
        )
        follower = RangeFollower(
            store, '', RecordingSink(), Random(1), bounds_for(APPLY_S)
        )
        follower.stagger_position = position
        follower.start()
        await asyncio.sleep(APPLY_S)
        await follower.close()
        self.assertEqual(store.requests[2], ('read', 0))
        return store.requested_at[2] - store.requested_at[1]

    def test_whole_copies_come_after_one_another(self) -> None:
        """A first copy is relayed before the others cross the link, too."""
        waited_s = [
            virtual.run(self.read_after_s(2, position))
            for position in (0, 1, 3, 4, 130)
        ]
        for found_s, expected_s in zip(
            waited_s, (0, 0.2, 0.6, 0.8, 0.8), strict=True
        ):
            self.assertAlmostEqual(found_s, expected_s, places=2)

    def test_a_history_that_was_only_shortened(self) -> None:
        """The store was not away, so the view must be confirmed sooner."""
        found_s = virtual.run(self.read_after_s(1, 130))
        self.assertAlmostEqual(found_s, 0.3, places=2)


class RollingUpdateTest(unittest.TestCase):
    """Processes that know no eras beside others that do."""

    def setUp(self) -> None:
        self.large = b'{' * LARGE_BYTES
        self.records = {
            'op/config': Record(self.large, join(2, 5)),
            'k': Record(b'k', join(2, 6)),
        }

    def relay(self) -> RangeFollower:
        """Return a follower that holds a range of the second history."""
        follower = RangeFollower(
            ScriptedStore(), '', RecordingSink(), Random(1), bounds_for(APPLY_S)
        )
        follower.mirror.replace_all(Snapshot(self.records, join(2, 6)), 0)
        return follower

    def test_a_subscriber_without_eras(self) -> None:
        """It gets the store's own numbers, and the whole range once."""

        async def scenario() -> None:
            net = MemoryNet(Random(1), 0, 0)
            relay_server = RangeRelayServer(self.relay())

            async def accept(stream: FrameStream) -> None:
                await relay_server.serve(stream, await stream.read())

            net.accepting[('t', 1)] = accept
            stream = await MemoryDialler(net).dial(('t', 1))
            await stream.write(
                FrameKind.RANGE_REQUEST, encode(RangeRequest(after=25))
            )
            first = await read_update(stream)
            second = await read_update(stream)
            stream.close()
            await net.close()
            self.assertTrue(first.whole)
            self.assertEqual(number_of(first.revision), 6)
            self.assertEqual(second.changes, ())

        virtual.run(scenario())

    def test_a_relay_without_eras(self) -> None:
        """Nothing is taken from it by an entry that knows one."""

        async def scenario() -> None:
            follower = self.relay()
            net = MemoryNet(Random(1), 0, 0)

            async def accept(stream: FrameStream) -> None:
                await stream.read()
                part = RangePart(revision=30, age_ms=5, flow_age_ms=-1)
                await stream.write(FrameKind.RANGE_PART, encode(part))

            net.accepting[('t', 1)] = accept
            stream = await MemoryDialler(net).dial(('t', 1))
            reader = RelayReader(stream, follower.mirror, 't')
            await reader.request()
            received = await reader.read()
            await net.close()
            self.assertEqual(received.revision, 30)
            self.assertLess(received.revision, follower.mirror.revision)

        virtual.run(scenario())


class HeldPayloadsTest(unittest.TestCase):
    """Large payloads are sent as patches within one history alone."""

    def test_a_held_payload_of_a_lost_history_is_no_base(self) -> None:
        """Two payloads under one number of the store are told apart."""

        async def scenario() -> None:
            lost = Record(b'{lost' * LARGE_BYTES, join(1, 5))
            new = Record(b'{new' * LARGE_BYTES, join(2, 5))
            net = MemoryNet(Random(1), 0, 0)
            relay = RangeFollower(
                ScriptedStore(),
                '',
                RecordingSink(),
                Random(1),
                bounds_for(APPLY_S),
            )
            relay.mirror.replace_all(Snapshot({'c': lost}, join(1, 5)), 0)
            relay_server = RangeRelayServer(relay)

            async def accept(stream: FrameStream) -> None:
                await relay_server.serve(stream, await stream.read())

            net.accepting[('t', 1)] = accept
            stream = await MemoryDialler(net).dial(('t', 1))
            subscriber = RangeFollower(
                ScriptedStore(),
                '',
                RecordingSink(),
                Random(1),
                bounds_for(APPLY_S),
            )
            reader = RelayReader(stream, subscriber.mirror, 't')
            await reader.request()
            subscriber.apply_update(await reader.read())
            relay.mirror.replace_all(Snapshot({'c': new}, join(2, 5)), 0)
            received = await reader.read()
            while not received.changes:
                received = await reader.read()
            await net.close()
            self.assertEqual(received.changes[0].record, new)

        virtual.run(scenario())

    def test_a_patch_of_an_older_version_than_is_held(self) -> None:
        """Its base may be forgotten, and the connection goes on."""

        async def scenario() -> None:
            base = Record(b'{old' * LARGE_BYTES, 1)
            late = Record(b'{new' * LARGE_BYTES, 2)
            newest = Record(b'{newest' * LARGE_BYTES, 9)
            relay = Mirror()
            relay.replace_all(Snapshot({'c': base}, 1), 0)
            relay.apply_changes((Change('c', late),), 2, 0)
            packed = pack((Change('c', late),), {'c': 1}, relay)
            held = Mirror()
            held.replace_all(Snapshot({'c': newest}, 9), 0)
            net = MemoryNet(Random(1), 0, 0)

            async def accept(stream: FrameStream) -> None:
                older = RangePart(
                    revision=2, age_ms=5, flow_age_ms=-1, items=True
                )
                await stream.write(FrameKind.RANGE_PART, encode(older))
                await stream.write(FrameKind.RANGE_ITEMS, packed)
                part = RangePart(revision=3, age_ms=5, flow_age_ms=-1)
                await stream.write(FrameKind.RANGE_PART, encode(part))

            net.accepting[('t', 1)] = accept
            stream = await MemoryDialler(net).dial(('t', 1))
            updates = [await read_update(stream, held) for _ in range(2)]
            await net.close()
            self.assertEqual([one.revision for one in updates], [2, 3])

        virtual.run(scenario())


if __name__ == '__main__':
    unittest.main()
