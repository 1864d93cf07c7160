"""Requests through libcurl: sent once, answers whole or known as not."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable

from linnetwood.wire.asking import Answer, Patience, ask
from linnetwood.wire.curldriver import (
    CurlDriver,
    Finish,
    Headers,
    Request,
    Sent,
    Transfer,
)
from tests.loops import close_server

HOST = '127.0.0.1'
MOST = 1000000
Behaviour = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-One: a\r\n\r\nok'


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a request with its body by length."""
    head = await reader.readuntil(b'\r\n\r\n')
    size = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            size = int(line.partition(b':')[2])
    return head + await reader.readexactly(size)


class Server:
    """A stand-in that counts the requests it read."""

    def __init__(self, behave: Behaviour) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self.connections_cut = 0
        self._behave = behave
        self._serving: set[asyncio.Task[None] | None] = set()

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        await close_server(self._server)
        # The loop complains of any that it has to cancel at its end.
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


def says(answer: bytes) -> Behaviour:
    """Answer with bytes, then close."""

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
    """A stand-in that gives one answer after the other."""

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


def notes_reset(gone: asyncio.Event) -> Behaviour:
    """Answer nothing, and note that the caller reset the connection."""

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
    """Ask stand-ins that behave and that do not."""

    async def asked(
        self,
        behave: Behaviour,
        method: str = 'POST',
        body: bytes = b'abc',
    ) -> tuple[Answer, Server]:
        """Ask once."""
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
        answer = await ask(driver, req, MOST)
        driver.close()
        await server.close()
        return answer, server

    async def test_request_goes_out_as_it_stands(self) -> None:
        """Nothing is added to the target, the headers or the body."""
        answer, server = await self.asked(says(WHOLE))
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
        """A connection that dies after the request is not tried again."""
        cases: tuple[tuple[str, Behaviour], ...] = (
            ('closed', says(b'')),
            ('reset', reset),
            ('half', says(WHOLE[:-1])),
            ('no answer', says(b'what is this\r\n\r\n')),
        )
        for name, behave in cases:
            for method, body in (('POST', b'abc'), ('GET', b'')):
                with self.subTest(name=name, method=method):
                    answer, server = await self.asked(behave, method, body)
                    self.assertEqual(answer.status, 0)
                    self.assertTrue(answer.finish.connected)
                    self.assertEqual(len(server.requests), 1)

    async def test_each_request_has_its_own_connection(self) -> None:
        """A surplus answer has no next request to be taken for."""
        server = Server(says(WHOLE + WHOLE.replace(b'ok', b'no')))
        port = await server.start()
        driver = CurlDriver()
        req = Request(HOST, port, 'GET', '/', [('Host', 'x')], total_s=5)
        for _ in range(3):
            answer = await ask(driver, req, MOST)
            self.assertEqual((answer.status, answer.body), (200, b'ok'))
        self.assertEqual(server.connections, 3)
        driver.close()
        await server.close()

    async def test_a_connection_never_made_is_told_apart(self) -> None:
        """Nobody can have run what reached nobody."""
        server = Server(says(b''))
        port = await server.start()
        await server.close()
        driver = CurlDriver()
        req = Request(HOST, port, 'POST', '/', [('Host', 'x')], b'a', total_s=5)
        answer = await ask(driver, req, MOST)
        self.assertEqual((answer.status, answer.finish.connected), (0, False))
        driver.close()

    async def test_chunks_without_an_end_are_not_whole(self) -> None:
        """A chunked answer that stops early does not look complete."""
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        cases = (
            (b'2\r\nok\r\n0\r\n\r\n', 200),
            (b'2\r\nok\r\n', 0),
            (b'5\r\nok', 0),
        )
        for body, expected in cases:
            with self.subTest(body=body):
                answer, _ = await self.asked(says(head + body))
                self.assertEqual(answer.status, expected)

    async def test_cancelled_request_closes_its_connection(self) -> None:
        """The server sees at once that nobody waits."""
        gone = asyncio.Event()

        server = Server(notes_reset(gone))
        port = await server.start()
        driver = CurlDriver()
        req = Request(HOST, port, 'GET', '/', [('Host', 'x')], total_s=60)
        task = asyncio.create_task(ask(driver, req, MOST))
        while not server.requests:
            await asyncio.sleep(0)
        task.cancel()
        async with asyncio.timeout(30):
            await gone.wait()
        driver.close()
        await server.close()


