"""A VM's link: who may send how much when, live calls before transfers."""

import asyncio
from typing import Protocol

from linnetwood.core.clock import Clock

_SLICE_S = 0.05
_BUCKET_S = 0.02
# A tenth of a link is left to the answers of the engine beside it.
_GENTLE_SHARE = 0.9
_GENTLE_SLICE_S = 0.005


class Link(Protocol):
    """Grant bytes on a VM's link, out and in."""

    @property
    def slice_bytes(self) -> int:
        """Give the most that should go out at once; 0 for any."""

    async def send(self, size: int) -> None:
        """Wait until the bytes of a transfer may go out."""

    async def receive(self, size: int) -> None:
        """Wait until the bytes of a transfer have come in."""

    def live(self, size: int) -> None:
        """Count bytes of a live call, which never wait."""


class OpenLink:
    """Let everything pass at once."""

    slice_bytes = 0

    async def send(self, size: int) -> None:
        """Pass."""

    async def receive(self, size: int) -> None:
        """Pass."""

    def live(self, size: int) -> None:
        """Pass."""


class Lane:
    """Pace one direction as a token bucket that holds a few milliseconds.

    The bucket makes up for timers that fire late; without it each late timer
    would lose the link's time for good.
    """

    __slots__ = ('_free_at', '_rate')

    def __init__(self, bytes_per_s: float) -> None:
        """Start free."""
        self._rate = bytes_per_s
        self._free_at = float()

    def book(self, size: int, now: float) -> float:
        """Take the lane for bytes; give the seconds until they are through."""
        start = max(now - _BUCKET_S, self._free_at)
        self._free_at = start + size / self._rate
        return max(0, self._free_at - now)

    def wait(self, now: float) -> float:
        """Give the seconds until the lane falls free."""
        return max(0, self._free_at - now)


class GentleLink:
    """Keep a real link's queue short, so that live events pass in time.

    Transfers go out in small slices somewhat below the link's own rate; a live
    event then waits for one slice, and not for whole chunks.
    """

    def __init__(self, bytes_per_s: float, clock: Clock) -> None:
        """Pace below a link of so many bytes a second."""
        self._out = Lane(bytes_per_s * _GENTLE_SHARE)
        self._clock = clock
        self.slice_bytes = max(1, int(bytes_per_s * _GENTLE_SLICE_S))

    async def send(self, size: int) -> None:
        """Wait until the bytes of a transfer may go out."""
        await asyncio.sleep(self._out.book(size, self._clock.now()))

    async def receive(self, size: int) -> None:
        """Pass: the link itself has carried them."""

    def live(self, size: int) -> None:
        """Push transfers back by what a live call took."""
        self._out.book(size, self._clock.now())


class PacedLink:
    """Stand in for a link of a stated rate in each direction."""

    slice_bytes = 0

    def __init__(self, bytes_per_s: float, clock: Clock) -> None:
        """Pace both directions alike."""
        self._out = Lane(bytes_per_s)
        self._into = Lane(bytes_per_s)
        self._clock = clock
        self._slice = max(1, int(bytes_per_s * _SLICE_S))
        self._turn = asyncio.Lock()

    async def send(self, size: int) -> None:
        """Go out in slices, so that a live call waits one at most."""
        async with self._turn:
            left = size
            while left > 0:
                part = min(left, self._slice)
                await asyncio.sleep(self._out.book(part, self._clock.now()))
                left -= part

    async def receive(self, size: int) -> None:
        """Wait until the lane in has carried the bytes."""
        await asyncio.sleep(self._into.book(size, self._clock.now()))

    def live(self, size: int) -> None:
        """Push transfers back by what a live call took."""
        self._out.book(size, self._clock.now())
