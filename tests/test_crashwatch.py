"""What tells a crash, and how all entries learn of it; in virtual time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from linnetwood.calls.crashes import (
    CrashHistory,
    CrashRecord,
    incarnation_digest,
)
from linnetwood.calls.crashsharing import CrashPublisher
from linnetwood.calls.crashwatch import CrashWatch
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.core.errors import StoreError
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.lab.virtual import VirtualClock, run
from linnetwood.platform.crashstore import CrashFeed, crash_key

FINGERPRINT = 'c0' * 12
ENDPOINT = Endpoint('i-1', 'pool', '10.0.0.1', 80, 'z1', 8, ready=True, born=5)
CRASH = CrashRecord(FINGERPRINT, incarnation_digest(ENDPOINT.incarnation_id))


class RecordedReports:
    """Keep what is told."""

    def __init__(self) -> None:
        self.shared: list[CrashRecord] = []
        self.withdrawn: list[CrashRecord] = []

    def share(self, crash: CrashRecord) -> None:
        self.shared.append(crash)

    def withdraw(self, crash: CrashRecord) -> None:
        self.withdrawn.append(crash)


class FakeCrashStore:
    """Take what is written, but for the first few times."""

    max_records = 4

    def __init__(self, fails: int = 0) -> None:
        self.fails = fails
        self.calls: list[tuple[list[CrashRecord], list[CrashRecord]]] = []
        self.crashes: set[CrashRecord] = set()

    async def write(
        self, added: Sequence[CrashRecord], removed: Sequence[CrashRecord]
    ) -> None:
        self.calls.append((list(added), list(removed)))
        await asyncio.sleep(0.01)
        self.fails -= 1
        if self.fails >= 0:
            raise StoreError('store-unreachable')
        self.crashes = (self.crashes | set(added)) - set(removed)


class Scene:
    """An entry that lost an answer of one endpoint."""

    def __init__(self, *refused: bool) -> None:
        loop = asyncio.get_running_loop()
        self.probe_results = list(refused)
        self.crashes = CrashHistory()
        self.directory = Directory()
        self.directory.update(ENDPOINT)
        self.reports = RecordedReports()
        self.watch = CrashWatch(
            self.crashes,
            self.directory,
            VirtualClock(loop),
            self.is_refused,
            self.reports,
        )

    async def is_refused(self, host: str, port: int) -> bool:
        return self.probe_results.pop(0) if self.probe_results else False

    async def lose_answer(self, streamed_s: float = 0) -> int:
        """Lose an answer, let time pass, and count the ends."""
        self.watch.note_lost(FINGERPRINT, ENDPOINT, streamed_s)
        await asyncio.sleep(20)
        return self.crashes.crash_count(FINGERPRINT)


class CrashWatchTest(unittest.TestCase):
    """An answer that broke off, and what else is seen of its endpoint."""

    def count_crashes(
        self,
        *refused: bool,
        streamed_s: float = 0,
        before: Endpoint | None = None,
        after: Endpoint | None = None,
    ) -> int:
        """Give how many ends are held against the call."""

        async def play() -> int:
            scene = Scene(*refused)
            if before is not None:
                scene.directory.update(before)
            if after is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(2, scene.directory.update, after)
            return await scene.lose_answer(streamed_s)

        return run(play())

    def test_a_connection_that_is_refused(self) -> None:
        """It tells a crash, also where one more was still accepted."""
        self.assertEqual(self.count_crashes(True), 1)
        self.assertEqual(self.count_crashes(False, True), 1)

    def test_an_endpoint_that_lives(self) -> None:
        """A cut, a reset, a spoilt answer: nobody is suspected."""
        self.assertEqual(self.count_crashes(), 0)

    def test_another_life_at_the_address(self) -> None:
        """Under its id or another one: the earlier life has ended."""
        for other in (
            Endpoint('i-1', 'pool', '10.0.0.1', 80, 'z1', 8, True, born=9),
            Endpoint('i-2', 'pool', '10.0.0.1', 80, 'z1', 8, ready=True),
        ):
            with self.subTest(other=other.endpoint_id):
                crash_count = self.count_crashes(after=other)
                self.assertEqual(crash_count, 1)

    def test_an_address_that_others_use_now(self) -> None:
        """Another service says nothing of this one."""
        other = Endpoint('i-9', 'desk', '10.0.0.1', 80, 'z1', 8, ready=True)
        self.assertEqual(self.count_crashes(after=other), 0)

    def test_an_end_that_was_told_beforehand(self) -> None:
        """A drain ends calls that outlast it; that is no crash."""
        leaving = Endpoint(
            'i-1', 'pool', '10.0.0.1', 80, 'z1', 8, False, born=5
        )
        crash_count = self.count_crashes(True, before=leaving)
        self.assertEqual(crash_count, 0)

    def test_an_entry_that_has_gone(self) -> None:
        """So did the endpoint's word, before its calls broke off."""

        async def play() -> int:
            scene = Scene(True)
            scene.directory.mark_removed('i-1', 0)
            return await scene.lose_answer()

        self.assertEqual(run(play()), 0)

    def test_a_call_that_ran_well(self) -> None:
        """It is not what ended the endpoint."""
        self.assertEqual(self.count_crashes(True, streamed_s=1.2), 0)

    def test_all_suspects_of_one_crash(self) -> None:
        """One look serves all; those that are noticed later count too."""

        async def play() -> Scene:
            scene = Scene(True)
            for number in range(8):
                scene.watch.note_lost(f'l-{number}', ENDPOINT, 0)
            await asyncio.sleep(0.1)
            scene.watch.note_lost('late', ENDPOINT, 0)
            await asyncio.sleep(20)
            scene.watch.note_answered('l-3')
            return scene

        scene = run(play())
        self.assertEqual(len(scene.reports.shared), 9)
        self.assertEqual(scene.crashes.crash_count('late'), 1)
        self.assertEqual(
            [crash.fingerprint for crash in scene.reports.withdrawn], ['l-3']
        )


