"""Changes of a range and their ages, as neighbours send them."""

import math
import zlib
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

from linnetwood.core.errors import CodecError
from linnetwood.fleet.mirror import LARGE_OCTETS, Mirror
from linnetwood.fleet.patches import Patch, difference, patched
from linnetwood.fleet.ranges import Change, Record
from linnetwood.gen.wire.ttypes import RangeItem, RangeItems
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import MAX_FRAME

_MILLISECONDS = 1000
_NEVER = -1
# Text shrinks nearly as well at the quickest level, and processors are small.
_FAST = 1
_MOST_UNPACKED = 8 * MAX_FRAME
_NOTHING: Mapping[str, int] = MappingProxyType({})


def pack(
    changes: Iterable[Change],
    held: Mapping[str, int] = _NOTHING,
    mirror: Mirror | None = None,
) -> bytes:
    """Encode and compress changes; a configuration's text shrinks a lot.

    Large payloads are told as what they differ in from the revisions that are
    held, by key, as far as the mirror knows these.
    """
    rows = [_to_item(one, held, mirror) for one in changes]
    return zlib.compress(encode(RangeItems(rows)), _FAST)


def unpack(
    packed: bytes,
    packed_ms: int,
    mirror: Mirror | None = None,
) -> Iterator[Change]:
    """Give changes that were packed so long ago; raise CodecError.

    The mirror holds what differences are told against.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, _MOST_UNPACKED)
    except zlib.error as exc:
        raise CodecError('bad-message', f'RangeItems: {exc}') from exc
    if unpacker.unconsumed_tail:
        raise CodecError('bad-message', f'RangeItems: over {_MOST_UNPACKED}')
    for one in decode(RangeItems, plain).items:
        record = None if one.gone else _record(one, mirror)
        age_s = as_seconds(one.age_ms) + packed_ms / _MILLISECONDS
        yield Change(one.key, record, age_s)


def _to_item(
    change: Change,
    held: Mapping[str, int],
    mirror: Mirror | None,
) -> RangeItem:
    age_ms = as_milliseconds(change.age_s)
    record = change.record
    if record is None:
        return RangeItem(key=change.key, gone=True, age_ms=age_ms)
    told = RangeItem(
        key=change.key,
        revision=record.revision,
        payload=record.payload,
        age_ms=age_ms,
    )
    base = held.get(change.key, 0)
    old = mirror.payload(change.key, base) if mirror and base else None
    if old is not None and len(record.payload) >= LARGE_OCTETS:
        patch = difference(old, record.payload)
        told.base = base
        told.runs = list(patch.runs)
        told.payload = patch.added
        told.check = patch.check
    return told


def _record(told: RangeItem, mirror: Mirror | None) -> Record:
    if not told.base:
        return Record(told.payload, told.revision)
    old = mirror.payload(told.key, told.base) if mirror else None
    if old is None:
        raise CodecError('patch-base-missing', f'{told.key} {told.base}')
    patch = Patch(told.runs, told.payload, told.check)
    return Record(patched(old, patch, _MOST_UNPACKED), told.revision)


def as_milliseconds(seconds: float) -> int:
    """Give an age as it is sent, no younger than it is."""
    if not math.isfinite(seconds):
        return _NEVER
    return math.ceil(seconds * _MILLISECONDS)


def as_seconds(milliseconds: int) -> float:
    """Give an age as it was sent; infinity for never."""
    return math.inf if milliseconds < 0 else milliseconds / _MILLISECONDS
