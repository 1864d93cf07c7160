"""Calls at an endpoint whose back end raises errors that nobody expects."""

import asyncio
import unittest
from random import Random
from typing import Any

from linnetwood.calls.backendexchange import BackendSink
from linnetwood.calls.guard import Guard, GuardState
from linnetwood.calls.keys import KeyMemory
from linnetwood.core.events import Event
from linnetwood.core.outcomes import ANSWERED, Code, Ending, Outcome
from linnetwood.gen.wire.ttypes import End, Start
from linnetwood.lab.memory_net import MemoryNet
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import FrameKind, FrameStream
from tests.test_backend import start_of
from tests.test_dispatch import in_virtual_time

ADDRESS = ('memory', 1)
SECRET = 'text of a private prompt'


class FailingBackend:
    """Fail as often as a test says, and then answer."""

    def __init__(self) -> None:
        self.failures = 0
        self.ended = asyncio.Event()

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Run one call."""
        if start.method == 'WAIT':
            await self.ended.wait()
        if self.failures:
            self.failures -= 1
            raise KeyError(SECRET)
        sink.head(200, [], '')
        return ANSWERED

    async def cancel(self, call_id: str) -> None:
        """Fail to stop a call."""
        raise KeyError(SECRET)


class GuardTest(unittest.TestCase):
    """Send calls over connections in memory."""

    def setUp(self) -> None:
        self.net = MemoryNet(Random(1), 0, 0)
        self.net.accepting[ADDRESS] = self.accept
        self.backend = FailingBackend()
        state = GuardState('desk', 'desk', 1)
        memory = KeyMemory('vm', 1, 600, 100, 0)
        self.guard = Guard(state, self.backend, memory)

    async def connect(self) -> FrameStream:
        """Connect to the guard."""
        return await self.net.dial(ADDRESS)

    async def accept(self, stream: FrameStream) -> None:
        """Serve one connection."""
        while True:
            await self.guard.serve(stream, await stream.read())

    async def end_of(self, stream: FrameStream, **changes: Any) -> End:
        """Send a call and return its end."""
        self.send(stream, **changes)
        while True:
            frame = await stream.read()
            if frame.kind == FrameKind.END:
                return decode(End, frame.payload)

    def send(self, stream: FrameStream, **changes: Any) -> None:
        """Send a call."""
        start = start_of()
        start.key = ''
        for name, found in changes.items():
            setattr(start, name, found)
        stream.send(FrameKind.START, encode(start))
        stream.send(FrameKind.BODY, b'')

    @in_virtual_time
    async def test_error_of_the_back_end(self) -> None:
        """Guard against a connection that closes without an ending."""
        stream = await self.connect()
        self.backend.failures = 1
        with self.assertLogs('linnetwood', 'INFO') as captured:
            end = await self.end_of(stream)
        found = (end.outcome, end.code, end.in_flight)
        self.assertEqual(found, (Outcome.UNKNOWN, Code.INTERNAL.value, 0))
        lines = [record.__dict__ for record in captured.records]
        self.assertNotIn(SECRET, str(lines))
        self.assertIn(Event.CALL_FAILED, [line['event'] for line in lines])
        # The connection and the only slot serve the next call.
        end = await self.end_of(stream)
        self.assertEqual(end.outcome, Outcome.ANSWERED)
        await self.net.close()

    @in_virtual_time
    async def test_key_of_a_call_that_failed(self) -> None:
        """Guard against a second run of a call that may have run."""
        stream = await self.connect()
        self.backend.failures = 1
        for code in (Code.INTERNAL, Code.KEY_USED):
            end = await self.end_of(stream, key='vm.1.1.a')
            found = (end.outcome, end.code)
            self.assertEqual(found, (Outcome.UNKNOWN, code.value))
        await self.net.close()

    @in_virtual_time
    async def test_error_of_a_cancellation(self) -> None:
        """Guard against a slot that is free while its call still runs."""
        stream = await self.connect()
        self.send(stream, method='WAIT')
        await asyncio.sleep(1)
        stream.close()
        await asyncio.sleep(1)
        self.assertEqual(self.guard.state.in_flight, 1)
        self.backend.ended.set()
        await asyncio.sleep(1)
        self.assertEqual(self.guard.state.in_flight, 0)
        await self.net.close()


if __name__ == '__main__':
    unittest.main()
