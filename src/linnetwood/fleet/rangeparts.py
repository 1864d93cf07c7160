"""Changes of a range and their ages, as neighbours send them."""

import math
import zlib
from collections.abc import Iterable, Iterator

from linnetwood.core.errors import CodecError
from linnetwood.fleet.ranges import Change, Record
from linnetwood.gen.wire.ttypes import RangeItem, RangeItems
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import MAX_FRAME

_MILLISECONDS = 1000
_NEVER = -1
# Text shrinks nearly as well at the quickest level, and processors are small.
_FAST = 1
_MOST_UNPACKED = 8 * MAX_FRAME


def pack(changes: Iterable[Change]) -> bytes:
    """Encode and compress changes; a configuration's text shrinks a lot."""
    rows = [_to_item(one) for one in changes]
    return zlib.compress(encode(RangeItems(rows)), _FAST)


def unpack(packed: bytes, packed_ms: int) -> Iterator[Change]:
    """Give changes that were packed so long ago; raise CodecError."""
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, _MOST_UNPACKED)
    except zlib.error as exc:
        raise CodecError('bad-message', f'RangeItems: {exc}') from exc
    if unpacker.unconsumed_tail:
        raise CodecError('bad-message', f'RangeItems: over {_MOST_UNPACKED}')
    for one in decode(RangeItems, plain).items:
        record = None if one.gone else Record(one.payload, one.revision)
        age_s = as_seconds(one.age_ms) + packed_ms / _MILLISECONDS
        yield Change(one.key, record, age_s)


def _to_item(change: Change) -> RangeItem:
    age_ms = as_milliseconds(change.age_s)
    record = change.record
    if record is None:
        return RangeItem(key=change.key, gone=True, age_ms=age_ms)
    return RangeItem(
        key=change.key,
        revision=record.revision,
        payload=record.payload,
        age_ms=age_ms,
    )


def as_milliseconds(seconds: float) -> int:
    """Give an age as it is sent."""
    return int(seconds * _MILLISECONDS) if math.isfinite(seconds) else _NEVER


def as_seconds(milliseconds: int) -> float:
    """Give an age as it was sent; infinity for never."""
    return math.inf if milliseconds < 0 else milliseconds / _MILLISECONDS
