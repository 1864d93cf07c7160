"""HTTP handlers that an entry offers to callers."""

import asyncio
import dataclasses
import json
import re
import secrets
from collections.abc import Coroutine, Iterable
from types import MappingProxyType, TracebackType
from typing import Any, Protocol, TypeVar, cast

from tornado.httputil import HTTPConnection, HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.web import (
    Application,
    HTTPError,
    RequestHandler,
    stream_request_body,
)

from linnetwood.calls import keys
from linnetwood.calls.admission import AdmissionRequest
from linnetwood.calls.callersockets import PIECE_BYTES
from linnetwood.calls.dispatch import Call, Dispatcher, mint_key
from linnetwood.calls.routing import EndpointQuery, Routes
from linnetwood.calls.slowreaders import (
    MIN_HELD_UP_S,
    READER_STALL_S,
    report_stalled_reader,
)
from linnetwood.core.clock import Clock
from linnetwood.core.errors import CallError
from linnetwood.core.events import Event, log
from linnetwood.core.failures import failure_fields
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.outcomes import Code, Ending, Outcome, not_run, unknown
from linnetwood.core.sizes import MIB
from linnetwood.core.traces import Tracer
from linnetwood.fleet.placement import ENGINE_KIND
from linnetwood.gen.schema.ttypes import Deployment, Service
from linnetwood.gen.wire.ttypes import Head

OUTCOME_HEADER = 'X-Linnetwood-Outcome'
CODE_HEADER = 'X-Linnetwood-Code'
KEY_HEADER = 'X-Linnetwood-Key'
DEADLINE_HEADER = 'X-Deadline-Ms'
ORGANISATION_HEADER = 'X-Organisation'
PRIORITY_HEADER = 'X-Priority'
MAX_PRIORITY = 9
VERSION_HEADER = 'X-Model-Version'
MAX_BODY_BYTES = MIB
_MAX_KEYS = 100
_MAX_SHOWN_CHARS = 120
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_BAD_REQUEST_STATUS = 400
_NOT_FOUND_STATUS = 404
_UNAVAILABLE_STATUS = 503
_BAD_GATEWAY_STATUS = 502
_MILLISECONDS = 1000
# The name may be encoded.
_SERVICE_PREFIX = re.compile('/services/[^/?]+')
_STATUSES = MappingProxyType(
    {
        Code.BAD_REQUEST.value: _BAD_REQUEST_STATUS,
        Code.KEY_MALFORMED.value: _BAD_REQUEST_STATUS,
        Code.UNKNOWN_TARGET.value: _NOT_FOUND_STATUS,
    },
)

_EVENTS = MappingProxyType(
    {
        Outcome.NOT_RUN: Event.CALL_NOT_RUN,
        Outcome.UNKNOWN: Event.CALL_UNKNOWN,
    },
)
_Result = TypeVar('_Result')


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


class _BaseHandler(RequestHandler):
    def initialize(self, context: HandlerContext) -> None:
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
        self.request.connection.stream.close()  # type: ignore[union-attr]

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


