"""Tasks that run for as long as their process, and errors nobody expects."""

import asyncio
import contextlib
import unittest
from random import Random
from typing import Any
from unittest import mock

from linnetwood.core import failures
from linnetwood.core.events import Event
from linnetwood.core.owner import TaskOwner, supervise
from linnetwood.fleet.freshness import RelayedUpdate
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.ranges import Change, Changes, Record, Snapshot
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.startupsync import StartupSync
from linnetwood.lab import virtual
from tests.test_following import RecordingSink, ScriptedStore

FIRST = Record(b'1', 5)
SECOND = Change('k', Record(b'2', 6))
THIRD = Change('k', Record(b'3', 7))


class FailingSink(RecordingSink):
    """A sink that raises an error the first times that it is called."""

    def __init__(self, failures: int) -> None:
        super().__init__()
        self.failures = failures

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Record changes once all errors were raised."""
        if self.failures:
            self.failures -= 1
            raise ZeroDivisionError
        super().apply_changes(changes)


class FailingRangeSink(RecordingSink):
    """A sink that raises an error the second time that all is replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    def replace_all(self, found: Snapshot) -> None:
        """Record a range unless it is the second one."""
        self.reads += 1
        if self.reads == 2:
            raise ZeroDivisionError
        super().replace_all(found)


class FailingOwner(TaskOwner):
    """Raise an error in the first run, and end in the second one."""

    def __init__(self) -> None:
        super().__init__()
        self.runs = 0

    async def _run(self) -> None:
        self.runs += 1
        if self.runs == 1:
            raise ZeroDivisionError


class SupervisedTaskTest(unittest.TestCase):
    """Errors of tasks are logged, and the tasks go on."""

    def setUp(self) -> None:
        self.lines: list[tuple[Event, dict[str, Any]]] = []
        patched = mock.patch.object(failures, 'log', self.note)
        patched.start()
        self.addCleanup(patched.stop)

    def note(self, event: Event, **fields: Any) -> None:
        """Record a log line."""
        self.lines.append((event, fields))

    def test_a_task_runs_again(self) -> None:
        """Guards against a task that an error ends without a log line."""

        async def scenario() -> int:
            one = FailingOwner()
            one.start()
            await asyncio.sleep(9)
            await one.close()
            return one.runs

        self.assertEqual(virtual.run(scenario()), 2)
        event, fields = self.lines[0]
        self.assertEqual(event, Event.TASK_FAILED)
        self.assertEqual(fields['detail'], 'FailingOwner')
        self.assertEqual(fields['error'], 'ZeroDivisionError')

    def test_a_task_is_cancelled_in_its_pause(self) -> None:
        """Guards against a task that outlives its owner."""

        async def fail() -> None:
            raise ZeroDivisionError

        async def scenario() -> None:
            task = asyncio.create_task(supervise('one', fail))
            await asyncio.sleep(0.01)
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task

        virtual.run(scenario())

    def test_an_error_while_a_task_is_cancelled(self) -> None:
        """Guards against an owner that waits for ever for its task."""

        async def fail_at_the_end() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                raise ZeroDivisionError

        async def scenario() -> bool:
            task = asyncio.create_task(supervise('one', fail_at_the_end))
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.sleep(9)
            is_done = task.done()
            while not task.done():
                task.cancel()
                await asyncio.sleep(0.01)
            return is_done

        self.assertTrue(virtual.run(scenario()))
        self.assertEqual(len(self.lines), 1)

    def test_a_follower_goes_on(self) -> None:
        """Guards against a view that is stale for good after one error."""

        async def scenario() -> tuple[RecordingSink, float, float]:
            store = ScriptedStore(
                Snapshot({'k': FIRST}, 5),
                Changes((SECOND,), 6),
                Changes((SECOND,), 6),
                Changes((THIRD,), 7),
            )
            sink = FailingSink(1)
            follower = RangeFollower(store, '', sink, Random(1))
            follower.start()
            await store.done.wait()
            await follower.close()
            now = asyncio.get_running_loop().time()
            return sink, now, follower.confirmed_at

        sink, now, confirmed_at = virtual.run(scenario())
        self.assertEqual(sink.calls, [{'k': FIRST}, SECOND, THIRD])
        self.assertLess(now - confirmed_at, 0.1)

    def test_a_start_that_fails_starts_one_follower(self) -> None:
        """Guards against followers beside each other that ask one store."""

        async def find_none() -> list[str]:
            raise ZeroDivisionError

        async def scenario() -> list[tuple[str, int]]:
            store = ScriptedStore()
            follower = RangeFollower(store, '', RecordingSink(), Random(1))
            selector = RelaySelector('10.0.0.1', Random(1))
            one = StartupSync(follower, selector, find_none, lambda _: None)
            one.start()
            await asyncio.sleep(9)
            await one.close()
            await follower.close()
            return store.requests

        self.assertEqual(virtual.run(scenario()), [('read', 0)])

    def test_a_relay_brings_again_what_failed(self) -> None:
        """Guards against a view that counts as fresh and lacks a change."""

        async def scenario() -> RecordingSink:
            sink = FailingSink(1)
            follower = RangeFollower(ScriptedStore(), '', sink, Random(1))
            first = RelayedUpdate(5, 0, 0, 0, 0, True, (Change('k', FIRST),))
            follower.apply_update(first)
            with self.assertRaises(ZeroDivisionError):
                follower.apply_update(
                    RelayedUpdate(6, 0, 0, 0, 0, False, (SECOND,))
                )
            # The next connection asks for what the mirror lacks.
            known = follower.mirror.revision
            lacking = (SECOND,) if SECOND.may_follow(known) else ()
            follower.apply_update(RelayedUpdate(6, 0, 0, 0, 0, False, lacking))
            return sink

        sink = virtual.run(scenario())
        self.assertEqual(sink.calls, [{'k': FIRST}, SECOND])

    def test_a_range_that_failed_is_asked_for_again(self) -> None:
        """Guards against a view that counts as fresh and lacks a range."""

        async def scenario() -> int:
            sink = FailingRangeSink()
            follower = RangeFollower(ScriptedStore(), '', sink, Random(1))
            for revision in (5, 6):
                update = RelayedUpdate(
                    revision, 0, 0, 0, 0, True, (Change('k', FIRST),)
                )
                with contextlib.suppress(ZeroDivisionError):
                    follower.apply_update(update)
            return follower.mirror.revision

        self.assertEqual(virtual.run(scenario()), 5)


if __name__ == '__main__':
    unittest.main()
