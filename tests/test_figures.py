"""Metrics are recorded, labelled and served as text."""

import math
import socket
import unittest

from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.netutil import bind_sockets

from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.metrics import Metric
from linnetwood.programs.metricspage import PATH, MetricsPage

HOST = '127.0.0.1'


def free_port() -> int:
    """Return a port without a listener."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class FiguresTest(unittest.IsolatedAsyncioTestCase):
    """Scrape the metrics of a process as a collector does."""

    async def asyncSetUp(self) -> None:
        self.metrics = ExposedMetrics()
        self.page = MetricsPage(self.metrics)
        self.port = free_port()
        self.page.start(HOST, self.port)

    async def asyncTearDown(self) -> None:
        self.page.close()

    async def fetch(self, path: str) -> HTTPResponse:
        """Send one request."""
        client = AsyncHTTPClient(force_instance=True)
        url = f'http://{HOST}:{self.port}{path}'
        answer = await client.fetch(url, raise_error=False)
        client.close()
        return answer

    async def test_counts_by_kind_and_spread(self) -> None:
        """Counters have labels; durations are counted in buckets."""
        self.metrics.count(Metric.CALLS_ANSWERED, 3)
        self.metrics.count(Metric.CALLS_REFUSED, kind='overloaded')
        self.metrics.count(Metric.CALLS_REFUSED, kind='overloaded')
        self.metrics.timing(Metric.FIRST_EVENT_MS, 130)
        scraped = (await self.fetch(PATH)).body.decode().splitlines()
        for line in (
            'linnetwood_calls_answered_total 3.0',
            'linnetwood_calls_refused_total{code="overloaded"} 2.0',
            'linnetwood_attempts_first_event_ms_bucket{le="100.0"} 0.0',
            'linnetwood_attempts_first_event_ms_bucket{le="150.0"} 1.0',
        ):
            with self.subTest(line=line):
                self.assertIn(line, scraped)

    async def test_gauges_are_read_when_fetched(self) -> None:
        """Each scrape has the current value, which may be infinite."""
        standing = [math.inf, 2.5]
        self.metrics.gauge(Metric.STORE_AGE_S, lambda: standing.pop(0))
        for expected in ('+Inf', '2.5'):
            scraped = (await self.fetch(PATH)).body.decode().splitlines()
            self.assertIn(f'linnetwood_store_age_s {expected}', scraped)
        self.assertIn('# TYPE linnetwood_store_age_s gauge', scraped)

    async def test_every_metric_is_exported(self) -> None:
        """No name clashes with another or violates the library's rules."""
        for metric in Metric:
            if metric.value.endswith('_ms'):
                self.metrics.timing(metric, 1)
            else:
                self.metrics.count(metric, kind='x')
        scraped = (await self.fetch(PATH)).body.decode()
        for metric in Metric:
            name = metric.value.replace('.', '_')
            with self.subTest(metric=metric):
                self.assertIn(f'linnetwood_{name}', scraped)

    async def test_other_paths(self) -> None:
        """Other paths get status 404."""
        self.assertEqual((await self.fetch('/other')).code, 404)

    async def test_a_port_in_use(self) -> None:
        """The process continues without its metrics page."""
        taken = bind_sockets(0, HOST)
        other = MetricsPage(self.metrics)
        other.start(HOST, taken[0].getsockname()[1])
        other.close()
        for sock in taken:
            sock.close()


if __name__ == '__main__':
    unittest.main()
