"""Requests through libcurl are sent once; incomplete answers are detected."""

import asyncio
import contextlib
import functools
import os
import resource
import socket
import time
import unittest
from collections.abc import Awaitable, Callable, Iterator
from unittest import mock

import pycurl

from linnetwood.wire.asking import Answer, SilenceLimits, ask
from linnetwood.wire.curldriver import (
    CONNECT_TIMED_OUT,
    TOO_LATE_TO_SEND,
    CurlDriver,
    Transfer,
)
from linnetwood.wire.curlrequest import Finish, Headers, Request, Sent
from tests.loops import close_server

HOST = '127.0.0.1'
MAX_BYTES = 1000000
Behaviour = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-One: a\r\n\r\nok'


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a request with a body of the stated length."""
    head = await reader.readuntil(b'\r\n\r\n')
    size = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            size = int(line.partition(b':')[2])
    return head + await reader.readexactly(size)


class Server:
    """A test server that records the requests it read."""

    def __init__(self, behave: Behaviour) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self.connections_cut = 0
        self._behave = behave
        self._serving: set[asyncio.Task[None] | None] = set()

    async def start(self, host: str = HOST) -> int:
        self._server = await asyncio.start_server(self._accept, host, 0)
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def is_serving(self) -> bool:
        """Return whether a request is being answered."""
        return bool(self._serving)

    def stop_listening(self) -> None:
        """Refuse connections from now on."""
        self._server.close()

    async def close(self) -> None:
        await close_server(self._server)
        # The loop warns of tasks that it has to cancel when it closes.
        serving = [one for one in self._serving if one is not None]
        for one in serving:
            one.cancel()
        await asyncio.gather(*serving, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        task = asyncio.current_task()
        self._serving.add(task)
        try:
            self.requests.append(await read_request(reader))
            await self._behave(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.connections_cut += 1
        except asyncio.CancelledError:
            return
        finally:
            self._serving.discard(task)
            writer.close()


@contextlib.contextmanager
def unresponsive_port() -> Iterator[int]:
    """Give a port that neither accepts nor refuses connections."""
    with contextlib.ExitStack() as sockets:
        full = sockets.enter_context(socket.create_server((HOST, 0), backlog=0))
        port = int(full.getsockname()[1])
        for _ in range(3):
            waiting = sockets.enter_context(socket.socket())
            waiting.setblocking(False)  # noqa: WPS425
            waiting.connect_ex((HOST, port))
        yield port


def respond_with(answer: bytes) -> Behaviour:
    """Return a behaviour that sends an answer and closes."""

    async def behave(
        _: asyncio.StreamReader, out: asyncio.StreamWriter
    ) -> None:
        out.write(answer)
        await out.drain()

    return behave


async def reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reset the connection without an answer."""
    writer.transport.abort()


