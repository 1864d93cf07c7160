"""Decode the records of operators and servers in the platform's store."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from linnetwood.calls.directory import Endpoint
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.prioritylevels import PriorityLevels, rank_priorities
from linnetwood.calls.routetable import (
    CallLimits,
    Organisation,
    Origin,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
    index_by_host,
)
from linnetwood.core.errors import ConfigError
from linnetwood.fleet.ranges import Record
from linnetwood.platform import tables, validation
from linnetwood.platform.settings import address

# The range of all records.
WHOLE_STORE = ''
OPERATOR_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
VERSION_PREFIX = 'op/version/'
# The key names the zone; the value is not used.
EVACUATE_PREFIX = 'op/evacuate/'
ENDPOINT_PREFIX = 'servers/'
# Records of entries: a call fingerprint and an incarnation digest, both in hex.
CRASH_PREFIX = 'ends/'

_MILLISECONDS = 1000
_MEGABIT_BYTES = 125000
_STREAMING = 'streaming'
_REPEATABLE = 'idempotent'
# Without them, calls need no key and may be served anywhere.
_RESTRICTING_FIELDS = frozenset(('tenants', 'allowed_regions'))


def config(record: Record) -> RouteTable:
    """Decode the operator's configuration, or raise ConfigError."""
    parsed = validation.parse(
        record.payload, tables.CONFIG, 'config-malformed', _without_nulls
    )
    for one in parsed['routes']:
        if not (one.get('traffic_split') or one.get('service')):
            raise ConfigError('config-malformed', f'no service: {one["name"]}')
    return _config(parsed, record.revision)


def stated_version(record: Record) -> int:
    """Return the version that a record states, -1 for none.

    The record may be invalid: this takes a sixth of the time of decoding it.
    """
    try:
        found = validation.parse(
            record.payload, tables.STATED_VERSION, 'version-malformed'
        )
    except ConfigError:
        return -1
    return int(found['version'])


def named_version(record: Record) -> tuple[str, int]:
    """Decode a named version of a model, or raise ConfigError."""
    parsed = validation.parse(
        record.payload, tables.VERSION, 'version-malformed'
    )
    return parsed['model'], int(parsed['version'])


def endpoint(key: str, record: Record) -> Endpoint:
    """Decode a server's record, or raise ConfigError."""
    parsed = validation.parse(
        record.payload, tables.ENDPOINT, 'endpoint-malformed'
    )
    name = key.removeprefix(ENDPOINT_PREFIX)
    if not validation.is_header_text(name):
        raise ConfigError('endpoint-malformed', f'the id is {name!r}')
    return _endpoint(name, parsed)


def _without_nulls(found: dict[str, Any]) -> dict[str, Any]:
    """Treat null as a missing field, where that lifts no restriction."""
    if None not in found.values():
        return found
    return {
        name: one
        for name, one in found.items()
        if one is not None or name in _RESTRICTING_FIELDS
    }


def _endpoint(name: str, parsed: Mapping[str, Any]) -> Endpoint:
    host, port = address(parsed['address'])
    return Endpoint(
        endpoint_id=name,
        service=parsed['service'],
        host=host,
        port=port,
        zone=parsed['zone'],
        slots=parsed['slots'],
        ready=parsed['state'] == tables.READY,
        cold_s=parsed['cold_remaining_ms'] / _MILLISECONDS,
        versions={
            one['name']: one['version'] for one in parsed.get('models', ())
        },
        # Optional; without it the incarnation is unknown.
        born=parsed.get('born', 0),
    )


def _config(parsed: Mapping[str, Any], revision: int) -> RouteTable:
    tenants = parsed.get('tenants')
    organisations = dict(_organisations_by_key(tenants or ()))
    routes = [_route(one) for one in parsed['routes']]
    return RouteTable(
        revision=revision,
        version=int(parsed.get('version', 0)),
        by_host=index_by_host(routes),
        services={
            one['name']: _service(one, routes, organisations)
            for one in parsed['services']
            if 'origin' not in one
        },
        organisations=None if tenants is None else organisations,
        limits=_limits(parsed.get('limits', {})),
        origin=next(_origins(parsed['services']), Origin()),
    )


def _route(parsed: Mapping[str, Any]) -> Route:
    kind = parsed['kind']
    streams = kind == _STREAMING
    repeat = Repeat.MAY if kind == _REPEATABLE else Repeat.NEVER
    if streams and parsed.get('stream_resumption'):
        repeat = Repeat.RESUME
    return Route(
        name=parsed['name'],
        host=parsed['host'],
        prefix=parsed['path_prefix'],
        repeat=repeat,
        streams=streams,
        timeout_s=parsed['timeout_ms'] / _MILLISECONDS,
        target_s=parsed.get('target_latency_ms', 0) / _MILLISECONDS,
        gap_s=parsed.get('target_gap_ms', 0) / _MILLISECONDS,
        attempts=int(parsed.get('max_attempts', 1)),
        priority=int(parsed.get('priority', 0)),
        public=bool(parsed.get('public')),
        shares=_shares(parsed),
        regions=tuple(parsed.get('allowed_regions', ())),
    )


