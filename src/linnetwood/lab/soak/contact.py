"""Find what configuration binds the entry of a call; no I/O or clock."""

from typing import Final

from linnetwood.lab.soak.history import Call, History
from linnetwood.lab.soak.limits import Limits

# Disruptions of a store that answers, and in time: they extend the bound.
_OUTER: Final = frozenset(('store forgets', 'store deaf'))


class Contact:
    """Tell which entries are in touch, and what they are bound to act by."""

    def __init__(self, history: History, limits: Limits) -> None:
        """Use the faults and configurations of a history."""
        self._history = history
        self._limits = limits

    def is_in_touch(self, call: Call) -> bool:
        """Return whether no fault affected its entry since the contact time."""
        return not self._kinds(call)

    def is_bound(self, call: Call) -> bool:
        """Return whether its entry is in touch, or beyond a longer bound."""
        return self._kinds(call) <= _OUTER

    def due(self, call: Call) -> int:
        """Return the newest configuration that must be in force, or 0."""
        bound_s = self._limits.apply_s
        if self._kinds(call) & _OUTER:
            bound_s += self._limits.outer_s
        return self._history.newest_acked('config', call.sent_at - bound_s)

    def _kinds(self, call: Call) -> set[str]:
        since = call.sent_at - self._limits.contact_s
        return {
            one.kind
            for one in self._history.troubles
            if one.affects(call.entry, since, call.ended_at)
        }
