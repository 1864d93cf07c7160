"""Send the store's range and the age of the view to other entries."""

import asyncio
import math

from linnetwood.core.errors import CodecError, WireError
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet import hosts
from linnetwood.fleet.mirror import LARGE_BYTES, Delta
from linnetwood.fleet.rangecodec import (
    as_milliseconds,
    pack,
    received_revision,
)
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.retained import RetainedRecords
from linnetwood.fleet.revisions import era_of, number_of, same_era
from linnetwood.gen.wire.ttypes import RangePart, RangeRequest
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import MAX_FRAME, Frame, FrameKind, FrameStream

# A relay without changes sends an update this often.
HEARTBEAT_S = 0.2
# Other zones get large changes at once, too. An update without changes is 130
# bytes with its headers, and half as frequent on links that regions share.
REMOTE_HEARTBEAT_S = 0.4
# A subscriber that reads nothing for this time is disconnected.
_WRITE_TIMEOUT_S = 5.0
# A subscriber of another zone may read over a full link for as long as bytes
# arrive, and leaves by itself after 2 s without any. This timeout ends a
# connection that nobody reads.
_REMOTE_WRITE_TIMEOUT_S = 30.0
_MILLISECONDS = 1000
# Enough for subscribers that keep up, new ones, and those of other zones.
_PACKED_CACHE_SIZE = 4
_CacheKey = tuple[int, int, bool, tuple[tuple[str, int], ...]]


class RangeRelayServer:
    """Send a range and the age of its view to subscribers."""

    def __init__(
        self,
        follower: RangeFollower,
        selector: RelaySelector | None = None,
    ) -> None:
        """Serve a follower's range; a selector names relays to other zones."""
        self._follower = follower
        self._selector = selector
        self._packed_cache: dict[_CacheKey, tuple[bytes, float]] = {}

    async def serve(self, stream: FrameStream, frame: Frame) -> None:
        """Serve one subscriber until it disconnects."""
        subscriber = _Subscriber(decode(RangeRequest, frame.payload))
        changed = asyncio.Event()
        self._follower.subscribe(changed)
        # In a task of its own: ages count from when a request was read.
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
        """Send an update at each heartbeat and change until requests end."""
        while not reading.done():
            changed.clear()
            await self._send_update(stream, subscriber)
            if subscriber.is_remote:
                await self._wait_for_remote_heartbeat(changed, subscriber)
            else:
                await wait_for_event(changed, HEARTBEAT_S)
        await reading

    async def _wait_for_remote_heartbeat(
        self,
        changed: asyncio.Event,
        subscriber: '_Subscriber',
    ) -> None:
        """Wait for the heartbeat of other zones, or for a large change.

        Small changes reach both zones from the store at the same time.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + REMOTE_HEARTBEAT_S
        mirror = self._follower.mirror
        while (
            mirror.large_revision <= subscriber.known_revision
            and loop.time() < until
        ):
            if not await wait_for_event(changed, until - loop.time()):
                # A timer may fire a little early, by the clock's resolution.
                return
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
        if mirror.revision > subscriber.known_revision:
            delta = mirror.delta_since(subscriber.known_revision, now)
            packed, packed_at = self._pack_delta(subscriber, delta, now)
            part.items = True
            part.whole = delta.whole
            part.packed_ms = as_milliseconds(now - packed_at)
            subscriber.note_sent(delta)
        retained = self._follower.retained
        if subscriber.lacks_retained(retained, mirror.revision):
            part.retained = pack(retained.changes(now))
            part.retained_era = era_of(retained.revision)
            subscriber.retained_version = retained.version
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
        # A view from a fallback relay is sent without an age, so that no two
        # entries confirm each other's views.
        as_of = -math.inf if follower.uses_fallback_relay else now
        return RangePart(
            revision=number_of(follower.mirror.revision),
            era=era_of(follower.mirror.revision),
            age_ms=as_milliseconds(as_of - follower.confirmed_at),
            flow_age_ms=as_milliseconds(as_of - follower.last_byte_at),
            flowing_ms=as_milliseconds(as_of - follower.first_byte_at),
            outages=follower.outages,
        )

    def _remote_range_part(self, now: float) -> RangePart:
        """Return the message for another zone; its age is the store's alone.

        Confirmations by other zones don't count for this age, so that no two
        zones confirm each other's views.
        """
        follower = self._follower
        rather = b''
        if self._selector is not None and follower.is_store_silent:
            rather = hosts.pack(self._selector.relays)
        return RangePart(
            revision=number_of(follower.mirror.revision),
            era=era_of(follower.mirror.revision),
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
        # All subscribers that keep up lack the same changes.
        held = subscriber.held_in_era_of(delta.revision)
        cache_key = (
            subscriber.known_revision,
            delta.revision,
            delta.whole,
            tuple(sorted(held.items())),
        )
        if cache_key not in self._packed_cache:
            packed = pack(delta.changes, held, self._follower.mirror)
            while len(self._packed_cache) >= _PACKED_CACHE_SIZE:
                self._packed_cache.pop(next(iter(self._packed_cache)))
            self._packed_cache[cache_key] = (packed, now)
        packed, packed_at = self._packed_cache[cache_key]
        if len(packed) > MAX_FRAME:
            # A subscriber that lacks more than one frame reads the store.
            raise WireError('range-too-large', f'{len(packed)} bytes')
        return packed, packed_at


class _Subscriber:
    """The revisions that one subscriber holds."""

    __slots__ = (
        'held_revisions',
        'is_remote',
        'known_revision',
        'request_count',
        'requested_at',
        'retained_version',
        '_first_era',
    )

    def __init__(self, request: RangeRequest) -> None:
        self.known_revision = 0
        self.requested_at = float()
        self.request_count = 0
        self.is_remote = request.far
        self.held_revisions: dict[str, int] = {}
        # Of the retained records that were sent last.
        self.retained_version = 0
        self._first_era = request.first_era
        self.note_request(request)

    def note_request(self, request: RangeRequest) -> None:
        """Note what a request says it holds, unless more was sent since."""
        self.requested_at = asyncio.get_running_loop().time()
        self.request_count += 1
        self._first_era = request.first_era
        known_revision = received_revision(request.era, request.after)
        if known_revision >= self.known_revision:
            self.known_revision = known_revision
            self.held_revisions = {
                held.key: received_revision(request.era, held.revision)
                for held in request.held
            }

    def lacks_retained(self, retained: RetainedRecords, revision: int) -> bool:
        """Return whether to send retained records beside a store revision.

        Only a subscriber that has not read an earlier era lacks them.
        """
        return (
            bool(retained.revision)
            and retained.version != self.retained_version
            and self._first_era in {0, era_of(revision)}
        )

    def held_in_era_of(self, revision: int) -> dict[str, int]:
        """Return the held revisions that a message of an era may refer to."""
        return {
            key: held
            for key, held in self.held_revisions.items()
            if same_era(held, revision)
        }

    def note_sent(self, delta: Delta) -> None:
        """Note what the subscriber holds after an update."""
        self.known_revision = delta.revision
        for change in delta.changes:
            record = change.record
            if record is not None and len(record.payload) >= LARGE_BYTES:
                self.held_revisions[change.key] = record.revision


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _read_requests(stream: FrameStream, subscriber: _Subscriber) -> None:
    """Note what a subscriber learned elsewhere: that need not be sent."""
    while True:
        frame = await stream.read()
        if frame.kind is not FrameKind.RANGE_REQUEST:
            raise CodecError('unexpected-frame', frame.kind.name)
        subscriber.note_request(decode(RangeRequest, frame.payload))