class _AnswerWriter:
    """Write an endpoint's answer to the caller piece by piece."""

    def __init__(self, handler: '_CallHandler') -> None:
        self.begun = False
        self.gone = False
        # The caller took nothing for too long and was cut off.
        self.stalled = False
        self._waited_s = float()
        self._handler = handler

    @property
    def was_held_up(self) -> bool:
        """Return whether the endpoint may have cut off the unread answer."""
        return self._waited_s >= MIN_HELD_UP_S

    async def head(self, head: Head, key: str) -> None:
        """Write the status and the headers."""
        self.begun = True
        handler = self._handler
        handler.note_first_byte()
        handler.set_status(head.status)
        for line in head.headers:
            name, _, text = line.partition(':')
            handler.add_header(name.strip(), text.strip())
        if key:
            handler.set_header(KEY_HEADER, key)
        if head.version:
            handler.set_header(VERSION_HEADER, head.version)
        handler.end_connection()

    async def body(self, piece: bytes) -> None:
        """Write a piece and wait until the caller's socket accepts it.

        Raises StreamClosedError if the caller has left or takes nothing.
        """
        await self._write(piece[:PIECE_BYTES])
        for start in range(PIECE_BYTES, len(piece), PIECE_BYTES):
            await self._write(piece[start : start + PIECE_BYTES])

    async def _write(self, piece: bytes) -> None:
        handler = self._handler
        if handler.headers_written:
            connection = handler.request.connection
            written = cast(HTTPConnection, connection).write(piece)
        else:
            handler.write(piece)
            written = handler.flush()
        if written.done():
            # If the caller has gone, the write has failed already.
            written.result()
        else:
            await self._wait_for_reader(written, len(piece))

    async def _wait_for_reader(
        self, written: asyncio.Future[None], size: int
    ) -> None:
        clock = self._handler.context.clock
        began = clock.now()
        try:
            async with asyncio.timeout(self._handler.context.stall_s):
                await written
        except TimeoutError as exc:
            # The time may have passed while the loop was held up.
            if self._handler.is_taken:
                return
            self._cut_off(size, clock.now() - began)
            raise StreamClosedError(real_error=exc) from exc
        finally:
            self._waited_s += clock.now() - began

    def _cut_off(self, size: int, stalled_s: float) -> None:
        self.stalled = True
        handler = self._handler
        report_stalled_reader(
            handler.context.metrics, handler.call_id, size, stalled_s
        )
        handler.close_connection()


@stream_request_body
class _CallHandler(_BaseHandler):
    """Run one call and write its answer or its outcome.

    The body comes in pieces, since tornado would parse a whole one as a form
    and refuse it if it can't.
    """

    def initialize(self, context: HandlerContext) -> None:
        """Keep the shared context; no call is running yet."""
        super().initialize(context)
        self.received = bytearray()
        # An attempt may have been sent once the dispatcher has the call.
        self._is_dispatched = False
        self._is_caller_gone = False
        self._running_step: asyncio.Future[Any] | None = None

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self.received += chunk

    def on_connection_close(self) -> None:
        """Cancel the call when its caller disconnects."""
        super().on_connection_close()
        self._is_caller_gone = True
        if self._running_step is not None:
            self._running_step.cancel()

    async def run_call(self, call: Call) -> None:
        """Admit, dispatch and finish the call."""
        self.call_id = call.call_id
        self.context.active_calls += 1
        try:
            await self._run_and_finish(call)
        finally:
            self.context.active_calls -= 1

    def failure(self) -> Ending:
        """Return the ending of a call that an unexpected error ended."""
        if self._is_dispatched:
            return unknown(Code.INTERNAL)
        return super().failure()

    def finish_call(self, ending: Ending, answer: _AnswerWriter) -> None:
        """Finish a complete answer, or write why there is none."""
        self.count(ending)
        if ending.outcome == Outcome.ANSWERED:
            self.finish()
        elif answer.begun and self.headers_written:
            # The caller must notice that the answer is incomplete.
            self._log_ending(Event.CALL_CUT, ending)
            self.close_connection()
        else:
            self._log_ending(_EVENTS[ending.outcome], ending)
            self.clear()
            self.end_unanswered(ending)

    def note_first_byte(self) -> None:
        """Record how long the caller waited for the head of its answer."""
        waited_ms = self.request.request_time() * _MILLISECONDS
        self.context.metrics.timing(Metric.FIRST_BYTE_MS, waited_ms)

    def deadline(self) -> float:
        """Return the caller's deadline, at most the entry's own limit."""
        requested = self.request.headers.get(DEADLINE_HEADER, '')
        limit_s = self.context.timeout_s
        if requested.isdecimal():
            # Unlike int, float takes any number of digits.
            limit_s = min(limit_s, float(requested) / _MILLISECONDS)
        return self.context.clock.now() + limit_s

    def count(self, ending: Ending) -> None:
        """Count how the call ended."""
        metric = {
            Outcome.ANSWERED: Metric.CALLS_ANSWERED,
            Outcome.NOT_RUN: Metric.CALLS_NOT_RUN,
            Outcome.UNKNOWN: Metric.CALLS_UNKNOWN,
        }[ending.outcome]
        self.context.metrics.count(metric)

    def _log_ending(self, event: Event, ending: Ending) -> None:
        log(
            event,
            call=self.call_id,
            code=ending.code,
            detail=ending.detail[:_MAX_SHOWN_CHARS],
        )

    async def _run_and_finish(self, call: Call) -> None:
        answer = _AnswerWriter(self)
        try:
            ending = await self._admit_and_run(call, answer)
        except (StreamClosedError, asyncio.CancelledError):
            if not answer.stalled:
                log(Event.CALL_CUT, call=call.call_id, code='caller-gone')
            return
        self.finish_call(ending, answer)

    async def _admit_and_run(self, call: Call, answer: _AnswerWriter) -> Ending:
        context = self.context
        admission_request = AdmissionRequest(
            call.target,
            self.request.headers.get(ORGANISATION_HEADER, ''),
            call.deadline,
            parse_priority(self.request.headers.get(PRIORITY_HEADER, '')),
        )
        refused = await self._unless_gone(context.gate.enter(admission_request))
        if refused is not None:
            return refused
        began = context.clock.now()
        span = context.traces.span('entry', call.traceparent)
        call = dataclasses.replace(call, traceparent=span.traceparent)
        self._is_dispatched = True
        try:
            return await self._unless_gone(context.dispatcher.run(call, answer))
        finally:
            context.gate.leave(admission_request, context.clock.now() - began)
            span.end(call=call.call_id)

    async def _unless_gone(self, step: Coroutine[Any, Any, _Result]) -> _Result:
        """Run a step of the call, which ends when the caller disconnects."""
        if self._is_caller_gone:
            step.close()
            raise asyncio.CancelledError
        running = asyncio.ensure_future(step)
        self._running_step = running
        return await running


