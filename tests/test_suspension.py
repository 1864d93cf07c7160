"""A suspended VM: its steady clock stands still, the world goes on.

After it every age was too young by the suspension's length: a stale
configuration counted as fresh, and a pause of any length went unnoticed.
"""

import asyncio
import time
import unittest
from unittest import mock

from linnetwood.calls.configbasis import ConfigAgeTracker
from linnetwood.calls.crashes import CrashHistory, CrashRecord
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import Report
from linnetwood.core import loops
from linnetwood.core.clock import SystemClock
from linnetwood.core.pauses import PauseWatch
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab.virtual import VirtualClock, VirtualLoop
from linnetwood.wire.asking import Patience, ask
from linnetwood.wire.curldriver import CurlDriver, Request
from tests.test_curldriver import HOST, Server

SUSPENDED_S = 6.0


async def falls_silent(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Begin an answer, and never end it."""
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx')
    await reader.read()


class Suspension:
    """Let the clock that counts suspensions run ahead of the steady one."""

    def __init__(self) -> None:
        self.gone_s = float()
        self._told = time.clock_gettime

    def clock_gettime(self, which: int) -> float:
        """Tell any clock's time."""
        told = self._told(which)
        return told + self.gone_s if which == time.CLOCK_BOOTTIME else told


class ClockTest(unittest.TestCase):
    """What the programs go by."""

    def setUp(self) -> None:
        self.suspension = Suspension()
        patched = mock.patch(
            'time.clock_gettime', self.suspension.clock_gettime
        )
        patched.start()
        self.addCleanup(patched.stop)

    def test_ages_count_suspensions(self) -> None:
        """A pause is noticed, and what was heard before it is old."""
        clock = SystemClock()
        before = clock.now()
        watch = PauseWatch(before)
        tracker = ConfigAgeTracker(clock, lambda: before, SUSPENDED_S / 2)
        self.assertFalse(tracker.basis().is_stale)
        self.suspension.gone_s = SUSPENDED_S
        self.assertGreaterEqual(clock.now() - before, SUSPENDED_S)
        self.assertFalse(watch.may_order(clock.now()))
        self.assertTrue(tracker.basis().is_stale)


class LoopTest(unittest.TestCase):
    """The loop of the programs, while the two clocks drift apart."""

    def test_a_timer_that_was_due_meanwhile(self) -> None:
        """It fires soon after, whatever the steady clock says."""
        suspension = Suspension()

        async def play() -> float:
            loop = asyncio.get_running_loop()
            began = loop.time()
            fut: asyncio.Future[float] = loop.create_future()
            due_s = SUSPENDED_S * 100
            loop.call_later(due_s, lambda: fut.set_result(loop.time()))
            suspension.gone_s = due_s
            return await fut - began

        with mock.patch('time.clock_gettime', suspension.clock_gettime):
            self.assertGreaterEqual(loops.run(play()), SUSPENDED_S * 100)

    def test_no_wait_is_long(self) -> None:
        """Also where there is no timer at all, or one far away."""
        for asked in (None, 60, 0.01, 0):
            with mock.patch('selectors.DefaultSelector.select') as select:
                loops.ShortWaits().select(asked)
            with self.subTest(asked=asked):
                waited_s = select.call_args.args[0]
                self.assertLessEqual(waited_s, loops.WAIT_MOST_S)


class BeliefTest(unittest.TestCase):
    """What rests on ages, in virtual time: after a suspension they are true."""

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
        """Endpoints that were back, and may be cold, have been told by now."""
        directory = Directory()
        one = Endpoint('i', 's', '10.0.0.1', 80, 'z1', 8, ready=True)
        directory.update(one)
        directory.evacuate(frozenset(('z1',)), self.clock.now())
        directory.evacuate(frozenset(), self.clock.now())
        self.assertTrue(directory.is_cold(one, self.clock.now()))
        self.loop.suspend(SUSPENDED_S)
        self.assertFalse(directory.is_cold(one, self.clock.now()))

    def test_orders(self) -> None:
        """A pause is noticed, and no order given on what was known."""
        watch = PauseWatch(self.clock.now())
        self.assertTrue(watch.may_order(self.clock.now()))
        self.loop.suspend(SUSPENDED_S)
        self.assertFalse(watch.may_order(self.clock.now()))

    def test_a_report(self) -> None:
        """An endpoint's load of before counts for nothing."""
        report = Report(1, 1, 1, changing=False, received_at=self.clock.now())
        self.assertTrue(report.is_fresh(self.clock.now()))
        self.loop.suspend(SUSPENDED_S)
        self.assertFalse(report.is_fresh(self.clock.now()))
        self.assertTrue(report.is_overdue(self.clock.now()))

    def test_a_refusal(self) -> None:
        """Callers are told the time that is left, suspensions counted."""
        crashes = CrashHistory()
        for incarnation_id in 'ab':
            crashes.add(CrashRecord('l', incarnation_id), self.clock.now())
        before = crashes.refused_for_s('l', self.clock.now())
        self.loop.suspend(SUSPENDED_S)
        after = crashes.refused_for_s('l', self.clock.now())
        self.assertEqual(before - after, SUSPENDED_S)

    def test_a_kept_connection(self) -> None:
        """An answer that was silent meanwhile is given up, and asked anew."""

        async def play() -> float:
            server = Server(falls_silent)
            port = await server.start()
            driver = CurlDriver()
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, self._suspend)
            began = loop.time()
            req = Request(HOST, port, 'GET', '/', [], keep=True)
            await ask(driver, req, 99, Patience(SUSPENDED_S, SUSPENDED_S))
            driver.close()
            await server.close()
            return loop.time() - began

        self.suspension = Suspension()
        with mock.patch('time.clock_gettime', self.suspension.clock_gettime):
            took_s = loops.run(play())
        self.assertGreaterEqual(took_s, SUSPENDED_S)

    def _suspend(self) -> None:
        self.suspension.gone_s = SUSPENDED_S


if __name__ == '__main__':
    unittest.main()
