"""Links between regions that all traffic shares, first in, first out.

What does not fit into a link's queue is lost; a connection sends it again after
a time, and hands on what follows only behind it.
"""

import asyncio
from collections import deque
from collections.abc import Callable

# Ten segments of 1,460 bytes are the usual first window; four of these are
# about as many bytes, and fewer events.
SEGMENT_BYTES = 4096
_FIRST_WINDOW = 4
_MIN_WINDOW = 2
_MAX_WINDOW = 64
_MIN_RESEND_S = 0.2
_LATENCY_S = 0.003
_BACKOFF = 2
_FILL_EVERY_S = 0.01
_WIDE_BYTES_PER_S = 125000000


def _is_never_cut() -> bool:
    return False


class SharedLink:
    """One direction between two regions."""

    def __init__(self, bytes_per_s: float, queue_s: float) -> None:
        """Carry at a rate, and queue for up to a number of seconds."""
        self.bytes_per_s = bytes_per_s
        self.queue_s = queue_s
        self.sent = 0
        self.lost = 0
        self._free_at = float()
        self._filled: list[tuple[float, float, float]] = []

    def delay_s(self, now: float) -> float:
        """Return how long a byte that is sent now waits."""
        return max(0, self._free_at - now)

    def offer(self, size: int, now: float) -> float | None:
        """Return when bytes have passed, or None if they are lost."""
        if self.delay_s(now) + size / self.bytes_per_s > self.queue_s:
            self.lost += size
            return None
        self.sent += size
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        return self._free_at + _LATENCY_S

    async def fill(self, level_s: float, seconds: float) -> None:
        """Keep the queue at a level with other traffic, as greedy calls do."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        self._filled.append((loop.time(), until, level_s))
        while loop.time() < until:
            self._free_at = max(self._free_at, loop.time() + level_s)
            await asyncio.sleep(_FILL_EVERY_S)

    def others_delay_s(self, at: float) -> float:
        """Return how long a byte waits behind other traffic alone."""
        waits = (
            level_s - max(0, at - until)
            for since, until, level_s in self._filled
            if since <= at
        )
        return max(0, max(waits, default=0))


class Flow:
    """One direction of a connection: bytes in order, within a window."""

    def __init__(
        self,
        link: SharedLink,
        back: SharedLink,
        is_cut: Callable[[], bool] = _is_never_cut,
    ) -> None:
        """Send over a link; acknowledgements wait on the way back.

        While is_cut() holds, whatever is sent is lost.
        """
        self.closed = False
        self._is_cut = is_cut
        self._link = link
        self._back = back
        self._window = float(_FIRST_WINDOW)
        self._in_flight = 0
        self._unsent: deque[tuple[int, int]] = deque()
        self._next_number = 0
        self._next_delivered = 0
        self._arrived: set[int] = set()
        self._arrivals: dict[int, Callable[[], None]] = {}

    def send(
        self,
        size: int,
        arrived: Callable[[], None],
        on_bytes: Callable[[], None] | None = None,
    ) -> None:
        """Send bytes; call back at each segment and when all have arrived."""
        left = max(1, size)
        while left > 0:
            segment = min(left, SEGMENT_BYTES)
            left -= segment
            self._unsent.append((self._next_number, segment))
            if on_bytes is not None:
                self._arrivals[self._next_number] = on_bytes
            self._next_number += 1
        self._arrivals[self._next_number - 1] = arrived
        self._pump()

    def close(self) -> None:
        """Send nothing more; what is on the link still passes it."""
        self.closed = True
        self._unsent.clear()
        self._arrivals.clear()

    def _pump(self) -> None:
        while self._unsent and self._in_flight < self._window:
            number, size = self._unsent.popleft()
            self._in_flight += 1
            self._transmit(number, size, _MIN_RESEND_S)

    def _transmit(self, number: int, size: int, resend_s: float) -> None:
        if self.closed:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        passed_at = None if self._is_cut() else self._link.offer(size, now)
        if passed_at is None:
            self._window = max(_MIN_WINDOW, self._window / 2)
            round_s = self._link.delay_s(now) + self._back.delay_s(now)
            again_s = max(resend_s, round_s)
            loop.call_later(
                again_s, self._transmit, number, size, resend_s * _BACKOFF
            )
            return
        loop.call_at(passed_at, self._arrive, number)

    def _arrive(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        back_s = self._back.delay_s(loop.time()) + _LATENCY_S
        loop.call_later(back_s, self._acknowledge)
        self._arrived.add(number)
        while self._next_delivered in self._arrived and not self.closed:
            self._arrived.discard(self._next_delivered)
            callback = self._arrivals.pop(self._next_delivered, None)
            self._next_delivered += 1
            if callback is not None:
                callback()

    def _acknowledge(self) -> None:
        self._in_flight -= 1
        self._window = min(_MAX_WINDOW, self._window + 1)
        self._pump()


class SharedLinks:
    """The links between all pairs of regions, and within each of them."""

    def __init__(self, bytes_per_s: float, queue_s: float) -> None:
        """Give each direction of each pair the same rate and queue."""
        self._bytes_per_s = bytes_per_s
        self._queue_s = queue_s
        self._links: dict[tuple[str, str], SharedLink] = {}

    def link(self, source: str, target: str) -> SharedLink:
        """Return the link of one direction; within a region it is wide."""
        key = (source, target)
        if key not in self._links:
            rate = _WIDE_BYTES_PER_S if source == target else self._bytes_per_s
            self._links[key] = SharedLink(rate, self._queue_s)
        return self._links[key]

    def flow(
        self,
        source: str,
        target: str,
        is_cut: Callable[[], bool] = _is_never_cut,
    ) -> Flow:
        """Return a flow from one region to another."""
        link = self.link(source, target)
        return Flow(link, self.link(target, source), is_cut)
