"""Guard against a peer that asks for a chunk and takes nothing of it."""

import asyncio
import socket
import unittest
from unittest import mock

from tornado.netutil import bind_sockets

from linnetwood.core.sizes import MIB
from linnetwood.gen.wire.ttypes import ChunkRequest
from linnetwood.weights import exchange
from linnetwood.weights.chunks import ChunkStore, build, digest_name
from linnetwood.weights.exchange import Fetcher, TransferCounters, Uploads
from linnetwood.wire import codec, frames
from linnetwood.wire.connections import TcpDialler, WireServer
from linnetwood.wire.frames import FrameKind
from linnetwood.wire.links import UnlimitedLink

GUARD_S = 60.0
STALL_S = 0.2
CHUNK = b'x' * (3 * MIB)
STALLED = 4


@mock.patch.object(exchange, '_STALL_TIMEOUT_S', STALL_S, create=True)
class StalledPeerTest(unittest.IsolatedAsyncioTestCase):
    """Serve chunks that are larger than the kernel's buffers."""

    async def test_other_peers_get_their_chunks(self) -> None:
        """One upload is sent at a time, so it must not wait for ever."""
        manifest = build(CHUNK, len(CHUNK))
        name = digest_name(manifest.encode())
        store = ChunkStore()
        store.keep(manifest, 0, CHUNK)
        link = UnlimitedLink()
        uploads = Uploads(store, link, TransferCounters(), STALLED + 1)
        uploads.manifests[name] = manifest
        server = WireServer({FrameKind.CHUNK_REQUEST: uploads.serve})
        sockets = bind_sockets(0, '127.0.0.1')
        address = ('127.0.0.1', sockets[0].getsockname()[1])
        await server.start(sockets)
        self.addAsyncCleanup(server.close)
        asked = ChunkRequest(asker='a', manifest=name, index=0)
        packed = frames.pack(FrameKind.CHUNK_REQUEST, codec.encode(asked))
        for _ in range(STALLED):
            await self.ask_only(address, packed)
        async with asyncio.timeout(GUARD_S):
            while uploads.queued < STALLED:
                await asyncio.sleep(0)
        fetcher = Fetcher('b', TcpDialler(), link)
        async with asyncio.timeout(GUARD_S):
            _, got = await fetcher.fetch('a', address, name, 0)
        fetcher.close()
        self.assertEqual(got, CHUNK)

    async def ask_only(self, address: tuple[str, int], asked: bytes) -> None:
        """Send bytes on a connection that takes few itself."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, asked)


if __name__ == '__main__':
    unittest.main()
