"""Decoding arbitrary bytes neither crashes nor uses much memory."""

import asyncio
import ssl
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.netutil import bind_sockets

from linnetwood.core.errors import CodecError, WireError
from linnetwood.core.sizes import MIB
from linnetwood.gen.schema.ttypes import Configuration
from linnetwood.gen.wire.ttypes import End, Gossip, Start
from linnetwood.wire import codec, frames
from linnetwood.wire.connections import TcpDialler, WireServer
from linnetwood.wire.frames import Frame, FrameKind, FrameStream
from tests.loops import close_server

FLOOD_FRAMES = 20000
FRAMES_A_TURN = 1000

QUIET = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    database=None,
)


class FramesTest(unittest.TestCase):
    """Split bytes into frames."""

    @QUIET
    @given(
        st.lists(
            st.tuples(st.sampled_from(FrameKind), st.binary(max_size=40)),
            max_size=6,
        ),
        st.integers(1, 9),
    )
    def test_any_pieces(
        self,
        sent: list[tuple[FrameKind, bytes]],
        piece: int,
    ) -> None:
        """Frames that arrive in pieces are decoded unchanged."""
        wire = b''.join(frames.pack(kind, payload) for kind, payload in sent)
        pending = bytearray()
        found: list[Frame] = []
        for start in range(0, len(wire), piece):
            pending += wire[start : start + piece]
            found.extend(frames.split(pending))
        self.assertEqual([(one.kind, one.payload) for one in found], sent)
        self.assertEqual(pending, b'')

    @QUIET
    @given(st.binary(max_size=200))
    def test_any_bytes(self, wire: bytes) -> None:
        """Bytes that are not frames are rejected with a code."""
        try:
            list(frames.split(bytearray(wire)))
        except CodecError as exc:
            self.assertIn(exc.code, {'frame-too-large', 'unknown-frame'})

    def test_oversized(self) -> None:
        """A frame over the limit is rejected by its header alone."""
        header = (frames.MAX_FRAME + 1).to_bytes(4, 'big') + b'\x01'
        with self.assertRaisesRegex(CodecError, 'frame-too-large'):
            list(frames.split(bytearray(header)))


class FloodTest(unittest.IsolatedAsyncioTestCase):
    """Read many tiny frames that have arrived at once."""

    async def test_other_tasks_run_meanwhile(self) -> None:
        """Guards against a peer that holds up the event loop with frames."""
        stream = FrameStream()
        stream.data_received(frames.pack(FrameKind.END, b'') * FLOOD_FRAMES)
        reading = asyncio.create_task(self.read_all(stream))
        turns = 0
        while not reading.done():
            await asyncio.sleep(0)
            turns += 1
        self.assertGreater(turns, FLOOD_FRAMES / FRAMES_A_TURN)

    async def read_all(self, stream: FrameStream) -> None:
        """Read the frames that have arrived."""
        for _ in range(FLOOD_FRAMES):
            await stream.read()


