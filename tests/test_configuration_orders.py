"""Configurations that reach entries in drawn orders, by the store and relays.

Guards against an entry that keeps, or goes back to, an older configuration than
the newest one that it was told, or than the store had at the view's revision,
and against one that evacuates a zone again whose evacuation was ended.

Load pattern: answers of the store and updates of relays are made at one moment
and applied at another, in any order between connections: waits, whole reads in
pages with writes in between, whole ranges, patches, records that others retain.
Configurations are written late with a lower version, twice, or malformed; the
store forgets its history or is restored from a copy; entries restart.
"""

import asyncio
import functools
import itertools
import json
import unittest
from collections import deque
from random import Random

from linnetwood.calls.routetable import RouteTable
from linnetwood.core.errors import ConfigError, LinnetwoodError
from linnetwood.fleet.mirror import LARGE_BYTES
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelayserver import RangeRelayServer, _Subscriber
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    Record,
    Snapshot,
)
from linnetwood.fleet.relayreader import RelayReader
from linnetwood.fleet.revisions import era_of, join, number_of, same_era
from linnetwood.gen.wire.ttypes import RangeRequest
from linnetwood.lab import virtual
from linnetwood.platform import records
from linnetwood.programs.resident_entry import ResidentEntry
from linnetwood.wire.codec import decode
from linnetwood.wire.frames import Frame, FrameKind, FrameStream
from tests.process_settings import process_settings

# With the last two a key is deleted that others still retain.
SEEDS = (0, 1, 1050, 1096)
STEPS = 1000
SETTLE_STEPS = 12
PAUSES_S = (0.001, 0.001, 0.001, 0.02, 0.15)
ENTRIES = 4
ROUTES = 60
SERVICES = ('desk', 'hall')
JUNK = b'{"version": 99999}'
ZONE = 'z1'
EVACUATED = f'{records.EVACUATE_PREFIX}{ZONE}'
OTHERS = ('op/other-a', 'op/other-b', 'op/other-c')


def payload_of(version: int, moved: frozenset[int]) -> bytes:
    """Return a large configuration; some of its routes are at the hall."""
    routes = [
        {
            'name': f'r-{number}',
            'host': f'h-{number}.example',
            'path_prefix': '/a-longer-prefix-of-some-route/',
            'kind': 'non_idempotent',
            'timeout_ms': 6000,
            'service': SERVICES[number in moved],
        }
        for number in range(ROUTES)
    ]
    services = [{'name': name} for name in SERVICES]
    said = {'version': version, 'routes': routes, 'services': services}
    return json.dumps(said).encode()


