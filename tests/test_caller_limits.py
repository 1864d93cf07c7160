"""Guard against callers that take connections and memory from others."""

import asyncio
import unittest
from unittest import mock

from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets
from tornado.web import Application

from linnetwood.calls.basehandler import BaseHandler
from linnetwood.calls.callersockets import CallerServer
from linnetwood.calls.routetable import CallLimits
from linnetwood.core.sizes import KIB
from linnetwood.wire.connectionlimit import ConnectionLimit
from linnetwood.wire.controlserver import ControlServer, open_control_server
from tests.direct_calls import never_answer
from tests.rig import Rig, running
from tests.test_callserver import CallServerCase, request
from tests.test_curldriver import HOST

GUARD_S = 30.0
SOON_S = 0.1
AHEAD = b'x' * (256 * KIB)


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether a connection ends soon, without an answer."""
    try:
        async with asyncio.timeout(GUARD_S):
            return not await reader.read(1)
    except ConnectionResetError:
        return True


async def read_rest(reader: asyncio.StreamReader) -> bytes:
    """Return what is sent until the end; nothing if that is a reset."""
    try:
        async with asyncio.timeout(GUARD_S):
            return await reader.read()
    except ConnectionResetError:
        return b''


class ConnectionsTest(CallServerCase):
    """Callers of an entry that allows two connections."""

    async def test_a_call_outlasts_a_crowd(self) -> None:
        """Guards against the end of a call, or of a head, for idle ones."""
        await self.serve(never_answer)
        self.server.limit = ConnectionLimit('callers', 2)
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(request('/a/x'))
        while not self.delegate.active_calls:
            await asyncio.sleep(0)
        for _ in range(5):
            idle, idle_writer = await asyncio.open_connection(HOST, self.port)
            newer, newer_writer = await asyncio.open_connection(HOST, self.port)
            self.assertTrue(await is_closed(idle))
            for one in (idle_writer, newer_writer):
                one.close()
        self.assertEqual(self.delegate.active_calls, 1)
        writer.close()


class TimedTest(unittest.IsolatedAsyncioTestCase):
    """Callers of the product's own path, whose requests tornado reads."""

    async def asyncSetUp(self) -> None:
        self.server = CallerServer(self.answer)
        self.server.call_limits = CallLimits(header_s=SOON_S, idle_s=SOON_S)
        sockets = bind_sockets(0, HOST)
        self.server.add_sockets(sockets)
        self.address = sockets[0].getsockname()

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()

    def answer(self, req: HTTPServerRequest) -> None:
        """Answer long after the limits."""
        loop = asyncio.get_running_loop()
        loop.call_later(5 * SOON_S, self.finish, req)

    def finish(self, req: HTTPServerRequest) -> None:
        """Answer."""
        conn = req.connection
        assert conn is not None
        conn.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        conn.finish()

    async def test_time_for_requests(self) -> None:
        """Guards against connections that stay for an hour, and short calls."""
        for sent in (b'', b'GET / HT', request('/a')[:-1]):
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(sent)
            with self.subTest(sent=sent):
                self.assertTrue(await is_closed(reader))
            writer.close()
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(request('/a'))
        self.assertEqual(await reader.readexactly(8), b'HTTP/1.1')
        writer.close()


class CutHandler(BaseHandler):
    """Cut an answer short."""

    async def get(self) -> None:
        """Send a part of an answer."""
        self.write('half')
        await self.flush()
        self.close_connection()


class CutTest(unittest.IsolatedAsyncioTestCase):
    """Answers of the product's own path that end early."""

    async def test_cut_answer_of_an_old_caller(self) -> None:
        """Guards against a cut answer that looks whole without chunks."""
        shared = {'context': mock.Mock()}
        server = CallerServer(Application([('/', CutHandler, shared)]))
        sockets = bind_sockets(0, HOST)
        server.add_sockets(sockets)
        reader, writer = await asyncio.open_connection(
            *sockets[0].getsockname()
        )
        writer.write(b'GET / HTTP/1.0\r\nHost: x\r\n\r\n')
        async with asyncio.timeout(GUARD_S):
            with self.assertRaises(ConnectionResetError):
                await reader.read()
        writer.close()
        server.stop()
        await server.close_all_connections()


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """The operators' port of the product's own path."""

    @running
    async def test_idle_operators(self, rig: Rig) -> None:
        """Guards against connections at rest that keep operators out."""
        entry = await rig.entry()
        limit = entry._operators.limit
        limit.most = 2
        _, port = rig._http[entry]
        crowd = [await asyncio.open_connection(HOST, port) for _ in range(3)]
        self.assertTrue(await is_closed(crowd[0][0]))
        status = await rig.operate(lambda calls: calls.status())
        self.assertIsNotNone(status)
        for _, writer in crowd:
            writer.close()


class ControlServerTest(unittest.IsolatedAsyncioTestCase):
    """Requests of the platform at a port of its own."""

    async def asyncSetUp(self) -> None:
        self.server: ControlServer = open_control_server(
            self.answer, ConnectionLimit('readiness', 2)
        )
        sockets = bind_sockets(0, HOST)
        self.server.add_sockets(sockets)
        self.address = sockets[0].getsockname()

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()

    def answer(self, req: HTTPServerRequest) -> None:
        """Answer at once."""
        conn = req.connection
        assert conn is not None
        conn.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        conn.finish()

    async def test_kept_connections(self) -> None:
        """Guards against a balancer that loses its connection to idle ones."""
        kept, kept_writer = await asyncio.open_connection(*self.address)
        for _ in range(5):
            kept_writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            head = await kept.readuntil(b'\r\n\r\n')
            self.assertTrue(head.startswith(b'HTTP/1.1 200 '))
            _, writer = await asyncio.open_connection(*self.address)
            await asyncio.sleep(0)
            writer.close()
        kept_writer.close()

    async def test_what_no_check_sends(self) -> None:
        """Guards against bodies and heads that are read into memory."""
        for sent in (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 94371840\r\n\r\n',
            b'GET / HTTP/1.1\r\nX: ' + AHEAD,
        ):
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(sent)
            with self.subTest(sent=sent[:40]):
                self.assertNotIn(b' 200 ', await read_rest(reader))
            writer.close()


if __name__ == '__main__':
    unittest.main()
