"""Guard against slow callers that take the memory and calls of others."""

import asyncio
import gc
import socket
import unittest
import weakref
from unittest import mock

from tornado.iostream import IOStream

from linnetwood.calls.answerflow import ConnectionFlow
from linnetwood.calls.attempt import AnswerStream, Attempt
from linnetwood.calls.callersockets import PIECE_BYTES
from linnetwood.calls.heldbytes import HeldBytes, HoldLimits
from linnetwood.calls.memoryguard import MemoryGuard, calls_within
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.curlrequest import Request
from tests.test_curldriver import HOST, Server, respond_with

GUARD_S = 60.0
STALL_S = 0.2
PIECES = 512
LONG = b'x' * 1000000
WHOLE = (
    b'HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n'
    b'Content-Length: %d\r\n\r\n%b' % (len(LONG), LONG)
)


class FakeHolder:
    """Hold bytes since some seconds."""

    def __init__(
        self, held: HeldBytes, size: int, age_s: float, *, delays: bool = True
    ) -> None:
        self.held_bytes = size
        self.held_since = asyncio.get_running_loop().time() - age_s
        self.delays_call = delays
        self.is_evicted = False
        self._held = held

    @property
    def answer(self) -> object:
        """Return an answer of its own."""
        return self

    def evict(self) -> None:
        """Hold nothing any more."""
        self.is_evicted = True
        size = self.held_bytes
        self.held_bytes = 0
        self._held.release(self, size)


class HeldBytesTest(unittest.IsolatedAsyncioTestCase):
    """Hold more than an entry has room for."""

    def setUp(self) -> None:
        self.held = HeldBytes(HoldLimits(entry=1000))

    def hold(
        self, size: int, age_s: float, *, delays: bool = True
    ) -> FakeHolder:
        """Return a holder that is counted."""
        holder = FakeHolder(self.held, size, age_s, delays=delays)
        self.held.hold(holder, size)
        return holder

    async def test_who_gives_way(self) -> None:
        """The one with the most bytes for longest, not a short call."""
        slow = self.hold(200, 50)
        large = self.hold(700, 1)
        small = self.hold(50, 1)
        self.assertFalse(slow.is_evicted)
        newest = self.hold(60, 0)
        is_evicted = [one.is_evicted for one in (slow, large, small, newest)]
        self.assertEqual(is_evicted, [True, False, False, False])
        self.assertEqual(self.held.answers, 810)

    async def test_the_only_answer_stays(self) -> None:
        """Guards against a large answer that nobody ever gets in calm."""
        only = self.hold(5000, 10)
        self.assertFalse(only.is_evicted)
        self.assertTrue(self.held.is_full)

    async def test_a_crowd_is_held_to_the_limit(self) -> None:
        """Guards against memory that grows with the number of callers."""
        crowd = [self.hold(64, number) for number in range(250)]
        self.assertLessEqual(self.held.answers, 1000)
        left = sum(one.held_bytes for one in crowd)
        self.assertEqual(left, self.held.answers)

    async def test_calls_beyond_the_limit(self) -> None:
        """A call is taken for one whose caller reads slowly, if any."""
        guard = MemoryGuard(self.held, max_calls=10)
        self.assertFalse(guard.refuses(10, 0))
        self.assertTrue(guard.refuses(11, 0))
        ended = self.hold(100, 100, delays=False)
        self.assertTrue(guard.refuses(11, 0))
        slow = self.hold(10, 10)
        self.assertFalse(guard.refuses(11, 0))
        self.assertEqual((ended.is_evicted, slow.is_evicted), (False, True))
        self.assertTrue(guard.refuses(11, 0))

    async def test_calls_beyond_both_limits(self) -> None:
        """Guards against a call that is taken although memory is full."""
        guard = MemoryGuard(self.held, max_calls=10)
        self.hold(10, 10)
        self.held.bodies = 1000
        self.assertTrue(guard.refuses(11, 0))

    async def test_a_process_near_its_limit(self) -> None:
        """Guards against a guard that refuses as long as a crowd stays."""
        guard = MemoryGuard(self.held, 1000, lambda: 900)
        holders = [self.hold(100, age_s) for age_s in range(3)]
        for number in range(3):
            self.assertTrue(guard.refuses(0, number))
        self.assertTrue(all(one.is_evicted for one in holders))
        self.assertFalse(guard.refuses(0, 4))

    def test_every_load_of_the_pages_fits(self) -> None:
        """Guards against a bound on calls that sound callers meet."""
        self.assertGreater(calls_within(300000000), 1000)
        self.assertGreater(calls_within(0), 1 << 40)


class PaceTest(unittest.IsolatedAsyncioTestCase):
    """Callers that read, if slowly."""

    async def asyncSetUp(self) -> None:
        ours, caller = socket.socketpair()
        self.caller = caller
        for sock in (ours, caller):
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.stream = IOStream(ours)
        self.held = HeldBytes(HoldLimits(stall_s=STALL_S))
        self.stalls: list[float] = []
        self.flow = ConnectionFlow(self.stream, self.held, self.stalls.append)
        self.addCleanup(self.stream.close)
        self.addCleanup(self.caller.close)

    async def read(self, size: int, pause_s: float) -> None:
        """Read so many bytes at a time until all is taken, or cut off."""
        async with asyncio.timeout(GUARD_S):
            while self.flow.unread and not self.stalls:
                try:
                    self.caller.recv(size)
                except BlockingIOError:
                    await asyncio.sleep(0)
                await asyncio.sleep(pause_s)

    async def test_trickle(self) -> None:
        """Guards against a caller that holds an answer for hours."""
        for _ in range(PIECES):
            self.stream.write(b'x' * 256)
            self.flow.hold(256)
        await self.read(64, STALL_S / 20)
        self.assertEqual(len(self.stalls), 1)

    async def test_steady_reader(self) -> None:
        """Guards against the end of an answer that is read steadily."""
        for _ in range(PIECES):
            self.stream.write(b'x' * PIECE_BYTES)
            self.flow.hold(PIECE_BYTES)
        await self.read(PIECE_BYTES, STALL_S / 200)
        self.assertEqual(self.stalls, [])


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """What is left of an attempt."""

    async def test_an_ended_attempt_is_freed_at_once(self) -> None:
        """Guards against answers that stay until cycles are collected."""
        server = Server(respond_with(WHOLE))
        driver = CurlDriver()
        req = Request(HOST, await server.start(), 'GET', '/', [('Host', 'x')])
        gc.disable()
        self.addCleanup(gc.enable)
        ended = await self.ended(driver, req)
        await asyncio.sleep(0)
        self.assertIsNone(ended())
        driver.close()
        await server.close()

    async def ended(
        self, driver: CurlDriver, req: Request
    ) -> 'weakref.ref[Attempt]':
        """Run an attempt to its end."""
        attempt = Attempt(
            AnswerStream(mock.Mock(), ''),
            PlatformDialect(),
            'c-1',
            streams=False,
            clock_now=0,
        )
        attempt.on_start = attempt.abandon
        attempt.start(driver, req)
        self.assertEqual((await attempt.fut).body, LONG)
        attempt.close()
        return weakref.ref(attempt)


if __name__ == '__main__':
    unittest.main()
