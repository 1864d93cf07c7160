"""Bound what one answer takes of the loop and of the link, beside its size."""

import fcntl
import struct
import termios
from typing import Protocol

# Bytes of a head may arrive without a whole line. Of those that are counted,
# they may be as many as the bytes of whole lines and this allowance. What
# frames a body is counted where it is decoded.
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
# What may be read of an answer before its pace applies, in bytes.
_UNPACED_BYTES = 262144
_COUNT = struct.Struct('i')


class Pace(Protocol):
    """Limit the rate at which answers are read together."""

    @property
    def wait_s(self) -> float:
        """Return the seconds until more may be read."""

    def add(self, size: int) -> None:
        """Count bytes that were read."""


class AnswerBounds:
    """Count what was read of one answer, and what its receiver got of it."""

    __slots__ = (
        '_framing_bytes',
        '_has_refused',
        '_pace',
        '_reads',
        '_received_bytes',
        '_size',
        '_turn_bytes',
        '_turn_pieces',
        '_unread_bytes',
    )

    def __init__(self, pace: Pace | None = None) -> None:
        """Start with nothing read; a pace applies to long answers."""
        self._pace = pace
        # Of the body, while it has a pace.
        self._size = 0
        self._reads = 0
        # What had arrived before the last read.
        self._unread_bytes = 0
        self._received_bytes = 0
        self._framing_bytes = 0
        self._turn_bytes = 0
        self._turn_pieces = 0
        # Whether a piece of this turn has to wait for a later one.
        self._has_refused = False

    def add_line(self, size: int) -> None:
        """Count a line of the head."""
        self._received_bytes += size

    def add_piece(self, size: int) -> bool:
        """Count a piece of the body, unless other requests are to go first."""
        if self._is_turn_over or not self._keeps_pace(size):
            self.refuse_piece()
            return False
        self._received_bytes += size
        self._turn_bytes += size
        self._turn_pieces += 1
        return True

    def add_chunks(self, count: int) -> None:
        """Count the chunks of a piece, each of which takes time to decode."""
        self._turn_pieces += max(0, count - 1)

    @property
    def wait_s(self) -> float:
        """Return the seconds until the next turn; 0 for the loop's next one."""
        if self._pace is None or self._size < _UNPACED_BYTES:
            return 0
        return self._pace.wait_s

    def refuse_piece(self) -> None:
        """Note a piece that arrived and has to wait: it is no framing."""
        self._has_refused = True

    def begin_turn(self) -> None:
        """Allow the pieces of one more turn."""
        self._has_refused = False
        self._turn_bytes = 0
        self._turn_pieces = 0

    def may_read(self, descriptor: int) -> bool:
        """Return whether to read on in a new turn.

        Framing is all that arrives if not.
        """
        self._reads += 1
        is_due = self.is_contentless or not self._reads % _READS_PER_COUNT
        if is_due and not self._has_refused:
            self._count_framing()
        # What this read brings is counted before the next one, if that is due.
        is_next_due = not (self._reads + 1) % _READS_PER_COUNT
        measures = is_next_due or not self._turn_pieces
        self.begin_turn()
        self._received_bytes = 0
        self._unread_bytes = _readable_bytes(descriptor) if measures else 0
        return self._framing_bytes <= _FRAMING_ALLOWANCE

    def begin_body_read(self) -> None:
        """Allow a turn; what frames a body is counted where it is decoded."""
        self._unread_bytes = 0
        self._received_bytes = 0
        self.begin_turn()

    @property
    def is_contentless(self) -> bool:
        """Return whether a large read brought no piece of the body."""
        is_large = self._unread_bytes >= _LARGE_READ_BYTES
        return is_large and not (self._turn_pieces or self._has_refused)

    @property
    def _is_turn_over(self) -> bool:
        if self._turn_bytes >= _TURN_BYTES:
            return True
        return self._turn_pieces >= _TURN_PIECES

    def _keeps_pace(self, size: int) -> bool:
        if self._pace is None:
            return True
        if self.wait_s:
            return False
        if self._size >= _UNPACED_BYTES:
            self._pace.add(size)
        self._size += size
        return True

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
