"""Publish weights to the stand-ins of a run, and read counters."""

import json
import pathlib
import socket
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.core.metrics import Metric
from linnetwood.lab.launcher import Fleet

_PREFIX = 'linnetwood.'
_MAX_DATAGRAM_BYTES = 65536
_STAT = pathlib.Path('/proc/stat')
# The idle and iowait fields of the first line of /proc/stat.
_IDLE_FIELDS = (3, 4)
# Above this share of busy cores, the machine limits the measured times.
_LIMITED_ABOVE = 0.85


class Machine:
    """Measure how busy the cores of this machine are."""

    def __init__(self) -> None:
        """Start to measure."""
        self._start_ticks = _ticks()

    def utilization(self) -> dict[str, Any]:
        """Return the busy share of all cores, and whether it limits times."""
        busy, total = _ticks()
        share = (busy - self._start_ticks[0]) / max(
            1, total - self._start_ticks[1]
        )
        return {
            'cores_busy': round(share, 2),
            'machine_limited': share > _LIMITED_ABOVE,
        }


class Figures:
    """Receive the counters of the programs of a run by StatsD."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self._counts: dict[str, int] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(('127.0.0.1', 0))
        self._socket.setblocking(False)  # noqa: WPS425

    def settings(self) -> dict[str, Any]:
        """Return the settings that send a program's counters here."""
        host, port = self._socket.getsockname()
        return {'statsd_host': host, 'statsd_port': port}

    def read(self, metric: Metric) -> int:
        """Return the current sum of a counter."""
        while True:
            try:
                text = self._socket.recv(_MAX_DATAGRAM_BYTES).decode()
            except BlockingIOError:
                return self._counts.get(metric.value, 0)
            for line in text.splitlines():
                self._add(line)

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    def _add(self, line: str) -> None:
        name, _, rest = line.partition(':')
        amount, _, kind = rest.partition('|')
        if kind == 'c':
            name = name.removeprefix(_PREFIX)
            self._counts[name] = self._counts.get(name, 0) + int(amount)


def _ticks() -> tuple[int, int]:
    fields = _STAT.read_text().split('\n', 1)[0].split()[1:]
    ticks = [int(one) for one in fields]
    idle = sum(ticks[field] for field in _IDLE_FIELDS)
    return sum(ticks) - idle, sum(ticks)


async def publish(fleet: Fleet, weights: bytes, chunk_bytes: int) -> str:
    """Publish weights at the stand-in origin; return the manifest's name."""
    query = f'control?chunk_bytes={chunk_bytes}'
    url = f'http://127.0.0.1:{fleet.origin_port}/{query}'
    req = HTTPRequest(
        url,
        method='POST',
        body=weights,
        headers={'Content-Type': 'application/octet-stream'},
    )
    return (await AsyncHTTPClient().fetch(req)).body.decode()


async def origin_state(fleet: Fleet) -> dict[str, Any]:
    """Return what was read from the stand-in origin."""
    url = f'http://127.0.0.1:{fleet.origin_port}/control'
    reply = await AsyncHTTPClient().fetch(url)
    found: dict[str, Any] = json.loads(reply.body)
    return found


async def engine_violations(fleet: Fleet) -> int:
    """Return the number of violations that the stand-in engines recorded."""
    client = AsyncHTTPClient()
    found = 0
    for port in fleet.engine_ports:
        reply = await client.fetch(f'http://127.0.0.1:{port}/status')
        found += len(json.loads(reply.body)['violations'])
    return found
