"""Apply the contents of the platform's store to the product's state."""

import dataclasses
import functools
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Protocol

from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.routetable import RouteTable
from linnetwood.core.clock import Clock
from linnetwood.core.errors import ConfigError
from linnetwood.core.events import Event, log
from linnetwood.core.failures import failures_logged, log_failure
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.revisions import number_of
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform import records
from linnetwood.platform.crashstore import CrashFeed
from linnetwood.platform.ignored import IgnoredRecords

_NO_REGIONS: Mapping[str, str] = MappingProxyType({})


def _evacuate_none(zones: frozenset[str]) -> None:
    """Do nothing by default."""


class OperatorFeed:
    """Apply configurations, named versions and evacuations."""

    def __init__(
        self,
        adopt: Callable[[RouteTable], None],
        wanted: WantedVersions,
        clock: Clock,
        changed: Callable[[], None],
        ignored: IgnoredRecords | None = None,
        evacuate: Callable[[frozenset[str]], None] = _evacuate_none,
    ) -> None:
        """Call `adopt`, `changed` and `evacuate` with what was written."""
        self._ignored = ignored or IgnoredRecords()
        self._evacuate = evacuate
        self._evacuated: frozenset[str] = frozenset()
        self._adopt = adopt
        self._wanted = wanted
        self._clock = clock
        self._changed = changed
        self._first = True
        self._held: dict[str, Record] = {}

    def replace_all(self, found: Snapshot) -> None:
        """Apply all records of the operators."""
        # A record without an age that was not there before is new, but a copy
        # may hold one of any age.
        unseen_s = math.inf if self._first or found.is_restored else 0
        for key, record in found.records.items():
            is_known = self._is_known(key, record)
            default_s = math.inf if is_known else unseen_s
            self._apply_record(key, record, found.ages.get(key, default_s))
        if self._first or not found.is_restored:
            # A copy may lack an evacuation, or its end, that operators are
            # about to write again: what is in force stays so until then.
            self._set_evacuated(
                frozenset(filter(None, map(_evacuated_zone, found.records)))
            )
        self._first = False

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changed records, of each key the newest valid one.

        That is the last one, unless one before it has a higher version: a write
        may be done late, or a second time.
        """
        applied: dict[str, float] = {}
        for change in reversed(changes):
            if _is_newer(change, applied.get(change.key, -math.inf)):
                version = self._apply_change(change)
                if version is not None:
                    applied[change.key] = version

    def apply_retained(self, changes: tuple[Change, ...]) -> None:
        """Apply records that the store lost and that others keep in force."""
        for change in changes:
            zone = _evacuated_zone(change.key)
            if zone:
                self._set_evacuated(self._evacuated | {zone})
            elif change.record is not None:
                self._apply_record(change.key, change.record, change.age_s)

    def _apply_change(self, change: Change) -> float | None:
        """Return the version of the change, or None if it has no effect.

        It is infinite where no earlier change of the key has any effect.
        """
        zone = _evacuated_zone(change.key)
        if zone:
            zones = self._evacuated - {zone}
            self._set_evacuated(zones | {zone} if change.record else zones)
            return math.inf
        if change.record is None:
            return None
        return self._apply_record(change.key, change.record, change.age_s)

    def _is_known(self, key: str, record: Record) -> bool:
        held = self._held.get(key)
        return held is not None and held.payload == record.payload

    def _set_evacuated(self, zones: frozenset[str]) -> None:
        if zones != self._evacuated:
            log(Event.ZONES_EVACUATED, zones=sorted(zones))
            self._evacuated = zones
            self._evacuate(zones)

    def _apply_record(
        self, key: str, record: Record, age_s: float
    ) -> float | None:
        """Apply a record; return its version, or None if it is invalid."""
        is_known = self._is_known(key, record)
        if is_known and self._held[key].revision != record.revision:
            # It was written again, as after the store was restored: that is not
            # when it was named.
            age_s = math.inf
        self._held[key] = record
        try:
            version = self._decode(key, record, age_s)
        except ConfigError as exc:
            # The previous valid record stays in force.
            self._ignored.record_ignored(key, record, exc)
            return None
        self._changed()
        return version

    def _decode(self, key: str, record: Record, age_s: float) -> float:
        """Put a record in force; return its version, infinity for none."""
        if key == records.CONFIG_KEY:
            route_table = records.config(record)
            self._adopt(route_table)
            return route_table.version
        if key.startswith(records.VERSION_PREFIX):
            model, version = records.named_version(record)
            # Nobody saw when it was named, so its bound may be near. Endpoint
            # processes that saw it report the time.
            guessed = math.isinf(age_s)
            if guessed:
                age_s = self._wanted.assumed_age_s
            since = self._clock.now() - age_s
            if self._wanted.add_named(model, version, since, guessed=guessed):
                log(
                    Event.VERSION_NAMED,
                    model=model,
                    version=version,
                    revision=number_of(record.revision),
                )
            return version
        return math.inf


class RecordFeed(Protocol):
    """Receive the records under one prefix."""

    def replace_all(self, found: Snapshot) -> None:
        """Replace all records."""

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changes in order."""


