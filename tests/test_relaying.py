"""Changes of the store that entries of one availability zone relay."""

import asyncio
import functools
import unittest
from collections.abc import Awaitable, Callable, Iterable
from random import Random

from hypothesis import given, strategies

from linnetwood.core.errors import StoreError
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.freshness import bounds_for
from linnetwood.fleet.mirror import Mirror
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelay import RangeSubscriber
from linnetwood.fleet.rangerelayserver import RangeRelayServer
from linnetwood.fleet.ranges import Change, Changes, Record, Snapshot
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.lab import virtual
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet
from linnetwood.wire.frames import FrameStream

PORT = 7700
ENTRIES = 13
APPLY_S = 3.0
LARGE_BYTES = 400000
LINK_BYTES_PER_S = 1500000
ROUND_TRIP_S = 0.006
PIECE_BYTES = 16384
KEY = 'op/config'


class FarStore:
    """Serve one range over a link that all its readers share."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {KEY: Record(b'1', 1)}
        self.events: list[Change] = []
        self.revision = 1
        self.sent = 0
        self.calls = 0
        self.cut: set[str] = set()
        self.changed = asyncio.Event()
        self._free_at = float()

    def write(self, payload: bytes, key: str = KEY) -> None:
        """Write a key again."""
        self.revision += 1
        self.records[key] = Record(payload, self.revision)
        self.events.append(Change(key, self.records[key]))
        self.changed.set()
        self.changed = asyncio.Event()

    async def carry(self, size: int, on_bytes: Callable[[], None]) -> None:
        """Wait for the time that bytes take on the link, piece by piece."""
        loop = asyncio.get_running_loop()
        while size > 0:
            piece = min(size, PIECE_BYTES)
            size -= piece
            self.sent += piece
            begin = max(self._free_at, loop.time())
            self._free_at = begin + piece / LINK_BYTES_PER_S
            await asyncio.sleep(self._free_at - loop.time())
            on_bytes()
        await asyncio.sleep(ROUND_TRIP_S)


def ignore_bytes() -> None:
    """Ignore that a piece arrived."""


class StoreLink:
    """The link of one entry to the store."""

    def __init__(self, store: FarStore, name: str) -> None:
        self._store = store
        self._name = name
        self.on_bytes: Callable[[], None] = ignore_bytes

    async def read(self, prefix: str) -> Snapshot:
        """Read everything."""
        await self._connect()
        found = Snapshot(dict(self._store.records), self._store.revision)
        await self._store.carry(_size(found.records.values()), self.on_bytes)
        return found

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes since a revision."""
        await self._connect()
        store = self._store
        if store.revision <= after:
            await wait_for_event(store.changed, wait_s)
        await self._connect()
        # All writes are sent, also those that a later one replaced.
        changes = tuple(
            change
            for change in store.events
            if change.record is not None and change.record.revision > after
        )
        revision = store.revision
        await store.carry(
            _size(change.record for change in changes), self.on_bytes
        )
        return Changes(changes, revision)

    async def _connect(self) -> None:
        self._store.calls += 1
        if self._name in self._store.cut:
            await asyncio.sleep(ROUND_TRIP_S)
            raise StoreError('store-unreachable', 'cut')


def _size(records: Iterable[Record | None]) -> int:
    return 100 + sum(
        len(record.payload) for record in records if record is not None
    )


class NewestSink:
    """A sink that records when the newest payload arrived."""

    def __init__(self) -> None:
        self.payload = b''
        self.applied_at = float()
        self.ages: list[float] = []
        self.outages = 0

    def replace_all(self, found: Snapshot) -> None:
        self._take(found.records[KEY])

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.record is not None:
                self.ages.append(change.age_s)
                self._take(change.record)

    def mark_unreachable(self) -> None:
        self.outages += 1

    def _take(self, record: Record) -> None:
        self.payload = record.payload
        self.applied_at = asyncio.get_running_loop().time()


class Entry:
    """One entry: it follows the store, relays, and subscribes to a relay."""

    def __init__(self, name: str, store: FarStore, net: MemoryNet) -> None:
        self.name = name
        self.sink = NewestSink()
        self.selector = RelaySelector(name, Random(1))
        link = StoreLink(store, name)
        self.follower = RangeFollower(
            link,
            '',
            self.sink,
            Random(2),
            bounds_for(APPLY_S),
        )
        link.on_bytes = self.follower.note_bytes
        self.subscriber = RangeSubscriber(
            self.follower,
            self.selector,
            MemoryDialler(net),
            PORT,
        )
        self.relay_server = RangeRelayServer(self.follower)
        self._net = net

    async def accept(self, stream: FrameStream) -> None:
        """Serve one subscriber."""
        await self.relay_server.serve(stream, await stream.read())

    def start(self) -> None:
        self._net.accepting[(self.name, PORT)] = self.accept
        self.follower.start()
        self.subscriber.start()

    async def close(self) -> None:
        await self.subscriber.close()
        await self.follower.close()


