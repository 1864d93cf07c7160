"""Log answered calls where the configuration that decided them may matter."""

from collections.abc import Mapping
from typing import Final, TypeVar

from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.logfields import (
    call_fields,
    config_fields,
    logged_id,
)
from linnetwood.calls.routetable import host_name
from linnetwood.calls.tablechanges import Place, TableChanges
from linnetwood.core.events import Event, log

# For so long after a configuration was adopted, in seconds, calls that it
# concerns are traced: longer than a configuration may take to be in force (2)
# after an entry is in touch again (3).
RECENT_S: Final = 10.0
# Maximum number of lines in a second; the next line has the number of others.
MAX_TRACES_PER_S: Final = 20
# Maximum numbers of places and of keys that are remembered.
_MAX_CHANGES: Final = 5000
_STALE_VIEW: Final = 'stale-view'
_MILLISECONDS: Final = 1000

_Name = TypeVar('_Name', Place, str)


class CallTraces:
    """Log answered calls on a stale view, or whose route or key just changed.

    Times are by the clock of the loop.
    """

    __slots__ = (
        '_keys',
        '_left_out',
        '_lengths',
        '_places',
        '_second',
        '_traced',
        '_until',
        '_version',
    )

    def __init__(self) -> None:
        """Start without any change."""
        self._until = float()
        self._version = 0
        # What changed, how, and until when it is recent.
        self._places: dict[Place, tuple[str, float]] = {}
        self._keys: dict[str, tuple[str, float]] = {}
        self._lengths: tuple[int, ...] = ()
        self._second = 0
        self._traced = 0
        self._left_out = 0

    def note_adopted(
        self, version: int, changes: TableChanges, now: float
    ) -> None:
        """Trace the calls that a new configuration concerns."""
        self._version = version
        if not changes.places and not changes.keys:
            return
        self._until = now + RECENT_S
        _remember(self._places, changes.places, self._until, now)
        _remember(self._keys, changes.keys, self._until, now)
        lengths = {len(prefix) for _, prefix in self._places}
        self._lengths = tuple(sorted(lengths, reverse=True))

    def note_answered(
        self, call: DirectCall, decided_at: float, now: float
    ) -> None:
        """Log an answered call if its configuration may matter."""
        if call.config_basis.is_adopted_and_stale:
            self._trace(call, _STALE_VIEW, decided_at, now)
        elif now < self._until:
            kind = self._kind_for(call, now)
            if kind:
                self._trace(call, kind, decided_at, now)

    def _kind_for(self, call: DirectCall, now: float) -> str:
        """Return how a call's place or key changed; empty if neither did.

        A place with a shorter prefix than that of the call's route does not
        matter to the call.
        """
        route = call.route
        path = call.target.partition('?')[0]
        host = host_name(route.host)
        for length in self._lengths:
            if length < len(route.prefix):
                break
            kind, until = self._places.get((host, path[:length]), ('', now))
            if until > now:
                return kind
        kind, until = self._keys.get(call.head.key, ('', now))
        return kind if until > now else ''

    def _trace(
        self, call: DirectCall, why: str, decided_at: float, now: float
    ) -> None:
        if int(now) != self._second:
            self._second = int(now)
            self._traced = 0
        if self._traced >= MAX_TRACES_PER_S:
            self._left_out += 1
            return
        self._traced += 1
        log(
            Event.CALL_TRACED,
            call=logged_id(call.head.call_id),
            code=why,
            service=call.service.name,
            **config_fields(call.config_basis),
            version_now=self._version,
            decided_ms=_ms(decided_at - call.arrived_at),
            took_ms=_ms(now - call.arrived_at),
            **call_fields(call.route, call.organisation),
            left_out=self._left_out,
        )
        self._left_out = 0


def _remember(
    known: dict[_Name, tuple[str, float]],
    changed: Mapping[_Name, str],
    until: float,
    now: float,
) -> None:
    """Add changes; drop those that are recent no longer, and the oldest."""
    for name, kind in changed.items():
        # Behind those that changed before.
        known.pop(name, None)
        known[name] = (kind, until)
    while known:
        oldest = next(iter(known))
        if known[oldest][1] > now and len(known) <= _MAX_CHANGES:
            return
        known.pop(oldest)


def _ms(seconds: float) -> int:
    return round(seconds * _MILLISECONDS)
