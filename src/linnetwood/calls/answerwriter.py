"""Write answers and refusals on a caller's connection."""

import asyncio
from collections.abc import Callable
from types import MappingProxyType

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from linnetwood.calls.answerflow import AnswerFlow, ConnectionFlow
from linnetwood.calls.callersockets import PIECE_BYTES
from linnetwood.calls.heldbytes import HeldBytes
from linnetwood.calls.slowreaders import report_stalled_reader
from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metrics
from linnetwood.core.outcomes import Code, Ending, Outcome
from linnetwood.wire.curlrequest import Headers
from linnetwood.wire.rawsockets import reset_on_close

_NOT_FOUND = 404
_UNAUTHORISED = 401
_UNAVAILABLE = 503
_GATEWAY = 502
_TIMED_OUT = 504
_BAD_REQUEST = 400
_MILLISECONDS = 1000
# Counted for the head and the last chunk of an answer.
_HEAD_BYTES = 512
_END_BYTES = 5
_REASONS = MappingProxyType(
    {
        200: 'OK',
        400: 'Bad Request',
        401: 'Unauthorized',
        404: 'Not Found',
        502: 'Bad Gateway',
        503: 'Service Unavailable',
        504: 'Gateway Timeout',
    },
)
_STATUSES = MappingProxyType(
    {
        Code.UNKNOWN_TARGET.value: _NOT_FOUND,
        Code.KEY_UNKNOWN.value: _UNAUTHORISED,
        Code.BAD_REQUEST.value: _BAD_REQUEST,
    },
)


class AnswerWriter:
    """Write one answer on a caller's connection."""

    def __init__(
        self,
        conn: HTTPConnection,
        held: HeldBytes,
        metrics: Metrics,
        is_last: Callable[[], bool],
        *,
        only_head: bool,
        ends_by_close: bool = False,
    ) -> None:
        """Start with nothing written.

        `is_last` tells whether the connection closes after the answer. With
        `only_head` the bodies of answers are left out, as for HEAD requests.
        `ends_by_close` says that callers take a close for the end of a streamed
        answer, as those of HTTP/1.0 do.
        """
        self.begun = False
        # The whole answer was written, if not yet taken by the caller.
        self.complete = False
        # The caller read nothing for too long and was cut off.
        self.stalled = False
        self._conn = conn
        self._stream = http1(conn).stream
        self._flow = ConnectionFlow(self._stream, held, self._cut_off)
        self._metrics = metrics
        self._is_last = is_last
        self._only_head = only_head
        self._ends_by_close = ends_by_close
        self._call_id = ''
        self._call_fields: dict[str, object] = {}

    def name_call(self, call_id: str, fields: dict[str, object]) -> None:
        """Set what log lines say of the call."""
        self._call_id = call_id
        self._call_fields = fields

    @property
    def flow(self) -> AnswerFlow:
        """Return the flow control of this caller."""
        return self._flow

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of a streamed answer."""
        self._head(status, headers, None, b'')

    def send_piece(self, piece: bytes) -> None:
        """Write a piece without waiting; see `flow` before the next one."""
        for start in range(0, len(piece), PIECE_BYTES):
            if self._flow.is_evicted:
                return
            part = piece[start : start + PIECE_BYTES]
            _write_in_background(self._conn.write(part))
            if self._stream.writing():
                self._flow.hold(len(part))

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer."""
        sent = b'' if self._only_head else body
        self._head(status, headers, len(body), sent[:PIECE_BYTES])
        self.send_piece(sent[PIECE_BYTES:])
        self._complete()

    def finish(self) -> None:
        """End a streamed answer."""
        self._complete()
        if self._stream.writing():
            self._flow.hold(_END_BYTES)

    def abort(self) -> None:
        """Close the connection, so that the answer can't look complete."""
        if self._ends_by_close and not self._stream.closed():
            reset_on_close(self._stream.socket.fileno())
        self._stream.close()

    def _complete(self) -> None:
        self.complete = True
        self._flow.is_open = False
        self._conn.finish()

    def _cut_off(self, stalled_s: float) -> None:
        self.stalled = True
        report_stalled_reader(
            self._metrics,
            self._call_id,
            self._flow.unread,
            stalled_s,
            answered=self.complete,
            evicted=self._flow.is_evicted,
            **self._call_fields,
        )
        self.abort()

    def _head(
        self,
        status: int,
        headers: Headers,
        length: int | None,
        body: bytes,
    ) -> None:
        fields = HTTPHeaders()
        for name, text in headers:
            fields.add(name, text)
        if length is not None:
            fields['Content-Length'] = str(length)
        if self._is_last():
            fields['Connection'] = 'close'
        start_line = ResponseStartLine(
            'HTTP/1.1',
            status,
            _REASONS.get(status, 'Answer'),
        )
        written = self._conn.write_headers(start_line, fields, body or None)
        self.begun = True
        _write_in_background(written)
        if self._stream.writing():
            self._flow.hold(_HEAD_BYTES + len(body))


def http1(conn: HTTPConnection) -> HTTP1Connection:
    """Return a connection of the server as what it is."""
    assert isinstance(conn, HTTP1Connection)
    return conn


def refuse(writer: AnswerWriter, ending: Ending) -> None:
    """Send the status and the error code of a call without an answer."""
    if ending.outcome is Outcome.NOT_RUN:
        status = _STATUSES.get(ending.code, _UNAVAILABLE)
    else:
        late = ending.code == Code.LATE.value
        status = _TIMED_OUT if late else _GATEWAY
    headers: Headers = []
    if status == _UNAVAILABLE:
        seconds = ending.retry_after_ms / _MILLISECONDS
        headers.append(('Retry-After', f'{seconds:.3f}'))
    writer.send_whole(status, headers, ending.code.encode())


def _write_in_background(fut: 'asyncio.Future[None]') -> None:
    fut.add_done_callback(_log_failed_write)


def _log_failed_write(fut: 'asyncio.Future[None]') -> None:
    if not fut.cancelled() and not isinstance(
        fut.exception(),
        StreamClosedError | None,
    ):
        log(Event.CALL_CUT, code='write-failed', detail=str(fut.exception()))
