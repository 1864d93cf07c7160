"""An answer without a length is whole only if its endpoint proves to run.

Guards against half an answer that is passed on as whole, since something else
runs at the address, or something forwards to an endpoint that has crashed.
"""

import asyncio
import dataclasses
import json
import unittest
from unittest import mock

from linnetwood.calls.directory import Endpoint
from linnetwood.fleet.ranges import Record
from linnetwood.platform import records, survival
from linnetwood.wire.curldriver import CurlDriver
from tests.test_curldriver import (
    HOST,
    ScriptedServer,
    Server,
    reset,
    respond_with,
    unresponsive_port,
)
from tests.test_engine_client import REPORT
from tests.test_following import answer

BORN = 5
ENGINES = 'pool'


async def keep_silent(
    reader: asyncio.StreamReader, _: asyncio.StreamWriter
) -> None:
    """Answer nothing, as what forwards to a process that has crashed."""
    await reader.read()


class SurvivalTest(unittest.IsolatedAsyncioTestCase):
    """Probe endpoints that run, that ended, and that were replaced."""

    async def asyncSetUp(self) -> None:
        self.driver = CurlDriver()
        self.proves_to_run = survival.SurvivalProbe(
            self.driver, lambda service: service == ENGINES
        )

    async def asyncTearDown(self) -> None:
        self.driver.close()

    async def asked(self, server: Server, *, is_engine: bool) -> bool:
        """Probe the endpoint that was served at a server's address."""
        port = await server.start()
        endpoint = Endpoint('i-1', 'pool', HOST, port, 'z1', 8, ready=True)
        if is_engine:
            endpoint = dataclasses.replace(
                endpoint, versions={'m': 1}, born=BORN
            )
        found = await self.proves_to_run(endpoint)
        await server.close()
        return found

    async def test_engines(self) -> None:
        """The engine itself must say that it is the same incarnation."""
        cases = (
            ('same', respond_with(answer(200, {**REPORT, 'born': BORN})), True),
            ('unknown start', respond_with(answer(200, REPORT)), True),
            ('other', respond_with(answer(200, {**REPORT, 'born': 9})), False),
            ('forwarded', keep_silent, False),
            ('reset', reset, False),
            ('another service', respond_with(answer(404)), False),
        )
        for name, behave, expected in cases:
            with self.subTest(name=name):
                found = await self.asked(Server(behave), is_engine=True)
                self.assertEqual(found, expected)

    async def test_an_engine_that_is_listed_without_a_version(self) -> None:
        """Guards against one that just started and is taken for no engine.

        What forwards to it accepts connections, and resets them.
        """
        record = {
            'service': ENGINES,
            'address': f'{HOST}:1',
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'sequence': 0,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'born': BORN,
            'models': [],
        }
        key = f'{records.ENDPOINT_PREFIX}i-1'
        payload = json.dumps(record).encode()
        listed = records.endpoint(key, Record(payload, 1))
        server = Server(reset)
        port = await server.start()
        endpoint = dataclasses.replace(listed, port=port)
        self.assertFalse(await self.proves_to_run(endpoint))
        await server.close()

    async def test_an_engine_that_is_silent_for_a_moment(self) -> None:
        """Guards against whole answers of sound engines that count as cut."""
        server = ScriptedServer()
        server.answers = [b'', answer(200, {**REPORT, 'born': BORN})]
        self.assertTrue(await self.asked(server, is_engine=True))

    async def test_other_endpoints(self) -> None:
        """A connection must be accepted."""
        self.assertTrue(await self.asked(Server(keep_silent), is_engine=False))
        server = Server(keep_silent)
        port = await server.start()
        await server.close()
        ended = Endpoint('i-1', 'desk', HOST, port, 'z1', 8, ready=True)
        self.assertFalse(await self.proves_to_run(ended))

    async def test_no_response(self) -> None:
        """Guards against an answer cut by a loss of power or of the network."""
        with unresponsive_port() as port:
            cut = Endpoint('i-1', 'desk', HOST, port, 'z1', 8, ready=True)
            self.assertFalse(await self.proves_to_run(cut))

    async def test_after_a_freeze(self) -> None:
        """Guards against a connection to what replaced it meanwhile.

        An engine that says who it is needs no such care.
        """
        same = respond_with(answer(200, {**REPORT, 'born': BORN}))
        with mock.patch.object(survival, 'held_up_s', return_value=0.01):
            self.assertFalse(
                await self.asked(Server(keep_silent), is_engine=False)
            )
            self.assertTrue(await self.asked(Server(same), is_engine=True))


if __name__ == '__main__':
    unittest.main()
