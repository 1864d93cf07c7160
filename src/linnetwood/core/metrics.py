"""Counters and timings sent by statsd; docs/METRICS.md says what each means."""

import enum
import socket
from typing import Protocol

import statsd

from linnetwood.core.events import Event, log


class Metric(enum.Enum):
    """Every metric that a program may send."""

    CALLS_ANSWERED = 'calls.answered'
    CALLS_NOT_RUN = 'calls.not_run'
    CALLS_UNKNOWN = 'calls.unknown'
    CALLS_RETRIED = 'calls.retried'
    FIRST_BYTE_MS = 'calls.first_byte_ms'
    READERS_STALLED = 'readers.stalled'
    ANSWERS_HELD_BYTES = 'answers.held_bytes'
    BODIES_HELD_BYTES = 'bodies.held_bytes'
    CALLS_REFUSED = 'calls.refused'
    CALLS_FAILED = 'calls.failed'
    ATTEMPTS_ENDED = 'attempts.ended'
    ANSWERS_TOO_LARGE = 'answers.too_large'
    STREAMS_SILENT = 'streams.silent'
    ATTEMPTS_AT_VERSION = 'attempts.at_version'
    FIRST_EVENT_MS = 'attempts.first_event_ms'
    PREDICTED_MS = 'attempts.predicted_ms'
    CHUNKS_RECEIVED = 'chunks.received'
    CHUNKS_BAD = 'chunks.bad'
    CHUNKS_REPEATED = 'chunks.repeated'
    ORIGIN_BYTES = 'origin.bytes'
    CONFIG_VERSION = 'config.version'
    STORE_AGE_S = 'store.age_s'
    STORE_ERA = 'store.era'
    SUSPECTS = 'crashes.suspects'
    RECORDS_IGNORED = 'records.ignored'
    VIEWS_STALE = 'views.stale'
    VIEW_STALE_S = 'view.stale_s'
    CALLS_ON_STALE_VIEW = 'calls.on_stale_view'
    CONNECTIONS_CLOSED = 'connections.closed'


class Metrics(Protocol):
    """Accept metrics; a failure never affects the caller."""

    def count(self, metric: Metric, amount: int = 1, kind: str = '') -> None:
        """Add to a counter, under the label value `kind` if it has a label."""

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Record one duration."""


class NoMetrics:
    """Drop every metric."""

    def count(self, metric: Metric, amount: int = 1, kind: str = '') -> None:
        """Drop the metric."""

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Drop the metric."""


class StatsdMetrics:
    """Send metrics in datagrams, which never block."""

    def __init__(self, host: str, port: int) -> None:
        """Send to one receiver, which may be absent."""
        self._client = statsd.StatsClient(host, port, prefix='linnetwood')

    def count(self, metric: Metric, amount: int = 1, kind: str = '') -> None:
        """Add to a counter, with `kind` as the last part of its name."""
        name = f'{metric.value}.{kind}' if kind else metric.value
        self._client.incr(name, amount)

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Record one duration."""
        self._client.timing(metric.value, milliseconds)


def open_metrics(host: str, port: int) -> Metrics:
    """Return metrics for a receiver, or ones that drop everything."""
    if not host:
        return NoMetrics()
    try:
        return StatsdMetrics(host, port)
    except socket.gaierror as exc:
        log(Event.METRICS_UNREACHABLE, host=host, detail=str(exc))
        return NoMetrics()
