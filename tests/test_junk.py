"""Malformed records and answers do no harm.

Whatever a record holds, the feed raises no error, a malformed record names no
endpoint, and all other records stay in force.
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
# Invalid for each field of a record, except for those below.
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


class FeedRig:
    """A feed with valid records, and the state that it updates."""

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
                    'op/config': record_of(CONFIG),
                    'op/version/m-1': record_of({'model': 'm-1', 'version': 2}),
                    'servers/a': record_of(ENTRY),
                    'servers/b': record_of(
                        {**ENTRY, 'address': '10.1.0.8:8080'}
                    ),
                },
                9,
            ),
        )

    def names(self) -> set[str]:
        """Return the ids of eligible endpoints."""
        return {one.endpoint_id for one in self.directory.eligible('pool', 0)}

    def change(self, key: str, payload: bytes) -> None:
        """Apply a change of one key."""
        self.feed.apply_changes((Change(key, Record(payload, 10)),))

    def _adopt(self, route_table: RouteTable) -> None:
        self.route_table = route_table

    def _changed(self) -> None:
        """Do nothing."""


def record_of(said: object) -> Record:
    """Return a record with an encoded value."""
    return Record(json.dumps(said).encode(), 9)


def with_junk(said: dict[str, Any], field: str, junk: object) -> bytes:
    """Encode a record with one field replaced or removed."""
    kept = {key: one for key, one in said.items() if key != field}
    if junk != MISSING:
        kept[field] = junk
    return json.dumps(kept).encode()


def junk_fields() -> list[tuple[str, object]]:
    """Return each field of a record with each invalid value."""
    rows: list[tuple[str, object]] = []
    for field in ENTRY:
        rows.extend(
            (field, junk) for junk in JUNK if junk not in SOUND.get(field, ())
        )
        if field not in NOT_NEEDED:
            rows.append((field, MISSING))
    return rows


def positions(said: Any) -> Iterator[tuple[Any, Any]]:
    """Yield every position inside a value, outermost first."""
    keys = said if isinstance(said, dict) else range(len(said))
    for key in keys:
        yield said, key
        if isinstance(said[key], dict | list):
            yield from positions(said[key])


class JunkTest(unittest.TestCase):
    """Replace valid records by malformed ones."""

    def test_server_records(self) -> None:
        """A malformed record removes its endpoint and no other.

        This holds for a change and for a read of the whole list.
        """
        for field, junk in junk_fields():
            with self.subTest(field=field, junk=repr(junk)):
                rig = FeedRig()
                payload = with_junk(ENTRY, field, junk)
                rig.change('servers/a', payload)
                self.assertEqual(rig.names(), {'b'})
                rig.change('servers/a', record_of(ENTRY).payload)
                self.assertEqual(rig.names(), {'a', 'b'})
                found = {
                    'servers/a': Record(payload, 11),
                    'servers/b': record_of(ENTRY),
                }
                rig.feed.replace_all(Snapshot(found, 11))
                self.assertEqual(rig.names(), {'b'})

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
        """Other records and the configuration stay in force."""
        rig = FeedRig()
        rig.change(key, payload)
        self.assertIn('b', rig.names())
        self.assertEqual(rig.route_table.version, CONFIG['version'])
        self.assertEqual(rig.wanted.newest('m-1'), 2)

    @settings(max_examples=300)
    @given(strategies.data())
    def test_configurations(self, chance: strategies.DataObject) -> None:
        """With one invalid value the configuration is rejected or usable."""
        said = json.loads(json.dumps(CONFIG))
        place, key = chance.draw(strategies.sampled_from(list(positions(said))))
        place[key] = chance.draw(strategies.sampled_from(JUNK))
        rig = FeedRig()
        rig.change('op/config', json.dumps(said).encode())
        route = rig.route_table.find('host1.example', '/c/x')
        if route is not None:
            self.assertGreater(route.timeout_s, 0)
            self.assertIsInstance(route.shares[0].service, str)
        rig.route_table.organisation('k1')

    @given(strategies.binary(max_size=200))
    def test_what_entries_pass_on(self, packed: bytes) -> None:
        """Bytes that are not items raise CodecError."""
        try:
            tuple(unpack(packed, 0))
        except CodecError:
            return


class JunkAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Get malformed answers of the store, an engine and the origin."""

    async def test_answers(self) -> None:
        """Each raises the error of its layer."""
        bodies = [json.dumps(one).encode() for one in self._answers()]
        for body in (*bodies, *DEEP, b'\xff', b'{', b''):
            with self.subTest(body=body[:60]):
                await self._ask_all(body)

    def _answers(self) -> list[object]:
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
