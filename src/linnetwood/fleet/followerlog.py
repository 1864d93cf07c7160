"""Log what a follower of a range decides, each state once."""

import math

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.fleet.freshness import RelayedUpdate
from linnetwood.fleet.mirror import LARGE_BYTES, Mirror
from linnetwood.fleet.ranges import HistoryLostError, Snapshot
from linnetwood.fleet.revisions import era_of, number_of
from linnetwood.fleet.viewsources import Source, ViewSources

_UNKNOWN_S = -1.0
_DIGITS = 3


class FollowerLog:
    """Log the decisions of one follower."""

    __slots__ = (
        '_ignores_updates',
        '_is_unreachable',
        '_mirror',
        '_prefix',
        'sources',
    )

    def __init__(self, prefix: str, mirror: Mirror) -> None:
        """Log with the revision of the mirror."""
        self.sources = ViewSources()
        self._prefix = prefix
        self._mirror = mirror
        self._is_unreachable = False
        self._ignores_updates = False

    def store_failed(self, exc: StoreError) -> None:
        """Log that the store became unreachable."""
        self.sources.came(exc.code)
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
        self.sources.came('answered')
        if self._is_unreachable:
            log(
                Event.STORE_BACK,
                prefix=self._prefix,
                **self._held(),
            )
        self._is_unreachable = False

    def history_lost(self, exc: HistoryLostError) -> None:
        """Log that the store lacks the changes since the known revision."""
        self.sources.came('history-lost')
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

    def changed(
        self, source: Source, large: int, confirmed_at: float, now: float
    ) -> None:
        """Log that a large record has changed since the last one.

        Small records change many times a second.
        """
        revision = self._mirror.large_revision
        if revision == large:
            return
        ages = (
            change.age_s
            for change in self._mirror.changes_of_all(now)
            if change.record is not None
            and len(change.record.payload) >= LARGE_BYTES
        )
        log(
            Event.VIEW_CHANGED,
            prefix=self._prefix,
            way=source.way,
            source=source.host,
            large=number_of(revision),
            seen_s=_rounded(min(ages, default=math.inf)),
            age_s=_rounded(now - confirmed_at),
            **self._held(),
        )

    def replaced(self, snapshot: Snapshot, source: Source) -> None:
        """Log that a snapshot is about to replace the view, if there is one."""
        if self._mirror.revision:
            log(
                Event.RANGE_REPLACED,
                source=source.host or source.way,
                got=number_of(snapshot.revision),
                got_era=era_of(snapshot.revision),
                **self._held(),
                **self._mirror.compare(snapshot),
            )

    def _held(self) -> dict[str, int]:
        revision = self._mirror.revision
        return {'revision': number_of(revision), 'era': era_of(revision)}


def _rounded(seconds: float) -> float:
    return round(seconds, _DIGITS) if math.isfinite(seconds) else _UNKNOWN_S
