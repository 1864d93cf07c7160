"""Log what a follower of a range decides, each state once."""

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.fleet.freshness import RelayedUpdate
from linnetwood.fleet.mirror import Mirror
from linnetwood.fleet.ranges import HistoryLostError, Snapshot
from linnetwood.fleet.revisions import era_of, number_of

# The source of what the store itself answered.
FROM_STORE = 'store'


class FollowerLog:
    """Log the decisions of one follower."""

    __slots__ = ('_ignores_updates', '_is_unreachable', '_mirror', '_prefix')

    def __init__(self, prefix: str, mirror: Mirror) -> None:
        """Log with the revision of the mirror."""
        self._prefix = prefix
        self._mirror = mirror
        self._is_unreachable = False
        self._ignores_updates = False

    def store_failed(self, exc: StoreError) -> None:
        """Log that the store became unreachable."""
        if not self._is_unreachable:
            log(
                Event.STORE_AWAY,
                prefix=self._prefix,
                code=exc.code,
                detail=exc.detail,
                **self._held(),
            )
        self._is_unreachable = True

    def store_answered(self) -> None:
        """Log that the store is reachable again."""
        if self._is_unreachable:
            log(
                Event.STORE_BACK,
                prefix=self._prefix,
                **self._held(),
            )
        self._is_unreachable = False

    def history_lost(self, exc: HistoryLostError) -> None:
        """Log that the store lacks the changes since the known revision."""
        log(
            Event.STORE_HISTORY_LOST,
            prefix=self._prefix,
            store_era=exc.era,
            **self._held(),
        )

    def update_ignored(self, update: RelayedUpdate) -> None:
        """Log an update that is older than the view, until one is applied."""
        if not self._ignores_updates:
            log(
                Event.UPDATE_IGNORED,
                source=update.source,
                got=number_of(update.revision),
                got_era=era_of(update.revision),
                age_s=update.age_s,
                **self._held(),
            )
        self._ignores_updates = True

    def update_applied(self) -> None:
        """Log the next update that is ignored."""
        self._ignores_updates = False

    def replaced(self, snapshot: Snapshot, source: str) -> None:
        """Log that a snapshot is about to replace the view, if there is one."""
        if self._mirror.revision:
            log(
                Event.RANGE_REPLACED,
                source=source,
                got=number_of(snapshot.revision),
                got_era=era_of(snapshot.revision),
                **self._held(),
                **self._mirror.compare(snapshot),
            )

    def _held(self) -> dict[str, int]:
        revision = self._mirror.revision
        return {'revision': number_of(revision), 'era': era_of(revision)}
