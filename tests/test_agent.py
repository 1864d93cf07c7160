"""Chunks, losses, restarts and versions in any order never mix weights."""

import asyncio
import functools
import hashlib
import unittest
from collections.abc import Callable
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwood.calls.backendexchange import BackendSink
from linnetwood.calls.guard import Guard, GuardState
from linnetwood.calls.keys import KeyMemory
from linnetwood.core.errors import OrderError, WeightsError
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.options import GossipOptions, Transfer
from linnetwood.core.outcomes import ANSWERED, Ending
from linnetwood.fleet.gossip import GossipTask
from linnetwood.fleet.membership import Membership
from linnetwood.gen.schema.ttypes import (
    Configuration,
    Deployment,
    Intent,
    Model,
    Version,
)
from linnetwood.gen.wire.ttypes import Start
from linnetwood.lab import virtual
from linnetwood.weights import chunks
from linnetwood.weights.agent import WeightsAgent
from linnetwood.weights.exchange import Fetcher, TransferCounters, Uploads
from linnetwood.weights.orders import EngineStatus, LoadOrder
from linnetwood.weights.transfer import Tools
from linnetwood.wire.connections import TcpDialler
from linnetwood.wire.links import UnlimitedLink
from tests.test_membership import member

WEIGHTS = {
    'v1': bytes(range(256)) * 2,
    'v2': bytes(range(256)) + bytes(256),
}
CHUNK_BYTES = 64
MANIFESTS = {
    version: chunks.build(weights, CHUNK_BYTES)
    for version, weights in WEIGHTS.items()
}
NAMES = {
    version: chunks.digest_name(manifest.encode())
    for version, manifest in MANIFESTS.items()
}


def _do_nothing() -> None:
    """Let an await pass."""


class FakeEngine:
    """Take orders, lose answers on request, and record invalid loads."""

    def __init__(self) -> None:
        """Start without weights."""
        self.fence = 0
        self.serving = ''
        self.manifest = ''
        self.staged: dict[str, dict[int, bytes]] = {}
        self.violations: list[str] = []
        self.loads: list[int] = []
        self.versions_loaded: list[str] = []
        self.in_flight = 0
        self.lose_answers = 0
        self.down = False
        # Called while an order is on its way, by the name of the await.
        self.on_await: dict[str, Callable[[], None]] = {}

    def restart(self) -> None:
        """Lose all weights and the fence."""
        self.fence = 0
        self.serving = ''
        self.manifest = ''
        self.staged = {}

    async def status(self) -> EngineStatus:
        """Return the fence and the version in service."""
        self._raise_if_down()
        self._pass_await('status')
        return EngineStatus(self.fence, self.serving, self.manifest)

    async def stage(self, manifest: str, index: int, chunk: bytes) -> None:
        """Record the digest of a chunk."""
        self._raise_if_down()
        await asyncio.sleep(0.001)
        digest = hashlib.sha256(chunk).digest()
        self.staged.setdefault(manifest, {})[index] = digest

    async def load(
        self, order: LoadOrder, may_send: Callable[[], bool]
    ) -> None:
        """Load the staged chunks; raise OrderError if stale or incomplete."""
        self._raise_if_down()
        self._connect(may_send)
        if order.fence <= self.fence:
            raise OrderError('stale-fence')
        self.fence = order.fence
        staged = self.staged.get(order.manifest, {})
        listed = b''.join(staged[index] for index in sorted(staged))
        if hashlib.sha256(listed).hexdigest() != order.chunks_digest:
            raise OrderError('chunks-missing')
        if self.in_flight:
            self.violations.append('loaded over a call')
        self.serving = order.serving
        self.manifest = order.manifest
        self.loads.append(order.fence)
        self.versions_loaded.append(order.serving)
        if self.lose_answers:
            self.lose_answers -= 1
            raise OrderError('engine-unreachable')

    def _connect(self, may_send: Callable[[], bool]) -> None:
        self._pass_await('connect')
        if not may_send():
            raise OrderError('engine-unreachable', 'not sent')

    def _pass_await(self, name: str) -> None:
        self.on_await.pop(name, _do_nothing)()

    def _raise_if_down(self) -> None:
        if self.down:
            raise OrderError('engine-unreachable')


