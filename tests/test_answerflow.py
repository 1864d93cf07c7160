"""Callers that read their answers while the event loop is held up."""

import asyncio
import socket
import time
import unittest

from tornado.iostream import IOStream

from linnetwood.calls.answerflow import ConnectionFlow
from linnetwood.calls.callersockets import PIECE_BYTES
from linnetwood.calls.heldbytes import HeldBytes, HoldLimits

# Far longer than any wait here.
GUARD_S = 30
STALL_S = 0.2
HELD_UP_S = (0.21, 0.5)
TURNS = 3
PIECES = 100
ANSWER_BYTES = PIECES * PIECE_BYTES


def read_all(sock: socket.socket) -> int:
    """Read what has arrived; return its size."""
    size = 0
    while True:
        try:
            size += len(sock.recv(1000000))
        except BlockingIOError:
            return size


class ConnectionFlowTest(unittest.IsolatedAsyncioTestCase):
    """A connection whose kernel buffers are full."""

    async def asyncSetUp(self) -> None:
        ours, caller = socket.socketpair()
        self.caller = caller
        ours.setblocking(False)
        self.caller.setblocking(False)
        self.stream = IOStream(ours)
        self.held = HeldBytes(HoldLimits(stall_s=STALL_S))
        self.stalls: list[float] = []
        self.flow = ConnectionFlow(self.stream, self.held, self.stalls.append)

    async def asyncTearDown(self) -> None:
        self.stream.close()
        self.caller.close()

    async def write(self) -> None:
        """Write more than the kernel takes, and let that be counted."""
        for _ in range(PIECES):
            self.stream.write(b'x' * PIECE_BYTES)
            self.flow.hold(PIECE_BYTES)
        for _ in range(TURNS):
            await asyncio.sleep(0)

    async def read_rest(self) -> int:
        """Read until nothing is held; return the size."""
        size = 0
        while self.flow.unread:
            await asyncio.sleep(0)
            size += read_all(self.caller)
        return size

    async def test_reader_beside_a_loop_that_is_held_up(self) -> None:
        """Guard against the end of an answer whose caller reads it.

        The timer is due when the loop goes on, in the turn in which the
        connection takes more.
        """
        for held_up_s in HELD_UP_S:
            with self.subTest(held_up_s=held_up_s):
                await self.write()
                size = read_all(self.caller)
                time.sleep(held_up_s)
                async with asyncio.timeout(GUARD_S):
                    size += await self.read_rest()
                self.assertEqual(size, ANSWER_BYTES)
                self.assertEqual(self.stalls, [])

    async def test_caller_that_reads_nothing(self) -> None:
        """Guard against answers that are held for ever."""
        await self.write()
        async with asyncio.timeout(GUARD_S):
            while not self.stalls:
                await asyncio.sleep(0.01)
        self.assertGreater(self.flow.unread, 0)
