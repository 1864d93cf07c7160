"""Leave what failed alone for a while, longer each time; no I/O or clock."""

from random import Random

from linnetwood.core.backoff import pause_s

_FIRST_PAUSE_S = 0.25
_MAX_PAUSE_S = 4.0
_MIN_PAUSE_SHARE = 0.5


class Cooldown:
    """Hold until when each is left alone."""

    __slots__ = ('_failures', '_rng', '_until')

    def __init__(self, rng: Random) -> None:
        """Leave nobody alone."""
        self._rng = rng
        self._failures: dict[str, int] = {}
        self._until: dict[str, float] = {}

    def is_available(self, name: str, now: float) -> bool:
        """Tell whether one may be tried."""
        return self._until.get(name, now) <= now

    def note_failure(self, name: str, now: float) -> None:
        """Leave one alone for a while."""
        failures = self._failures.get(name, 0)
        self._failures[name] = failures + 1
        self._until[name] = now + pause_s(
            failures,
            self._rng,
            _FIRST_PAUSE_S,
            _MAX_PAUSE_S,
            _MIN_PAUSE_SHARE,
        )

    def note_success(self, name: str) -> None:
        """Forget the failures of one that tells."""
        self._failures.pop(name, None)

    def forget(self, name: str) -> None:
        """Forget one that has gone."""
        self._failures.pop(name, None)
        self._until.pop(name, None)

    def names(self) -> set[str]:
        """Give those that failed."""
        return set(self._until)
