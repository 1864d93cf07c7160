"""Callers that stop reading are bounded, cut off, and harm no other call."""

import asyncio
import dataclasses
import socket
import unittest
from random import Random
from typing import Any
from unittest import mock

from tornado.netutil import bind_sockets

from linnetwood.calls.answerflow import ConnectionFlow
from linnetwood.calls.attempt import AnswerStream, Attempt, AttemptOutcome
from linnetwood.calls.callserver import CallServerDelegate, open_server
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.heldbytes import HeldBytes, HoldLimits
from linnetwood.calls.memoryguard import MemoryGuard
from linnetwood.calls.routetable import (
    CallLimits,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
    index_by_host,
)
from linnetwood.calls.silencetimeouts import SilenceTimeouts
from linnetwood.core.clock import SystemClock
from linnetwood.core.events import Event
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.options import Decisions
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.programs.resident_calls import CallPath
from linnetwood.wire.curldriver import CurlDriver
from tests.direct_calls import SIGNED, answer, stream
from tests.test_callserver import request
from tests.test_curldriver import HOST, Server

EVENT = b'data: ' + b'x' * 92 + b'\n\n'
LARGE = EVENT * 10000
USUAL = EVENT * 20
STALLED = 64
# Held for a stalled caller at most: the limit, and what libcurl passes on at
# once.
HELD_PER_CALL = 65536 + 2 * 16384
ROUTE = Route(
    'r',
    'h.example',
    '/a/',
    Repeat.RESUME,
    streams=True,
    timeout_s=20,
    target_s=0.4,
    gap_s=0.4,
    attempts=1,
    priority=1,
    public=True,
    shares=(Share('desk', 1),),
)
WHOLE = dataclasses.replace(ROUTE, prefix='/w/', streams=False)
NEVER_CUT = HoldLimits(stall_s=60)
CUT_SOON = HoldLimits(stall_s=0.2)


