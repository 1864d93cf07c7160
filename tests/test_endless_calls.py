"""Calls whose answers have no end are ended at their route's timeout."""

import asyncio
import dataclasses
import unittest

from linnetwood.calls.crashwatch import NoCrashWatch
from linnetwood.calls.directory import Endpoint
from linnetwood.calls.routetable import Repeat, Route, index_by_host
from tests.direct_calls import SIGNED, events, never_answer
from tests.test_bounded_asking import send_without_end
from tests.test_callserver import ROUTE_TABLE, CallServerCase, request
from tests.test_curldriver import HOST, Behaviour, Server, respond_with

# The caller waits for much longer than its route allows.
ROUTE_TIMEOUT_S = 0.3
# An endpoint counts as silent after a second.
SECOND_TIMEOUT_S = 1.4
CALLER_TIMEOUT_MS = 60000
TEST_TIMEOUT_S = 10
TRICKLE_EVERY_S = 0.02

LINE = 'HTTP/1.1 200 OK\r\n'
HEAD = f'{LINE}{SIGNED}'.encode()
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
BLOCK = b'x' * 16384
EVENTS = events(*range(1, 100))


def trickle(head: bytes, piece: bytes) -> Behaviour:
    """Return a behaviour that sends a piece from time to time."""

    async def behave(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head)
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(TRICKLE_EVERY_S)

    return behave


ENDLESS: dict[str, Behaviour] = {
    'nothing': never_answer,
    'slow head': trickle(b'', b'H'),
    'interim heads': send_without_end(b'', b'HTTP/1.1 100 Go on\r\n\r\n'),
    'a header': send_without_end(HEAD + b'X-Long: ', BLOCK),
    'headers': send_without_end(HEAD, b'X-One: 1\r\n' * 100),
    'no length': send_without_end(HEAD + b'\r\n', BLOCK),
    'slow, no length': trickle(HEAD + b'\r\n', b'x'),
    'length': send_without_end(
        HEAD + b'Content-Length: 999999999\r\n\r\n', BLOCK
    ),
    'chunks': send_without_end(CHUNKED, b'4000\r\n%s\r\n' % BLOCK),
    'slow chunks': trickle(CHUNKED, b'1\r\nx\r\n'),
    'extension': send_without_end(CHUNKED + b'1;', BLOCK),
    'events': send_without_end(HEAD + b'\r\n', EVENTS),
    'slow events': trickle(HEAD + b'\r\n', b'id: 1\ndata: x\n\n'),
}


