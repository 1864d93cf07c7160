"""A small organisation beside one that sends twice the capacity.

Two entries with the real queues, routing and endpoint guards run in virtual
time; the engines sleep and the network is in memory.
"""

import asyncio
import dataclasses
import unittest
from collections import Counter
from random import Random

from linnetwood.calls.admission import Admission, AdmissionRequest
from linnetwood.calls.backendexchange import BackendSink
from linnetwood.calls.dispatch import AnswerSink, Call, Dispatcher
from linnetwood.calls.fairness import QueueLimits
from linnetwood.calls.guard import Guard, GuardState
from linnetwood.calls.keys import KeyMemory
from linnetwood.calls.routing import POLICIES, EndpointQuery, Routes
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import ANSWERED, Code, Ending
from linnetwood.fleet.members import ENDPOINT, Health
from linnetwood.fleet.placement import ENGINE_KIND, version_label
from linnetwood.gen.schema.ttypes import (
    Deployment,
    Intent,
    Model,
    Organisation,
    Version,
)
from linnetwood.gen.wire.ttypes import Head, Member, Start
from linnetwood.lab import virtual
from linnetwood.lab.load import percentile
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet
from linnetwood.wire.frames import FrameKind, FrameStream

MODEL = 'm'
SERVING = version_label(MODEL, 'v')
SMALL = 'small'
LARGE = 'large'
SHARES = ((LARGE, 8), (SMALL, 2))
ENTRIES = 2
ENGINES = 2
SLOTS = 8
SERVICE_S = 0.2
JITTER = 0.05
DURATION_S = 30.0
DEADLINE_S = 2.0
QUEUE = QueueLimits(64, 1.0)
PROBE_S = 0.003
CAPACITY_PER_S = ENGINES * SLOTS / SERVICE_S
SMALL_PER_S = CAPACITY_PER_S * 0.1
OVERLOAD = 2.0
SEEDS = (1, 2, 3)
MIN_GOODPUT = 0.95
MAX_WAIT_RATIO = 1.2
BUSY = Code.BUSY.value
QUERY = EndpointQuery(ENGINE_KIND, model=MODEL)
DEPLOYMENT = Deployment(
    models=[Model(name=MODEL, versions=[Version(name='v', manifest='x')])],
    intents=[Intent(model=MODEL, version='v', replicas=ENGINES)],
    organisations=[
        Organisation(name=name, share=share) for name, share in SHARES
    ],
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """How a call ended and how long it took."""

    organisation: str
    code: str
    took_s: float


class Engine:
    """A back end that sleeps for the service time."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Answer after the service time."""
        service_s = SERVICE_S * self._rng.uniform(1, 1 + JITTER)
        sink.head(200, [], start.version)
        await asyncio.sleep(service_s)
        sink.body(body)
        return ANSWERED

    async def cancel(self, call_id: str) -> None:
        """Ignore the cancellation and finish."""


class Endpoint:
    """An engine behind the real guard."""

    def __init__(self, number: int, net: MemoryNet, rng: Random) -> None:
        self.vm = f'vm-{number}'
        self.address = ('memory', number)
        state = GuardState(ENGINE_KIND, ENGINE_KIND, SLOTS, serving=SERVING)
        memory = KeyMemory(self.vm, 1, 600, 1000, 0)
        self.guard = Guard(state, Engine(rng), memory)
        net.accepting[self.address] = self.accept

    async def accept(self, stream: FrameStream) -> None:
        """Serve one connection until it closes."""
        while True:
            frame = await stream.read()
            if frame.kind == FrameKind.START:
                await self.guard.serve(stream, frame)

    def member(self) -> Member:
        """Return its member record."""
        return Member(
            vm=self.vm,
            incarnation=1,
            version=1,
            role=ENDPOINT,
            availability_zone='z',
            region='r',
            rack='',
            host=self.address[0],
            port=self.address[1],
            status=int(Health.ALIVE),
            kind=ENGINE_KIND,
            serving=SERVING,
            slots=SLOTS,
        )


class Answer(AnswerSink):
    """Discard an answer."""

    async def head(self, head: Head, key: str) -> None:
        """Discard the head."""

    async def body(self, piece: bytes) -> None:
        """Discard a piece."""


class World:
    """Two entries that send calls to two engines."""

    def __init__(self, seed: int) -> None:
        loop = asyncio.get_running_loop()
        self.rng = Random(seed)
        self.clock = virtual.VirtualClock(loop)
        self.results: list[CallResult] = []
        self.net = MemoryNet(self.rng, 0, 0)
        found = [
            Endpoint(number, self.net, self.rng) for number in range(ENGINES)
        ]
        self.endpoints = {endpoint.vm: endpoint for endpoint in found}
        self.entries = [self.entry() for _ in range(ENTRIES)]

    def entry(self) -> tuple[Admission, Dispatcher]:
        """Build an entry."""
        routes = Routes('z', POLICIES['probing'](), self.rng)
        routes.apply_config(DEPLOYMENT)
        routes.entry_count = ENTRIES
        for endpoint in self.endpoints.values():
            routes.member_changed(endpoint.member())
        gate = Admission(
            QUEUE,
            lambda target: -(-routes.slots(target) // ENTRIES),
            self.clock,
        )
        gate.configured(DEPLOYMENT)

        def probe(member: Member) -> None:
            load = self.endpoints[member.vm].guard.load()
            asyncio.get_running_loop().call_later(
                PROBE_S,
                lambda: routes.load(member.vm).record_report(
                    load, self.clock.now()
                ),
            )

        dispatcher = Dispatcher(
            routes,
            MemoryDialler(self.net),
            self.clock,
            NoMetrics(),
            probe,
        )
        return gate, dispatcher

    async def send_loads(self, loads: dict[str, float]) -> None:
        """Send the loads for DURATION_S seconds; wait for all calls to end."""
        until = self.clock.now() + DURATION_S
        await asyncio.gather(
            *(self.send(name, rate, until) for name, rate in loads.items()),
        )

    async def send(self, organisation: str, per_s: float, until: float) -> None:
        """Send calls of one organisation at a mean rate."""
        calls = []
        while self.clock.now() < until:
            await asyncio.sleep(self.rng.expovariate(per_s))
            calls.append(asyncio.ensure_future(self.call(organisation)))
        await asyncio.gather(*calls)

    async def call(self, organisation: str) -> None:
        """Send one call to a random entry."""
        began = self.clock.now()
        gate, dispatcher = self.rng.choice(self.entries)
        request = AdmissionRequest(MODEL, organisation, began + DEADLINE_S)
        ending = await gate.enter(request)
        if ending is None:
            admitted = self.clock.now()
            ending = await dispatcher.run(self.build_call(request), Answer())
            gate.leave(request, self.clock.now() - admitted)
        took_s = self.clock.now() - began
        self.results.append(CallResult(organisation, ending.code, took_s))

    def build_call(self, request: AdmissionRequest) -> Call:
        """Build the call of a request."""
        return Call(
            call_id=f'{self.rng.getrandbits(64):016x}',
            query=QUERY,
            target=MODEL,
            method='POST',
            path='/generate',
            headers=(),
            body=b'p',
            deadline=request.deadline,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Results of a load."""

    goodput: float
    small_p95_s: float
    small_codes: Counter[str]
    large_codes: Counter[str]


def summarise(results: list[CallResult]) -> LoadResult:
    """Summarise the calls of a load."""
    codes = {
        name: Counter(
            result.code for result in results if result.organisation == name
        )
        for name, _ in SHARES
    }
    small = [
        result.took_s
        for result in results
        if result.organisation == SMALL and not result.code
    ]
    answered = sum(found[''] for found in codes.values())
    return LoadResult(
        answered / DURATION_S / CAPACITY_PER_S,
        percentile(small, 0.95),
        codes[SMALL],
        codes[LARGE],
    )


async def run_loads(seed: int) -> tuple[LoadResult, LoadResult]:
    """Run the small organisation alone, then both; give both results."""
    world = World(seed)
    await world.send_loads({SMALL: SMALL_PER_S})
    alone = summarise(world.results)
    world.results.clear()
    await world.send_loads(
        {SMALL: SMALL_PER_S, LARGE: CAPACITY_PER_S * OVERLOAD},
    )
    await world.net.close()
    return alone, summarise(world.results)


class OverloadTest(unittest.TestCase):
    """A large organisation sends twice the capacity, a small one less.

    The small one sends half of its share, at random times. Calls take nearly
    the same time, so slots that are taken together become free together, and
    each entry learns only of its own calls without delay.
    """

    results: tuple[tuple[LoadResult, LoadResult], ...]

    @classmethod
    def setUpClass(cls) -> None:
        """Run both loads for each seed."""
        cls.results = tuple(virtual.run(run_loads(seed)) for seed in SEEDS)

    def test_goodput(self) -> None:
        """The engines run at nearly their full capacity."""
        found = [both.goodput for _, both in self.results]
        self.assertGreaterEqual(min(found), MIN_GOODPUT, found)

    def test_organisation_within_its_share_hardly_waits(self) -> None:
        """Calls of the small one take hardly longer than without the other."""
        found = [
            both.small_p95_s / alone.small_p95_s for alone, both in self.results
        ]
        self.assertLessEqual(max(found), MAX_WAIT_RATIO, found)

    def test_admitted_call_finds_a_slot(self) -> None:
        """No call that an entry admits is refused by all endpoints."""
        found = [
            both.small_codes[BUSY] + both.large_codes[BUSY]
            for _, both in self.results
        ]
        self.assertEqual(found, [0] * len(SEEDS))


if __name__ == '__main__':
    unittest.main()
