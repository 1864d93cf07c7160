"""Hand what the platform's store holds to the product's own state."""

import dataclasses
import functools
import math
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.routetable import RouteTable
from linnetwood.core.clock import Clock
from linnetwood.core.errors import ConfigError
from linnetwood.core.events import Event, log
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform import records
from linnetwood.platform.crashstore import CrashFeed
from linnetwood.platform.ignored import Ignored

_NO_REGIONS: Mapping[str, str] = MappingProxyType({})


def _evacuate_none(zones: frozenset[str]) -> None:
    """Leave no zone alone."""


class OperatorFeed:
    """Take in configurations and named versions."""

    def __init__(
        self,
        adopt: Callable[[RouteTable], None],
        wanted: WantedVersions,
        clock: Clock,
        changed: Callable[[], None],
        ignored: Ignored | None = None,
        evacuate: Callable[[frozenset[str]], None] = _evacuate_none,
    ) -> None:
        """Tell of each configuration, of each change, and of evacuations."""
        self._ignored = ignored or Ignored()
        self._evacuate = evacuate
        self._evacuated: frozenset[str] = frozenset()
        self._adopt = adopt
        self._wanted = wanted
        self._clock = clock
        self._changed = changed
        self._first = True
        self._revisions: dict[str, int] = {}

    def replace_all(self, found: Snapshot) -> None:
        """Take in everything that the operators wrote."""
        for key, record in found.records.items():
            # What nobody saw come, and was not there before, came just now.
            known = self._first or self._revisions.get(key) == record.revision
            unseen_s = math.inf if known else 0
            self._take(key, record, found.ages.get(key, unseen_s))
        self._first = False
        self._leave_zones(frozenset(filter(None, map(_zone, found.records))))

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Take in what they wrote since; of one key only the last counts."""
        newest = {one.key: one for one in changes}
        for key, change in newest.items():
            zone = _zone(key)
            if zone:
                zones = self._evacuated - {zone}
                self._leave_zones(zones | {zone} if change.record else zones)
            elif change.record is not None:
                self._take(key, change.record, change.age_s)

    def _leave_zones(self, zones: frozenset[str]) -> None:
        if zones != self._evacuated:
            log(Event.ZONES_EVACUATED, zones=sorted(zones))
            self._evacuated = zones
            self._evacuate(zones)

    def _take(self, key: str, record: Record, age_s: float) -> None:
        self._revisions[key] = record.revision
        try:
            self._read(key, record, age_s)
        except ConfigError as exc:
            # What was sound before stays in force.
            self._ignored.note(key, record, exc)
            return
        self._changed()

    def _read(self, key: str, record: Record, age_s: float) -> None:
        if key == records.CONFIG_KEY:
            self._adopt(records.config(record))
        elif key.startswith(records.VERSION_PREFIX):
            model, version = records.named_version(record)
            # One that nobody saw come may be nearly due; the endpoint processes
            # know better, and tell.
            guessed = math.isinf(age_s)
            if guessed:
                age_s = self._wanted.assumed_age_s
            since = self._clock.now() - age_s
            if self._wanted.add_named(model, version, since, guessed=guessed):
                log(
                    Event.VERSION_NAMED,
                    model=model,
                    version=version,
                    revision=record.revision,
                )


class StoreFeed:
    """Split one range over the whole store: each waiting call is paid for."""

    def __init__(
        self,
        operator: OperatorFeed,
        endpoints: 'EndpointFeed',
        crashes: CrashFeed,
    ) -> None:
        """Hand each record to the feed of its prefix."""
        self._operator = operator
        self._endpoints = endpoints
        self._crashes = crashes

    def replace_all(self, found: Snapshot) -> None:
        """Take in everything that the store holds."""
        self._operator.replace_all(_part(found, records.OPERATOR_PREFIX))
        self._endpoints.replace_all(_part(found, records.ENDPOINT_PREFIX))
        self._crashes.replace_all(_part(found, records.CRASH_PREFIX))

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Take in changes, in order."""
        written = _under(records.OPERATOR_PREFIX, changes)
        listed = _under(records.ENDPOINT_PREFIX, changes)
        ended = _under(records.CRASH_PREFIX, changes)
        if written:
            self._operator.apply_changes(written)
        if listed:
            self._endpoints.apply_changes(listed)
        if ended:
            self._crashes.apply_changes(ended)

    def mark_unreachable(self) -> None:
        """Doubt that what goes missing now is gone."""
        self._endpoints.mark_unreachable()


