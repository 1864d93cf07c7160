"""Run a call in one or more attempts and tell for each whether it ran."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from linnetwood.calls import keys
from linnetwood.calls.retries import MAX_ATTEMPTS, RetryBudget, may_retry
from linnetwood.calls.routing import EndpointQuery, Routes
from linnetwood.core.clock import Clock
from linnetwood.core.errors import CodecError, WireError
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.outcomes import (
    ANSWERED,
    Code,
    Ending,
    Outcome,
    not_run,
    unknown,
)
from linnetwood.gen.wire.ttypes import End, Head, Member, Start
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.connections import CONNECT_TIMEOUT, Address, Pool
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

_MILLISECONDS = 1000
_NO_HEAD = unknown(Code.WRONG_ANSWER, 'no head')
_UNUSED_KEY_REFUSALS = frozenset(
    (Code.KEY_OTHER_OWNER.value, Code.KEY_EXPIRED.value),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request.

    The deadline is a time of the entry's clock. A call that runs at most once
    carries a key, given by the caller or minted for this call alone.
    """

    call_id: str
    query: EndpointQuery
    target: str
    method: str
    path: str
    headers: tuple[str, ...]
    body: bytes
    deadline: float
    may_repeat: bool = True
    at_most_once: bool = False
    key: str = ''
    traceparent: str = ''


class AnswerSink(Protocol):
    """Receive an answer piece by piece, as fast as the caller reads it."""

    async def head(self, head: Head, key: str) -> None:
        """Receive the status, the headers and the key the call ran under."""

    async def body(self, piece: bytes) -> None:
        """Receive a piece of the body."""

    @property
    def was_held_up(self) -> bool:
        """Return whether the endpoint may have cut off an unread answer."""
        return False


class _Attempt:
    """Hold the progress of one attempt."""

    __slots__ = (
        'begun',
        'key',
        'may_reuse',
        'reused',
        'sent',
        'silent',
        'version',
    )

    def __init__(self, key: str, version: str, *, may_reuse: bool) -> None:
        self.key = key
        self.version = version
        self.may_reuse = may_reuse
        # The connection was kept from an earlier call.
        self.reused = False
        # The endpoint was silent while connecting; it may go on.
        self.silent = False
        self.sent = False
        self.begun = False


class _Tried:
    """Hold the endpoints that a call was sent to."""

    __slots__ = ('again', 'vms')

    def __init__(self) -> None:
        self.vms: set[str] = set()
        # Of these, the ones to try again if there is no other.
        self.again: set[str] = set()

    def add(self, vm: str, *, may_try_again: bool) -> None:
        self.vms.add(vm)
        if may_try_again:
            self.again.add(vm)
        else:
            self.again.discard(vm)


