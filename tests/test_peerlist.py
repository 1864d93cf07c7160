"""The list of processes beside engines is asked for when it has changed."""

import asyncio
import unittest

from tornado.netutil import bind_sockets

from linnetwood.fleet.peerlist import (
    PeerListClient,
    PeerListServer,
    list_digest,
)
from linnetwood.wire.connections import TcpDialler, WireServer
from linnetwood.wire.frames import FrameKind
from tests.test_curldriver import HOST

ONE = {'10.0.0.1': 'z1'}
TWO = {**ONE, '10.0.0.2': 'z2'}
GUARD_S = 60


class PeerListTest(unittest.IsolatedAsyncioTestCase):
    """Let a process hear greetings of an entry, and ask it."""

    async def asyncSetUp(self) -> None:
        self.teller = PeerListServer()
        self.server = WireServer({FrameKind.PEERS_REQUEST: self.teller.serve})
        sockets = bind_sockets(0, HOST)
        await self.server.start(sockets)
        self.entry = sockets[0].getsockname()
        self.taken: list[dict[str, str]] = []
        self.came = asyncio.Event()
        self.follower = PeerListClient(TcpDialler(), self.take)

    async def asyncTearDown(self) -> None:
        await self.follower.close()
        await self.server.close()

    def take(self, zones_by_host: dict[str, str]) -> None:
        """Keep a list that came."""
        self.taken.append(zones_by_host)
        self.came.set()

    async def greeted(self, told: int, revision: int) -> None:
        """Greet, and wait until nothing is asked any more."""
        self.follower.digest_received(told, revision, self.entry)
        async with asyncio.timeout(GUARD_S):
            while self.follower._fetch_task is not None:
                await asyncio.sleep(0.01)

    async def test_asked_once_for_each_list(self) -> None:
        """Greetings that name what is known cost no request."""
        first = self.teller.update(ONE, 5)
        await self.greeted(first, 5)
        self.assertTrue(self.follower.is_known)
        self.follower.digest_received(first, 6, self.entry)
        self.assertIsNone(self.follower._fetch_task)
        second = self.teller.update(TWO, 7)
        await self.greeted(second, 7)
        self.assertEqual(self.taken, [ONE, TWO])

    async def test_an_older_list_is_not_asked_for(self) -> None:
        """An entry that has lost the store does not bring engines back."""
        await self.greeted(self.teller.update(TWO, 7), 7)
        self.follower.digest_received(self.teller.update(ONE, 5), 5, self.entry)
        self.assertIsNone(self.follower._fetch_task)
        self.assertEqual(self.taken, [TWO])

    async def test_a_list_that_the_entry_has_forgotten(self) -> None:
        """Nothing is taken; the next greeting is asked about again."""
        self.teller.update(ONE, 5)
        await self.greeted(list_digest(TWO), 5)
        self.assertFalse(self.follower.is_known)
        await self.greeted(list_digest(ONE), 5)
        self.assertEqual(self.taken, [ONE])

    async def test_an_entry_that_is_gone(self) -> None:
        """Another is asked at its greeting."""
        told = self.teller.update(ONE, 5)
        entry = self.entry
        self.entry = (HOST, 1)
        await self.greeted(told, 5)
        self.assertFalse(self.follower.is_known)
        self.entry = entry
        await self.greeted(told, 5)
        self.assertEqual(self.taken, [ONE])


class DigestTest(unittest.TestCase):
    """Lists that differ are told apart."""

    def test_differs(self) -> None:
        """By hosts and by zones, not by their order."""
        moved = {'10.0.0.1': 'z2'}
        self.assertEqual(
            len({list_digest(one) for one in ({}, ONE, TWO, moved)}), 4
        )
        self.assertEqual(
            list_digest(TWO), list_digest(dict(reversed(TWO.items())))
        )


if __name__ == '__main__':
    unittest.main()
