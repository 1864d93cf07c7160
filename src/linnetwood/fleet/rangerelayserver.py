"""Tell other entries what the store's range holds, and since when."""

import asyncio
import math

from linnetwood.core.errors import CodecError, WireError
from linnetwood.core.waits import happened
from linnetwood.fleet import hosts
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.mirror import LARGE_BYTES, Delta
from linnetwood.fleet.rangecodec import as_milliseconds, pack
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.gen.wire.ttypes import RangePart, RangeRequest
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import MAX_FRAME, Frame, FrameKind, FrameStream

# A teller that knows nothing new says so this often.
HEARTBEAT_S = 0.2
# Other zones are told what is new at once, too; an idle word of 130 bytes, with
# its headers, is half as frequent on links that regions share.
REMOTE_HEARTBEAT_S = 0.4
# A listener that reads nothing for so long is given up.
_WRITE_TIMEOUT_S = 5.0
# One of another zone may read over a link that is full, for as long as bytes
# come; it leaves by itself after 2 s without any. This ends what nobody reads.
_REMOTE_WRITE_TIMEOUT_S = 30.0
_MILLISECONDS = 1000
# Those that keep up, those that came just now, and those of other zones.
_PACKED_CACHE_SIZE = 4
_CacheKey = tuple[int, int, bool, tuple[tuple[str, int], ...]]