class FakeOrigin:
    """Serve chunks; corrupt them or refuse on request."""

    def __init__(self) -> None:
        """Start without faults."""
        self.down = False
        self.corrupt = 0
        self.reads: list[tuple[str, int]] = []

    async def read(self, manifest: str, index: int) -> bytes:
        """Read a chunk or the manifest; raise WeightsError if down."""
        await asyncio.sleep(0.005)
        if self.down:
            raise WeightsError('origin-refused')
        self.reads.append((manifest, index))
        version = next(
            version for version, name in NAMES.items() if name == manifest
        )
        if index == chunks.MANIFEST_INDEX:
            return MANIFESTS[version].encode()
        chunk = WEIGHTS[version][
            index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES
        ]
        if self.corrupt:
            self.corrupt -= 1
            return chunk[:-1] + bytes((chunk[-1] ^ 1,))
        return chunk


class NoBackend:
    """Answer every call without running it."""

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Answer at once."""
        return ANSWERED

    async def cancel(self, call_id: str) -> None:
        """Cancel nothing."""


class Slot:
    """One VM, whose engine outlives the processes that drive it."""

    def __init__(self) -> None:
        """Start the first process."""
        self.clock = virtual.VirtualClock(asyncio.get_running_loop())
        self.engine = FakeEngine()
        self.origin = FakeOrigin()
        self.revision = 0
        self.deployment = Deployment()
        self.starts = 0
        self.loaded_after_s = float()
        self.agent = self.start()

    def start(self) -> WeightsAgent:
        """Start a process without any state of earlier ones."""
        self.starts += 1
        me = member('vm', incarnation=self.starts)
        me.kind = 'engine'
        rng = Random(self.starts)
        gossip = GossipTask(
            Membership(me, GossipOptions(), 0),
            GossipOptions(),
            self.clock,
            rng,
        )
        state = GuardState('engine', '', 8)
        memory = KeyMemory('vm', self.starts, 600, 10, 0)
        self.guard = Guard(state, NoBackend(), memory)
        store = chunks.ChunkStore()
        counters = TransferCounters()
        link = UnlimitedLink()
        self.store = store
        tools = Tools(
            me='vm',
            store=store,
            fetcher=Fetcher('vm', TcpDialler(), link),
            uploads=Uploads(store, link, counters, 4),
            origin=self.origin,
            link=link,
            clock=self.clock,
            rng=rng,
            counters=counters,
            metrics=NoMetrics(),
            cfg=Transfer(),
        )
        agent = WeightsAgent(tools, gossip, self.engine, self.guard)
        agent.start()
        agent.apply_config(self.configuration())
        return agent

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return Configuration(
            revision=self.revision,
            deployment=self.deployment,
            history=[],
        )

    def want(self, version: str) -> None:
        """Apply an intent for a version, or none if it is empty."""
        self.revision += 1
        intents = []
        if version:
            intents = [Intent(model='m', version=version, replicas=1)]
        self.deployment = Deployment(
            models=[
                Model(
                    name='m',
                    versions=[
                        Version(name=name, manifest=NAMES[name])
                        for name in WEIGHTS
                    ],
                ),
            ],
            intents=intents,
        )
        self.agent.apply_config(self.configuration())

    async def restart(self) -> None:
        """Close the process and start another."""
        await self.agent.close()
        self.agent = self.start()

    def check(self) -> list[str]:
        """List violations: loads during a call, and fences out of order."""
        violations = list(self.engine.violations)
        if self.engine.loads != sorted(set(self.engine.loads)):
            violations.append('orders out of order')
        return violations


async def run_scenario(events: list[tuple[str, float]]) -> Slot:
    """Apply events after pauses in seconds; then wait 60 s without faults."""
    slot = Slot()
    slot.want('v1')
    for event, pause in events:
        await asyncio.sleep(pause)
        await apply_event(slot, event)
    slot.origin.down = False
    slot.engine.down = False
    await asyncio.sleep(60)
    await slot.agent.close()
    return slot


async def overtaken(name: str, frozen_s: float) -> Slot:
    """Want another version at an await of an order, after a freeze there."""
    slot = Slot()

    def want_other() -> None:
        suspend(frozen_s)
        slot.want('v2')

    slot.want('v1')
    await until_ordered(slot, name, want_other)
    await asyncio.sleep(60)
    await slot.agent.close()
    return slot


async def frozen(name: str, frozen_s: float) -> Slot:
    """Freeze the process at an await of an order."""
    slot = Slot()
    slot.want('v1')
    await until_ordered(slot, name, functools.partial(suspend, frozen_s))
    thawed_at = slot.clock.now()
    while not slot.engine.versions_loaded:
        await asyncio.sleep(0.1)
    slot.loaded_after_s = slot.clock.now() - thawed_at
    await slot.agent.close()
    return slot


async def until_ordered(slot: Slot, name: str, act: Callable[[], None]) -> None:
    """Act at an await of the first order, and return just after it."""
    passed = asyncio.Event()

    def act_and_pass() -> None:
        act()
        passed.set()

    # Its state is asked for before the download, too.
    while slot.agent.download is None:
        await asyncio.sleep(0.001)
    slot.engine.on_await[name] = act_and_pass
    await passed.wait()


def suspend(seconds: float) -> None:
    """Freeze all tasks, while time goes on."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, virtual.VirtualLoop)
    loop.suspend(seconds)


