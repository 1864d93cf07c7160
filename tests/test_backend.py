"""Requests to an engine or service that keeps or breaks its connections."""

import asyncio
import contextlib
import io
import unittest
from unittest import mock

from linnetwood.calls import backend as backends
from linnetwood.calls.backend import (
    Backend,
    EngineBackend,
    ServiceBackend,
)
from linnetwood.core.outcomes import Code, Ending, Outcome
from linnetwood.core.sizes import KIB, MIB
from linnetwood.gen.wire.ttypes import Start
from linnetwood.wire.http import open_answer_client, open_client
from tests.test_bounded_asking import send_without_end
from tests.test_curldriver import (
    HOST,
    WHOLE,
    Server,
    read_request,
    respond_with,
)

CLIENTS = 2
LIMIT_S = 60
ENDED_IN_S = 5
LARGE = 16 * MIB
HUGE = 128 * MIB
# What the HTTP library holds at most, and a piece.
HELD = 2 * MIB
KEPT = (
    b'HTTP/1.1 200 OK\r\nX-Call: c\r\nX-Model-Version: v\r\n'
    b'Content-Length: 2\r\n\r\nok'
)


def start_of(method: str = 'POST', path: str = '/confirm') -> Start:
    """Return a call that reaches the back end."""
    return Start('c', 'desk', 60000, method, path, [], 'v', 'key', '')


class RecordingSink:
    """Record the answer of a back end."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.received = b''
        self.reads = asyncio.Event()
        self.reads.set()

    @property
    def is_behind(self) -> bool:
        """Return whether the test says so."""
        return not self.reads.is_set()

    async def wait_until_read(self) -> None:
        """Wait until the test reads again."""
        await self.reads.wait()

    def head(self, status: int, headers: list[str], version: str) -> None:
        """Record the status."""
        self.statuses.append(status)

    def body(self, piece: bytes) -> None:
        """Record a piece of the body."""
        self.received += piece


class CountingSink(RecordingSink):
    """Count the bytes of an answer."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def body(self, piece: bytes) -> None:
        """Count a piece."""
        self.count += len(piece)


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A server keeps its connection, then dies with a request it has read."""

    async def asyncSetUp(self) -> None:
        self.server = Server(self.answer_then_die)
        port = await self.server.start()
        self.client = open_client(CLIENTS)
        url = f'http://{HOST}:{port}'
        self.backends: tuple[Backend, ...] = (
            ServiceBackend(url, self.client),
            EngineBackend(url, self.client),
        )
        self.stops_listening = False

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.server.close()

    async def answer_then_die(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first request; close on the second without an answer."""
        if len(self.server.requests) == 1:
            writer.write(KEPT)
            self.server.requests.append(await read_request(reader))
        if self.stops_listening:
            self.server.stop_listening()

    async def run_two(self, backend: Backend) -> Ending:
        """Run two calls and return the ending of the second."""
        self.server.requests.clear()
        first = await backend.run(start_of(), b'slot', RecordingSink())
        self.assertEqual(first.outcome, Outcome.ANSWERED)
        return await backend.run(start_of(), b'slot', RecordingSink())

    async def test_request_is_sent_once(self) -> None:
        """Guard against a second run of a call whose server broke off."""
        for backend in self.backends:
            with self.subTest(backend=type(backend).__name__):
                ending = await self.run_two(backend)
                self.assertEqual(len(self.server.requests), 2)
                self.assertEqual(ending.outcome, Outcome.UNKNOWN)

    async def test_call_that_may_have_run_is_unknown(self) -> None:
        """Guard against "not run" for a call that its server had read."""
        self.stops_listening = True
        ending = await self.run_two(self.backends[0])
        self.assertEqual(len(self.server.requests), 2)
        self.assertEqual(ending.code, Code.BACKEND_LOST.value)


