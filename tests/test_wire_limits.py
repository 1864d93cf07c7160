"""Guard against crowds at the port between the system's processes."""

import asyncio
import unittest

from tornado.netutil import bind_sockets

from linnetwood.core.sizes import KIB
from linnetwood.wire import frames
from linnetwood.wire.connectionlimit import ConnectionLimit
from linnetwood.wire.connections import TcpDialler, WireLimits, WireServer
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

GUARD_S = 30.0
PART_BYTES = 100 * KIB
PART = frames.pack(FrameKind.DRAIN, bytes(4 * PART_BYTES))[:PART_BYTES]
Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class WireLimitsTest(unittest.IsolatedAsyncioTestCase):
    """Connect to a server that allows little."""

    async def serve(self, limits: WireLimits) -> None:
        """Start a server whose handler goes on for ever."""
        self.handling = asyncio.Event()

        async def handle(stream: FrameStream, frame: Frame) -> None:
            if frame.payload:
                self.handling.set()
                await asyncio.Event().wait()
            await stream.write(FrameKind.DONE, b'')

        sockets = bind_sockets(0, '127.0.0.1')
        self.address = ('127.0.0.1', sockets[0].getsockname()[1])
        server = WireServer({FrameKind.DRAIN: handle}, limits)
        await server.start(sockets)
        self.addAsyncCleanup(server.close)

    async def connect(self, sent: bytes = b'') -> Ends:
        """Connect and send some bytes."""
        ends = await asyncio.open_connection(*self.address)
        self.addCleanup(ends[1].close)
        ends[1].write(sent)
        return ends

    async def assert_closed(self, ends: Ends) -> None:
        """Check that the server closes a connection."""
        async with asyncio.timeout(GUARD_S):
            try:
                self.assertEqual(await ends[0].read(), b'')
            except ConnectionResetError:
                return

    async def assert_served(self) -> None:
        """Check that a sound request is answered."""
        stream = await TcpDialler().dial(self.address)
        await stream.write(FrameKind.DRAIN, b'')
        async with asyncio.timeout(GUARD_S):
            self.assertEqual((await stream.read()).kind, FrameKind.DONE)
        stream.close()

    async def test_idle_connections_give_way(self) -> None:
        """Guards against a port that a crowd takes, or a peer cut off."""
        await self.serve(WireLimits(ConnectionLimit('processes', 3)))
        subscriber = await self.connect(frames.pack(FrameKind.DRAIN, b'x'))
        await self.handling.wait()
        crowd = [await self.connect() for _ in range(5)]
        for ends in crowd[:3]:
            await self.assert_closed(ends)
        await self.assert_served()
        self.assertFalse(subscriber[0].at_eof())

    async def test_parts_of_frames_are_bounded(self) -> None:
        """Guards against a process whose memory unfinished frames fill."""
        limits = WireLimits(
            ConnectionLimit('processes'), held_bytes=3 * PART_BYTES
        )
        await self.serve(limits)
        crowd = [await self.connect(PART) for _ in range(6)]
        reading = [asyncio.create_task(reader.read()) for reader, _ in crowd]
        await self.assert_served()
        async with asyncio.timeout(GUARD_S):
            while sum(one.done() for one in reading) < 3:
                await asyncio.sleep(0)
        await self.assert_served()
        self.assertFalse(all(one.done() for one in reading))
        for one in reading:
            one.cancel()
        await asyncio.gather(*reading, return_exceptions=True)


if __name__ == '__main__':
    unittest.main()
