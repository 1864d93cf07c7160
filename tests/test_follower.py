"""A version reaches the engine: fetched, checked, laid, ordered once."""

import asyncio
import hashlib
import unittest
from random import Random
from unittest import mock

from linnetwood.core.clock import SystemClock
from linnetwood.core.errors import OrderError, WeightsError
from linnetwood.core.metrics import open_metrics
from linnetwood.core.options import Decisions, Transfer
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.weights.chunks import ChunkStore, Manifest
from linnetwood.weights.engine import EngineReport, Order
from linnetwood.weights.exchange import Fetcher, Tally, Uploads
from linnetwood.weights.follower import OriginChunks, VersionFollower
from linnetwood.weights.transfer import Tools
from linnetwood.wire.connections import TcpDialler
from linnetwood.wire.links import OpenLink

COUNT = 6
ME = '10.0.0.1'


def chunk(version: int, index: int) -> bytes:
    """Give a version's chunk."""
    return b'%d/%d' % (version, index) * 20


def manifest(version: int) -> Manifest:
    """Give a version's digests."""
    digests = tuple(
        hashlib.sha256(chunk(version, index)).digest() for index in range(COUNT)
    )
    return Manifest(60 * COUNT, 60, bytes(32), digests)


class FakeOrigin:
    """An origin that may be away or spoil chunks."""

    def __init__(self) -> None:
        self.away = False
        self.lacks: set[int] = set()
        self.spoils: set[int] = set()
        self.reads: list[tuple[int, int]] = []

    async def manifest(self, model: str, version: int) -> Manifest:
        if self.away or version in self.lacks:
            raise WeightsError('origin-refused')
        return manifest(version)

    async def piece(self, model: str, version: int, index: int) -> bytes:
        if self.away:
            raise WeightsError('origin-refused')
        self.reads.append((version, index))
        if index in self.spoils:
            self.spoils.discard(index)
            return b'spoilt'
        return chunk(version, index)


class FakeEngine:
    """An engine that takes exactly what lies there."""

    def __init__(self) -> None:
        self.place: dict[int, bytes] = {}
        self.serving = 0
        self.orders = 0
        self.taken: list[dict[int, bytes]] = []
        self.rots: set[int] = set()
        self.refuses = 0
        self.born = 1000
        self.asked = 0
        self.starts_again_at = 0

    def start_again(self) -> None:
        """Hold and know nothing of before."""
        self.born += 1
        self.serving = 0
        self.orders = 0
        self.place = {}

    async def report(self) -> EngineReport:
        self.asked += 1
        if self.asked == self.starts_again_at:
            self.start_again()
        serving = {'m': self.serving} if self.serving else {}
        return EngineReport(0, 0, 0, 1, serving, False, self.orders, self.born)

    async def staged(self, model: str) -> list[int]:
        return sorted(self.place)

    async def read_staged(self, model: str, index: int) -> bytes | None:
        return self.place.get(index)

    async def stage(self, model: str, index: int, piece: bytes) -> None:
        if self.refuses:
            self.refuses -= 1
            raise OrderError('engine-refused')
        self.place[index] = piece
        if index in self.rots:
            self.rots.discard(index)
            self.place[index] = b'rotten'

    async def take(self, model: str, version: int, orders: int) -> Order:
        if orders != self.orders:
            return Order.CONFLICT
        self.orders += 1
        self.taken.append(dict(self.place))
        self.serving = version
        return Order.TAKEN


class FollowerRig(unittest.IsolatedAsyncioTestCase):
    """Follow versions over fakes."""

    decisions = Decisions()

    async def asyncSetUp(self) -> None:
        self.origin = FakeOrigin()
        self.engine = FakeEngine()
        self.wanted = WantedVersions(8)
        store = ChunkStore()
        tally = Tally()
        cfg = Transfer()
        link = OpenLink()
        tools = Tools(
            me=ME,
            store=store,
            fetcher=Fetcher(ME, TcpDialler(), link),
            uploads=Uploads(store, link, tally, cfg.upload_queue),
            origin=OriginChunks(self.origin),
            link=link,
            clock=SystemClock(),
            rng=Random(1),
            tally=tally,
            metrics=open_metrics('', 0),
            cfg=cfg,
        )
        self.follower = VersionFollower(
            tools,
            self.engine,
            self.origin,
            self.wanted,
            7700,
            self.decisions,
        )
        self.follower.fleet.peers = {ME: 'z1'}
        self.follower.fleet.origin_bytes_per_s = 1.0e9
        self.follower.start()

    async def asyncTearDown(self) -> None:
        await self.follower.close()

    async def until_served(self, version: int) -> None:
        """Play the report that the process beside the engine reads."""
        async with asyncio.timeout(60):
            while self.engine.serving != version:
                self.follower.report = await self.engine.report()
                self.follower.wake()
                await asyncio.sleep(0.01)

    def check_taken(self, *versions: int) -> None:
        """Each order took one whole version."""
        for place, version in zip(self.engine.taken, versions, strict=True):
            whole = {index: chunk(version, index) for index in range(COUNT)}
            self.assertEqual(place, whole)


