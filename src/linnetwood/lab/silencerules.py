"""Compare rules for a stream that falls silent; no I/O or clock."""

import dataclasses
import enum
from types import MappingProxyType
from typing import Final, Protocol

from linnetwood.calls.silencetimeouts import SilenceTimeouts

# Seconds of silence after which a caller gives up, and the route's longest gap.
CALLER_TIMEOUT_S: Final = 3.2
GAP_S: Final = 0.4
OVERDUE_S: Final = 0.4
_HALF_S: Final = 1.6
_LATE_S: Final = 2.88
_TIMEOUTS: Final = SilenceTimeouts(_HALF_S, _LATE_S, 1)
_LONG_TIMEOUTS: Final = SilenceTimeouts(_LATE_S, _LATE_S, _LATE_S)


class Decision(enum.Enum):
    """What to do now; all but WAIT avoid the silent engine, too."""

    WAIT = enum.auto()
    AVOID = enum.auto()
    SEND_BESIDE = enum.auto()
    # Cancel the silent attempt, and send again or else end the answer.
    SEND_INSTEAD = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """What an entry knows while all attempts of a stream are silent.

    `begun` says whether the last attempt has brought an event, and
    `others_go_on` whether other streams of the entry at its engine go on.
    """

    silent_s: float
    begun: bool = True
    others_go_on: bool = False
    report_age_s: float = 0

    def exceeds(self, timeouts: SilenceTimeouts) -> bool:
        """Return whether it is longer than the timeout that applies."""
        if self.begun:
            return self.silent_s >= timeouts.next_event_s
        return self.silent_s >= timeouts.first_event_s


class Rule(Protocol):
    """Decide about a silent stream; asked until an event arrives."""

    def decide(self, silence: Silence) -> Decision:
        """Return what to do now."""


class SendInstead:
    """Give up a silent engine after a timeout."""

    def __init__(self, timeouts: SilenceTimeouts) -> None:
        """Use the timeouts of a route."""
        self._timeouts = timeouts

    def decide(self, silence: Silence) -> Decision:
        """Wait, then send elsewhere instead."""
        late = silence.exceeds(self._timeouts)
        return Decision.SEND_INSTEAD if late else Decision.WAIT


class SendBeside:
    """Keep a silent attempt and send another one beside it."""

    def decide(self, silence: Silence) -> Decision:
        """Wait, then send elsewhere as well."""
        late = silence.exceeds(_TIMEOUTS)
        return Decision.SEND_BESIDE if late else Decision.WAIT


class SendBesideByEvidence:
    """Send beside a silent attempt, earlier if it seems to be lost."""

    def decide(self, silence: Silence) -> Decision:
        """Wait, and for longer while nothing speaks for a failure."""
        if not silence.exceeds(_TIMEOUTS):
            return Decision.WAIT
        seems_lost = silence.others_go_on or silence.report_age_s > OVERDUE_S
        if seems_lost or silence.silent_s >= _HALF_S:
            return Decision.SEND_BESIDE
        return Decision.AVOID


RULES: Final = MappingProxyType[str, Rule](
    {
        'instead': SendInstead(_TIMEOUTS),
        'instead, late': SendInstead(_LONG_TIMEOUTS),
        'beside': SendBeside(),
        'beside, by evidence': SendBesideByEvidence(),
    }
)