class MethodTest(unittest.IsolatedAsyncioTestCase):
    """Forward requests of each method, with and without a body."""

    async def forwarded(
        self,
        method: str,
        body: bytes,
        answer: bytes = WHOLE,
        path: str = '/a?b=1',
    ) -> tuple[bytes, RecordingSink]:
        """Forward a request; return it as the service read it, and the answer.

        The service must have got it once and have answered it.
        """
        server = Server(respond_with(answer))
        client = open_client(CLIENTS)
        service = ServiceBackend(
            f'http://{HOST}:{await server.start()}', client
        )
        sink = RecordingSink()
        try:
            ending = await service.run(start_of(method, path), body, sink)
        finally:
            client.close()
            await server.close()
        self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual(len(server.requests), 1)
        return server.requests[0], sink

    async def test_method_and_body_are_forwarded(self) -> None:
        """Guard against a request that is refused or sent by another method."""
        methods = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
        for method in methods:
            for body in (b'', b'abc'):
                with self.subTest(method=method, body=body):
                    request, sink = await self.forwarded(method, body)
                    self.assertEqual(sink.statuses, [200])
                    head, _, received = request.partition(b'\r\n\r\n')
                    line = f'{method} /a?b=1 HTTP/1.1\r\n'.encode()
                    self.assertTrue(head.startswith(line), head)
                    # Content of a HEAD request has no meaning.
                    expected = b'' if method == 'HEAD' else body
                    self.assertEqual(received, expected)

    async def test_path_is_forwarded(self) -> None:
        """Guard against another path than the one that was checked."""
        paths = (
            '/x/../confirm',
            '/./x',
            '//x',
            '/x%2F..%2f?q=/../',
            '/x#y',
            '/?',
            '/{x}[1]',
            '/\xc3\xbc',
        )
        for path in paths:
            with self.subTest(path=path):
                request, _ = await self.forwarded('GET', b'', path=path)
                line, _, _ = request.partition(b'\r\n')
                expected = f'GET {path} HTTP/1.1'
                self.assertEqual(line, expected.encode('latin1'))
        request, _ = await self.forwarded('GET', b'', path='?q=1')
        self.assertTrue(request.startswith(b'GET /?q=1 HTTP/1.1'), request)

    async def test_any_status_is_an_answer(self) -> None:
        """Guard against a status that is taken for a lost connection."""
        for status in (204, 304, 404, 500, 503, 599):
            with self.subTest(status=status):
                answer = f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'
                _, sink = await self.forwarded('GET', b'', answer.encode())
                self.assertEqual(sink.statuses, [status])


