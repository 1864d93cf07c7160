"""Differences between two versions of a payload; no I/O or clock.

A configuration of 1,900 routes is 500 KB, and a change of one route of it a few
hundred bytes. Payloads are cut where a row of JSON begins, and the pieces that
the older one has are copied from there.
"""

import dataclasses
import zlib
from collections.abc import Iterator, Sequence

from linnetwood.core.errors import CodecError

_ROW = b'{'
# A run tells from where and how many bytes are copied, and how many of the new
# ones follow.
_RUN = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """What makes a newer payload of an older one: runs, and the new bytes.

    The check is the CRC-32 of the newer one.
    """

    runs: Sequence[int]
    added: bytes
    check: int


def difference(old: bytes, new: bytes) -> Patch:
    """Give what makes the newer payload of the older one."""
    places = {piece: at for at, piece in _pieces(old)}
    runs: list[list[int]] = [[0, 0, 0]]
    added = []
    for _, piece in _pieces(new):
        at = places.get(piece)
        start, copied, fresh = runs[-1]
        if at is None:
            added.append(piece)
            runs[-1][2] += len(piece)
        elif fresh or at != start + copied:
            runs.append([at, len(piece), 0])
        else:
            runs[-1][1] += len(piece)
    flat = [number for run in runs for number in run]
    return Patch(flat, b''.join(added), zlib.crc32(new))


def patched(old: bytes, patch: Patch, most: int) -> bytes:
    """Make the newer payload, of so many bytes at most; raise CodecError."""
    if len(patch.runs) % _RUN or min(patch.runs, default=0) < 0:
        raise CodecError('bad-message', 'runs of a patch')
    if sum(patch.runs[1::_RUN]) + len(patch.added) > most:
        raise CodecError('bad-message', f'a patch makes over {most} bytes')
    new = b''.join(_parts(old, patch))
    if zlib.crc32(new) != patch.check:
        raise CodecError('bad-message', 'a patch is of another payload')
    return new


def _parts(old: bytes, patch: Patch) -> Iterator[bytes]:
    done = 0
    starts = patch.runs[::_RUN]
    sizes = patch.runs[1::_RUN]
    for start, size, fresh in zip(starts, sizes, patch.runs[2::_RUN]):
        yield old[start : start + size]
        yield patch.added[done : done + fresh]
        done += fresh


def _pieces(payload: bytes) -> Iterator[tuple[int, bytes]]:
    """Give each row with its place; the rows make up the whole payload."""
    first, *rows = payload.split(_ROW)
    at = 0
    for piece in (first, *(_ROW + row for row in rows)):
        yield at, piece
        at += len(piece)