class Dispatcher:
    """Choose endpoints for calls and retry where that is safe."""

    def __init__(
        self,
        routes: Routes,
        pool: Pool,
        clock: Clock,
        metrics: Metrics,
        probe: Callable[[Member], None] | None = None,
    ) -> None:
        """Start with one retry budget for all calls."""
        self.attempts = 0
        self._routes = routes
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._probe = probe
        self._budget = RetryBudget()

    async def run(self, call: Call, sink: AnswerSink) -> Ending:
        """Run a call and give its ending."""
        self._budget.earn()
        self._probe_load(call.query)
        tried = _Tried()
        endings: list[Ending] = []
        if call.deadline <= self._clock.now():
            late = not_run(Code.LATE, 'deadline passed')
            return self._caller_ending(call, late)
        for _ in range(MAX_ATTEMPTS):
            member = self._choose(call.query, tried)
            if member is None:
                break
            attempt = self._new_attempt(call, member, is_first=not endings)
            ending = await self._run_attempt(call, member, attempt, sink)
            endings.append(ending)
            tried.add(member.vm, may_try_again=_may_try_again(attempt, ending))
            if not self._should_retry(call, ending, attempt):
                break
        return conclude(endings) if endings else self._no_endpoint_ending(call)

    def _choose(self, query: EndpointQuery, tried: _Tried) -> Member | None:
        now = self._clock.now()
        member = self._routes.choose(query, tried.vms, now)
        if member is None and tried.again:
            return self._routes.choose(query, tried.vms - tried.again, now)
        return member

    def _probe_load(self, query: EndpointQuery) -> None:
        member = self._routes.sample(query) if self._probe else None
        if member is not None and self._probe is not None:
            self._probe(member)

    def _should_retry(
        self, call: Call, ending: Ending, attempt: _Attempt
    ) -> bool:
        # After silence no endpoint has got the call, so it is no repeat.
        if not attempt.silent:
            is_safe = not call.key and may_retry(
                ending,
                may_repeat=call.may_repeat,
                begun=attempt.begun,
            )
            if not is_safe or not self._budget.spend():
                return False
        self._metrics.count(Metric.CALLS_RETRIED)
        return True

    def _no_endpoint_ending(self, call: Call) -> Ending:
        if call.key:
            # An earlier attempt with this key may have run on its owner.
            return unknown(Code.KEY_OTHER_OWNER, call.key)
        if not self._routes.knows(call.query):
            return not_run(Code.UNKNOWN_TARGET, call.target)
        return not_run(Code.NO_ENDPOINT, call.target)

    def _new_attempt(
        self, call: Call, member: Member, *, is_first: bool
    ) -> _Attempt:
        key = call.key
        if call.at_most_once and not key:
            key = mint_key(member, call.call_id)
        version = member.serving if call.query.model else ''
        # An idle connection may be dead unnoticed; a call sent on it would be
        # lost.
        may_reuse = call.may_repeat and is_first
        return _Attempt(key, version, may_reuse=may_reuse)

    async def _run_attempt(
        self,
        call: Call,
        member: Member,
        attempt: _Attempt,
        sink: AnswerSink,
    ) -> Ending:
        self.attempts += 1
        load = self._routes.load(member.vm)
        load.sent += 1
        address = (member.host, member.port)
        stream: FrameStream | None = None
        ending = unknown(Code.CONNECTION_LOST, 'cut short')
        try:
            async with asyncio.timeout(call.deadline - self._clock.now()):
                stream = await self._connect(address, attempt)
                ending = await self._exchange(call, attempt, stream, sink)
        except TimeoutError:
            ending = self._failure_ending(
                call, attempt, Code.LATE, 'deadline passed'
            )
        except (WireError, CodecError) as exc:
            code = Code.CONNECTION_LOST if attempt.sent else Code.CONNECT_FAILED
            ending = self._failure_ending(call, attempt, code, str(exc))
            attempt.silent = exc.code == CONNECT_TIMEOUT
            if not sink.was_held_up:
                load.failed_at = self._clock.now()
        finally:
            load.sent -= 1
            self._release(address, stream, ending)
        return self._caller_ending(call, ending)

    async def _connect(
        self, address: Address, attempt: _Attempt
    ) -> FrameStream:
        if attempt.may_reuse:
            idle_stream = self._pool.reuse(address)
            if idle_stream is not None:
                attempt.reused = True
                return idle_stream
        return await self._pool.dial(address)

    def _release(
        self,
        address: Address,
        stream: FrameStream | None,
        ending: Ending,
    ) -> None:
        if stream is None:
            return
        if ending.outcome == Outcome.UNKNOWN or ending.code == Code.LATE.value:
            # Late frames of this call must never reach another call.
            stream.close()
        else:
            self._pool.keep(address, stream)

    async def _exchange(
        self,
        call: Call,
        attempt: _Attempt,
        stream: FrameStream,
        sink: AnswerSink,
    ) -> Ending:
        attempt.sent = True
        stream.send(FrameKind.START, encode(self._start(call, attempt)))
        await stream.write(FrameKind.BODY, call.body)
        while True:
            frame = await stream.read()
            ending = await self._take_frame(frame, call, attempt, sink)
            if ending is not None:
                return ending

    async def _take_frame(
        self,
        frame: Frame,
        call: Call,
        attempt: _Attempt,
        sink: AnswerSink,
    ) -> Ending | None:
        """Pass a frame of the answer on; return how the attempt ends by it."""
        if frame.kind == FrameKind.BODY:
            if not attempt.begun:
                return _NO_HEAD
            await sink.body(frame.payload)
        elif frame.kind == FrameKind.HEAD:
            head = decode(Head, frame.payload)
            if not _is_own_head(head, call, attempt):
                return unknown(Code.WRONG_ANSWER, head.call_id)
            attempt.begun = True
            await sink.head(head, attempt.key)
        else:
            return self._read_ending(frame.payload, call, attempt)
        return None

    def _start(self, call: Call, attempt: _Attempt) -> Start:
        left_s = call.deadline - self._clock.now()
        return Start(
            call_id=call.call_id,
            target=call.target,
            deadline_ms=max(1, int(left_s * _MILLISECONDS)),
            method=call.method,
            path=call.path,
            headers=list(call.headers),
            version=attempt.version,
            key=attempt.key,
            traceparent=call.traceparent,
        )

    def _read_ending(
        self, payload: bytes, call: Call, attempt: _Attempt
    ) -> Ending:
        end = decode(End, payload)
        if end.call_id != call.call_id:
            return unknown(Code.WRONG_ANSWER, end.call_id)
        if end.outcome == Outcome.ANSWERED:
            return ANSWERED if attempt.begun else _NO_HEAD
        return Ending(
            Outcome(end.outcome),
            end.code,
            end.detail,
            end.retry_after_ms,
        )

    def _failure_ending(
        self,
        call: Call,
        attempt: _Attempt,
        code: Code,
        detail: str,
    ) -> Ending:
        if attempt.sent:
            return unknown(code, detail)
        return not_run(code, detail)

    def _caller_ending(self, call: Call, ending: Ending) -> Ending:
        is_minted_here = call.at_most_once and not call.key
        if is_minted_here and ending.code in _UNUSED_KEY_REFUSALS:
            # Nobody else knew the key, so no attempt ran with it.
            return Ending(Outcome.NOT_RUN, ending.code, ending.detail)
        if call.key and ending.outcome == Outcome.NOT_RUN:
            return self._ending_of_keyed_call(ending)
        return ending

    def _ending_of_keyed_call(self, ending: Ending) -> Ending:
        if ending.code in _OWNER_DECIDED_CODES:
            return ending
        # This attempt did not run, but an earlier one with the key may have.
        return Ending(Outcome.UNKNOWN, ending.code, ending.detail)


_OWNER_DECIDED_CODES = frozenset(
    (Code.KEYS_FULL.value, Code.KEY_MALFORMED.value)
)


def conclude(endings: list[Ending]) -> Ending:
    """Combine the endings of a call's attempts, in order, into one.

    The call counts as not run only if none of its attempts ran.
    """
    last = endings[-1]
    if last.outcome != Outcome.NOT_RUN:
        return last
    for earlier in endings:
        if earlier.outcome == Outcome.UNKNOWN:
            return earlier
    return last


def mint_key(member: Member, nonce: str) -> str:
    """Mint a key that only this incarnation of an endpoint can run."""
    return keys.Key(
        member.vm,
        member.incarnation,
        member.key_epoch,
        nonce,
    ).text()


def _may_try_again(attempt: _Attempt, ending: Ending) -> bool:
    """Return whether a new connection to the same endpoint may do better."""
    if attempt.silent:
        return True
    # A kept connection may have ended before the call came.
    is_lost = ending.code == Code.CONNECTION_LOST.value
    return is_lost and attempt.reused and not attempt.begun


def _is_own_head(head: Head, call: Call, attempt: _Attempt) -> bool:
    if head.call_id != call.call_id:
        return False
    return not call.query.model or head.version == attempt.version
