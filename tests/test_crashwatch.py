"""Crash detection, and how all entries learn of crashes; virtual time."""

import asyncio
import dataclasses
import unittest
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from unittest import mock

from linnetwood.calls.crashcauses import CrashCauses
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
    """Record the reports of a crash watch."""

    def __init__(self) -> None:
        self.shared: list[CrashRecord] = []
        self.withdrawn: list[CrashRecord] = []

    def share(self, crash: CrashRecord) -> None:
        self.shared.append(crash)

    def withdraw(self, crash: CrashRecord, *, urgent: bool) -> None:
        self.withdrawn.append(crash)


class FakeCrashStore:
    """A store whose first few writes fail."""

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
    """An entry whose answer from one endpoint breaks off."""

    def __init__(self, *refused: bool) -> None:
        loop = asyncio.get_running_loop()
        self.probe_results = list(refused)
        self.crashes = CrashHistory()
        self.directory = Directory()
        self.directory.update(ENDPOINT)
        self.reports = RecordedReports()
        self.watch = CrashWatch(
            self.crashes,
            CrashCauses(self.crashes, Random(1), lambda: 1),
            self.directory,
            VirtualClock(loop),
            self.is_refused,
            self.proves_to_run,
            self.reports,
        )

    async def is_refused(self, host: str, port: int) -> bool:
        return self.probe_results.pop(0) if self.probe_results else False

    async def proves_to_run(self, endpoint: Endpoint) -> bool:
        return not await self.is_refused(endpoint.host, endpoint.port)

    async def lose_answer(self, streamed_s: float = 0) -> int:
        """Lose an answer, wait, and count the crashes held for its call."""
        self.watch.note_lost(FINGERPRINT, ENDPOINT, streamed_s)
        await asyncio.sleep(20)
        return self.crashes.crash_count(FINGERPRINT)


class CrashWatchTest(unittest.TestCase):
    """An answer that broke off, with other observations of its endpoint."""

    def count_crashes(
        self,
        *refused: bool,
        streamed_s: float = 0,
        before: Endpoint | None = None,
        after: Endpoint | None = None,
    ) -> int:
        """Return the number of crashes held for the call."""

        async def scenario() -> int:
            scene = Scene(*refused)
            if before is not None:
                scene.directory.update(before)
            if after is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(2, scene.directory.update, after)
            return await scene.lose_answer(streamed_s)

        return run(scenario())

    def test_refused_connection(self) -> None:
        """It shows a crash, even if one more connection was accepted before."""
        self.assertEqual(self.count_crashes(True), 1)
        self.assertEqual(self.count_crashes(False, True), 1)

    def test_endpoint_still_runs(self) -> None:
        """A cut, a reset or a spoilt answer makes no call suspect."""
        self.assertEqual(self.count_crashes(), 0)

    def test_new_incarnation_at_the_address(self) -> None:
        """Under the same id or another one, the earlier incarnation crashed."""
        for other in (
            Endpoint('i-1', 'pool', '10.0.0.1', 80, 'z1', 8, True, born=9),
            Endpoint('i-2', 'pool', '10.0.0.1', 80, 'z1', 8, ready=True),
        ):
            with self.subTest(other=other.endpoint_id):
                crash_count = self.count_crashes(after=other)
                self.assertEqual(crash_count, 1)

    def test_address_used_by_another_service(self) -> None:
        """Another service at the address shows no crash."""
        other = Endpoint('i-9', 'desk', '10.0.0.1', 80, 'z1', 8, ready=True)
        self.assertEqual(self.count_crashes(after=other), 0)

    def test_announced_stop(self) -> None:
        """A drain cuts calls that outlast it; that is no crash."""
        leaving = Endpoint(
            'i-1', 'pool', '10.0.0.1', 80, 'z1', 8, False, born=5
        )
        crash_count = self.count_crashes(True, before=leaving)
        self.assertEqual(crash_count, 0)

    def test_endpoint_no_longer_listed(self) -> None:
        """It left the directory before its calls broke off: no crash."""

        async def scenario() -> int:
            scene = Scene(True)
            scene.directory.mark_removed('i-1', 0)
            return await scene.lose_answer()

        self.assertEqual(run(scenario()), 0)

    def test_call_that_streamed_for_long(self) -> None:
        """It did not cause the crash."""
        self.assertEqual(self.count_crashes(True, streamed_s=1.2), 0)

    def test_answer_that_ends_as_its_endpoint_crashes(self) -> None:
        """Guard against half an answer that is taken as whole.

        What forwards to the endpoint may accept one more connection, after
        another call has shown that the endpoint crashed.
        """

        async def scenario(*probe_results: bool) -> bool:
            scene = Scene(*probe_results)
            scene.watch.note_lost('other', ENDPOINT, 0)
            await asyncio.sleep(0.1)
            scene.watch.note_answered('other')
            survived = await scene.watch.survived(ENDPOINT)
            await scene.watch.close()
            return survived

        self.assertFalse(run(scenario(True, True)))
        self.assertFalse(run(scenario(True, False)))
        self.assertTrue(run(scenario(False, False)))

    def test_answer_that_ends_as_its_endpoint_leaves(self) -> None:
        """Guards against half an answer of an endpoint that ended as planned.

        It may have announced that, or be listed no longer.
        """
        leaving = dataclasses.replace(ENDPOINT, ready=False)

        async def scenario(listed: Endpoint | None) -> bool:
            scene = Scene(True)
            if listed is None:
                scene.directory.mark_removed('i-1', 0)
            else:
                scene.directory.update(listed)
            return await scene.watch.survived(ENDPOINT)

        for listed in (ENDPOINT, leaving, None):
            with self.subTest(listed=listed):
                self.assertFalse(run(scenario(listed)))

    def test_answer_whose_endpoint_was_replaced(self) -> None:
        """Guards against the proof that something else runs at the address."""
        others = (
            dataclasses.replace(ENDPOINT, born=9),
            dataclasses.replace(ENDPOINT, endpoint_id='i-2', service='desk'),
        )

        async def scenario(other: Endpoint) -> bool:
            scene = Scene()
            scene.directory.update(other)
            return await scene.watch.survived(ENDPOINT)

        for other in others:
            with self.subTest(other=other.endpoint_id):
                self.assertFalse(run(scenario(other)))
        self.assertTrue(run(scenario(ENDPOINT)))

    def test_all_suspects_of_a_crash(self) -> None:
        """One check serves all calls; those lost a little later count too."""

        async def scenario() -> Scene:
            scene = Scene(True)
            for number in range(8):
                scene.watch.note_lost(f'l-{number}', ENDPOINT, 0)
            await asyncio.sleep(0.1)
            scene.watch.note_lost('late', ENDPOINT, 0)
            await asyncio.sleep(20)
            scene.watch.note_answered('l-3')
            return scene

        scene = run(scenario())
        self.assertEqual(len(scene.reports.shared), 9)
        self.assertEqual(scene.crashes.crash_count('late'), 1)
        self.assertEqual(
            [crash.fingerprint for crash in scene.reports.withdrawn], ['l-3']
        )


