"""What all handlers of callers' requests at an entry have in common."""

from types import MappingProxyType, TracebackType
from typing import Any, Protocol

from tornado.web import HTTPError, RequestHandler

from linnetwood.calls.admission import AdmissionRequest
from linnetwood.calls.callersockets import UNCHUNKED_VERSION
from linnetwood.calls.dispatch import Dispatcher
from linnetwood.calls.routing import Routes
from linnetwood.calls.slowreaders import READER_STALL_S
from linnetwood.core.clock import Clock
from linnetwood.core.events import Event, log
from linnetwood.core.failures import failure_fields
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.outcomes import Code, Ending, Outcome, not_run
from linnetwood.core.traces import Tracer
from linnetwood.gen.schema.ttypes import Deployment
from linnetwood.wire.rawsockets import reset_on_close

OUTCOME_HEADER = 'X-Linnetwood-Outcome'
CODE_HEADER = 'X-Linnetwood-Code'
_BAD_REQUEST_STATUS = 400
_NOT_FOUND_STATUS = 404
_UNAVAILABLE_STATUS = 503
_BAD_GATEWAY_STATUS = 502
_MILLISECONDS = 1000
_STATUSES = MappingProxyType(
    {
        Code.BAD_REQUEST.value: _BAD_REQUEST_STATUS,
        Code.KEY_MALFORMED.value: _BAD_REQUEST_STATUS,
        Code.UNKNOWN_TARGET.value: _NOT_FOUND_STATUS,
    },
)


class AdmissionGate(Protocol):
    """Admit calls and count those in flight."""

    async def enter(self, request: AdmissionRequest) -> Ending | None:
        """Wait for a slot; return an ending if none is free in time."""

    def leave(self, request: AdmissionRequest, took_s: float) -> None:
        """Release the slot."""


class HandlerContext:
    """The objects that all handlers share."""

    __slots__ = (
        'active_calls',
        'clock',
        'deployment',
        'dispatcher',
        'gate',
        'leaving',
        'metrics',
        'routes',
        'stall_s',
        'timeout_s',
        'traces',
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        routes: Routes,
        gate: AdmissionGate,
        clock: Clock,
        metrics: Metrics,
        timeout_s: float,
        traces: Tracer,
    ) -> None:
        """Start with an empty deployment."""
        self.dispatcher = dispatcher
        self.routes = routes
        self.gate = gate
        self.clock = clock
        self.metrics = metrics
        self.timeout_s = timeout_s
        self.traces = traces
        self.deployment = Deployment()
        # Calls that were read whole and have not ended, admitted or not.
        self.active_calls = 0
        # The entry stops, so callers should open connections elsewhere.
        self.leaving = False
        # Seconds after which a caller that takes nothing is cut off.
        self.stall_s = READER_STALL_S


class BaseHandler(RequestHandler):
    """Refuse calls, and tell truthfully of those that errors end."""

    def initialize(self, context: HandlerContext) -> None:
        """Keep the shared context."""
        self.context = context
        self.call_id = ''

    def data_received(self, chunk: bytes) -> None:
        """Ignore streamed bodies, which are not enabled."""

    def compute_etag(self) -> None:
        """Add no ETag to the back end's headers."""

    def set_default_headers(self) -> None:
        """Drop tornado's own headers."""
        self.clear_header('Server')
        self.clear_header('Content-Type')
        self.clear_header('Date')

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Close the connection of an answer that an error cut short.

        Tornado would finish it, so that it would look complete.
        """
        if self.headers_written and not self._finished:
            self.close_connection()
        super().send_error(status_code, **kwargs)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write the outcome of a call that an unexpected error ended."""
        exc = kwargs.get('exc_info', (None, None, None))[1]
        if exc is None or isinstance(exc, HTTPError):
            super().write_error(status_code, **kwargs)
        else:
            self.end_unanswered(self.failure())

    def log_exception(
        self,
        typ: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Log an unexpected error without its text, which may be private."""
        if exc is None or isinstance(exc, HTTPError):
            super().log_exception(typ, exc, trace)
            return
        fields = failure_fields(exc)
        ending = self.failure()
        self.count(ending)
        answer = 'cut' if self.headers_written else outcome_name(ending)
        log(Event.CALL_FAILED, call=self.call_id, answer=answer, **fields)
        metrics = self.context.metrics
        metrics.count(Metric.CALLS_FAILED, kind=str(fields['error']))

    def failure(self) -> Ending:
        """Return the ending of a call that an unexpected error ended."""
        return not_run(Code.INTERNAL)

    def count(self, ending: Ending) -> None:
        """Count nothing, since this is no call."""

    def close_connection(self) -> None:
        """Close the connection, so that the answer can't look complete."""
        stream = self.request.connection.stream  # type: ignore[union-attr]
        if self.request.version == UNCHUNKED_VERSION and not stream.closed():
            reset_on_close(stream.socket.fileno())
        stream.close()

    def end_connection(self) -> None:
        """Let the caller close the connection if the entry stops."""
        if self.context.leaving:
            self.set_header('Connection', 'close')

    @property
    def is_taken(self) -> bool:
        """Return whether the caller's socket has taken all that was written."""
        stream = self.request.connection.stream  # type: ignore[union-attr]
        return not (stream.closed() or stream.writing())

    @property
    def headers_written(self) -> bool:
        """Return whether the status was sent to the caller."""
        return self._headers_written

    def end_unanswered(self, ending: Ending) -> None:
        """Write the outcome of a call that has no answer."""
        outcome = outcome_name(ending)
        fallback = (
            _UNAVAILABLE_STATUS if outcome == 'not-run' else _BAD_GATEWAY_STATUS
        )
        self.set_status(_STATUSES.get(ending.code, fallback))
        self.set_header(OUTCOME_HEADER, outcome)
        self.set_header(CODE_HEADER, ending.code)
        if outcome == 'not-run':
            seconds = max(1, round(ending.retry_after_ms / _MILLISECONDS))
            self.set_header('Retry-After', str(seconds))
        self.set_header('Content-Type', 'application/json')
        self.end_connection()
        self.finish(
            {'outcome': outcome, 'code': ending.code, 'detail': ending.detail},
        )


def outcome_name(ending: Ending) -> str:
    """Return the name that callers see of an outcome without an answer."""
    return 'not-run' if ending.outcome == Outcome.NOT_RUN else 'unknown'
