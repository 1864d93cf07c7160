"""A peer that becomes silent after connecting delays no manifest."""

import asyncio
import unittest

from linnetwood.core.errors import LinnetwoodError
from linnetwood.gen.schema.ttypes import Intent
from linnetwood.gen.wire.ttypes import ChunkReply
from linnetwood.weights import chunks
from linnetwood.weights.enginecontroller import Target
from linnetwood.weights.fetching import ModelVersion, VersionDownloads
from linnetwood.wire import frames
from linnetwood.wire.codec import encode
from linnetwood.wire.frames import FrameKind
from tests.test_agent import Slot
from tests.test_follower import FakeEngine, FakeOrigin, manifest
from tests.test_membership import member
from tests.test_slow_links import trickle

SILENT = '127.0.0.2'
HALF_SENT = '127.0.0.3'
SLOW = '127.0.0.4'
AIM = ModelVersion('m', 2)
WANTED = manifest(AIM.version)
NAME = chunks.digest_name(WANTED.encode())
SLOW_S = 3
# Ends a hanging test; silent peers are detected long before.
GUARD_S = 12


def packed_answer(name: str) -> bytes:
    """Return the answer to a request for the manifest of this name."""
    reply = ChunkReply(
        manifest=name,
        index=chunks.MANIFEST_INDEX,
        held_here=True,
        held=b'',
        queued=0,
    )
    return frames.pack(FrameKind.CHUNK_REPLY, encode(reply)) + frames.pack(
        FrameKind.CHUNK,
        WANTED.encode(),
    )


class Peers:
    """Stand-ins on one port: silent, silent after half, and slow."""

    def __init__(self, name: str) -> None:
        self._octets = packed_answer(name)
        self._serving: set[asyncio.Task[None] | None] = set()

    async def start(self) -> int:
        first = await asyncio.start_server(self._accept, SILENT, 0)
        port = int(first.sockets[0].getsockname()[1])
        others = await asyncio.start_server(
            self._accept, (HALF_SENT, SLOW), port
        )
        self._servers = (first, others)
        return port

    async def close(self) -> None:
        for server in self._servers:
            server.close()
        # The loop warns of tasks that it has to cancel when it closes.
        serving = [task for task in self._serving if task is not None]
        for task in serving:
            task.cancel()
        await asyncio.gather(*serving, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        self._serving.add(task)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            return
        finally:
            self._serving.discard(task)
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.read(1)
        octets = self._octets
        host = writer.get_extra_info('sockname')[0]
        if host == SLOW:
            await trickle(octets, SLOW_S, reader, writer)
        elif host == HALF_SENT:
            writer.write(octets[: len(octets) // 2])
        while await reader.read(len(octets)):
            await asyncio.sleep(0)


class SilentPeersTest(unittest.IsolatedAsyncioTestCase):
    """Request a manifest from peers while the origin is unreachable."""

    async def asyncSetUp(self) -> None:
        self.slot = Slot()

    async def asyncTearDown(self) -> None:
        await self.slot.agent.close()

    async def test_manifest_is_requested_from_the_next_peer(self) -> None:
        """Silent peers are skipped, a slow one that sends bytes is not."""
        peers = Peers(AIM.name)
        origin = FakeOrigin()
        origin.unreachable = True
        fetching = VersionDownloads(
            self.slot.agent._tools,
            FakeEngine(),
            origin,
            await peers.start(),
            asyncio.Event().set,
        )
        fetching.fleet.peers = {SILENT: 'z', HALF_SENT: 'z', SLOW: 'z'}
        async with asyncio.timeout(GUARD_S):
            found = await fetching._manifest(AIM)
        await fetching.close()
        await peers.close()
        self.assertEqual(found, WANTED)

    async def test_silent_holder_is_abandoned(self) -> None:
        """The agent gets an error, so that it requests from another holder."""
        peers = Peers(NAME)
        port = await peers.start()
        expected = {SILENT: 'peer-silent', HALF_SENT: 'peer-silent', SLOW: ''}
        found = {}
        for host in expected:
            found[host] = await self.fault(host, port)
        await peers.close()
        self.assertEqual(found, expected)

    async def fault(self, host: str, port: int) -> str:
        """Request a manifest from a holder; give the error code or nothing."""
        agent = self.slot.agent
        holder = member(host, port=port)
        holder.host = host
        agent._gossip.members[host] = holder
        agent._manifest_holders = {NAME: {host}}
        try:
            async with asyncio.timeout(GUARD_S / 2):
                await agent._read_manifest(Target('', NAME, Intent()))
        except LinnetwoodError as exc:
            return exc.code
        except TimeoutError:
            return 'timed out'
        return ''


if __name__ == '__main__':
    unittest.main()
