"""A span for each hop, with the W3C trace context propagated."""

import pathlib
from typing import Any, Protocol


class Span(Protocol):
    """One hop of one call."""

    @property
    def traceparent(self) -> str:
        """Return the trace context for the next hop."""

    def end(self, **attributes: str) -> None:
        """End the span and set its attributes."""


class Tracer(Protocol):
    """Start spans."""

    def span(self, name: str, traceparent: str) -> Span:
        """Start a span under a caller's context, which may be empty."""

    def close(self) -> None:
        """Write the remaining spans."""


class _UnrecordedSpan:
    """A span that is not recorded."""

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def end(self, **attributes: str) -> None:
        """Record nothing."""


class NoTraces:
    """Propagate the caller's context unchanged."""

    def span(self, name: str, traceparent: str) -> Span:
        """Return a span that is not recorded."""
        return _UnrecordedSpan(traceparent)

    def close(self) -> None:
        """Do nothing."""


class _RecordedSpan:
    """Wrap one OpenTelemetry span."""

    def __init__(self, span: Any, carrier: dict[str, str]) -> None:
        self._span = span
        self._carrier = carrier

    @property
    def traceparent(self) -> str:
        """Return this span's own trace context."""
        return self._carrier.get('traceparent', '')

    def end(self, **attributes: str) -> None:
        """End the span."""
        self._span.set_attributes(attributes)
        self._span.end()


class FileTraces:
    """Record spans with OpenTelemetry as JSON lines in a file."""

    def __init__(self, path: str, vm: str) -> None:
        """Import the SDK only here, since it takes several MB of memory."""
        from opentelemetry import propagate, trace  # noqa: PLC0415
        from opentelemetry.sdk.resources import Resource  # noqa: PLC0415
        from opentelemetry.sdk.trace import (
            TracerProvider,  # noqa: PLC0415
            export,  # noqa: PLC0415
        )

        self._stream = pathlib.Path(path).open('a', encoding='utf-8')
        exporter = export.ConsoleSpanExporter(
            out=self._stream,
            formatter=lambda span: f'{span.to_json(indent=None)}\n',
        )
        self._provider = TracerProvider(
            resource=Resource({'service.name': 'linnetwood', 'vm': vm}),
        )
        self._provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer('linnetwood')
        self._propagate = propagate
        self._trace = trace

    def span(self, name: str, traceparent: str) -> Span:
        """Start a span under the caller's context."""
        context = self._propagate.extract({'traceparent': traceparent})
        span = self._tracer.start_span(name, context=context)
        carrier: dict[str, str] = {}
        self._propagate.inject(carrier, self._trace.set_span_in_context(span))
        return _RecordedSpan(span, carrier)

    def close(self) -> None:
        """Write the remaining spans and close the file."""
        self._provider.shutdown()
        self._stream.close()


def open_traces(path: str, vm: str) -> Tracer:
    """Return a tracer for a file, or one that records nothing."""
    return FileTraces(path, vm) if path else NoTraces()
