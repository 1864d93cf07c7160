"""Read what another entry tells of the store's range."""

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


async def ask_to_tell(
    stream: FrameStream,
    mirror: Mirror,
    *,
    far: bool = False,
) -> None:
    """Ask another entry to tell what this one lacks, from now on."""
    held = [HeldKey(*one) for one in mirror.held().items()]
    request = RangeRequest(after=mirror.revision, far=far, held=held)
    await stream.write(FrameKind.RANGE_REQUEST, encode(request))


async def read_told(
    stream: FrameStream,
    mirror: Mirror | None = None,
    host: str = '',
    silent_s: float = SILENT_S,
) -> Told:
    """Read a word, with the items that follow it; raise WireError, CodecError.

    The mirror holds what differences are told against.
    """
    frame = await _expect(stream, FrameKind.RANGE_PART, silent_s)
    part = decode(RangePart, frame.payload)
    changes: tuple[Change, ...] = ()
    if part.items:
        packed = await _expect(stream, FrameKind.RANGE_ITEMS, silent_s)
        changes = tuple(unpack(packed.payload, part.packed_ms, mirror))
        if len(packed.payload) > _MUCH_OCTETS:
            log(
                Event.NEWS_TAKEN,
                teller=host,
                asked=mirror.revision if mirror else 0,
                got=part.revision,
                octets=len(packed.payload),
                keys=len(changes),
                whole=part.whole,
                age_ms=part.age_ms,
            )
    return Told(
        part.revision,
        as_seconds(part.age_ms),
        as_seconds(part.flow_age_ms),
        as_seconds(part.flowing_ms),
        part.outages,
        part.whole,
        changes,
        tuple(hosts.unpack(part.rather)),
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
