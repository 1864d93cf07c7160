"""Count the entries by what endpoint processes report; no I/O.

Entries share a budget of second attempts without messages to each other, so
each has to know how many there are. Each endpoint process beside an engine adds
up what its subscribed entries stand for. Averaged over the engines of the own
zone the sum is exact, as every entry subscribes to a fixed number of them; for
other zones it is correct on average. So the counts of the own zone are used,
and those of other zones only if the own zone has none.
"""

# Assumed number of entries until an endpoint process reports one. It is rather
# too high, since after a fault of all endpoint processes all entries assume it.
ASSUMED_ENTRIES = 100
# An endpoint process without a report for this long is gone or unsubscribed.
_EXPIRES_S = 4.0


class _ProcessCount:
    """The count of one endpoint process."""

    __slots__ = ('received_at', 'entries', 'same_zone')

    def __init__(self, entries: int, at: float, *, same_zone: bool) -> None:
        self.entries = entries
        self.received_at = at
        self.same_zone = same_zone


class EntryCount:
    """Average the recent counts of endpoint processes."""

    __slots__ = ('_counts', 'entries')

    def __init__(self) -> None:
        """Assume a number until a count is reported."""
        self.entries = ASSUMED_ENTRIES
        self._counts: dict[str, _ProcessCount] = {}

    def record(
        self, host: str, entries: int, now: float, *, same_zone: bool
    ) -> None:
        """Store a count; 0 means that it is not known yet."""
        if entries:
            self._counts[host] = _ProcessCount(
                entries, now, same_zone=same_zone
            )

    def update(self, now: float) -> bool:
        """Recompute the number of entries; return whether it has changed."""
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
