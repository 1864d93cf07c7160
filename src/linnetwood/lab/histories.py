"""Run real entry and endpoint code under faults and record what happened."""

import asyncio
import dataclasses
import itertools
from random import Random

from linnetwood.calls.backend import BackendSink
from linnetwood.calls.dispatch import Call, Dispatcher, mint_key
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
from linnetwood.lab.checking import Effect, History, Seen, Stop
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
class Shape:
    """How much of everything a history has."""

    calls: int = 30
    faults: int = 5
    span_s: float = 10.0
    cut: float = 0.02
    stall: float = 0.03


def answer(mark: str, version: str) -> bytes:
    """Give the one right answer to a call."""
    return b''.join(token(mark, version, place) for place in range(TOKENS))


def token(mark: str, version: str, place: int) -> bytes:
    """Give one piece of the right answer."""
    return f'{mark}/{version}/{place};'.encode()


class _Engine:
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
        mark = body.decode()
        version = self.version
        clock = asyncio.get_running_loop()
        self._history.effects.append(
            Effect(mark, self._vm, clock.time(), version),
        )
        await asyncio.sleep(self._rng.expovariate(1 / _TOKEN_S))
        if chance < 0.06:
            return unknown(Code.BACKEND_LOST)
        sink.head(200, [], version)
        for place in range(TOKENS):
            await asyncio.sleep(_TOKEN_S)
            sink.body(token(mark, version, place))
            if chance < 0.09:
                return unknown(Code.BACKEND_LOST)
        return ANSWERED

    async def cancel(self, call_id: str) -> None:
        """Finish all the same, as some back ends do."""


class _Endpoint:
    """One VM's slot: the real guard before a recorded back end."""

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
        self.engine = _Engine(self.vm, history, rng)
        self.engine.version = VERSIONS[0] if kind == ENGINE_KIND else ''
        self.incarnation = 0
        self._net = net
        self.start()

    def start(self) -> None:
        """Start a process that remembers nothing of an earlier one."""
        now = asyncio.get_running_loop().time()
        self.incarnation += 1
        self.memory = KeyMemory(self.vm, self.incarnation, 600, 1000, now)
        state = GuardState(self.kind, self.kind, 8)
        state.serving = self.engine.version
        self.guard = Guard(state, self.engine, self.memory)
        self._net.accepting[self.address] = self.accept

    async def accept(self, stream: FrameStream) -> None:
        """Serve one connection until it closes."""
        guard = self.guard
        while True:
            frame = await stream.read()
            if frame.kind == FrameKind.START:
                await guard.serve(stream, frame)

    def member(self, version: int) -> Member:
        """Give what gossip would say of the process."""
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
            key_epoch=self.memory.epoch,
            slots=8,
        )


class _Sink:
    """Take an answer as a caller would."""

    def __init__(self) -> None:
        self.version = ''
        self.pieces: list[bytes] = []

    async def head(self, head: Head, key: str) -> None:
        """Take the head."""
        self.version = head.version

    async def body(self, piece: bytes) -> None:
        """Take a piece."""
        self.pieces.append(piece)