class ScriptedServer(Server):
    """A test server that sends one scripted answer after the other."""

    def __init__(self) -> None:
        super().__init__(self._next)
        self.answers: list[bytes] = []

    async def _next(
        self,
        _: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(self.answers.pop(0))
        await writer.drain()


def await_reset(gone: asyncio.Event) -> Behaviour:
    """Return a behaviour that sets an event when the caller resets."""

    async def behave(
        reader: asyncio.StreamReader,
        _: asyncio.StreamWriter,
    ) -> None:
        try:
            await reader.read()
        except ConnectionResetError:
            gone.set()

    return behave


class CurlDriverTest(unittest.IsolatedAsyncioTestCase):
    """Send requests to servers that work and to faulty ones."""

    async def asked(
        self,
        behave: Behaviour,
        method: str = 'POST',
        body: bytes = b'abc',
    ) -> tuple[Answer, Server]:
        """Send one request."""
        server = Server(behave)
        port = await server.start()
        driver = CurlDriver()
        req = Request(
            HOST,
            port,
            method,
            '/a/../b%2f?q=1',
            [('Host', 'x.example'), ('X-Empty', '')],
            body,
            total_s=5,
        )
        answer = await ask(driver, req, MAX_BYTES)
        driver.close()
        await server.close()
        return answer, server

    async def test_request_is_sent_unchanged(self) -> None:
        """Target, headers and body are exactly those of the request."""
        answer, server = await self.asked(respond_with(WHOLE))
        self.assertEqual((answer.status, answer.body), (200, b'ok'))
        self.assertIn(('X-One', 'a'), answer.headers)
        head, _, body = server.requests[0].partition(b'\r\n\r\n')
        lines = set(head.split(b'\r\n'))
        self.assertEqual(
            lines,
            {
                b'POST /a/../b%2f?q=1 HTTP/1.1',
                b'Host: x.example',
                b'X-Empty:',
                b'Content-Length: 3',
            },
        )
        self.assertEqual(body, b'abc')

    async def test_never_sent_twice(self) -> None:
        """The request is not resent if the connection dies after it."""
        cases: tuple[tuple[str, Behaviour], ...] = (
            ('closed', respond_with(b'')),
            ('reset', reset),
            ('half', respond_with(WHOLE[:-1])),
            ('no answer', respond_with(b'what is this\r\n\r\n')),
        )
        for name, behave in cases:
            for method, body in (('POST', b'abc'), ('GET', b'')):
                with self.subTest(name=name, method=method):
                    answer, server = await self.asked(behave, method, body)
                    self.assertEqual(answer.status, 0)
                    self.assertTrue(answer.finish.connected)
                    self.assertEqual(len(server.requests), 1)

    async def test_connection_made_while_the_loop_is_held_up(self) -> None:
        """Guard against sound servers that count as out of reach."""
        for turns in range(5):
            with self.subTest(turns=turns):
                server = Server(respond_with(WHOLE))
                port = await server.start()
                driver = CurlDriver()
                req = Request(
                    HOST, port, 'GET', '/', [('Host', 'x')], connect_s=0.1
                )
                asking = asyncio.create_task(ask(driver, req, MAX_BYTES))
                for _ in range(turns):
                    await asyncio.sleep(0)
                time.sleep(0.2)
                self.assertEqual((await asking).status, 200)
                driver.close()
                await server.close()

    async def test_an_answer_that_is_cut_at_any_byte(self) -> None:
        """Guards against half an answer that is taken as whole.

        Without a length only the head can show a cut.
        """
        head = b'HTTP/1.1 200 OK\r\nX-One: a\r\n'
        chunks = b'2\r\nok\r\n3\r\nyes\r\n0\r\n\r\n'
        framings = (
            (head + b'Content-Length: 2\r\n\r\nok', 0),
            (head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks, 0),
            (head + b'\r\nok', 2),
        )
        for whole, unframed_bytes in framings:
            for cut in range(len(whole) - unframed_bytes):
                with self.subTest(cut=whole[:cut]):
                    answer, _ = await self.asked(respond_with(whole[:cut]))
                    self.assertEqual(answer.status, 0)
            answer, _ = await self.asked(respond_with(whole))
            self.assertEqual(answer.status, 200)

    async def test_request_with_a_time_to_be_sent_by(self) -> None:
        """Guard against a request sent after a freeze that outlasts its time.

        The program freezes after any number of turns of the loop.
        """
        outcomes = set()
        for turns in range(6):
            with self.subTest(turns=turns):
                server = Server(respond_with(WHOLE))
                port = await server.start()
                driver = CurlDriver()
                send_by = asyncio.get_running_loop().time() + 0.1
                req = Request(
                    HOST, port, 'POST', '/', [('Host', 'x')], send_by=send_by
                )
                receiver = RecordingReceiver()
                transfer = driver.begin(req, receiver)
                for _ in range(turns):
                    await asyncio.sleep(0)
                sent = bool(
                    transfer.handle is None
                    or transfer.handle.getinfo(pycurl.REQUEST_SIZE)
                )
                time.sleep(0.2)
                await receiver.ended.wait()
                finish = receiver.finish
                assert finish is not None
                driver.close()
                await server.close()
                self.assertEqual(len(server.requests), int(sent))
                self.assertEqual(finish.whole, sent)
                self.assertEqual(finish.detail == TOO_LATE_TO_SEND, not sent)
                self.assertEqual(finish.connected, sent)
                outcomes.add(sent)
        self.assertEqual(outcomes, {True, False})

    async def test_connection_that_is_not_made_in_time(self) -> None:
        """Guard against calls that wait for a server that is out of reach."""
        with unresponsive_port() as port:
            driver = CurlDriver()
            req = Request(HOST, port, 'GET', '/', [], connect_s=0.05)
            finish = (await ask(driver, req, MAX_BYTES)).finish
            driver.close()
        self.assertEqual(
            (finish.connected, finish.detail), (False, CONNECT_TIMED_OUT)
        )

    async def test_each_request_has_its_own_connection(self) -> None:
        """A surplus answer can't be taken for that of the next request."""
        server = Server(respond_with(WHOLE + WHOLE.replace(b'ok', b'no')))
        port = await server.start()
        driver = CurlDriver()
        req = Request(HOST, port, 'GET', '/', [('Host', 'x')], total_s=5)
        for _ in range(3):
            answer = await ask(driver, req, MAX_BYTES)
            self.assertEqual((answer.status, answer.body), (200, b'ok'))
        self.assertEqual(server.connections, 3)
        driver.close()
        await server.close()

    async def test_a_connection_that_was_never_made(self) -> None:
        """The result says that the request can't have run."""
        server = Server(respond_with(b''))
        port = await server.start()
        await server.close()
        driver = CurlDriver()
        req = Request(HOST, port, 'POST', '/', [('Host', 'x')], b'a', total_s=5)
        answer = await ask(driver, req, MAX_BYTES)
        self.assertEqual((answer.status, answer.finish.connected), (0, False))
        driver.close()

    async def test_chunks_without_an_end_are_not_whole(self) -> None:
        """A chunked answer without its last chunk is incomplete."""
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        cases = (
            (b'2\r\nok\r\n0\r\n\r\n', 200),
            (b'2\r\nok\r\n', 0),
            (b'5\r\nok', 0),
        )
        for body, expected in cases:
            with self.subTest(body=body):
                answer, _ = await self.asked(respond_with(head + body))
                self.assertEqual(answer.status, expected)

    async def test_cancelled_request_closes_its_connection(self) -> None:
        """The server gets a reset at once."""
        gone = asyncio.Event()

        server = Server(await_reset(gone))
        port = await server.start()
        driver = CurlDriver()
        req = Request(HOST, port, 'GET', '/', [('Host', 'x')], total_s=60)
        task = asyncio.create_task(ask(driver, req, MAX_BYTES))
        while not server.requests:
            await asyncio.sleep(0)
        task.cancel()
        async with asyncio.timeout(30):
            await gone.wait()
        driver.close()
        await server.close()


def respond_in_pieces(pause_s: float, *pieces: bytes) -> Behaviour:
    """Return a behaviour that sends pieces, then waits for the close."""

    async def behave(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for piece in pieces:
            await asyncio.sleep(pause_s)
            writer.write(piece)
        await reader.read()

    return behave


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """Send requests to slow servers."""

    async def asked(
        self,
        patience: SilenceLimits,
        behave: Behaviour,
        most: int = MAX_BYTES,
    ) -> tuple[Answer, int]:
        """Send one request; return the answer and the calls of `on_bytes`."""
        server = Server(behave)
        port = await server.start()
        driver = CurlDriver()
        heard: list[None] = []
        req = Request(HOST, port, 'GET', '/', [('Host', 'x')], total_s=0.1)
        async with asyncio.timeout(30):
            answer = await ask(
                driver,
                req,
                most,
                patience,
                lambda: heard.append(None),
            )
        driver.close()
        await server.close()
        return answer, len(heard)

    async def test_a_slow_answer_is_received(self) -> None:
        """Neither the request's total time nor the sum of pauses is limited.

        `on_bytes` is called for pieces of the body only.
        """
        pieces = [WHOLE[:-2], b'o', b'k']
        answer, heard = await self.asked(
            SilenceLimits(5, 5),
            respond_in_pieces(0.2, *pieces),
        )
        self.assertEqual((answer.status, answer.body), (200, b'ok'))
        self.assertEqual(heard, 2)

    async def test_an_error_is_not_reported_as_bytes(self) -> None:
        """Its body is received, and `on_bytes` is not called."""
        refusal = WHOLE.replace(b'200 OK', b'429 Busy')
        answer, heard = await self.asked(
            SilenceLimits(5, 5), respond_in_pieces(0, refusal)
        )
        self.assertEqual((answer.status, answer.body), (429, b'ok'))
        self.assertEqual(heard, 0)

    async def test_silence_ends_it(self) -> None:
        """The detail names the silence and the bytes received before it."""
        cases = (
            ('nothing', b'', SilenceLimits(0.2, 30), 0),
            ('half a head', WHOLE[:9], SilenceLimits(0.2, 30), 0),
            ('a head', WHOLE[:-2], SilenceLimits(0.2, 30), 0),
            ('half a body', WHOLE[:-1], SilenceLimits(30, 0.2), 1),
        )
        for name, sent, patience, size in cases:
            with self.subTest(sent=name):
                answer, _ = await self.asked(
                    patience, respond_in_pieces(0, sent)
                )
                self.assertEqual(answer.status, 0)
                self.assertFalse(answer.finish.whole)
                self.assertRegex(
                    answer.finish.detail,
                    rf'^silent for \d+\.\d s after {size} bytes$',
                )

    async def test_an_answer_that_is_too_large(self) -> None:
        """The request ends at once, although the answer goes on."""
        answer, _ = await self.asked(
            SilenceLimits(30, 30),
            respond_in_pieces(0, WHOLE[:-1]),
            most=0,
        )
        self.assertEqual(
            (answer.status, answer.finish.detail),
            (0, 'over 0 bytes'),
        )


class IgnoringReceiver:
    """Ignore the answer."""

    def head(self, status: int, headers: Headers) -> None:
        """Do nothing."""

    def body(self, piece: bytes) -> None:
        """Do nothing."""

    def done(self, finish: Finish) -> None:
        """Do nothing."""


class CancelTest(unittest.IsolatedAsyncioTestCase):
    """Cancel a request that the server has not read."""

    async def test_paused_server_gets_a_reset(self) -> None:
        """When it continues it gets a reset and not an orderly close."""
        with socket.socket() as listening:
            listening.bind((HOST, 0))
            listening.listen()
            port = listening.getsockname()[1]
            driver = CurlDriver()
            req = Request(HOST, port, 'POST', '/', [('Host', 'x')], b'a')
            task = asyncio.create_task(ask(driver, req, MAX_BYTES))
            loop = asyncio.get_running_loop()
            listening.setblocking(False)  # noqa: WPS425
            conn, _ = await loop.sock_accept(listening)
            await self.arrived(conn)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            with conn, self.assertRaises(ConnectionResetError):
                while await loop.sock_recv(conn, 1000):
                    await asyncio.sleep(0)
            driver.close()

    async def test_cancelled_request_reports_what_was_sent(self) -> None:
        """All of its bytes were written, although the server read none."""
        with socket.socket() as listening:
            listening.bind((HOST, 0))
            listening.listen()
            port = listening.getsockname()[1]
            driver = CurlDriver()
            req = Request(HOST, port, 'POST', '/', [('Host', 'x')], b'abc')
            transfer = driver.begin(req, IgnoringReceiver())
            self.assertEqual(transfer.sent, Sent())
            loop = asyncio.get_running_loop()
            listening.setblocking(False)  # noqa: WPS425
            conn, _ = await loop.sock_accept(listening)
            await self.arrived(conn)
            driver.cancel(transfer)
            with conn:
                request = await loop.sock_recv(conn, MAX_BYTES)
            self.assertEqual(transfer.sent.written, len(request))
            self.assertGreater(transfer.sent.connected_s, 0)
            driver.close()

    async def test_request_without_a_connection_sent_nothing(self) -> None:
        """It is cancelled while it connects."""
        with socket.socket() as listening:
            listening.bind((HOST, 0))
            port = listening.getsockname()[1]
            driver = CurlDriver()
            req = Request(HOST, port, 'POST', '/', [('Host', 'x')], b'abc')
            transfer = driver.begin(req, IgnoringReceiver())
            driver.cancel(transfer)
            self.assertEqual(transfer.sent, Sent())
            driver.close()

    async def arrived(self, conn: socket.socket) -> None:
        """Wait until the request has arrived unread."""
        conn.setblocking(False)  # noqa: WPS425
        while True:
            try:
                conn.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                await asyncio.sleep(0)
            else:
                return


class DescriptorsTest(unittest.IsolatedAsyncioTestCase):
    """Cancel requests while no descriptor is left."""

    async def test_cancelled_request_gets_a_reset(self) -> None:
        """Guards against a cancellation that fails beside a crowd."""
        gone = asyncio.Event()
        server = Server(await_reset(gone))
        driver = CurlDriver()
        req = Request(HOST, await server.start(), 'GET', '/', [('Host', 'x')])
        transfer = driver.begin(req, IgnoringReceiver())
        while not server.requests:
            await asyncio.sleep(0)
        free = os.dup(0)
        os.close(free)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
        try:
            driver.cancel(transfer)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        await gone.wait()
        driver.close()
        await server.close()


class RecordingReceiver:
    """Record how a request ended; act on the first piece of the answer."""

    def __init__(self) -> None:
        self.finish: Finish | None = None
        self.ended = asyncio.Event()
        self.act: Callable[[], None] | None = None
        self.on_done: Callable[[], None] | None = None

    def head(self, status: int, headers: Headers) -> None:
        """Do nothing."""

    def body(self, piece: bytes) -> None:
        """Act within a callback of libcurl."""
        if self.act is not None:
            self.act()

    def done(self, finish: Finish) -> None:
        """Record the end."""
        self.finish = finish
        self.ended.set()
        if self.on_done is not None:
            self.on_done()


class EndingTogetherTest(unittest.IsolatedAsyncioTestCase):
    """Two requests that end in the same turn of the loop."""

    async def test_one_cancels_the_other_as_it_ends(self) -> None:
        """Guards against options set on a socket that is closed, or another's.

        libcurl has closed both sockets before either request is told.
        """
        server = Server(await_reset(asyncio.Event()))
        port = await server.start()
        driver = CurlDriver()
        req = Request(HOST, port, 'GET', '/', [('Host', 'x')])
        first, second = RecordingReceiver(), RecordingReceiver()
        transfers = [driver.begin(req, one) for one in (first, second)]
        while len(server.requests) < 2:
            await asyncio.sleep(0)
        first.on_done = functools.partial(driver.cancel, transfers[1])
        multi = mock.Mock(wraps=driver._multi)
        handles = [one.handle for one in transfers]
        multi.info_read = mock.Mock(return_value=(0, handles, []))
        with (
            mock.patch.object(driver, '_multi', multi),
            mock.patch('socket.fromfd', wraps=socket.fromfd) as touched,
        ):
            driver._collect()
        touched.assert_not_called()
        self.assertTrue(first.ended.is_set())
        driver.close()
        await server.close()


class GivenUpTest(unittest.IsolatedAsyncioTestCase):
    """Abandon a request in each way while the endpoint does not read.

    Guards against a call that begins after its caller was told that it failed,
    on a version that is no longer allowed. After a plain close an endpoint that
    was paused or cut off reads the request when it is back, and an orderly end
    instead of a reset.
    """

    large = b'x' * 20000000

    async def asyncSetUp(self) -> None:
        """Listen, and accept no connection yet."""
        self.driver = CurlDriver()
        self.receiver = RecordingReceiver()
        self.listening = socket.create_server((HOST, 0))
        self.listening.setblocking(False)  # noqa: WPS425
        self.port = self.listening.getsockname()[1]

    async def asyncTearDown(self) -> None:
        """Close the driver and the listener."""
        self.driver.close()
        self.listening.close()

    def begin(self, body: bytes, total_s: float = 30) -> Transfer:
        """Send a request."""
        head = [('Host', 'x')]
        req = Request(HOST, self.port, 'POST', '/', head, body, 1, total_s)
        return self.driver.begin(req, self.receiver)

    async def accepted(self) -> socket.socket:
        """Accept the connection without reading from it."""
        loop = asyncio.get_running_loop()
        conn, _ = await loop.sock_accept(self.listening)
        conn.setblocking(False)  # noqa: WPS425
        return conn

    async def arrived(self, conn: socket.socket) -> None:
        """Wait until the request has arrived unread."""
        while True:
            try:
                conn.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                await asyncio.sleep(0)
            else:
                return

    async def assert_reset(self, conn: socket.socket) -> None:
        """Read until the end, which must be a reset."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(30):
            with conn, self.assertRaises(ConnectionResetError):
                while await loop.sock_recv(conn, MAX_BYTES):
                    await asyncio.sleep(0)

    async def finished(self) -> None:
        """Wait until the receiver gets the end."""
        async with asyncio.timeout(30):
            while self.receiver.finish is None:
                await asyncio.sleep(0.01)

    async def test_cancelled(self) -> None:
        """The request was written completely or in part."""
        for name, body in (('whole', b'a'), ('in part', self.large)):
            with self.subTest(written=name):
                transfer = self.begin(body)
                conn = await self.accepted()
                await self.arrived(conn)
                self.driver.cancel(transfer)
                await self.assert_reset(conn)

    async def test_cancelled_before_it_is_accepted(self) -> None:
        """The kernel of the endpoint holds the connection and the request."""
        transfer = self.begin(b'a')
        # The driver connects and writes within a few iterations of the loop.
        await asyncio.sleep(0.1)
        self.driver.cancel(transfer)
        self.assertGreater(transfer.sent.written, 0)
        await self.assert_reset(await self.accepted())

    async def test_cancelled_from_within_an_answer(self) -> None:
        """libcurl allows no change in a callback, so it happens after it."""
        transfer = self.begin(b'a')
        conn = await self.accepted()
        await self.arrived(conn)
        self.receiver.act = lambda: self.driver.cancel(transfer)
        await asyncio.get_running_loop().sock_sendall(conn, WHOLE[:-1])
        await self.assert_reset(conn)

    async def test_out_of_time(self) -> None:
        """After the total time the connection is reset."""
        await self.run_out_of_time(b'a')

    async def test_out_of_time_in_part(self) -> None:
        """The same if only a part of the request was written."""
        await self.run_out_of_time(self.large)

    async def run_out_of_time(self, body: bytes) -> None:
        """Let a request exceed its total time."""
        self.begin(body, total_s=0.2)
        conn = await self.accepted()
        await self.finished()
        await self.assert_reset(conn)
        finish = self.receiver.finish
        assert finish is not None
        self.assertFalse(finish.whole)
        self.assertTrue(finish.connected)
        self.assertRegex(finish.detail, 'timed out')

    async def test_driver_closed(self) -> None:
        """The process stops while requests are in progress."""
        self.begin(b'a')
        conn = await self.accepted()
        await self.arrived(conn)
        self.driver.close()
        await self.assert_reset(conn)


if __name__ == '__main__':
    unittest.main()