class CrashPublisherTest(unittest.TestCase):
    """Which records are written, in how many calls."""

    def run_publisher(
        self,
        store: FakeCrashStore,
        work: Callable[[CrashPublisher], Awaitable[None]],
    ) -> None:
        """Run a publisher for 10 s after some work."""

        async def scenario() -> None:
            publisher = CrashPublisher(store, Random(1), lambda: 1)
            publisher.start()
            await work(publisher)
            await asyncio.sleep(10)
            await publisher.close()

        run(scenario())

    def test_suspects_of_a_crash_are_written_together(self) -> None:
        """Each call carries as many as the store allows, within 0.3 s."""
        store = FakeCrashStore()
        crashes = [CrashRecord(f'l-{number}', 'a') for number in range(6)]

        async def work(publisher: CrashPublisher) -> None:
            for crash in crashes:
                publisher.share(crash)
            await asyncio.sleep(0.3)
            self.assertEqual(store.crashes, set(crashes))

        self.run_publisher(store, work)
        self.assertEqual(len(store.calls), 2)

    def test_unreachable_store(self) -> None:
        """It gets the record within a second after it is reachable again."""
        store = FakeCrashStore(fails=8)

        async def work(publisher: CrashPublisher) -> None:
            publisher.share(CRASH)

        self.run_publisher(store, work)
        self.assertEqual(store.crashes, {CRASH})

    def test_withdrawn_before_it_is_written(self) -> None:
        """Nothing is written."""
        store = FakeCrashStore()

        async def work(publisher: CrashPublisher) -> None:
            publisher.share(CRASH)
            publisher.withdraw(CRASH)

        self.run_publisher(store, work)
        self.assertEqual(store.crashes, set())

    def test_withdrawn_while_it_is_written(self) -> None:
        """It is removed again."""
        store = FakeCrashStore()

        async def work(publisher: CrashPublisher) -> None:
            publisher.share(CRASH)
            await asyncio.sleep(0.105)
            self.assertEqual(len(store.calls), 1)
            publisher.withdraw(CRASH)

        self.run_publisher(store, work)
        self.assertEqual(store.crashes, set())


class CrashFeedTest(unittest.TestCase):
    """Crash records read from the store."""

    def setUp(self) -> None:
        self.crashes = CrashHistory()
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        self.feed = CrashFeed(self.crashes, VirtualClock(loop))

    def test_records_are_added_and_removed(self) -> None:
        """By single changes and by whole ranges."""
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

    def test_removed_by_another_entry(self) -> None:
        """The publisher is told, so that it need not remove the record."""
        stored = mock.Mock()
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        clock = VirtualClock(loop)
        feed = CrashFeed(self.crashes, clock, stored=stored)
        feed.apply_changes((Change(crash_key(CRASH), Record(b'', 3)),))
        stored.note_removed.assert_not_called()
        feed.apply_changes((Change(crash_key(CRASH), None),))
        stored.note_removed.assert_called_once_with(CRASH)

    def test_unexpected_keys(self) -> None:
        """Other keys are ignored, and the value of a key never matters."""
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
