"""Figures are kept, told apart and fetched as text."""

import math
import socket
import unittest

from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.netutil import bind_sockets

from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.metrics import Metric
from linnetwood.programs.figures import PATH, FiguresPage

HOST = '127.0.0.1'


def free_port() -> int:
    """Give a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class FiguresTest(unittest.IsolatedAsyncioTestCase):
    """Fetch a process's figures as a collector does."""

    async def asyncSetUp(self) -> None:
        self.metrics = ExposedMetrics()
        self.page = FiguresPage(self.metrics)
        self.port = free_port()
        self.page.start(HOST, self.port)

    async def asyncTearDown(self) -> None:
        self.page.close()

    async def fetch(self, path: str) -> HTTPResponse:
        """Ask once."""
        client = AsyncHTTPClient(force_instance=True)
        url = f'http://{HOST}:{self.port}{path}'
        answer = await client.fetch(url, raise_error=False)
        client.close()
        return answer

    async def test_counts_by_kind_and_spread(self) -> None:
        """Counters tell their kinds apart; times fall into steps."""
        self.metrics.count(Metric.CALLS_ANSWERED, 3)
        self.metrics.count(Metric.CALLS_REFUSED, kind='overloaded')
        self.metrics.count(Metric.CALLS_REFUSED, kind='overloaded')
        self.metrics.timing(Metric.FIRST_EVENT_MS, 130)
        told = (await self.fetch(PATH)).body.decode().splitlines()
        for line in (
            'linnetwood_calls_answered_total 3.0',
            'linnetwood_calls_refused_total{code="overloaded"} 2.0',
            'linnetwood_attempts_first_event_ms_bucket{le="100.0"} 0.0',
            'linnetwood_attempts_first_event_ms_bucket{le="150.0"} 1.0',
        ):
            with self.subTest(line=line):
                self.assertIn(line, told)

    async def test_gauges_are_read_when_fetched(self) -> None:
        """Each fetch tells the figure of its moment, infinity included."""
        standing = [math.inf, 2.5]
        self.metrics.gauge(Metric.STORE_AGE_S, lambda: standing.pop(0))
        for expected in ('+Inf', '2.5'):
            told = (await self.fetch(PATH)).body.decode().splitlines()
            self.assertIn(f'linnetwood_store_age_s {expected}', told)
        self.assertIn('# TYPE linnetwood_store_age_s gauge', told)

    async def test_every_metric_can_be_told(self) -> None:
        """No name clashes with another or with the library's rules."""
        for metric in Metric:
            if metric.value.endswith('_ms'):
                self.metrics.timing(metric, 1)
            else:
                self.metrics.count(metric, kind='x')
        told = (await self.fetch(PATH)).body.decode()
        for metric in Metric:
            name = metric.value.replace('.', '_')
            with self.subTest(metric=metric):
                self.assertIn(f'linnetwood_{name}', told)

    async def test_other_paths(self) -> None:
        """Nothing else is answered."""
        self.assertEqual((await self.fetch('/other')).code, 404)

    async def test_a_taken_port_ends_nothing(self) -> None:
        """The process works on without its page."""
        taken = bind_sockets(0, HOST)
        other = FiguresPage(self.metrics)
        other.start(HOST, taken[0].getsockname()[1])
        other.close()
        for sock in taken:
            sock.close()


if __name__ == '__main__':
    unittest.main()
