"""Detect that this process was paused, and withhold orders afterwards."""

_MIN_PAUSE_S = 2.0
_ISOLATED_AFTER_S = 10.0


class PauseDetector:
    """Allow no orders after a pause; no I/O, the time is passed in.

    A process may resume in the middle of a step that a newer configuration has
    made obsolete. It gives no order until a peer has confirmed that its
    configuration is the newest, or until it counts as isolated, because no peer
    has answered for long; then it serves what it can.
    """

    def __init__(self, now: float) -> None:
        """Start without a pause."""
        self._last_tick_at = now
        self._paused_at: float | None = None

    def tick(self, now: float) -> None:
        """Record that the process runs; call this more than once a second."""
        if now - self._last_tick_at > _MIN_PAUSE_S:
            self._paused_at = now
        self._last_tick_at = now

    def confirm(self) -> None:
        """Record that a peer holds no newer configuration."""
        self._paused_at = None

    def may_order(self, now: float) -> bool:
        """Return whether an order may be given."""
        self.tick(now)
        if self._paused_at is None:
            return True
        return now - self._paused_at > _ISOLATED_AFTER_S
