"""What answers of an engine said last of it; no I/O or clock.

Entries tell the process beside the engine, which tells all that hear it: else
each would find out alone, by calls that the engine can't bear, and hear of the
end only when its own turn comes.
"""

from linnetwood.gen.wire.ttypes import EngineNews, EngineSaid

_NO_LIMIT = -1
_MILLISECONDS = 1000


class LastSaid:
    """Hold the newest word on one life of an engine."""

    __slots__ = ('_at', '_born', '_leaving', '_milli')

    def __init__(self) -> None:
        """Know of no answer."""
        self._born = 0
        self._milli = _NO_LIMIT
        self._leaving = False
        self._at: float | None = None

    def heard(self, said: EngineSaid, now: float) -> None:
        """Take in an entry's word; one on an older life is none."""
        if said.born > self._born:
            self._leaving = False
        if said.born >= self._born:
            self._born = said.born
            self._leaving = self._leaving or said.leaving
            self._milli = max(_NO_LIMIT, said.limit_milli)
            self._at = now

    def tell(self, engine: EngineNews, now: float) -> None:
        """Put it into a report of the same life."""
        if self._at is not None and self._born == engine.born:
            engine.leaving = self._leaving
            engine.limit_milli = self._milli
            engine.limit_age_ms = int((now - self._at) * _MILLISECONDS)
