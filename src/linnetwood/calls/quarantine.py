"""Refuse at the door calls that end the endpoints that run them."""

from collections.abc import Callable

from linnetwood.calls.crashes import CrashHistory
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.direct import DirectCall
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Code, Ending, not_run

_MILLISECONDS = 1000

Admit = Callable[[DirectCall], Urgency | Ending]


class Quarantine:
    """Admit as another does, but for calls that endpoints crashed under."""

    def __init__(
        self, crashes: CrashHistory, admit: Admit, clock: Clock
    ) -> None:
        """Ask the other for all calls that are not refused."""
        self._crashes = crashes
        self._admit = admit
        self._clock = clock

    def __call__(self, call: DirectCall) -> Urgency | Ending:
        """Give how urgent the call is, or why it is refused."""
        now = self._clock.now()
        wait_s = self._crashes.refused_for_s(call.fingerprint, now)
        if wait_s <= 0:
            admitted = self._admit(call)
            if not isinstance(admitted, Ending):
                self._crashes.note_admitted(call.fingerprint, now)
            return admitted
        crash_count = self._crashes.crash_count(call.fingerprint)
        # It comes back when one like it is tried again: before that it would
        # only be refused.
        after_ms = int(wait_s * _MILLISECONDS)
        return not_run(Code.ENDS_ENDPOINTS, f'{crash_count} ended', after_ms)
