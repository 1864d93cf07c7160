"""Refuse at admission the calls that crash the endpoints that run them."""

import math
from collections.abc import Callable

from linnetwood.calls.crashcauses import CrashCauses
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.directcall import DirectCall
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Code, Ending, not_run

_MILLISECONDS = 1000

Admit = Callable[[DirectCall], Urgency | Ending]


class Quarantine:
    """Refuse calls that endpoints crashed under; pass on all others."""

    def __init__(self, causes: CrashCauses, admit: Admit, clock: Clock) -> None:
        """Pass calls that are not refused to the given admission function."""
        self._causes = causes
        self._admit = admit
        self._clock = clock

    def __call__(self, call: DirectCall) -> Urgency | Ending:
        """Return the urgency of the call, or the ending that refuses it."""
        now = self._clock.now()
        fingerprint, wait_s = self._causes.refusing(call.fingerprints, now)
        if fingerprint:
            # Retry only when the next trial is due: before that the call would
            # be refused again.
            return not_run(
                Code.ENDS_ENDPOINTS,
                self._causes.describe(fingerprint, call.fingerprint),
                math.ceil(wait_s * _MILLISECONDS),
            )
        admitted = self._admit(call)
        if not isinstance(admitted, Ending):
            self._causes.note_admitted(call.fingerprints, now)
        return admitted
