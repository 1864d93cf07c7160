"""Decode the body of an answer that is sent in chunks."""

import enum
from collections.abc import Iterator

from linnetwood.wire.answergrammar import (
    read_chunk_size,
    read_field,
    whole_chunk,
)

_LINE_END = b'\r\n'
# Of one line ahead of a chunk, or of a trailer.
_MAX_LINE_BYTES = 4096
_MAX_TRAILERS = 100
# What frames the chunks may be so many times as large as their content, beside
# the allowance: five bytes frame a chunk of one.
_MAX_FRAMING_RATIO = 4
_FRAMING_ALLOWANCE = 65536


class _Part(enum.Enum):
    """What the next bytes of a body are."""

    SIZE = enum.auto()
    CHUNK = enum.auto()
    CHUNK_END = enum.auto()
    TRAILER = enum.auto()
    NOTHING = enum.auto()


class ChunkedBody:
    """Read chunks strictly; keep no content."""

    __slots__ = (
        '_content_bytes',
        '_framing_bytes',
        '_left',
        '_line',
        '_part',
        '_trailers',
        'chunks',
        'has_excess_framing',
        'is_malformed',
    )

    def __init__(self) -> None:
        """Start before the first chunk."""
        self.chunks = 0
        self.is_malformed = False
        # Whether far more frames the content than there is content.
        self.has_excess_framing = False
        self._part = _Part.SIZE
        # Of the chunk that is read.
        self._left = 0
        # A line that is not complete yet.
        self._line = b''
        self._trailers = 0
        self._content_bytes = 0
        self._framing_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the last chunk and the trailers were read."""
        return self._part is _Part.NOTHING

    def feed(self, octets: bytes) -> bytes:
        """Return the content in the next bytes, up to a malformed one.

        Bytes behind the end belong to no answer and are ignored.
        """
        if self._part is _Part.SIZE and not self._line and self._reads_on:
            # An event of a stream usually arrives as one chunk.
            piece = whole_chunk(octets)
            if piece:
                self.chunks += 1
                self._content_bytes += len(piece)
                self._count_framing(len(octets) - len(piece))
                return piece
        return b''.join(self._pieces(octets))

    def _pieces(self, octets: bytes) -> Iterator[bytes]:
        position = 0
        while position < len(octets) and self._reads_on:
            if self._part is _Part.CHUNK:
                piece = octets[position : position + self._left]
                position += len(piece)
                self._count_content(len(piece))
                yield piece
            else:
                position = self._feed_line(octets, position)

    @property
    def _reads_on(self) -> bool:
        is_refused = self.is_malformed or self.has_excess_framing
        return not (is_refused or self.is_complete)

    def _count_content(self, size: int) -> None:
        self._content_bytes += size
        self._left -= size
        if not self._left:
            self._part = _Part.CHUNK_END

    def _feed_line(self, octets: bytes, start: int) -> int:
        """Read up to the end of a line; return where the rest begins."""
        end = octets.find(b'\n', start) + 1 or len(octets)
        self._line += octets[start:end]
        self._count_framing(end - start)
        if len(self._line) > _MAX_LINE_BYTES:
            self.has_excess_framing = True
        elif self._line.endswith(b'\n'):
            line = self._line
            self._line = b''
            self._read_line(line)
        return end

    def _count_framing(self, size: int) -> None:
        self._framing_bytes += size
        limit = _MAX_FRAMING_RATIO * self._content_bytes + _FRAMING_ALLOWANCE
        if self._framing_bytes > limit:
            self.has_excess_framing = True

    def _read_line(self, line: bytes) -> None:
        if self._part is _Part.SIZE:
            self._begin_chunk(line)
        elif self._part is _Part.CHUNK_END:
            self.is_malformed = line != _LINE_END
            self._part = _Part.SIZE
        elif line == _LINE_END:
            self._part = _Part.NOTHING
        else:
            self._read_trailer(line)

    def _read_trailer(self, line: bytes) -> None:
        self._trailers += 1
        self.is_malformed = read_field(line) is None
        if self._trailers > _MAX_TRAILERS:
            self.has_excess_framing = True

    def _begin_chunk(self, line: bytes) -> None:
        size = read_chunk_size(line)
        if size is None:
            self.is_malformed = True
            return
        self.chunks += 1
        self._left = size
        self._part = _Part.CHUNK if size else _Part.TRAILER
