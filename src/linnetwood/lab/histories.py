"""Run the code of entries and endpoints under faults; record a history."""

import asyncio
import dataclasses
import itertools
from random import Random

from linnetwood.calls.backendexchange import BackendSink
from linnetwood.calls.dispatch import AnswerSink, Call, Dispatcher, mint_key
from linnetwood.calls.guard import Guard, GuardState
from linnetwood.calls.keys import KeyMemory
from linnetwood.calls.routing import POLICIES, EndpointQuery, Routes
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import (
    ANSWERED,
    Code,
    Ending,
    Outcome,
    not_run,
    unknown,
)
from linnetwood.fleet.members import ENDPOINT, Health, copy
from linnetwood.fleet.placement import ENGINE_KIND, version_label
from linnetwood.gen.schema.ttypes import Deployment, Intent, Model, Version
from linnetwood.gen.wire.ttypes import Head, Member, Start
from linnetwood.lab.checking import CallRecord, Effect, History, Stop
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet
from linnetwood.lab.virtual import VirtualClock
from linnetwood.wire.frames import FrameKind, FrameStream

MODEL = 'sevak'
VERSIONS = (version_label(MODEL, 'v1'), version_label(MODEL, 'v2'))
TOKENS = 4
_ENTRIES = 2
_ENGINES = 3
_SERVICES = 2
_SERVICE = 'booking'
_GOSSIP_LAG_S = 1.0
_DEADLINE_S = 6.0
_TOKEN_S = 0.02
_DRAIN_S = 20.0
_FAULTS = ('kill', 'freeze', 'leave', 'reload')


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryOptions:
    """The numbers of calls and faults in a history, and the rates of faults."""

    calls: int = 30
    faults: int = 5
    span_s: float = 10.0
    cut: float = 0.02
    stall: float = 0.03


def answer(operation: str, version: str) -> bytes:
    """Return the only correct answer to a call."""
    return b''.join(token(operation, version, index) for index in range(TOKENS))


def token(operation: str, version: str, index: int) -> bytes:
    """Return one part of the correct answer."""
    return f'{operation}/{version}/{index};'.encode()


