"""Routes that each configuration moves between plain services; no I/O.

From number to number a route goes to another service, gets a longer route
beside it, loses the shorter one, changes its host, is dropped and added again.
"""

import itertools
from collections.abc import Iterator
from typing import Final, NamedTuple

from linnetwood.lab.soak.history import HOST

MOVED_PREFIX: Final = '/move-'
PLAIN_SERVICES: Final = ('desk', 'counter', 'annex')
_OTHER_HOST = 'moved.example'
_LONGER = 'a/'
# The routes of each stage: host, what follows the short prefix, and service.
_STAGES = (
    ((HOST, '', 'desk'),),
    ((HOST, '', 'counter'),),
    ((HOST, '', 'counter'), (HOST, _LONGER, 'annex')),
    ((HOST, _LONGER, 'desk'),),
    ((_OTHER_HOST, '', 'counter'),),
    (),
    ((HOST, '', 'annex'), (_OTHER_HOST, _LONGER, 'desk')),
)
# How many configurations each group of routes stays at a stage.
_PACES = (1, 1, 2, 3)


class MovedRoute(NamedTuple):
    """A route of a configuration."""

    host: str
    prefix: str
    service: str


class Target(NamedTuple):
    """What a probe calls."""

    host: str
    path: str


def moved_routes(number: int) -> Iterator[MovedRoute]:
    """Yield the routes of a configuration."""
    for group, pace in enumerate(_PACES):
        stage = number // pace + 2 * group
        for host, rest, service in _STAGES[stage % len(_STAGES)]:
            prefix = f'{MOVED_PREFIX}{group}/{rest}'
            yield MovedRoute(host, prefix, service)


def service_of(target: Target, number: int) -> str:
    """Return where a configuration sends a call, or '' if it has no route."""
    found = [
        (len(route.prefix), route.service)
        for route in moved_routes(number)
        if route.host == target.host and target.path.startswith(route.prefix)
    ]
    return max(found, default=(0, ''))[1]


def targets() -> list[Target]:
    """Return what probes call, in turn."""
    parts = itertools.product(
        (HOST, _OTHER_HOST), ('', _LONGER), range(len(_PACES))
    )
    return [
        Target(host, f'{MOVED_PREFIX}{group}/{rest}x')
        for host, rest, group in parts
    ]
