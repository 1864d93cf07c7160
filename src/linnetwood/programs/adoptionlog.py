"""Log which configuration an entry adopts, and what that changes for calls."""

import itertools
from collections.abc import Mapping

from linnetwood.calls.logfields import MAX_LOGGED_CHARS
from linnetwood.calls.routetable import RouteTable
from linnetwood.calls.tablechanges import (
    NO_CHANGES,
    TableChanges,
    compare_tables,
)
from linnetwood.core.events import Event, log, log_warning
from linnetwood.fleet.revisions import era_of, number_of

# Places that changed are named up to this number.
_MAX_NAMES = 4


def log_adopted(
    found: RouteTable,
    before: RouteTable,
    news: Mapping[str, object],
) -> TableChanges:
    """Log an adoption, and return what it changes for calls.

    The first one changes nothing for them. It is a warning where calls lose the
    service that they had, or their access. `news` says which way the
    configuration came, and how old it is.
    """
    changes = compare_tables(before, found)
    names: list[str] = []
    write = log
    if before.revision:
        names = list(itertools.islice(changes.named(), _MAX_NAMES))
        write = log_warning if changes.is_felt else log
    write(
        Event.ROUTES_ADOPTED,
        **_versions(found, before, news),
        **changes.counts(),
        **_size(found),
        changed=[name[:MAX_LOGGED_CHARS] for name in names],
    )
    return changes if before.revision else NO_CHANGES


def log_older(
    found: RouteTable, in_force: RouteTable, news: Mapping[str, object]
) -> None:
    """Log a configuration that has no effect."""
    log(
        Event.ROUTES_OLDER,
        **_versions(found, in_force, news),
        **_size(found),
    )


def _versions(
    found: RouteTable, before: RouteTable, news: Mapping[str, object]
) -> dict[str, object]:
    return {
        'version': found.version,
        'before': before.version,
        **news,
    }


def _size(found: RouteTable) -> dict[str, object]:
    return {
        'revision': number_of(found.revision),
        'era': era_of(found.revision),
        'routes': sum(map(len, found.by_host.values())),
    }