async def connect(port: int) -> socket.socket:
    """Return a connection that takes few bytes until it is read."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return sock


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    """Read the body of a chunked answer; fail if it isn't complete."""
    await reader.readuntil(b'\r\n\r\n')
    pieces = []
    while size := int(await reader.readuntil(b'\r\n'), 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b''.join(pieces)


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """Callers over sockets, at an entry with one endpoint."""

    async def asyncSetUp(self) -> None:
        self.directory = Directory()
        self.driver = CurlDriver()
        self.metrics = ExposedMetrics()
        self.path = CallPath(
            self.directory,
            self.driver,
            WantedVersions(8),
            'z1',
            self.metrics,
            SystemClock(),
            Random(1),
            Decisions(),
        )
        self.delegate = CallServerDelegate(
            lambda: RouteTable(
                revision=1,
                version=1,
                by_host=index_by_host([ROUTE, WHOLE]),
                services={'desk': Service('desk', 10)},
            ),
            self.path.dispatcher,
            self.path.dialect,
            self.path.admission,
            Random(1),
            self.metrics,
        )
        self.path.limit_memory(self.delegate, 0, self.metrics)
        self.held = self.delegate.held
        self.server = open_server(self.delegate, CallLimits())
        sockets = bind_sockets(0, HOST)
        self.server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])
        self.sockets: list[socket.socket] = []
        self.large = 0
        self.endpoint = Server(self.behave)
        port = await self.endpoint.start()
        self.directory.update(
            Endpoint('i-1', 'desk', HOST, port, 'z1', 6, ready=True),
        )
        self.stats = self.path.chooser.stats_of('i-1')

    async def asyncTearDown(self) -> None:
        for sock in self.sockets:
            sock.close()
        self.server.stop()
        await self.server.close_all_connections()
        self.driver.close()
        await self.endpoint.close()

    async def behave(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer as the path says."""
        path = self.endpoint.requests[-1].split()[1]
        if path == b'/w/large':
            writer.write(answer(f'200 OK\r\n{SIGNED}', LARGE))
        elif path == b'/a/cut':
            writer.write(stream(LARGE, ends=False))
            await writer.drain()
            return
        else:
            writer.write(stream(LARGE if path == b'/a/large' else USUAL))
        await writer.drain()
        # Raises if the entry resets the connection.
        await reader.read()

    async def stall(self, path: str) -> socket.socket:
        """Send a request without reading the answer."""
        sock = await connect(self.port)
        self.sockets.append(sock)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, request(path))
        return sock

    async def until(self, condition: Any) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.01)

    def holds_answers(self) -> bool:
        """Return whether bytes of answers are held."""
        return bool(self.held.answers)

    def holds_nothing(self) -> bool:
        """Return whether no byte is held."""
        return not self.held.total

    async def settled(self) -> int:
        """Wait until nothing more comes to be held; return the bytes."""
        before = -1
        while before != self.held.answers:
            before = self.held.answers
            await asyncio.sleep(0.1)
        return before

    def stalled_lines(self, captured: Any) -> list[Any]:
        """Return the log records of callers that were cut off."""
        return [
            record
            for record in captured.records
            if getattr(record, 'code', '') == 'reader-stalled'
        ]

    async def test_stalled_readers_harm_no_other_call(self) -> None:
        """Guard against held bytes without a bound, and shared delays."""
        self.held.limits = NEVER_CUT
        for _ in range(STALLED):
            await self.stall('/a/large')
        await self.until(lambda: self.delegate.active_calls == STALLED)
        await self.until(lambda: self.held.answers > STALLED * 65536)
        held = await self.settled()
        self.assertLessEqual(held, STALLED * HELD_PER_CALL)
        for _ in range(20):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(request('/a/usual'))
            self.assertEqual(await read_chunked(reader), USUAL)
            writer.close()
        self.assertEqual(self.held.answers, held)
        self.assertEqual(self.delegate.active_calls, STALLED)

    async def test_reader_that_resumes_gets_all(self) -> None:
        """Guard against lost or repeated bytes, and a broken connection."""
        self.held.limits = NEVER_CUT
        sock = await self.stall('/a/large')
        await self.until(lambda: self.held.answers > 65536)
        silence_s = SilenceTimeouts.for_route(ROUTE).next_event_s
        await asyncio.sleep(silence_s * 1.2)
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(request('/a/usual') + request('/w/large'))
        self.assertEqual(await read_chunked(reader), LARGE)
        self.assertEqual(await read_chunked(reader), USUAL)
        await reader.readuntil(b'\r\n\r\n')
        self.assertEqual(await reader.readexactly(len(LARGE)), LARGE)
        await self.until(self.holds_nothing)
        self.assertEqual(len(self.endpoint.requests), 3)
        writer.close()

    async def test_stalled_reader_is_cut_off(self) -> None:
        """Guard against a stall that lasts, or counts for the endpoint."""
        self.held.limits = CUT_SOON
        failures = self.stats.failure_rate
        for path in ('/a/large', '/w/large'):
            with self.subTest(path=path):
                with self.assertLogs('linnetwood', 'INFO') as captured:
                    sock = await self.stall(path)
                    await self.until(self.holds_answers)
                    await self.until(self.holds_nothing)
                line = self.stalled_lines(captured)[0]
                self.assertEqual(line.call, 'c-1')
                self.assertGreater(line.unread_bytes, 0)
                self.assertGreaterEqual(line.stalled_s, 0.2)
                self.assertNotIn('caller-gone', str(captured.output))
                reader, writer = await asyncio.open_connection(sock=sock)
                received = await reader.read()
                self.assertFalse(received.endswith(b'0\r\n\r\n'))
                self.assertLess(len(received), len(LARGE))
                writer.close()
        self.assertEqual(self.delegate.active_calls, 0)
        self.assertEqual(self.stats.failure_rate, failures)
        # The attempt is cancelled at the endpoint.
        await self.until(lambda: self.endpoint.connections_cut)
        self.assertIn(b'readers_stalled_total 2.0', self.metrics.text())

    async def test_answer_cut_by_the_endpoint(self) -> None:
        """An endpoint that gave up a stalled caller did not fail."""
        self.held.limits = NEVER_CUT
        sock = await self.stall('/a/cut')
        await self.until(lambda: self.held.answers > 65536)
        # Longer than a pause in which no endpoint gives up.
        await asyncio.sleep(0.6)
        stalled, writer = await asyncio.open_connection(sock=sock)
        self.assertNotIn(b'\r\n0\r\n', await stalled.read())
        writer.close()
        self.assertEqual(self.stats.failure_rate, 0)
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(request('/a/cut'))
        # A caller that reads is no reason to end an answer early.
        self.assertNotIn(b'\r\n0\r\n', await reader.read())
        writer.close()
        self.assertGreater(self.stats.failure_rate, 0)

    async def test_cut_answer_of_an_old_caller(self) -> None:
        """Guards against a cut stream that looks whole without chunks."""
        old = request('/a/cut').replace(b'HTTP/1.1', b'HTTP/1.0')
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(old)
        async with asyncio.timeout(60):
            with self.assertRaises(ConnectionResetError):
                await reader.read()
        writer.close()

    async def test_usual_stream_is_neither_held_nor_paused(self) -> None:
        """Guard against a change for callers that read."""
        held = mock.patch.object(ConnectionFlow, 'hold')
        with held as hold, self.assertLogs('linnetwood') as captured:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            for _ in range(3):
                writer.write(request('/a/usual'))
                self.assertEqual(await read_chunked(reader), USUAL)
        writer.close()
        hold.assert_not_called()
        ended = [getattr(one, 'paused_ms', None) for one in captured.records]
        self.assertEqual(ended, [0, 0, 0])

    async def test_deadline_ends_a_paused_call(self) -> None:
        """Guard against a call that outlives its deadline while paused."""
        self.held.limits = NEVER_CUT
        sent = request('/a/large').replace(b'15000', b'300')
        sock = await connect(self.port)
        self.sockets.append(sock)
        with self.assertLogs('linnetwood', 'INFO') as captured:
            await asyncio.get_running_loop().sock_sendall(sock, sent)
            await self.until(self.holds_answers)
            await self.until(lambda: not self.delegate.active_calls)
        ended = [
            record
            for record in captured.records
            if getattr(record, 'event', 0) == Event.ATTEMPT_ENDED
        ]
        self.assertEqual(getattr(ended[0], 'how', ''), 'timed-out')
        self.assertGreater(getattr(ended[0], 'paused_ms', 0), 0)
        await self.until(self.holds_nothing)

    async def test_full_entry_refuses_new_calls_only(self) -> None:
        """Guard against a refusal that is untrue, or ends other calls."""
        self.held.limits = HoldLimits(stall_s=60, entry=16384)
        sock = await self.stall('/a/large')
        await self.until(lambda: self.held.is_full)
        reader, writer = await asyncio.open_connection(HOST, self.port)
        body = b'y' * 100000
        head = request('/a/usual').replace(b': 2\r\n', b': 100000\r\n')[:-2]
        for raw in (request('/a/usual'), head + body):
            writer.write(raw)
            refused = await reader.readuntil(b'\r\n\r\noverloaded')
            self.assertIn(b'503', refused)
            self.assertIn(b'Retry-After: 0.', refused)
        self.assertEqual(len(self.endpoint.requests), 1)
        slow, slow_writer = await asyncio.open_connection(sock=sock)
        self.assertEqual(await read_chunked(slow), LARGE)
        await self.until(self.holds_nothing)
        self.held.limits = NEVER_CUT
        writer.write(head + body)
        self.assertEqual(await read_chunked(reader), USUAL)
        self.assertTrue(self.endpoint.requests[-1].endswith(body))
        for one in (writer, slow_writer):
            one.close()

    async def test_bodies_in_flight_to_an_endpoint_are_bounded(self) -> None:
        """Guard against requests that pile up for one that reads none."""
        self.held.limits = HoldLimits(endpoint_bodies=2)
        self.assertTrue(self.held.add_in_flight('i-1', 9))
        status = await self.status()
        self.assertEqual(status, 503)
        self.assertEqual(self.endpoint.requests, [])
        self.held.remove_in_flight('i-1', 9)
        # The endpoint was neither tried nor held to have failed.
        self.assertEqual(await self.status(), 200)

    async def status(self) -> int:
        """Return the status of a usual call."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(request('/a/usual'))
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])


class LargeEventTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an endpoint that never ends an event."""

    async def test_an_event_without_an_end(self) -> None:
        """It counts as held, and the attempt ends beyond the limit."""
        held = HeldBytes()
        attempt = Attempt(
            AnswerStream(mock.Mock(), ''),
            PlatformDialect(),
            'c-1',
            streams=True,
            clock_now=0,
            held=held,
        )
        attempt.head(200, [('X-Server-Signature', 's')])
        with mock.patch('linnetwood.calls.attempt.MAX_EVENT_BYTES', 100):
            attempt.body(b'x' * 100)
            self.assertFalse(attempt.fut.done())
            attempt.body(b'x')
        self.assertEqual(attempt.fut.result().outcome, AttemptOutcome.TOO_LARGE)
        self.assertEqual(held.answers, 101)


class LimitsTest(unittest.TestCase):
    """Decisions without sockets."""

    def test_without_limits_nothing_is_refused(self) -> None:
        """Guard against a change where no memory limit is set."""
        held = HeldBytes()
        held.answers = 10**12
        guard = MemoryGuard(held, 0, lambda: 10**12)
        self.assertFalse(guard.refuses(10**6, 0))
        limits = HoldLimits()
        self.assertEqual(held.pause_above, limits.pause_above)
        self.assertEqual(held.resume_at, limits.resume_at)

    def test_process_near_its_limit(self) -> None:
        """Guard against an entry that is killed, or refuses for ever."""
        held = HeldBytes(HoldLimits(entry=50))
        resident = 80
        guard = MemoryGuard(held, 100, lambda: resident)
        self.assertFalse(guard.refuses(9, 0))
        resident = 90
        self.assertFalse(guard.refuses(9, 0.05))
        self.assertTrue(guard.refuses(9, 0.1))
        # It holds nothing: its memory is used by the next calls.
        self.assertFalse(guard.refuses(0, 0.1))
        held.answers = 25
        self.assertEqual((held.pause_above, held.resume_at), (0, 0))
        resident = 0
        held.answers = 50
        self.assertTrue(guard.refuses(0, 0.3))

    def test_one_body_of_any_size_may_be_sent(self) -> None:
        """Guard against a large call that no endpoint ever takes."""
        held = HeldBytes(HoldLimits(endpoint_bodies=10))
        self.assertTrue(held.add_in_flight('a', 50))
        self.assertFalse(held.add_in_flight('a', 1))
        self.assertTrue(held.add_in_flight('a', 0))
        self.assertTrue(held.add_in_flight('b', 1))
        held.remove_in_flight('a', 50)
        self.assertTrue(held.add_in_flight('a', 1))


if __name__ == '__main__':
    unittest.main()
