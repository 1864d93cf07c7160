"""Count what a process says to others, by kind; no I/O or clock."""

import dataclasses
from collections.abc import Iterator

from linnetwood.gen.wire.ttypes import News

# Headers of IP and UDP, which links carry too.
HEADER_BYTES = 28
_KINDS: tuple[str, ...] = getattr(News, '__slots__')  # noqa: B009
_UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class TrafficCount:
    """Datagrams of one kind, and their bytes with headers."""

    datagrams: int = 0
    byte_count: int = 0


class TrafficCounters:
    """Add up both directions since they were last taken."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Begin at nought."""
        self._counts: dict[tuple[str, str], TrafficCount] = {}

    def count_sent(self, news: News, size: int, count: int) -> None:
        """Count a message that went to so many processes."""
        self._count('sent', _kind(news), size, count)

    def count_received(self, news: News | None, size: int) -> None:
        """Count a message that came; None if it could not be read."""
        self._count('received', _kind(news), size, 1)

    def take_counts(self) -> Iterator[tuple[str, str, TrafficCount]]:
        """Yield direction, kind and sums, and begin anew."""
        flows = self._counts
        self._counts = {}
        for (direction, kind), flow in flows.items():
            yield direction, kind, flow

    def _count(self, direction: str, kind: str, size: int, count: int) -> None:
        flow = self._counts.setdefault((direction, kind), TrafficCount())
        flow.datagrams += count
        flow.byte_count += count * (size + HEADER_BYTES)


def _kind(news: News | None) -> str:
    for kind in _KINDS:
        if news is not None and getattr(news, kind) is not None:
            return kind
    return _UNKNOWN
