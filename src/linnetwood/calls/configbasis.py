"""Say by which configuration a call is decided, and how old that belief is."""

import dataclasses
import math
from collections.abc import Callable

from linnetwood.calls.routetable import RouteTable
from linnetwood.core.clock import Clock

_MILLISECONDS = 1000
# What a line says where nothing was adopted or heard.
_UNKNOWN_MS = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigBasis:
    """What a call was decided by; ages in milliseconds, -1 for never."""

    version: int = 0
    revision: int = 0
    config_age_ms: int = _UNKNOWN_MS
    store_age_ms: int = _UNKNOWN_MS
    # Older than what a healthy process believes; so is what was never heard.
    is_stale: bool = True


class ConfigAgeTracker:
    """Know the configuration in force, and when its store was heard."""

    def __init__(
        self,
        clock: Clock,
        last_answer_at: Callable[[], float],
        max_age_s: float = math.inf,
    ) -> None:
        """Ask the follower when the store last answered well.

        What was not confirmed for longer than `trusted_s` is an old belief.
        """
        self._clock = clock
        self._last_answer_at = last_answer_at
        self._max_age_s = max_age_s
        self._version = 0
        self._revision = 0
        self._adopted_at = -math.inf

    def adopted(self, route_table: RouteTable) -> None:
        """Note that a configuration is in force from now on."""
        self._version = route_table.version
        self._revision = route_table.revision
        self._adopted_at = self._clock.now()

    def basis(self) -> ConfigBasis:
        """Give what a call that comes now is decided by."""
        store_age_s = self.store_age_s()
        return ConfigBasis(
            self._version,
            self._revision,
            _ms(self._clock.now() - self._adopted_at),
            _ms(store_age_s),
            store_age_s > self._max_age_s,
        )

    def store_age_s(self) -> float:
        """Give the seconds since the store was heard; infinity if never."""
        return self._clock.now() - self._last_answer_at()


def _ms(seconds: float) -> int:
    return (
        round(seconds * _MILLISECONDS)
        if math.isfinite(seconds)
        else _UNKNOWN_MS
    )
