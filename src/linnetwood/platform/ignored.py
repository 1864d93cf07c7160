"""Tell of records of the store that can't be read."""

from collections.abc import Callable

from linnetwood.core.errors import ConfigError
from linnetwood.core.events import Event, log
from linnetwood.fleet.ranges import Record

# So many keys that could not be read are remembered; the oldest go first, and
# are told once more if they are read again.
_IGNORED_KEPT = 4096


def _uncounted() -> None:
    """Count nothing."""


class Ignored:
    """Tell of each record that can't be read once for each write of it."""

    def __init__(self, count: Callable[[], None] = _uncounted) -> None:
        """Count them, too."""
        self._count = count
        self._told: dict[str, int] = {}

    def note(self, key: str, record: Record, exc: ConfigError) -> None:
        """Log and count one."""
        if self._told.get(key) == record.revision:
            return
        self._told.pop(key, None)
        self._told[key] = record.revision
        while len(self._told) > _IGNORED_KEPT:
            self._told.pop(next(iter(self._told)))
        self._count()
        log(
            Event.ITEM_IGNORED,
            key=key,
            revision=record.revision,
            code=exc.code,
            detail=exc.detail,
        )
