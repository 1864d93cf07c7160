"""Decode what the operator and the servers write to the platform's store."""

from collections.abc import Iterator, Mapping
from typing import Any

from linnetwood.calls.directory import Endpoint
from linnetwood.calls.engine import EngineProfile
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
from linnetwood.platform import checked, tables
from linnetwood.platform.settings import address

# One range holds what the operators and the servers write.
WHOLE_STORE = ''
OPERATOR_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
VERSION_PREFIX = 'op/version/'
# The key names the zone; what stands under it tells nothing more.
EVACUATE_PREFIX = 'op/evacuate/'
ENDPOINT_PREFIX = 'servers/'
# What entries write themselves: a call fingerprint and an incarnation digest,
# both in hex.
CRASH_PREFIX = 'ends/'

_MILLISECONDS = 1000
_MEGABIT_BYTES = 125000
_STREAMING = 'streaming'
_REPEATABLE = 'idempotent'


def config(record: Record) -> RouteTable:
    """Decode the operator's configuration, or raise ConfigError."""
    said = checked.read(record.payload, tables.CONFIG, 'config-malformed')
    for one in said['routes']:
        if not (one.get('traffic_split') or one.get('service')):
            raise ConfigError('config-malformed', f'no service: {one["name"]}')
    return _config(said, record.revision)


def named_version(record: Record) -> tuple[str, int]:
    """Decode a named version of a model, or raise ConfigError."""
    said = checked.read(record.payload, tables.VERSION, 'version-malformed')
    return said['model'], said['version']


def endpoint(key: str, record: Record) -> Endpoint:
    """Decode a server's entry, or raise ConfigError."""
    said = checked.read(record.payload, tables.ENDPOINT, 'endpoint-malformed')
    return _endpoint(key.removeprefix(ENDPOINT_PREFIX), said)


def _endpoint(name: str, said: Mapping[str, Any]) -> Endpoint:
    host, port = address(said['address'])
    return Endpoint(
        endpoint_id=name,
        service=said['service'],
        host=host,
        port=port,
        zone=said['zone'],
        slots=said['slots'],
        ready=said['state'] == tables.READY,
        cold_s=said['cold_remaining_ms'] / _MILLISECONDS,
        versions={
            one['name']: one['version'] for one in said.get('models', ())
        },
        # A record without it is valid, but its incarnation is unknown.
        born=said.get('born', 0),
    )


def _config(said: Mapping[str, Any], revision: int) -> RouteTable:
    tenants = said.get('tenants')
    return RouteTable(
        revision=revision,
        version=int(said.get('version', 0)),
        by_host=index_by_host(_route(one) for one in said['routes']),
        services={
            one['name']: _service(one)
            for one in said['services']
            if 'origin' not in one
        },
        organisations=None if tenants is None else dict(_keys(tenants)),
        limits=_limits(said.get('limits', {})),
        origin=next(_origins(said['services']), Origin()),
    )


def _route(said: Mapping[str, Any]) -> Route:
    kind = said['kind']
    streams = kind == _STREAMING
    repeat = Repeat.MAY if kind == _REPEATABLE else Repeat.NEVER
    if streams and said.get('stream_resumption'):
        repeat = Repeat.RESUME
    # One service, or a table of services with weights, never both.
    split = said.get('traffic_split') or [
        {'service': said['service'], 'weight': 1},
    ]
    return Route(
        name=said['name'],
        host=said['host'],
        prefix=said['path_prefix'],
        repeat=repeat,
        streams=streams,
        timeout_s=said['timeout_ms'] / _MILLISECONDS,
        target_s=said.get('target_latency_ms', 0) / _MILLISECONDS,
        gap_s=said.get('target_gap_ms', 0) / _MILLISECONDS,
        attempts=int(said.get('max_attempts', 1)),
        priority=int(said.get('priority', 0)),
        public=bool(said.get('public')),
        shares=tuple(
            Share(one['service'], float(one['weight'])) for one in split
        ),
        regions=tuple(said.get('allowed_regions', ())),
    )


def _service(said: Mapping[str, Any]) -> Service:
    figures = said.get('engine')
    return Service(
        name=said['name'],
        connection_limit=int(said.get('connection_limit', 1)),
        engine=_engine(figures) if figures else None,
        cold_per_s=said.get('cold_per_s', 0),
        cold_start_s=said.get('cold_start_s', 0),
    )


def _engine(said: Mapping[str, Any]) -> EngineProfile:
    usual = said.get('usual', {})
    return EngineProfile(
        slots=int(said['slots']),
        step_s=said['step_ms'] / _MILLISECONDS,
        step_s_per_call=said.get('per_seq_ms', 0) / _MILLISECONDS,
        step_s_per_k_context=said.get('context_per_k', 0) / _MILLISECONDS,
        prefill_tokens_per_s=float(said['read_per_s']),
        attention_s_per_m_pairs=said.get('pairs_per_m', 0) / _MILLISECONDS,
        steps_per_pass=int(said.get('stride', 1)),
        typical_prompt_tokens=int(usual.get('prompt', 0)),
        typical_answer_tokens=int(usual.get('answer', 0)),
        kv_tokens=int(said.get('kv_capacity_tokens', 0)),
        models=tuple(one['name'] for one in said.get('models', ())),
        layers=int(said.get('layers', 1)),
        chunks=int(said.get('chunks', 0)),
        chunk_bytes=int(said.get('chunk_bytes', 0)),
        report_lag_s=said.get('report_lag_ms', 0) / _MILLISECONDS,
        delays={
            # The second zone of a pair stands in the field of a version.
            (one['source'], one['target_version']): (
                one['delay_ms'] / _MILLISECONDS
            )
            for one in said.get('delays', ())
        },
    )


def _origins(services: list[dict[str, Any]]) -> Iterator[Origin]:
    for said in services:
        place = said.get('origin')
        if place:
            host, port = address(place)
            yield Origin(
                host,
                port,
                float(said.get('link_mbps', 0)) * _MEGABIT_BYTES,
                int(said.get('connection_limit', 1)),
            )


def _keys(tenants: list[dict[str, Any]]) -> Iterator[tuple[str, Organisation]]:
    for one in tenants:
        holder = Organisation(
            one['name'],
            int(one.get('priority', 0)),
            tuple(one.get('allowed_regions', ())),
        )
        for key in one.get('api_keys', ()):
            yield key, holder


def _limits(said: Mapping[str, Any]) -> CallLimits:
    usual = CallLimits()
    return CallLimits(
        int(said.get('max_header_bytes', usual.header_bytes)),
        int(said.get('max_body_bytes', usual.body_bytes)),
        said.get('header_timeout_ms', 0) / _MILLISECONDS or usual.header_s,
        said.get('idle_timeout_ms', 0) / _MILLISECONDS or usual.idle_s,
    )