class StoreFeed:
    """Distribute one range, since each waiting call to the store costs."""

    def __init__(
        self,
        operator: OperatorFeed,
        endpoints: 'EndpointFeed',
        crashes: CrashFeed,
    ) -> None:
        """Pass each record to the feed of its prefix."""
        self._operator = operator
        self._endpoints = endpoints
        self._feeds: tuple[tuple[str, RecordFeed], ...] = (
            (records.OPERATOR_PREFIX, operator),
            (records.ENDPOINT_PREFIX, endpoints),
            (records.CRASH_PREFIX, crashes),
        )

    def replace_all(self, found: Snapshot) -> None:
        """Apply all records of the store."""
        for prefix, feed in self._feeds:
            _replace_all(feed, _under_prefix(found, prefix))

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changes in order."""
        for prefix, feed in self._feeds:
            changed = _changes_under(prefix, changes)
            if changed:
                _apply_all(feed, changed)

    def apply_retained(self, changes: tuple[Change, ...]) -> None:
        """Apply what operators wrote and a restored store lost."""
        for change in changes:
            with failures_logged(change.key):
                self._operator.apply_retained((change,))

    def mark_unreachable(self) -> None:
        """Keep endpoints for a time whose records are missing from now on."""
        self._endpoints.mark_unreachable()


class EndpointFeed:
    """Apply the records of servers."""

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        changed: Callable[[], None],
        ignored: IgnoredRecords | None = None,
        regions: Mapping[str, str] = _NO_REGIONS,
    ) -> None:
        """Update the directory; `regions` maps zones to regions."""
        self._ignored = ignored or IgnoredRecords()
        self._regions = regions
        self._directory = directory
        self._clock = clock
        self._changed = changed

    def replace_all(self, found: Snapshot) -> None:
        """Replace the list of endpoints."""
        on_malformed = functools.partial(self._discard_malformed, found.records)
        fresh = {
            one.endpoint_id: self._with_region(one, _age_s(one, found))
            for one in endpoints(found, on_malformed)
        }
        self._directory.replace_all(
            fresh, self._clock.now(), is_restored=found.is_restored
        )
        self._changed()

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changes in order."""
        for change in changes:
            self._change(change)
        self._changed()

    def mark_unreachable(self) -> None:
        """Keep endpoints for a time whose records are missing from now on."""
        self._directory.note_outage(self._clock.now())

    def _change(self, change: Change) -> None:
        if change.record is None:
            name = change.key.removeprefix(records.ENDPOINT_PREFIX)
            log(Event.ENDPOINT_GONE, endpoint=name)
            self._directory.mark_removed(name, self._clock.now())
            return
        try:
            one = records.endpoint(change.key, change.record)
        except ConfigError as exc:
            self._discard_malformed(
                {change.key: change.record}, change.key, exc
            )
            return
        log(
            Event.ENDPOINT_LISTED,
            endpoint=one.endpoint_id,
            service=one.service,
            address=f'{one.host}:{one.port}',
            ready=one.ready,
            versions=dict(one.versions),
            born=one.born,
            revision=number_of(change.record.revision),
        )
        age_s = _known_age_s(change.age_s)
        self._directory.update(self._with_region(one, age_s))

    def _with_region(self, one: Endpoint, age_s: float) -> Endpoint:
        """Add the region, and record how long the endpoint is still cold."""
        if one.cold_s > age_s:
            until = self._clock.now() + one.cold_s - age_s
            self._directory.mark_cold(one.incarnation_id, until)
        region = self._regions.get(one.zone, '')
        return dataclasses.replace(one, region=region)

    def _discard_malformed(
        self,
        found: Mapping[str, Record],
        key: str,
        exc: ConfigError,
    ) -> None:
        """Discard the endpoint of a key whose record is malformed."""
        self._ignored.record_ignored(key, found[key], exc)
        self._directory.discard(key.removeprefix(records.ENDPOINT_PREFIX))


