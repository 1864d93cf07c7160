"""The ends of endpoints that entries share, as keys of the platform's store."""

import math
import re
from collections.abc import Callable, Sequence

from linnetwood.calls.crashes import FORGOTTEN_S, Crashes, End
from linnetwood.core.clock import Clock
from linnetwood.core.errors import ConfigError, StoreError
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.platform import records
from linnetwood.platform.ignored import Ignored
from linnetwood.platform.store import LEASE_GONE, PlatformStore

_KEY = re.compile(f'{records.END_PREFIX}([0-9a-f]{{24}})/([0-9a-f]{{16}})')
# Entries of one transaction, as the platform allows.
_MOST_ROWS = 32
_NO_LEASE = 0


class StoreEndBoard:
    """Write ends under a lease, so that they go with nobody to take them away.

    One lease serves for half of its time: a crash then costs one call.
    """

    def __init__(self, store: PlatformStore, clock: Clock) -> None:
        """Hold no lease yet."""
        self._store = store
        self._clock = clock
        self._lease = _NO_LEASE
        self._lease_until = float()

    @property
    def most(self) -> int:
        """Give how many ends one call may carry."""
        return _MOST_ROWS

    async def write(self, share: Sequence[End], drop: Sequence[End]) -> None:
        """Write some ends and take away others, all or none."""
        lease = await self._held() if share else _NO_LEASE
        try:
            await self._store.write(
                {end_key(end): b'' for end in share},
                [end_key(end) for end in drop],
                lease,
            )
        except StoreError as exc:
            if exc.code == LEASE_GONE:
                self._lease = _NO_LEASE
            raise

    async def _held(self) -> int:
        now = self._clock.now()
        if not self._lease or now >= self._lease_until:
            self._lease = await self._store.lease(FORGOTTEN_S)
            self._lease_until = now + FORGOTTEN_S / 2
        return self._lease


class EndFeed:
    """Take in the ends that entries share."""

    def __init__(
        self,
        crashes: Crashes,
        clock: Clock,
        ignored: Ignored | None = None,
        gone: Callable[[End], None] | None = None,
    ) -> None:
        """Keep them as the store has them; tell which are taken away."""
        self._gone = gone or _tell_nobody
        self._crashes = crashes
        self._clock = clock
        self._ignored = ignored or Ignored()

    def replaced(self, found: Snapshot) -> None:
        """Take in all of them; one that nobody saw come counts from now."""
        now = self._clock.now()
        ends = []
        for key, record in found.records.items():
            end = self._read(key, record)
            if end is not None:
                age_s = found.ages.get(key, math.inf)
                ends.append((end, now - _known_s(age_s)))
        self._crashes.replaced(ends)

    def changed(self, changes: tuple[Change, ...]) -> None:
        """Take in changes, in order."""
        now = self._clock.now()
        for change in changes:
            end = self._read(change.key, change.record)
            if end is None:
                continue
            if change.record is None:
                self._crashes.withdrawn(end)
                self._gone(end)
            else:
                at = now - _known_s(change.age_s)
                self._crashes.ended(end, at, shared=True)

    def _read(self, key: str, record: Record | None) -> End | None:
        found = _KEY.fullmatch(key)
        if found is not None:
            return End(found[1], found[2])
        if record is not None:
            exc = ConfigError('end-malformed', key)
            self._ignored.note(key, record, exc)
        return None


def _known_s(age_s: float) -> float:
    """Give an age as it counts: what nobody saw come counts from now."""
    return age_s if math.isfinite(age_s) else 0


def _tell_nobody(end: End) -> None:
    """Nobody here takes ends away."""


def end_key(end: End) -> str:
    """Give the key under which an end stands."""
    return f'{records.END_PREFIX}{end.likeness}/{end.incarnation_id}'
