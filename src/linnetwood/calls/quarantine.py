"""Refuse at admission the calls that crash the endpoints that run them."""

from collections.abc import Callable

from linnetwood.calls.crashes import CrashHistory
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.direct import DirectCall
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Code, Ending, not_run

_MILLISECONDS = 1000

Admit = Callable[[DirectCall], Urgency | Ending]


class Quarantine:
    """Refuse calls that endpoints crashed under; pass on all others."""

    def __init__(
        self, crashes: CrashHistory, admit: Admit, clock: Clock
    ) -> None:
        """Pass calls that are not refused to the given admission function."""
        self._crashes = crashes
        self._admit = admit
        self._clock = clock

    def __call__(self, call: DirectCall) -> Urgency | Ending:
        """Return the urgency of the call, or the ending that refuses it."""
        now = self._clock.now()
        wait_s = self._crashes.refused_for_s(call.fingerprint, now)
        if wait_s <= 0:
            admitted = self._admit(call)
            if not isinstance(admitted, Ending):
                self._crashes.note_admitted(call.fingerprint, now)
            return admitted
        crash_count = self._crashes.crash_count(call.fingerprint)
        # Retry only when the next trial is due: before that the call would be
        # refused again.
        after_ms = int(wait_s * _MILLISECONDS)
        return not_run(
            Code.ENDS_ENDPOINTS,
            f'{crash_count} endpoints crashed',
            after_ms,
        )
