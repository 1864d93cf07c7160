"""Track which configuration calls are decided by, and how old it is."""

import dataclasses
import math
from collections.abc import Callable

from linnetwood.calls.routetable import RouteTable
from linnetwood.core.clock import Clock

_MILLISECONDS = 1000
# Who confirmed the view last: the store itself, or a relay of its changes.
_BY_STORE = 'store'
_BY_RELAY = 'relay'
# Logged if no configuration was adopted or the store never answered.
_UNKNOWN_MS = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigBasis:
    """The configuration that a call is decided by; ages in milliseconds.

    An age of -1 means that no configuration was adopted yet, or that the store
    has never answered.
    """

    version: int = 0
    revision: int = 0
    config_age_ms: int = _UNKNOWN_MS
    store_age_ms: int = _UNKNOWN_MS
    # `store` or `relay`; empty if nobody has confirmed it.
    confirmed_by: str = ''
    # Not confirmed by the store for longer than the maximum age, or never.
    is_stale: bool = True

    @property
    def is_adopted_and_stale(self) -> bool:
        """Return whether a configuration is in force on a stale view."""
        return self.is_stale and self.config_age_ms != _UNKNOWN_MS

    def as_stale(self) -> 'ConfigBasis':
        """Return the same basis, but stale."""
        return dataclasses.replace(self, is_stale=True)


class ConfigAgeTracker:
    """Know the configuration in force and when the store last confirmed it."""

    def __init__(
        self,
        clock: Clock,
        last_answer_at: Callable[[], float],
        max_age_s: float = math.inf,
        store_answer_at: Callable[[], float] | None = None,
    ) -> None:
        """Read from `last_answer_at` when the store last answered correctly.

        `store_answer_at` leaves out answers that relays passed on. A
        configuration not confirmed for longer than `max_age_s` is stale.
        """
        self._clock = clock
        self._store_answer_at = store_answer_at or last_answer_at
        self._last_answer_at = last_answer_at
        self._max_age_s = max_age_s
        self._version = 0
        self._revision = 0
        self._adopted_at = -math.inf

    def adopted(self, route_table: RouteTable) -> None:
        """Record that a configuration is in force from now on."""
        self._version = route_table.version
        self._revision = route_table.revision
        self._adopted_at = self._clock.now()

    def basis(self) -> ConfigBasis:
        """Return the basis for calls that arrive now."""
        store_age_s = self.store_age_s()
        return ConfigBasis(
            self._version,
            self._revision,
            _ms(self._clock.now() - self._adopted_at),
            _ms(store_age_s),
            self._confirmed_by(),
            store_age_s > self._max_age_s,
        )

    def store_age_s(self) -> float:
        """Return the seconds since the store answered; infinity if never."""
        return self._clock.now() - self._last_answer_at()

    def _confirmed_by(self) -> str:
        answered_at = self._last_answer_at()
        if not math.isfinite(answered_at):
            return ''
        is_own = self._store_answer_at() >= answered_at
        return _BY_STORE if is_own else _BY_RELAY


def _ms(seconds: float) -> int:
    return (
        round(seconds * _MILLISECONDS)
        if math.isfinite(seconds)
        else _UNKNOWN_MS
    )
