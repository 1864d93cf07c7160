"""Endpoint processes request the list of their peers when it has changed."""

import asyncio
import unittest
from unittest import mock

from tornado.netutil import bind_sockets

from linnetwood.fleet import peerlist
from linnetwood.fleet.peerlist import (
    PeerListClient,
    PeerListServer,
    list_digest,
)
from linnetwood.fleet.revisions import join
from linnetwood.wire.connections import TcpDialler, WireServer
from linnetwood.wire.frames import FrameKind
from tests.test_curldriver import HOST

ONE = {'10.0.0.1': 'z1'}
TWO = {**ONE, '10.0.0.2': 'z2'}
GUARD_S = 60


class PeerListTest(unittest.IsolatedAsyncioTestCase):
    """Let a process receive digests of an entry and request its lists."""

    async def asyncSetUp(self) -> None:
        self.list_server = PeerListServer()
        self.server = WireServer(
            {FrameKind.PEERS_REQUEST: self.list_server.serve}
        )
        sockets = bind_sockets(0, HOST)
        await self.server.start(sockets)
        self.entry = sockets[0].getsockname()
        self.taken: list[dict[str, str]] = []
        self.came = asyncio.Event()
        self.list_client = PeerListClient(TcpDialler(), self.take)

    async def asyncTearDown(self) -> None:
        await self.list_client.close()
        await self.server.close()

    def take(self, zones_by_host: dict[str, str]) -> None:
        """Keep a received list."""
        self.taken.append(zones_by_host)
        self.came.set()

    async def pass_digest(self, digest: int, revision: int) -> None:
        """Pass a digest to the client and wait until its request has ended."""
        self.list_client.digest_received(digest, revision, self.entry)
        async with asyncio.timeout(GUARD_S):
            while self.list_client._fetch_task is not None:
                await asyncio.sleep(0.01)

    async def test_each_list_is_requested_once(self) -> None:
        """A digest that is known already causes no request."""
        first = self.list_server.update(ONE, 5)
        await self.pass_digest(first, 5)
        self.assertTrue(self.list_client.is_known)
        self.list_client.digest_received(first, 6, self.entry)
        self.assertIsNone(self.list_client._fetch_task)
        second = self.list_server.update(TWO, 7)
        await self.pass_digest(second, 7)
        self.assertEqual(self.taken, [ONE, TWO])

    async def test_an_older_list_is_not_requested(self) -> None:
        """An entry that can't reach the store does not bring back old peers."""
        await self.pass_digest(self.list_server.update(TWO, 7), 7)
        self.list_client.digest_received(
            self.list_server.update(ONE, 5), 5, self.entry
        )
        self.assertIsNone(self.list_client._fetch_task)
        self.assertEqual(self.taken, [TWO])

    async def test_a_list_of_a_restored_store(self) -> None:
        """It is newer than one of the lost history, whatever its number."""
        lost = join(1, 9)
        restored = join(2, 5)
        await self.pass_digest(self.list_server.update(TWO, lost), lost)
        digest = self.list_server.update(ONE, restored)
        await self.pass_digest(digest, restored)
        await self.pass_digest(self.list_server.update(TWO, lost), lost)
        self.assertEqual(self.taken, [TWO, ONE])

    async def test_a_list_that_the_entry_has_dropped(self) -> None:
        """Nothing is taken in; the next digest causes a new request."""
        self.list_server.update(ONE, 5)
        await self.pass_digest(list_digest(TWO), 5)
        self.assertFalse(self.list_client.is_known)
        await self.pass_digest(list_digest(ONE), 5)
        self.assertEqual(self.taken, [ONE])

    async def test_an_entry_that_is_gone(self) -> None:
        """After a failed request, the next digest causes a new one."""
        digest = self.list_server.update(ONE, 5)
        entry = self.entry
        self.entry = (HOST, 1)
        await self.pass_digest(digest, 5)
        self.assertFalse(self.list_client.is_known)
        self.entry = entry
        await self.pass_digest(digest, 5)
        self.assertEqual(self.taken, [ONE])

    async def test_an_error_of_the_listener(self) -> None:
        """Guards against a process that asks for no list after one error."""
        failing = mock.Mock(side_effect=(ZeroDivisionError, None))
        self.list_client = PeerListClient(TcpDialler(), failing)
        with mock.patch.object(peerlist, '_PAUSE_S', 0):
            await self.pass_digest(self.list_server.update(ONE, 5), 5)
            await self.pass_digest(self.list_server.update(TWO, 6), 6)
        failing.assert_called_with(TWO)


class DigestTest(unittest.TestCase):
    """Digests of lists."""

    def test_differs(self) -> None:
        """Digests differ by hosts and zones, not by their order."""
        moved = {'10.0.0.1': 'z2'}
        self.assertEqual(
            len(
                {
                    list_digest(zones_by_host)
                    for zones_by_host in ({}, ONE, TWO, moved)
                }
            ),
            4,
        )
        self.assertEqual(
            list_digest(TWO), list_digest(dict(reversed(TWO.items())))
        )


if __name__ == '__main__':
    unittest.main()
