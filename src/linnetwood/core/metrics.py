"""Counters and timings sent by statsd; docs/METRICS.md says what each means."""

import enum
import socket
from typing import Protocol

import statsd

from linnetwood.core.events import Event, log


class Metric(enum.Enum):
    """Every figure that a program may send."""

    CALLS_ANSWERED = 'calls.answered'
    CALLS_NOT_RUN = 'calls.not_run'
    CALLS_UNKNOWN = 'calls.unknown'
    CALLS_RETRIED = 'calls.retried'
    FIRST_BYTE_MS = 'calls.first_byte_ms'
    CALLS_REFUSED = 'calls.refused'
    ATTEMPTS_ENDED = 'attempts.ended'
    ATTEMPTS_AT_VERSION = 'attempts.at_version'
    FIRST_EVENT_MS = 'attempts.first_event_ms'
    PREDICTED_MS = 'attempts.predicted_ms'
    CHUNKS_RECEIVED = 'chunks.received'
    CHUNKS_BAD = 'chunks.bad'
    CHUNKS_REPEATED = 'chunks.repeated'
    ORIGIN_BYTES = 'origin.bytes'
    CONFIG_VERSION = 'config.version'
    STORE_AGE_S = 'store.age_s'
    RECORDS_IGNORED = 'records.ignored'


class Metrics(Protocol):
    """Take figures without ever failing the caller."""

    def count(self, metric: Metric, amount: int = 1, kind: str = '') -> None:
        """Add to a counter, or to the part of it that is of a kind."""

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Note one duration."""


class NoMetrics:
    """Drop every figure."""

    def count(self, metric: Metric, amount: int = 1, kind: str = '') -> None:
        """Drop."""

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Drop."""


class StatsdMetrics:
    """Send figures in datagrams, which never block."""

    def __init__(self, host: str, port: int) -> None:
        """Send to one receiver; its absence is not an error."""
        self._client = statsd.StatsClient(host, port, prefix='linnetwood')

    def count(self, metric: Metric, amount: int = 1, kind: str = '') -> None:
        """Add to a counter, under its kind if there is one."""
        name = f'{metric.value}.{kind}' if kind else metric.value
        self._client.incr(name, amount)

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Note one duration."""
        self._client.timing(metric.value, milliseconds)


def open_metrics(host: str, port: int) -> Metrics:
    """Give the sender for a receiver, or one that drops everything."""
    if not host:
        return NoMetrics()
    try:
        return StatsdMetrics(host, port)
    except socket.gaierror as exc:
        log(Event.METRICS_UNREACHABLE, host=host, detail=str(exc))
        return NoMetrics()
