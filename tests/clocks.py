"""A clock for tests."""


class ManualClock:
    """A clock that the test sets."""

    def __init__(self, at: float = 100.0) -> None:
        self.at = at

    def now(self) -> float:
        """Return the set time."""
        return self.at

    def wall(self) -> float:
        """Return the set time."""
        return self.at
