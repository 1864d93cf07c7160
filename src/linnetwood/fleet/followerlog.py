"""Log what a follower of a range decides, each state once."""

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.fleet.freshness import RelayedUpdate
from linnetwood.fleet.mirror import Mirror
from linnetwood.fleet.ranges import Snapshot

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
                revision=self._mirror.revision,
            )
        self._is_unreachable = True

    def store_answered(self) -> None:
        """Log that the store is reachable again."""
        if self._is_unreachable:
            log(
                Event.STORE_BACK,
                prefix=self._prefix,
                revision=self._mirror.revision,
            )
        self._is_unreachable = False

    def history_lost(self) -> None:
        """Log that the store lacks the changes since the known revision."""
        log(
            Event.STORE_HISTORY_LOST,
            prefix=self._prefix,
            revision=self._mirror.revision,
        )

    def update_ignored(self, update: RelayedUpdate) -> None:
        """Log an update that is older than the view, until one is applied."""
        if not self._ignores_updates:
            log(
                Event.UPDATE_IGNORED,
                source=update.source,
                got=update.revision,
                held=self._mirror.revision,
                age_s=update.age_s,
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
                held=self._mirror.revision,
                got=snapshot.revision,
                **self._mirror.compare(snapshot),
            )
