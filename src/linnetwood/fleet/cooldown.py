"""Exponential cooldown of hosts that failed; no I/O or clock."""

from random import Random

from linnetwood.core.backoff import pause_s

_FIRST_PAUSE_S = 0.25
_MAX_PAUSE_S = 4.0
_MIN_PAUSE_SHARE = 0.5


class Cooldown:
    """Hold until when each host that failed is not to be tried."""

    __slots__ = ('_failures', '_rng', '_until')

    def __init__(self, rng: Random) -> None:
        """Start with every host available."""
        self._rng = rng
        self._failures: dict[str, int] = {}
        self._until: dict[str, float] = {}

    def is_available(self, host: str, now: float) -> bool:
        """Return whether a host may be tried."""
        return self._until.get(host, now) <= now

    def note_failure(self, host: str, now: float) -> None:
        """Begin a cooldown, longer with each failure in a row."""
        failures = self._failures.get(host, 0)
        self._failures[host] = failures + 1
        self._until[host] = now + pause_s(
            failures,
            self._rng,
            _FIRST_PAUSE_S,
            _MAX_PAUSE_S,
            _MIN_PAUSE_SHARE,
        )

    def note_success(self, host: str) -> None:
        """Forget the failures of a host; a running cooldown continues."""
        self._failures.pop(host, None)

    def forget(self, host: str) -> None:
        """Forget a host."""
        self._failures.pop(host, None)
        self._until.pop(host, None)

    def hosts(self) -> set[str]:
        """Return the hosts that failed and were not forgotten."""
        return set(self._until)
