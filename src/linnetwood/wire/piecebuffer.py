"""Collect the pieces of a body, however small they are."""

from linnetwood.core.sizes import KIB

# A list of pieces of a few bytes would take many times their size.
_MERGED_BYTES = KIB


class PieceBuffer:
    """Append pieces without a copy of what is there, except small ones."""

    __slots__ = ('_pieces', 'size')

    def __init__(self) -> None:
        """Start without pieces."""
        self._pieces: list[bytes] = []
        self.size = 0

    def add(self, piece: bytes) -> None:
        """Append a piece."""
        if not piece:
            return
        self.size += len(piece)
        if self._pieces:
            last = self._pieces[-1]
            if len(last) + len(piece) <= _MERGED_BYTES:
                self._pieces[-1] = last + piece
                return
        self._pieces.append(piece)

    def take(self) -> bytes:
        """Return all bytes, and start again without any."""
        joined = b''.join(self._pieces)
        self._pieces.clear()
        self.size = 0
        return joined

    def ends_with(self, byte: bytes) -> bool:
        """Return whether the last byte is this one."""
        return bool(self._pieces) and self._pieces[-1].endswith(byte)
