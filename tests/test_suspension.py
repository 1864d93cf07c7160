"""A suspended VM: CLOCK_MONOTONIC stops, while the other VMs continue.

Guards against ages that are too short by the length of the suspension: a stale
configuration counted as fresh, and a pause of any length was not detected.
"""

import asyncio
import math
import time
import unittest
from unittest import mock

from linnetwood.calls.configbasis import ConfigAgeTracker
from linnetwood.calls.crashes import CrashHistory, CrashRecord
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import Report
from linnetwood.core import loops
from linnetwood.core.clock import SystemClock
from linnetwood.core.pauses import PauseDetector
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab.virtual import VirtualClock, VirtualLoop
from linnetwood.wire.asking import SilenceLimits, ask
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.curlrequest import Request
from tests.crash_fleet import refused_s
from tests.test_curldriver import HOST, Server

SUSPENDED_S = 6.0


async def falls_silent(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send the beginning of an answer, and nothing more."""
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx')
    await reader.read()


class Suspension:
    """Advance CLOCK_BOOTTIME ahead of CLOCK_MONOTONIC."""

    def __init__(self) -> None:
        self.suspended_s = float()
        self._clock_gettime = time.clock_gettime

    def clock_gettime(self, which: int) -> float:
        """Return the time of a clock."""
        seconds = self._clock_gettime(which)
        if which == time.CLOCK_BOOTTIME:
            seconds += self.suspended_s
        return seconds


class ClockTest(unittest.TestCase):
    """The clock of the programs."""

    def setUp(self) -> None:
        self.suspension = Suspension()
        patched = mock.patch(
            'time.clock_gettime', self.suspension.clock_gettime
        )
        patched.start()
        self.addCleanup(patched.stop)

    def test_ages_count_suspensions(self) -> None:
        """A suspension is detected, and earlier information counts as old."""
        clock = SystemClock()
        before = clock.now()
        watch = PauseDetector(before)
        tracker = ConfigAgeTracker(clock, lambda: before, SUSPENDED_S / 2)
        self.assertFalse(tracker.basis().is_stale)
        self.suspension.suspended_s = SUSPENDED_S
        self.assertGreaterEqual(clock.now() - before, SUSPENDED_S)
        self.assertFalse(watch.may_order(clock.now()))
        self.assertTrue(tracker.basis().is_stale)


class LoopTest(unittest.TestCase):
    """The loop of the programs while the two clocks diverge."""

    def test_a_timer_that_became_due_meanwhile(self) -> None:
        """It fires soon after the suspension."""
        suspension = Suspension()

        async def play() -> float:
            loop = asyncio.get_running_loop()
            began = loop.time()
            fut: asyncio.Future[float] = loop.create_future()
            due_s = SUSPENDED_S * 100
            loop.call_later(due_s, lambda: fut.set_result(loop.time()))
            suspension.suspended_s = due_s
            return await fut - began

        with mock.patch('time.clock_gettime', suspension.clock_gettime):
            self.assertGreaterEqual(loops.run(play()), SUSPENDED_S * 100)

    def test_a_hold_up_is_known(self) -> None:
        """Guards against a proof by what runs after a freeze of the process."""
        suspension = Suspension()

        async def play() -> tuple[float, float]:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0)
            before_s = loops.held_up_s(loop)
            suspension.suspended_s = SUSPENDED_S
            await asyncio.sleep(0)
            return before_s, loops.held_up_s(loop)

        with mock.patch('time.clock_gettime', suspension.clock_gettime):
            before_s, after_s = loops.run(play())
        self.assertEqual(before_s, math.inf)
        self.assertLess(after_s, SUSPENDED_S)

    def test_no_wait_is_long(self) -> None:
        """Waits are bounded without a timer, too, or with a distant one."""
        for asked in (None, 60, 0.01, 0):
            with mock.patch('selectors.DefaultSelector.select') as select:
                loops.BoundedSelector().select(asked)
            with self.subTest(asked=asked):
                waited_s = select.call_args.args[0]
                self.assertLessEqual(waited_s, loops.MAX_WAIT_S)


class AgesTest(unittest.TestCase):
    """Decisions by age are right after a suspension, in virtual time."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.clock = VirtualClock(self.loop)

    def test_a_configuration(self) -> None:
        """A configuration that was not confirmed since is stale."""
        tracker = ConfigAgeTracker(self.clock, float, 1.8)
        self.assertFalse(tracker.basis().is_stale)
        self.loop.suspend(SUSPENDED_S)
        self.assertTrue(tracker.basis().is_stale)

    def test_a_version(self) -> None:
        """Its bound passes meanwhile: calls start on no older one."""
        wanted = WantedVersions(SUSPENDED_S)
        wanted.add_serving([('m', 1)])
        wanted.add_named('m', 2, self.clock.now())
        self.assertEqual(wanted.oldest_allowed('m', self.clock.now()), 0)
        self.loop.suspend(SUSPENDED_S)
        self.assertEqual(wanted.oldest_allowed('m', self.clock.now()), 2)

    def test_an_evacuation(self) -> None:
        """Endpoints of a zone that returned no longer count as cold."""
        directory = Directory()
        one = Endpoint('i', 's', '10.0.0.1', 80, 'z1', 8, ready=True)
        directory.update(one)
        directory.evacuate(frozenset(('z1',)), self.clock.now())
        directory.evacuate(frozenset(), self.clock.now())
        self.assertTrue(directory.is_cold(one, self.clock.now()))
        self.loop.suspend(SUSPENDED_S)
        self.assertFalse(directory.is_cold(one, self.clock.now()))

    def test_orders(self) -> None:
        """The pause is detected, and no order is given."""
        watch = PauseDetector(self.clock.now())
        self.assertTrue(watch.may_order(self.clock.now()))
        self.loop.suspend(SUSPENDED_S)
        self.assertFalse(watch.may_order(self.clock.now()))

    def test_a_report(self) -> None:
        """A report from before the suspension is stale and overdue."""
        report = Report(1, 1, 1, changing=False, received_at=self.clock.now())
        self.assertTrue(report.is_fresh(self.clock.now()))
        self.loop.suspend(SUSPENDED_S)
        self.assertFalse(report.is_fresh(self.clock.now()))
        self.assertTrue(report.is_overdue(self.clock.now()))

    def test_a_refusal(self) -> None:
        """The retry delay includes the suspension."""
        crashes = CrashHistory()
        for incarnation_id in 'ab':
            crashes.add(CrashRecord('l', incarnation_id), self.clock.now())
        before = refused_s(crashes, 'l', self.clock.now())
        self.loop.suspend(SUSPENDED_S)
        after = refused_s(crashes, 'l', self.clock.now())
        self.assertEqual(before - after, SUSPENDED_S)

    def test_a_kept_connection(self) -> None:
        """An answer that stayed silent times out and is requested again."""

        async def play() -> float:
            server = Server(falls_silent)
            port = await server.start()
            driver = CurlDriver()
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, self._suspend)
            began = loop.time()
            req = Request(HOST, port, 'GET', '/', [], keep=True)
            await ask(driver, req, 99, SilenceLimits(SUSPENDED_S, SUSPENDED_S))
            driver.close()
            await server.close()
            return loop.time() - began

        self.suspension = Suspension()
        with mock.patch('time.clock_gettime', self.suspension.clock_gettime):
            took_s = loops.run(play())
        self.assertGreaterEqual(took_s, SUSPENDED_S)

    def _suspend(self) -> None:
        self.suspension.suspended_s = SUSPENDED_S


if __name__ == '__main__':
    unittest.main()
