"""Run a caller's call at an entry, and write its answer."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from types import MappingProxyType
from typing import Any, TypeVar, cast

from tornado.httputil import HTTPConnection
from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

from linnetwood.calls.admission import AdmissionRequest
from linnetwood.calls.basehandler import BaseHandler, HandlerContext
from linnetwood.calls.callersockets import PIECE_BYTES
from linnetwood.calls.dispatch import Call
from linnetwood.calls.slowreaders import MIN_HELD_UP_S, report_stalled_reader
from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metric
from linnetwood.core.outcomes import Code, Ending, Outcome, unknown
from linnetwood.gen.wire.ttypes import Head

KEY_HEADER = 'X-Linnetwood-Key'
DEADLINE_HEADER = 'X-Deadline-Ms'
ORGANISATION_HEADER = 'X-Organisation'
PRIORITY_HEADER = 'X-Priority'
MAX_PRIORITY = 9
VERSION_HEADER = 'X-Model-Version'
_MAX_SHOWN_CHARS = 120
_MILLISECONDS = 1000
_EVENTS = MappingProxyType(
    {
        Outcome.NOT_RUN: Event.CALL_NOT_RUN,
        Outcome.UNKNOWN: Event.CALL_UNKNOWN,
    },
)
_Result = TypeVar('_Result')


class _AnswerWriter:
    """Write an endpoint's answer to the caller piece by piece."""

    def __init__(self, handler: 'CallHandler') -> None:
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
class CallHandler(BaseHandler):
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

    def refuse(self, ending: Ending) -> None:
        """Refuse a request that is no valid call."""
        self._log_ending(Event.CALL_NOT_RUN, ending)
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
            # Otherwise the library would end the answer as if it were whole.
            self.close_connection()
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


def parse_priority(text: str) -> int:
    """Parse a priority from 0, the lowest, to 9; other texts count as 0."""
    return int(min(MAX_PRIORITY, float(text))) if text.isdecimal() else 0
