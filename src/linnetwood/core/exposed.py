"""Counters, histograms and gauges that a collector fetches as text."""

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

# From a step of an engine to the longest that callers wait, in milliseconds.
_BUCKETS_MS = (10, 25, 50, 75, 100, 150, 200, 300, 400, 600, 1000, 2000, 6000)
# What each counter is told apart by; docs/METRICS.md lists the same.
_KINDS = MappingProxyType(
    {
        Metric.CALLS_REFUSED: 'code',
        Metric.ATTEMPTS_ENDED: 'how',
        Metric.ATTEMPTS_AT_VERSION: 'version',
    },
)


class ExposedMetrics:
    """Keep figures in this process, for whoever asks."""

    def __init__(self) -> None:
        """Begin at nought, in a registry of its own."""
        self._registry = CollectorRegistry()
        self._counters: dict[Metric, Counter] = {}
        self._histograms: dict[Metric, Histogram] = {}

    def count(self, metric: Metric, amount: int = 1, kind: str = '') -> None:
        """Add to a counter, or to the part of it that is of a kind."""
        counter = self._counters.get(metric)
        if counter is None:
            labels = (_KINDS[metric],) if metric in _KINDS else ()
            counter = Counter(
                _name(metric),
                metric.value,
                labels,
                registry=self._registry,
            )
            self._counters[metric] = counter
        (counter.labels(kind) if metric in _KINDS else counter).inc(amount)

    def timing(self, metric: Metric, milliseconds: float) -> None:
        """Note one duration."""
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
        """Tell a figure as it stands whenever somebody fetches."""
        gauge = Gauge(_name(metric), metric.value, registry=self._registry)
        gauge.set_function(read)

    def text(self) -> bytes:
        """Give all figures in the collectors' text format."""
        return generate_latest(self._registry)


def _name(metric: Metric) -> str:
    return f'linnetwood_{metric.value.replace(".", "_")}'
