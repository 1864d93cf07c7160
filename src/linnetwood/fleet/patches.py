"""Differences between two versions of a payload; no I/O or clock.

A configuration of 1,900 routes is 500 KB, and a change of one route of it a few
hundred bytes. Payloads are cut where a row of JSON begins, and the pieces that
the older one has are copied from there.
"""

import dataclasses
import zlib
from collections.abc import Iterator, Sequence

from linnetwood.core.errors import CodecError

_ROW_START = b'{'
# A run tells from where and how many bytes are copied, and how many of the new
# ones follow.
_RUN_FIELDS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """What makes a newer payload of an older one: runs, and the new bytes.

    The check is the CRC-32 of the newer one.
    """

    runs: Sequence[int]
    added: bytes
    crc32: int


def make_patch(old: bytes, new: bytes) -> Patch:
    """Give what makes the newer payload of the older one."""
    offsets = {row: offset for offset, row in _rows(old)}
    runs: list[list[int]] = [[0, 0, 0]]
    added = []
    for _, row in _rows(new):
        offset = offsets.get(row)
        start, copied, added_bytes = runs[-1]
        if offset is None:
            added.append(row)
            runs[-1][2] += len(row)
        elif added_bytes or offset != start + copied:
            runs.append([offset, len(row), 0])
        else:
            runs[-1][1] += len(row)
    flat = [number for run in runs for number in run]
    return Patch(flat, b''.join(added), zlib.crc32(new))


def apply_patch(old: bytes, patch: Patch, max_bytes: int) -> bytes:
    """Make the newer payload, of so many bytes at most; raise CodecError."""
    if len(patch.runs) % _RUN_FIELDS or min(patch.runs, default=0) < 0:
        raise CodecError('bad-message', 'runs of a patch')
    if sum(patch.runs[1::_RUN_FIELDS]) + len(patch.added) > max_bytes:
        raise CodecError('bad-message', f'a patch makes over {max_bytes} bytes')
    new = b''.join(_parts(old, patch))
    if zlib.crc32(new) != patch.crc32:
        raise CodecError('bad-message', 'a patch is of another payload')
    return new


def _parts(old: bytes, patch: Patch) -> Iterator[bytes]:
    used = 0
    starts = patch.runs[::_RUN_FIELDS]
    sizes = patch.runs[1::_RUN_FIELDS]
    for start, size, added_bytes in zip(
        starts, sizes, patch.runs[2::_RUN_FIELDS]
    ):
        yield old[start : start + size]
        yield patch.added[used : used + added_bytes]
        used += added_bytes


def _rows(payload: bytes) -> Iterator[tuple[int, bytes]]:
    """Give each row with its place; the rows make up the whole payload."""
    first, *rows = payload.split(_ROW_START)
    offset = 0
    for row_bytes in (first, *(_ROW_START + row for row in rows)):
        yield offset, row_bytes
        offset += len(row_bytes)
