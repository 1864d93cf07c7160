"""Log fields that name the route, organisation and priority of a call."""

from collections.abc import Sequence

from linnetwood.calls.configbasis import ConfigBasis
from linnetwood.calls.routetable import Organisation, Route
from linnetwood.fleet.revisions import era_of, number_of

# Values from callers and configurations are cut to this length in log lines.
MAX_LOGGED_CHARS = 120
_MAX_LOGGED_PARTS = 8


def logged_id(call_id: str) -> str:
    """Return a call id, which callers choose, cut to the logged length."""
    return call_id[:MAX_LOGGED_CHARS]


def call_fields(
    route: Route | None, organisation: Organisation | None
) -> dict[str, object]:
    """Return the route, its configured priority, and the organisation.

    The organisation of a call without a known API key is an empty string. A
    call without a known route has the organisation only.
    """
    name = '' if organisation is None else organisation.name
    named = {'organisation': name[:MAX_LOGGED_CHARS]}
    if route is None:
        return {**named}
    return {'route': route.name, **named, 'priority': route.priority}


def config_fields(basis: ConfigBasis) -> dict[str, object]:
    """Return the configuration that decides a call, and how old it is.

    `basis` sums the others up, for readers that cut lines.
    """
    return {
        'basis': _summary(basis),
        'config_version': basis.version,
        'config_revision': number_of(basis.revision),
        'config_era': era_of(basis.revision),
        'config_age_ms': basis.config_age_ms,
        'store_age_ms': basis.store_age_ms,
        'confirmed_by': basis.confirmed_by,
    }


def logged_parts(part_fingerprints: Sequence[str]) -> list[str]:
    """Return the first few fingerprints of a prompt's shared parts."""
    return list(part_fingerprints[:_MAX_LOGGED_PARTS])


def _summary(basis: ConfigBasis) -> str:
    revision = f'{number_of(basis.revision)}.{era_of(basis.revision)}'
    confirmed_by = basis.confirmed_by or 'nobody'
    ages_ms = f'{basis.store_age_ms}/{basis.config_age_ms}'
    return f'v{basis.version} r{revision} {confirmed_by} {ages_ms}'
