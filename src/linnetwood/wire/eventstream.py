"""Cut a stream of server-sent events into whole events."""

_END = b'\n\n'
_ID = b'id:'


class EventCutter:
    """Hold back half an event until the rest of it has come."""

    __slots__ = ('_pending', 'count', 'last_id')

    def __init__(self) -> None:
        """Begin before the first event."""
        self._pending = b''
        self.last_id = ''
        self.count = 0

    def feed(self, piece: bytes) -> bytes:
        """Take bytes; give the whole events that they complete."""
        pending = self._pending + piece if self._pending else piece
        end = pending.rfind(_END)
        if end < 0:
            self._pending = pending
            return b''
        end += len(_END)
        whole = pending[:end]
        self._pending = pending[end:]
        self._note(whole)
        return whole

    @property
    def half(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._pending)

    def drop_half(self) -> None:
        """Forget half an event: another endpoint sends the whole of it."""
        self._pending = b''

    def _note(self, whole: bytes) -> None:
        self.count += whole.count(_END)
        for line in whole.split(b'\n'):
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode('latin-1')