class SilentFirst:
    """Never answer the first request, and any other without end."""

    def __init__(self, behave: Behaviour) -> None:
        self.seen = 0
        self._behave = behave

    async def behave(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Behave as an endpoint does for a request."""
        self.seen += 1
        if self.seen == 1:
            await never_answer(reader, writer)
        else:
            await self._behave(reader, writer)


class PendingProof(NoCrashWatch):
    """Never learn whether an endpoint runs."""

    def __init__(self) -> None:
        self.is_asked = False

    async def survived(self, endpoint: Endpoint) -> bool:
        self.is_asked = True
        await asyncio.Event().wait()
        return False


def endless_request() -> bytes:
    """Return a request whose caller waits for long, on one connection."""
    sent = request('/a/x').replace(b'15000', b'%d' % CALLER_TIMEOUT_MS)
    return sent.replace(b'Host:', b'Connection: close\r\nHost:')


class EndlessCallsTest(CallServerCase):
    """Call endpoints over sockets, with a short timeout of the route."""

    def use_route(
        self,
        repeat: Repeat,
        *,
        streams: bool,
        timeout_s: float = ROUTE_TIMEOUT_S,
    ) -> None:
        """Set how the only route repeats and streams its calls."""
        route: Route = dataclasses.replace(
            ROUTE_TABLE.by_host['h.example'][0],
            repeat=repeat,
            streams=streams,
            timeout_s=timeout_s,
            target_s=ROUTE_TIMEOUT_S / 4,
            gap_s=ROUTE_TIMEOUT_S / 8,
            attempts=2,
        )
        self.route_table = dataclasses.replace(
            ROUTE_TABLE, by_host=index_by_host([route])
        )

    async def final_answer(self, *, is_slow: bool) -> bytes:
        """Return what a caller gets up to the end of its connection.

        A slow one reads nothing before the endpoints are rid of the call.
        """
        reader, writer = await asyncio.open_connection(
            HOST, self.port, limit=len(BLOCK)
        )
        writer.write(endless_request())
        received = bytearray()
        try:
            if is_slow:
                await self.all_closed()
            while piece := await reader.read(len(BLOCK)):
                received += piece
        except ConnectionResetError:
            received.clear()
        finally:
            writer.close()
        return bytes(received[: len(BLOCK)])

    async def all_closed(self) -> None:
        """Wait until no endpoint serves the call."""
        while not any(server.requests for server in self.endpoints):
            await asyncio.sleep(TRICKLE_EVERY_S)
        while any(server.is_serving for server in self.endpoints):
            await asyncio.sleep(TRICKLE_EVERY_S)

    async def serve_second(self, behave: Behaviour) -> None:
        """Start an endpoint beside the first one."""
        server = Server(behave)
        self.endpoints.append(server)
        port = await server.start()
        self.directory.update(
            Endpoint('i-2', 'desk', HOST, port, 'z1', 6, ready=True),
        )

    async def assert_ends(self, *, is_slow: bool = False) -> None:
        """Check that the caller gets a failure, or a cut answer, in time.

        Then no endpoint is still at work for it.
        """
        async with asyncio.timeout(TEST_TIMEOUT_S):
            answer = await self.final_answer(is_slow=is_slow)
            await self.all_closed()
        if not answer.startswith(b'HTTP/1.1 200'):
            self.assertRegex(answer, b'^(HTTP/1.1 50[24] |$)')
        self.assertFalse(answer.endswith(b'\r\n0\r\n\r\n'))

    async def test_each_framing(self) -> None:
        """Guards against callers that wait as long as an endpoint sends."""
        for name, behave in ENDLESS.items():
            for repeat, streams in ((Repeat.MAY, False), (Repeat.RESUME, True)):
                with self.subTest(sent=name, streams=streams):
                    self.use_route(repeat, streams=streams)
                    await self.serve(behave)
                    await self.assert_ends()

    async def test_callers_that_read_nothing(self) -> None:
        """Guards against endpoints that are held by a caller's full link."""
        for name in ('events', 'chunks'):
            with self.subTest(sent=name):
                self.use_route(Repeat.NEVER, streams=True)
                await self.serve(ENDLESS[name])
                await self.assert_ends(is_slow=True)

    async def test_an_attempt_beside_a_silent_one(self) -> None:
        """Guards against a second attempt that outlasts the route's timeout."""
        for name in ('no length', 'slow events'):
            with self.subTest(sent=name):
                self.use_route(
                    Repeat.RESUME, streams=True, timeout_s=SECOND_TIMEOUT_S
                )
                silent_first = SilentFirst(ENDLESS[name])
                await self.serve(silent_first.behave)
                await self.serve_second(silent_first.behave)
                await self.assert_ends()
                self.assertEqual(silent_first.seen, 2)

    async def test_a_shorter_timeout_while_a_call_runs(self) -> None:
        """Guards against running calls that a new configuration prolongs.

        A call keeps the timeout that was in force as it arrived.
        """
        self.use_route(Repeat.NEVER, streams=False)
        await self.serve(never_answer)
        ending = asyncio.create_task(self.assert_ends())
        while not self.endpoints[0].requests:
            await asyncio.sleep(0)
        self.route_table = ROUTE_TABLE
        await ending

    async def test_an_answer_whose_endpoint_must_prove_to_run(self) -> None:
        """Guards against a final answer that waits for the proof alone."""
        observer = PendingProof()
        self.delegate.dispatcher.crash_observer = observer
        self.use_route(Repeat.NEVER, streams=False)
        await self.serve(respond_with(HEAD + b'\r\nfine'))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.final_answer(is_slow=False)
        self.assertTrue(observer.is_asked)


if __name__ == '__main__':
    unittest.main()