class RangeRelayServer:
    """Tell neighbours what is known of a range, and since when."""

    def __init__(
        self,
        follower: RangeFollower,
        selector: RelaySelector | None = None,
    ) -> None:
        """Tell what a follower knows; other zones, whom to hear rather."""
        self._follower = follower
        self._selector = selector
        self._packed_cache: dict[_CacheKey, tuple[bytes, float]] = {}

    async def serve(self, stream: FrameStream, frame: Frame) -> None:
        """Tell one listener, until it goes."""
        subscriber = _Subscriber(decode(RangeRequest, frame.payload))
        changed = asyncio.Event()
        self._follower.subscribe(changed)
        # Beside telling: ages count from when a request was read.
        reading = asyncio.create_task(_read_requests(stream, subscriber))
        try:
            await self._send_updates(stream, subscriber, changed, reading)
        finally:
            self._follower.unsubscribe(changed)
            await _cancel(reading)

    async def _send_updates(
        self,
        stream: FrameStream,
        subscriber: '_Subscriber',
        changed: asyncio.Event,
        reading: asyncio.Task[None],
    ) -> None:
        """Tell at each beat and at news, until the listener is not heard."""
        while not reading.done():
            changed.clear()
            await self._send_update(stream, subscriber)
            if subscriber.is_remote:
                await self._wait_for_remote_heartbeat(changed, subscriber)
            else:
                await happened(changed, HEARTBEAT_S)
        await reading

    async def _wait_for_remote_heartbeat(
        self,
        changed: asyncio.Event,
        subscriber: '_Subscriber',
    ) -> None:
        """Wait for a beat, or for news that is large.

        What is small comes to both from the store at the same time.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + REMOTE_HEARTBEAT_S
        mirror = self._follower.mirror
        while (
            mirror.large_revision <= subscriber.known_revision
            and loop.time() < until
        ):
            await happened(changed, until - loop.time())
            changed.clear()

    async def _send_update(
        self, stream: FrameStream, subscriber: '_Subscriber'
    ) -> None:
        mirror = self._follower.mirror
        now = asyncio.get_running_loop().time()
        part = (
            self._remote_range_part(now)
            if subscriber.is_remote
            else self._range_part(now)
        )
        packed = b''
        if part.revision > subscriber.known_revision:
            delta = mirror.delta_since(subscriber.known_revision, now)
            packed, packed_at = self._pack_delta(subscriber, delta, now)
            part.items = True
            part.whole = delta.whole
            part.packed_ms = as_milliseconds(now - packed_at)
            subscriber.note_sent(delta)
        part.asked_ms = int((now - subscriber.requested_at) * _MILLISECONDS)
        part.requests = subscriber.request_count
        write_s = (
            _REMOTE_WRITE_TIMEOUT_S
            if subscriber.is_remote
            else _WRITE_TIMEOUT_S
        )
        try:
            async with asyncio.timeout(write_s):
                await stream.write(FrameKind.RANGE_PART, encode(part))
                if packed:
                    await stream.write(FrameKind.RANGE_ITEMS, packed)
        except TimeoutError as exc:
            stream.abort()
            raise WireError('reader-too-slow', f'{write_s} s') from exc

    def _range_part(self, now: float) -> RangePart:
        follower = self._follower
        # What was borrowed has no age for others, so it can't go in a circle.
        as_of = -math.inf if follower.uses_fallback_relay else now
        return RangePart(
            revision=follower.mirror.revision,
            age_ms=as_milliseconds(as_of - follower.confirmed_at),
            flow_age_ms=as_milliseconds(as_of - follower.last_byte_at),
            flowing_ms=as_milliseconds(as_of - follower.first_byte_at),
            outages=follower.outages,
        )

    def _remote_range_part(self, now: float) -> RangePart:
        """Tell another zone the age of the store's own answers alone.

        What is known by other zones' word has none, so no word goes in a
        circle between them.
        """
        follower = self._follower
        rather = b''
        if self._selector is not None and follower.is_store_silent:
            rather = hosts.pack(self._selector.relays)
        return RangePart(
            revision=follower.mirror.revision,
            age_ms=as_milliseconds(now - follower.store_confirmed_at),
            flow_age_ms=as_milliseconds(math.inf),
            outages=follower.outages,
            rather=rather,
        )

    def _pack_delta(
        self,
        subscriber: '_Subscriber',
        delta: Delta,
        now: float,
    ) -> tuple[bytes, float]:
        # Listeners that keep up all lack the same.
        held = tuple(sorted(subscriber.held_revisions.items()))
        cache_key = (
            subscriber.known_revision,
            delta.revision,
            delta.whole,
            held,
        )
        if cache_key not in self._packed_cache:
            packed = pack(
                delta.changes, subscriber.held_revisions, self._follower.mirror
            )
            while len(self._packed_cache) >= _PACKED_CACHE_SIZE:
                self._packed_cache.pop(next(iter(self._packed_cache)))
            self._packed_cache[cache_key] = (packed, now)
        packed, packed_at = self._packed_cache[cache_key]
        if len(packed) > MAX_FRAME:
            # Whoever lacks so much asks the store.
            raise WireError('range-too-large', f'{len(packed)} bytes')
        return packed, packed_at


class _Subscriber:
    """What one listener knows."""

    __slots__ = (
        'known_revision',
        'requested_at',
        'is_remote',
        'held_revisions',
        'request_count',
    )

    def __init__(self, request: RangeRequest) -> None:
        self.known_revision = 0
        self.requested_at = float()
        self.request_count = 0
        self.is_remote = request.far
        self.held_revisions: dict[str, int] = {}
        self.note_request(request)

    def note_request(self, request: RangeRequest) -> None:
        """Note what it knows by its own word, unless it was told more since."""
        self.requested_at = asyncio.get_running_loop().time()
        self.request_count += 1
        if request.after >= self.known_revision:
            self.known_revision = request.after
            self.held_revisions = {
                held.key: held.revision for held in request.held
            }

    def note_sent(self, delta: Delta) -> None:
        """Note what it knows from now on."""
        self.known_revision = delta.revision
        for change in delta.changes:
            record = change.record
            if record is not None and len(record.payload) >= LARGE_BYTES:
                self.held_revisions[change.key] = record.revision


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _read_requests(stream: FrameStream, subscriber: _Subscriber) -> None:
    """Take in what a listener learned meanwhile: it need not be told that."""
    while True:
        frame = await stream.read()
        if frame.kind is not FrameKind.RANGE_REQUEST:
            raise CodecError('unexpected-frame', frame.kind.name)
        subscriber.note_request(decode(RangeRequest, frame.payload))
