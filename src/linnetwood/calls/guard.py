"""Admit or refuse calls to the VM's back end and forward its answers."""

import asyncio
import dataclasses
from types import MappingProxyType

from linnetwood.calls import keys
from linnetwood.calls.backend import Backend
from linnetwood.core.errors import CallError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.failures import failure_fields
from linnetwood.core.outcomes import (
    ANSWERED,
    Code,
    Ending,
    Outcome,
    not_run,
    unknown,
)
from linnetwood.core.traces import NoTraces, Tracer
from linnetwood.core.waits import wait_for_event
from linnetwood.gen.wire.ttypes import End, Head, Start
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

_REFUSALS = MappingProxyType(
    {
        keys.KeyDecision.OTHER_OWNER: Code.KEY_OTHER_OWNER,
        keys.KeyDecision.EXPIRED: Code.KEY_EXPIRED,
        keys.KeyDecision.USED: Code.KEY_USED,
    },
)


@dataclasses.dataclass(slots=True)
class GuardState:
    """State that decides whether a call is accepted."""

    kind: str
    name: str
    slots: int
    serving: str = ''
    leaving: bool = False
    loading: bool = False
    in_flight: int = 0


def refusal(state: GuardState, start: Start) -> Ending | None:
    """Return the ending that refuses a call, or None if it is accepted."""
    if state.leaving:
        return not_run(Code.LEAVING)
    if state.kind == 'engine':
        if state.loading or start.version != state.serving:
            return not_run(Code.NOT_SERVING, f'serves {state.serving!r}')
    elif start.target != state.name:
        return not_run(Code.NOT_SERVING, f'is {state.name!r}')
    if state.in_flight >= state.slots:
        return not_run(Code.BUSY, f'{state.slots} calls under way')
    return None


class _AnswerForwarder:
    """Forward a back end's answer to the entry as frames."""

    def __init__(
        self, stream: FrameStream, start: Start, in_flight: int
    ) -> None:
        self.status = 0
        self.headers: list[str] = []
        self.length = 0
        self.kept_body = bytearray()
        self._stream = stream
        self._start = start
        self._in_flight = in_flight

    def head(self, status: int, headers: list[str], version: str) -> None:
        """Send the status and headers."""
        self.status = status
        self.headers = headers
        head = Head(
            call_id=self._start.call_id,
            status=status,
            headers=headers,
            version=version,
            in_flight=self._in_flight,
        )
        if not self._stream.closed:
            self._stream.send(FrameKind.HEAD, encode(head))

    def body(self, piece: bytes) -> None:
        """Send a piece of the body; keep it while the answer is small."""
        self.length += len(piece)
        if self.length <= keys.MAX_STORED_ANSWER_BYTES:
            self.kept_body += piece
        try:
            self._stream.send(FrameKind.BODY, piece)
        except WireError as exc:
            # The entry reads too slowly; the guard cancels the call.
            log(Event.CALL_CUT, call=self._start.call_id, code=exc.code)
            self._stream.close()

    @property
    def is_behind(self) -> bool:
        """Return whether pieces are held for an entry that reads slowly."""
        return not self._stream.writable

    async def wait_until_read(self) -> None:
        """Wait until the entry has read most of them, or has gone."""
        await self._stream.wait_writable()


