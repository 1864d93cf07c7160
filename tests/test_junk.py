"""Records and answers that somebody else wrote, or that were spoilt.

Whatever stands in a record, no error leaves the feed, what was spoilt names
nothing to use, and all others hold.
"""

import json
import unittest
from collections.abc import Iterator
from typing import Any

from hypothesis import example, given, settings, strategies

from linnetwood.calls.crashes import CrashHistory
from linnetwood.calls.directory import Directory
from linnetwood.calls.routetable import RouteTable
from linnetwood.core.clock import SystemClock
from linnetwood.core.errors import (
    CodecError,
    LinnetwoodError,
    OrderError,
    StoreError,
    WeightsError,
)
from linnetwood.fleet.rangecodec import unpack
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.crashstore import CrashFeed
from linnetwood.platform.feeds import EndpointFeed, OperatorFeed, StoreFeed
from linnetwood.platform.store import PlatformStore
from linnetwood.platform.weights import PlatformOrigin, ServerEngine
from linnetwood.wire.curldriver import CurlDriver
from tests.test_curldriver import HOST, ScriptedServer
from tests.test_records import CONFIG

ENTRY: dict[str, Any] = {
    'service': 'pool',
    'address': '10.1.0.9:8080',
    'zone': 'z1',
    'version': 'v1',
    'slots': 16,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'stage': 'combined',
    'models': [{'name': 'm-1', 'version': 1, 'adapters': []}],
    'sequence': 4,
    'born': 1764723600000,
}
MISSING = 'no such field'
NOT_NEEDED = ('stage', 'models', 'born')
# Of these no field of an entry is sound.
JUNK: tuple[object, ...] = (
    None,
    True,
    -1,
    0.5,
    1e30,
    float('nan'),
    '',
    'nowhere',
    [],
    [{}],
    {},
    {'a': 1},
)
SOUND: dict[str, tuple[object, ...]] = {
    'service': ('nowhere',),
    'zone': ('nowhere',),
    'version': ('nowhere',),
    'stage': ('nowhere',),
    'models': ([],),
    'cold_remaining_ms': (0.5, 1e30),
}
DEEP = (b'[' * 100000, b'{"a":' * 100000)


class Fed:
    """A feed, and what came of it."""

    def __init__(self) -> None:
        self.directory = Directory()
        self.route_table = RouteTable()
        self.wanted = WantedVersions(8)
        clock = SystemClock()
        self.feed = StoreFeed(
            OperatorFeed(self._adopt, self.wanted, clock, self._changed),
            EndpointFeed(self.directory, clock, self._changed),
            CrashFeed(CrashHistory(), clock),
        )
        self.feed.replace_all(
            Snapshot(
                {
                    'op/config': told(CONFIG),
                    'op/version/m-1': told({'model': 'm-1', 'version': 2}),
                    'servers/a': told(ENTRY),
                    'servers/b': told({**ENTRY, 'address': '10.1.0.8:8080'}),
                },
                9,
            ),
        )

    def names(self) -> set[str]:
        """Give the endpoints in use."""
        return {one.endpoint_id for one in self.directory.eligible('pool', 0)}

    def change(self, key: str, payload: bytes) -> None:
        """Write one key."""
        self.feed.apply_changes((Change(key, Record(payload, 10)),))

    def _adopt(self, route_table: RouteTable) -> None:
        self.route_table = route_table

    def _changed(self) -> None:
        """Note nothing."""


def told(said: object) -> Record:
    """Give a record as the store holds it."""
    return Record(json.dumps(said).encode(), 9)


def spoilt(said: dict[str, Any], field: str, junk: object) -> bytes:
    """Spoil or leave out one field."""
    kept = {key: one for key, one in said.items() if key != field}
    if junk != MISSING:
        kept[field] = junk
    return json.dumps(kept).encode()


def junk_fields() -> list[tuple[str, object]]:
    """Give each field of an entry with what it can't be."""
    rows: list[tuple[str, object]] = []
    for field in ENTRY:
        rows.extend(
            (field, junk) for junk in JUNK if junk not in SOUND.get(field, ())
        )
        if field not in NOT_NEEDED:
            rows.append((field, MISSING))
    return rows


def places(said: Any) -> Iterator[tuple[Any, Any]]:
    """Yield every place inside a value, outermost first."""
    keys = said if isinstance(said, dict) else range(len(said))
    for key in keys:
        yield said, key
        if isinstance(said[key], dict | list):
            yield from places(said[key])


