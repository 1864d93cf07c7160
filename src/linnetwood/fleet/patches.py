"""Differences between two versions of a payload; no I/O or clock.

A configuration of 1,900 routes is 500 KB, and a change of one route is a few
hundred bytes. Payloads are split where a row of JSON begins; rows that the
older payload also has are copied from it.
"""

import dataclasses
import zlib
from collections.abc import Iterator, Sequence

from linnetwood.core.errors import CodecError

_ROW_START = b'{'
# A run has three numbers: the offset and the count of bytes to copy from the
# older payload, and the count of added bytes that follow.
_RUN_FIELDS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """Runs and added bytes that turn an older payload into a newer one.

    crc32 is the CRC-32 of the newer payload.
    """

    runs: Sequence[int]
    added: bytes
    crc32: int


def make_patch(old: bytes, new: bytes) -> Patch:
    """Return the patch from an older payload to a newer one."""
    offsets = {row: offset for offset, row in _rows(old)}
    runs: list[list[int]] = [[0, 0, 0]]
    added = []
    for _, row in _rows(new):
        offset = offsets.get(row)
        start, copied, added_size = runs[-1]
        if offset is None:
            added.append(row)
            runs[-1][2] += len(row)
        elif added_size or offset != start + copied:
            runs.append([offset, len(row), 0])
        else:
            runs[-1][1] += len(row)
    flat = [number for run in runs for number in run]
    return Patch(flat, b''.join(added), zlib.crc32(new))


def apply_patch(old: bytes, patch: Patch, max_bytes: int) -> bytes:
    """Return the newer payload; raise CodecError if it is invalid.

    A payload of over max_bytes bytes is invalid, too.
    """
    if len(patch.runs) % _RUN_FIELDS or min(patch.runs, default=0) < 0:
        raise CodecError('bad-message', 'malformed runs in a patch')
    if sum(patch.runs[1::_RUN_FIELDS]) + len(patch.added) > max_bytes:
        raise CodecError('bad-message', f'patched payload > {max_bytes} bytes')
    new = b''.join(_parts(old, patch))
    if zlib.crc32(new) != patch.crc32:
        raise CodecError('bad-message', 'patched payload has a wrong CRC-32')
    return new


def _parts(old: bytes, patch: Patch) -> Iterator[bytes]:
    used = 0
    starts = patch.runs[::_RUN_FIELDS]
    sizes = patch.runs[1::_RUN_FIELDS]
    for start, size, added_size in zip(
        starts, sizes, patch.runs[2::_RUN_FIELDS]
    ):
        yield old[start : start + size]
        yield patch.added[used : used + added_size]
        used += added_size


def _rows(payload: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield each row with its offset; joined, they are the whole payload."""
    first, *rows = payload.split(_ROW_START)
    offset = 0
    for row_bytes in (first, *(_ROW_START + row for row in rows)):
        yield offset, row_bytes
        offset += len(row_bytes)
