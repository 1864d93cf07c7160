"""Bound what one answer takes of the loop and of the link, beside its size."""

import fcntl
import struct
import termios

# Bytes that frame an answer, such as the extensions of chunks, reach no
# receiver. Of those that are counted, they may be as many as the bytes of the
# answer and this allowance.
_FRAMING_ALLOWANCE = 65536
# One in so many reads that bring a piece counts, since sound answers may come
# in tiny chunks.
_READS_PER_COUNT = 2
# libcurl reads at least this much of what a connection has, in bytes.
_READ_BYTES = 16384
# A head, or the line of a chunk's length, is shorter than this.
_LARGE_READ_BYTES = 4096
# What a receiver gets in one turn of the loop.
_TURN_BYTES = 131072
_TURN_PIECES = 64
_COUNT = struct.Struct('i')


class AnswerBounds:
    """Count what was read of one answer, and what its receiver got of it."""

    __slots__ = (
        '_framing_bytes',
        '_reads',
        '_received_bytes',
        '_turn_bytes',
        '_turn_pieces',
        '_unread_bytes',
    )

    def __init__(self) -> None:
        """Start with nothing read."""
        self._reads = 0
        # What had arrived before the last read.
        self._unread_bytes = 0
        self._received_bytes = 0
        self._framing_bytes = 0
        self._turn_bytes = 0
        self._turn_pieces = 0

    def add_line(self, size: int) -> None:
        """Count a line of the head."""
        self._received_bytes += size

    def add_piece(self, size: int) -> bool:
        """Count a piece of the body, unless other requests are to go first."""
        if self._turn_bytes >= _TURN_BYTES or self._turn_pieces >= _TURN_PIECES:
            return False
        self._received_bytes += size
        self._turn_bytes += size
        self._turn_pieces += 1
        return True

    def begin_turn(self) -> None:
        """Allow the pieces of one more turn."""
        self._turn_bytes = 0
        self._turn_pieces = 0

    def may_read(self, descriptor: int) -> bool:
        """Return whether to read on in a new turn.

        Framing is all that arrives if not.
        """
        self._reads += 1
        if self.is_unheard or not self._reads % _READS_PER_COUNT:
            self._count_framing()
        self.begin_turn()
        self._received_bytes = 0
        self._unread_bytes = _readable_bytes(descriptor)
        return self._framing_bytes <= _FRAMING_ALLOWANCE

    @property
    def is_unheard(self) -> bool:
        """Return whether a large read brought no piece of the body."""
        return self._unread_bytes >= _LARGE_READ_BYTES and not self._turn_pieces

    def _count_framing(self) -> None:
        read_bytes = min(self._unread_bytes, _READ_BYTES)
        framing = read_bytes - 2 * self._received_bytes
        self._framing_bytes = max(0, self._framing_bytes + framing)


def _readable_bytes(descriptor: int) -> int:
    """Return how many bytes of a connection have arrived and are unread."""
    try:
        octets = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(_COUNT.size))
    except OSError:
        return 0
    return int(_COUNT.unpack(octets)[0])