class Zone:
    """All entries of an availability zone, which know each other."""

    def __init__(self) -> None:
        self.store = FarStore()
        self.net = MemoryNet(Random(3), 0, 0)
        self.entries = [
            Entry(f'10.0.0.{number}', self.store, self.net)
            for number in range(ENTRIES)
        ]
        self._gone: set[str] = set()
        self._announcing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Make all entries learn the range and subscribe to the first relay."""
        self._announcing = asyncio.create_task(self._announce())
        for entry in self.entries:
            entry.start()
        await asyncio.sleep(5)
        self.store.sent = 0
        self.store.calls = 0

    async def close(self) -> None:
        if self._announcing is not None:
            self._announcing.cancel()
        for entry in self.entries:
            await entry.close()
        await self.net.close()

    def first_relay(self) -> Entry:
        """Return the entry that has no relay."""
        now = asyncio.get_running_loop().time()
        unsubscribed = [
            entry
            for entry in self.entries
            if entry.selector.choose(now) is None
        ]
        return unsubscribed[0]

    def subscriber_of_first(self) -> Entry:
        """Return an entry that subscribes to the first relay."""
        now = asyncio.get_running_loop().time()
        name = self.first_relay().name
        return next(
            entry
            for entry in self.entries
            if entry.selector.choose(now) == name
        )

    async def kill(self, entry: Entry) -> None:
        """End a process without notice."""
        self._gone.add(entry.name)
        self.entries.remove(entry)
        self.net.drop((entry.name, PORT))
        await entry.close()

    async def _announce(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            names = [entry.name for entry in self.entries]
            for entry in self.entries:
                entry.selector.note_seen(names, now)
            await asyncio.sleep(1)


def payloads(zone: Zone) -> set[bytes]:
    """Return the payloads that the entries hold."""
    return {entry.sink.payload for entry in zone.entries}


def run_scenario(act: Callable[[Zone], Awaitable[None]]) -> None:
    """Run act in virtual time, in a zone whose entries know the range."""

    async def scenario() -> None:
        zone = Zone()
        try:
            await zone.start()
            await act(zone)
        finally:
            await zone.close()

    virtual.run(scenario())


class ZoneTest(unittest.TestCase):
    """Change the range, and check when and at what cost all know it."""

    def test_one_copy_crosses(self) -> None:
        """A large change reaches all in time, for little more than one copy."""

        async def act(zone: Zone) -> None:
            for mark in (b'2', b'3', b'4'):
                zone.store.write(mark * LARGE_BYTES)
                await asyncio.sleep(0.3)
            await asyncio.sleep(APPLY_S - 0.3)
            self.assertEqual(payloads(zone), {b'4' * LARGE_BYTES})
            # Three versions, and the second relay may have read one, too.
            self.assertLess(zone.store.sent, 4 * LARGE_BYTES)

        run_scenario(act)

    def test_few_send_requests(self) -> None:
        """While nothing changes, one entry waits at the store for all."""

        async def act(zone: Zone) -> None:
            await asyncio.sleep(10)
            each_s = bounds_for(APPLY_S).wait_s
            # Each wait counts twice, when it begins and when it ends.
            self.assertLess(zone.store.calls, 2 * 10 / each_s + 4)

        run_scenario(act)

    def test_a_relay_that_fails(self) -> None:
        """All others know a change in time though their relay does not."""
        for name in ('dead', 'frozen', 'cut off from the store'):
            with self.subTest(relay=name):
                run_scenario(functools.partial(self._fail, name))

    def test_all_refused(self) -> None:
        """All catch up in time though the store refused all of them."""

        async def act(zone: Zone) -> None:
            zone.store.cut.update(entry.name for entry in zone.entries)
            for mark in (b'2', b'3', b'4', b'5', b'6'):
                await asyncio.sleep(1.8)
                zone.store.write(mark * LARGE_BYTES)
            zone.store.cut.clear()
            back_at = asyncio.get_running_loop().time()
            await asyncio.sleep(2 * APPLY_S)
            self.assertEqual(payloads(zone), {b'6' * LARGE_BYTES})
            late_s = (
                max(entry.sink.applied_at for entry in zone.entries) - back_at
            )
            self.assertLess(late_s, APPLY_S)

        run_scenario(act)

    def test_ages_are_relayed(self) -> None:
        """An entry that gets a change late knows the change's age."""

        async def act(zone: Zone) -> None:
            late_entry = next(
                entry
                for entry in zone.entries
                if entry is not zone.first_relay()
            )
            await late_entry.close()
            zone.store.cut.add(late_entry.name)
            zone.store.write(b'2')
            await asyncio.sleep(2)
            late_entry.start()
            await asyncio.sleep(0.5)
            self.assertEqual(late_entry.sink.payload, b'2')
            self.assertAlmostEqual(late_entry.sink.ages[-1], 2, delta=0.1)

        run_scenario(act)

    def test_outages_are_relayed(self) -> None:
        """A subscriber learns that the store was unreachable for its relay."""

        async def act(zone: Zone) -> None:
            first = zone.first_relay()
            second = zone.subscriber_of_first()
            zone.store.cut.add(first.name)
            while not first.sink.outages:
                await asyncio.sleep(0.01)
            zone.store.cut.clear()
            await asyncio.sleep(1)
            self.assertGreater(second.sink.outages, 0)

        run_scenario(act)

    async def _fail(self, name: str, zone: Zone) -> None:
        first = zone.first_relay()
        loop = asyncio.get_running_loop()
        if name == 'dead':
            await zone.kill(first)
        elif name == 'frozen':
            zone.net.frozen_until[(first.name, PORT)] = loop.time() + 60
            zone.store.cut.add(first.name)
        else:
            zone.store.cut.add(first.name)
        written_at = loop.time()
        zone.store.write(b'2')
        await asyncio.sleep(APPLY_S)
        for entry in zone.entries:
            if entry is not first:
                self.assertEqual(entry.sink.payload, b'2')
                self.assertLess(
                    entry.sink.applied_at - written_at, APPLY_S * 0.75
                )