class CompletionHandler(_CallHandler):
    """Stream the answer of a model engine."""

    async def post(self) -> None:
        """Answer POST /v1/completions."""
        body = bytes(self.received)
        try:
            req = read_completion(body)
        except CallError as exc:
            self.end_unanswered(not_run(Code.BAD_REQUEST, exc.detail))
            return
        call = Call(
            call_id=secrets.token_hex(8),
            query=EndpointQuery(ENGINE_KIND, model=req['model']),
            target=req['model'],
            method='POST',
            path='/generate',
            headers=(),
            body=body,
            deadline=self.deadline(),
            traceparent=self.request.headers.get('traceparent', ''),
        )
        await self.run_call(call)


class ServiceHandler(_CallHandler):
    """Forward a call to a plain service."""

    async def handle(self, name: str) -> None:
        """Answer any method under /services/NAME/."""
        service = find_service(self.context.deployment, name)
        path = service_path(self.request)
        is_once = service is not None and runs_once(service, path)
        key = self.request.headers.get(KEY_HEADER, '')
        method = self.request.method or 'GET'
        try:
            query = service_want(name, key)
        except CallError as exc:
            self.end_unanswered(not_run(Code.KEY_MALFORMED, exc.detail))
            return
        call = Call(
            call_id=secrets.token_hex(8),
            query=query,
            target=name,
            method=method,
            path=path,
            headers=tuple(header_lines(self.request)),
            body=bytes(self.received),
            deadline=self.deadline(),
            may_repeat=method in _SAFE_METHODS and not (is_once or key),
            at_most_once=is_once or bool(key),
            key=key,
            traceparent=self.request.headers.get('traceparent', ''),
        )
        await self.run_call(call)

    get = handle
    head = handle
    post = handle
    put = handle
    patch = handle
    delete = handle
    options = handle


class KeysHandler(_BaseHandler):
    """Mint keys for calls that run at most once."""

    def post(self) -> None:
        """Answer POST /v1/keys?service=NAME&count=N."""
        name = self.get_argument('service', '')
        count = self.get_argument('count', '1')
        if not count.isdecimal() or not 1 <= float(count) <= _MAX_KEYS:
            found = count[:_MAX_SHOWN_CHARS]
            detail = f'count: found {found!r}, allowed is 1 to {_MAX_KEYS}'
            self.end_unanswered(not_run(Code.BAD_REQUEST, detail))
            return
        query = EndpointQuery(name)
        now = self.context.clock.now()
        member = self.context.routes.choose(query, (), now)
        if member is None:
            self.end_unanswered(not_run(Code.NO_ENDPOINT, name))
            return
        new_keys = [
            mint_key(member, secrets.token_hex(8)) for _ in range(int(count))
        ]
        self.finish({'keys': new_keys})