class JunkTest(unittest.TestCase):
    """Spoil one record after the other."""

    def test_entries(self) -> None:
        """An endpoint is out of use while its entry is spoilt, others are not.

        That holds whether the entry changes or the whole list is read again.
        """
        for field, junk in junk_fields():
            with self.subTest(field=field, junk=repr(junk)):
                fed = Fed()
                payload = spoilt(ENTRY, field, junk)
                fed.change('servers/a', payload)
                self.assertEqual(fed.names(), {'b'})
                fed.change('servers/a', told(ENTRY).payload)
                self.assertEqual(fed.names(), {'a', 'b'})
                found = {
                    'servers/a': Record(payload, 11),
                    'servers/b': told(ENTRY),
                }
                fed.feed.replace_all(Snapshot(found, 11))
                self.assertEqual(fed.names(), {'b'})

    @given(
        strategies.sampled_from(
            ['servers/a', 'op/config', 'op/version/m-1', 'op/x', 'servers/'],
        ),
        strategies.binary(max_size=99)
        | strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.floats()
            | strategies.integers()
            | strategies.text(max_size=9),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from([*ENTRY, *CONFIG]),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=9,
        ).map(lambda said: json.dumps(said).encode()),
    )
    @example('servers/a', DEEP[0])
    @example('op/config', DEEP[1])
    @example('op/version/m-1', DEEP[0])
    def test_bytes(self, key: str, payload: bytes) -> None:
        """The sound rest goes on, and a configuration stays in force."""
        fed = Fed()
        fed.change(key, payload)
        self.assertIn('b', fed.names())
        self.assertEqual(fed.route_table.version, CONFIG['version'])
        self.assertEqual(fed.wanted.newest('m-1'), 2)

    @settings(max_examples=300)
    @given(strategies.data())
    def test_configurations(self, chance: strategies.DataObject) -> None:
        """One spoilt value anywhere: an error, or a book that can be used."""
        said = json.loads(json.dumps(CONFIG))
        place, key = chance.draw(strategies.sampled_from(list(places(said))))
        place[key] = chance.draw(strategies.sampled_from(JUNK))
        fed = Fed()
        fed.change('op/config', json.dumps(said).encode())
        route = fed.route_table.find('host1.example', '/c/x')
        if route is not None:
            self.assertGreater(route.timeout_s, 0)
            self.assertIsInstance(route.shares[0].service, str)
        fed.route_table.organisation('k1')

    @given(strategies.binary(max_size=200))
    def test_what_entries_pass_on(self, packed: bytes) -> None:
        """Bytes that are no items are an error of the message."""
        try:
            tuple(unpack(packed, 0))
        except CodecError:
            return


class JunkAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Spoil the answers of the store, an engine and the origin."""

    async def test_answers(self) -> None:
        """Each is a coded error of its layer."""
        bodies = [json.dumps(one).encode() for one in self._sayings()]
        for body in (*bodies, *DEEP, b'\xff', b'{', b''):
            with self.subTest(body=body[:60]):
                await self._ask_all(body)

    def _sayings(self) -> list[object]:
        item = {'private_key': 'k', 'revision': 1, 'value': 'AA=='}
        rows = [{**item, field: junk} for field in item for junk in JUNK]
        page = {'has_more': False, 'timestamp': 1}
        said: list[object] = list(JUNK)
        said.extend({**page, 'items': [one], 'events': [one]} for one in rows)
        for field in ('waiting', 'models', 'sequence', 'born'):
            said.extend({field: junk} for junk in JUNK)
        for field in ('digests', 'chunk_bytes'):
            sound = {'digests': ['00' * 32], 'chunk_bytes': 1}
            said.extend({**sound, field: junk} for junk in JUNK)
        sound = {'digests': ['00' * 32], 'chunk_bytes': 1}
        said.extend({**sound, 'version': junk} for junk in JUNK)
        return said

    async def _ask_all(self, body: bytes) -> None:
        server = ScriptedServer()
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        server.answers = [head.encode() + body] * 5
        port = await server.start()
        driver = CurlDriver()
        store = PlatformStore((HOST, port), driver)
        origin = PlatformOrigin(driver)
        origin.address = (HOST, port)
        engine = ServerEngine((HOST, port), driver)
        for asked, expected in (
            (store.read(''), StoreError),
            (store.wait('', 1, 1), StoreError),
            (engine.report(), OrderError),
            (origin.manifest('m', 1), WeightsError),
            (origin.newest('m'), WeightsError),
        ):
            try:
                await asked
            except LinnetwoodError as exc:
                self.assertIsInstance(exc, expected)
        driver.close()
        await server.close()


if __name__ == '__main__':
    unittest.main()