class CrashPublisherTest(unittest.TestCase):
    """What is shared, in how many calls."""

    def run_publisher(
        self,
        store: FakeCrashStore,
        work: Callable[[CrashPublisher], Awaitable[None]],
    ) -> None:
        """Let a teller work for a while."""

        async def play() -> None:
            publisher = CrashPublisher(store, Random(1), lambda: 1)
            publisher.start()
            await work(publisher)
            await asyncio.sleep(10)
            await publisher.close()

        run(play())

    def test_the_suspects_of_a_crash_go_together(self) -> None:
        """As many at a time as a call may carry, soon enough."""
        store = FakeCrashStore()
        crashes = [CrashRecord(f'l-{number}', 'a') for number in range(6)]

        async def work(publisher: CrashPublisher) -> None:
            for crash in crashes:
                publisher.share(crash)
            await asyncio.sleep(0.3)
            self.assertEqual(store.crashes, set(crashes))

        self.run_publisher(store, work)
        self.assertEqual(len(store.calls), 2)

    def test_a_store_that_is_away(self) -> None:
        """It is told within a second of its return."""
        store = FakeCrashStore(fails=8)

        async def work(publisher: CrashPublisher) -> None:
            publisher.share(CRASH)

        self.run_publisher(store, work)
        self.assertEqual(store.crashes, {CRASH})

    def test_cleared_before_it_was_told(self) -> None:
        """Nothing is written."""
        store = FakeCrashStore()

        async def work(publisher: CrashPublisher) -> None:
            publisher.share(CRASH)
            publisher.withdraw(CRASH)

        self.run_publisher(store, work)
        self.assertEqual(store.crashes, set())

    def test_cleared_while_it_is_told(self) -> None:
        """It is taken away again."""
        store = FakeCrashStore()

        async def work(publisher: CrashPublisher) -> None:
            publisher.share(CRASH)
            await asyncio.sleep(0.105)
            self.assertEqual(len(store.calls), 1)
            publisher.withdraw(CRASH)

        self.run_publisher(store, work)
        self.assertEqual(store.crashes, set())


class CrashFeedTest(unittest.TestCase):
    """Ends as they stand in the store."""

    def setUp(self) -> None:
        self.crashes = CrashHistory()
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        self.feed = CrashFeed(self.crashes, VirtualClock(loop))

    def test_ends_come_and_go(self) -> None:
        """By changes and by whole ranges."""
        key = crash_key(CRASH)
        self.assertLessEqual(len(key), 200)
        self.feed.apply_changes((Change(key, Record(b'', 3)),))
        self.assertEqual(self.crashes.crash_count(FINGERPRINT), 1)
        self.feed.apply_changes((Change(key, None),))
        self.assertEqual(self.crashes.crash_count(FINGERPRINT), 0)
        self.feed.replace_all(Snapshot({key: Record(b'', 3)}, 3))
        self.assertEqual(self.crashes.crash_count(FINGERPRINT), 1)
        self.feed.replace_all(Snapshot({}, 4))
        self.assertEqual(self.crashes.crash_count(FINGERPRINT), 0)

    def test_what_another_took_away(self) -> None:
        """Nobody here need take it away."""
        removed: list[CrashRecord] = []
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        clock = VirtualClock(loop)
        feed = CrashFeed(self.crashes, clock, removed=removed.append)
        feed.apply_changes((Change(crash_key(CRASH), Record(b'', 3)),))
        self.assertEqual(removed, [])
        feed.apply_changes((Change(crash_key(CRASH), None),))
        self.assertEqual(removed, [CRASH])

    def test_keys_that_others_wrote(self) -> None:
        """What is no such key is passed over; its value never counts."""
        for key in (
            'ends/',
            'ends/x/y',
            f'ends/{FINGERPRINT}',
            'ends/' + '/' * 9,
        ):
            self.feed.apply_changes((Change(key, Record(b'\xff', 3)),))
            self.feed.apply_changes((Change(key, None),))
        self.feed.apply_changes(
            (Change(crash_key(CRASH), Record(b'\xff{', 3)),)
        )
        self.assertEqual(self.crashes.crash_count(FINGERPRINT), 1)


if __name__ == '__main__':
    unittest.main()