class Guard:
    """Serve the calls of entries and count those in flight."""

    def __init__(
        self,
        state: GuardState,
        backend: Backend,
        memory: keys.KeyMemory,
        traces: Tracer | None = None,
    ) -> None:
        """Guard one back end, with no calls in flight."""
        self._traces = traces or NoTraces()
        self.state = state
        self.idle = asyncio.Event()
        self.idle.set()
        self._backend = backend
        self._memory = memory

    async def serve(self, stream: FrameStream, frame: Frame) -> None:
        """Serve one call on a connection."""
        start = decode(Start, frame.payload)
        body = (await stream.read()).payload
        span = self._traces.span('endpoint', start.traceparent)
        start.traceparent = span.traceparent
        ending = refusal(self.state, start)
        if ending is None:
            ending = await self._check_key_and_run(stream, start, body)
        span.end(call=start.call_id, outcome=ending.outcome.name)
        await self._send_ending(stream, start, ending)

    def load(self) -> int:
        """Return the number of calls in flight."""
        return self.state.in_flight

    async def drained(self, limit_s: float) -> bool:
        """Wait until no call is in flight; return whether that came in time."""
        return await wait_for_event(self.idle, limit_s)

    async def _check_key_and_run(
        self,
        stream: FrameStream,
        start: Start,
        body: bytes,
    ) -> Ending:
        if not start.key:
            return await self._run_counted(stream, start, body, None)
        try:
            key = keys.parse(start.key)
        except CallError as exc:
            return not_run(Code.KEY_MALFORMED, exc.detail)
        decision = self._memory.claim(key)
        if decision is keys.KeyDecision.RUN:
            return await self._run_counted(stream, start, body, key)
        if decision is keys.KeyDecision.REPLAY:
            return self._send_stored_answer(stream, start, key)
        if decision is keys.KeyDecision.FULL:
            return not_run(Code.KEYS_FULL)
        return unknown(_REFUSALS[decision], start.key)

    async def _run_counted(
        self,
        stream: FrameStream,
        start: Start,
        body: bytes,
        key: keys.Key | None,
    ) -> Ending:
        forwarder = _AnswerForwarder(stream, start, self.state.in_flight)
        self._begin_call()
        try:
            ending = await self._run_until_closed(
                stream, start, body, forwarder
            )
        finally:
            self._end_call()
        if key is not None:
            self._record_key_outcome(key, ending, forwarder)
        return ending

    async def _run_until_closed(
        self,
        stream: FrameStream,
        start: Start,
        body: bytes,
        forwarder: _AnswerForwarder,
    ) -> Ending:
        run = asyncio.ensure_future(self._run_backend(start, body, forwarder))
        gone = asyncio.ensure_future(stream.wait_closed())
        await asyncio.wait((run, gone), return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not run.done():
            log(Event.CALL_CUT, call=start.call_id, code='caller-gone')
            await self._cancel(start)
        return await run

    async def _run_backend(
        self, start: Start, body: bytes, forwarder: _AnswerForwarder
    ) -> Ending:
        try:
            return await self._backend.run(start, body, forwarder)
        except Exception as exc:
            _log_failure(start, exc, 'unknown')
            return unknown(Code.INTERNAL)

    async def _cancel(self, start: Start) -> None:
        try:
            await self._backend.cancel(start.call_id)
        except Exception as exc:
            _log_failure(start, exc, 'cut')

    def _record_key_outcome(
        self, key: keys.Key, ending: Ending, forwarder: _AnswerForwarder
    ) -> None:
        if ending.outcome == Outcome.NOT_RUN:
            self._memory.release(key)
        elif ending.outcome == Outcome.ANSWERED:
            if forwarder.length <= keys.MAX_STORED_ANSWER_BYTES:
                stored_answer = keys.StoredAnswer(
                    forwarder.status,
                    tuple(forwarder.headers),
                    bytes(forwarder.kept_body),
                )
                self._memory.store_answer(key, stored_answer)

    def _send_stored_answer(
        self,
        stream: FrameStream,
        start: Start,
        key: keys.Key,
    ) -> Ending:
        stored_answer = self._memory.stored_answer(key)
        forwarder = _AnswerForwarder(stream, start, self.state.in_flight)
        forwarder.head(stored_answer.status, list(stored_answer.headers), '')
        forwarder.body(stored_answer.body)
        return ANSWERED

    def _begin_call(self) -> None:
        self.state.in_flight += 1
        self.idle.clear()

    def _end_call(self) -> None:
        self.state.in_flight -= 1
        if not self.state.in_flight:
            self.idle.set()

    async def _send_ending(
        self,
        stream: FrameStream,
        start: Start,
        ending: Ending,
    ) -> None:
        if ending.outcome == Outcome.NOT_RUN:
            log(Event.CALL_NOT_RUN, call=start.call_id, code=ending.code)
        elif ending.outcome == Outcome.UNKNOWN:
            log(Event.CALL_UNKNOWN, call=start.call_id, code=ending.code)
        end = End(
            call_id=start.call_id,
            outcome=ending.outcome,
            code=ending.code,
            detail=ending.detail,
            in_flight=self.state.in_flight,
            retry_after_ms=ending.retry_after_ms,
        )
        await stream.write(FrameKind.END, encode(end))


def _log_failure(start: Start, exc: Exception, answer: str) -> None:
    fields = failure_fields(exc)
    log(Event.CALL_FAILED, call=start.call_id, answer=answer, **fields)
