"""Guard against crowds that take the connections of others, without sockets."""

import asyncio
import errno
import resource
import socket
import unittest
from typing import Any
from unittest import mock

from linnetwood.core.connectionshares import endpoint_shares, entry_shares
from linnetwood.wire.accepting import Acceptor
from linnetwood.wire.connectionlimit import ConnectionLimit, Stage

MOST = 3


class Conn:
    """A connection in a stage of its own."""

    def __init__(self, stage: Stage = Stage.IDLE) -> None:
        self.stage = stage
        self.closed = False

    def close(self) -> None:
        """Note the end."""
        self.closed = True


class ConnectionLimitTest(unittest.IsolatedAsyncioTestCase):
    """Add one connection more than are allowed."""

    def closed_of(self, *stages: Stage) -> list[int]:
        """Return which of the connections are closed by the last one."""
        limit = ConnectionLimit('test', MOST)
        conns = [Conn(stage) for stage in stages]
        for conn in conns:
            limit.add(conn)
        return [number for number, conn in enumerate(conns) if conn.closed]

    async def test_who_is_closed(self) -> None:
        """Never one with a call; the idle one that rested longest first."""
        idle, part, busy = Stage.IDLE, Stage.REQUEST, Stage.BUSY
        for stages, closed in (
            ((idle, idle, idle), []),
            ((idle, idle, idle, idle), [0]),
            ((busy, part, idle, idle), [2]),
            ((busy, part, busy, idle), [1]),
            ((busy, busy, busy, idle), [3]),
        ):
            with self.subTest(stages=stages):
                self.assertEqual(self.closed_of(*stages), closed)

    async def test_use_makes_a_connection_young(self) -> None:
        """Guards against an end of the connections that are used most."""
        limit = ConnectionLimit('test', MOST)
        conns = [Conn() for _ in range(MOST)]
        for conn in conns:
            limit.add(conn)
        limit.note_used(conns[0])
        limit.add(Conn())
        self.assertEqual([conn.closed for conn in conns], [False, True, False])

    async def test_ended_connections_make_room(self) -> None:
        """Guards against a count that only grows."""
        limit = ConnectionLimit('test', MOST)
        for _ in range(MOST * MOST):
            conn = Conn(Stage.BUSY)
            limit.add(conn)
            self.assertFalse(conn.closed)
            limit.discard(conn)
            limit.note_used(conn)

    async def test_a_crowd_is_one_line(self) -> None:
        """Guards against a log that a crowd fills."""
        limit = ConnectionLimit('test', MOST)
        with self.assertLogs('linnetwood') as captured:
            for _ in range(100):
                limit.add(Conn())
        self.assertEqual(len(captured.records), 1)


class AcceptorTest(unittest.IsolatedAsyncioTestCase):
    """Accept while descriptors run out."""

    async def test_out_of_descriptors(self) -> None:
        """Guards against a loop that turns on, or a listener that ends."""
        taken: list[object] = []
        listening = mock.MagicMock(spec=socket.socket)
        listening.accept.side_effect = [
            OSError(errno.EMFILE, 'none left'),
            (mock.Mock(), ('h', 1)),
            BlockingIOError(),
        ]
        loop = asyncio.get_running_loop()
        with mock.patch.multiple(
            loop,
            add_reader=mock.DEFAULT,
            remove_reader=mock.DEFAULT,
            call_later=mock.DEFAULT,
        ) as patched:
            acceptor = Acceptor(listening, lambda *one: taken.append(one))
            acceptor.start()
            accept = patched['add_reader'].call_args[0][1]
            accept()
            patched['remove_reader'].assert_called_once_with(listening)
            _, resume = patched['call_later'].call_args[0]
            resume()
            self.assertEqual(patched['add_reader'].call_count, 2)
            accept()
            acceptor.close()
        self.assertEqual(len(taken), 1)


def limited_to(descriptors: int) -> Any:
    """Let the kernel's limit be so many descriptors."""
    return mock.patch.object(
        resource, 'getrlimit', return_value=(descriptors, descriptors)
    )


class SharesTest(unittest.TestCase):
    """Share the descriptors of a process."""

    def test_all_shares_fit(self) -> None:
        """Guards against shares that leave nothing for the store."""
        for descriptors in (600, 1124, 4100, 20000):
            with limited_to(descriptors):
                entry = entry_shares(descriptors)
                endpoint = endpoint_shares()
            total = descriptors - 200
            used = entry.callers + entry.calls + entry.processes
            self.assertLess(used + 2 * entry.control, total)
            self.assertLess(endpoint.processes + endpoint.control, total)

    def test_the_lower_limit_counts(self) -> None:
        """Guards against settings that the kernel does not grant."""
        with limited_to(600):
            self.assertEqual(entry_shares(4100), entry_shares(600))
            self.assertEqual(entry_shares(0), entry_shares(600))

    def test_every_user_of_the_pages_fits(self) -> None:
        """Guards against defaults that sound fleets meet.

        At 410 entries in 10 zones an entry has 41 others of its zone, and an
        endpoint process is asked by peers of 2,300 VMs a few at a time.
        """
        with limited_to(20000):
            self.assertGreater(entry_shares(4100).callers, 1500)
            self.assertGreater(entry_shares(4100).calls, 1000)
            self.assertGreater(entry_shares(4100).processes, 4 * 41)
            self.assertGreater(endpoint_shares(1124).processes, 500)


if __name__ == '__main__':
    unittest.main()
