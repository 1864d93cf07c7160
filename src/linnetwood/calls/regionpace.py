"""Bound the rate at which long answers are read from other regions."""

import asyncio
from collections.abc import Callable

from linnetwood.calls.directory import Endpoint
from linnetwood.wire.answerbounds import Pace

# Of all entries together; the rest of the link that regions share is for other
# answers and for the store's changes. A share per entry has no minimum: the
# number of entries must not matter to the link.
_BYTES_PER_S = 500000


class RegionPace:
    """Share one rate among the long answers from other regions."""

    def __init__(self, region: str, entry_count: Callable[[], int]) -> None:
        """Start with an idle link."""
        self._region = region
        self._entry_count = entry_count
        self._loop = asyncio.get_running_loop()
        self._free_at = float()

    def pace_of(self, endpoint: Endpoint) -> Pace | None:
        """Return the pace of answers from an endpoint; None for any rate."""
        return None if endpoint.region in {'', self._region} else self

    @property
    def wait_s(self) -> float:
        """Return the seconds until more may be read."""
        return max(0, self._free_at - self._loop.time())

    def add(self, size: int) -> None:
        """Count bytes of a long answer."""
        start = max(self._loop.time(), self._free_at)
        self._free_at = start + size / self._bytes_per_s

    @property
    def _bytes_per_s(self) -> float:
        return _BYTES_PER_S / max(1, self._entry_count())