class SizeTest(unittest.IsolatedAsyncioTestCase):
    """Answers of any size."""

    async def test_answer_over_the_limit_of_the_library(self) -> None:
        """Guard against an answer that is cut for its size."""

        async def send(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {HUGE}\r\n\r\n'
            writer.write(head.encode())
            for _ in range(HUGE // MIB):
                writer.write(bytes(MIB))
                await writer.drain()

        server = Server(send)
        client = open_answer_client(CLIENTS)
        service = ServiceBackend(
            f'http://{HOST}:{await server.start()}', client
        )
        sink = CountingSink()
        ending = await service.run(start_of(), b'', sink)
        client.close()
        await server.close()
        self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual(sink.count, HUGE)


class EngineAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers of engines that are not those of the call."""

    async def ran(self, answer: bytes) -> tuple[Ending, RecordingSink]:
        """Run a call at an engine that gives this answer."""
        server = Server(respond_with(answer))
        client = open_client(CLIENTS)
        engine = EngineBackend(f'http://{HOST}:{await server.start()}', client)
        sink = RecordingSink()
        try:
            ending = await engine.run(start_of(), b'{}', sink)
        finally:
            client.close()
            await server.close()
        return ending, sink

    async def test_refusal_is_no_answer(self) -> None:
        """Guard against a refusal with a body that ends retries."""
        for status in (404, 503):
            for body in (b'', b'busy'):
                with self.subTest(status=status, body=body):
                    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}'
                    answer = head.encode() + b'\r\n\r\n' + body
                    ending, sink = await self.ran(answer)
                    self.assertEqual(ending.outcome, Outcome.NOT_RUN)
                    self.assertEqual(sink.statuses, [])
                    self.assertEqual(sink.received, b'')

    async def test_answer_of_another_call_is_dropped(self) -> None:
        """Guard against an answer that is not that of the call."""
        empty = b'HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n'
        cases = (
            KEPT.replace(b'X-Call: c', b'X-Call: c2'),
            KEPT.replace(b'X-Model-Version: v', b'X-Model-Version: v2'),
            empty,
            empty.replace(b'500', b'200'),
        )
        for wrong in cases:
            with self.subTest(wrong=wrong):
                ending, sink = await self.ran(wrong)
                self.assertEqual(ending.code, Code.WRONG_ANSWER.value)
                self.assertEqual(sink.statuses, [])


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """A service that breaks off before its answer has a body."""

    async def ran(self, answer: bytes) -> tuple[Ending, RecordingSink]:
        """Run a call at a service that gives this answer."""
        server = Server(respond_with(answer))
        client = open_answer_client(CLIENTS)
        service = ServiceBackend(
            f'http://{HOST}:{await server.start()}', client
        )
        sink = RecordingSink()
        ending = await service.run(start_of(), b'{}', sink)
        client.close()
        await server.close()
        return ending, sink

    async def test_head_cut_at_any_byte(self) -> None:
        """Guard against half a head that is passed on as a whole answer."""
        head = b'HTTP/1.1 200 OK\r\nX-One: a\r\nX-Two: b\r\n\r\n'
        cuts = (head[:kept] for kept in range(len(head)))
        for cut in cuts:
            with self.subTest(sent=cut):
                ending, sink = await self.ran(cut)
                self.assertEqual(ending.code, Code.BACKEND_LOST.value)
                self.assertEqual(sink.statuses, [])
        ending, sink = await self.ran(head)
        self.assertEqual(ending.outcome, Outcome.ANSWERED)

    async def test_status_that_is_followed_by_other_bytes(self) -> None:
        """Guard against an error in a callback, and an answer that is none."""
        with contextlib.redirect_stderr(io.StringIO()) as printed:
            ending, sink = await self.ran(WHOLE.replace(b'200 ', b'200\x9d'))
        self.assertEqual(printed.getvalue(), '')
        self.assertEqual(ending.outcome, Outcome.UNKNOWN)
        self.assertEqual(sink.statuses, [])


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers without end that are not those of the call."""

    async def ended(self, head: bytes) -> Ending:
        """Run a call at an engine that never ends its answers.

        Calls, and requests to cancel one, may take longer than the test.
        """
        server = Server(send_without_end(head, bytes(KIB)))
        port = await server.start()
        client = open_answer_client(CLIENTS)
        backend = EngineBackend(f'http://{HOST}:{port}', client)
        with mock.patch.object(backends, '_CANCEL_TIMEOUT_S', LIMIT_S):
            async with asyncio.timeout(ENDED_IN_S):
                ending = await backend.run(start_of(), b'', RecordingSink())
        client.close()
        await server.close()
        return ending

    async def test_refusal(self) -> None:
        """Guard against a refused call that is held until its deadline."""
        ending = await self.ended(b'HTTP/1.1 503 No\r\n\r\n')
        self.assertEqual(
            (ending.outcome, ending.code),
            (Outcome.NOT_RUN, Code.BACKEND_BUSY.value),
        )

    async def test_answer_of_another_call(self) -> None:
        """Guard against an engine that fills the memory of its endpoint.

        It answers without end to the request to cancel the call, too.
        """
        ending = await self.ended(b'HTTP/1.1 200 OK\r\nX-Call: d\r\n\r\n')
        self.assertEqual(
            (ending.outcome, ending.code),
            (Outcome.UNKNOWN, Code.WRONG_ANSWER.value),
        )


class LateTest(unittest.IsolatedAsyncioTestCase):
    """A back end that holds a call beyond its deadline."""

    async def test_time_that_is_over(self) -> None:
        """Guard against a late call that is told as lost, and sent again."""

        async def hold(
            reader: asyncio.StreamReader, _: asyncio.StreamWriter
        ) -> None:
            await reader.read()

        server = Server(hold)
        client = open_client(CLIENTS)
        url = f'http://{HOST}:{await server.start()}'
        for backend in (
            ServiceBackend(url, client),
            EngineBackend(url, client),
        ):
            start = start_of()
            start.deadline_ms = 100
            ending = await backend.run(start, b'', RecordingSink())
            found = (ending.outcome, ending.code)
            self.assertEqual(found, (Outcome.UNKNOWN, Code.LATE.value))
        client.close()
        await server.close()


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """Answers that come faster than they are read."""

    async def test_answer_waits_for_its_reader(self) -> None:
        """Guard against a large answer that is held, or cut for its size."""
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n'
        server = Server(respond_with(head.encode() + bytes(LARGE)))
        client = open_client(CLIENTS)
        service = ServiceBackend(
            f'http://{HOST}:{await server.start()}', client
        )
        sink = RecordingSink()
        for _ in range(2):
            sink.reads.clear()
            running = asyncio.create_task(service.run(start_of(), b'', sink))
            async with asyncio.timeout(LIMIT_S):
                while not sink.received:
                    await asyncio.sleep(0.01)
                # Time to receive all of it, if it did not wait.
                await asyncio.sleep(0.2)
                self.assertLess(len(sink.received), HELD)
                sink.reads.set()
                ending = await running
            self.assertEqual(ending.outcome, Outcome.ANSWERED)
            self.assertEqual(len(sink.received), LARGE)
            sink.received = b''
        client.close()
        await server.close()


if __name__ == '__main__':
    unittest.main()
