"""Tell other entries what the store's range holds, and since when."""

import asyncio
import math

from linnetwood.core.errors import CodecError, WireError
from linnetwood.core.waits import happened
from linnetwood.fleet import hosts
from linnetwood.fleet.following import Following
from linnetwood.fleet.mirror import LARGE_OCTETS, Lack
from linnetwood.fleet.rangeparts import as_milliseconds, pack
from linnetwood.fleet.tellers import Tellers
from linnetwood.gen.wire.ttypes import RangePart, RangeRequest
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import MAX_FRAME, Frame, FrameKind, FrameStream

# A teller that knows nothing new says so this often.
BEAT_S = 0.2
# Other zones are told what is new at once, too; an idle word of 130 bytes, with
# its headers, is half as frequent on links that regions share.
FAR_BEAT_S = 0.4
# A listener that reads nothing for so long is given up.
_WRITE_S = 5.0
# One of another zone may read over a link that is full, for as long as bytes
# come; it leaves by itself after 2 s without any. This ends what nobody reads.
_FAR_WRITE_S = 30.0
_MILLISECONDS = 1000
# Those that keep up, those that came just now, and those of other zones.
_PACKED_KEPT = 4
_Lacked = tuple[int, int, bool, tuple[tuple[str, int], ...]]


class RangeTeller:
    """Tell neighbours what is known of a range, and since when."""

    def __init__(
        self,
        following: Following,
        tellers: Tellers | None = None,
    ) -> None:
        """Tell what a follower knows; other zones, whom to hear rather."""
        self._following = following
        self._tellers = tellers
        self._packed: dict[_Lacked, tuple[bytes, float]] = {}

    async def serve(self, stream: FrameStream, frame: Frame) -> None:
        """Tell one listener, until it goes."""
        one = _Hearer(decode(RangeRequest, frame.payload))
        woken = asyncio.Event()
        self._following.listen(woken)
        # Beside telling: ages count from when a request was read.
        heeding = asyncio.create_task(_heed(stream, one))
        try:
            await self._tell_on(stream, one, woken, heeding)
        finally:
            self._following.forget(woken)
            await _end(heeding)

    async def _tell_on(
        self,
        stream: FrameStream,
        one: '_Hearer',
        woken: asyncio.Event,
        heeding: asyncio.Task[None],
    ) -> None:
        """Tell at each beat and at news, until the listener is not heard."""
        while not heeding.done():
            woken.clear()
            await self._tell(stream, one)
            if one.far:
                await self._until_far_beat(woken, one)
            else:
                await happened(woken, BEAT_S)
        await heeding

    async def _until_far_beat(
        self,
        woken: asyncio.Event,
        one: '_Hearer',
    ) -> None:
        """Wait for a beat, or for news that is large.

        What is small comes to both from the store at the same time.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + FAR_BEAT_S
        mirror = self._following.mirror
        while mirror.large_revision <= one.after and loop.time() < until:
            await happened(woken, until - loop.time())
            woken.clear()

    async def _tell(self, stream: FrameStream, one: '_Hearer') -> None:
        mirror = self._following.mirror
        now = asyncio.get_running_loop().time()
        part = self._far_part(now) if one.far else self._part(now)
        packed = b''
        if part.revision > one.after:
            lack = mirror.lack(one.after, now)
            packed, packed_at = self._pack(one, lack, now)
            part.items = True
            part.whole = lack.whole
            part.packed_ms = as_milliseconds(now - packed_at)
            one.told(lack)
        part.asked_ms = int((now - one.asked_at) * _MILLISECONDS)
        part.requests = one.requests
        write_s = _FAR_WRITE_S if one.far else _WRITE_S
        try:
            async with asyncio.timeout(write_s):
                await stream.write(FrameKind.RANGE_PART, encode(part))
                if packed:
                    await stream.write(FrameKind.RANGE_ITEMS, packed)
        except TimeoutError as exc:
            stream.abort()
            raise WireError('reader-too-slow', f'{write_s} s') from exc

    def _part(self, now: float) -> RangePart:
        following = self._following
        # What was borrowed has no age for others, so it can't go in a circle.
        owned = -math.inf if following.borrows else now
        return RangePart(
            revision=following.mirror.revision,
            age_ms=as_milliseconds(owned - following.heard_at),
            flow_age_ms=as_milliseconds(owned - following.flowed_at),
            flowing_ms=as_milliseconds(owned - following.flowing_since),
            outages=following.outages,
        )

    def _far_part(self, now: float) -> RangePart:
        """Tell another zone the age of the store's own answers alone.

        What is known by other zones' word has none, so no word goes in a
        circle between them.
        """
        following = self._following
        rather = b''
        if self._tellers is not None and following.unanswered:
            rather = hosts.pack(self._tellers.first)
        return RangePart(
            revision=following.mirror.revision,
            age_ms=as_milliseconds(now - following.answered_as_of),
            flow_age_ms=as_milliseconds(math.inf),
            outages=following.outages,
            rather=rather,
        )

    def _pack(
        self,
        one: '_Hearer',
        lack: Lack,
        now: float,
    ) -> tuple[bytes, float]:
        # Listeners that keep up all lack the same.
        held = tuple(sorted(one.held.items()))
        lacked = (one.after, lack.revision, lack.whole, held)
        if lacked not in self._packed:
            packed = pack(lack.changes, one.held, self._following.mirror)
            while len(self._packed) >= _PACKED_KEPT:
                self._packed.pop(next(iter(self._packed)))
            self._packed[lacked] = (packed, now)
        packed, packed_at = self._packed[lacked]
        if len(packed) > MAX_FRAME:
            # Whoever lacks so much asks the store.
            raise WireError('range-too-large', f'{len(packed)} bytes')
        return packed, packed_at


class _Hearer:
    """What one listener knows."""

    __slots__ = ('after', 'asked_at', 'far', 'held', 'requests')

    def __init__(self, asked: RangeRequest) -> None:
        self.after = 0
        self.asked_at = float()
        self.requests = 0
        self.far = asked.far
        self.held: dict[str, int] = {}
        self.knows(asked)

    def knows(self, asked: RangeRequest) -> None:
        """Note what it knows by its own word, unless it was told more since."""
        self.asked_at = asyncio.get_running_loop().time()
        self.requests += 1
        if asked.after >= self.after:
            self.after = asked.after
            self.held = {one.key: one.revision for one in asked.held}

    def told(self, lack: Lack) -> None:
        """Note what it knows from now on."""
        self.after = lack.revision
        for change in lack.changes:
            record = change.record
            if record is not None and len(record.payload) >= LARGE_OCTETS:
                self.held[change.key] = record.revision


async def _end(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _heed(stream: FrameStream, one: _Hearer) -> None:
    """Take in what a listener learned meanwhile: it need not be told that."""
    while True:
        frame = await stream.read()
        if frame.kind is not FrameKind.RANGE_REQUEST:
            raise CodecError('unexpected-frame', frame.kind.name)
        one.knows(decode(RangeRequest, frame.payload))
