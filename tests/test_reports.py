"""Entries and endpoint processes tell each other what an engine has to do."""

import asyncio
import socket
import unittest
from random import Random

from linnetwood.calls.choice import Chooser
from linnetwood.calls.directory import Directory, Listed
from linnetwood.calls.reports import Reports
from linnetwood.core.clock import SystemClock
from linnetwood.fleet.news import Address, NewsPort
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import News
from linnetwood.platform.settings import Residence
from linnetwood.programs.resident_endpoint import ResidentEndpoint
from linnetwood.weights.engine import EngineReport

Case = tuple[str, int, int, dict[str, int], tuple[int, int]]

ENTRY = '127.0.0.1'
ENDPOINT = '127.0.0.2'
STORE = (ENTRY, 1)


def free_port() -> int:
    """Give a port on which neither address takes datagrams yet."""
    while True:
        kind = socket.SOCK_DGRAM
        with socket.socket(type=kind) as one, socket.socket(type=kind) as two:
            one.bind((ENTRY, 0))
            port = int(one.getsockname()[1])
            try:
                two.bind((ENDPOINT, port))
            except OSError:
                continue
            return port


class Heard:
    """Keep the datagrams that come in."""

    def __init__(self) -> None:
        self.calls: list[int] = []
        self.came = asyncio.Event()

    def heard(self, news: News, source: Address) -> None:
        """Take in one datagram."""
        if news.unbegun is not None:
            self.calls.append(news.unbegun.calls)
            self.came.set()


class UnbegunTest(unittest.IsolatedAsyncioTestCase):
    """An entry tells of its own calls; the process beside the engine adds."""

    async def asyncSetUp(self) -> None:
        self.port = free_port()
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(1))
        clock = SystemClock()
        self.reports = Reports(
            self.directory,
            self.chooser,
            WantedVersions(8),
            clock,
            self.port,
            lambda: None,
        )
        self.beside = Heard()
        self.news = NewsPort(self.beside)
        await self.news.start(ENDPOINT, self.port)
        await self.reports.start(ENTRY)
        self.directory.listed(
            Listed('i-1', 'pool', ENDPOINT, 80, 'z1', 16, ready=True),
        )

    async def asyncTearDown(self) -> None:
        await self.reports.close()
        self.news.close()

    async def told(self) -> int:
        """Wait for the next word and give it."""
        async with asyncio.timeout(30):
            await self.beside.came.wait()
        self.beside.came.clear()
        return self.beside.calls[-1]

    async def test_each_change_is_told(self) -> None:
        """Also that nothing waits any more."""
        standing = self.chooser.standing('i-1')
        standing.waits(1, urgent=True)
        self.assertEqual(await self.told(), 1)
        standing.waits(1, urgent=False)
        self.assertEqual(await self.told(), 2)
        standing.waits(-1, urgent=True)
        standing.waits(-1, urgent=False)
        self.assertEqual(await self.told(), 0)

    async def test_what_waits_is_told_again(self) -> None:
        """Datagrams may be lost."""
        self.chooser.standing('i-1').waits(1, urgent=True)
        self.assertEqual(await self.told(), 1)
        self.reports.rouse()
        self.assertEqual(await self.told(), 1)


class WorkTest(unittest.IsolatedAsyncioTestCase):
    """What the process beside an engine makes of all it heard."""

    async def asyncSetUp(self) -> None:
        cfg = Residence(
            'vm',
            ENDPOINT,
            'z1',
            'r1',
            free_port(),
            STORE,
            None,
            None,
            (ENDPOINT, 1),
            1000000,
            8,
            8,
            0.2,
            100,
        )
        self.endpoint = ResidentEndpoint(cfg, (ENDPOINT, 1))

    async def asyncTearDown(self) -> None:
        await self.endpoint.close()

    def test_calls_that_are_read_are_not_begun(self) -> None:
        """The engine counts them as running; the entries know better."""
        cases: tuple[Case, ...] = (
            ('nobody told', 1, 8, {}, (1, 8)),
            ('two read', 0, 8, {'a': 1, 'b': 1}, (2, 6)),
            ('the engine knows of more', 5, 16, {'a': 1}, (5, 16)),
            ('more than it has by now', 0, 2, {'a': 3}, (3, 0)),
        )
        for name, waiting, running, told, expected in cases:
            with self.subTest(name=name):
                report = EngineReport(
                    waiting,
                    running,
                    0,
                    1,
                    {'m': 1},
                    changing=False,
                    orders_taken=0,
                )
                self.endpoint.unbegun = {
                    (host, 1): calls for host, calls in told.items()
                }
                self.assertEqual(self.endpoint.work(report), expected)


if __name__ == '__main__':
    unittest.main()
