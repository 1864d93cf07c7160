"""Test the faults of the soak's stand-in for the store."""

import asyncio
import base64
import json
import unittest
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from linnetwood.lab.soak import standstore
from linnetwood.lab.soak.storerates import Rate

KEY = 'op/config'
OWN = 'crash/1'


class StandInStoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls of programs and of operators."""

    async def asyncSetUp(self) -> None:
        self.state = standstore.StoreState()
        self.state.late_s = (0, 0)
        sock, port = bind_unused_port()
        self._host = f'127.0.0.1:{port}'
        self._server = HTTPServer(standstore.application(self.state))
        self._server.add_sockets([sock])
        self._client = AsyncHTTPClient(force_instance=True)

    async def asyncTearDown(self) -> None:
        self._client.close()
        self._server.stop()
        await self._server.close_all_connections()

    async def _fetch(
        self, call: str, body: dict[str, Any] | None = None
    ) -> HTTPResponse:
        return await self._client.fetch(
            f'http://{self._host}/{call}',
            method='GET' if body is None else 'POST',
            body=None if body is None else json.dumps(body),
            raise_error=False,
        )

    async def _operate(self, **command: Any) -> Any:
        return json.loads((await self._fetch('operator', command)).body)

    async def _write(self, expected: int) -> int:
        row = {'private_key': OWN, 'value': base64.b64encode(b'v').decode()}
        expects = {'private_key': OWN, 'revision': expected}
        body = {'expected_revision': [expects], 'write': [row], 'remove': []}
        return (await self._fetch('linnetwood/kv-txn', body)).code

    async def _watch(self, after: int, wait_ms: int = 0) -> HTTPResponse:
        query = f'path_prefix=&after_revision={after}&wait_ms={wait_ms}'
        return await self._fetch(f'linnetwood/kv-watch?{query}')

    # Guards against a stand-in whose unreadable record could be read.
    async def test_an_unreadable_record(self) -> None:
        """It stands in reads and waits until its key is deleted."""
        await self._operate(spoil=[KEY])
        for call in ('kv-range?path_prefix=', 'kv-watch?path_prefix='):
            query = '&after_revision=0&wait_ms=0' if 'watch' in call else ''
            said = json.loads(
                (await self._fetch(f'linnetwood/{call}{query}')).body
            )
            rows = said.get('items') or said['events']
            with self.assertRaises(ValueError):
                base64.b64decode(rows[0]['value'], validate=True)
        await self._operate(write={KEY: None})
        said = json.loads((await self._watch(1)).body)
        self.assertTrue(said['events'][0]['deleted'])

    # Guards against a store whose late writes undo later ones.
    async def test_late_writes(self) -> None:
        """A late write is carried out only if its condition still holds."""
        due = asyncio.Event()

        async def wait_until_due(_: float) -> None:
            await due.wait()

        self.state.sleep = wait_until_due
        late = asyncio.create_task(
            self._operate(write={KEY: {'version': 1}}, late_s=0.1)
        )
        while not self.state.pending:
            await asyncio.sleep(0)
        await self._operate(write={KEY: {'version': 2}})
        due.set()
        await late
        self.assertEqual(self.state.revision, 1)
        await self._operate(write={KEY: {'version': 3}}, late_s=0.1)
        self.assertEqual(self.state.revision, 2)

    # Guards against a stand-in that ignores the conditions of writes.
    async def test_conditions(self) -> None:
        """A write with another revision than the key's changes nothing."""
        self.assertEqual(await self._write(0), 200)
        self.assertEqual(await self._write(0), 412)
        self.assertEqual(await self._write(1), 200)
        self.assertEqual(self.state.revision, 2)

    # Guards against a lost answer whose write is not carried out, and against
    # calls that hear something of the store meanwhile.
    async def test_lost_answers(self) -> None:
        """A write takes effect, though no call is answered."""
        await self._operate(mode='lost')
        calls = [
            asyncio.ensure_future(one)
            for one in (self._write(0), self._watch(0))
        ]
        while not self.state.revision:
            await asyncio.sleep(0)
        await self._operate(mode='pass')
        self.assertFalse([one for one in calls if one.done()])
        self.assertEqual((await self._watch(0)).code, 200)
        for one in calls:
            one.cancel()

    # Guards against watches that hear of writes while history is forgotten.
    async def test_deaf_watches(self) -> None:
        """A watch hears nothing, even at its end, until it gets 410."""
        await self._operate(mode='deaf')
        watch = asyncio.create_task(self._watch(0))
        await self._operate(write={KEY: {'version': 1}})
        self.assertFalse(watch.done())
        await self._operate(mode='pass', forget=True)
        self.assertEqual((await watch).code, 410)
        self.assertEqual((await self._watch(1)).code, 200)

    # Guards against a fault that affects others than it is recorded for.
    async def test_turned_away(self) -> None:
        """Only calls to the refused addresses get the status."""
        await self._operate(refused={self._host: 429})
        self.assertEqual((await self._watch(0)).code, 429)
        self.assertEqual(await self._write(0), 429)
        await self._operate(refused={'127.0.0.2:1': 503})
        self.assertEqual((await self._watch(0)).code, 200)
        await self._operate(refused={})
        self.assertEqual(await self._write(0), 200)

    # Guards against a store that takes any number of calls.
    def test_rates(self) -> None:
        """Calls beyond the rate of the last second are refused."""
        times = iter((0, 0.1, 0.2, 0.9, 1.05, 1.06, 1.15))
        rate = Rate(2, lambda: next(times))
        taken = [rate.takes() for _ in range(7)]
        self.assertEqual(taken, [True, True, False, False, True, False, True])

    # Guards against a store on which the rates have no effect.
    async def test_rates_of_calls(self) -> None:
        """Reads and writes have rates of their own."""
        self.state.rates['GET'] = Rate(0)
        self.assertEqual((await self._watch(0)).code, 429)
        self.assertEqual(await self._write(0), 200)
        self.state.rates['POST'] = Rate(0)
        self.assertEqual(await self._write(1), 429)


if __name__ == '__main__':
    unittest.main()
