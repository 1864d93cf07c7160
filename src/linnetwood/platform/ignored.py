"""Log records of the store that are malformed."""

from collections.abc import Callable

from linnetwood.core.bounded import keep_newest
from linnetwood.core.errors import ConfigError
from linnetwood.core.events import Event, log
from linnetwood.fleet.ranges import Record
from linnetwood.fleet.revisions import number_of

# Maximum number of keys for which the logged revision is kept. The oldest are
# dropped first, and logged again if they are read again.
_MAX_LOGGED_KEYS = 4096


def _ignore_count() -> None:
    """Do nothing by default."""


class IgnoredRecords:
    """Log each malformed record once for each of its revisions."""

    def __init__(self, count: Callable[[], None] = _ignore_count) -> None:
        """Call `count` for each logged record."""
        self._count = count
        self._logged_revisions: dict[str, int] = {}

    def record_ignored(
        self, key: str, record: Record, exc: ConfigError
    ) -> None:
        """Log and count a record, unless this revision was logged."""
        if self._logged_revisions.get(key) == record.revision:
            return
        keep_newest(
            self._logged_revisions, key, record.revision, _MAX_LOGGED_KEYS
        )
        self._count()
        log(
            Event.ITEM_IGNORED,
            key=key,
            revision=number_of(record.revision),
            code=exc.code,
            detail=exc.detail,
        )
