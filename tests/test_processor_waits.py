"""Times at which an entry had no processor are recorded as its faults."""

import pathlib
import tempfile
import unittest
from types import SimpleNamespace
from typing import Any

from linnetwood.lab.soak.history import FaultRecord, History
from linnetwood.lab.soak.processorwaits import ProcessorWaits

PID = 42
NAME = 'entry-0'


class ProcessorWaitsTest(unittest.TestCase):
    """Read the totals of a process from files as the kernel writes them."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.proc = pathlib.Path(folder.name)
        (self.proc / str(PID)).mkdir()
        process = SimpleNamespace(pid=PID)
        vm: Any = SimpleNamespace(name=NAME, process=process)
        self.history = History()
        self.waits = ProcessorWaits([vm], self.history, self.proc)

    def sample(self, total_ms: int, now: float) -> None:
        """Take a sample when the process has waited for so long in all."""
        path = self.proc / str(PID) / 'schedstat'
        path.write_text(f'7000000 {total_ms}000000 99\n')
        self.waits.sample(now)

    def test_long_waits_excuse_the_entry_for_that_time_only(self) -> None:
        """Guard against excuses without a wait, and waits that are missed."""
        for total_ms, now in ((500, 1), (700, 1.1), (900, 1.2), (3300, 4)):
            self.sample(total_ms, now)
        found = self.history.troubles
        self.assertEqual([(one.until, one.who) for one in found], [(4, NAME)])
        self.assertAlmostEqual(found[0].at, 1.6)
        self.assertTrue(self.history.is_fault_free('entry-1', 0, 9))

    def test_processes_that_have_ended(self) -> None:
        """Guard against a sample that ends the soak."""
        self.waits.sample(1)
        self.assertEqual(self.history.troubles, list[FaultRecord]())


if __name__ == '__main__':
    unittest.main()
