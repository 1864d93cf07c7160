"""Talk to the stand-ins of a run: publish weights, read what they counted."""

import json
import pathlib
import socket
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.core.metrics import Metric
from linnetwood.lab.launcher import Fleet

_PREFIX = 'linnetwood.'
_DATAGRAM = 65536
_STAT = pathlib.Path('/proc/stat')
# The fields of the first line of /proc/stat that count time without work.
_IDLE_FIELDS = (3, 4)
# Beyond this share of all cores, times tell of the machine.
_LIMITED_AT = 0.85


class Machine:
    """Tell how busy this machine's cores were since the beginning."""

    def __init__(self) -> None:
        """Begin now."""
        self._began = _ticks()

    def told(self) -> dict[str, Any]:
        """Give the busy share of all cores, and whether that was the limit."""
        busy, total = _ticks()
        share = (busy - self._began[0]) / max(1, total - self._began[1])
        return {
            'cores_busy': round(share, 2),
            'machine_limited': share > _LIMITED_AT,
        }


class Figures:
    """Receive the counters of the programs of a run."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self._counts: dict[str, int] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(('127.0.0.1', 0))
        self._socket.setblocking(False)  # noqa: WPS425

    def settings(self) -> dict[str, Any]:
        """Give the settings that send a program's figures here."""
        host, port = self._socket.getsockname()
        return {'statsd_host': host, 'statsd_port': port}

    def read(self, metric: Metric) -> int:
        """Give what a counter came to so far."""
        while True:
            try:
                text = self._socket.recv(_DATAGRAM).decode()
            except BlockingIOError:
                return self._counts.get(metric.value, 0)
            for line in text.splitlines():
                self._take(line)

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    def _take(self, line: str) -> None:
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
    """Put weights into the stand-in store and give the manifest's name."""
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
    """Ask the stand-in store what was read."""
    url = f'http://127.0.0.1:{fleet.origin_port}/control'
    reply = await AsyncHTTPClient().fetch(url)
    found: dict[str, Any] = json.loads(reply.body)
    return found


async def engine_violations(fleet: Fleet) -> int:
    """Count what the stand-in engines saw done to them."""
    client = AsyncHTTPClient()
    found = 0
    for port in fleet.engine_ports:
        reply = await client.fetch(f'http://127.0.0.1:{port}/status')
        found += len(json.loads(reply.body)['violations'])
    return found
