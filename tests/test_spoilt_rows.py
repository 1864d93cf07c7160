"""Rows of the store's answers that can't be read, beside sound ones.

Another writer's record may hold anything. Entries read all records in one
range, so a row that made an answer unreadable would keep all of them from every
later configuration, while they go on to serve by the one before.
"""

import asyncio
import json
import unittest
from typing import Any

from linnetwood.core.errors import StoreError
from linnetwood.fleet.mirror import Mirror
from linnetwood.fleet.rangecodec import pack, unpack
from linnetwood.fleet.ranges import Changes
from linnetwood.fleet.revisions import join
from linnetwood.platform import records
from linnetwood.platform.store import PlatformStore
from linnetwood.programs.resident_entry import ResidentEntry
from linnetwood.wire.curldriver import CurlDriver
from tests.process_settings import process_settings
from tests.test_curldriver import HOST, ScriptedServer, Server
from tests.test_following import answer, row
from tests.test_records import CONFIG

ABSENT = object()
KEY = 'servers/i-9'
# What a row may hold in place of a text in base64, and of a revision.
VALUES: tuple[object, ...] = (
    ABSENT,
    None,
    5,
    True,
    [],
    {},
    '!',
    'AA',
    'A===',
    'é',
    '\ud800',
)
REVISIONS: tuple[object, ...] = (ABSENT, None, 'x', -1, 1 << 50, [], 1e300)


def config(version: int, revision: int) -> dict[str, Any]:
    """Return the row of a configuration."""
    said = json.dumps({**CONFIG, 'version': version})
    return row(records.CONFIG_KEY, said, revision)


def spoilt(field: str, found: object) -> dict[str, Any]:
    """Return a row with one field replaced or removed."""
    sound = row(KEY, '{}', 10)
    sound[field] = found
    return {name: one for name, one in sound.items() if one is not ABSENT}


def spoilt_rows() -> list[dict[str, Any]]:
    """Return rows that can't be read, each for another reason."""
    return [
        *(spoilt('value', found) for found in VALUES),
        *(spoilt('revision', found) for found in REVISIONS),
    ]


async def answered(store: PlatformStore) -> Changes:
    """Wait for changes, at most twice."""
    try:
        return await store.wait('', 9, 1)
    except StoreError:
        return await store.wait('', 9, 1)


