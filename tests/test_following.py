"""A range of the platform's store, followed through failures."""

import asyncio
import base64
import json
import math
import unittest
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from linnetwood.core.errors import StoreError
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    Record,
    Snapshot,
)
from linnetwood.platform.store import PlatformStore
from linnetwood.wire.curldriver import CurlDriver
from tests.test_curldriver import HOST, ScriptedServer, Server, read_request

Step = Snapshot | Changes | StoreError
Query = dict[str, list[str]]
Requested = tuple[str, Query]


class ScriptedStore:
    """Return one scripted answer after the other, then wait forever."""

    def __init__(self, *steps: Step) -> None:
        self.steps = list(steps)
        self.requests: list[tuple[str, int]] = []
        self.requested_at: list[float] = []
        self.done = asyncio.Event()

    async def read(self, prefix: str) -> Snapshot:
        found = await self.next('read', 0)
        assert isinstance(found, Snapshot)
        return found

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        found = await self.next('wait', after)
        assert isinstance(found, Changes)
        return found

    async def next(self, call: str, after: int) -> Step:
        self.requests.append((call, after))
        self.requested_at.append(asyncio.get_running_loop().time())
        if not self.steps:
            self.done.set()
            await asyncio.Event().wait()
        step = self.steps.pop(0)
        if isinstance(step, StoreError):
            raise step
        return step


class RecordingSink:
    """A sink that records its calls."""

    def __init__(self) -> None:
        self.calls: list[object] = []

    def replace_all(self, found: Snapshot) -> None:
        self.calls.append(dict(found.records))

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        self.calls.extend(changes)

    def mark_unreachable(self) -> None:
        self.calls.append('unreachable')


ONE = Record(b'1', 5)
TWO = Change('k', Record(b'2', 6))


class RangeFollowerTest(unittest.IsolatedAsyncioTestCase):
    """Read once, then wait; read again where history is lost."""

    async def follow_steps(
        self, *steps: Step
    ) -> tuple[ScriptedStore, RecordingSink]:
        """Follow a store through all steps."""
        store = ScriptedStore(*steps)
        sink = RecordingSink()
        follower = RangeFollower(store, '', sink, Random(1))
        follower.start()
        async with asyncio.timeout(60):
            await store.done.wait()
        await follower.close()
        return store, sink

    async def test_reads_once_and_goes_on_from_there(self) -> None:
        """Each wait begins where the last one ended."""
        store, sink = await self.follow_steps(
            Snapshot({'k': ONE}, 5),
            Changes((), 5),
            Changes((TWO,), 6),
        )
        self.assertEqual(
            store.requests,
            [('read', 0), ('wait', 5), ('wait', 5), ('wait', 6)],
        )
        self.assertEqual(sink.calls, [{'k': ONE}, TWO])

    async def test_lost_history_is_read_again(self) -> None:
        """The whole range is read; the store doesn't count as unreachable."""
        store, sink = await self.follow_steps(
            Snapshot({'k': ONE}, 5),
            HistoryLostError('store-history-lost'),
            Snapshot({}, 9),
        )
        self.assertEqual(
            [call for call, _ in store.requests][2:], ['read', 'wait']
        )
        self.assertEqual(sink.calls, [{'k': ONE}, {}])

    async def test_an_unreachable_store_comes_back(self) -> None:
        """The known records stay, and the next wait goes on from there."""
        store, sink = await self.follow_steps(
            StoreError('store-unreachable'),
            Snapshot({'k': ONE}, 5),
            StoreError('store-unreachable'),
            Changes((TWO,), 6),
        )
        self.assertEqual(
            sink.calls, ['unreachable', {'k': ONE}, 'unreachable', TWO]
        )
        self.assertEqual(store.requests[-2:], [('wait', 5), ('wait', 6)])

    async def test_knows_when_the_view_was_confirmed(self) -> None:
        """Answers count, also empty ones; failures and a lost history don't."""
        first = Snapshot({'k': ONE}, 5)
        failure = StoreError('store-unreachable')
        cases: tuple[tuple[str, tuple[Step, ...], int], ...] = (
            ('never', (failure,), 0),
            ('read', (first, failure, failure), 1),
            ('a wait that ends empty', (first, Changes((), 5)), 2),
            ('changes', (first, Changes((TWO,), 6), failure), 2),
            (
                'lost',
                (first, HistoryLostError('store-history-lost'), failure),
                1,
            ),
        )
        loop = asyncio.get_running_loop()
        for name, steps, nth in cases:
            with self.subTest(name=name):
                began = loop.time()
                store = ScriptedStore(*steps)
                follower = RangeFollower(store, '', RecordingSink(), Random(1))
                follower.start()
                async with asyncio.timeout(60):
                    await store.done.wait()
                await follower.close()
                if not nth:
                    self.assertEqual(follower.confirmed_at, -math.inf)
                    continue
                # Each answer confirms the state at the time of its request.
                times = [began, *store.requested_at]
                self.assertLess(times[nth - 1], follower.confirmed_at)
                self.assertLessEqual(follower.confirmed_at, times[nth])


