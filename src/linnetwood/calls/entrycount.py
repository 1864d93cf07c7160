"""How many entries there are, from what endpoint processes hear; no I/O.

Entries share a budget of second attempts without talk, so each has to know how
many there are. Each process beside an engine adds up what the entries that
greet it stand for. Over the engines of one zone the sum is exact, as every
entry hears a fixed number of them; elsewhere it is right in the mean. So what
the own zone's say is averaged, and the others' only where there are none.
"""

# How many entries share what all may do, until an endpoint process has told:
# rather too many, since after a fault that took all of them, all guess at once.
ASSUMED_ENTRIES = 100
# A process that said nothing for so long is gone, or is heard no more.
_EXPIRES_S = 4.0


class _ProcessCount:
    """What one process counted."""

    __slots__ = ('received_at', 'entries', 'same_zone')

    def __init__(self, entries: int, at: float, *, same_zone: bool) -> None:
        self.entries = entries
        self.received_at = at
        self.same_zone = same_zone


class EntryCount:
    """Average what endpoint processes told lately."""

    __slots__ = ('_counts', 'entries')

    def __init__(self) -> None:
        """Guess, until somebody has told."""
        self.entries = ASSUMED_ENTRIES
        self._counts: dict[str, _ProcessCount] = {}

    def record(
        self, host: str, entries: int, now: float, *, same_zone: bool
    ) -> None:
        """Take in a count; 0 says that it is not known yet."""
        if entries:
            self._counts[host] = _ProcessCount(
                entries, now, same_zone=same_zone
            )

    def update(self, now: float) -> bool:
        """Work out the count anew; tell whether it has changed."""
        self._counts = {
            host: count
            for host, count in self._counts.items()
            if now - count.received_at < _EXPIRES_S
        }
        same_zone = [
            count.entries for count in self._counts.values() if count.same_zone
        ]
        counts = same_zone or [count.entries for count in self._counts.values()]
        if not counts:
            return False
        known = self.entries
        self.entries = max(1, round(sum(counts) / len(counts)))
        return self.entries != known