def says_apart(pause_s: float, *pieces: bytes) -> Behaviour:
    """Answer piece by piece, then say nothing until the caller goes."""

    async def behave(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for piece in pieces:
            await asyncio.sleep(pause_s)
            writer.write(piece)
        await reader.read()

    return behave


class PatienceTest(unittest.IsolatedAsyncioTestCase):
    """Ask stand-ins that take their time."""

    async def asked(
        self,
        patience: Patience,
        behave: Behaviour,
        most: int = MOST,
    ) -> tuple[Answer, int]:
        """Ask once; count the pieces that were told, the head among them."""
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

    async def test_what_flows_may_take_its_time(self) -> None:
        """Neither the request's total time nor the sum of pauses counts.

        Only the body's pieces say that an answer flows.
        """
        pieces = [WHOLE[:-2], b'o', b'k']
        answer, heard = await self.asked(
            Patience(5, 5),
            says_apart(0.2, *pieces),
        )
        self.assertEqual((answer.status, answer.body), (200, b'ok'))
        self.assertEqual(heard, 2)

    async def test_a_refusal_is_no_answer_that_flows(self) -> None:
        """Its body is taken, and nobody is told of a piece."""
        refusal = WHOLE.replace(b'200 OK', b'429 Busy')
        answer, heard = await self.asked(Patience(5, 5), says_apart(0, refusal))
        self.assertEqual((answer.status, answer.body), (429, b'ok'))
        self.assertEqual(heard, 0)

    async def test_silence_ends_it(self) -> None:
        """It is told how long nothing came, and how much had come before."""
        cases = (
            ('nothing', b'', Patience(0.2, 30), 0),
            ('half a head', WHOLE[:9], Patience(0.2, 30), 0),
            ('a head', WHOLE[:-2], Patience(0.2, 30), 0),
            ('half a body', WHOLE[:-1], Patience(30, 0.2), 1),
        )
        for name, sent, patience, size in cases:
            with self.subTest(sent=name):
                answer, _ = await self.asked(patience, says_apart(0, sent))
                self.assertEqual(answer.status, 0)
                self.assertFalse(answer.finish.whole)
                self.assertRegex(
                    answer.finish.detail,
                    rf'^silent for \d+\.\d s after {size} bytes$',
                )

    async def test_too_large_an_answer_ends_at_once(self) -> None:
        """What flows for ever is not waited for."""
        answer, _ = await self.asked(
            Patience(30, 30),
            says_apart(0, WHOLE[:-1]),
            most=0,
        )
        self.assertEqual(
            (answer.status, answer.finish.detail),
            (0, 'over 0 bytes'),
        )


class Silent:
    """Take in no answer."""

    def head(self, status: int, headers: Headers) -> None:
        """Leave it."""

    def body(self, piece: bytes) -> None:
        """Leave it."""

    def done(self, finish: Finish) -> None:
        """Leave it."""


class CancelTest(unittest.IsolatedAsyncioTestCase):
    """Take a request back from a server that has not read it."""

    async def test_paused_server_learns_that_the_call_was_reset(self) -> None:
        """When it wakes it sees a reset, and no caller that closed in peace."""
        with socket.socket() as listening:
            listening.bind((HOST, 0))
            listening.listen()
            port = listening.getsockname()[1]
            driver = CurlDriver()
            req = Request(HOST, port, 'POST', '/', [('Host', 'x')], b'a')
            task = asyncio.create_task(ask(driver, req, MOST))
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

    async def test_cancelled_request_tells_what_was_sent(self) -> None:
        """All of its bytes went into the connection, though nobody read."""
        with socket.socket() as listening:
            listening.bind((HOST, 0))
            listening.listen()
            port = listening.getsockname()[1]
            driver = CurlDriver()
            req = Request(HOST, port, 'POST', '/', [('Host', 'x')], b'abc')
            transfer = driver.begin(req, Silent())
            self.assertEqual(transfer.sent, Sent())
            loop = asyncio.get_running_loop()
            listening.setblocking(False)  # noqa: WPS425
            conn, _ = await loop.sock_accept(listening)
            await self.arrived(conn)
            driver.cancel(transfer)
            with conn:
                request = await loop.sock_recv(conn, MOST)
            self.assertEqual(transfer.sent.written, len(request))
            self.assertGreater(transfer.sent.connected_s, 0)
            driver.close()

    async def test_request_without_a_connection_sent_nothing(self) -> None:
        """Nobody takes it in, and it is cancelled while it connects."""
        with socket.socket() as listening:
            listening.bind((HOST, 0))
            port = listening.getsockname()[1]
            driver = CurlDriver()
            req = Request(HOST, port, 'POST', '/', [('Host', 'x')], b'abc')
            transfer = driver.begin(req, Silent())
            driver.cancel(transfer)
            self.assertEqual(transfer.sent, Sent())
            driver.close()

    async def arrived(self, conn: socket.socket) -> None:
        """Wait until the request lies in the connection, unread."""
        conn.setblocking(False)  # noqa: WPS425
        while True:
            try:
                conn.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                await asyncio.sleep(0)
            else:
                return


class Cut:
    """Note how a request ended, and act on the first piece of an answer."""

    def __init__(self) -> None:
        self.finish: Finish | None = None
        self.act: Callable[[], None] | None = None

    def head(self, status: int, headers: Headers) -> None:
        """Leave it."""

    def body(self, piece: bytes) -> None:
        """Act, from within libcurl."""
        if self.act is not None:
            self.act()

    def done(self, finish: Finish) -> None:
        """Note it."""
        self.finish = finish


class GivenUpTest(unittest.IsolatedAsyncioTestCase):
    """Give a request up in each way, before an endpoint that does not read.

    Seen: an endpoint that had been out of touch began a call 1 s after its
    caller had been told that it failed, on a version that was closed by then.
    How it may come about: a plain close leaves what was written to an endpoint
    that is paused or cut off, which runs it when it is back. What proves it:
    it reads the request and an orderly end here, in place of a reset.
    """

    large = b'x' * 20000000

    async def asyncSetUp(self) -> None:
        """Listen, and accept nobody yet."""
        self.driver = CurlDriver()
        self.receiver = Cut()
        self.listening = socket.create_server((HOST, 0))
        self.listening.setblocking(False)  # noqa: WPS425
        self.port = self.listening.getsockname()[1]

    async def asyncTearDown(self) -> None:
        """Close what a test left open."""
        self.driver.close()
        self.listening.close()

    def begin(self, body: bytes, total_s: float = 30) -> Transfer:
        """Send a request."""
        head = [('Host', 'x')]
        req = Request(HOST, self.port, 'POST', '/', head, body, 1, total_s)
        return self.driver.begin(req, self.receiver)

    async def accepted(self) -> socket.socket:
        """Accept the connection, and read nothing from it."""
        loop = asyncio.get_running_loop()
        conn, _ = await loop.sock_accept(self.listening)
        conn.setblocking(False)  # noqa: WPS425
        return conn

    async def arrived(self, conn: socket.socket) -> None:
        """Wait until the request lies in the connection, unread."""
        while True:
            try:
                conn.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                await asyncio.sleep(0)
            else:
                return

    async def assert_reset(self, conn: socket.socket) -> None:
        """Read all that there is: it ends with a reset."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(30):
            with conn, self.assertRaises(ConnectionResetError):
                while await loop.sock_recv(conn, MOST):
                    await asyncio.sleep(0)

    async def finished(self) -> None:
        """Wait until the receiver hears of the end."""
        async with asyncio.timeout(30):
            while self.receiver.finish is None:
                await asyncio.sleep(0.01)

    async def test_cancelled(self) -> None:
        """Whether all of it was written or a part."""
        for name, body in (('whole', b'a'), ('in part', self.large)):
            with self.subTest(written=name):
                transfer = self.begin(body)
                conn = await self.accepted()
                await self.arrived(conn)
                self.driver.cancel(transfer)
                await self.assert_reset(conn)

    async def test_cancelled_before_it_is_accepted(self) -> None:
        """It lies with the endpoint's system, which has the connection."""
        transfer = self.begin(b'a')
        # Its own loop makes the connection and writes within a few turns.
        await asyncio.sleep(0.1)
        self.driver.cancel(transfer)
        self.assertGreater(transfer.sent.written, 0)
        await self.assert_reset(await self.accepted())

    async def test_cancelled_from_within_an_answer(self) -> None:
        """Where libcurl allows no change, it is done in the next step."""
        transfer = self.begin(b'a')
        conn = await self.accepted()
        await self.arrived(conn)
        self.receiver.act = lambda: self.driver.cancel(transfer)
        await asyncio.get_running_loop().sock_sendall(conn, WHOLE[:-1])
        await self.assert_reset(conn)

    async def test_out_of_time(self) -> None:
        """The request's own limit is over; the receiver is told as ever."""
        await self.run_out_of_time(b'a')

    async def test_out_of_time_in_part(self) -> None:
        """The same with a request of which a part was written."""
        await self.run_out_of_time(self.large)

    async def run_out_of_time(self, body: bytes) -> None:
        """Let a request's own limit pass."""
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
        """The process stops while requests are under way."""
        self.begin(b'a')
        conn = await self.accepted()
        await self.arrived(conn)
        self.driver.close()
        await self.assert_reset(conn)


if __name__ == '__main__':
    unittest.main()
