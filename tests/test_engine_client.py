"""HTTP clients of the model server and the origin."""

import json
import math
import unittest
from typing import Any

from linnetwood.core.errors import OrderError, WeightsError
from linnetwood.gen.wire.ttypes import EngineNews
from linnetwood.platform.weights import PlatformOrigin, ServerEngine
from linnetwood.weights.engine import OrderResult
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.curldriver import TOO_LATE_TO_SEND, CurlDriver
from tests.test_curldriver import HOST, ScriptedServer
from tests.test_following import answer

REPORT: dict[str, Any] = {
    'models': [{'name': 'm', 'version': 2, 'adapters': []}],
    'utilization': True,
    'sequence': 4,
    'waiting': 1,
    'running': 12,
    'kv_used': 7,
    'kv_total': 9,
}


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Send requests to a server with scripted answers."""

    async def asyncSetUp(self) -> None:
        self.server = ScriptedServer()
        self.driver = CurlDriver()
        port = await self.server.start()
        self.engine = ServerEngine((HOST, port), self.driver)
        self.origin = PlatformOrigin(self.driver)
        self.origin.address = (HOST, port)

    async def asyncTearDown(self) -> None:
        self.driver.close()
        await self.server.close()

    async def test_report(self) -> None:
        """An order in progress is decoded from a field with another name."""
        self.server.answers = [answer(200, REPORT)]
        found = await self.engine.report()
        self.assertEqual(dict(found.serving), {'m': 2})
        self.assertTrue(found.changing)
        self.assertEqual((found.running, found.orders_taken), (12, 4))

    async def test_counts_that_no_message_holds(self) -> None:
        """Guards against an engine of which entries hear nothing any more."""
        said = {**REPORT, 'waiting': 1 << 40, 'running': 1 << 31}
        self.server.answers = [answer(200, said)]
        found = await self.engine.report()
        news = EngineNews(
            number=1, waiting=found.waiting, running=found.running
        )
        sent = decode(EngineNews, encode(news))
        self.assertGreater(min(sent.waiting, sent.running), 1 << 30)

    async def test_paces(self) -> None:
        """Guard against predictions by what is no pace; logged once."""
        cases = ((2.5, 2.5), ('fast', 1), (-1, 1), (math.inf, 1), (4, 4))
        with self.assertLogs('linnetwood', 'WARNING') as logged:
            for pace, expected in cases:
                self.server.answers = [answer(200, {**REPORT, 'pace': pace})]
                self.assertEqual((await self.engine.report()).pace, expected)
        self.assertEqual(len(logged.records), 1)

    async def test_bad_answers_are_coded(self) -> None:
        """A malformed answer raises OrderError."""
        cases = (
            answer(200, {**REPORT, 'models': [{}]}),
            answer(200, {**REPORT, 'running': 'many'}),
            answer(200, 'text'),
            answer(500, REPORT),
        )
        for reply in cases:
            with self.subTest(reply=reply[:60]):
                self.server.answers = [reply]
                with self.assertRaises(OrderError):
                    await self.engine.report()

    async def test_orders(self) -> None:
        """Each status maps to one result."""
        cases = (
            (202, OrderResult.TAKEN),
            (200, OrderResult.DONE),
            (409, OrderResult.CONFLICT),
            (412, OrderResult.REFUSED),
            (400, OrderResult.REFUSED),
        )
        for status, expected in cases:
            with self.subTest(status=status):
                self.server.answers = [answer(status)]
                found = await self.engine.activate('m', 3, 4, math.inf)
                self.assertIs(found, expected)
        body = self.server.requests[-1].partition(b'\r\n\r\n')[2]
        self.assertEqual(
            json.loads(body),
            {
                'operation': 'start',
                'model': 'm',
                'version': 3,
                'method': 'queue',
                'expected_revision': 4,
            },
        )

    async def test_late_order(self) -> None:
        """Guards against an order on checks that became old on the way."""
        self.server.answers = [answer(202)]
        with self.assertRaises(OrderError) as caught:
            await self.engine.activate('m', 3, 4, 0)
        self.assertEqual(caught.exception.detail, TOO_LATE_TO_SEND)
        self.assertEqual(self.server.requests, [])

    async def test_engine_that_can_not_be_read(self) -> None:
        """Guards against staging chunks again that an overload hid."""
        self.server.answers = [answer(503)]
        with self.assertRaises(OrderError):
            await self.engine.read_staged('m', 1)

    async def test_staged(self) -> None:
        """No staged chunks are no error, and a missing chunk is None."""
        self.server.answers = [
            answer(404),
            answer(200, {'held': [0, 2]}),
            answer(404),
        ]
        self.assertEqual(await self.engine.staged('m'), [])
        self.assertEqual(await self.engine.staged('m'), [0, 2])
        self.assertIsNone(await self.engine.read_staged('m', 1))

    async def test_manifest(self) -> None:
        """Digests are decoded, and a malformed one raises WeightsError."""
        digest = '00' * 32
        self.server.answers = [
            answer(200, {'chunk_bytes': 10, 'digests': [digest, digest]}),
            answer(200, {'chunk_bytes': 10, 'digests': ['what']}),
            answer(410),
        ]
        found = await self.origin.manifest('m', 2)
        self.assertEqual((found.size, len(found.digests)), (20, 2))
        for _ in range(2):
            with self.assertRaises(WeightsError):
                await self.origin.manifest('m', 2)

    async def test_newest_version(self) -> None:
        """It is requested without a version, which the answer holds."""
        digest = '00' * 32
        sound = {'chunk_bytes': 10, 'digests': [digest]}
        self.server.answers = [
            answer(200, {**sound, 'version': 3}),
            answer(200, sound),
            answer(200, {**sound, 'version': 0}),
            answer(404),
        ]
        number, found = await self.origin.newest('m')
        self.assertEqual((number, found.size), (3, 10))
        self.assertNotIn(b'?', self.server.requests[0].split(b'\r\n')[0])
        for _ in range(3):
            with self.assertRaises(WeightsError):
                await self.origin.newest('m')

    async def test_origin_unknown(self) -> None:
        """Without an address a read raises WeightsError."""
        with self.assertRaises(WeightsError) as caught:
            await PlatformOrigin(self.driver).chunk('m', 2, 0)
        self.assertEqual(caught.exception.code, 'origin-unknown')


if __name__ == '__main__':
    unittest.main()
