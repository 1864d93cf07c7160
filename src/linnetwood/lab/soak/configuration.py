"""The numbered configurations that a soak test writes."""

import dataclasses

from linnetwood.lab.soak.history import HOST, KEY
from linnetwood.lab.soak.movedroutes import (
    PLAIN_SERVICES,
    MovedRoute,
    moved_routes,
)
from linnetwood.lab.soak.standservers import CHUNK_BYTES, CHUNKS, MODEL

FIRST_PATHS = frozenset(('/confirm/x', '/lookup/x'))
ADDED_PREFIX = '/only-'
# Each configuration also has the routes and keys of this many earlier ones.
KEPT_ROUTES = 3
_MILLISECONDS = 1000
_TIMEOUT_MS = 6000
# Shorter than callers wait: the timeout of every other numbered route.
_SHORT_TIMEOUT_MS = 1500
_TARGET_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """What configurations of the same number may differ in."""

    # The time after which an idle connection is closed; 0 for the default.
    idle_ms: int = 0
    # Whether streams go to the service that has engines.
    has_engines: bool = True
    # Whether routes move between the plain services.
    moves: bool = False
    # The number of routes that only make a configuration large.
    bulk: int = 0

    @property
    def plain(self) -> tuple[str, ...]:
        """Return the plain services."""
        return PLAIN_SERVICES if self.moves else PLAIN_SERVICES[:1]

    def moved(self, number: int) -> list[MovedRoute]:
        """Return the routes that move, as they are in a configuration."""
        return list(moved_routes(number)) if self.moves else []


def configuration(
    number: int, origin: str, variant: Variant
) -> dict[str, object]:
    """Return a configuration with a route of its own number."""
    streams_to = 'pool' if variant.has_engines else 'empty'
    limits = {'idle_timeout_ms': variant.idle_ms} if variant.idle_ms else {}
    first = max(1, number - KEPT_ROUTES)
    kept = range(first, number + 1)
    prefixes = [f'{ADDED_PREFIX}{one}/' for one in kept]
    prefixes.extend(f'/bulk-{one}/' for one in range(variant.bulk))
    numbered_routes = [_route(one, 'idempotent', 'desk') for one in prefixes]
    keys = [KEY, *map(numbered_key, kept)]
    return {
        'version': number,
        'routes': [
            {
                **_route('/chat/', 'streaming', streams_to),
                'target_gap_ms': _TARGET_MS,
            },
            _route('/confirm/', 'non_idempotent', 'desk'),
            _route('/lookup/', 'idempotent', 'desk'),
            *numbered_routes,
            *(
                {**_route(prefix, 'idempotent', service), 'host': host}
                for host, prefix, service in variant.moved(number)
            ),
        ],
        'services': [
            {
                'name': 'pool',
                'connection_limit': 100,
                'engine': {
                    'slots': 8,
                    'step_ms': 30,
                    'read_per_s': 20000,
                    'models': [{'name': MODEL}],
                    'layers': CHUNKS,
                    'chunks': CHUNKS,
                    'chunk_bytes': CHUNK_BYTES,
                },
            },
            *(
                {'name': name, 'connection_limit': 100}
                for name in variant.plain
            ),
            {'name': 'empty', 'connection_limit': 100},
            {
                'name': 'weights',
                'origin': origin,
                'link_mbps': 100.0,
                'connection_limit': 48,
            },
        ],
        'limits': limits,
        'tenants': [{'name': 't-1', 'api_keys': keys, 'priority': 1}],
    }


def numbered_key(number: int) -> str:
    """Return the key that a configuration adds."""
    return f'added-{number}'


def timeout_s(path: str) -> float:
    """Return the timeout of the route of a path."""
    number = path.partition(ADDED_PREFIX)[2].partition('/')[0]
    is_short = bool(number) and int(number) % 2
    timeout_ms = _SHORT_TIMEOUT_MS if is_short else _TIMEOUT_MS
    return timeout_ms / _MILLISECONDS


def _route(prefix: str, kind: str, service: str) -> dict[str, object]:
    return dict(
        name=prefix,
        host=HOST,
        path_prefix=prefix,
        kind=kind,
        timeout_ms=int(timeout_s(prefix) * _MILLISECONDS),
        target_latency_ms=_TARGET_MS,
        priority=1,
        service=service,
        max_attempts=2,
        public=False,
        stream_resumption=kind == 'streaming',
    )
