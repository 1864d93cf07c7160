"""The latest notice that an engine gave in its answers; no I/O or clock.

Entries pass a notice on to the process beside the engine, which includes it in
its load reports to all entries. Otherwise each entry would learn of a limit by
calls of its own, which the engine can't bear, and of an engine that leaves only
by its own next call.
"""

from linnetwood.gen.wire.ttypes import EngineSaid

_MILLISECONDS = 1000
# A new notice goes into every report for this time, since some reports are
# lost. After that it reaches all entries once in the repeat time, so that it
# costs few bytes. No usual interval of reports divides the repeat time:
# otherwise some entries would always miss the notice.
_NEW_FOR_S = 0.6
_REPEAT_EVERY_S = 3.73
# Entries of other zones get every second report.
_REPORTS_PER_ROUND = 2


class LatestNotice:
    """Hold the newest notice of the incarnation beside this process."""

    __slots__ = ('_changed_at', '_notice', '_received_at')

    def __init__(self) -> None:
        """Start without a notice."""
        self._notice: EngineSaid | None = None
        self._received_at = float()
        self._changed_at = float()

    def update(self, notice: EngineSaid, now: float) -> None:
        """Take a notice from an entry.

        An incarnation that is leaving stays so, whatever a later notice says.
        """
        previous = self._notice
        if previous is not None and previous.life == notice.life:
            notice.leaving = notice.leaving or previous.leaving
        if previous is None or _key_fields(previous) != _key_fields(notice):
            self._changed_at = now
        self._notice = notice
        self._received_at = now

    def for_report(self, now: float, interval_s: float) -> EngineSaid | None:
        """Return the notice for reports of now, or None.

        interval_s is the interval of reports in seconds.
        """
        if self._notice is None:
            return None
        unchanged_s = now - self._changed_at
        is_repeat_due = (
            unchanged_s % _REPEAT_EVERY_S < _REPORTS_PER_ROUND * interval_s
        )
        if unchanged_s > _NEW_FOR_S and not is_repeat_due:
            return None
        self._notice.age_ms = int((now - self._received_at) * _MILLISECONDS)
        return self._notice


def _key_fields(notice: EngineSaid) -> tuple[int, int, bool]:
    return notice.life, notice.limit_milli, notice.leaving
