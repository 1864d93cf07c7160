"""Attempts at endpoints whose connections close, fall silent or err."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from linnetwood.calls.dispatch import AnswerSink, Call, Dispatcher
from linnetwood.calls.routing import POLICIES, EndpointQuery, Routes
from linnetwood.core.errors import WireError
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Ending, Outcome
from linnetwood.fleet.members import ENDPOINT, Health
from linnetwood.gen.wire.ttypes import End, Head, Member, Start
from linnetwood.lab import virtual
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.connections import (
    CONNECT_TIMEOUT,
    CONNECT_TIMEOUT_S,
    Address,
)
from linnetwood.wire.frames import FrameKind, FrameStream

DEADLINE_S = 20.0
BODY = b'whole'
Behaviour = Callable[[FrameStream, Start], Awaitable[None]]


def head_of(start: Start) -> bytes:
    """Return the head of the call's own answer."""
    return encode(Head(start.call_id, 200, []))


def end_of(start: Start, outcome: Outcome = Outcome.ANSWERED) -> bytes:
    """Return the end of the call's own answer."""
    return encode(End(start.call_id, outcome))


async def answer(stream: FrameStream, start: Start) -> None:
    """Answer a call."""
    stream.send(FrameKind.HEAD, head_of(start))
    stream.send(FrameKind.BODY, BODY)
    stream.send(FrameKind.END, end_of(start))


class RecordingSink(AnswerSink):
    """Record an answer."""

    def __init__(self) -> None:
        self.heads = 0
        self.received = b''

    async def head(self, head: Head, key: str) -> None:
        """Count the heads."""
        self.heads += 1

    async def body(self, piece: bytes) -> None:
        """Record a piece."""
        self.received += piece


class SilentDialler(MemoryDialler):
    """Connect to processes, of which some don't answer a handshake."""

    def __init__(self, net: MemoryNet) -> None:
        super().__init__(net)
        self.silent_until: dict[Address, float] = {}
        self.dialled: list[Address] = []

    async def dial(self, address: Address) -> FrameStream:
        """Connect, or fail after a timeout as the TCP dialler does."""
        self.dialled.append(address)
        now = asyncio.get_running_loop().time()
        silent_s = self.silent_until.get(address, 0) - now
        await asyncio.sleep(min(max(0, silent_s), CONNECT_TIMEOUT_S))
        if silent_s > CONNECT_TIMEOUT_S:
            raise WireError(CONNECT_TIMEOUT, 'silent')
        return await super().dial(address)


class Fleet:
    """An entry's dispatcher, and endpoints that a test scripts."""

    def __init__(self, endpoints: int = 1) -> None:
        loop = asyncio.get_running_loop()
        self.clock = virtual.VirtualClock(loop)
        self.net = MemoryNet(Random(1), 0, 0)
        self.behave: Behaviour = answer
        self.starts: list[Start] = []
        self.server_ends: list[FrameStream] = []
        self.routes = Routes('z', POLICIES['probing'](), Random(1))
        for number in range(endpoints):
            self.net.accepting['memory', number] = self.accept
            self.routes.member_changed(member(number))
        self.pool = SilentDialler(self.net)
        self.dispatcher = Dispatcher(
            self.routes, self.pool, self.clock, NoMetrics()
        )

    async def accept(self, stream: FrameStream) -> None:
        """Serve one connection as the test says."""
        self.server_ends.append(stream)
        while True:
            start = decode(Start, (await stream.read()).payload)
            await stream.read()
            self.starts.append(start)
            await self.behave(stream, start)

    async def call(
        self,
        *,
        may_repeat: bool = True,
        key: str = '',
        deadline_s: float = DEADLINE_S,
    ) -> tuple[Ending, RecordingSink]:
        """Run a call and return its ending and answer."""
        call = Call(
            f'c{len(self.starts)}',
            EndpointQuery('desk'),
            'desk',
            'GET',
            '/',
            (),
            b'',
            deadline=self.clock.now() + deadline_s,
            may_repeat=may_repeat,
            at_most_once=bool(key),
            key=key,
        )
        sink = RecordingSink()
        ending = await self.dispatcher.run(call, sink)
        return ending, sink


@contextlib.asynccontextmanager
async def running(endpoints: int = 1) -> AsyncIterator[Fleet]:
    """Run a fleet, and close its connections."""
    fleet = Fleet(endpoints)
    try:
        yield fleet
    finally:
        await fleet.net.close()


def member(number: int) -> Member:
    """Return the record of an endpoint."""
    return Member(
        vm=f'vm-{number}',
        incarnation=1,
        version=1,
        role=ENDPOINT,
        availability_zone='z',
        region='r',
        rack='',
        host='memory',
        port=number,
        status=int(Health.ALIVE),
        kind='desk',
        slots=8,
    )


