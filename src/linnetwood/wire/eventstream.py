"""Split a stream of server-sent events into complete events."""

from linnetwood.wire.piecebuffer import PieceBuffer

_NEWLINE = b'\n'
_EVENT_END = _NEWLINE * 2
_ID_FIELD = b'id:'
_NEXT_ID_FIELD = _NEWLINE + _ID_FIELD


class EventSplitter:
    """Keep a partial event until the rest of it arrives."""

    __slots__ = ('_pending', 'count', 'last_id')

    def __init__(self) -> None:
        """Start before the first event."""
        self._pending = PieceBuffer()
        self.last_id = ''
        self.count = 0

    def feed(self, piece: bytes) -> bytes:
        """Add bytes; return the events that are complete with them."""
        end = self._last_end(piece)
        if not end:
            self._pending.add(piece)
            return b''
        whole = piece[:end]
        if self._pending.size:
            whole = self._pending.take() + whole
        if end < len(piece):
            self._pending.add(piece[end:])
        self._count_events(whole)
        return whole

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete last event."""
        return self._pending.size

    @property
    def has_partial(self) -> bool:
        """Return whether the last event is incomplete."""
        return bool(self._pending.size)

    def _last_end(self, piece: bytes) -> int:
        """Return the index behind the last event's end in a piece, or 0."""
        end = piece.rfind(_EVENT_END)
        if end >= 0:
            return end + len(_EVENT_END)
        # The two bytes of an end may arrive in two pieces.
        is_end = piece.startswith(_NEWLINE) and self._pending.ends_with(
            _NEWLINE
        )
        return int(is_end)

    def _count_events(self, whole: bytes) -> None:
        self.count += whole.count(_EVENT_END)
        start = whole.rfind(_NEXT_ID_FIELD) + 1
        if start or whole.startswith(_ID_FIELD):
            start += len(_ID_FIELD)
            line = whole[start : whole.find(_NEWLINE, start)]
            self.last_id = line.strip().decode('latin-1')
