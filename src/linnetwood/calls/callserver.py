"""The HTTP server for callers of an entry that dispatches calls directly."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from linnetwood.calls.answerwriter import AnswerWriter, http1, refuse
from linnetwood.calls.callersockets import (
    UNCHUNKED_VERSION,
    CallerServer,
    CallerStream,
)
from linnetwood.calls.callparsing import (
    IncomingRequest,
    read_call,
    requested_host,
    wait_limit_s,
)
from linnetwood.calls.calltrace import CallTraces
from linnetwood.calls.configbasis import ConfigBasis
from linnetwood.calls.dialect import CallHead, Dialect, Urgency
from linnetwood.calls.direct import DirectDispatcher
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.heldbytes import HeldBytes
from linnetwood.calls.logfields import (
    MAX_LOGGED_CHARS,
    call_fields,
    config_fields,
    logged_id,
    logged_parts,
)
from linnetwood.calls.memoryguard import MemoryGuard
from linnetwood.calls.policy.retryafter import LastPart
from linnetwood.calls.readtimer import ReadTimer
from linnetwood.calls.routetable import CallLimits, RouteTable
from linnetwood.core.events import Event, log
from linnetwood.core.failures import failure_fields
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.outcomes import (
    ANSWERED,
    Code,
    Ending,
    Outcome,
    not_run,
    unknown,
)
from linnetwood.wire.curlrequest import Headers

_MILLISECONDS = 1000
_HEAD_METHOD = 'HEAD'
# For calls that another entry can take at once.
_RETRY_ELSEWHERE_MS = 100
# Stalled callers are cut off within seconds, which frees memory.
_RETRY_MEMORY_MS = (250, 750)
# Refusals that a newer configuration might turn into answers.
_UNPLACED_CODES = frozenset((Code.UNKNOWN_TARGET.value, Code.KEY_UNKNOWN.value))


class AdmissionCheck(Protocol):
    """Decide whether a call is admitted now."""

    def __call__(self, call: DirectCall) -> Urgency | Ending:
        """Return the urgency if the call is admitted, else its ending."""


async def _await_no_view() -> None:
    """Decide calls at once by default."""


class CallServerDelegate(HTTPServerConnectionDelegate):
    """Accept connections of callers and run their calls."""

    def __init__(
        self,
        route_table: Callable[[], RouteTable],
        dispatcher: DirectDispatcher,
        dialect: Dialect,
        admit: AdmissionCheck,
        rng: Random,
        metrics: Metrics,
        config_basis: Callable[[], ConfigBasis] = ConfigBasis,
    ) -> None:
        """Use the configuration that is in force when a call arrives."""
        self.route_table = route_table
        self.dispatcher = dispatcher
        self.dialect = dialect
        self.admit = admit
        self.rng = rng
        self.metrics = metrics
        self.config_basis = config_basis
        self._traces = CallTraces()
        self._view_wait: Callable[[], Awaitable[None]] = _await_no_view
        self.memory_guard = MemoryGuard(dispatcher.held)
        self.stopping = False
        # True once a new call may not finish before the process ends.
        self.leaving = False
        self.active_calls = 0
        self.idle_connections: dict[object, _Request] = {}

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Start reading one request."""
        req = _Request(self, server_conn, request_conn)
        self.idle_connections[server_conn] = req
        req.await_head()
        return req

    @property
    def held(self) -> HeldBytes:
        """Return the bytes held for callers and endpoints."""
        return self.dispatcher.held

    @property
    def traces(self) -> CallTraces:
        """Return the traces of answered calls."""
        return self._traces

    def use_view_wait(self, view_wait: Callable[[], Awaitable[None]]) -> None:
        """Await the view in this way before each call is decided."""
        self._view_wait = view_wait

    async def await_view(self) -> None:
        """Wait until a call may be decided."""
        await self._view_wait()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for req in list(self.idle_connections.values()):
            req.close_if_idle()

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that closed while no request was read on it."""
        self.idle_connections.pop(server_conn, None)


class _Request(HTTPMessageDelegate):
    """Read one request, run the call and write its answer."""

    def __init__(
        self,
        delegate: CallServerDelegate,
        server_conn: object,
        conn: HTTPConnection,
    ) -> None:
        self._delegate = delegate
        self._server_conn = server_conn
        self._conn = conn
        self._stream = _stream_of(conn)
        self._max_body_bytes = self._stream.max_body_bytes
        self._start_line: RequestStartLine | None = None
        self._headers: Headers = []
        self._pieces: list[bytes] = []
        self._body_size = 0
        self._refused = False
        self._task: asyncio.Task[None] | None = None
        self._arrived_at = float()
        self._call_id = ''
        self._call_fields: dict[str, object] = {}
        # An attempt may have been sent once the dispatcher has the call.
        self._dispatched = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the head."""
        self._delegate.idle_connections.pop(self._server_conn, None)
        self._stream.timer.await_body()
        # The limit may have been raised since the head was awaited.
        max_bytes = max(self._max_body_bytes, self._stream.max_body_bytes)
        http1(self._conn).set_max_body_size(max_bytes)
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = list(headers.get_all())
        self._arrived_at = asyncio.get_running_loop().time()

    def data_received(self, chunk: bytes) -> None:
        """Store a piece of the body, unless there is no memory for it."""
        held = self._delegate.held
        if self._refused or held.is_full:
            self._refused = True
            self._release_body()
            return
        self._pieces.append(chunk)
        self._body_size += len(chunk)
        held.bodies += len(chunk)

    def finish(self) -> None:
        """Run the call once the request is complete."""
        self._stream.timer.stop()
        if self._stream.closed():
            # The request crossed our close; no one would receive an answer.
            self._release_body()
            return
        self._delegate.active_calls += 1
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._release_body)
        # Without this the library reports a closed connection only while it
        # reads.
        http1(self._conn).set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """Cancel the call, since its caller has left."""
        if self._task is None:
            self._release_body()
        else:
            self._task.cancel()

    def await_head(self) -> None:
        """Wait for the request, for as long as the limits allow."""
        self._stream.timer.await_head()

    def close_if_idle(self) -> None:
        """Close the connection unless a part of the request has arrived."""
        if not self._stream.timer.is_receiving:
            self._stream.close()

    async def _run(self) -> None:
        delegate = self._delegate
        writer = AnswerWriter(
            self._conn,
            delegate.held,
            delegate.metrics,
            lambda: delegate.stopping,
            only_head=self._method == _HEAD_METHOD,
            ends_by_close=self._version == UNCHUNKED_VERSION,
        )
        try:
            await self._run_and_end(writer)
        except asyncio.CancelledError:
            self._end_cancelled(writer)
        except Exception as exc:
            self._fail(writer, exc)
        finally:
            self._delegate.active_calls -= 1

    def _end_cancelled(self, writer: AnswerWriter) -> None:
        """End a call whose caller has left, or whose process ends."""
        if writer.stalled:
            return
        is_gone = self._stream.closed()
        log(
            Event.CALL_CUT,
            # It may have left before its call was read.
            call=self._call_id or self._stated_id(),
            **self._call_fields,
            code='caller-gone' if is_gone else Code.STOPPING.value,
        )
        if is_gone or writer.complete:
            return
        if writer.begun:
            writer.abort()
        self._end(writer, unknown(Code.STOPPING))

    async def _run_and_end(self, writer: AnswerWriter) -> None:
        self._end(writer, await self._answer(writer))

    def _fail(self, writer: AnswerWriter, exc: Exception) -> None:
        """Log an unexpected error, and end the call truthfully."""
        ending = unknown(Code.INTERNAL)
        if writer.complete:
            ending = ANSWERED
        elif not self._dispatched:
            ending = not_run(Code.INTERNAL)
        self._log_failure(exc, _caller_got(writer, ending))
        if writer.begun and not writer.complete:
            writer.abort()
        try:
            self._end(writer, ending)
        except Exception:
            # A closed connection tells the caller more than silence does.
            writer.abort()
            raise

    def _log_failure(self, exc: Exception, answer: str) -> None:
        failure = failure_fields(exc)
        log(
            Event.CALL_FAILED,
            call=self._call_id,
            **self._call_fields,
            **failure,
            answer=answer,
        )
        self._delegate.metrics.count(
            Metric.CALLS_FAILED, kind=str(failure['error'])
        )

    def _end(self, writer: AnswerWriter, ending: Ending) -> None:
        """Count how the call ended, and refuse it unless it was answered."""
        metrics = self._delegate.metrics
        if ending.outcome is Outcome.ANSWERED:
            metrics.count(Metric.CALLS_ANSWERED)
            return
        if ending.outcome is Outcome.NOT_RUN:
            metrics.count(Metric.CALLS_REFUSED, kind=ending.code)
        else:
            metrics.count(Metric.CALLS_UNKNOWN)
        if not writer.begun:
            refuse(writer, ending)

    async def _answer(self, writer: AnswerWriter) -> Ending:
        if self._delegate.leaving:
            # It arrived on a connection that an earlier answer kept open.
            return self._refuse_unread(
                not_run(Code.STOPPING, '', _RETRY_ELSEWHERE_MS)
            )
        if self._lacks_memory():
            return self._refuse_for_memory(writer)
        await self._delegate.await_view()
        call = self._read()
        if isinstance(call, Ending):
            return call
        decided_at = asyncio.get_running_loop().time()
        if call.config_basis.is_adopted_and_stale:
            self._delegate.metrics.count(Metric.CALLS_ON_STALE_VIEW)
        self._call_id = logged_id(call.head.call_id)
        self._call_fields = {
            **call_fields(call.route, call.organisation),
            **config_fields(call.config_basis),
        }
        writer.name_call(self._call_id, self._call_fields)
        ending = await self._admit_and_run(call, writer)
        if ending.outcome is Outcome.ANSWERED:
            now = asyncio.get_running_loop().time()
            self._delegate.traces.note_answered(call, decided_at, now)
        return ending

    async def _admit_and_run(
        self, call: DirectCall, writer: AnswerWriter
    ) -> Ending:
        delegate = self._delegate
        named = {
            'likeness': call.fingerprint,
            'parts': logged_parts(call.part_fingerprints),
        }
        admitted = delegate.admit(call)
        if isinstance(admitted, Ending):
            self._log_refused(admitted, **named)
            return admitted
        self._dispatched = True
        ending = await delegate.dispatcher.run(call, writer, admitted)
        if ending.outcome is not Outcome.ANSWERED:
            log(
                Event.CALL_NOT_RUN
                if ending.outcome is Outcome.NOT_RUN
                else Event.CALL_UNKNOWN,
                call=self._call_id,
                **named,
                **self._call_fields,
                code=ending.code,
                detail=ending.detail,
            )
        return ending

    def _lacks_memory(self) -> bool:
        delegate = self._delegate
        now = asyncio.get_running_loop().time()
        guard = delegate.memory_guard
        return self._refused or guard.refuses(delegate.active_calls, now)

    def _refuse_for_memory(self, writer: AnswerWriter) -> Ending:
        delegate = self._delegate
        ending = not_run(
            Code.OVERLOADED,
            'memory',
            delegate.rng.randint(*_RETRY_MEMORY_MS),
        )
        self._refuse_unread(ending)
        writer.name_call(self._call_id, {})
        return ending

    def _refuse_unread(self, ending: Ending) -> Ending:
        """Log the refusal of a call whose route and key are not known."""
        self._call_id = self._stated_id()
        basis = self._delegate.config_basis()
        self._log_refused(ending, **config_fields(basis))
        return ending

    def _stated_id(self) -> str:
        head = self._delegate.dialect.read(self._headers)
        return logged_id(head.call_id)

    def _log_refused(self, ending: Ending, **fields: object) -> None:
        log(
            Event.CALL_REFUSED,
            call=self._call_id,
            **fields,
            **self._call_fields,
            code=ending.code,
            detail=ending.detail,
            retry_after_ms=ending.retry_after_ms,
        )

    def _release_body(self, _: object = None) -> None:
        self._delegate.held.bodies -= self._body_size
        self._body_size = 0
        self._pieces.clear()

    @property
    def _method(self) -> str:
        return '' if self._start_line is None else self._start_line.method

    @property
    def _version(self) -> str:
        return '' if self._start_line is None else self._start_line.version

    def _read(self) -> DirectCall | Ending:
        start_line = self._start_line
        if start_line is None:
            return self._refuse_unread(
                not_run(Code.BAD_REQUEST, 'no request line')
            )
        delegate = self._delegate
        incoming = IncomingRequest(
            start_line.method,
            start_line.path,
            self._headers,
            self._take_body(),
            self._arrived_at,
            delegate.config_basis(),
        )
        call = read_call(
            incoming, delegate.route_table(), delegate.dialect, delegate.rng
        )
        if not isinstance(call, Ending):
            return call
        if call.code in _UNPLACED_CODES:
            return _refuse_unplaced(incoming, call, delegate)
        return self._refuse_unread(call)

    def _take_body(self) -> bytes:
        body = b''.join(self._pieces)
        # A body of several pieces would be held twice.
        self._pieces.clear()
        return body


