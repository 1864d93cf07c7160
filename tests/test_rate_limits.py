"""What endpoints get that name in their answers how much they take."""

import asyncio
import unittest
from random import Random

from linnetwood.calls.choice import Chooser
from linnetwood.calls.dialect import CallHead
from linnetwood.calls.direct import DirectCall, DirectDispatcher
from linnetwood.calls.directory import Directory, Listed
from linnetwood.calls.routebook import Repeat, Route, Service, Share
from linnetwood.core.metrics import NoMetrics
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver
from tests.test_curldriver import HOST, Server, says
from tests.test_direct import SIGNED, Heard, answer

ENTRIES = 6
CALLS = 40
SPAN_S = 4.0
DESK = Service('desk', 10)
ROUTE = Route(
    'r',
    'h',
    '/',
    Repeat.MAY,
    streams=False,
    timeout_s=5,
    target_s=0.4,
    gap_s=0.4,
    attempts=2,
    priority=1,
    public=True,
    shares=(Share('desk', 1),),
)


def allowed(limit: float) -> int:
    """Give how many calls may come in a span to an endpoint with a limit."""
    return int(1.5 * limit * SPAN_S + 5)


def most_in_span(times: list[float]) -> int:
    """Give the most that came within any span."""
    times = sorted(times)
    first = 0
    most = 0
    for number, at in enumerate(times):
        while at - times[first] >= SPAN_S:
            first += 1
        most = max(most, number - first + 1)
    return most


class EntriesTest(unittest.IsolatedAsyncioTestCase):
    """Entries with calls all the time, and one endpoint."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.drivers: list[CurlDriver] = []
        self.server: Server | None = None

    async def asyncTearDown(self) -> None:
        for driver in self.drivers:
            driver.close()
        if self.server is not None:
            await self.server.close()

    def entry(self, port: int) -> DirectDispatcher:
        """Give the dispatcher of one entry."""
        directory = Directory()
        one = Listed('i-1', 'desk', HOST, port, 'z1', 6, ready=True)
        directory.listed(one)
        chooser = Chooser(directory, Random(len(self.drivers)))
        chooser.entries = lambda: ENTRIES
        driver = CurlDriver()
        self.drivers.append(driver)
        return DirectDispatcher(
            chooser,
            driver,
            PlatformDialect(),
            WantedVersions(8),
            'z1',
            NoMetrics(),
        )

    def call(self) -> DirectCall:
        """Give a call."""
        now = self.loop.time()
        return DirectCall(
            CallHead(call_id='c-1'),
            ROUTE,
            DESK,
            None,
            'POST',
            '/x',
            [('Host', 'h'), ('X-Attempt-Id', 'c-1')],
            b'body',
            now,
            now + 5,
        )

    async def test_entries_exceed_no_limit_that_an_endpoint_names(self) -> None:
        """Guard against calls to an endpoint beyond the rate it named."""
        times: list[float] = []
        head = f'200 OK\r\n{SIGNED}Server-Limit: 1.0\r\n'
        reply = says(answer(head, b'fine'))

        async def noting(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            times.append(self.loop.time())
            await reply(reader, writer)

        self.server = Server(noting)
        port = await self.server.start()
        entries = [self.entry(port) for _ in range(ENTRIES)]
        for one in entries:
            await one.run(self.call(), Heard())
        # Each entry has been told now.
        times.clear()
        for _ in range(CALLS):
            calls = [one.run(self.call(), Heard()) for one in entries]
            await asyncio.gather(*calls)
        self.assertLessEqual(most_in_span(times), allowed(1.0))


if __name__ == '__main__':
    unittest.main()