def answer(status: int, message: Any = None) -> bytes:
    """Return an encoded answer of the store."""
    body = json.dumps(message).encode()
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def row(key: str, text: str, revision: int) -> dict[str, Any]:
    """Return an item as the store encodes it."""
    value = base64.b64encode(text.encode()).decode()
    return {'private_key': key, 'value': value, 'revision': revision}


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Start a stand-in of the store, and a client of it."""

    async def asyncSetUp(self) -> None:
        self.server = ScriptedServer()
        self.driver = CurlDriver()
        port = await self.server.start()
        self.store = PlatformStore((HOST, port), self.driver)

    async def asyncTearDown(self) -> None:
        self.driver.close()
        await self.server.close()


class KeptConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Use the store's client with a store that keeps connections open."""

    async def test_a_wait_after_a_write(self) -> None:
        """Guards against waits on a connection that went silent since.

        Several of these would each take a time-out, one after the other; so
        only the connection of waits is kept, and no other.
        """

        async def behave(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                writer.write(answer(200, {'events': [], 'timestamp': 3}))
                server.requests.append(await read_request(reader))

        server = Server(behave)
        driver = CurlDriver()
        store = PlatformStore((HOST, await server.start()), driver)
        counts = []
        for call in (
            store.write({'k': b''}, (), 0),
            store.wait('', 2, 1),
            store.wait('', 2, 1),
            store.write({'k': b''}, (), 0),
            store.wait('', 2, 1),
        ):
            await call
            counts.append(server.connections)
        driver.close()
        await server.close()
        self.assertEqual(counts, [1, 2, 2, 3, 3])


class PlatformStoreTest(StoreClientTest):
    """Speak the store's protocol to a stand-in."""

    def requested(self) -> list[Requested]:
        """Return the paths and queries that were requested."""
        targets = [
            request.split(b' ')[1].decode() for request in self.server.requests
        ]
        urls = [urlsplit(target) for target in targets]
        return [
            (url.path, parse_qs(url.query, keep_blank_values=True))
            for url in urls
        ]

    async def test_pages_are_joined_at_the_first_revision(self) -> None:
        """Changes between the pages come with the next wait."""
        self.server.answers = [
            answer(
                200,
                {'items': [row('a', 'x', 3)], 'has_more': True, 'timestamp': 9},
            ),
            answer(
                200,
                {
                    'items': [row('b', 'y', 4)],
                    'has_more': False,
                    'timestamp': 11,
                },
            ),
        ]
        found = await self.store.read('op/')
        self.assertEqual(found.revision, 9)
        self.assertEqual(
            dict(found.records),
            {'a': Record(b'x', 3), 'b': Record(b'y', 4)},
        )
        second = self.requested()[1][1]
        self.assertEqual(second['after_revision'], ['a'])

    async def test_a_later_page_is_requested_again(self) -> None:
        """A read goes on from the page that failed, a few times at most."""
        first = answer(
            200,
            {'items': [row('a', 'x', 3)], 'has_more': True, 'timestamp': 9},
        )
        last = answer(
            200,
            {'items': [row('b', 'y', 4)], 'has_more': False, 'timestamp': 11},
        )
        busy = answer(503)
        cases = (
            ('cut once', [first, b'', last], ['', 'a', 'a'], 9),
            ('busy twice', [first, busy, busy, last], ['', 'a', 'a', 'a'], 9),
            ('unreachable', [first, *[busy] * 3], ['', 'a', 'a', 'a'], None),
            ('unreachable at once', [busy], [''], None),
            ('history lost', [first, answer(410)], ['', 'a'], None),
        )
        for name, answers, places, revision in cases:
            with self.subTest(name=name):
                self.server.requests.clear()
                self.server.answers = list(answers)
                found = await self.read_revision()
                queries = [query for _, query in self.requested()]
                self.assertEqual(
                    [query.get('after_revision', [''])[0] for query in queries],
                    places,
                )
                self.assertEqual(found, revision)

    async def read_revision(self) -> int | None:
        """Return the revision of a read, or None if it fails."""
        try:
            return (await self.store.read('op/')).revision
        except StoreError:
            return None

    async def test_changes(self) -> None:
        """Written and deleted keys are distinguished."""
        self.server.answers = [
            answer(
                200,
                {
                    'events': [
                        row('a', 'x', 3),
                        {'private_key': 'b', 'revision': 4, 'deleted': True},
                    ],
                    'timestamp': 4,
                },
            ),
        ]
        found = await self.store.wait('', 2, 1.5)
        gone = Change('b', None, deleted_revision=4)
        self.assertEqual(
            found,
            Changes((Change('a', Record(b'x', 3)), gone), 4),
        )
        path, query = self.requested()[0]
        self.assertEqual(path, '/linnetwood/kv-watch')
        self.assertEqual(
            query,
            {
                'path_prefix': [''],
                'after_revision': ['2'],
                'wait_ms': ['1500'],
            },
        )

    async def test_errors_have_codes(self) -> None:
        """Each failure is raised as a StoreError with a code."""
        cases: tuple[tuple[bytes, str], ...] = (
            (answer(410), 'store-history-lost'),
            (answer(503), 'store-unreachable'),
            (answer(429), 'store-unreachable'),
            (b'', 'store-unreachable'),
            (answer(200, []), 'store-bad-answer'),
            (answer(200, {'events': [{}], 'timestamp': 1}), 'store-bad-answer'),
        )
        for reply, code in cases:
            with self.subTest(reply=reply[:20]):
                self.server.answers = [reply, reply]
                with self.assertRaises(StoreError) as caught:
                    await self.store.wait('', 2, 1)
                self.assertEqual(caught.exception.code, code)

    async def test_calls_are_logged(self) -> None:
        """Calls with changes or failures are logged, an empty wait is not."""
        body = {'events': [row('op/config', 'xyz', 3)], 'timestamp': 3}
        quiet = {'events': [], 'timestamp': 3}
        self.server.answers = [answer(200, quiet), answer(200, body)]
        with self.assertLogs('linnetwood') as logged:
            await self.store.wait('', 2, 1)
            await self.store.wait('', 2, 1)
            self.server.answers = [answer(503)]
            with self.assertRaises(StoreError):
                await self.store.wait('', 3, 1)
        first, second = (logged_line.__dict__ for logged_line in logged.records)
        self.assertEqual(
            (first['call'], first['asked'], first['got']),
            ('wait', 2, 3),
        )
        self.assertEqual(first['octets'], len(json.dumps(body)))
        self.assertEqual(first['keys'], {'op/': 1})
        self.assertEqual(first['value_octets'], {'op/': 3})
        self.assertGreaterEqual(first['silent_s'], 0)
        self.assertGreaterEqual(first['end_s'], first['head_s'])
        self.assertEqual((second['asked'], second['detail']), (3, 'status 503'))
        self.assertNotIn('got', second)

    async def test_a_silent_store_is_logged(self) -> None:
        """The line of a call without an answer says so, with its duration."""
        self.server.answers = [b'']
        with self.assertLogs('linnetwood') as logged:
            with self.assertRaises(StoreError):
                await self.store.wait('', 3, 1)
        self.assertEqual(len(logged.records), 1)
        seen = logged.records[0].__dict__
        self.assertEqual((seen['status'], seen['octets']), (0, 0))
        self.assertEqual((seen['head_s'], seen['silent_s']), (-1, -1))
        self.assertGreater(seen['end_s'], 0)

    async def test_malformed_pages_are_refused(self) -> None:
        """A page without a required field raises a StoreError."""
        cases: tuple[Any, ...] = (
            {},
            {'items': [{}], 'has_more': False, 'timestamp': 1},
            {'items': [row('a', 'x', 1)], 'has_more': False},
        )
        for reply in cases:
            with self.subTest(reply=reply):
                self.server.answers = [answer(200, reply)]
                with self.assertRaises(StoreError) as caught:
                    await self.store.read('')
                self.assertEqual(caught.exception.code, 'store-bad-answer')


if __name__ == '__main__':
    unittest.main()
