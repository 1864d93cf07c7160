"""Signals while a resident program still imports its modules.

Guards against a program that a reload of its settings ends, since its handler
does not stand yet.
"""

import pathlib
import signal
import subprocess
import sys
import time
import unittest

from linnetwood.programs.exits import EXIT_SETTINGS

PROGRAMS = ('resident_entry', 'resident_endpoint')
POLL_S = 0.002


def ignores_hangup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    mask = int(status.partition('SigIgn:')[2].split()[0], 16)
    return bool(mask >> (signal.SIGHUP - 1) & 1)


def hang_up_early(process: subprocess.Popen[bytes]) -> bool:
    """Send SIGHUP once it is ignored; return whether it ever was."""
    while process.poll() is None:
        if ignores_hangup(process.pid):
            process.send_signal(signal.SIGHUP)
            return True
        time.sleep(POLL_S)
    return False


class EarlySignalsTest(unittest.TestCase):
    """Send SIGHUP to programs as early as they can be ready for it."""

    starts_processes = True

    def test_hangup_while_modules_are_imported(self) -> None:
        """The program goes on, and ends later for want of any settings."""
        for program in PROGRAMS:
            with self.subTest(program=program):
                process = subprocess.Popen(
                    (sys.executable, '-m', f'linnetwood.programs.{program}'),
                    stderr=subprocess.DEVNULL,
                    env={'PYTHONPATH': 'src'},
                )
                self.assertTrue(hang_up_early(process))
                self.assertEqual(process.wait(), EXIT_SETTINGS)


if __name__ == '__main__':
    unittest.main()
