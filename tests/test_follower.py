"""A version reaches the engine: fetched, verified, staged, ordered once."""

import asyncio
import hashlib
import unittest
from random import Random
from unittest import mock

from linnetwood.core.clock import Clock, SystemClock
from linnetwood.core.errors import OrderError, WeightsError
from linnetwood.core.metrics import open_metrics
from linnetwood.core.options import Decisions, Transfer
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.weights.chunks import ChunkStore, Manifest
from linnetwood.weights.engine import EngineReport, OrderResult
from linnetwood.weights.exchange import Fetcher, TransferCounters, Uploads
from linnetwood.weights.follower import OriginChunks, VersionFollower
from linnetwood.weights.transfer import Tools
from linnetwood.wire.connections import TcpDialler
from linnetwood.wire.links import UnlimitedLink

COUNT = 6
ME = '10.0.0.1'


def chunk(version: int, index: int) -> bytes:
    """Return a chunk of a version."""
    return b'%d/%d' % (version, index) * 20


def manifest(version: int, count: int = COUNT) -> Manifest:
    """Return the manifest of a version."""
    digests = tuple(
        hashlib.sha256(chunk(version, index)).digest() for index in range(count)
    )
    return Manifest(60 * count, 60, bytes(32), digests)


class FakeOrigin:
    """An origin that may be unreachable or send corrupt chunks."""

    def __init__(self, count: int = COUNT) -> None:
        self.count = count
        self.unreachable = False
        self.missing_versions: set[int] = set()
        self.corrupt_reads: set[int] = set()
        self.reads: list[tuple[int, int]] = []
        # The newest version, if there is any, and how often it was asked for.
        self.published: int | None = 1
        self.asked = 0

    async def manifest(self, model: str, version: int) -> Manifest:
        if self.unreachable or version in self.missing_versions:
            raise WeightsError('origin-refused')
        return manifest(version, self.count)

    async def newest(self, model: str) -> tuple[int, Manifest]:
        self.asked += 1
        if self.published is None:
            raise WeightsError('no-answer', 'status 404')
        return self.published, await self.manifest(model, self.published)

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        if self.unreachable:
            raise WeightsError('origin-refused')
        self.reads.append((version, index))
        if index in self.corrupt_reads:
            self.corrupt_reads.discard(index)
            return b'corrupt'
        return chunk(version, index)


class FakeEngine:
    """An engine that loads exactly the staged chunks."""

    def __init__(self) -> None:
        self.staged_chunks: dict[int, bytes] = {}
        self.serving = 0
        self.orders = 0
        self.loaded: list[dict[int, bytes]] = []
        self.corrupt_stages: set[int] = set()
        self.refusals_left = 0
        self.born = 1000
        self.report_count = 0
        self.restarts_at = 0

    def restart(self) -> None:
        """Lose all state, as a new incarnation."""
        self.born += 1
        self.serving = 0
        self.orders = 0
        self.staged_chunks = {}

    async def report(self) -> EngineReport:
        self.report_count += 1
        if self.report_count == self.restarts_at:
            self.restart()
        serving = {'m': self.serving} if self.serving else {}
        return EngineReport(0, 0, 0, 1, serving, False, self.orders, self.born)

    async def staged(self, model: str) -> list[int]:
        return sorted(self.staged_chunks)

    async def read_staged(self, model: str, index: int) -> bytes | None:
        return self.staged_chunks.get(index)

    async def stage(self, model: str, index: int, piece: bytes) -> None:
        if self.refusals_left:
            self.refusals_left -= 1
            raise OrderError('engine-refused')
        self.staged_chunks[index] = piece
        if index in self.corrupt_stages:
            self.corrupt_stages.discard(index)
            self.staged_chunks[index] = b'changed'

    async def activate(
        self, model: str, version: int, orders: int, send_by: float
    ) -> OrderResult:
        if orders != self.orders:
            return OrderResult.CONFLICT
        self.orders += 1
        self.loaded.append(dict(self.staged_chunks))
        self.serving = version
        return OrderResult.TAKEN


