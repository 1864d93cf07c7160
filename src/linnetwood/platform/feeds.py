"""Hand what the platform's store holds to the product's own state."""

from collections.abc import Callable, Mapping

from linnetwood.calls.directory import Directory, Listed
from linnetwood.calls.routebook import RouteBook
from linnetwood.core.clock import Clock
from linnetwood.core.errors import ConfigError
from linnetwood.core.events import Event, log
from linnetwood.fleet.following import Change, Item
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform import items


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

    def replaced(self, found: Mapping[str, Item]) -> None:
        """Take in everything that the operators wrote."""
        for key, item in found.items():
            self._take(key, item)
        self._first = False

    def changed(self, changes: tuple[Change, ...]) -> None:
        """Take in what they wrote since; of one key only the last counts."""
        newest = {one.key: one.item for one in changes}
        for key, item in newest.items():
            if item is not None:
                self._take(key, item)

    def away(self) -> None:
        """Go on with what is known."""

    def _take(self, key: str, item: Item) -> None:
        try:
            self._read(key, item)
        except ConfigError as exc:
            log(
                Event.ITEM_IGNORED,
                key=key,
                revision=item.revision,
                code=exc.code,
                detail=exc.detail,
            )
            return
        self._changed()

    def _read(self, key: str, item: Item) -> None:
        if key == items.CONFIG_KEY:
            self._adopt(items.config(item))
        elif key.startswith(items.VERSION_PREFIX):
            model, version = items.named_version(item)
            # One that stood before this process came may be nearly due.
            now = self._clock.now()
            since = now - self._wanted.bound_s / 2 if self._first else now
            if self._wanted.name(model, version, since):
                log(
                    Event.VERSION_NAMED,
                    model=model,
                    version=version,
                    revision=item.revision,
                )


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

    def replaced(self, found: Mapping[str, Item]) -> None:
        """Take in the whole list."""
        fresh: dict[str, Listed] = {}
        for key, item in found.items():
            one = _decoded(key, item)
            if one is not None:
                fresh[one.endpoint] = one
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
        if change.item is None:
            name = change.key.removeprefix(items.ENDPOINT_PREFIX)
            log(Event.ENDPOINT_GONE, endpoint=name)
            self._directory.dropped(name, self._clock.now())
            return
        one = _decoded(change.key, change.item)
        if one is None:
            return
        log(
            Event.ENDPOINT_LISTED,
            endpoint=one.endpoint,
            service=one.service,
            address=f'{one.host}:{one.port}',
            ready=one.ready,
            versions=dict(one.versions),
            revision=change.item.revision,
        )
        self._directory.listed(one)


def _decoded(key: str, item: Item) -> Listed | None:
    try:
        return items.endpoint(key, item)
    except ConfigError as exc:
        log(
            Event.ITEM_IGNORED,
            key=key,
            revision=item.revision,
            code=exc.code,
            detail=exc.detail,
        )
        return None
