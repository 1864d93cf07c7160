"""What answers of an engine said last of it; no I/O or clock.

Entries tell the process beside the engine, which tells all that hear it: else
each would find out alone, by calls that the engine can't bear, and hear of the
end only when its own turn comes.
"""

from linnetwood.gen.wire.ttypes import EngineSaid

_MILLISECONDS = 1000


class LastSaid:
    """Hold the newest word of whichever life stands beside this process."""

    __slots__ = ('_at', '_said')

    def __init__(self) -> None:
        """Know of no answer."""
        self._said: EngineSaid | None = None
        self._at = float()

    def heard(self, said: EngineSaid, now: float) -> None:
        """Take in an entry's word; a life that leaves does so for good."""
        known = self._said
        if known is not None and known.life == said.life:
            said.leaving = said.leaving or known.leaving
        self._said = said
        self._at = now

    def told(self, now: float) -> EngineSaid | None:
        """Give what goes into a report."""
        if self._said is not None:
            self._said.age_ms = int((now - self._at) * _MILLISECONDS)
        return self._said