class DrawnStore:
    """A store whose answers are made at once and delivered when released."""

    def __init__(self, rng: Random) -> None:
        """Start with one configuration and some other keys."""
        self.rng = rng
        self.records: dict[str, Record] = {}
        self.revision = join(1, 1)
        self.history_from = self.revision
        self.events: list[tuple[int, Change]] = []
        self.newest = 1
        self.gates: deque[asyncio.Event] = deque()
        self._moved: frozenset[int] = frozenset()
        self._payloads = [payload_of(1, self._moved)]
        for key in OTHERS:
            self.write(key, b'{}')
        self.write(records.CONFIG_KEY, self._payloads[0])

    def write(self, key: str, payload: bytes | None) -> None:
        """Write a key, or delete it."""
        self.revision += 1
        if payload is None:
            self.records.pop(key, None)
            change = Change(key, None, deleted_revision=self.revision)
        else:
            change = Change(key, Record(payload, self.revision))
            self.records[key] = Record(payload, self.revision)
        self.events.append((self.revision, change))

    def configure(self) -> None:
        """Write the next configuration, which moves some routes."""
        self.newest += self.rng.choice((1, 2, 50))
        self._moved ^= frozenset(self.rng.sample(range(ROUTES), 3))
        self._payloads.append(payload_of(self.newest, self._moved))
        self.write(records.CONFIG_KEY, self._payloads[-1])

    def configure_badly(self) -> None:
        """Write an earlier one, the same again, a malformed one, or none."""
        payloads = (*self._payloads[-3:], JUNK, None)
        self.write(records.CONFIG_KEY, self.rng.choice(payloads))

    def change_others(self) -> None:
        """Write or delete other keys, as servers do."""
        key = self.rng.choice((EVACUATED, *OTHERS))
        payload = self.rng.choice((b'{}', b'{"a": 1}', None))
        if payload is not None or key in self.records:
            self.write(key, payload)

    def forget(self) -> None:
        """Forget the history."""
        self.history_from = self.revision
        self.events.clear()

    def restore(self, copy: tuple[int, dict[str, Record]]) -> None:
        """Come back from a copy, in a new era."""
        revision, held = copy
        era = era_of(self.revision) + 1
        self.revision = join(era, number_of(revision))
        self.records = {
            key: Record(one.payload, join(era, number_of(one.revision)))
            for key, one in held.items()
        }
        self.forget()

    def copy(self) -> tuple[int, dict[str, Record]]:
        """Return a copy."""
        return self.revision, dict(self.records)

    def release(self) -> None:
        """Deliver one answer."""
        if self.gates:
            self.gates.popleft().set()

    async def read(self, prefix: str) -> Snapshot:
        """Read two pages, with writes in between."""
        keys = sorted((*self.records, EVACUATED, *OTHERS))
        middle = self.rng.randint(0, len(keys))
        revision = self.revision
        found = self._page(keys[:middle])
        await self._gate()
        found |= self._page(keys[middle:])
        if not same_era(revision, self.revision):
            raise self._lost()
        await self._gate()
        return Snapshot(found, revision)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes as of now, later."""
        if not same_era(after, self.revision) or after < self.history_from:
            await self._gate()
            raise self._lost()
        found = tuple(one for at, one in self.events if at > after)
        revision = self.revision
        await self._gate()
        return Changes(found, revision)

    def _page(self, keys: list[str]) -> dict[str, Record]:
        return {key: self.records[key] for key in keys if key in self.records}

    async def _gate(self) -> None:
        gate = asyncio.Event()
        self.gates.append(gate)
        try:
            await gate.wait()
        finally:
            if gate in self.gates:
                self.gates.remove(gate)

    def _lost(self) -> HistoryLostError:
        era = era_of(self.revision)
        return HistoryLostError('store-history-lost', '', era)


@functools.lru_cache(maxsize=64)
def table_of(payload: bytes) -> RouteTable:
    """Return a configuration, without a version where it is none."""
    try:
        return records.config(Record(payload, 1))
    except ConfigError:
        return RouteTable()


def version_of(record: Record | None) -> int:
    """Return the version of a configuration, 0 where it is none."""
    return 0 if record is None else table_of(record.payload).version


class ToldSink:
    """Pass on what an entry is told, and keep the newest configuration."""

    def __init__(self, entry: ResidentEntry) -> None:
        """Pass on to the entry's own feed."""
        self.newest = RouteTable()
        # Whether the store said that the zone is evacuated no longer.
        self.has_ended = False
        self._feed = entry._follower._sink
        self._apply_retained = entry._follower.retained._apply

    def replace_all(self, snapshot: Snapshot) -> None:
        """Replace the whole range."""
        self._note(snapshot.records.get(records.CONFIG_KEY))
        if snapshot.is_restored or EVACUATED in snapshot.records:
            self.has_ended = False
        self._feed.replace_all(snapshot)

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changes in order."""
        self._note_changes(changes)
        for change in changes:
            if change.key == EVACUATED:
                self.has_ended = change.record is None
        self._feed.apply_changes(changes)

    def apply_retained(self, changes: tuple[Change, ...]) -> None:
        """Apply retained records."""
        self._note_changes(changes)
        self._apply_retained(changes)

    def mark_unreachable(self) -> None:
        """Note that the store could not be reached."""
        self._feed.mark_unreachable()

    def _note_changes(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.key == records.CONFIG_KEY:
                self._note(change.record)

    def _note(self, record: Record | None) -> None:
        found = RouteTable() if record is None else table_of(record.payload)
        if found.version > self.newest.version:
            self.newest = found


class Pipe(FrameStream):
    """One direction of a connection: frames that wait to be read."""

    def __init__(self) -> None:
        super().__init__()
        self.frames: deque[Frame] = deque()

    async def write(self, kind: FrameKind, payload: bytes) -> None:
        """Keep a frame."""
        self.frames.append(Frame(kind, payload))

    async def read_within(self, silent_s: float) -> Frame:
        """Return the next frame; there must be one."""
        return self.frames.popleft()


class Duplex(Pipe):
    """The subscriber's end: what it writes is kept apart."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: deque[Frame] = deque()

    async def write(self, kind: FrameKind, payload: bytes) -> None:
        """Keep a request."""
        self.requests.append(Frame(kind, payload))


