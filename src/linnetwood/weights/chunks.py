"""Weights as chunks that are verified by a manifest of digests."""

import dataclasses
import hashlib
import struct
from collections.abc import Iterator

from linnetwood.core.errors import WeightsError

_HEAD = struct.Struct('>4sQI32s')
_MAGIC = b'LWM1'
_DIGEST_BYTES = 32
MANIFEST_INDEX = -1
# A bitmap of this many chunks still fits into a datagram.
MAX_CHUNKS = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """The sizes and SHA-256 digests of one version's weights."""

    size: int
    chunk_bytes: int
    whole_digest: bytes
    digests: tuple[bytes, ...]

    def encode(self) -> bytes:
        """Give the bytes whose digest names the manifest."""
        head = _HEAD.pack(
            _MAGIC, self.size, self.chunk_bytes, self.whole_digest
        )
        return head + b''.join(self.digests)


def digest_name(encoded: bytes) -> str:
    """Name bytes by their SHA-256 digest."""
    return hashlib.sha256(encoded).hexdigest()


def build(weights: bytes, chunk_bytes: int) -> Manifest:
    """Build the manifest of complete weights."""
    digests = tuple(
        hashlib.sha256(chunk).digest() for chunk in split(weights, chunk_bytes)
    )
    whole = hashlib.sha256(weights).digest()
    return Manifest(len(weights), chunk_bytes, whole, digests)


def split(weights: bytes, chunk_bytes: int) -> Iterator[bytes]:
    """Yield the chunks of complete weights."""
    for start in range(0, len(weights), chunk_bytes):
        yield weights[start : start + chunk_bytes]


def read_manifest(encoded: bytes, name: str) -> Manifest:
    """Verify a manifest against its name and parse it."""
    if digest_name(encoded) != name:
        raise WeightsError('manifest-digest-differs', name)
    return parse_manifest(encoded)


def parse_manifest(encoded: bytes) -> Manifest:
    """Parse a manifest that is not named by its digest."""
    try:
        magic, size, chunk_bytes, whole = _HEAD.unpack_from(encoded)
    except struct.error as exc:
        raise WeightsError('manifest-malformed', 'head') from exc
    rest = encoded[_HEAD.size :]
    digests = tuple(split(rest, _DIGEST_BYTES))
    if magic != _MAGIC or not _sizes_match(size, chunk_bytes, len(digests)):
        raise WeightsError('manifest-malformed', 'sizes')
    return Manifest(size, chunk_bytes, whole, digests)


def _sizes_match(size: int, chunk_bytes: int, count: int) -> bool:
    if chunk_bytes <= 0 or count > MAX_CHUNKS:
        return False
    return count == -(-size // chunk_bytes)


class ChunkStore:
    """Keep verified chunks in memory by digest, shared among versions."""

    def __init__(self) -> None:
        """Start empty."""
        self._chunks: dict[bytes, bytes] = {}

    @property
    def size(self) -> int:
        """Give the size of all held chunks in bytes."""
        return sum(len(chunk) for chunk in self._chunks.values())

    def keep(self, manifest: Manifest, index: int, chunk: bytes) -> bool:
        """Keep a chunk if its digest matches; tell whether it does."""
        digest = hashlib.sha256(chunk).digest()
        if digest != manifest.digests[index]:
            return False
        self._chunks[digest] = chunk
        return True

    def chunk(self, manifest: Manifest, index: int) -> bytes | None:
        """Give a chunk, or None if it is not held."""
        return self._chunks.get(manifest.digests[index])

    def held(self, manifest: Manifest) -> int:
        """Give the bitmap of held chunks, bit i for chunk i."""
        return sum(
            1 << index
            for index, digest in enumerate(manifest.digests)
            if digest in self._chunks
        )

    def verify(self, manifest: Manifest) -> bool:
        """Tell whether all chunks are held and match the whole digest."""
        hasher = hashlib.sha256()
        for digest in manifest.digests:
            chunk = self._chunks.get(digest)
            if chunk is None:
                return False
            hasher.update(chunk)
        return hasher.digest() == manifest.whole_digest

    def retain_only(self, kept: list[Manifest]) -> None:
        """Drop chunks that none of the manifests lists."""
        listed = {digest for manifest in kept for digest in manifest.digests}
        self._chunks = {
            digest: chunk
            for digest, chunk in self._chunks.items()
            if digest in listed
        }


def full_bitmap(count: int) -> int:
    """Give the bitmap of this many chunks with every bit set."""
    return (1 << count) - 1


def pack_bitmap(bitmap: int, count: int) -> bytes:
    """Pack a bitmap for the wire, little-endian."""
    return bitmap.to_bytes((count + 7) // 8, 'little')


def unpack_bitmap(packed: bytes, count: int) -> int:
    """Unpack a bitmap, ignoring bits after the last chunk."""
    return int.from_bytes(packed, 'little') & full_bitmap(count)


def indices(bitmap: int) -> Iterator[int]:
    """Yield the indices of the set bits, lowest first."""
    while bitmap:
        low = bitmap & -bitmap
        yield low.bit_length() - 1
        bitmap ^= low
