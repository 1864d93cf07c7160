"""The fields of what stands in the platform's store, and their types."""

from linnetwood.platform import checked

READY = 'ready'
_DRAINING = 'draining'
_OPTIONAL = False
# Fields that stand in several tables.
_NAME = checked.text('name')
_VERSION_HELD = checked.whole('version')
_SERVICE_NAME = checked.text('service')

MODELS = checked.rows(
    'models',
    (_NAME, _VERSION_HELD),
    needed=_OPTIONAL,
)
ENDPOINT = (
    _SERVICE_NAME,
    checked.place('address'),
    checked.text('zone'),
    checked.text('version'),
    checked.whole('slots', 1),
    checked.one_of('state', READY, _DRAINING),
    checked.number('cold_remaining_ms'),
    checked.whole('sequence'),
    checked.text('stage', needed=_OPTIONAL),
    MODELS,
    checked.whole('born', needed=_OPTIONAL),
)
VERSION = (checked.text('model'), checked.whole('version', 1))
_REGIONS = checked.texts('allowed_regions', needed=_OPTIONAL)
_ROUTE = (
    _NAME,
    checked.text('host'),
    checked.text('path_prefix'),
    checked.text('kind'),
    checked.number('timeout_ms', above=0),
    checked.number('target_latency_ms', needed=_OPTIONAL),
    checked.number('target_gap_ms', needed=_OPTIONAL),
    checked.whole('max_attempts', needed=_OPTIONAL),
    checked.whole('priority', needed=_OPTIONAL),
    checked.flag('public', needed=_OPTIONAL),
    checked.flag('stream_resumption', needed=_OPTIONAL),
    checked.text(_SERVICE_NAME.name, needed=_OPTIONAL),
    checked.rows(
        'traffic_split',
        (_SERVICE_NAME, checked.number('weight')),
        needed=_OPTIONAL,
    ),
    _REGIONS,
)
_DELAY = (
    checked.text('source'),
    checked.text('target_version'),
    checked.number('delay_ms'),
)
_USUAL = (
    checked.number('prompt', needed=_OPTIONAL),
    checked.number('answer', needed=_OPTIONAL),
)
_ENGINE = (
    checked.whole('slots', 1),
    checked.number('step_ms'),
    checked.number('read_per_s', above=0),
    checked.number('per_seq_ms', needed=_OPTIONAL),
    checked.number('context_per_k', needed=_OPTIONAL),
    checked.number('pairs_per_m', needed=_OPTIONAL),
    checked.whole('stride', 1, needed=_OPTIONAL),
    checked.table('usual', _USUAL, needed=_OPTIONAL),
    checked.number('kv_capacity_tokens', needed=_OPTIONAL),
    checked.rows('models', (_NAME,), needed=_OPTIONAL),
    checked.whole('layers', 1, needed=_OPTIONAL),
    checked.whole('chunks', needed=_OPTIONAL),
    checked.whole('chunk_bytes', needed=_OPTIONAL),
    checked.number('report_lag_ms', needed=_OPTIONAL),
    checked.rows('delays', _DELAY, needed=_OPTIONAL),
)
_SERVICE = (
    _NAME,
    checked.whole('connection_limit', needed=_OPTIONAL),
    checked.number('link_mbps', needed=_OPTIONAL),
    checked.number('cold_start_s', needed=_OPTIONAL),
    checked.number('cold_per_s', needed=_OPTIONAL),
    checked.place('origin', needed=_OPTIONAL),
    checked.table('engine', _ENGINE, needed=_OPTIONAL),
)
_LIMITS = (
    checked.whole('max_header_bytes', 1, needed=_OPTIONAL),
    checked.whole('max_body_bytes', 1, needed=_OPTIONAL),
    checked.number('header_timeout_ms', needed=_OPTIONAL),
    checked.number('idle_timeout_ms', needed=_OPTIONAL),
)
_TENANT = (
    _NAME,
    checked.whole('priority', needed=_OPTIONAL),
    checked.texts('api_keys', needed=_OPTIONAL),
    _REGIONS,
)
CONFIG = (
    _VERSION_HELD,
    checked.rows('routes', _ROUTE),
    checked.rows('services', _SERVICE),
    checked.table('limits', _LIMITS, needed=_OPTIONAL),
    checked.rows('tenants', _TENANT, needed=_OPTIONAL),
)