def make_follower(
    engine: FakeEngine,
    origin: FakeOrigin,
    wanted: WantedVersions,
    clock: Clock,
    decisions: Decisions,
) -> VersionFollower:
    """Return a follower on the only VM, which has not been started."""
    store = ChunkStore()
    counters = TransferCounters()
    cfg = Transfer()
    link = UnlimitedLink()
    tools = Tools(
        me=ME,
        store=store,
        fetcher=Fetcher(ME, TcpDialler(), link),
        uploads=Uploads(store, link, counters, cfg.upload_queue),
        origin=OriginChunks(origin),
        link=link,
        clock=clock,
        rng=Random(1),
        counters=counters,
        metrics=open_metrics('', 0),
        cfg=cfg,
    )
    follower = VersionFollower(tools, engine, origin, wanted, 7700, decisions)
    follower.fleet.peers = {ME: 'z1'}
    follower.fleet.origin_bytes_per_s = 1.0e9
    return follower


class FollowerRig(unittest.IsolatedAsyncioTestCase):
    """Follow versions over fakes."""

    decisions = Decisions()

    async def asyncSetUp(self) -> None:
        self.origin = FakeOrigin()
        self.engine = FakeEngine()
        self.wanted = WantedVersions(8)
        self.follower = make_follower(
            self.engine,
            self.origin,
            self.wanted,
            SystemClock(),
            self.decisions,
        )
        self.follower.start()

    async def asyncTearDown(self) -> None:
        await self.follower.close()

    async def wait_until_served(self, version: int) -> None:
        """Pass on engine reports until the version is served."""
        async with asyncio.timeout(60):
            while self.engine.serving != version:
                self.follower.report = await self.engine.report()
                self.follower.wake()
                await asyncio.sleep(0.01)

    def assert_loaded(self, *versions: int) -> None:
        """Check that each order loaded one complete version."""
        for loaded, version in zip(self.engine.loaded, versions, strict=True):
            expected = {index: chunk(version, index) for index in range(COUNT)}
            self.assertEqual(loaded, expected)


