"""Bound what one answer takes of the loop and of the link, beside its size."""

import fcntl
import struct
import termios
from typing import Protocol

# Bytes that frame an answer, such as the extensions of chunks, reach no
# receiver. Of those that are counted, they may be as many as the bytes of the
# answer and this allowance.
_FRAMING_ALLOWANCE = 65536
# One in so many reads is counted, as asking the system takes some time, and
# each one once framing has been seen.
_READS_PER_COUNT = 8
# libcurl reads at least this much of what a connection has, in bytes.
_READ_BYTES = 16384
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
        '_counted_bytes',
        '_framing_bytes',
        '_pace',
        '_reads',
        '_received_bytes',
        '_size',
        '_turn_bytes',
        '_turn_pieces',
    )

    def __init__(self, pace: Pace | None = None) -> None:
        """Start with nothing read; a pace applies to long answers."""
        self._pace = pace
        # Of the body, while it has a pace.
        self._size = 0
        self._reads = 0
        # What the last read took, if it is counted.
        self._counted_bytes = 0
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
        if self._pace is not None and not self._add_paced(self._pace, size):
            return False
        self._received_bytes += size
        self._turn_bytes += size
        self._turn_pieces += 1
        return True

    @property
    def wait_s(self) -> float:
        """Return the seconds until the next turn; 0 for the loop's next one."""
        if self._pace is None or self._size < _UNPACED_BYTES:
            return 0
        return self._pace.wait_s

    def begin_turn(self) -> None:
        """Allow the pieces of one more turn."""
        self._turn_bytes = 0
        self._turn_pieces = 0

    def may_read(self, descriptor: int) -> bool:
        """Return whether to read on in a new turn.

        Framing is all that arrives if not.
        """
        self.begin_turn()
        if self._counted_bytes:
            self._end_count()
        self._reads += 1
        if self._framing_bytes or not self._reads % _READS_PER_COUNT:
            self._begin_count(descriptor)
        return self._framing_bytes <= _FRAMING_ALLOWANCE

    def _add_paced(self, pace: Pace, size: int) -> bool:
        if self.wait_s:
            return False
        if self._size >= _UNPACED_BYTES:
            pace.add(size)
        self._size += size
        return True

    def _begin_count(self, descriptor: int) -> None:
        self._received_bytes = 0
        self._counted_bytes = min(_readable_bytes(descriptor), _READ_BYTES)

    def _end_count(self) -> None:
        framing = self._counted_bytes - 2 * self._received_bytes
        self._framing_bytes = max(0, self._framing_bytes + framing)
        self._counted_bytes = 0


def _readable_bytes(descriptor: int) -> int:
    """Return how many bytes of a connection have arrived and are unread."""
    octets = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(_COUNT.size))
    return int(_COUNT.unpack(octets)[0])
