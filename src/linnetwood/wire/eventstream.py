"""Split a stream of server-sent events into complete events."""

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


class EventSplitter:
    """Buffer a partial event until the rest of it arrives."""

    __slots__ = ('_pending', 'count', 'last_id')

    def __init__(self) -> None:
        """Start before the first event."""
        self._pending = b''
        self.last_id = ''
        self.count = 0

    def feed(self, piece: bytes) -> bytes:
        """Add bytes; return the events that are complete with them."""
        pending = self._pending + piece if self._pending else piece
        end = pending.rfind(_EVENT_END)
        if end < 0:
            self._pending = pending
            return b''
        end += len(_EVENT_END)
        whole = pending[:end]
        self._pending = pending[end:]
        self._count_events(whole)
        return whole

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete last event."""
        return len(self._pending)

    @property
    def has_partial(self) -> bool:
        """Return whether the last event is incomplete."""
        return bool(self._pending)

    def _count_events(self, whole: bytes) -> None:
        self.count += whole.count(_EVENT_END)
        for line in whole.split(b'\n'):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
