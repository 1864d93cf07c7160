"""A dispatcher, its endpoints and its callers, for tests of direct calls."""

import asyncio
import unittest
from random import Random
from unittest import mock

import pycurl

from linnetwood.calls.attempt import AnswerSink
from linnetwood.calls.choice import Chooser
from linnetwood.calls.crashcauses import CrashCauses
from linnetwood.calls.crashes import CrashHistory
from linnetwood.calls.crashwatch import CrashWatch
from linnetwood.calls.dialect import CallHead
from linnetwood.calls.direct import DirectDispatcher
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.routetable import Repeat, Route, Service, Share
from linnetwood.core.clock import SystemClock
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Ending
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver, Transfer
from linnetwood.wire.curlrequest import Headers
from linnetwood.wire.probing import refuses_connections
from tests.test_curldriver import HOST, Behaviour, Server

ID = 'X-Attempt-Id: c-1\r\n'
SIGNED = f'{ID}X-Server-Signature: s-1\r\n'


def answer(head: str, body: bytes, length: int | None = None) -> bytes:
    """Return an HTTP answer with a length."""
    size = len(body) if length is None else length
    text = f'HTTP/1.1 {head}Content-Length: {size}\r\n\r\n'
    return text.encode() + body


DESK = Service('desk', 10)
CALL = 'c0' * 12
PART = 'f0' * 12
GOOD = answer(f'200 OK\r\n{SIGNED}', b'fine')
FULL = answer(f'503 No\r\n{ID}X-Not-Executed: 1\r\n', b'')
ELSEWHERE = answer('421 No\r\nX-Instance-Id: i-9\r\n', b'')
NOT_FOUND = answer(f'404 No\r\n{SIGNED}', b'no')
FAILED = answer(f'500 Bad\r\n{SIGNED}', b'oops')


async def never_answer(
    reader: asyncio.StreamReader, _: asyncio.StreamWriter
) -> None:
    """Wait until the caller closes the connection."""
    await reader.read()


class AnswerFromSecond:
    """Never answer the first request; answer later ones, or none."""

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.seen = 0

    async def behave(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Behave as an endpoint does for a request."""
        self.seen += 1
        if self.answers and self.seen > 1:
            writer.write(GOOD)
            await writer.drain()
        else:
            await never_answer(reader, writer)


class RecordingSink(AnswerSink):
    """Record the answer that a caller is sent."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.received = b''
        self.ended = ''

    def begin(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers

    def send_piece(self, piece: bytes) -> None:
        self.received += piece

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        self.begin(status, headers)
        self.received = body
        self.ended = 'whole'

    def finish(self) -> None:
        self.ended = 'whole'

    def abort(self) -> None:
        self.ended = 'aborted'


class HeadlessSink(RecordingSink):
    """Refuse every head, as the library does with some headers."""

    def begin(self, status: int, headers: Headers) -> None:
        raise ValueError('unsafe header')


def events(*numbers: int) -> bytes:
    """Return whole events of a stream."""
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


def stream(*parts: bytes, ends: bool = True) -> bytes:
    """Return a chunked stream; without an end it is truncated."""
    head = f'HTTP/1.1 200 OK\r\n{SIGNED}Transfer-Encoding: chunked\r\n\r\n'
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    end = b'0\r\n\r\n' if ends else b''
    return head.encode() + chunks + end


async def accepts_connections(endpoint: Endpoint) -> bool:
    """Return whether an endpoint proves to run by a connection."""
    return not await refuses_connections(endpoint.host, endpoint.port)


def was_sent(transfer: Transfer) -> bool:
    handle = transfer.handle
    return handle is None or bool(handle.getinfo(pycurl.REQUEST_SIZE))


class DirectFixture(unittest.IsolatedAsyncioTestCase):
    """A dispatcher, and endpoints that tests choose."""

    async def asyncSetUp(self) -> None:
        self.servers: list[Server] = []
        self.sink = RecordingSink()
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(1))
        self.driver = CurlDriver()
        self.dispatcher = DirectDispatcher(
            self.chooser,
            self.driver,
            PlatformDialect(),
            WantedVersions(8),
            'z1',
            NoMetrics(),
        )

    async def asyncTearDown(self) -> None:
        self.driver.close()
        for server in self.servers:
            await server.close()

    async def serve(self, *behaviours: Behaviour) -> None:
        """Start endpoints that are chosen in this order."""
        for number, behave in enumerate(behaviours):
            server = Server(behave)
            self.servers.append(server)
            port = await server.start()
            name = f'i-{number}'
            self.directory.update(
                Endpoint(name, 'desk', HOST, port, 'z1', 6, ready=True),
            )
            for _ in range(number):
                self.chooser.stats_of(name).record_sent()

    def watch_crashes(self) -> None:
        """Check endpoints whose answers broke off."""
        self.crashes = CrashHistory()
        self.dispatcher.crash_observer = CrashWatch(
            self.crashes,
            CrashCauses(self.crashes, Random(1), lambda: 1),
            self.directory,
            SystemClock(),
            refuses_connections,
            accepts_connections,
            mock.Mock(),
        )

    async def call(
        self,
        repeat: Repeat,
        *,
        streams: bool = False,
        attempts: int = 2,
        wait_s: float = 20,
        service: Service = DESK,
    ) -> tuple[Ending, RecordingSink]:
        """Run one call."""
        route = Route(
            'r',
            'h',
            '/',
            repeat,
            streams,
            timeout_s=wait_s,
            target_s=0.4,
            gap_s=0.4,
            attempts=attempts,
            priority=1,
            public=True,
            shares=(Share('desk', 1),),
        )
        now = asyncio.get_running_loop().time()
        call = DirectCall(
            CallHead(call_id='c-1'),
            route,
            service,
            None,
            'POST',
            '/x',
            [('Host', 'h'), ('X-Attempt-Id', 'c-1')],
            b'body',
            now,
            now + wait_s,
            fingerprint=CALL,
            part_fingerprints=(PART,),
        )
        return await self.dispatcher.run(call, self.sink), self.sink

    def runs(self) -> int:
        """Count the requests that reached any endpoint."""
        return sum(len(server.requests) for server in self.servers)