async def apply_event(slot: Slot, event: str) -> None:
    """Apply one event: a restart, a fault or a new intent."""
    fault = FAULTS.get(event)
    if event == 'restart':
        await slot.restart()
    elif fault is None:
        slot.want(event)
    else:
        fault(slot)


def corrupt_chunks(slot: Slot) -> None:
    """Corrupt the next 3 chunks that the origin sends."""
    slot.origin.corrupt += 3


def lose_confirmation(slot: Slot) -> None:
    """Lose the next confirmation of a load."""
    slot.engine.lose_answers += 1


def toggle_origin(slot: Slot) -> None:
    """Make the origin unreachable or reachable again."""
    slot.origin.down = not slot.origin.down


def toggle_engine(slot: Slot) -> None:
    """Make the engine unreachable or reachable again."""
    slot.engine.down = not slot.engine.down


FAULTS = {
    'corrupt': corrupt_chunks,
    'lose': lose_confirmation,
    'origin': toggle_origin,
    'engine': toggle_engine,
}


EVENTS = ('v1', 'v2', '', 'restart', *FAULTS)


class AgentTest(unittest.TestCase):
    """Loaded weights are complete, and the newest intent takes effect."""

    def play(self, *events: tuple[str, float]) -> Slot:
        """Run a scenario in virtual time."""
        return virtual.run(run_scenario(list(events)))

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(EVENTS),
                st.floats(0, 0.4, allow_nan=False),
            ),
            max_size=14,
        ),
    )
    def test_any_order(self, events: list[tuple[str, float]]) -> None:
        """Whatever happens, no load is partial and the last intent is met."""
        slot = self.play(*events)
        self.assertEqual(slot.check(), [])
        wanted = [one for one, _ in events if one in WEIGHTS or not one]
        last = wanted[-1] if wanted else 'v1'
        if last:
            label = f'm@{last}'
            found = (slot.engine.serving, slot.guard.state.serving)
            self.assertEqual(found, (label, label))

    def test_order_that_is_overtaken(self) -> None:
        """Guards against a load of what a newer configuration made obsolete.

        It arrives while the engine is asked for its state, or connected to, and
        the process may be frozen at that moment.
        """
        for name in ('status', 'connect'):
            for frozen_s in (0, 1, 6):
                with self.subTest(name=name, frozen_s=frozen_s):
                    slot = virtual.run(overtaken(name, frozen_s))
                    self.assertEqual(slot.engine.versions_loaded, ['m@v2'])
                    self.assertEqual(slot.guard.state.serving, 'm@v2')

    def test_order_after_a_pause(self) -> None:
        """Guards against orders of a process that was frozen on the way.

        It gives none until it knows that its configuration is the newest.
        """
        for name in ('status', 'connect'):
            with self.subTest(name=name):
                slot = virtual.run(frozen(name, 6))
                self.assertEqual(slot.engine.versions_loaded, ['m@v1'])
                self.assertGreater(slot.loaded_after_s, 9)

    def test_version_changed_in_flight(self) -> None:
        """After 3 quick changes the last version serves; none are mixed."""
        slot = self.play(('v2', 0.01), ('v1', 0.01), ('v2', 0.01))
        self.assertEqual(slot.engine.serving, 'm@v2')
        self.assertEqual(slot.check(), [])

    def test_shared_chunks_are_not_read_again(self) -> None:
        """Half of v2's chunks are also v1's, so only the others are read."""
        slot = self.play(('v2', 10))
        read = [index for name, index in slot.origin.reads if index >= 0]
        self.assertEqual(len(read), 8 + 4)

    def test_cancelled_rollout_reads_no_more(self) -> None:
        """Once no intent names a version, its chunks are no longer fetched."""
        slot = self.play(('', 0.02))
        self.assertLess(len(slot.origin.reads), 6)

    def test_restart_keeps_the_version_that_the_engine_serves(self) -> None:
        """A new process reads no chunk that its engine already serves."""
        slot = self.play(('restart', 10))
        self.assertEqual(len(slot.origin.reads), 1 + 8)
        self.assertEqual(slot.guard.state.serving, 'm@v1')

    def test_lost_confirmation(self) -> None:
        """A load whose answer was lost is ordered again, with a new fence."""
        slot = self.play(('lose', 0))
        self.assertEqual(slot.guard.state.serving, 'm@v1')
        self.assertEqual(slot.check(), [])

    def test_paused_process_gives_no_stale_order(self) -> None:
        """An order begun before a pause is held back; newer ones are sent."""

        async def pause() -> Slot:
            slot = Slot()
            loads = len(slot.engine.loads)
            slot.want('v1')
            clock = slot.clock.now
            status = slot.engine.status

            async def paused_status() -> EngineStatus:
                answer = await status()
                # The whole process is suspended here for 1 hour.
                pause_s = 3600
                slot.clock.now = lambda: clock() + pause_s  # type: ignore
                return answer

            await asyncio.sleep(0.01)
            slot.engine.status = paused_status  # type: ignore[method-assign]
            await asyncio.sleep(3)
            self.assertEqual(len(slot.engine.loads), loads)
            slot.want('v2')
            slot.agent.revision_seen(slot.revision, ('peer', 1))
            await asyncio.sleep(5)
            await slot.agent.close()
            return slot

        slot = virtual.run(pause())
        self.assertEqual(slot.engine.serving, 'm@v2')
        self.assertEqual(len(slot.engine.loads), 1)

    def test_intent_changed_while_a_call_finishes(self) -> None:
        """A load waiting for a call is dropped once no intent names it."""

        async def change() -> Slot:
            slot = Slot()
            slot.want('v1')
            await asyncio.sleep(5)
            slot.guard._begin_call()
            slot.want('v2')
            await asyncio.sleep(5)
            self.assertTrue(slot.guard.state.loading)
            slot.want('v1')
            slot.guard._end_call()
            await asyncio.sleep(5)
            await slot.agent.close()
            return slot

        slot = virtual.run(change())
        self.assertEqual(len(slot.engine.loads), 1)
        self.assertEqual(slot.guard.state.serving, 'm@v1')

    def test_engine_that_lost_its_weights_is_loaded_again(self) -> None:
        """A restarted engine gets the wanted version again."""

        async def lose_weights() -> Slot:
            slot = Slot()
            slot.want('v1')
            await asyncio.sleep(5)
            slot.engine.restart()
            await asyncio.sleep(10)
            await slot.agent.close()
            return slot

        slot = virtual.run(lose_weights())
        self.assertEqual(slot.engine.serving, 'm@v1')

    def test_corrupt_chunks_are_never_kept(self) -> None:
        """All chunks kept are correct after 9 corrupt ones."""
        slot = self.play(('corrupt', 0), ('corrupt', 0), ('corrupt', 0))
        self.assertTrue(slot.store.verify(MANIFESTS['v1']))


if __name__ == '__main__':
    unittest.main()
