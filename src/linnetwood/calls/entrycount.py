"""How many entries there are, from what endpoint processes hear; no I/O.

Entries share a budget of second attempts without talk, so each has to know how
many there are. Each process beside an engine adds up what the entries that
greet it stand for. Over the engines of one zone the sum is exact, as every
entry hears a fixed number of them; elsewhere it is right in the mean. So what
the own zone's say is averaged, and the others' only where there are none.
"""

# How many entries share what all may do, until an endpoint process has told:
# rather too many, since after a fault that took all of them, all guess at once.
UNKNOWN_ENTRIES = 100
# A process that said nothing for so long is gone, or is heard no more.
_GONE_S = 4.0


class _Told:
    """What one process counted."""

    __slots__ = ('at', 'entries', 'near')

    def __init__(self, entries: int, at: float, *, near: bool) -> None:
        self.entries = entries
        self.at = at
        self.near = near


class EntryCount:
    """Average what endpoint processes told lately."""

    __slots__ = ('_told', 'entries')

    def __init__(self) -> None:
        """Guess, until somebody has told."""
        self.entries = UNKNOWN_ENTRIES
        self._told: dict[str, _Told] = {}

    def told(self, host: str, entries: int, now: float, *, near: bool) -> None:
        """Take in a count; 0 says that it is not known yet."""
        if entries:
            self._told[host] = _Told(entries, now, near=near)

    def settle(self, now: float) -> bool:
        """Work out the count anew; tell whether it has changed."""
        self._told = {
            host: one
            for host, one in self._told.items()
            if now - one.at < _GONE_S
        }
        near = [one.entries for one in self._told.values() if one.near]
        counts = near or [one.entries for one in self._told.values()]
        if not counts:
            return False
        known = self.entries
        self.entries = max(1, round(sum(counts) / len(counts)))
        return self.entries != known
