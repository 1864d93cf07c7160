"""Guard the VM's back end: take calls up, refuse them truly, relay answers."""

import asyncio
import dataclasses
from types import MappingProxyType

from linnetwood.calls import keys
from linnetwood.calls.backend import Backend
from linnetwood.core.errors import CallError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.outcomes import (
    ANSWERED,
    Code,
    Ending,
    Outcome,
    not_run,
    unknown,
)
from linnetwood.core.traces import NoTraces, Tracer
from linnetwood.core.waits import happened
from linnetwood.gen.wire.ttypes import End, Head, Start
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

_REFUSALS = MappingProxyType(
    {
        keys.Admission.OTHER_OWNER: Code.KEY_OTHER_OWNER,
        keys.Admission.EXPIRED: Code.KEY_EXPIRED,
        keys.Admission.USED: Code.KEY_USED,
    },
)


@dataclasses.dataclass(slots=True)
class GuardState:
    """What decides whether a call is taken up."""

    kind: str
    name: str
    slots: int
    serving: str = ''
    leaving: bool = False
    loading: bool = False
    in_flight: int = 0


def refusal(state: GuardState, start: Start) -> Ending | None:
    """Give the reason not to take a call up, or None."""
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


class _Relay:
    """Turn a back end's answer into frames for the entry."""

    def __init__(self, stream: FrameStream, start: Start, load: int) -> None:
        self.status = 0
        self.headers: list[str] = []
        self.length = 0
        self.small = bytearray()
        self._stream = stream
        self._start = start
        self._load = load

    def head(self, status: int, headers: list[str], version: str) -> None:
        """Send the head."""
        self.status = status
        self.headers = headers
        head = Head(
            call_id=self._start.call_id,
            status=status,
            headers=headers,
            version=version,
            in_flight=self._load,
        )
        if not self._stream.closed:
            self._stream.send(FrameKind.HEAD, encode(head))

    def body(self, piece: bytes) -> None:
        """Send a piece; keep it too while the answer is small."""
        self.length += len(piece)
        if self.length <= keys.REPLAY_BYTES:
            self.small += piece
        try:
            self._stream.send(FrameKind.BODY, piece)
        except WireError as exc:
            # Nobody reads in time; the guard cancels the call.
            log(Event.CALL_CUT, call=self._start.call_id, code=exc.code)
            self._stream.close()


class Guard:
    """Serve calls that entries open; own the count of those under way."""

    def __init__(
        self,
        state: GuardState,
        backend: Backend,
        memory: keys.KeyMemory,
        traces: Tracer | None = None,
    ) -> None:
        """Guard one back end."""
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
            ending = await self._admitted(stream, start, body)
        span.end(call=start.call_id, outcome=ending.outcome.name)
        await self._finish(stream, start, ending)

    def load(self) -> int:
        """Give how many calls are under way."""
        return self.state.in_flight

    async def drained(self, limit_s: float) -> bool:
        """Wait until no call is under way; tell whether that came in time."""
        return await happened(self.idle, limit_s)

    async def _admitted(
        self,
        stream: FrameStream,
        start: Start,
        body: bytes,
    ) -> Ending:
        if not start.key:
            return await self._run(stream, start, body, None)
        try:
            key = keys.read(start.key)
        except CallError as exc:
            return not_run(Code.KEY_MALFORMED, exc.detail)
        admission = self._memory.admit(key)
        if admission is keys.Admission.RUN:
            return await self._run(stream, start, body, key)
        if admission is keys.Admission.REPLAY:
            return self._replay(stream, start, key)
        if admission is keys.Admission.FULL:
            return not_run(Code.KEYS_FULL)
        return unknown(_REFUSALS[admission], start.key)

    async def _run(
        self,
        stream: FrameStream,
        start: Start,
        body: bytes,
        key: keys.Key | None,
    ) -> Ending:
        relay = _Relay(stream, start, self.state.in_flight)
        self._enter()
        try:
            ending = await self._watched(stream, start, body, relay)
        finally:
            self._leave()
        if key is not None:
            self._settle(key, ending, relay)
        return ending

    async def _watched(
        self,
        stream: FrameStream,
        start: Start,
        body: bytes,
        relay: _Relay,
    ) -> Ending:
        run = asyncio.ensure_future(self._backend.run(start, body, relay))
        gone = asyncio.ensure_future(stream.wait_closed())
        await asyncio.wait((run, gone), return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not run.done():
            log(Event.CALL_CUT, call=start.call_id, code='caller-gone')
            await self._backend.cancel(start.call_id)
        return await run

    def _settle(self, key: keys.Key, ending: Ending, relay: _Relay) -> None:
        if ending.outcome == Outcome.NOT_RUN:
            self._memory.release(key)
        elif ending.outcome == Outcome.ANSWERED:
            if relay.length <= keys.REPLAY_BYTES:
                replay = keys.Replay(
                    relay.status,
                    tuple(relay.headers),
                    bytes(relay.small),
                )
                self._memory.remember(key, replay)

    def _replay(
        self,
        stream: FrameStream,
        start: Start,
        key: keys.Key,
    ) -> Ending:
        replay = self._memory.replay(key)
        relay = _Relay(stream, start, self.state.in_flight)
        relay.head(replay.status, list(replay.headers), '')
        relay.body(replay.body)
        return ANSWERED

    def _enter(self) -> None:
        self.state.in_flight += 1
        self.idle.clear()

    def _leave(self) -> None:
        self.state.in_flight -= 1
        if not self.state.in_flight:
            self.idle.set()

    async def _finish(
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