def in_virtual_time(
    test: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    """Run a test in virtual time."""

    def run(self: Any) -> None:
        virtual.run(test(self))

    run.__doc__ = test.__doc__
    return run


class DispatchTest(unittest.TestCase):
    """Run calls in virtual time."""

    @in_virtual_time
    async def test_silence_ends_no_answer(self) -> None:
        """Guard against an answer that is cut since its endpoint is silent."""

        async def pause(stream: FrameStream, start: Start) -> None:
            await asyncio.sleep(1.6)
            stream.send(FrameKind.HEAD, head_of(start))
            await asyncio.sleep(1.6)
            stream.send(FrameKind.BODY, BODY)
            await asyncio.sleep(1.6)
            stream.send(FrameKind.END, end_of(start))

        async with running() as fleet:
            fleet.behave = pause
            ending, sink = await fleet.call()
        self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual((sink.heads, sink.received), (1, BODY))
        self.assertEqual(len(fleet.starts), 1)

    @in_virtual_time
    async def test_kept_connection_that_closes(self) -> None:
        """Guard against a call that is lost with a kept connection."""
        for may_repeat in (True, False):
            async with running() as fleet:
                await fleet.call()
                # The entry doesn't know of it yet.
                fleet.server_ends[0].close()
                ending, sink = await fleet.call(may_repeat=may_repeat)
            self.assertEqual(ending.outcome, Outcome.ANSWERED, may_repeat)
            self.assertEqual(sink.received, BODY)

    @in_virtual_time
    async def test_another_endpoint_goes_first(self) -> None:
        """Guard against more attempts at an endpoint that has crashed."""
        async with running(endpoints=2) as fleet:
            fleet.routes.load('vm-1').sent = 4
            await fleet.call()
            fleet.net.accepting.pop(('memory', 0))
            fleet.server_ends[0].close()
            ending, _ = await fleet.call()
            self.assertEqual(ending.outcome, Outcome.ANSWERED)
            self.assertEqual(fleet.dispatcher.attempts, 3)
            self.assertEqual(len(fleet.net.streams['memory', 1]), 2)

    @in_virtual_time
    async def test_answered_without_a_head(self) -> None:
        """Guard against an answer of our own in place of the endpoint's."""

        async def end(stream: FrameStream, start: Start) -> None:
            stream.send(FrameKind.END, end_of(start))

        async def send_body(stream: FrameStream, start: Start) -> None:
            stream.send(FrameKind.BODY, BODY)
            stream.send(FrameKind.END, end_of(start))

        for behave in (end, send_body):
            async with running() as fleet:
                fleet.behave = behave
                ending, sink = await fleet.call()
            self.assertEqual(ending.code, 'wrong-answer')
            self.assertEqual((sink.heads, sink.received), (0, b''))

    @in_virtual_time
    async def test_endpoint_silent_while_connecting(self) -> None:
        """Guard against a refusal since the only endpoint is silent for 2 s."""
        for key, retries in (('', 10), ('', 0), ('vm-0.1.1.a', 10)):
            async with running() as fleet:
                fleet.dispatcher._budget.set_limits(0, retries)
                fleet.pool.silent_until['memory', 0] = fleet.clock.now() + 2
                ending, sink = await fleet.call(may_repeat=False, key=key)
            self.assertEqual(ending.outcome, Outcome.ANSWERED, key)
            self.assertEqual(sink.received, BODY)
            self.assertEqual(len(fleet.starts), 1)

    @in_virtual_time
    async def test_other_endpoint_before_a_silent_one(self) -> None:
        """Guard against calls that wait for a silent endpoint in vain."""
        async with running(endpoints=2) as fleet:
            fleet.routes.load('vm-1').sent = 4
            fleet.pool.silent_until['memory', 0] = 9
            ending, _ = await fleet.call()
            self.assertEqual(ending.outcome, Outcome.ANSWERED)
            found = [port for _, port in fleet.pool.dialled]
            self.assertEqual(found, [0, 1])

    @in_virtual_time
    async def test_endpoint_that_stays_silent(self) -> None:
        """Guard against calls without a refusal, or without a true one."""
        for key, expected in (
            ('', Outcome.NOT_RUN),
            ('vm-0.1.1.a', Outcome.UNKNOWN),
        ):
            async with running() as fleet:
                began = fleet.clock.now()
                fleet.pool.silent_until['memory', 0] = began + 9
                ending, _ = await fleet.call(may_repeat=False, key=key)
                self.assertLess(fleet.clock.now(), began + 4)
            self.assertEqual(ending.outcome, expected)
            self.assertEqual(ending.code, 'connect-failed')

    @in_virtual_time
    async def test_call_without_time(self) -> None:
        """Guard against a call that is sent after its deadline."""
        async with running() as fleet:
            await fleet.call()
            for key, expected in (
                ('', Outcome.NOT_RUN),
                ('vm-0.1.1.a', Outcome.UNKNOWN),
            ):
                ending, _ = await fleet.call(deadline_s=0, key=key)
                found = (ending.outcome, ending.code)
                self.assertEqual(found, (expected, 'deadline-passed'))
            await asyncio.sleep(1)
            self.assertEqual(len(fleet.starts), 1)


if __name__ == '__main__':
    unittest.main()
