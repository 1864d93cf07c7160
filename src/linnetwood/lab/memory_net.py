"""Connections in memory that can be delayed, cut or refused, for tests."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random

from linnetwood.core.errors import WireError
from linnetwood.wire.connections import Address
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

_LATENCY_S = 0.001
_MAX_STALL_S = 3.0
Accept = Callable[[FrameStream], Awaitable[None]]


class MemoryStream(FrameStream):
    """One end of a connection in memory."""

    def __init__(self, net: 'MemoryNet') -> None:
        """Start open, and not yet connected to the other end."""
        super().__init__()
        self.other: MemoryStream | None = None
        self.in_transit: deque[Frame] = deque()
        self._net = net
        self._received: deque[Frame] = deque()
        self._changed = asyncio.Event()
        self._closed = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Return whether either side has closed."""
        return self._closed.is_set()

    @property
    def idle(self) -> bool:
        """Return whether no frame waits to be read."""
        return not self._received

    async def read(self) -> Frame:
        """Wait for the next frame."""
        while not self._received:
            if self.closed:
                raise WireError('connection-lost', 'closed')
            self._changed.clear()
            await self._changed.wait()
        return self._received.popleft()

    async def read_within(self, silent_s: float) -> Frame:
        """Wait for the next frame for up to a number of seconds."""
        try:
            async with asyncio.timeout(silent_s):
                return await self.read()
        except TimeoutError as exc:
            raise WireError('peer-silent', f'{silent_s} s') from exc

    async def write(self, kind: FrameKind, payload: bytes) -> None:
        """Send one frame."""
        self.send(kind, payload)
        await asyncio.sleep(0)

    def send(self, kind: FrameKind, payload: bytes) -> None:
        """Send one frame, which the network may delay or lose."""
        if self.closed:
            raise WireError('connection-lost', 'closed before the write')
        self._net.carry(self, Frame(kind, payload))

    async def wait_closed(self) -> None:
        """Wait until either side closes."""
        await self._closed.wait()

    def close(self) -> None:
        """Close this end now, and the other after the latency."""
        if not self.closed:
            self.mark_closed()
            if self.other is not None:
                self._net.later(_LATENCY_S, self.other.mark_closed)

    def abort(self) -> None:
        """Close both ends."""
        self.close()

    def mark_closed(self) -> None:
        """Mark this end as closed, and wake its readers."""
        self._closed.set()
        self._changed.set()

    def receive_next(self) -> None:
        """Receive the oldest frame in transit, unless this end is closed."""
        frame = self.in_transit.popleft()
        if not self.closed:
            self._received.append(frame)
            self._changed.set()


class MemoryNet:
    """Deliver frames between processes, with faults at given rates."""

    def __init__(self, rng: Random, cut: float, stall: float) -> None:
        """Cut the connection at, or delay, these shares of the frames."""
        self.accepting: dict[Address, Accept] = {}
        self.streams: dict[Address, list[MemoryStream]] = {}
        self.frozen_until: dict[Address, float] = {}
        self._rng = rng
        self._cut = cut
        self._stall = stall
        self._addresses: dict[MemoryStream, Address] = {}
        self._due: dict[MemoryStream, float] = {}
        self._tasks: set[asyncio.Future[None]] = set()

    async def dial(self, address: Address) -> FrameStream:
        """Connect to a process that accepts."""
        await asyncio.sleep(_LATENCY_S)
        accept = self.accepting.get(address)
        if accept is None:
            raise WireError('connect-failed', str(address))
        client_end = MemoryStream(self)
        server_end = MemoryStream(self)
        client_end.other = server_end
        server_end.other = client_end
        for stream in (client_end, server_end):
            self._addresses[stream] = address
            self.streams.setdefault(address, []).append(stream)
        task = asyncio.ensure_future(_serve(accept, server_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return client_end

    def drop(self, address: Address) -> None:
        """Simulate the crash of a process: close its connections at once."""
        self.accepting.pop(address, None)
        for stream in self.streams.pop(address, []):
            stream.mark_closed()

    def carry(self, sender: MemoryStream, frame: Frame) -> None:
        """Deliver a frame to the other end, in order."""
        target = sender.other
        if target is None:
            return
        if self._rng.random() < self._cut:
            sender.close()
            return
        now = asyncio.get_running_loop().time()
        delay = _LATENCY_S
        if self._rng.random() < self._stall:
            delay = self._rng.uniform(0, _MAX_STALL_S)
        frozen = self.frozen_until.get(self._addresses[sender], 0)
        due = max(now + delay, self._due.get(target, 0), frozen)
        self._due[target] = due
        target.in_transit.append(frame)
        self.later(due - now, target.receive_next)

    def later(self, delay: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""
        asyncio.get_running_loop().call_later(delay, callback)

    async def close(self) -> None:
        """End every connection."""
        for address in tuple(self.streams):
            self.drop(address)
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _serve(accept: Accept, stream: MemoryStream) -> None:
    try:
        await accept(stream)
    except WireError:
        stream.close()


class MemoryDialler:
    """Connect to processes; reuse connections as the TCP dialler does."""

    def __init__(self, net: MemoryNet) -> None:
        """Use the given network."""
        self._net = net
        self._idle: dict[Address, list[FrameStream]] = {}

    async def dial(self, address: Address) -> FrameStream:
        """Connect to a process."""
        return await self._net.dial(address)

    def reuse(self, address: Address) -> FrameStream | None:
        """Return an idle connection whose last exchange ended well, if any."""
        idle_streams = self._idle.get(address, [])
        while idle_streams:
            stream = idle_streams.pop()
            if not stream.closed and stream.idle:
                return stream
        return None

    def keep(self, address: Address, stream: FrameStream) -> None:
        """Keep a connection for reuse, if its exchange ended cleanly."""
        if not stream.closed and stream.idle:
            self._idle.setdefault(address, []).append(stream)
