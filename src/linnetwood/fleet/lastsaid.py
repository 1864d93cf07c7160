"""What answers of an engine said last of it; no I/O or clock.

Entries tell the process beside the engine, which tells all that hear it: else
each would find out alone, by calls that the engine can't bear, and hear of the
end only when its own turn comes.
"""

from linnetwood.gen.wire.ttypes import EngineSaid

_MILLISECONDS = 1000
# What is new goes into every report for so long, since some are lost; after
# that all entries hear it once in so many seconds, so that it costs few bytes.
# No usual pace of reports divides them: else some would always miss it.
_NEW_S = 0.6
_AGAIN_S = 3.73
# Entries of other zones hear every second report.
_ROUND = 2


class LastSaid:
    """Hold the newest word of whichever life stands beside this process."""

    __slots__ = ('_at', '_new_at', '_said')

    def __init__(self) -> None:
        """Know of no answer."""
        self._said: EngineSaid | None = None
        self._at = float()
        self._new_at = float()

    def heard(self, said: EngineSaid, now: float) -> None:
        """Take in an entry's word; a life that leaves does so for good."""
        known = self._said
        if known is not None and known.life == said.life:
            said.leaving = said.leaving or known.leaving
        if known is None or _word(known) != _word(said):
            self._new_at = now
        self._said = said
        self._at = now

    def told(self, now: float, every_s: float) -> EngineSaid | None:
        """Give what goes into reports of now, which are so far apart."""
        if self._said is None:
            return None
        since_s = now - self._new_at
        in_turn = since_s % _AGAIN_S < _ROUND * every_s
        if since_s > _NEW_S and not in_turn:
            return None
        self._said.age_ms = int((now - self._at) * _MILLISECONDS)
        return self._said


def _word(said: EngineSaid) -> tuple[int, int, bool]:
    return said.life, said.limit_milli, said.leaving
