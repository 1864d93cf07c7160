"""Find the planned work that was under way during a call; no I/O or clock."""

from collections.abc import Iterator
from typing import Final

from linnetwood.lab.soak.history import Call, FaultRecord, History, Runs

STOP: Final = 'stop entry'
# The time that a deployment gives an entry to stop.
_GRACE_PERIOD_S = 8.0
# A call that was sent within this time after the signal may be cut if its
# server still runs it in the last sixth of the grace period.
_LATE_CALL_S = 3.0
_LAST_SIXTH = 5 / 6
# How long planned work lasts beyond its bound.
_AFTER_BOUND_S = 1.0


class PlannedWork:
    """Stops and reloads of entries, and configurations."""

    def __init__(self, history: History, runs: Runs, apply_s: float) -> None:
        """Use a history, its runs by call and the bound of configurations."""
        self._runs = runs
        self._apply_s = apply_s
        self._stops = [one for one in history.troubles if one.kind == STOP]
        self._reloads = history.reloads
        self._configurations = [
            (one.sent_at or one.at, one.at + apply_s + _AFTER_BOUND_S)
            for one in history.acked
            if one.what == 'config'
        ]

    def of_entry(self, call: Call) -> Iterator[str]:
        """Yield the planned work of its entry that does not excuse a call."""
        for stop in self._stops:
            if self._is_beside_stop(call, stop):
                yield 'the entry was stopping'
        for reload in self._reloads:
            if self._is_beside_reload(call, reload):
                yield 'the entry was told to reload'

    def is_beside_configuration(self, call: Call) -> bool:
        """Return whether a configuration may have come into force meanwhile."""
        return any(
            call.sent_at <= until and call.ended_at >= since
            for since, until in self._configurations
        )

    def _is_beside_stop(self, call: Call, stop: FaultRecord) -> bool:
        until = stop.at + _GRACE_PERIOD_S + _AFTER_BOUND_S
        if stop.who != call.entry or not stop.at < call.ended_at <= until:
            return False
        last = stop.at + _GRACE_PERIOD_S * _LAST_SIXTH
        runs = self._runs.get(call.call_id, ())
        ran_to_the_end = any(run.ended_at > last for run in runs)
        return not (ran_to_the_end and call.sent_at <= stop.at + _LATE_CALL_S)

    def _is_beside_reload(self, call: Call, reload: FaultRecord) -> bool:
        return (
            reload.who == call.entry
            and call.sent_at <= reload.at + self._apply_s
            and call.ended_at > reload.at
        )