class _RecordingBackend:
    """A back end that records each run."""

    def __init__(self, vm: str, history: History, rng: Random) -> None:
        self.version = ''
        self._vm = vm
        self._history = history
        self._rng = rng

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Run a call, or fail before, during or after it."""
        chance = self._rng.random()
        if chance < 0.03:
            return not_run(Code.BACKEND_UNREACHABLE)
        operation = body.decode()
        version = self.version
        clock = asyncio.get_running_loop()
        self._history.effects.append(
            Effect(operation, self._vm, clock.time(), version),
        )
        await asyncio.sleep(self._rng.expovariate(1 / _TOKEN_S))
        if chance < 0.06:
            return unknown(Code.BACKEND_LOST)
        sink.head(200, [], version)
        for index in range(TOKENS):
            await asyncio.sleep(_TOKEN_S)
            sink.body(token(operation, version, index))
            if chance < 0.09:
                return unknown(Code.BACKEND_LOST)
        return ANSWERED

    async def cancel(self, call_id: str) -> None:
        """Ignore the request and finish, as some back ends do."""


class _Endpoint:
    """An endpoint: the real guard in front of a recording back end."""

    def __init__(
        self,
        number: int,
        kind: str,
        net: MemoryNet,
        history: History,
        rng: Random,
    ) -> None:
        self.vm = f'{kind}-{number}'
        self.kind = kind
        self.address = ('memory', number)
        self.backend = _RecordingBackend(self.vm, history, rng)
        self.backend.version = VERSIONS[0] if kind == ENGINE_KIND else ''
        self.incarnation = 0
        self._net = net
        self.start()

    def start(self) -> None:
        """Start a process without the state of an earlier one."""
        now = asyncio.get_running_loop().time()
        self.incarnation += 1
        self.key_memory = KeyMemory(self.vm, self.incarnation, 600, 1000, now)
        state = GuardState(self.kind, self.kind, 8)
        state.serving = self.backend.version
        self.guard = Guard(state, self.backend, self.key_memory)
        self._net.accepting[self.address] = self.accept

    async def accept(self, stream: FrameStream) -> None:
        """Serve one connection until it closes."""
        guard = self.guard
        while True:
            frame = await stream.read()
            if frame.kind == FrameKind.START:
                await guard.serve(stream, frame)

    def member(self, version: int) -> Member:
        """Return the member record that gossip would spread."""
        status = Health.LEAVING if self.guard.state.leaving else Health.ALIVE
        return Member(
            vm=self.vm,
            incarnation=self.incarnation,
            version=version,
            role=ENDPOINT,
            availability_zone='z',
            region='r',
            rack='',
            host=self.address[0],
            port=self.address[1],
            status=int(status),
            kind=self.kind,
            serving=self.guard.state.serving,
            key_epoch=self.key_memory.epoch,
            slots=8,
        )


class _RecordingSink(AnswerSink):
    """Receive an answer as a caller would."""

    def __init__(self) -> None:
        self.version = ''
        self.parts: list[bytes] = []

    async def head(self, head: Head, key: str) -> None:
        """Record the version in the head."""
        self.version = head.version

    async def body(self, part: bytes) -> None:
        """Record a part of the body."""
        self.parts.append(part)


class HistoryRecorder:
    """Record one history."""

    def __init__(self, seed: int, options: HistoryOptions) -> None:
        """Create entries and endpoints on a network in memory."""
        self.history = History()
        self._rng = Random(seed)
        self._options = options
        self._net = MemoryNet(self._rng, options.cut, options.stall)
        self._clock = VirtualClock(asyncio.get_running_loop())
        kinds = [
            *itertools.repeat(ENGINE_KIND, _ENGINES),
            *itertools.repeat(_SERVICE, _SERVICES),
        ]
        self._endpoints = [
            _Endpoint(number, kind, self._net, self.history, self._rng)
            for number, kind in enumerate(kinds)
        ]
        self._routes = [self._build_routes() for _ in range(_ENTRIES)]
        self._entries = [
            Dispatcher(
                routes,
                MemoryDialler(self._net),
                self._clock,
                NoMetrics(),
            )
            for routes in self._routes
        ]
        self._versions = itertools.count(1)
        self._keys: list[tuple[str, str]] = []

    async def run(self) -> History:
        """Run every call and fault; return the history."""
        self._gossip_now()
        span = self._options.span_s
        work = [
            self._run_after(
                self._rng.uniform(0, span), self._send_random_call(number)
            )
            for number in range(self._options.calls)
        ]
        work += [
            self._run_after(self._rng.uniform(0, span), self._inject_fault())
            for _ in range(self._options.faults)
        ]
        await asyncio.gather(*work)
        await asyncio.sleep(_DRAIN_S)
        await self._net.close()
        return self.history

    async def _run_after(self, delay: float, work: 'object') -> None:
        await asyncio.sleep(delay)
        await work  # type: ignore[misc]

    def _build_routes(self) -> Routes:
        routes = Routes('z', POLICIES['two_choices'](), self._rng)
        versions = [
            Version(name=name.partition('@')[2], manifest='m')
            for name in VERSIONS
        ]
        routes.apply_config(
            Deployment(
                models=[Model(name=MODEL, versions=versions)],
                intents=[
                    Intent(
                        model=MODEL,
                        version='v2',
                        replicas=_ENGINES,
                        previous_version='v1',
                    ),
                ],
            ),
        )
        return routes

    def _gossip_now(self) -> None:
        for endpoint in self._endpoints:
            for routes in self._routes:
                routes.member_changed(endpoint.member(1))

    async def _gossip(self, endpoint: _Endpoint) -> None:
        member = endpoint.member(next(self._versions))
        for routes in self._routes:
            lag = self._rng.uniform(0, _GOSSIP_LAG_S)
            asyncio.get_running_loop().call_later(
                lag,
                routes.member_changed,
                copy(member),
            )

    async def _send_random_call(self, number: int) -> None:
        kind = self._rng.choice(('generate', 'lookup', 'confirm', 'repeat'))
        if kind == 'repeat' and self._keys:
            operation, key = self._rng.choice(self._keys)
            await self._send(
                operation, self._confirm(operation, key), at_most_once=True
            )
            return
        operation = f'{kind} {number}'
        if kind == 'generate':
            await self._send(
                operation, self._generate(operation), at_most_once=False
            )
        elif kind == 'lookup':
            await self._send(
                operation, self._lookup(operation), at_most_once=False
            )
        else:
            await self._confirm_new(operation)

    async def _confirm_new(self, operation: str) -> None:
        key = ''
        routes = self._rng.choice(self._routes)
        member = routes.choose(EndpointQuery(_SERVICE), (), self._clock.now())
        if member is not None and self._rng.random() < 0.7:
            key = mint_key(member, f'n{len(self._keys)}')
            self._keys.append((operation, key))
        await self._send(
            operation, self._confirm(operation, key), at_most_once=True
        )

    async def _send(
        self, operation: str, call: Call, *, at_most_once: bool
    ) -> None:
        record = CallRecord(
            operation, self._clock.now(), at_most_once=at_most_once
        )
        self.history.calls.append(record)
        sink = _RecordingSink()
        dispatcher = self._rng.choice(self._entries)
        ending = await dispatcher.run(call, sink)
        record.ended = self._clock.now()
        record.outcome = ending.outcome
        record.version = sink.version
        record.body = b''.join(sink.parts)
        expected = answer(operation, sink.version)
        self.history.expected[(operation, sink.version)] = expected

    def _generate(self, operation: str) -> Call:
        return self._build_call(
            operation, EndpointQuery(ENGINE_KIND, model=MODEL), MODEL
        )

    def _lookup(self, operation: str) -> Call:
        return self._build_call(operation, EndpointQuery(_SERVICE), _SERVICE)

    def _confirm(self, operation: str, key: str) -> Call:
        query = EndpointQuery(_SERVICE)
        if key:
            vm, incarnation, _, _ = key.rsplit('.', 3)
            query = EndpointQuery(_SERVICE, vm=vm, incarnation=int(incarnation))
        call = self._build_call(operation, query, _SERVICE)
        return dataclasses.replace(
            call,
            may_repeat=False,
            at_most_once=True,
            key=key,
        )

    def _build_call(
        self, operation: str, query: EndpointQuery, target: str
    ) -> Call:
        return Call(
            call_id=f'{self._rng.getrandbits(64):016x}',
            query=query,
            target=target,
            method='POST',
            path='/',
            headers=(),
            body=operation.encode(),
            deadline=self._clock.now() + _DEADLINE_S,
        )

    async def _inject_fault(self) -> None:
        fault = self._rng.choice(_FAULTS)
        endpoint = self._rng.choice(self._endpoints)
        await {
            'kill': self._kill,
            'freeze': self._freeze,
            'leave': self._leave,
            'reload': self._reload,
        }[fault](endpoint)

    async def _freeze(self, endpoint: _Endpoint) -> None:
        until = self._clock.now() + self._rng.uniform(0.1, 4)
        self._net.frozen_until[endpoint.address] = until

    async def _kill(self, endpoint: _Endpoint) -> None:
        self._net.drop(endpoint.address)
        await asyncio.sleep(self._rng.uniform(0.05, 2))
        if endpoint.vm not in self.history.left:
            endpoint.start()
            await self._gossip(endpoint)

    async def _leave(self, endpoint: _Endpoint) -> None:
        if endpoint.address not in self._net.accepting:
            return
        endpoint.guard.state.leaving = True
        self.history.left.setdefault(endpoint.vm, self._clock.now())
        await self._gossip(endpoint)
        if not await endpoint.guard.drained(_DRAIN_S):
            operations = (f'{endpoint.guard.state.in_flight} calls',)
            self.history.stops.append(Stop(endpoint.vm, operations, operations))

    async def _reload(self, endpoint: _Endpoint) -> None:
        state = endpoint.guard.state
        is_engine = endpoint.kind == ENGINE_KIND
        is_accepting = endpoint.address in self._net.accepting
        if state.loading or not is_engine or not is_accepting:
            return
        guard = endpoint.guard
        state.loading = True
        state.serving = ''
        await self._gossip(endpoint)
        await guard.idle.wait()
        endpoint.backend.version = VERSIONS[1]
        state.serving = VERSIONS[1]
        state.loading = False
        await self._gossip(endpoint)


async def record_history(
    seed: int, options: HistoryOptions | None = None
) -> History:
    """Record the history of a seed."""
    return await HistoryRecorder(seed, options or HistoryOptions()).run()


def count_outcomes(history: History) -> dict[Outcome | None, int]:
    """Count the calls by outcome."""
    found: dict[Outcome | None, int] = {}
    for call in history.calls:
        found[call.outcome] = found.get(call.outcome, 0) + 1
    return found
