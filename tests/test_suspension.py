"""A suspended VM: its steady clock stands still, the world goes on.

After it every age was too young by the suspension's length: an old belief was
taken for fresh, and a pause of any length went unnoticed.
"""

import time
import unittest
from unittest import mock

from linnetwood.calls.grounds import Vigil
from linnetwood.core.clock import SystemClock
from linnetwood.core.pauses import PauseWatch

SUSPENDED_S = 6.0


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
        vigil = Vigil(clock, lambda: before, SUSPENDED_S / 2)
        self.assertFalse(vigil.grounds().old)
        self.suspension.gone_s = SUSPENDED_S
        self.assertGreaterEqual(clock.now() - before, SUSPENDED_S)
        self.assertFalse(watch.may_order(clock.now()))
        self.assertTrue(vigil.grounds().old)


if __name__ == '__main__':
    unittest.main()
