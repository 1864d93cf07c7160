"""How long a stream may be silent before it is sent elsewhere; no I/O or clock.

Load pattern: lasting overload, first events late by some hundred milliseconds
everywhere. Whoever takes a call back then and sends it again loads a second
engine with a prompt that the first has nearly read: on a large fleet at 1.4
times its capacity, with 1.6 s for all routes, a fifth of the calls were taken
back so, and most were lost with that. So the time follows the caller's own
patience, which grows with what the route promises.
"""

import dataclasses

from linnetwood.calls.routetable import Route

# A caller leaves after the longest of these silences (the users' pages).
_CALLER_MIN_TIMEOUT_S = 2.0
_CALLER_TIMEOUT_TARGETS = 4
_CALLER_TIMEOUT_GAPS = 8
# Half of that leaves another endpoint as long as the first one had.
_FIRST_EVENT_SHARE = 0.5
# Of one that was known to wait, all but what a refusal takes to arrive.
_LATE_FIRST_EVENT_SHARE = 0.9
# Between two events an endpoint is given up after so many of the longest pauses
# that keep an answer in time: it fell silent, since queues come before.
_NEXT_EVENT_GAPS = 2.5
_NEXT_EVENT_MIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceTimeouts:
    """The silences after which a stream is sent elsewhere, in seconds."""

    first_event_s: float
    late_first_event_s: float
    next_event_s: float

    @classmethod
    def for_route(cls, route: Route) -> 'SilenceTimeouts':
        """Work them out for a route."""
        caller_timeout_s = max(
            _CALLER_MIN_TIMEOUT_S,
            _CALLER_TIMEOUT_TARGETS * route.target_s,
            _CALLER_TIMEOUT_GAPS * route.gap_s,
        )
        return cls(
            caller_timeout_s * _FIRST_EVENT_SHARE,
            caller_timeout_s * _LATE_FIRST_EVENT_SHARE,
            max(_NEXT_EVENT_MIN_S, route.gap_s * _NEXT_EVENT_GAPS),
        )
