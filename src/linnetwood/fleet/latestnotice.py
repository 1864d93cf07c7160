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
_NEW_FOR_S = 0.6
_REPEAT_EVERY_S = 3.73
# Entries of other zones hear every second report.
_REPORTS_PER_ROUND = 2


class LatestNotice:
    """Hold the newest word of whichever life stands beside this process."""

    __slots__ = ('_received_at', '_changed_at', '_notice')

    def __init__(self) -> None:
        """Know of no answer."""
        self._notice: EngineSaid | None = None
        self._received_at = float()
        self._changed_at = float()

    def update(self, notice: EngineSaid, now: float) -> None:
        """Take in an entry's word; a life that leaves does so for good."""
        previous = self._notice
        if previous is not None and previous.life == notice.life:
            notice.leaving = notice.leaving or previous.leaving
        if previous is None or _key_fields(previous) != _key_fields(notice):
            self._changed_at = now
        self._notice = notice
        self._received_at = now

    def for_report(self, now: float, every_s: float) -> EngineSaid | None:
        """Give what goes into reports of now, which are so far apart."""
        if self._notice is None:
            return None
        unchanged_s = now - self._changed_at
        is_repeat_due = (
            unchanged_s % _REPEAT_EVERY_S < _REPORTS_PER_ROUND * every_s
        )
        if unchanged_s > _NEW_FOR_S and not is_repeat_due:
            return None
        self._notice.age_ms = int((now - self._received_at) * _MILLISECONDS)
        return self._notice


def _key_fields(notice: EngineSaid) -> tuple[int, int, bool]:
    return notice.life, notice.limit_milli, notice.leaving