class EndpointFeed:
    """Take in the servers' entries."""

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        changed: Callable[[], None],
        ignored: Ignored | None = None,
        regions: Mapping[str, str] = _NO_REGIONS,
    ) -> None:
        """Keep the directory as the platform has it; regions are by zone."""
        self._ignored = ignored or Ignored()
        self._regions = regions
        self._directory = directory
        self._clock = clock
        self._changed = changed

    def replace_all(self, found: Snapshot) -> None:
        """Take in the whole list."""
        spoilt = functools.partial(self._spoilt, found.records)
        fresh = {
            one.endpoint_id: self._placed(one, _age_s(one, found))
            for one in endpoints(found, spoilt)
        }
        self._directory.replace_all(fresh, self._clock.now())
        self._changed()

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Take in changes, in order."""
        for change in changes:
            self._change(change)
        self._changed()

    def mark_unreachable(self) -> None:
        """Doubt that what goes missing now is gone."""
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
            self._spoilt({change.key: change.record}, change.key, exc)
            return
        log(
            Event.ENDPOINT_LISTED,
            endpoint=one.endpoint_id,
            service=one.service,
            address=f'{one.host}:{one.port}',
            ready=one.ready,
            versions=dict(one.versions),
            born=one.born,
            revision=change.record.revision,
        )
        self._directory.update(self._placed(one, change.age_s))

    def _placed(self, one: Endpoint, age_s: float) -> Endpoint:
        """Add the region, and note for how long it is cold yet."""
        if one.cold_s > age_s:
            until = self._clock.now() + one.cold_s - age_s
            self._directory.mark_cold(one.incarnation_id, until)
        region = self._regions.get(one.zone, '')
        return dataclasses.replace(one, region=region)

    def _spoilt(
        self,
        found: Mapping[str, Record],
        key: str,
        exc: ConfigError,
    ) -> None:
        """Use nothing that stood under the key: nobody vouches for it."""
        self._ignored.note(key, found[key], exc)
        self._directory.discard(key.removeprefix(records.ENDPOINT_PREFIX))


def endpoints(
    found: Snapshot,
    spoilt: Callable[[str, ConfigError], None] | None = None,
) -> Iterator[Endpoint]:
    """Yield the entries of endpoints that can be read; tell of the others."""
    for key, record in found.records.items():
        try:
            yield records.endpoint(key, record)
        except ConfigError as exc:
            if spoilt is not None:
                spoilt(key, exc)


def _age_s(one: Endpoint, found: Snapshot) -> float:
    """Give since when an entry stands, as far as anybody saw it come."""
    age_s = found.ages.get(f'{records.ENDPOINT_PREFIX}{one.endpoint_id}', 0)
    return age_s if math.isfinite(age_s) else 0


def _zone(key: str) -> str:
    """Give the zone that a key evacuates, or nothing."""
    prefix = records.EVACUATE_PREFIX
    return key.removeprefix(prefix) if key.startswith(prefix) else ''


def _under(prefix: str, changes: tuple[Change, ...]) -> tuple[Change, ...]:
    return tuple(one for one in changes if one.key.startswith(prefix))


def _part(found: Snapshot, prefix: str) -> Snapshot:
    kept = {
        key: one for key, one in found.records.items() if key.startswith(prefix)
    }
    return Snapshot(kept, found.revision, found.ages)