def _shares(parsed: Mapping[str, Any]) -> tuple[Share, ...]:
    """Return one service, or those of the list that have a weight."""
    split = parsed.get('traffic_split')
    if not split:
        return (Share(parsed['service'], 1),)
    shares = [Share(one['service'], float(one['weight'])) for one in split]
    weighted = [share for share in shares if share.weight]
    # Without any weight the services share the calls evenly.
    return tuple(weighted or [Share(one.service, 1) for one in shares])


def _priority_levels(
    service: str,
    routes: Iterable[Route],
    organisations: Mapping[str, Organisation],
) -> PriorityLevels:
    return rank_priorities(
        (one.priority for one in organisations.values()),
        (
            route.priority
            for route in routes
            if any(share.service == service for share in route.shares)
        ),
    )


def _service(
    parsed: Mapping[str, Any],
    routes: Iterable[Route],
    organisations: Mapping[str, Organisation],
) -> Service:
    figures = parsed.get('engine')
    name = parsed['name']
    return Service(
        name=name,
        connection_limit=int(parsed.get('connection_limit', 1)),
        engine=_engine(figures) if figures else None,
        cold_per_s=parsed.get('cold_per_s', 0),
        cold_start_s=parsed.get('cold_start_s', 0),
        # Only engines order the calls that wait.
        levels=_priority_levels(name, routes, organisations)
        if figures
        else PriorityLevels(),
    )


def _engine(parsed: Mapping[str, Any]) -> EngineProfile:
    defaults = parsed.get('usual', {})
    return EngineProfile(
        slots=int(parsed['slots']),
        step_s=parsed['step_ms'] / _MILLISECONDS,
        step_s_per_call=parsed.get('per_seq_ms', 0) / _MILLISECONDS,
        step_s_per_k_context=parsed.get('context_per_k', 0) / _MILLISECONDS,
        prefill_tokens_per_s=float(parsed['read_per_s']),
        attention_s_per_m_pairs=parsed.get('pairs_per_m', 0) / _MILLISECONDS,
        steps_per_pass=int(parsed.get('stride', 1)),
        typical_prompt_tokens=int(defaults.get('prompt', 0)),
        typical_answer_tokens=int(defaults.get('answer', 0)),
        kv_tokens=int(parsed.get('kv_capacity_tokens', 0)),
        # Names are sent to other processes, and no endpoint holds another one.
        models=tuple(
            filter(
                validation.is_header_text,
                (one['name'] for one in parsed.get('models', ())),
            )
        ),
        layers=int(parsed.get('layers', 1)),
        chunks=int(parsed.get('chunks', 0)),
        chunk_bytes=int(parsed.get('chunk_bytes', 0)),
        report_lag_s=parsed.get('report_lag_ms', 0) / _MILLISECONDS,
        delays={
            # The second zone of a pair is in a field named for a version.
            (one['source'], one['target_version']): (
                one['delay_ms'] / _MILLISECONDS
            )
            for one in parsed.get('delays', ())
        },
    )


def _origins(services: list[dict[str, Any]]) -> Iterator[Origin]:
    for parsed in services:
        origin_address = parsed.get('origin')
        if origin_address:
            host, port = address(origin_address)
            yield Origin(
                host,
                port,
                float(parsed.get('link_mbps', 0)) * _MEGABIT_BYTES,
                int(parsed.get('connection_limit', 1)),
            )


def _organisations_by_key(
    tenants: Iterable[dict[str, Any]],
) -> Iterator[tuple[str, Organisation]]:
    for one in tenants:
        holder = Organisation(
            one['name'],
            int(one.get('priority', 0)),
            tuple(one.get('allowed_regions', ())),
        )
        for key in one.get('api_keys', ()):
            yield key, holder


def _limits(parsed: Mapping[str, Any]) -> CallLimits:
    defaults = CallLimits()
    return CallLimits(
        int(parsed.get('max_header_bytes', defaults.header_bytes)),
        int(parsed.get('max_body_bytes', defaults.body_bytes)),
        parsed.get('header_timeout_ms', 0) / _MILLISECONDS or defaults.header_s,
        parsed.get('idle_timeout_ms', 0) / _MILLISECONDS or defaults.idle_s,
    )
