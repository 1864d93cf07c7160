"""What operators wrote last, where the store came back without it.

Guards against an entry that starts between the return of a restored store and
the operators' next write: it read the older configuration or version from the
copy and handled calls by it, while its neighbours kept the newer one in force.
"""

import asyncio
import socket
import unittest
from collections.abc import Callable
from random import Random

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.retained import RetainedRecords
from linnetwood.fleet.revisions import join
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab.memory_net import MemoryNet
from linnetwood.lab.soak import standstore
from linnetwood.platform.feeds import OperatorFeed
from tests.clocks import ManualClock
from tests.test_curldriver import HOST
from tests.test_junk import record_of
from tests.test_restored_store import GUARD_S, POLL_S, Entry

CONFIG = 'op/config'
VERSION = 'op/version/m'
OLD, NEW = b'1', b'2'
# Two entries are relays of the others; a third starts late.
NAMES = ('10.0.0.1', '10.0.0.2')
LATE = '10.0.0.3'


class StartingEntryTest(unittest.IsolatedAsyncioTestCase):
    """Start an entry after the store has come back from a copy."""

    async def asyncSetUp(self) -> None:
        self.state = standstore.StoreState()
        sockets = bind_sockets(0, HOST)
        self._server = HTTPServer(standstore.application(self.state))
        self._server.add_sockets(sockets)
        self._port = int(sockets[0].getsockname()[1])
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            self._closed_port = int(unused.getsockname()[1])
        self._net = MemoryNet(Random(3), 0, 0)
        self._entries = [Entry(one, self._port, self._net) for one in NAMES]
        self._announcing = asyncio.create_task(self._announce())
        self.state.write(CONFIG, OLD)
        copy = self.state.copy()
        for entry in self._entries:
            entry.start()
        self.state.write(CONFIG, NEW)
        self.state.write(VERSION, NEW)
        await self._until(lambda: self._all_view(CONFIG, NEW))
        self.state.restore(copy)
        self.state.wake_watches()
        await self._until(lambda: self._all_view(CONFIG, OLD))

    async def asyncTearDown(self) -> None:
        self._announcing.cancel()
        for entry in self._entries:
            await entry.close()
        await self._net.close()
        self._server.stop()

    async def test_it_learns_what_is_in_force(self) -> None:
        """Whether it reads the store itself or a relay alone."""
        for port in (self._port, self._closed_port):
            with self.subTest(reaches_store=port == self._port):
                await self._start_and_compare(port)

    async def test_nothing_is_kept_that_was_written_again(self) -> None:
        """An entry that starts afterwards gets only what is still missing."""
        self.state.write(CONFIG, b'3')
        await self._until(lambda: self._all_view(CONFIG, b'3'))
        late = self._start_late(self._port)
        await self._until(lambda: late.sink.retained == {VERSION: NEW})
        self.state.write(VERSION, NEW)
        await self._until(lambda: self._all_view(VERSION, NEW))
        for entry in self._entries:
            self.assertEqual(entry.follower.retained.changes(0), ())

    async def _start_and_compare(self, port: int) -> None:
        late = self._start_late(port)
        lost = {CONFIG: NEW, VERSION: NEW}
        await self._until(lambda: late.sink.retained == lost)
        await self._until(lambda: self._all_view(CONFIG, OLD))
        self._entries.remove(late)
        await late.close()

    def _start_late(self, port: int) -> Entry:
        late = Entry(LATE, port, self._net)
        self._entries.append(late)
        late.start()
        return late

    async def _announce(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            for entry in self._entries:
                entry.selector.note_seen([*NAMES, LATE], now)
            await asyncio.sleep(0.1)

    def _all_view(self, key: str, payload: bytes) -> bool:
        return all(
            entry.sink.view.get(key) == payload for entry in self._entries
        )

    async def _until(self, is_so: Callable[[], bool]) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + GUARD_S
        while not is_so():
            held = [(one.sink.view, one.sink.retained) for one in self._entries]
            self.assertLess(loop.time(), until, f'{held}')
            await asyncio.sleep(POLL_S)


class RetainedRecordsTest(unittest.TestCase):
    """Which records are retained, and for how long."""

    def setUp(self) -> None:
        self.retained = RetainedRecords('op/')

    def restore(self, era: int, before: bytes, copied: bytes) -> None:
        """Restore a store that held one configuration and holds another."""
        change = Change(CONFIG, Record(before, join(era - 1, 9)), 2)
        record = Record(copied, join(era, 5))
        found = Snapshot({CONFIG: record}, join(era, 5), is_restored=True)
        self.retained.note_restored([change], found, 10)

    def test_two_restorations_in_a_row(self) -> None:
        """What the first one lost stays retained, with its age."""
        self.restore(2, NEW, OLD)
        self.restore(3, OLD, OLD)
        self.assertEqual(
            self.retained.changes(11),
            (Change(CONFIG, Record(NEW, join(1, 9)), 3),),
        )

    def test_dropped_once_written_again(self) -> None:
        """Also where that write is seen in a whole read alone."""
        self.restore(2, NEW, OLD)
        record = Record(OLD, join(2, 5))
        self.retained.note_read(Snapshot({CONFIG: record}, join(2, 8)))
        self.assertEqual(len(self.retained.changes(11)), 1)
        record = Record(NEW, join(2, 9))
        self.retained.note_read(Snapshot({CONFIG: record}, join(2, 9)))
        self.assertEqual(self.retained.changes(11), ())

    def test_a_deleted_record_does_not_come_back(self) -> None:
        """Guards against a zone that stays evacuated after its evacuation.

        Another entry had not heard of the deletion, or not of this one, and
        still told the record that it retained.
        """
        key = 'op/evacuate/z1'
        told = Change(key, Record(b'{}', join(1, 9)))
        self.retained.add((told,), join(2, 5), 10)
        self.retained.note_changes((Change(key, None),), join(2, 8))
        for revision in (join(2, 7), join(2, 9)):
            self.retained.add((told,), revision, 11)
            self.assertEqual(self.retained.changes(11), ())
        written = Change(key, Record(b'{}', join(2, 12)))
        self.retained.note_changes((written,), join(2, 12))
        self.retained.add((written,), join(3, 4), 12)
        self.assertEqual(len(self.retained.changes(12)), 1)

    def test_other_keys(self) -> None:
        """Records that nobody writes again by intent are not retained."""
        change = Change('servers/i-1', Record(NEW, join(1, 9)))
        found = Snapshot({}, join(2, 5), is_restored=True)
        self.retained.note_restored([change], found, 10)
        self.assertEqual(self.retained.changes(11), ())


class FeedTest(unittest.TestCase):
    """How an entry that starts applies retained records."""

    def test_they_hold_until_written_again(self) -> None:
        """A version's bound counts from when others saw it named."""
        wanted = WantedVersions(8)
        evacuated: list[frozenset[str]] = []
        feed = OperatorFeed(
            _adopt, wanted, ManualClock(), _changed, evacuate=evacuated.append
        )
        named = record_of({'model': 'm', 'version': 2})
        feed.replace_all(Snapshot({}, join(2, 5)))
        retained = (
            Change(VERSION, named, 3),
            Change('op/evacuate/z1', record_of({}), 3),
        )
        feed.apply_retained(retained)
        cutoff = wanted.cutoff('m', 2)
        self.assertEqual(wanted.newest('m'), 2)
        self.assertEqual(evacuated, [{'z1'}])
        written = Record(named.payload, join(2, 9))
        feed.apply_changes((Change(VERSION, written),))
        self.assertEqual(wanted.cutoff('m', 2), cutoff)


def _adopt(route_table: object) -> None:
    """Ignore configurations."""


def _changed() -> None:
    """Ignore changes."""


if __name__ == '__main__':
    unittest.main()
