"""Calls of the product's own path that end by an unexpected error."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, cast

from tornado.netutil import bind_sockets

from linnetwood.calls.callers import HandlerContext, application
from linnetwood.calls.callersockets import CallerServer
from linnetwood.calls.dispatch import AnswerSink, Call
from linnetwood.core.clock import SystemClock
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Ending
from linnetwood.core.traces import NoTraces
from linnetwood.gen.wire.ttypes import Head
from tests.test_curldriver import HOST

LIMIT_S = 30
Behaviour = Callable[[Call, AnswerSink], Awaitable[Ending]]


class Scripted:
    """Admit every call, and let a test run it."""

    def __init__(self) -> None:
        self.behave: Behaviour = fail
        self.left = 0

    async def enter(self, _: object) -> None:
        """Admit a call."""

    def leave(self, call: object, took_s: float) -> None:
        """Count calls that left."""
        self.left += 1

    async def run(self, call: Call, sink: AnswerSink) -> Ending:
        """Run a call as the test says."""
        return await self.behave(call, sink)


async def fail(call: Call, sink: AnswerSink) -> Ending:
    """Fail before an answer."""
    raise KeyError(call.call_id)


async def fail_in_answer(call: Call, sink: AnswerSink) -> Ending:
    """Fail after a part of an answer."""
    await sink.head(Head(call.call_id, 200, []), '')
    await sink.body(b'part')
    raise KeyError(call.call_id)


class BrokenCallTest(unittest.IsolatedAsyncioTestCase):
    """Send requests over sockets to an entry whose calls fail."""

    async def asyncSetUp(self) -> None:
        self.scripted = Scripted()
        scripted = cast(Any, self.scripted)
        self.context = HandlerContext(
            scripted,
            scripted,
            scripted,
            SystemClock(),
            NoMetrics(),
            60,
            NoTraces(),
        )
        self.server = CallerServer(application(self.context, scripted))
        sockets = bind_sockets(0, HOST)
        self.server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()

    async def received(self, *lines: str) -> bytes:
        """Send a request and return what comes until the connection ends."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        head = '\r\n'.join((*lines, 'Host: h', 'Connection: close', '', ''))
        writer.write(head.encode('latin1'))
        async with asyncio.timeout(LIMIT_S):
            received = await reader.read()
        writer.close()
        return received

    async def test_cut_answer_does_not_look_complete(self) -> None:
        """Guard against a part of an answer that ends like a whole one."""
        self.scripted.behave = fail_in_answer
        received = await self.received('GET /services/desk/x HTTP/1.1')
        self.assertIn(b'\r\nTransfer-Encoding: chunked\r\n', received)
        self.assertTrue(received.endswith(b'\r\n4\r\npart\r\n'), received)
        self.assertEqual(self.scripted.left, 1)


if __name__ == '__main__':
    unittest.main()
