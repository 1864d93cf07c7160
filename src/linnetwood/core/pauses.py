"""Notice that this process was paused, and doubt what it knew until then."""

_PAUSED_S = 2.0
_ALONE_S = 10.0


class PauseWatch:
    """Hold orders back after a pause; no I/O, the time is passed in.

    A process that was away may wake in the middle of a step that newer
    configuration has overtaken. It gives no order until somebody has shown
    that its configuration is the newest, or until nobody has answered for so
    long that it must take itself for cut off and serve what it can.
    """

    def __init__(self, now: float) -> None:
        """Start awake."""
        self._last = now
        self._doubted_at: float | None = None

    def tick(self, now: float) -> None:
        """Note that the process runs; call more often than once a second."""
        if now - self._last > _PAUSED_S:
            self._doubted_at = now
        self._last = now

    def confirm(self) -> None:
        """Note that a peer has shown what it holds to be no newer."""
        self._doubted_at = None

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be given."""
        self.tick(now)
        if self._doubted_at is None:
            return True
        return now - self._doubted_at > _ALONE_S
