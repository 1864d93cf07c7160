"""How long a stream is silent before it is sent elsewhere too; no I/O or clock.

The timeouts are for a load pattern: under lasting overload, first events are
late by some hundred milliseconds at all endpoints. An entry that then cancels a
call and sends it again loads a second engine with a prompt that the first one
has nearly read. On a large fleet at 1.4 times its capacity, with a timeout of
1.6 s for all routes, a fifth of the calls were cancelled in this way, and most
of them were lost. The timeouts therefore follow the time after which the caller
itself gives up, which grows with the targets of the route.
"""

import dataclasses

from linnetwood.calls.routetable import Route

# A caller gives up after the longest of these silences, as the platform states:
# a minimum, and multiples of the route's target and of its longest gap.
_CALLER_MIN_TIMEOUT_S = 2.0
_CALLER_TIMEOUT_TARGETS = 4
_CALLER_TIMEOUT_GAPS = 8
# Half of that leaves a second endpoint as much time as the first one had.
_FIRST_EVENT_SHARE = 0.5
# A call that was known to wait gets all of it, except the time that a refusal
# needs to arrive.
_LATE_FIRST_EVENT_SHARE = 0.9
# Between two events, a stream is sent elsewhere too after this multiple of the
# route's longest gap, since calls queue only before their first event.
_NEXT_EVENT_GAPS = 2.5
_NEXT_EVENT_MIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceTimeouts:
    """The silences after which a stream is sent elsewhere as well, in seconds.

    `late_first_event_s` replaces `first_event_s` for calls that were expected
    to wait.
    """

    first_event_s: float
    late_first_event_s: float
    next_event_s: float

    @classmethod
    def for_route(cls, route: Route) -> 'SilenceTimeouts':
        """Compute the timeouts of a route."""
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
