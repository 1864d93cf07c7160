"""The fields of the records in the platform's store, and their types."""

from linnetwood.platform import validation

READY = 'ready'
_DRAINING = 'draining'
_OPTIONAL = False
# Fields of several tables.
_NAME = validation.text('name')
_VERSION_HELD = validation.integer('version')
_SERVICE_NAME = validation.text('service')

# These are sent to other processes.
MODELS = validation.object_list(
    'models',
    (validation.header_text(_NAME.name), _VERSION_HELD),
    needed=_OPTIONAL,
)
ENDPOINT = (
    validation.header_text(_SERVICE_NAME.name),
    validation.address('address'),
    validation.header_text('zone'),
    validation.text('version'),
    validation.integer('slots', 1),
    validation.one_of('state', READY, _DRAINING),
    validation.number('cold_remaining_ms'),
    validation.integer('sequence'),
    validation.text('stage', needed=_OPTIONAL),
    MODELS,
    validation.integer('born', needed=_OPTIONAL),
)
# Of a configuration, or of a model.
STATED_VERSION = (validation.whole(_VERSION_HELD.name),)
VERSION = (validation.header_text('model'), validation.whole('version', 1))
_REGIONS = validation.text_list('allowed_regions', needed=_OPTIONAL)
_ROUTE = (
    _NAME,
    validation.text('host'),
    validation.text('path_prefix'),
    validation.text('kind'),
    validation.number('timeout_ms', above=0),
    validation.number('target_latency_ms', needed=_OPTIONAL),
    validation.number('target_gap_ms', needed=_OPTIONAL),
    validation.whole('max_attempts', needed=_OPTIONAL),
    validation.whole('priority', needed=_OPTIONAL),
    validation.boolean('public', needed=_OPTIONAL),
    validation.boolean('stream_resumption', needed=_OPTIONAL),
    validation.text(_SERVICE_NAME.name, needed=_OPTIONAL),
    validation.object_list(
        'traffic_split',
        (_SERVICE_NAME, validation.number('weight')),
        needed=_OPTIONAL,
    ),
    _REGIONS,
)
_DELAY = (
    validation.text('source'),
    validation.text('target_version'),
    validation.number('delay_ms'),
)
_USUAL = (
    validation.number('prompt', needed=_OPTIONAL),
    validation.number('answer', needed=_OPTIONAL),
)
_ENGINE = (
    validation.whole('slots', 1),
    validation.number('step_ms'),
    validation.number('read_per_s', above=0),
    validation.number('per_seq_ms', needed=_OPTIONAL),
    validation.number('context_per_k', needed=_OPTIONAL),
    validation.number('pairs_per_m', needed=_OPTIONAL),
    validation.whole('stride', 1, needed=_OPTIONAL),
    validation.nested('usual', _USUAL, needed=_OPTIONAL),
    validation.number('kv_capacity_tokens', needed=_OPTIONAL),
    validation.object_list('models', (_NAME,), needed=_OPTIONAL),
    validation.whole('layers', 1, needed=_OPTIONAL),
    validation.whole('chunks', needed=_OPTIONAL),
    validation.whole('chunk_bytes', needed=_OPTIONAL),
    validation.number('report_lag_ms', needed=_OPTIONAL),
    validation.object_list('delays', _DELAY, needed=_OPTIONAL),
)
_SERVICE = (
    _NAME,
    validation.whole('connection_limit', needed=_OPTIONAL),
    validation.number('link_mbps', needed=_OPTIONAL),
    validation.number('cold_start_s', needed=_OPTIONAL),
    validation.number('cold_per_s', needed=_OPTIONAL),
    validation.address('origin', needed=_OPTIONAL),
    validation.nested('engine', _ENGINE, needed=_OPTIONAL),
)
_LIMITS = (
    validation.whole('max_header_bytes', 1, needed=_OPTIONAL),
    validation.whole('max_body_bytes', 1, needed=_OPTIONAL),
    validation.number('header_timeout_ms', needed=_OPTIONAL),
    validation.number('idle_timeout_ms', needed=_OPTIONAL),
)
_TENANT = (
    validation.header_text(_NAME.name),
    validation.whole('priority', needed=_OPTIONAL),
    validation.text_list('api_keys', needed=_OPTIONAL),
    _REGIONS,
)
CONFIG = (
    validation.whole(_VERSION_HELD.name),
    validation.object_list('routes', _ROUTE),
    validation.object_list('services', _SERVICE),
    validation.nested('limits', _LIMITS, needed=_OPTIONAL),
    validation.object_list('tenants', _TENANT, needed=_OPTIONAL),
)
