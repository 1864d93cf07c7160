"""Read what another entry tells of the store's range, and how late it comes."""

import asyncio
from collections.abc import Callable

from linnetwood.core.errors import CodecError
from linnetwood.core.events import Event, log
from linnetwood.fleet import hosts
from linnetwood.fleet.belief import Told
from linnetwood.fleet.mirror import Mirror
from linnetwood.fleet.rangeparts import as_seconds, unpack
from linnetwood.fleet.ranges import Change
from linnetwood.gen.wire.ttypes import HeldKey, RangePart, RangeRequest
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

# One that is silent for more than two beats of a teller is left for another.
SILENT_S = 0.5
# Below this a word is of load and warmth: tens of lines a second.
_MUCH_OCTETS = 4096


# Clocks of two VMs drift apart by half a thousandth at most.
_ASK_AGAIN_S = 10.0
# A request that was read late makes all words count as late until the next.
_ASK_LATE_AGAIN_S = 1.0
_MUCH_LATE_S = 0.1
_MILLISECONDS = 1000


def _in_time(part: RangePart) -> float:
    """Take a word for one that was said just now."""
    return 0


class Hearing:
    """Ask one entry to tell, and read what it tells."""

    def __init__(
        self,
        stream: FrameStream,
        mirror: Mirror,
        host: str,
        *,
        far: bool = False,
        silent_s: float = SILENT_S,
    ) -> None:
        """Ask nothing yet; differences are told against the mirror."""
        self._stream = stream
        self._mirror = mirror
        self._host = host
        self._far = far
        self._silent_s = silent_s
        self._requests = 0
        self._last_at = float()
        self._was_late_s = float()
        self._asked_at: dict[int, float] = {}

    async def ask(self) -> None:
        """Ask to be told what is lacking, from now on."""
        mirror = self._mirror
        held = [HeldKey(*one) for one in mirror.held().items()]
        request = RangeRequest(mirror.revision, self._far, held)
        self._requests += 1
        self._last_at = asyncio.get_running_loop().time()
        self._asked_at[self._requests] = self._last_at
        await self._stream.write(FrameKind.RANGE_REQUEST, encode(request))

    async def read(self) -> Told:
        """Read a word; raise WireError, CodecError."""
        was_late = self._was_late_s > _MUCH_LATE_S
        again_s = _ASK_LATE_AGAIN_S if was_late else _ASK_AGAIN_S
        if asyncio.get_running_loop().time() - self._last_at > again_s:
            await self.ask()
        return await read_told(
            self._stream,
            self._mirror,
            self._host,
            self._silent_s,
            self._late_s,
        )

    def _late_s(self, part: RangePart) -> float:
        """Give for how long a word may have been on its way, in seconds.

        It was said after the request that its teller had read, by the time that
        the teller says. What it waited since, in a queue, a buffer or a process
        that stood still, its age leaves out.
        """
        if part.asked_ms < 0:
            return _in_time(part)
        first_at = min(self._asked_at.values())
        asked_at = self._asked_at.get(part.requests, first_at)
        if part.requests in self._asked_at:
            self._forget_before(part.requests)
        said_at = asked_at + as_seconds(part.asked_ms)
        late_s = max(0, asyncio.get_running_loop().time() - said_at)
        self._was_late_s = late_s
        return late_s

    def _forget_before(self, request: int) -> None:
        self._asked_at = {
            number: at
            for number, at in self._asked_at.items()
            if number >= request
        }


async def read_told(
    stream: FrameStream,
    mirror: Mirror | None = None,
    host: str = '',
    silent_s: float = SILENT_S,
    late: Callable[[RangePart], float] = _in_time,
) -> Told:
    """Read a word, with the items that follow it; raise WireError, CodecError.

    The mirror holds what differences are told against. All ages are older by
    what the word is late.
    """
    frame = await _expect(stream, FrameKind.RANGE_PART, silent_s)
    part = decode(RangePart, frame.payload)
    payload = b''
    if part.items:
        packed = await _expect(stream, FrameKind.RANGE_ITEMS, silent_s)
        payload = packed.payload
    # All of it has come by now.
    late_s = late(part)
    changes: tuple[Change, ...] = ()
    if payload:
        since_ms = part.packed_ms + round(late_s * _MILLISECONDS)
        changes = tuple(unpack(payload, since_ms, mirror))
        if len(payload) > _MUCH_OCTETS:
            _log_much(part, payload, changes, mirror, host, late_s)
    return Told(
        part.revision,
        as_seconds(part.age_ms) + late_s,
        as_seconds(part.flow_age_ms) + late_s,
        as_seconds(part.flowing_ms) + late_s,
        part.outages,
        part.whole,
        changes,
        tuple(hosts.unpack(part.rather)),
    )


def _log_much(
    part: RangePart,
    payload: bytes,
    changes: tuple[Change, ...],
    mirror: Mirror | None,
    host: str,
    late_s: float,
) -> None:
    log(
        Event.NEWS_TAKEN,
        teller=host,
        asked=mirror.revision if mirror else 0,
        got=part.revision,
        octets=len(payload),
        keys=len(changes),
        whole=part.whole,
        age_ms=part.age_ms,
        late_ms=round(late_s * _MILLISECONDS),
    )


async def _expect(
    stream: FrameStream,
    kind: FrameKind,
    silent_s: float,
) -> Frame:
    frame = await stream.read_within(silent_s)
    if frame.kind is not kind:
        raise CodecError('unexpected-frame', frame.kind.name)
    return frame
