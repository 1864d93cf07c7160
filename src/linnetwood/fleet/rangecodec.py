"""Encoding of range changes and their ages between entries."""

import math
import zlib
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

from linnetwood.core.errors import CodecError
from linnetwood.fleet.mirror import LARGE_BYTES, Mirror
from linnetwood.fleet.patches import Patch, apply_patch, make_patch
from linnetwood.fleet.ranges import Change, Record
from linnetwood.fleet.revisions import join, number_of
from linnetwood.gen.wire.ttypes import RangeItem, RangeItems
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import MAX_FRAME

_MILLISECONDS = 1000
_NEVER = -1
# Text shrinks nearly as well at the fastest level, and processors are slow.
_FASTEST_LEVEL = 1
_MAX_UNPACKED_BYTES = 8 * MAX_FRAME
_NONE_HELD: Mapping[str, int] = MappingProxyType({})


def pack(
    changes: Iterable[Change],
    held: Mapping[str, int] = _NONE_HELD,
    mirror: Mirror | None = None,
) -> bytes:
    """Encode and compress changes; a configuration's text shrinks a lot.

    held gives the revisions that the receiver holds, by key. Large payloads are
    encoded as patches against these, as far as the mirror still has them. Of
    revisions the numbers alone are encoded: all belong to one era.
    """
    range_items = [_to_item(change, held, mirror) for change in changes]
    return zlib.compress(encode(RangeItems(range_items)), _FASTEST_LEVEL)


def unpack(
    packed: bytes,
    packed_age_ms: int,
    mirror: Mirror | None = None,
    era: int = 0,
) -> Iterator[Change]:
    """Yield the changes of a message; raise CodecError.

    packed_age_ms is the time since they were packed, in milliseconds. The
    mirror holds the payloads that patches apply to. All revisions are of one
    era of the store.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, _MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise CodecError('bad-message', f'RangeItems: {exc}') from exc
    if unpacker.unconsumed_tail:
        raise CodecError(
            'bad-message', f'RangeItems: over {_MAX_UNPACKED_BYTES}'
        )
    for range_item in decode(RangeItems, plain).items:
        record = (
            None if range_item.gone else _to_record(range_item, mirror, era)
        )
        age_s = as_seconds(range_item.age_ms) + packed_age_ms / _MILLISECONDS
        yield Change(range_item.key, record, age_s)


def _to_item(
    change: Change,
    held: Mapping[str, int],
    mirror: Mirror | None,
) -> RangeItem:
    age_ms = as_milliseconds(change.age_s)
    record = change.record
    if record is None:
        return RangeItem(key=change.key, gone=True, age_ms=age_ms)
    range_item = RangeItem(
        key=change.key,
        revision=number_of(record.revision),
        payload=record.payload,
        age_ms=age_ms,
    )
    base = held.get(change.key, 0)
    old = mirror.payload_at(change.key, base) if mirror and base else None
    if old is not None and len(record.payload) >= LARGE_BYTES:
        patch = make_patch(old, record.payload)
        range_item.base = number_of(base)
        range_item.runs = list(patch.runs)
        range_item.payload = patch.added
        range_item.check = patch.crc32
    return range_item


def _to_record(
    range_item: RangeItem, mirror: Mirror | None, era: int
) -> Record:
    revision = received_revision(era, range_item.revision)
    if not range_item.base:
        return Record(range_item.payload, revision)
    base = received_revision(era, range_item.base)
    old = mirror.payload_at(range_item.key, base) if mirror else None
    if old is None:
        raise CodecError(
            'patch-base-missing', f'{range_item.key} {range_item.base}'
        )
    patch = Patch(range_item.runs, range_item.payload, range_item.check)
    return Record(apply_patch(old, patch, _MAX_UNPACKED_BYTES), revision)


def received_revision(era: int, number: int) -> int:
    """Return a received revision; raise CodecError if it is none."""
    try:
        return join(era, number)
    except ValueError as exc:
        raise CodecError('bad-message', str(exc)) from exc


def as_milliseconds(seconds: float) -> int:
    """Return an age as it is sent, rounded up; -1 for never."""
    if not math.isfinite(seconds):
        return _NEVER
    return math.ceil(seconds * _MILLISECONDS)


def as_seconds(milliseconds: int) -> float:
    """Return a received age in seconds; infinity for never."""
    return math.inf if milliseconds < 0 else milliseconds / _MILLISECONDS
