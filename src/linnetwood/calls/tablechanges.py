"""What changed between two configurations of routes; no I/O."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Final

from linnetwood.calls.routetable import Organisation, Route, RouteTable

# The host and the prefix of a route: what calls are placed by.
Place = tuple[str, str]

ADDED: Final = 'added'
DROPPED: Final = 'dropped'
MOVED: Final = 'moved'
ALTERED: Final = 'altered'
KEY_ADDED: Final = 'key-added'
KEY_DROPPED: Final = 'key-dropped'
KEY_ALTERED: Final = 'key-altered'
# What takes most from callers comes first.
_KINDS: Final = (DROPPED, MOVED, ADDED, ALTERED)
_KEY_KINDS: Final = (KEY_DROPPED, KEY_ADDED, KEY_ALTERED)
# Calls that an older configuration would still serve, or serve elsewhere.
_FELT: Final = (DROPPED, MOVED, KEY_DROPPED)


@dataclasses.dataclass(frozen=True, slots=True)
class TableChanges:
    """The places and the keys that changed, and in which way."""

    places: Mapping[Place, str]
    keys: Mapping[str, str]

    @property
    def is_felt(self) -> bool:
        """Return whether calls may lose their service or their access."""
        kinds = {*self.places.values(), *self.keys.values()}
        return not kinds.isdisjoint(_FELT)

    def counts(self) -> dict[str, int]:
        """Return how many places and keys changed in each way."""
        kinds = [*self.places.values(), *self.keys.values()]
        return {
            kind.replace('-', 's_'): kinds.count(kind)
            for kind in (*_KINDS, *_KEY_KINDS)
        }

    def named(self) -> Iterator[str]:
        """Yield the places that changed, dropped and moved ones first."""
        for kind in _KINDS:
            for (host, prefix), found in self.places.items():
                if found == kind:
                    yield f'{kind} {host}{prefix}'


NO_CHANGES: Final = TableChanges({}, {})


def compare_tables(before: RouteTable, after: RouteTable) -> TableChanges:
    """Return what changed from one configuration to another."""
    return TableChanges(
        dict(_place_changes(_by_place(before), _by_place(after))),
        dict(
            _key_changes(before.organisations or {}, after.organisations or {})
        ),
    )


def _by_place(route_table: RouteTable) -> dict[Place, Route]:
    found: dict[Place, Route] = {}
    for host, routes in route_table.by_host.items():
        for route in routes:
            # Calls get the first of several.
            found.setdefault((host, route.prefix), route)
    return found


def _place_changes(
    before: Mapping[Place, Route], after: Mapping[Place, Route]
) -> Iterator[tuple[Place, str]]:
    for place, route in after.items():
        previous = before.get(place)
        if previous is None:
            yield place, ADDED
        elif previous != route:
            yield place, _difference(previous, route)
    for place in before.keys() - after.keys():
        yield place, DROPPED


def _difference(before: Route, after: Route) -> str:
    served_by = {share.service for share in before.shares}
    is_same = served_by == {share.service for share in after.shares}
    return ALTERED if is_same else MOVED


def _key_changes(
    before: Mapping[str, Organisation], after: Mapping[str, Organisation]
) -> Iterator[tuple[str, str]]:
    for key in before.keys() | after.keys():
        if key not in before:
            yield key, KEY_ADDED
        elif key not in after:
            yield key, KEY_DROPPED
        elif before[key] != after[key]:
            yield key, KEY_ALTERED
