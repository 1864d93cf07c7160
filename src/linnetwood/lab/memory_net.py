"""Connections in memory that can be slow, cut or refused, for histories."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random

from linnetwood.core.errors import WireError
from linnetwood.wire.connections import Address
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

_LATENCY_S = 0.001
_STALL_S = 3.0
Accept = Callable[[FrameStream], Awaitable[None]]


class MemoryStream(FrameStream):
    """One end of a connection in memory."""

    def __init__(self, net: 'MemoryNet') -> None:
        """Start open, without the other end."""
        super().__init__()
        self.other: MemoryStream | None = None
        self.on_its_way: deque[Frame] = deque()
        self._net = net
        self._arrived: deque[Frame] = deque()
        self._changed = asyncio.Event()
        self._gone = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Tell whether either side has closed."""
        return self._gone.is_set()

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits to be read."""
        return not self._arrived

    async def read(self) -> Frame:
        """Wait for the next frame."""
        while not self._arrived:
            if self.closed:
                raise WireError('connection-lost', 'closed')
            self._changed.clear()
            await self._changed.wait()
        return self._arrived.popleft()

    async def read_within(self, silent_s: float) -> Frame:
        """Wait for the next frame for a while."""
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
        """Send one frame, late or never as the network wills."""
        if self.closed:
            raise WireError('connection-lost', 'closed before the write')
        self._net.carry(self, Frame(kind, payload))

    async def wait_closed(self) -> None:
        """Wait until either side closes."""
        await self._gone.wait()

    def close(self) -> None:
        """Close this end now and the other a moment later."""
        if not self.closed:
            self.shut()
            if self.other is not None:
                self._net.later(_LATENCY_S, self.other.shut)

    def abort(self) -> None:
        """Close both ends."""
        self.close()

    def shut(self) -> None:
        """Note that the connection is gone."""
        self._gone.set()
        self._changed.set()

    def arrive(self) -> None:
        """Take in the oldest frame under way unless the connection is gone."""
        frame = self.on_its_way.popleft()
        if not self.closed:
            self._arrived.append(frame)
            self._changed.set()


class MemoryNet:
    """Carry frames between processes, with faults at stated rates."""

    def __init__(self, rng: Random, cut: float, stall: float) -> None:
        """Cut or stall this share of the frames."""
        self.accepting: dict[Address, Accept] = {}
        self.streams: dict[Address, list[MemoryStream]] = {}
        self.frozen_until: dict[Address, float] = {}
        self._rng = rng
        self._cut = cut
        self._stall = stall
        self._homes: dict[MemoryStream, Address] = {}
        self._due: dict[MemoryStream, float] = {}
        self._tasks: set[asyncio.Future[None]] = set()

    async def dial(self, address: Address) -> FrameStream:
        """Connect to a process that accepts."""
        await asyncio.sleep(_LATENCY_S)
        accept = self.accepting.get(address)
        if accept is None:
            raise WireError('connect-failed', str(address))
        near = MemoryStream(self)
        far = MemoryStream(self)
        near.other = far
        far.other = near
        for stream in (near, far):
            self._homes[stream] = address
            self.streams.setdefault(address, []).append(stream)
        task = asyncio.ensure_future(_serve(accept, far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    def drop(self, address: Address) -> None:
        """Kill a process: all its connections go at once."""
        self.accepting.pop(address, None)
        for stream in self.streams.pop(address, []):
            stream.shut()

    def carry(self, sender: MemoryStream, frame: Frame) -> None:
        """Bring a frame to the other end, in order."""
        target = sender.other
        if target is None:
            return
        if self._rng.random() < self._cut:
            sender.close()
            return
        now = asyncio.get_running_loop().time()
        delay = _LATENCY_S
        if self._rng.random() < self._stall:
            delay = self._rng.uniform(0, _STALL_S)
        frozen = self.frozen_until.get(self._homes[sender], 0)
        due = max(now + delay, self._due.get(target, 0), frozen)
        self._due[target] = due
        target.on_its_way.append(frame)
        self.later(due - now, target.arrive)

    def later(self, delay: float, act: Callable[[], None]) -> None:
        """Do something after a while."""
        asyncio.get_running_loop().call_later(delay, act)

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
    """Keep finished connections, as the TCP dialler does."""

    def __init__(self, net: MemoryNet) -> None:
        """Dial over the given network."""
        self._net = net
        self._idle: dict[Address, list[FrameStream]] = {}

    async def dial(self, address: Address) -> FrameStream:
        """Connect to a process."""
        return await self._net.dial(address)

    def reuse(self, address: Address) -> FrameStream | None:
        """Give a connection whose last exchange ended cleanly, if any."""
        kept = self._idle.get(address, [])
        while kept:
            stream = kept.pop()
            if not stream.closed and stream.idle:
                return stream
        return None

    def keep(self, address: Address, stream: FrameStream) -> None:
        """Keep a connection whose exchange ended cleanly."""
        if not stream.closed and stream.idle:
            self._idle.setdefault(address, []).append(stream)