class Fleet:
    """Entries, and the connections from each one to all others."""

    def __init__(self, rng: Random) -> None:
        """Start no entry."""
        self.rng = rng
        self.store = DrawnStore(rng)
        self.entries: list[FleetEntry] = []
        self.findings: list[str] = []
        self.copy = self.store.copy()

    async def play(self) -> list[str]:
        """Take drawn steps; return what was wrong."""
        self.entries = [FleetEntry(self) for _ in range(ENTRIES)]
        steps = (
            *(self.store.configure,) * 3,
            self.store.configure_badly,
            *(self.store.change_others,) * 3,
            *(self.store.release,) * 8,
            *(self.ask,) * 8,
            *(self.send,) * 8,
            *(self.receive,) * 10,
        )
        rare = (self.store.forget, self.save, self.restore, self.restart)
        for step in range(STEPS):
            chosen = self.rng.choice(steps)
            if not self.rng.randrange(60):
                chosen = self.rng.choice(rare)
            found = chosen()
            if found is not None:
                await found
            await asyncio.sleep(self.rng.choice(PAUSES_S))
            for number, entry in enumerate(self.entries):
                self.check(f'step {step} entry {number}', entry)
        await self.settle()
        for entry in self.entries:
            await entry.close()
        return self.findings

    async def settle(self) -> None:
        """Answer all requests, until each entry has read the whole store."""
        for _ in range(SETTLE_STEPS):
            for entry in self.entries:
                entry.ask()
            await self._answer_all()
            await self._relay_all()
        for number, entry in enumerate(self.entries):
            if entry.follower.revision != self.store.revision:
                self.findings.append(f'entry {number} never read the store')
            self.check(f'end entry {number}', entry)

    async def _answer_all(self) -> None:
        await asyncio.sleep(max(PAUSES_S))
        while self.store.gates:
            self.store.release()
            await asyncio.sleep(max(PAUSES_S))

    async def _relay_all(self) -> None:
        for entry, relay in itertools.permutations(self.entries, 2):
            if relay.follower.revision:
                connection = entry.connection(relay)
                await connection.send()
                while connection.stream.frames:
                    await connection.receive()

    def save(self) -> None:
        """Copy the store."""
        self.copy = self.store.copy()

    def restore(self) -> None:
        """Restore the store from the last copy."""
        self.store.restore(self.copy)

    async def restart(self) -> None:
        """End an entry, and start another in its place."""
        number = self.rng.randrange(ENTRIES)
        await self.entries[number].close()
        self.entries[number] = FleetEntry(self)

    def ask(self) -> None:
        """Let an entry send a request to the store."""
        self.rng.choice(self.entries).ask()

    async def send(self) -> None:
        """Let an entry send an update to another one."""
        entry, relay = self.rng.sample(self.entries, 2)
        if relay.follower.revision:
            await entry.connection(relay).send()

    async def receive(self) -> None:
        """Let an entry read an update."""
        entry = self.rng.choice(self.entries)
        waiting = [
            one for one in entry.connections.values() if one.stream.frames
        ]
        if waiting:
            await self.rng.choice(waiting).receive()

    def check(self, where: str, entry: 'FleetEntry') -> None:
        """Compare what is in force with what the entry was told."""
        in_force = entry.resident.route_table
        told = entry.told.newest
        if in_force.version < entry.version:
            self.findings.append(f'{where}: went back to {in_force.version}')
        entry.version = in_force.version
        if (in_force.version, in_force.by_host) != (told.version, told.by_host):
            self.findings.append(
                f'{where}: {in_force.version} in force, {told.version} told'
            )
        if entry.told.has_ended and entry.resident.directory.evacuated:
            self.findings.append(f'{where}: evacuates a zone again')
        held = 0
        if entry.follower.revision == self.store.revision:
            held = version_of(self.store.records.get(records.CONFIG_KEY))
        if in_force.version < held:
            self.findings.append(
                f'{where}: {in_force.version} in force, {held} in the store'
            )