def _caller_got(writer: AnswerWriter, ending: Ending) -> str:
    """Return what the log says about the answer of a call that failed."""
    if writer.complete:
        return 'whole'
    if writer.begun:
        return 'cut'
    return 'not-run' if ending.outcome is Outcome.NOT_RUN else 'unknown'


def _refuse_unplaced(
    incoming: IncomingRequest, ending: Ending, delegate: CallServerDelegate
) -> Ending:
    """Refuse finally, or with a retry delay if the configuration is stale."""
    head = delegate.dialect.read(incoming.headers)
    reason = _unplaced_reason(ending, head)
    if not incoming.config_basis.is_stale:
        _log_unplaced(Event.CALL_UNPLACED, incoming, head, code=reason)
        return ending
    now = asyncio.get_running_loop().time()
    remaining_s = incoming.arrived_at + wait_limit_s(head) - now
    after_s = LastPart(delegate.rng).after_s(remaining_s, now)
    later = not_run(Code.BELIEF_OLD, reason, int(after_s * _MILLISECONDS))
    route_table = delegate.route_table()
    host = requested_host(incoming.headers)
    _log_unplaced(
        Event.CALL_REFUSED,
        incoming,
        head,
        **call_fields(
            route_table.find(host, incoming.target),
            route_table.organisation(head.key),
        ),
        code=later.code,
        detail=later.detail,
        retry_after_ms=later.retry_after_ms,
    )
    return later