def endpoints(
    found: Snapshot,
    on_malformed: Callable[[str, ConfigError], None] | None = None,
) -> Iterator[Endpoint]:
    """Yield endpoints with valid records; call `on_malformed` for others."""
    for key, record in found.records.items():
        try:
            yield records.endpoint(key, record)
        except ConfigError as exc:
            if on_malformed is not None:
                on_malformed(key, exc)


def _replace_all(feed: RecordFeed, found: Snapshot) -> None:
    """Replace all records; after an error, apply them one by one."""
    try:
        feed.replace_all(found)
    except Exception as exc:
        log_failure(type(feed).__name__, exc)
        _apply_each(
            feed,
            (
                Change(key, record, found.ages.get(key, math.inf))
                for key, record in found.records.items()
            ),
        )


def _apply_all(feed: RecordFeed, changes: tuple[Change, ...]) -> None:
    """Apply changes together; after an error, one by one."""
    try:
        feed.apply_changes(changes)
    except Exception as exc:
        log_failure(type(feed).__name__, exc)
        _apply_each(feed, changes)


def _apply_each(feed: RecordFeed, changes: Iterable[Change]) -> None:
    """Apply changes, so that one that raises an error keeps back no other."""
    for change in changes:
        with failures_logged(change.key):
            feed.apply_changes((change,))


def _age_s(one: Endpoint, found: Snapshot) -> float:
    """Return the age of a record, or 0 if it is not known."""
    key = f'{records.ENDPOINT_PREFIX}{one.endpoint_id}'
    return _known_age_s(found.ages.get(key, math.inf))


def _known_age_s(age_s: float) -> float:
    """Return an age, or 0 if it is not known."""
    return age_s if math.isfinite(age_s) else 0


def _is_newer(change: Change, version: float) -> bool:
    """Return whether a change may have a higher version than a later one."""
    if math.isinf(version):
        return version < 0
    record = change.record
    return record is not None and records.stated_version(record) > version


def _evacuated_zone(key: str) -> str:
    """Return the zone that a key evacuates, or an empty text."""
    prefix = records.EVACUATE_PREFIX
    return key.removeprefix(prefix) if key.startswith(prefix) else ''


def _changes_under(
    prefix: str, changes: tuple[Change, ...]
) -> tuple[Change, ...]:
    return tuple(one for one in changes if one.key.startswith(prefix))


def _under_prefix(found: Snapshot, prefix: str) -> Snapshot:
    kept = {
        key: one for key, one in found.records.items() if key.startswith(prefix)
    }
    return dataclasses.replace(found, records=kept)
