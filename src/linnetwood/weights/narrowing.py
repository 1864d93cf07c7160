"""Notice that this VM's link brings less than it should; no I/O or clock."""

import collections

# The fastest of so many chunks tells of the link; slow senders show in others.
_CHUNKS = 6
# How much slower than stated a link has to be to count as narrowed.
_NARROWED = 2.0


class LinkSense:
    """Hold how fast chunks came in, for each of those that shared the link."""

    __slots__ = ('_chunk_s', '_took_s')

    def __init__(self, chunk_s: float) -> None:
        """State how long a chunk alone takes on the link; 0 if unknown."""
        self._chunk_s = chunk_s
        self._took_s: collections.deque[float] = collections.deque(
            maxlen=_CHUNKS,
        )

    def came(self, took_s: float, flows: int) -> None:
        """Note a chunk: the time from its first byte to its last."""
        self._took_s.append(took_s / max(1, flows))

    @property
    def narrowed(self) -> bool:
        """Tell whether even the fastest of the last chunks was slow."""
        if not self._chunk_s or len(self._took_s) < _CHUNKS:
            return False
        return min(self._took_s) > self._chunk_s * _NARROWED