class SpoiltRowTest(unittest.IsolatedAsyncioTestCase):
    """Read and wait for a range with a spoilt row."""

    async def asyncSetUp(self) -> None:
        self.server = ScriptedServer()
        self.port = await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def test_an_entry_follows_later_configurations(self) -> None:
        """Guards against entries that stay at the one before a spoilt row."""
        page = {'items': [config(7, 5)], 'has_more': False, 'timestamp': 9}
        changes = {'events': [spoilt('value', '!'), config(8, 11)]}
        self.server.answers = [
            answer(200, page),
            # It is taken when it is the same again.
            answer(200, {**changes, 'timestamp': 11}),
            answer(200, {**changes, 'timestamp': 11}),
            *[answer(503) for _ in range(1000)],
        ]
        entry = ResidentEntry(
            process_settings(host=HOST, store=(HOST, self.port))
        )
        self.addCleanup(entry.driver.close)
        self.addAsyncCleanup(entry._follower.close)
        entry._follower.start()
        async with asyncio.timeout(60):
            while len(self.server.requests) < 5:
                await asyncio.sleep(0.01)
        self.assertEqual(entry.route_table.version, 8)

    async def test_a_row_that_is_spoilt_in_one_answer_only(self) -> None:
        """Guards against a fresh view that lacks a configuration for good."""
        page = {'items': [config(7, 5)], 'has_more': False, 'timestamp': 9}
        later = {'items': [config(8, 11)], 'has_more': False, 'timestamp': 11}
        once = {'events': [{**config(8, 11), 'value': '!'}], 'timestamp': 11}
        again = {'events': [config(8, 11)], 'timestamp': 11}
        reads = iter((page, *[later] * 1000))
        waits = iter((once, *[again] * 1000))

        async def behave(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            asked = server.requests[-1]
            if b'kv-range' in asked:
                said = next(reads)
            elif b'after_revision=9' in asked:
                said = next(waits)
            else:
                said = {'events': [], 'timestamp': 11}
            writer.write(answer(200, said))
            await writer.drain()

        server = Server(behave)
        port = await server.start()
        self.addAsyncCleanup(server.close)
        entry = ResidentEntry(process_settings(host=HOST, store=(HOST, port)))
        self.addCleanup(entry.driver.close)
        self.addAsyncCleanup(entry._follower.close)
        entry._follower.start()
        async with asyncio.timeout(60):
            while len(server.requests) < 200:
                await asyncio.sleep(0.01)
                if entry.route_table.version == 8:
                    break
        self.assertEqual(entry.route_table.version, 8)

    async def test_sound_rows_are_read(self) -> None:
        """Guards against a row that makes a whole answer unreadable."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        for one in spoilt_rows():
            with self.subTest(row=repr(one)):
                store = PlatformStore((HOST, self.port), driver)
                rows = [one, config(8, 11)]
                page = {'items': rows, 'has_more': False, 'timestamp': 11}
                self.server.answers = [
                    answer(200, page),
                    answer(200, page),
                    answer(200, {'events': rows, 'timestamp': 11}),
                ]
                with self.assertRaises(StoreError):
                    await store.read('')
                found = await store.read('')
                self.assertEqual(set(found.records), {KEY, records.CONFIG_KEY})
                changes = await store.wait('', 9, 1)
                self.assertEqual(changes.revision, 11)
                record = changes.changes[0].record
                assert record is not None
                self.assertEqual(record, found.records[KEY])
                self.assertIn(record.payload, (b'', b'{}'))
                self.assertIn(record.revision, (10, 11))

    async def test_a_revision_above_that_of_the_answer(self) -> None:
        """Guards against relays that keep a record for good."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        store = PlatformStore((HOST, self.port), driver)
        rows = [config(7, 1 << 39)]
        self.server.answers = [
            answer(200, {'events': rows, 'timestamp': 9}),
            answer(200, {'events': rows, 'timestamp': 9}),
            answer(200, {'events': [config(8, 11)], 'timestamp': 11}),
        ]
        with self.assertRaises(StoreError):
            await store.wait('', 5, 1)
        mirror = Mirror()
        for after in (5, 9):
            found = await store.wait('', after, 1)
            mirror.apply_changes(found.changes, found.revision, 0)
        passed_on = mirror.delta_since(9, 0).changes
        payloads = [one.record.payload for one in passed_on if one.record]
        self.assertEqual(
            [json.loads(payload)['version'] for payload in payloads], [8]
        )

    async def test_spoilt_rows_under_ever_new_keys(self) -> None:
        """Guards against a store whose every answer is refused."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        store = PlatformStore((HOST, self.port), driver)
        self.server.answers = [
            answer(
                200,
                {
                    'events': [
                        spoilt('private_key', f'servers/{number}\ud800')
                    ],
                    'timestamp': 11,
                },
            )
            for number in range(4)
        ]
        for _ in range(2):
            with self.assertRaises(StoreError):
                await store.wait('', 9, 1)
            found = await store.wait('', 9, 1)
            self.assertEqual(len(found.changes), 1)

    async def test_a_deletion_with_a_spoilt_revision(self) -> None:
        """Guards against a deletion that counts as older than it is."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        store = PlatformStore((HOST, self.port), driver)
        gone = {'private_key': KEY, 'revision': None, 'deleted': True}
        said = {'events': [gone], 'timestamp': 11}
        self.server.answers = [answer(200, said), answer(200, said)]
        with self.assertRaises(StoreError):
            await store.wait('', 9, 1)
        found = await store.wait('', 9, 1)
        self.assertEqual(found.changes[0].deleted_revision, join(0, 11))

    async def test_a_key_that_can_not_be_encoded(self) -> None:
        """Guards against a range that no entry can pass on to others."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        store = PlatformStore((HOST, self.port), driver)
        rows = [spoilt('private_key', 'servers/\ud800'), config(8, 11)]
        said = {'events': rows, 'timestamp': 11}
        self.server.answers = [answer(200, said), answer(200, said)]
        with self.assertRaises(StoreError):
            await store.wait('', 9, 1)
        found = await store.wait('', 9, 1)
        passed_on = unpack(pack(found.changes, {}, Mirror()), 0)
        payloads = [one.record.payload for one in passed_on if one.record]
        self.assertEqual(payloads[0], b'')
        self.assertEqual(len(payloads), 2)

    async def test_pages_behind_a_key_that_can_not_be_encoded(self) -> None:
        """Guards against a read that asks for the same page for ever."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        store = PlatformStore((HOST, self.port), driver)
        row_before = spoilt('private_key', 'servers/\ud800')
        first = {'items': [row_before], 'has_more': True, 'timestamp': 11}
        self.server.answers = [
            answer(200, first),
            answer(200, first),
            answer(
                200,
                {'items': [config(8, 11)], 'has_more': False, 'timestamp': 11},
            ),
        ]
        with self.assertRaises(StoreError):
            await store.read('')
        found = await store.read('')
        self.assertEqual(found.records[records.CONFIG_KEY].revision, 11)
        self.assertIn(b'=servers%2F%ED%A0%80 ', self.server.requests[-1])

    async def test_a_page_without_rows_that_is_not_the_last(self) -> None:
        """Guards against a read that asks for the same page for ever."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        store = PlatformStore((HOST, self.port), driver)
        page = {'items': [], 'has_more': True, 'timestamp': 11}
        self.server.answers = [answer(200, page)]
        with self.assertRaises(StoreError):
            await store.read('')

    async def test_a_range_of_which_nothing_can_be_read(self) -> None:
        """Guards against endpoints that a store in trouble takes all away."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        store = PlatformStore((HOST, self.port), driver)
        rows = [
            {**row(f'servers/{number}', '{}', 10), 'value': None}
            for number in range(3)
        ]
        page = {'items': rows, 'has_more': False, 'timestamp': 11}
        self.server.answers = [answer(200, page)] * 3
        for _ in range(3):
            with self.assertRaises(StoreError):
                await store.read('')

    async def test_a_range_of_which_one_row_can_be_read(self) -> None:
        """Guards against a sound row lost beside several that are spoilt."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        store = PlatformStore((HOST, self.port), driver)
        rows = [{}, spoilt('value', '!'), config(8, 11)]
        page = {'items': rows, 'has_more': False, 'timestamp': 11}
        self.server.answers = [answer(200, page)] * 2
        with self.assertRaises(StoreError):
            await store.read('')
        found = await store.read('')
        self.assertEqual(set(found.records), {KEY, records.CONFIG_KEY})

    async def test_rows_without_a_key(self) -> None:
        """Guards against entries that hear of nothing behind such a row."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        for one in (5, {}, {'private_key': 5, 'value': 'AA=='}):
            with self.subTest(row=one):
                store = PlatformStore((HOST, self.port), driver)
                rows = [one, config(8, 11)]
                said = answer(200, {'events': rows, 'timestamp': 11})
                self.server.answers = [said, said]
                with self.assertRaises(StoreError):
                    await store.wait('', 9, 1)
                found = await store.wait('', 9, 1)
                self.assertEqual(
                    [one.key for one in found.changes], [records.CONFIG_KEY]
                )

    async def test_bytes_and_numbers_that_can_not_be_read(self) -> None:
        """Guards against a range that one of them makes unreadable."""
        driver = CurlDriver()
        self.addCleanup(driver.close)
        for spoilt_row in (
            b'{"private_key":"servers/\xff","revision":10,"value":"AA=="}',
            b'{"private_key":"servers/1","revision":1%s,"value":"AA=="}'
            % (b'0' * 5000),
        ):
            with self.subTest(row=spoilt_row[:40]):
                store = PlatformStore((HOST, self.port), driver)
                sound = json.dumps(config(8, 11)).encode()
                body = b'{"timestamp":11,"events":[%s,%s]}' % (
                    spoilt_row,
                    sound,
                )
                head = b'HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n'
                said = head % len(body) + body
                self.server.answers = [said, said]
                found = await answered(store)
                self.assertEqual(found.changes[1].key, records.CONFIG_KEY)


if __name__ == '__main__':
    unittest.main()
