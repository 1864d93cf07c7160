"""The links between zones: a rate for each direction, and one queue."""

import asyncio
import itertools
import random
from collections.abc import Collection
from typing import Protocol

# 20 Mbit/s.
_RATE_BYTES_PER_S = 2500000
_BULK_BYTES = 65536
# A lost packet, and all behind it on its connection, come after a timeout.
_LOST_SHARE = 0.15
_TIMEOUT_S = (0.2, 0.9)
# Bulk traffic makes others wait for so long; over half a second excuses.
_BULK_QUEUE_S = 0.4


class Link:
    """One direction between two zones."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._free_at = float()
        self.loses_until = float()

    def reserve(self, size: int, now: float) -> float:
        """Queue some bytes; return the seconds until the last has passed."""
        since = max(self._free_at, now)
        self._free_at = since + size / _RATE_BYTES_PER_S
        return self._free_at - now

    async def carry(self, size: int) -> None:
        """Wait until some bytes have passed behind those before them."""
        now = asyncio.get_running_loop().time()
        wait_s = self.reserve(size, now)
        if now < self.loses_until and random.random() < _LOST_SHARE:
            wait_s += random.uniform(*_TIMEOUT_S)
        await asyncio.sleep(wait_s)


class Way(Protocol):
    """Let bytes pass from one zone to another."""

    async def carry(self, size: int) -> None:
        """Wait until some bytes have passed."""


class LocalWay:
    """The way within a zone, without a limit."""

    async def carry(self, size: int) -> None:
        """Do not wait."""


class Links:
    """Own the links between all zones."""

    def __init__(self, zones: Collection[str]) -> None:
        """Link every two zones in both directions."""
        self._links = {
            pair: Link() for pair in itertools.permutations(sorted(zones), 2)
        }

    def way(self, source: str, target: str) -> Way:
        """Return the way from a zone to another, or within one."""
        return self._links.get((source, target)) or LocalWay()

    def lose_packets(self, source: str, target: str, until: float) -> None:
        """Lose packets between two zones, in both directions."""
        for pair in ((source, target), (target, source)):
            self._links[pair].loses_until = until

    async def fill(self, pick: int, span_s: float) -> None:
        """Send bulk traffic over a link for a time."""
        link = tuple(self._links.values())[pick % len(self._links)]
        loop = asyncio.get_running_loop()
        until = loop.time() + span_s
        while loop.time() < until:
            wait_s = link.reserve(_BULK_BYTES, loop.time())
            await asyncio.sleep(max(0, wait_s - _BULK_QUEUE_S))