class CodecTest(unittest.TestCase):
    """Decode messages, and bytes that are none."""

    @QUIET
    @given(
        st.binary(max_size=300),
        st.sampled_from((Gossip, Start, End, Configuration)),
    )
    def test_any_bytes(self, payload: bytes, kind: type) -> None:
        """Random bytes are rejected with a code, or are a complete message."""
        try:
            codec.decode(kind, payload)
        except CodecError as exc:
            self.assertIn(exc.code, {'bad-message', 'missing-field'})

    def test_huge_lengths(self) -> None:
        """No memory is allocated for a length that a message claims."""
        claims = b'\x18\xff\xff\xff\xff\x07'
        with self.assertRaises(CodecError):
            codec.decode(Start, claims)

    def test_missing_field(self) -> None:
        """A message without a required field is rejected."""
        with self.assertRaisesRegex(CodecError, 'missing-field'):
            codec.decode(Start, codec.encode(End(call_id='c')))


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Connect to a server with valid frames and with garbage."""

    async def test_garbage_closes_one_connection_only(self) -> None:
        """Garbage is rejected, and the next connection is served."""

        async def echo(stream: FrameStream, frame: Frame) -> None:
            await stream.write(FrameKind.DONE, frame.payload)

        sockets = bind_sockets(0, '127.0.0.1')
        address = ('127.0.0.1', sockets[0].getsockname()[1])
        server = WireServer({FrameKind.DRAIN: echo})
        await server.start(sockets)
        for garbage in (b'\xff' * 50, b'\x00\x00\x00\x01\x01x'):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(garbage)
            self.assertEqual(await reader.read(), b'')
            writer.close()
        stream = await TcpDialler().dial(address)
        await stream.write(FrameKind.DRAIN, b'good')
        self.assertEqual((await stream.read()).payload, b'good')
        stream.close()
        await server.close()

    async def test_close_sends_what_is_unsent(self) -> None:
        """Guard against a stop that loses the end of an answer."""
        chunk = frames.pack(FrameKind.CHUNK, bytes(MIB))
        sent: list[bytes] = []
        unread = asyncio.Event()

        async def answer(stream: FrameStream, frame: Frame) -> None:
            # More than the sockets hold, which may still grow.
            for _ in range(3):
                while stream.writable:
                    sent.append(chunk)
                    stream.send(FrameKind.CHUNK, bytes(MIB))
                await asyncio.sleep(0.05)
            unread.set()

        sockets = bind_sockets(0, '127.0.0.1')
        server = WireServer({FrameKind.DRAIN: answer})
        await server.start(sockets)
        reader, writer = await asyncio.open_connection(
            *sockets[0].getsockname(), limit=1024
        )
        writer.write(frames.pack(FrameKind.DRAIN, b''))
        async with asyncio.timeout(30):
            await unread.wait()
            closing = asyncio.create_task(server.close(30))
            # Time to end, if it did not wait.
            await asyncio.sleep(0.2)
            self.assertFalse(closing.done())
            received = len(await reader.read())
            await closing
        writer.close()
        self.assertEqual(received, len(sent) * len(chunk))

    async def test_close_ends_beside_a_silent_peer(self) -> None:
        """Guard against a stop that waits for a silent peer for good."""

        async def answer(stream: FrameStream, frame: Frame) -> None:
            await stream.write(FrameKind.CHUNK, bytes(3 * MIB))

        sockets = bind_sockets(0, '127.0.0.1')
        server = WireServer({FrameKind.DRAIN: answer})
        await server.start(sockets)
        _, writer = await asyncio.open_connection(
            *sockets[0].getsockname(), limit=1024
        )
        writer.write(frames.pack(FrameKind.DRAIN, b''))
        await asyncio.sleep(0.05)
        async with asyncio.timeout(30):
            await server.close(0.05)
        writer.close()

    async def test_only_silence_ends_a_read(self) -> None:
        """A frame that arrives in pieces is read; one that stops is not."""
        whole = frames.pack(FrameKind.DONE, b'good')
        cases: tuple[tuple[list[bytes], bytes | None], ...] = (
            ([whole[:3], whole[3:6], whole[6:]], b'good'),
            ([whole[:6]], None),
            ([], None),
        )
        for pieces, expected in cases:
            with self.subTest(pieces=pieces):
                self.assertEqual(await self.read_from(pieces), expected)

    async def read_from(self, pieces: list[bytes]) -> bytes | None:
        """Read from a peer that sends pieces, each 0.3 s after the last."""

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            for piece in pieces:
                await asyncio.sleep(0.3)
                writer.write(piece)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        stream = await TcpDialler().dial(address)
        try:
            async with asyncio.timeout(30):
                return (await stream.read_within(0.7)).payload
        except WireError as exc:
            self.assertEqual(exc.code, 'peer-silent')
            return None
        finally:
            stream.close()
            server.close()

    async def test_unread_frames_are_bounded_in_bytes(self) -> None:
        """Guard against a slow caller for whom megabytes are held."""
        transport = mock.MagicMock()
        transport.is_closing.return_value = False
        stream = FrameStream()
        stream.connection_made(transport)
        packed = frames.pack(FrameKind.BODY, bytes(65536))
        for _ in range(16):
            transport.pause_reading.assert_not_called()
            stream.data_received(packed)
        transport.pause_reading.assert_called_once()
        for _ in range(16):
            transport.resume_reading.assert_not_called()
            await stream.read()
        transport.resume_reading.assert_called_once()
        # A frame of any size is read to its end.
        packed = frames.pack(FrameKind.BODY, bytes(2000000))
        stream.data_received(packed[:1900000])
        transport.pause_reading.assert_called_once()
        stream.data_received(packed[1900000:])
        self.assertEqual(len((await stream.read()).payload), 2000000)

    async def test_refused_connection(self) -> None:
        """A connection that can't be made raises WireError."""
        sockets = bind_sockets(0, '127.0.0.1')
        port = sockets[0].getsockname()[1]
        sockets[0].close()
        with self.assertRaisesRegex(WireError, 'connect-failed'):
            await TcpDialler().dial(('127.0.0.1', port))

    async def test_silence_is_told_from_a_refusal(self) -> None:
        """Guard against a silent peer that is taken for one that is gone."""
        server = await asyncio.start_server(hold, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        dialler = TcpDialler(ssl.create_default_context(), timeout_s=0.05)
        with self.assertRaisesRegex(WireError, 'connect-timeout'):
            await dialler.dial(address)
        await close_server(server)


async def hold(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read until the other side closes."""
    await reader.read()
    writer.close()


if __name__ == '__main__':
    unittest.main()
