"""Say by which configuration a call is decided, and how old that belief is."""

import dataclasses
import math
from collections.abc import Callable

from linnetwood.calls.routebook import RouteBook
from linnetwood.core.clock import Clock

_MILLISECONDS = 1000
# What a line says where nothing was adopted or heard.
_NEVER = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Grounds:
    """What a call was decided by; ages in milliseconds, -1 for never."""

    version: int = 0
    revision: int = 0
    config_age_ms: int = _NEVER
    store_age_ms: int = _NEVER
    # Older than what a healthy process believes; so is what was never heard.
    old: bool = True


class Vigil:
    """Know the configuration in force, and when its store was heard."""

    def __init__(
        self,
        clock: Clock,
        heard_at: Callable[[], float],
        trusted_s: float = math.inf,
    ) -> None:
        """Ask the follower when the store last answered well.

        What was not confirmed for longer than `trusted_s` is an old belief.
        """
        self._clock = clock
        self._heard_at = heard_at
        self._trusted_s = trusted_s
        self._version = 0
        self._revision = 0
        self._adopted_at = -math.inf

    def adopted(self, book: RouteBook) -> None:
        """Note that a configuration is in force from now on."""
        self._version = book.version
        self._revision = book.revision
        self._adopted_at = self._clock.now()

    def grounds(self) -> Grounds:
        """Give what a call that comes now is decided by."""
        store_age_s = self.store_age_s()
        return Grounds(
            self._version,
            self._revision,
            _ms(self._clock.now() - self._adopted_at),
            _ms(store_age_s),
            store_age_s > self._trusted_s,
        )

    def store_age_s(self) -> float:
        """Give the seconds since the store was heard; infinity if never."""
        return self._clock.now() - self._heard_at()


def _ms(seconds: float) -> int:
    return round(seconds * _MILLISECONDS) if math.isfinite(seconds) else _NEVER
