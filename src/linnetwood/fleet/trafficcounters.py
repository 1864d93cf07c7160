"""Count datagrams and their bytes by direction and kind; no I/O or clock."""

import dataclasses
from collections.abc import Iterator

from linnetwood.gen.wire.ttypes import News

# Headers of IP and UDP, which links carry, too.
HEADER_BYTES = 28
_KINDS: tuple[str, ...] = getattr(News, '__slots__')  # noqa: B009
_UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class TrafficCount:
    """Number of datagrams of one kind, and their bytes with headers."""

    datagrams: int = 0
    byte_count: int = 0


class TrafficCounters:
    """Sums of both directions since they were last taken."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Start at zero."""
        self._counts: dict[tuple[str, str], TrafficCount] = {}

    def count_sent(self, news: News, size: int, count: int) -> None:
        """Count a message of a size in bytes, sent to `count` processes."""
        self._count('sent', _kind(news), size, count)

    def count_received(self, news: News | None, size: int) -> None:
        """Count a received message; None is one that could not be decoded."""
        self._count('received', _kind(news), size, 1)

    def take_counts(self) -> Iterator[tuple[str, str, TrafficCount]]:
        """Yield direction, kind and sums, and start again at zero."""
        counts = self._counts
        self._counts = {}
        for (direction, kind), traffic in counts.items():
            yield direction, kind, traffic

    def _count(self, direction: str, kind: str, size: int, count: int) -> None:
        traffic = self._counts.setdefault((direction, kind), TrafficCount())
        traffic.datagrams += count
        traffic.byte_count += count * (size + HEADER_BYTES)


def _kind(news: News | None) -> str:
    for kind in _KINDS:
        if news is not None and getattr(news, kind) is not None:
            return kind
    return _UNKNOWN