class FollowerTest(FollowerRig):
    """Named versions, empty engines, corrupt chunks and outages."""

    async def test_named_version_is_served_completely(self) -> None:
        """Every chunk is read once and staged, and one order loads them."""
        self.wanted.add_named('m', 2, 0)
        await self.wait_until_served(2)
        self.assert_loaded(2)
        self.assertEqual(len(self.origin.reads), COUNT)

    async def test_serving_version_is_loaded_on_an_empty_engine(self) -> None:
        """The version was not named here, but others serve it."""
        self.wanted.add_serving([('m', 1)])
        await self.wait_until_served(1)
        self.assert_loaded(1)

    async def test_a_step_computes_progress_once(self) -> None:
        """The plan and the fetching use the same progress."""
        self.wanted.add_named('m', 2, 0)
        await self.wait_until_served(2)
        # No other step runs in between.
        assert self.follower._task is not None
        self.follower._task.cancel()
        fetching = self.follower._downloads
        with mock.patch.object(
            fetching,
            'progress_of',
            side_effect=fetching.progress_of,
        ) as progress_of:
            await self.follower._step()
        self.assertEqual(progress_of.call_count, 1)

    async def test_corrupt_chunk_is_read_again(self) -> None:
        """A chunk with a wrong digest is neither stored nor staged."""
        self.origin.corrupt_reads = {0, 3}
        self.wanted.add_named('m', 2, 0)
        await self.wait_until_served(2)
        self.assert_loaded(2)

    async def test_chunk_that_changed_at_the_engine_is_staged_again(
        self,
    ) -> None:
        """All chunks are read back before the order."""
        self.engine.corrupt_stages = {1, 5}
        self.wanted.add_named('m', 2, 0)
        await self.wait_until_served(2)
        self.assert_loaded(2)

    async def test_refused_staging_is_retried(self) -> None:
        """Chunks are staged once the engine accepts them again."""
        self.engine.refusals_left = 3
        self.wanted.add_named('m', 2, 0)
        await self.wait_until_served(2)
        self.assert_loaded(2)

    async def test_a_restarted_process_recovers_staged_chunks(
        self,
    ) -> None:
        """After a restart only a corrupt chunk is read from the origin."""
        self.engine.staged_chunks = {
            index: chunk(1, index) for index in range(COUNT)
        }
        self.engine.staged_chunks[2] = b'changed'
        self.wanted.add_serving([('m', 1)])
        await self.wait_until_served(1)
        self.assert_loaded(1)
        self.assertEqual(self.origin.reads, [(1, 2)])

    async def test_an_engine_that_restarts(self) -> None:
        """All chunks are staged and ordered for the new incarnation."""
        self.wanted.add_named('m', 2, 0)
        await self.wait_until_served(2)
        self.engine.restart()
        await self.wait_until_served(2)
        self.assert_loaded(2, 2)
        # The origin was not read again.
        self.assertEqual(len(self.origin.reads), COUNT)

    async def test_an_engine_that_restarts_at_any_moment(self) -> None:
        """No order relies on chunks verified at a previous incarnation."""
        self.wanted.add_named('m', 2, 0)
        for moment in range(1, 12):
            with self.subTest(moment=moment):
                self.engine.restart()
                self.engine.loaded.clear()
                self.engine.restarts_at = self.engine.report_count + moment
                await self.wait_until_served(2)
                self.assert_loaded(*(2 for _ in self.engine.loaded))

    async def test_newer_version_while_the_older_is_served(self) -> None:
        """Both are loaded completely, one after the other."""
        self.wanted.add_named('m', 2, 0)
        await self.wait_until_served(2)
        self.wanted.add_named('m', 3, 1)
        await self.wait_until_served(3)
        self.assert_loaded(2, 3)

    async def test_origin_outage(self) -> None:
        """The version is loaded once the origin is reachable again."""
        self.origin.unreachable = True
        self.wanted.add_named('m', 2, 0)
        for _ in range(10):
            self.follower.report = await self.engine.report()
            self.follower.wake()
            await asyncio.sleep(0.01)
        self.assertEqual(self.engine.loaded, [])
        self.origin.unreachable = False
        await self.wait_until_served(2)
        self.assert_loaded(2)

    async def test_older_version_continues_while_the_newer_has_no_manifest(
        self,
    ) -> None:
        """An origin outage between two namings delays only the newer one."""
        now = SystemClock().now()
        # Transfers of 8 s would make the plan skip the older version.
        self.follower.transfer_s = 8
        self.origin.missing_versions = {3}
        self.origin.corrupt_reads = {0}
        self.wanted.add_named('m', 2, now)
        self.follower.report = await self.engine.report()
        while self.follower.target is None:
            self.follower.wake()
            await asyncio.sleep(0)
        self.wanted.add_named('m', 3, now + 1)
        await self.wait_until_served(2)
        self.origin.missing_versions = set()
        await self.wait_until_served(3)
        self.assert_loaded(2, 3)

    async def test_older_version_is_skipped(self) -> None:
        """The newer can be complete in time: one change and one transfer."""
        self.engine.serving = 1
        self.follower.report = await self.engine.report()
        now = SystemClock().now()
        self.wanted.add_named('m', 2, now)
        self.wanted.add_named('m', 3, now)
        await self.wait_until_served(3)
        self.assert_loaded(3)


class ByNamingTest(FollowerRig):
    """Where the plan uses only the times of naming."""

    decisions = Decisions(version_plan='by-naming')

    async def test_next_version_is_fetched_while_one_waits_to_be_loaded(
        self,
    ) -> None:
        """The link is free once all chunks of a version are held."""
        self.engine.serving = 1
        self.follower.report = await self.engine.report()
        now = SystemClock().now()
        self.wanted.add_named('m', 2, now)
        self.wanted.add_named('m', 3, now)
        async with asyncio.timeout(60):
            while (3, 0) not in self.origin.reads:
                self.follower.wake()
                await asyncio.sleep(0.01)
        self.assertEqual(self.engine.serving, 1)
        await self.wait_until_served(3)
        self.assert_loaded(2, 3)


if __name__ == '__main__':
    unittest.main()
