"""An entry of the product's own path that stops beside calls."""

import asyncio
import unittest
from typing import Any, cast

from linnetwood.calls.dispatch import AnswerSink, Call
from linnetwood.core.outcomes import ANSWERED, Ending
from linnetwood.gen.wire.ttypes import Head
from linnetwood.programs.entry import Entry
from tests.rig import Rig, running
from tests.test_curldriver import HOST
from tests.test_slow_readers import LARGE, connect

LIMIT_S = 30
REQUEST = b'GET /services/desk/x HTTP/1.1\r\nHost: h\r\n\r\n'
LAST_CHUNK = b'\r\n0\r\n\r\n'


class Desk:
    """A dispatcher whose calls wait, and are then answered."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.runs = asyncio.Event()
        self.runs.set()
        self.begun = 0
        self.ended = 0

    async def run(self, call: Call, sink: AnswerSink) -> Ending:
        """Answer a call."""
        self.begun += 1
        await self.runs.wait()
        await sink.head(Head(call.call_id, 200, []), '')
        await sink.body(self.body)
        self.ended += 1
        return ANSWERED


async def start(rig: Rig, body: bytes) -> tuple[Entry, Desk, int]:
    """Start an entry with such a desk; return its port for callers, too."""
    entry = await rig.entry()
    desk = Desk(body)
    entry.context.dispatcher = cast(Any, desk)
    return entry, desk, int(rig.url('').rpartition(':')[2])


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Stop an entry."""

    @running
    async def test_answer_that_is_not_taken_yet(self, rig: Rig) -> None:
        """Guard against a stop that cuts the end off a slow caller's answer."""
        _, desk, port = await start(rig, LARGE)
        sock = await connect(port)
        loop = asyncio.get_running_loop()
        received = bytearray()
        async with asyncio.timeout(LIMIT_S):
            await loop.sock_sendall(sock, REQUEST)
            while not desk.ended:
                received += await loop.sock_recv(sock, 4096)
            stop = asyncio.create_task(rig.entries.pop().close())
            # Let the stop come as far as it can.
            await asyncio.sleep(0.2)
            while part := await loop.sock_recv(sock, 4096):
                received += part
            await stop
        sock.close()
        self.assertTrue(received.endswith(LAST_CHUNK), received[-40:])

    @running
    async def test_call_that_waits_for_a_slot(self, rig: Rig) -> None:
        """Guard against a stop that closes on a call that waits."""
        entry, desk, port = await start(rig, b'whole')
        admits = asyncio.Event()
        entry.context.gate = cast(Any, Gate(admits))
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST)
        await rig.until(lambda: cast(Any, entry.context.gate).waiting == 1)
        stop = asyncio.create_task(rig.entries.pop().close())
        await asyncio.sleep(0.2)
        admits.set()
        async with asyncio.timeout(LIMIT_S):
            received = await reader.read()
            await stop
        writer.close()
        self.assertTrue(received.endswith(LAST_CHUNK), received)
        self.assertEqual(desk.ended, 1)

    @running
    async def test_request_that_arrived_before_the_stop(self, rig: Rig) -> None:
        """Guard against a stop that closes on a request that has arrived."""
        _, desk, port = await start(rig, b'whole')
        sock = await connect(port)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, REQUEST)
        async with asyncio.timeout(LIMIT_S):
            await rig.entries.pop().close()
            received = await loop.sock_recv(sock, 4096)
        sock.close()
        self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received)
        self.assertEqual(desk.ended, 1)

    @running
    async def test_answers_end_their_connections(self, rig: Rig) -> None:
        """Guard against callers that keep a stopping entry busy."""
        _, desk, port = await start(rig, b'whole')
        desk.runs.clear()
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST)
        await rig.until(lambda: desk.begun == 1)
        stop = asyncio.create_task(rig.entries.pop().close())
        await asyncio.sleep(0)
        desk.runs.set()
        async with asyncio.timeout(LIMIT_S):
            received = await reader.readuntil(LAST_CHUNK)
            await stop
        writer.close()
        self.assertIn(b'\r\nConnection: close\r\n', received)


class Gate:
    """Admit calls when a test says so, and count those that wait."""

    def __init__(self, admits: asyncio.Event) -> None:
        self.in_flight = 0
        self.waiting = 0
        self._admits = admits

    async def enter(self, _: object) -> None:
        """Admit a call."""
        self.waiting += 1
        await self._admits.wait()

    def leave(self, call: object, took_s: float) -> None:
        """Do nothing."""


if __name__ == '__main__':
    unittest.main()