def _unplaced_reason(ending: Ending, head: CallHead) -> str:
    if ending.code == Code.UNKNOWN_TARGET.value:
        return 'no-route'
    return 'unknown-key' if head.key else 'no-key'


def _log_unplaced(
    event: Event,
    incoming: IncomingRequest,
    head: CallHead,
    **verdict: object,
) -> None:
    log(
        event,
        call=logged_id(head.call_id),
        host=requested_host(incoming.headers)[:MAX_LOGGED_CHARS],
        # The query is left out, since it may hold private data.
        path=incoming.target.partition('?')[0][:MAX_LOGGED_CHARS],
        **config_fields(incoming.config_basis),
        **verdict,
    )


class CallServer(CallerServer):
    """Report closed connections to its delegate and limit requests."""

    def timed(
        self, delegate: HTTPMessageDelegate, timer: ReadTimer
    ) -> HTTPMessageDelegate:
        """Leave the time of a request to itself."""
        return delegate

    def on_close(self, server_conn: object) -> None:
        """Pass on a close, which the library doesn't report to the callback."""
        super().on_close(server_conn)
        callback = self.request_callback
        if isinstance(callback, CallServerDelegate):
            callback.on_close(server_conn)


def open_server(delegate: CallServerDelegate, limits: CallLimits) -> CallServer:
    """Return an HTTP server for the delegate with the configured limits."""
    server = CallServer(delegate)
    server.set_limits(limits)
    return server


def _stream_of(conn: HTTPConnection) -> CallerStream:
    stream = http1(conn).stream
    assert isinstance(stream, CallerStream)
    return stream