class HealthHandler(RequestHandler):
    """Tell the load balancer whether to send calls here."""

    def initialize(self, ready: 'Readiness') -> None:
        """Keep what tells whether the entry is ready."""
        self.ready = ready

    def get(self) -> None:
        """Answer 200 when ready, else 503 with the reason."""
        reason = self.ready.reason()
        if reason:
            self.set_status(_UNAVAILABLE_STATUS)
        self.finish({'ready': not reason, 'reason': reason})

    def data_received(self, chunk: bytes) -> None:
        """Ignore streamed bodies, which are not enabled."""


class Readiness(Protocol):
    """Determine why the entry should get no calls."""

    def reason(self) -> str:
        """Return the reason, or an empty text if the entry is ready."""


def application(context: HandlerContext, ready: Readiness) -> Application:
    """Build the tornado application that serves callers."""
    shared = {'context': context}
    return Application(
        [
            (r'/v1/completions', CompletionHandler, shared),
            (r'/v1/keys', KeysHandler, shared),
            (r'/services/([^/]+)(?:/.*)?', ServiceHandler, shared),
            (r'/readyz', HealthHandler, {'ready': ready}),
        ],
    )


def read_completion(body: bytes) -> dict[str, Any]:
    """Parse a completion request; raises CallError if it is malformed."""
    try:
        req = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise CallError(Code.BAD_REQUEST.value, f'body: {exc}') from exc
    if not isinstance(req, dict):
        raise CallError(Code.BAD_REQUEST.value, 'body: allowed is an object')
    for name in ('model', 'prompt'):
        if not isinstance(req.get(name), str):
            found = req.get(name)
            raise CallError(
                Code.BAD_REQUEST.value,
                f'{name}: found {found!r}, allowed is text',
            )
    _check_tokens(req.get('max_tokens', 1))
    return req


def _check_tokens(tokens: object) -> None:
    whole = isinstance(tokens, int) and not isinstance(tokens, bool)
    if not whole or int(str(tokens)) < 1:
        raise CallError(
            Code.BAD_REQUEST.value,
            f'max_tokens: found {tokens!r}, allowed is a whole number from 1',
        )


def outcome_name(ending: Ending) -> str:
    """Return the name that callers see of an outcome without an answer."""
    return 'not-run' if ending.outcome == Outcome.NOT_RUN else 'unknown'


def parse_priority(text: str) -> int:
    """Parse a priority from 0, the lowest, to 9; other texts count as 0."""
    return int(min(MAX_PRIORITY, float(text))) if text.isdecimal() else 0


def service_want(name: str, key: str) -> EndpointQuery:
    """Return the target of a service call; a key names a single endpoint."""
    if not key:
        return EndpointQuery(name)
    parsed = keys.parse(key)
    return EndpointQuery(name, vm=parsed.vm, incarnation=parsed.incarnation)


def find_service(deployment: Deployment, name: str) -> Service | None:
    """Return the declaration of a service, or None."""
    for service in deployment.services:
        if service.name == name:
            return service
    return None


def runs_once(service: Service, path: str) -> bool:
    """Return whether calls to the path may run at most once."""
    return any(path.startswith(prefix) for prefix in service.once_paths)


def service_path(req: HTTPServerRequest) -> str:
    """Return the path and query as the service sees them."""
    match = _SERVICE_PREFIX.match(req.uri or '')
    path = match.string[match.end() :] if match else ''
    return path if path.startswith('/') else f'/{path}'


def header_lines(req: HTTPServerRequest) -> Iterable[str]:
    """Yield the request's headers as lines, including repeated ones."""
    for name, text in req.headers.get_all():
        yield f'{name}: {text}'
