"""Callers of the product's own path that stop reading are cut off."""

import asyncio
import contextlib
import socket
import time
import unittest
from typing import Any, cast
from unittest import mock

from tornado.netutil import bind_sockets

from linnetwood.calls.basehandler import HandlerContext
from linnetwood.calls.callers import application
from linnetwood.calls.callersockets import CallerServer
from linnetwood.calls.dispatch import AnswerSink, Call, Dispatcher
from linnetwood.calls.routing import EndpointQuery, Load
from linnetwood.core.clock import SystemClock
from linnetwood.core.errors import WireError
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import ANSWERED, Ending
from linnetwood.core.traces import NoTraces
from linnetwood.gen.wire.ttypes import Head
from tests.test_curldriver import HOST
from tests.test_slow_readers import LARGE, connect, read_chunked

STALL_S = 2


class Endless:
    """A dispatcher whose answers are large; it admits every call."""

    def __init__(self) -> None:
        self.whole: list[bool] = []

    async def enter(self, _: object) -> None:
        """Admit a call."""

    def leave(self, call: object, took_s: float) -> None:
        """Do nothing."""

    async def run(self, call: Call, sink: AnswerSink) -> Ending:
        """Send a large answer, and record whether all of it was taken."""
        whole = False
        try:
            await sink.head(Head(call.call_id, 200, []), '')
            await sink.body(LARGE)
            whole = True
        finally:
            self.whole.append(whole)
        return ANSWERED


class ProductReaderTest(unittest.IsolatedAsyncioTestCase):
    """Callers of the product's own path, which waits for each write."""

    async def asyncSetUp(self) -> None:
        self.endless = cast(Any, Endless())
        self.context = HandlerContext(
            self.endless,
            self.endless,
            self.endless,
            SystemClock(),
            NoMetrics(),
            60,
            NoTraces(),
        )
        self.server = CallerServer(application(self.context, self.endless))
        sockets = bind_sockets(0, HOST)
        self.server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()

    async def call(self) -> socket.socket:
        """Send a request without reading the answer."""
        sock = await connect(self.port)
        raw = b'GET /services/desk/x HTTP/1.1\r\nHost: h\r\n\r\n'
        await asyncio.get_running_loop().sock_sendall(sock, raw)
        return sock

    async def test_stalled_reader_is_cut_off(self) -> None:
        """Guard against a stalled caller that keeps its endpoint's slot."""
        self.context.stall_s = 0.2
        with self.assertLogs('linnetwood', 'INFO') as captured:
            sock = await self.call()
            async with asyncio.timeout(60):
                while not self.endless.whole:
                    await asyncio.sleep(0.01)
        self.assertEqual(self.endless.whole, [False])
        line: Any = captured.records[-1]
        self.assertEqual(line.code, 'reader-stalled')
        self.assertEqual(line.unread_bytes, 16384)
        reader, writer = await asyncio.open_connection(sock=sock)
        self.assertFalse((await reader.read()).endswith(b'\r\n0\r\n\r\n'))
        writer.close()

    async def test_reader_that_resumes_gets_all(self) -> None:
        """Guard against an answer that changes when it is split."""
        sock = await self.call()
        await asyncio.sleep(0.2)
        reader, writer = await asyncio.open_connection(sock=sock)
        self.assertEqual(await read_chunked(reader), LARGE)
        self.assertEqual(self.endless.whole, [True])
        writer.close()

    async def test_reader_that_resumes_while_the_loop_is_held_up(self) -> None:
        """Guard against a caller cut off for a pause of the entry itself."""
        self.context.stall_s = STALL_S
        sock = await self.call()
        loop = asyncio.get_running_loop()
        received = await loop.sock_recv(sock, 4096)
        # Its answer is stalled from now on, and the limit passes in one step.
        await asyncio.sleep(STALL_S / 4)
        until = time.monotonic() + STALL_S
        while time.monotonic() < until:
            with contextlib.suppress(BlockingIOError):
                received += sock.recv(65536)
        reader, writer = await asyncio.open_connection(sock=sock)
        async with asyncio.timeout(60):
            rest = asyncio.StreamReader()
            rest.feed_data(received)
            while part := await reader.read(65536):
                rest.feed_data(part)
                if part.endswith(b'\r\n0\r\n\r\n'):
                    break
        rest.feed_eof()
        self.assertEqual(await read_chunked(rest), LARGE)
        self.assertEqual(self.endless.whole, [True])
        writer.close()


class HeldUpTest(unittest.IsolatedAsyncioTestCase):
    """Connections that an endpoint ended."""

    async def test_only_a_slow_caller_excuses_the_endpoint(self) -> None:
        """Guard against endpoints that are avoided for a caller's stall."""
        routes, pool = mock.MagicMock(), mock.MagicMock()
        pool.dial = mock.AsyncMock(side_effect=WireError('lost', 'gone'))
        dispatcher = Dispatcher(routes, pool, SystemClock(), NoMetrics())
        now = SystemClock().now()
        call = Call(
            'c',
            EndpointQuery('desk'),
            'desk',
            'GET',
            '/',
            (),
            b'',
            deadline=now + 60,
            may_repeat=False,
        )
        for held_up in (True, False):
            routes.load.return_value = Load()
            sink = mock.MagicMock(was_held_up=held_up)
            await dispatcher.run(call, sink)
            failed_at = routes.load.return_value.failed_at
            self.assertEqual(failed_at < now, held_up)


if __name__ == '__main__':
    unittest.main()
