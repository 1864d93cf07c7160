"""Hand what the platform's store holds to the product's own state."""

import math
from collections.abc import Callable, Iterator

from linnetwood.calls.directory import Directory, Listed
from linnetwood.calls.routebook import RouteBook
from linnetwood.core.clock import Clock
from linnetwood.core.errors import ConfigError
from linnetwood.core.events import Event, log
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform import records


class OperatorFeed:
    """Take in configurations and named versions."""

    def __init__(
        self,
        adopt: Callable[[RouteBook], None],
        wanted: WantedVersions,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        """Tell of each configuration, and of each change."""
        self._adopt = adopt
        self._wanted = wanted
        self._clock = clock
        self._changed = changed
        self._first = True
        self._revisions: dict[str, int] = {}

    def replaced(self, found: Snapshot) -> None:
        """Take in everything that the operators wrote."""
        for key, record in found.records.items():
            # What nobody saw come, and was not there before, came just now.
            known = self._first or self._revisions.get(key) == record.revision
            unseen_s = math.inf if known else 0
            self._take(key, record, found.ages.get(key, unseen_s))
        self._first = False

    def changed(self, changes: tuple[Change, ...]) -> None:
        """Take in what they wrote since; of one key only the last counts."""
        newest = {one.key: one for one in changes}
        for key, change in newest.items():
            if change.record is not None:
                self._take(key, change.record, change.age_s)

    def _take(self, key: str, record: Record, age_s: float) -> None:
        self._revisions[key] = record.revision
        try:
            self._read(key, record, age_s)
        except ConfigError as exc:
            _log_ignored(key, record, exc)
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
                age_s = self._wanted.bound_s / 2
            since = self._clock.now() - age_s
            if self._wanted.name(model, version, since, guessed=guessed):
                log(
                    Event.VERSION_NAMED,
                    model=model,
                    version=version,
                    revision=record.revision,
                )


class StoreFeed:
    """Split one range over the whole store: each waiting call is paid for."""

    def __init__(
        self, operator: OperatorFeed, endpoints: 'EndpointFeed'
    ) -> None:
        """Hand each record to the feed of its prefix."""
        self._operator = operator
        self._endpoints = endpoints

    def replaced(self, found: Snapshot) -> None:
        """Take in everything that the store holds."""
        self._operator.replaced(_part(found, records.OPERATOR_PREFIX))
        self._endpoints.replaced(_part(found, records.ENDPOINT_PREFIX))

    def changed(self, changes: tuple[Change, ...]) -> None:
        """Take in changes, in order."""
        operator = records.OPERATOR_PREFIX
        endpoint = records.ENDPOINT_PREFIX
        written = tuple(one for one in changes if one.key.startswith(operator))
        listed = tuple(one for one in changes if one.key.startswith(endpoint))
        if written:
            self._operator.changed(written)
        if listed:
            self._endpoints.changed(listed)

    def away(self) -> None:
        """Doubt that what goes missing now is gone."""
        self._endpoints.away()


class EndpointFeed:
    """Take in the servers' entries."""

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        """Keep the directory as the platform has it."""
        self._directory = directory
        self._clock = clock
        self._changed = changed

    def replaced(self, found: Snapshot) -> None:
        """Take in the whole list."""
        fresh = {one.endpoint: one for one in endpoints(found)}
        self._directory.replaced(fresh, self._clock.now())
        self._changed()

    def changed(self, changes: tuple[Change, ...]) -> None:
        """Take in changes, in order."""
        for change in changes:
            self._change(change)
        self._changed()

    def away(self) -> None:
        """Doubt that what goes missing now is gone."""
        self._directory.list_away(self._clock.now())

    def _change(self, change: Change) -> None:
        if change.record is None:
            name = change.key.removeprefix(records.ENDPOINT_PREFIX)
            log(Event.ENDPOINT_GONE, endpoint=name)
            self._directory.dropped(name, self._clock.now())
            return
        one = _decoded(change.key, change.record)
        if one is None:
            return
        log(
            Event.ENDPOINT_LISTED,
            endpoint=one.endpoint,
            service=one.service,
            address=f'{one.host}:{one.port}',
            ready=one.ready,
            versions=dict(one.versions),
            revision=change.record.revision,
        )
        self._directory.listed(one)


def endpoints(found: Snapshot) -> Iterator[Listed]:
    """Yield the entries of endpoints that can be read."""
    for key, record in found.records.items():
        one = _decoded(key, record)
        if one is not None:
            yield one


def _part(found: Snapshot, prefix: str) -> Snapshot:
    kept = {
        key: one for key, one in found.records.items() if key.startswith(prefix)
    }
    return Snapshot(kept, found.revision, found.ages)


def _decoded(key: str, record: Record) -> Listed | None:
    try:
        return records.endpoint(key, record)
    except ConfigError as exc:
        _log_ignored(key, record, exc)
        return None


def _log_ignored(key: str, record: Record, exc: ConfigError) -> None:
    log(
        Event.ITEM_IGNORED,
        key=key,
        revision=record.revision,
        code=exc.code,
        detail=exc.detail,
    )
