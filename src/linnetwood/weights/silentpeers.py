"""Find the chunks that only silent neighbours hold; no I/O or clock inside.

Load pattern: a zone is cut off with the origin in it, 3 to 5 s after a version
was published. Neighbours outside hold the chunks that the zone is missing, or
were due to read them. Requests to one after the other cost 0.8 s each; the zone
is connected again before all of them have timed out.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

# Peers that send chunks report what they hold more often than this.
_MESSAGE_TIMEOUT_S = 0.5


class Holder(Protocol):
    """A neighbour with the bitmap of the chunks that it reported.

    It counts as heard once it has sent any message.
    """

    held: int
    heard: bool


class SilentPeers:
    """Hold the neighbours without a message since one became silent."""

    __slots__ = ('_silent', '_since', '_without_message')

    def __init__(self) -> None:
        """Start with no silent neighbour."""
        # Neighbours that left a fetch unanswered, and all that have sent no
        # message since then.
        self._silent: set[str] = set()
        self._without_message: set[str] = set()
        self._since = float()

    def record_timeout(
        self, vm: str, all_vms: Iterable[str], now: float
    ) -> None:
        """Record a silent neighbour; others are in doubt until a message."""
        if vm not in self._without_message:
            self._since = now
            self._without_message = set(all_vms)
        self._silent.add(vm)

    def record_message(self, vm: str) -> None:
        """Record a message of a neighbour, or that it is none any more."""
        self._without_message.discard(vm)
        self._silent.discard(vm)
        if not self._silent:
            self._without_message.clear()

    def unreachable_chunks(
        self,
        now: float,
        neighbours: Mapping[str, Holder],
        every: int,
        turns_over_at: float,
    ) -> Iterator[tuple[int, float]]:
        """Yield bitmaps of unreachable chunks, each with the time since when.

        First the chunks that only neighbours without a message hold, then those
        that none is known to hold, once all turns to read them are over.
        """
        since = self._since + _MESSAGE_TIMEOUT_S
        if not self._silent or now < since:
            return
        known = known_chunks(neighbours.values())
        reachable = known_chunks(
            neighbour
            for vm, neighbour in neighbours.items()
            if vm not in self._without_message
        )
        yield known & ~reachable, since
        yield every & ~known, max(since, turns_over_at)


class AbandonedChunks:
    """Find chunks whose readers may all have changed to another version."""

    __slots__ = ('_changed_at', '_unread', '_wait_s')

    def __init__(self, now: float, unread: int, wait_s: float) -> None:
        """Wait `wait_s` after all turns, and after a change of `unread`."""
        self._wait_s = wait_s
        self._changed_at = now
        self._unread = unread

    def find(
        self, now: float, unread: int, turns_over_at: float
    ) -> Iterator[tuple[int, float]]:
        """Yield the bitmap of unread chunks and when any VM may read them."""
        if unread != self._unread:
            self._unread = unread
            self._changed_at = now
        yield unread, max(turns_over_at, self._changed_at) + self._wait_s


def unreported_chunks(
    now: float,
    neighbours: Mapping[str, Holder],
    every: int,
    turns_over_at: float,
) -> Iterator[tuple[int, float]]:
    """Yield chunks without a holder if a neighbour never sent a message.

    Behind a cut that began before the transfer, neighbours are not known to
    hold chunks, so none is requested from them and none times out.
    """
    since = turns_over_at + _MESSAGE_TIMEOUT_S
    if now >= since and not all(one.heard for one in neighbours.values()):
        yield every & ~known_chunks(neighbours.values()), since


def known_chunks(holders: Iterable[Holder]) -> int:
    """Return the bitmap of chunks that any of the holders reported."""
    known = 0
    for holder in holders:
        known |= holder.held
    return known