class FleetEntry:
    """One entry, whose requests and connections are driven by hand."""

    def __init__(self, fleet: Fleet) -> None:
        """Start with nothing known."""
        self.fleet = fleet
        self.resident = ResidentEntry(process_settings())
        self.follower: RangeFollower = self.resident._follower
        self.told = ToldSink(self.resident)
        self.follower._sink = self.told
        self.follower._store = fleet.store
        self.follower.retained._apply = self.told.apply_retained
        self.server = RangeRelayServer(self.follower)
        self.connections: dict[FleetEntry, Connection] = {}
        self.version = 0
        self._asking: asyncio.Task[None] | None = None

    def ask(self) -> None:
        """Send a request to the store, unless one is in progress."""
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask())

    def connection(self, relay: 'FleetEntry') -> 'Connection':
        """Return the connection to a relay, new if there is none."""
        if relay not in self.connections:
            self.connections[relay] = Connection(self, relay)
        return self.connections[relay]

    async def close(self) -> None:
        """End the entry and its connections."""
        for entry in self.fleet.entries:
            entry.connections.pop(self, None)
        if self._asking is not None:
            self._asking.cancel()
            await asyncio.gather(self._asking, return_exceptions=True)
        self.resident.driver.close()

    async def _ask(self) -> None:
        follower = self.follower
        try:
            await follower._request()
        except HistoryLostError as exc:
            now = asyncio.get_running_loop().time()
            follower._history.note_lost(exc.era, follower.revision, now)


class Connection:
    """A subscription of an entry to a relay."""

    def __init__(self, entry: FleetEntry, relay: FleetEntry) -> None:
        """Send no request yet."""
        self.stream = Duplex()
        self._down = Pipe()
        self._down.frames = self.stream.frames
        self._entry = entry
        self._relay = relay
        self._is_remote = bool(entry.fleet.rng.randrange(2))
        self._reader = RelayReader(
            self.stream,
            entry.follower.mirror,
            'relay',
            is_remote=self._is_remote,
        )
        self._subscriber: _Subscriber | None = None

    async def send(self) -> None:
        """Send an update of the relay."""
        if self._subscriber is None:
            await self._reader.request()
        while self.stream.requests:
            request = decode(
                RangeRequest, self.stream.requests.popleft().payload
            )
            if self._subscriber is None:
                self._subscriber = _Subscriber(request)
            else:
                self._subscriber.note_request(request)
        assert self._subscriber is not None
        await self._relay.server._send_update(self._down, self._subscriber)

    async def receive(self) -> None:
        """Read an update, and apply it."""
        follower = self._entry.follower
        try:
            update = await self._reader.read()
        except LinnetwoodError:
            self._entry.connections.pop(self._relay, None)
            return
        if self._is_remote:
            follower.apply_remote_update(update)
        else:
            follower.apply_update(update)


class ConfigurationOrdersTest(unittest.TestCase):
    """Let configurations reach entries in drawn orders."""

    def test_entries_act_by_the_newest_that_they_were_told(self) -> None:
        """Whichever way it came, and whatever comes after it."""
        self.assertGreater(len(payload_of(1, frozenset())), LARGE_BYTES)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(virtual.run(play(seed))[:5], [])


async def play(seed: int) -> list[str]:
    """Play the steps of a seed; return what was wrong."""
    return await Fleet(Random(seed)).play()


if __name__ == '__main__':
    unittest.main()
