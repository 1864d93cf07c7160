"""An order follows recent checks of all staged chunks, in virtual time.

Guards against an order on checks that no longer hold, since the program froze
between them or each read was slow, and against a version that is never ordered
at an engine that is merely slow.
"""

import asyncio
import dataclasses
import math
import unittest
from random import Random

from linnetwood.core.errors import OrderError
from linnetwood.core.options import Decisions
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab.virtual import VirtualClock, VirtualLoop
from linnetwood.weights.engine import EngineReport, OrderResult
from tests.test_follower import FakeEngine, FakeOrigin, chunk, make_follower

VERSION = 2
MAX_BAD_S = 3.0
# From the end of the last disturbance to the order, in seconds.
ORDERED_WITHIN_S = 5.0
# 1,000 staged chunks are read one by one when the program starts.
RECOVERED_WITHIN_S = 200.0
SEEDS = 60


@dataclasses.dataclass
class World:
    """An engine's size and speed, and what disturbs the program beside it."""

    count: int = 6
    read_s: float = 0.001
    load_s: float = 0.3
    # How often the program asks for a report, and how long it runs on.
    poll_s: float = 0.1
    after_s: float = 0
    refuses: bool = False
    # Seconds that the program is frozen, by the number of the await.
    freezes: dict[int, float] = dataclasses.field(default_factory=dict)
    # Chunks that turn bad, by seconds since the start of the check.
    rots: list[tuple[float, int]] = dataclasses.field(default_factory=list)


class SlowEngine(FakeEngine):
    """An engine whose answers take time, and awaits at which time jumps."""

    def __init__(self, loop: VirtualLoop, world: World) -> None:
        super().__init__()
        self.staged_chunks = {
            index: chunk(VERSION, index) for index in range(world.count)
        }
        self.awaits = 0
        self.disturbed_at = float()
        # By order: its time, and the age of the oldest read of a right chunk.
        self.orders_taken: list[tuple[float, float]] = []
        self.orders_refused = 0
        self._loop = loop
        self._world = world
        self._read_at: dict[int, float] = {}
        self._loaded_at = math.inf

    def snapshot(self) -> EngineReport:
        """Return its report at once."""
        now = self._loop.time()
        if self.serving != VERSION and now >= self._loaded_at:
            self.serving = VERSION
        serving = {'m': self.serving} if self.serving else {}
        changing = bool(self.orders) and not self.serving
        return EngineReport(0, 0, 0, 1, serving, changing, self.orders, 1)

    def rot(self, index: int) -> None:
        """Change a staged chunk."""
        self.staged_chunks[index] = b'changed'
        self.disturbed_at = self._loop.time()

    async def report(self) -> EngineReport:
        await self._delay(self._world.read_s)
        return self.snapshot()

    async def read_staged(self, model: str, index: int) -> bytes | None:
        await self._delay(self._world.read_s / 2)
        found = self.staged_chunks[index]
        if found == chunk(VERSION, index):
            self._read_at[index] = self._loop.time()
        await self._delay(self._world.read_s / 2)
        return found

    async def activate(
        self,
        model: str,
        version: int,
        orders: int,
        send_by: float = math.inf,
    ) -> OrderResult:
        await self._delay(0)
        if self._loop.time() > send_by:
            raise OrderError('engine-unreachable', 'too late to send')
        await asyncio.sleep(self._world.read_s)
        if self._world.refuses:
            self.orders_refused += 1
            return OrderResult.REFUSED
        if orders != self.orders or self.snapshot().changing:
            return OrderResult.CONFLICT
        now = self._loop.time()
        oldest = min(
            self._read_at.get(index, -math.inf)
            for index in range(self._world.count)
        )
        self.orders += 1
        self.orders_taken.append((now, now - oldest))
        self._loaded_at = now + self._world.load_s
        await self._delay(0)
        return OrderResult.TAKEN

    async def _delay(self, seconds: float) -> None:
        """Wait, after a freeze of the program if one is due at this await."""
        self.awaits += 1
        frozen_s = self._world.freezes.get(self.awaits, 0)
        if frozen_s:
            self._loop.suspend(frozen_s)
            self.disturbed_at = self._loop.time()
        await asyncio.sleep(seconds)