KEYS = strategies.sampled_from('abc')
WRITES = strategies.lists(
    strategies.tuples(KEYS, strategies.booleans()),
    max_size=30,
)


class MirrorTest(unittest.TestCase):
    """A copy that applies a mirror's delta holds what the mirror holds."""

    @given(WRITES, strategies.integers(0, 30), strategies.integers(0, 30))
    def test_delta(
        self,
        writes: list[tuple[str, bool]],
        started: int,
        known: int,
    ) -> None:
        """This holds from any revision, whether the mirror had it or not."""
        started = min(started, len(writes))
        known = min(known, len(writes))
        mirror = Mirror()
        mirror.replace_all(
            Snapshot(_records_after(writes[:started]), started), 0
        )
        for revision, (key, deleted) in enumerate(writes, 1):
            record = None if deleted else Record(b'', revision)
            if revision > started:
                mirror.apply_changes((Change(key, record),), revision, 0)
        delta = mirror.delta_since(known, 0)
        held = {} if delta.whole else _records_after(writes[:known])
        for change in delta.changes:
            held.pop(change.key, None)
            if change.record is not None:
                held[change.key] = change.record
        self.assertEqual(delta.revision, len(writes))
        self.assertEqual(held, _records_after(writes))


def _records_after(writes: list[tuple[str, bool]]) -> dict[str, Record]:
    held: dict[str, Record] = {}
    for revision, (key, deleted) in enumerate(writes, 1):
        held.pop(key, None)
        if not deleted:
            held[key] = Record(b'', revision)
    return held


class RelaySelectorTest(unittest.TestCase):
    """Choose relays."""

    def test_order(self) -> None:
        """No entry subscribes to itself by way of others, whoever it knows."""
        names = [f'10.0.0.{number}' for number in range(40)]
        rng = Random(5)
        relay_of = {}
        for name in names:
            selector = RelaySelector(name, Random(1))
            selector.note_seen(rng.sample(names, 20), 0)
            relay_of[name] = selector.choose(0)
        for name in names:
            seen = [name]
            while relay_of[seen[-1]] is not None:
                seen.append(str(relay_of[seen[-1]]))
                self.assertLessEqual(len(seen), len(names))

    def test_a_failed_relay_has_a_cooldown(self) -> None:
        """The second relay takes over, and then the store itself."""
        names = [f'10.0.0.{number}' for number in range(5)]
        last = RelaySelector(names[0], Random(1))
        for name in names:
            selector = RelaySelector(name, Random(1))
            selector.note_seen(names, 0)
            first = selector.choose(0)
            if first is not None:
                last = selector
                selector.note_failure(first, 0)
                second = selector.choose(0)
                if second is not None:
                    self.assertNotEqual(first, second)
                    selector.note_failure(second, 0)
                    self.assertIsNone(selector.choose(0))
                selector.note_seen(names, 5)
                self.assertEqual(selector.choose(5), first)
        last.note_seen((), 9)
        self.assertIsNone(last.choose(9))


if __name__ == '__main__':
    unittest.main()