class Run:
    """One history in the making."""

    def __init__(self, seed: int, shape: Shape) -> None:
        """Put real entries and endpoints on a network in memory."""
        self.history = History()
        self._rng = Random(seed)
        self._shape = shape
        self._net = MemoryNet(self._rng, shape.cut, shape.stall)
        self._clock = VirtualClock(asyncio.get_running_loop())
        kinds = [
            *itertools.repeat(ENGINE_KIND, _ENGINES),
            *itertools.repeat(_SERVICE, _SERVICES),
        ]
        self._endpoints = [
            _Endpoint(number, kind, self._net, self.history, self._rng)
            for number, kind in enumerate(kinds)
        ]
        self._routes = [self._new_routes() for _ in range(_ENTRIES)]
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

    async def record(self) -> History:
        """Run every call and fault, and give the history."""
        self._gossip_now()
        span = self._shape.span_s
        work = [
            self._after(self._rng.uniform(0, span), self._call(number))
            for number in range(self._shape.calls)
        ]
        work += [
            self._after(self._rng.uniform(0, span), self._fault())
            for _ in range(self._shape.faults)
        ]
        await asyncio.gather(*work)
        await asyncio.sleep(_DRAIN_S)
        await self._net.close()
        return self.history

    async def _after(self, delay: float, work: 'object') -> None:
        await asyncio.sleep(delay)
        await work  # type: ignore[misc]

    def _new_routes(self) -> Routes:
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

    async def _call(self, number: int) -> None:
        kind = self._rng.choice(('generate', 'lookup', 'confirm', 'repeat'))
        if kind == 'repeat' and self._keys:
            mark, key = self._rng.choice(self._keys)
            await self._send(mark, self._confirm(mark, key), once=True)
            return
        mark = f'{kind} {number}'
        if kind == 'generate':
            await self._send(mark, self._generate(mark), once=False)
        elif kind == 'lookup':
            await self._send(mark, self._lookup(mark), once=False)
        else:
            await self._confirm_new(mark)

    async def _confirm_new(self, mark: str) -> None:
        key = ''
        routes = self._rng.choice(self._routes)
        member = routes.choose(EndpointQuery(_SERVICE), (), self._clock.now())
        if member is not None and self._rng.random() < 0.7:
            key = mint_key(member, f'n{len(self._keys)}')
            self._keys.append((mark, key))
        await self._send(mark, self._confirm(mark, key), once=True)

    async def _send(self, mark: str, call: Call, *, once: bool) -> None:
        seen = Seen(mark, self._clock.now(), at_most_once=once)
        self.history.calls.append(seen)
        sink = _Sink()
        dispatcher = self._rng.choice(self._entries)
        ending = await dispatcher.run(call, sink)
        seen.ended = self._clock.now()
        seen.outcome = ending.outcome
        seen.version = sink.version
        seen.body = b''.join(sink.pieces)
        expected = answer(mark, sink.version)
        self.history.expected[(mark, sink.version)] = expected

    def _generate(self, mark: str) -> Call:
        return self._make(mark, EndpointQuery(ENGINE_KIND, model=MODEL), MODEL)

    def _lookup(self, mark: str) -> Call:
        return self._make(mark, EndpointQuery(_SERVICE), _SERVICE)

    def _confirm(self, mark: str, key: str) -> Call:
        query = EndpointQuery(_SERVICE)
        if key:
            vm, incarnation, _, _ = key.rsplit('.', 3)
            query = EndpointQuery(_SERVICE, vm=vm, incarnation=int(incarnation))
        call = self._make(mark, query, _SERVICE)
        return dataclasses.replace(
            call,
            may_repeat=False,
            at_most_once=True,
            key=key,
        )

    def _make(self, mark: str, query: EndpointQuery, target: str) -> Call:
        return Call(
            call_id=f'{self._rng.getrandbits(64):016x}',
            query=query,
            target=target,
            method='POST',
            path='/',
            headers=(),
            body=mark.encode(),
            deadline=self._clock.now() + _DEADLINE_S,
        )

    async def _fault(self) -> None:
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
            marks = (f'{endpoint.guard.state.in_flight} calls',)
            self.history.stops.append(Stop(endpoint.vm, marks, marks))

    async def _reload(self, endpoint: _Endpoint) -> None:
        state = endpoint.guard.state
        engine = endpoint.kind == ENGINE_KIND
        alive = endpoint.address in self._net.accepting
        if state.loading or not engine or not alive:
            return
        guard = endpoint.guard
        state.loading = True
        state.serving = ''
        await self._gossip(endpoint)
        await guard.idle.wait()
        endpoint.engine.version = VERSIONS[1]
        state.serving = VERSIONS[1]
        state.loading = False
        await self._gossip(endpoint)


async def one(seed: int, shape: Shape | None = None) -> History:
    """Record one history."""
    return await Run(seed, shape or Shape()).record()


def counts(history: History) -> dict[Outcome | None, int]:
    """Count the calls by how they ended."""
    found: dict[Outcome | None, int] = {}
    for call in history.calls:
        found[call.outcome] = found.get(call.outcome, 0) + 1
    return found
