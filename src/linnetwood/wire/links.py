"""Rate limits on a VM's link, with priority for calls over transfers."""

import asyncio
from typing import Protocol

from linnetwood.core.clock import Clock

_SLICE_S = 0.05
_BURST_S = 0.02
# The rest of the link is for answers of the engine on the VM.
_SHAPED_SHARE = 0.9
_SHAPED_SLICE_S = 0.005


class Link(Protocol):
    """Limit the rate of transfers on a VM's link."""

    @property
    def slice_bytes(self) -> int:
        """Return the most bytes to send at once; 0 for any number."""

    async def send(self, size: int) -> None:
        """Wait until bytes of a transfer may be sent."""

    async def receive(self, size: int) -> None:
        """Wait until bytes of a transfer have been received."""

    def count_call_bytes(self, size: int) -> None:
        """Count bytes of a call, which never wait."""


class UnlimitedLink:
    """A link without a limit."""

    slice_bytes = 0

    async def send(self, size: int) -> None:
        """Return at once."""

    async def receive(self, size: int) -> None:
        """Return at once."""

    def count_call_bytes(self, size: int) -> None:
        """Return at once."""


class TokenBucket:
    """Limit one direction, with a burst of a few milliseconds.

    The burst makes up for timers that fire late; without it, the link would be
    idle for that time.
    """

    __slots__ = ('_free_at', '_rate')

    def __init__(self, bytes_per_s: float) -> None:
        """Start with an idle link."""
        self._rate = bytes_per_s
        self._free_at = float()

    def reserve(self, size: int, now: float) -> float:
        """Reserve time for bytes; return the seconds until they are sent."""
        start = max(now - _BURST_S, self._free_at)
        self._free_at = start + size / self._rate
        return max(0, self._free_at - now)

    def wait(self, now: float) -> float:
        """Return the seconds until all reserved bytes are sent."""
        return max(0, self._free_at - now)


class ShapedLink:
    """Keep the queue of a real link short, so that events of calls are in time.

    Transfers are sent in small slices at less than the rate of the link, so an
    event waits for one slice and not for whole chunks.
    """

    def __init__(self, bytes_per_s: float, clock: Clock) -> None:
        """Limit transfers on a link of this rate in bytes per second."""
        self._out = TokenBucket(bytes_per_s * _SHAPED_SHARE)
        self._clock = clock
        self.slice_bytes = max(1, int(bytes_per_s * _SHAPED_SLICE_S))

    async def send(self, size: int) -> None:
        """Wait until bytes of a transfer may be sent."""
        await asyncio.sleep(self._out.reserve(size, self._clock.now()))

    async def receive(self, size: int) -> None:
        """Return at once, since the link has carried the bytes."""

    def count_call_bytes(self, size: int) -> None:
        """Delay transfers by the time that bytes of a call take."""
        self._out.reserve(size, self._clock.now())


class SimulatedLink:
    """Simulate a link of a given rate in each direction."""

    slice_bytes = 0

    def __init__(self, bytes_per_s: float, clock: Clock) -> None:
        """Limit both directions to the same rate."""
        self._out = TokenBucket(bytes_per_s)
        self._into = TokenBucket(bytes_per_s)
        self._clock = clock
        self._slice = max(1, int(bytes_per_s * _SLICE_S))
        self._turn = asyncio.Lock()

    async def send(self, size: int) -> None:
        """Send in slices, so that a call waits for one slice at most."""
        async with self._turn:
            left = size
            while left > 0:
                part = min(left, self._slice)
                await asyncio.sleep(self._out.reserve(part, self._clock.now()))
                left -= part

    async def receive(self, size: int) -> None:
        """Wait until the inbound direction has carried the bytes."""
        await asyncio.sleep(self._into.reserve(size, self._clock.now()))

    def count_call_bytes(self, size: int) -> None:
        """Delay transfers by the time that bytes of a call take."""
        self._out.reserve(size, self._clock.now())