async def follow(loop: VirtualLoop, world: World) -> SlowEngine:
    """Start the program beside an engine; stop once that serves, or at 60 s."""
    engine = SlowEngine(loop, world)
    wanted = WantedVersions(60)
    follower = make_follower(
        engine,
        FakeOrigin(world.count),
        wanted,
        VirtualClock(loop),
        Decisions(),
    )
    wanted.add_named('m', VERSION, 0)
    follower.report = engine.snapshot()
    follower.start()
    async with asyncio.timeout(RECOVERED_WITHIN_S):
        while follower.download is None:
            await asyncio.sleep(0.01)
    engine.disturbed_at = loop.time()
    for after_s, index in world.rots:
        loop.call_later(after_s, engine.rot, index)
    end_s = loop.time() + 60
    while engine.serving != VERSION and loop.time() < end_s:
        follower.report = engine.snapshot()
        await asyncio.sleep(world.poll_s)
    await asyncio.sleep(world.after_s)
    await follower.close()
    return engine


def play(world: World) -> SlowEngine:
    """Play a world in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(follow(loop, world))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def drawn(seed: int) -> World:
    """Draw sizes, speeds, freezes and chunks that turn bad."""
    rng = Random(seed)
    count = rng.choice((96, 300, 1000))
    # What is staged is read before the check, in two awaits a chunk.
    first = 2 * count + 1
    return World(
        count,
        rng.choice((0.0003, 0.005, 0.045, 0.1)),
        rng.uniform(0.1, 4),
        freezes={
            rng.randint(first, first + 4 * count): rng.uniform(0.1, 4)
            for _ in range(rng.randint(0, 3))
        },
        rots=[
            (rng.uniform(0, 4), rng.randrange(count))
            for _ in range(rng.randint(0, 6))
        ],
    )


class StaleCheckTest(unittest.TestCase):
    """Orders at a slow engine, beside freezes and chunks that turn bad."""

    def assert_holds(self, world: World) -> None:
        """Check that one order was given, in time and on recent checks."""
        engine = play(world)
        self.assertEqual(engine.serving, VERSION)
        for _, oldest_s in engine.orders_taken:
            self.assertLessEqual(oldest_s, MAX_BAD_S)
        self.assertEqual(len(engine.orders_taken), 1)
        waited_s = engine.orders_taken[0][0] - engine.disturbed_at
        self.assertLessEqual(waited_s, ORDERED_WITHIN_S)

    def test_a_freeze_at_any_await(self) -> None:
        """Guards against an order on checks from before a freeze."""
        awaits = play(World()).awaits
        for seconds in (0.5, 1.4, 2.4, 4):
            for number in range(1, awaits + 1):
                with self.subTest(number=number, seconds=seconds):
                    self.assert_holds(World(freezes={number: seconds}))

    def test_two_freezes_in_one_check(self) -> None:
        """Guards against freezes that are too old only together."""
        for first in range(13, 24):
            with self.subTest(first=first):
                self.assert_holds(
                    World(freezes={first: 1.8, first + 2: 1.8}),
                )

    def test_slow_reads(self) -> None:
        """Guards against a check that outlasts its own bound, or has no end."""
        for count in (96, 300, 1000):
            for read_s in (0.0003, 0.005, 0.045, 0.1):
                with self.subTest(count=count, read_s=read_s):
                    self.assert_holds(World(count, read_s))

    def test_slow_reads_and_a_chunk_that_turns_bad(self) -> None:
        """Guards against a bad chunk that was verified before it turned bad."""
        for moment in (0.1, 0.4, 0.7, 1):
            with self.subTest(moment=moment):
                self.assert_holds(World(96, 0.045, rots=[(moment, 3)]))

    def test_a_slow_load(self) -> None:
        """Guards against an order that is repeated as its check was long."""
        for load_s in (0.3, 2.9, 6):
            with self.subTest(load_s=load_s):
                self.assert_holds(World(96, 0.045, load_s))

    def test_a_report_from_before_the_order(self) -> None:
        """Guards against an order for what the engine has loaded already."""
        engine = play(World(poll_s=12, after_s=12))
        self.assertEqual(len(engine.orders_taken), 1)

    def test_an_engine_that_refuses_orders(self) -> None:
        """Guards against orders without a pause while the checks are recent."""
        engine = play(World(refuses=True))
        self.assertEqual(engine.orders_taken, [])
        self.assertLessEqual(engine.orders_refused, 60 / 0.3)

    def test_drawn_worlds(self) -> None:
        """All of these at once, at drawn moments."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assert_holds(drawn(seed))


if __name__ == '__main__':
    unittest.main()