class FollowerTest(FollowerRig):
    """Versions that are named, engines that are empty, chunks that rot."""

    async def test_named_version_is_served_whole(self) -> None:
        """Every chunk is read once, laid, and taken by one order."""
        self.wanted.add_named('m', 2, 0)
        await self.until_served(2)
        self.check_taken(2)
        self.assertEqual(len(self.origin.reads), COUNT)

    async def test_serving_version_comes_to_an_empty_engine(self) -> None:
        """Nobody named it; others serve it."""
        self.wanted.add_serving([('m', 1)])
        await self.until_served(1)
        self.check_taken(1)

    async def test_a_step_reckons_once_what_is_here(self) -> None:
        """What the plan was made by is what is fetched by."""
        self.wanted.add_named('m', 2, 0)
        await self.until_served(2)
        # No other step comes in between.
        assert self.follower._task is not None
        self.follower._task.cancel()
        fetching = self.follower._fetching
        with mock.patch.object(
            fetching,
            'progress_of',
            side_effect=fetching.progress_of,
        ) as brought:
            await self.follower._step()
        self.assertEqual(brought.call_count, 1)

    async def test_spoilt_chunk_is_read_again(self) -> None:
        """What fails its digest is neither kept nor laid."""
        self.origin.spoils = {0, 3}
        self.wanted.add_named('m', 2, 0)
        await self.until_served(2)
        self.check_taken(2)

    async def test_chunk_that_turned_bad_where_it_lay_is_laid_again(
        self,
    ) -> None:
        """All is read back before the order."""
        self.engine.rots = {1, 5}
        self.wanted.add_named('m', 2, 0)
        await self.until_served(2)
        self.check_taken(2)

    async def test_refused_laying_is_tried_again(self) -> None:
        """An engine that does not answer for a while is served later."""
        self.engine.refuses = 3
        self.wanted.add_named('m', 2, 0)
        await self.until_served(2)
        self.check_taken(2)

    async def test_a_process_that_forgot_takes_back_what_lies_there(
        self,
    ) -> None:
        """After a restart the origin is not read again."""
        self.engine.place = {index: chunk(1, index) for index in range(COUNT)}
        self.engine.place[2] = b'rotten'
        self.wanted.add_serving([('m', 1)])
        await self.until_served(1)
        self.check_taken(1)
        self.assertEqual(self.origin.reads, [(1, 2)])

    async def test_an_engine_that_starts_again(self) -> None:
        """All is laid and ordered anew for its new life."""
        self.wanted.add_named('m', 2, 0)
        await self.until_served(2)
        self.engine.start_again()
        await self.until_served(2)
        self.check_taken(2, 2)
        # The origin was not read again for that.
        self.assertEqual(len(self.origin.reads), COUNT)

    async def test_an_engine_that_starts_again_at_any_moment(self) -> None:
        """No order counts on what was read back in the life before."""
        self.wanted.add_named('m', 2, 0)
        for moment in range(1, 12):
            with self.subTest(moment=moment):
                self.engine.start_again()
                self.engine.taken.clear()
                self.engine.starts_again_at = self.engine.asked + moment
                await self.until_served(2)
                self.check_taken(*(2 for _ in self.engine.taken))

    async def test_newer_version_while_the_older_is_served(self) -> None:
        """Both are taken whole, one after the other."""
        self.wanted.add_named('m', 2, 0)
        await self.until_served(2)
        self.wanted.add_named('m', 3, 1)
        await self.until_served(3)
        self.check_taken(2, 3)

    async def test_origin_that_comes_back(self) -> None:
        """Nothing is lost while it is away."""
        self.origin.away = True
        self.wanted.add_named('m', 2, 0)
        for _ in range(10):
            self.follower.report = await self.engine.report()
            self.follower.wake()
            await asyncio.sleep(0.01)
        self.assertEqual(self.engine.taken, [])
        self.origin.away = False
        await self.until_served(2)
        self.check_taken(2)

    async def test_older_version_goes_on_while_the_newer_has_no_manifest(
        self,
    ) -> None:
        """An origin that goes away between two names keeps back one only."""
        now = SystemClock().now()
        # Transfers are so slow that the older would be left out.
        self.follower.transfer_s = 8
        self.origin.lacks = {3}
        self.origin.spoils = {0}
        self.wanted.add_named('m', 2, now)
        self.follower.report = await self.engine.report()
        while self.follower.target is None:
            self.follower.wake()
            await asyncio.sleep(0)
        self.wanted.add_named('m', 3, now + 1)
        await self.until_served(2)
        self.origin.lacks = set()
        await self.until_served(3)
        self.check_taken(2, 3)

    async def test_older_version_is_left_out(self) -> None:
        """The newer can be whole in time: one change, and one transfer."""
        self.engine.serving = 1
        self.follower.report = await self.engine.report()
        now = SystemClock().now()
        self.wanted.add_named('m', 2, now)
        self.wanted.add_named('m', 3, now)
        await self.until_served(3)
        self.check_taken(3)


class ByNamingTest(FollowerRig):
    """Where versions are weighed by when they were named."""

    decisions = Decisions(version_plan='by-naming')

    async def test_next_version_is_fetched_while_one_waits_to_be_taken(
        self,
    ) -> None:
        """The link is free once all of a version is here."""
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
        await self.until_served(3)
        self.check_taken(2, 3)


if __name__ == '__main__':
    unittest.main()
