"""Counters, histograms and gauges that a collector scrapes as text."""

from collections.abc import Callable
from types import MappingProxyType

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from linnetwood.core.metrics import Metric

# From a step of an engine to the longest wait of callers, in milliseconds.
_BUCKETS_MS = (10, 25, 50, 75, 100, 150, 200, 300, 400, 600, 1000, 2000, 6000)
# The label of each counter that has one, as in docs/METRICS.md.
_LABELS = MappingProxyType(
    {
        Metric.CALLS_REFUSED: 'code',
        Metric.CALLS_FAILED: 'error',
        Metric.ATTEMPTS_ENDED: 'how',
        Metric.ANSWERS_TOO_LARGE: 'bound',
        Metric.STREAMS_SILENT: 'decision',
        Metric.ATTEMPTS_AT_VERSION: 'version',
        Metric.CONNECTIONS_CLOSED: 'listener',
    },
)


class ExposedMetrics:
    """Hold the metrics of this process for collectors."""

    def __init__(self) -> None:
        """Start at zero, in a registry of its own."""
        self._registry = CollectorRegistry()
        self._counters: dict[Metric, Counter] = {}
        self._histograms: dict[Metric, Histogram] = {}

    def count(self, metric: Metric, amount: int = 1, kind: str = '') -> None:
        """Add to a counter, under the label value `kind` if it has a label."""
        counter = self._counters.get(metric)
        if counter is None:
            labels = (_LABELS[metric],) if metric in _LABELS else ()
            counter = Counter(
                _name(metric),
                metric.value,
                labels,
                registry=self._registry,
            )
            self._counters[metric] = counter
        (counter.labels(kind) if metric in _LABELS else counter).inc(amount)

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Record one duration."""
        histogram = self._histograms.get(metric)
        if histogram is None:
            histogram = Histogram(
                _name(metric),
                metric.value,
                buckets=_BUCKETS_MS,
                registry=self._registry,
            )
            self._histograms[metric] = histogram
        histogram.observe(milliseconds)

    def gauge(self, metric: Metric, read: Callable[[], float]) -> None:
        """Read a gauge's value whenever the metrics are scraped."""
        gauge = Gauge(_name(metric), metric.value, registry=self._registry)
        gauge.set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _name(metric: Metric) -> str:
    return f'linnetwood_{metric.value.replace(".", "_")}'
