"""Limits on the time to send a request, beside requests that have arrived."""

import asyncio
import contextlib
import socket
import time
import unittest
from collections.abc import Callable
from unittest import mock

from tornado.testing import bind_unused_port
from tornado.web import Application

from linnetwood.calls.callersockets import CallerServer
from linnetwood.calls.routetable import CallLimits
from linnetwood.core.events import Event, log
from tests.direct_calls import GOOD
from tests.test_callserver import CallServerCase, request
from tests.test_curldriver import HOST, respond_with

# Far longer than any answer here takes.
GUARD_S = 30
BRIEF = CallLimits(idle_s=0.01, header_s=0.01)
HELD_UP_S = 0.1
LONG_S = 3600
WHOLE = request('/a/x')
# What has been sent before the loop is held up, and what during it.
PARTS = (
    ('idle', b'', WHOLE),
    ('in its head', WHOLE[:20], WHOLE[20:]),
    ('before its body', WHOLE[:-2], WHOLE[-2:]),
    ('in its body', WHOLE[:-1], WHOLE[-1:]),
)


async def until(check: Callable[[], object]) -> None:
    """Let the loop run until a condition holds."""
    async with asyncio.timeout(GUARD_S):
        while not check():
            await asyncio.sleep(0)


class ReadTimesTest(CallServerCase):
    """Connections on which a request arrives while the loop is held up."""

    async def connected(self, first: bytes = b'') -> socket.socket:
        """Return a connection of a caller that has sent a first part."""
        sock = socket.socket()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (HOST, self.port))
        await until(lambda: self.delegate.idle_connections)
        stream = next(iter(self.server.streams))
        if first:
            sock.sendall(first)
            await until(lambda: stream.received_at > 0)
            # What was read is parsed in the next turns.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        return sock

    async def received(self, sock: socket.socket, end: bytes) -> bytes:
        """Return what a caller gets up to an end, or until it is closed."""
        loop = asyncio.get_running_loop()
        got = b''
        async with asyncio.timeout(GUARD_S):
            while not got.endswith(end) or not got:
                try:
                    piece = await loop.sock_recv(sock, 4096)
                except ConnectionResetError:
                    break
                if not piece:
                    break
                got += piece
        sock.close()
        await until(lambda: not self.server.streams)
        return got

    async def test_request_that_arrives_beside_a_due_timer(self) -> None:
        """Guard against whole requests without any answer.

        The loop is held up, so its timer is due before what has arrived is
        read.
        """
        await self.serve(respond_with(GOOD))
        for name, first, rest in PARTS:
            with self.subTest(name=name):
                self.server.set_limits(CallLimits())
                sock = await self.connected(first)
                # The loop does not run between these steps.
                self.server.set_limits(BRIEF)
                sock.sendall(rest)
                time.sleep(HELD_UP_S)
                got = await self.received(sock, b'fine')
                self.assertTrue(got.startswith(b'HTTP/1.1 200 '), got)

    async def test_request_that_arrives_beside_a_stop(self) -> None:
        """Guard against whole requests that a stopping process cuts off."""
        await self.serve(respond_with(GOOD))
        for name, first, rest in PARTS:
            with self.subTest(name=name):
                sock = await self.connected(first)
                sock.sendall(rest)
                self.delegate.close_idle()
                self.assertTrue(self.server.is_receiving)
                got = await self.received(sock, b'fine')
                self.assertTrue(got.startswith(b'HTTP/1.1 200 '), got)
                self.assertFalse(self.server.is_receiving)

    async def test_callers_that_are_too_slow_are_closed(self) -> None:
        """Guard against connections that a caller holds for ever."""
        cases = (('idle', b''), ('head', WHOLE[:20]), ('body', WHOLE[:-1]))
        for phase, first in cases:
            with self.subTest(phase=phase):
                self.server.set_limits(CallLimits())
                sock = await self.connected(first)
                with self.assertLogs('linnetwood', 'INFO') as captured:
                    log(Event.STARTED)
                    # Open connections have the new limits at once.
                    self.server.set_limits(BRIEF)
                    self.assertEqual(await self.received(sock, b'fine'), b'')
                lines = [record.__dict__ for record in captured.records[1:]]
                cut = [(line['code'], line['detail']) for line in lines]
                expected = [] if phase == 'idle' else [('request-late', phase)]
                self.assertEqual(cut, expected)

    async def test_caller_that_trickles_is_closed(self) -> None:
        """Guard against a request that never becomes whole."""
        self.server.set_limits(CallLimits(header_s=0.05))
        sock = await self.connected(WHOLE[:20])
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(GUARD_S):
            while self.server.streams:
                with contextlib.suppress(ConnectionError):
                    await loop.sock_sendall(sock, b'x')
                await asyncio.sleep(0.01)
        sock.close()

    async def test_longer_limits_apply_to_open_connections(self) -> None:
        """Guard against the end of a connection that may stay open."""
        await self.serve(respond_with(GOOD))
        self.server.set_limits(CallLimits(idle_s=2))
        sock = await self.connected()
        self.server.set_limits(CallLimits(idle_s=LONG_S))
        time.sleep(2.1)
        for _ in range(5):
            await asyncio.sleep(0)
        sock.sendall(WHOLE)
        got = await self.received(sock, b'fine')
        self.assertTrue(got.startswith(b'HTTP/1.1 200 '), got)

    async def test_same_limits_leave_open_connections_alone(self) -> None:
        """Guard against work for each connection at each configuration."""
        stream = mock.Mock()
        self.server.streams.add(stream)
        for limits, count in ((BRIEF, 1), (BRIEF, 1), (CallLimits(), 2)):
            self.server.set_limits(limits)
            self.assertEqual(stream.timer.apply_limits.call_count, count)
        self.server.streams.discard(stream)

    async def test_larger_sizes_apply_to_open_connections(self) -> None:
        """Guard against requests cut, or refused for good, by old limits."""
        await self.serve(respond_with(GOOD))
        field = b'\r\nX-Fill: ' + b'f' * 900 + b'\r\n'
        cases = (
            ('head', WHOLE.replace(b'\r\n', field, 1)),
            ('body', WHOLE.replace(b': 2\r', b': 900\r') + b'f' * 898),
        )
        for name, sent in cases:
            with self.subTest(name=name):
                small = CallLimits(header_bytes=600, body_bytes=60)
                self.server.set_limits(small)
                sock = await self.connected()
                self.server.set_limits(CallLimits())
                sock.sendall(sent)
                got = await self.received(sock, b'fine')
                self.assertTrue(got.startswith(b'HTTP/1.1 200 '), got)


class LibraryTimesTest(unittest.IsolatedAsyncioTestCase):
    """The server of the product's own path, whose reading the library times."""

    async def test_idle_and_half_sent_requests_are_closed(self) -> None:
        """Guard against connections that stay open for good."""
        server = CallerServer(
            Application(), idle_connection_timeout=BRIEF.idle_s
        )
        listening, port = bind_unused_port()
        server.add_socket(listening)
        for sent in (b'', b'GET / HT'):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(sent)
            async with asyncio.timeout(GUARD_S):
                self.assertEqual(await reader.read(), b'')
            writer.close()
        server.stop()
        await server.close_all_connections()
