"""Logging never blocks, and failures take precedence over successes."""

import logging
import os
import unittest

from linnetwood.core.logsink import LINES_PER_S, BoundedHandler, Budget


class Sink:
    """A handler on a pipe that is read only on request."""

    def __init__(self) -> None:
        self.now = 0.0
        ends = os.pipe()
        self.reader = ends[0]
        self.writer = ends[1]
        self.reports: list[int] = []
        self.handler = BoundedHandler(
            self.writer,
            self.reports.append,
            lambda: self.now,
        )

    def close(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def emit(self, text: str, level: int = logging.INFO) -> None:
        record = logging.LogRecord('n', level, '', 0, text, (), None)
        self.handler.emit(record)

    def read(self) -> list[str]:
        os.set_blocking(self.reader, False)
        found = b''
        while True:
            try:
                piece = os.read(self.reader, 1000000)
            except BlockingIOError:
                return found.decode().splitlines()
            if not piece:
                return found.decode().splitlines()
            found += piece
            self.handler.flush()


class BoundedHandlerTest(unittest.TestCase):
    """Fill the pipe, the backlog and the budget."""

    def setUp(self) -> None:
        self.sink = Sink()
        self.addCleanup(self.sink.close)

    def test_full_pipe_never_blocks_and_keeps_failures(self) -> None:
        """If the reader is stuck, successes are dropped first, and counted."""
        sink = self.sink
        for second in range(400):
            sink.now = float(second)
            sink.emit('s' * 2000)
        dropped = sum(sink.reports) + sink.handler.dropped
        self.assertGreater(dropped, 100)
        sink.emit('failure', logging.WARNING)
        lines = sink.read()
        self.assertEqual(lines[-1], 'failure')
        self.assertEqual(len(lines) + dropped, 401)

    def test_budget_leaves_room_for_failures(self) -> None:
        """Successes beyond their share are dropped, failures are not."""
        sink = self.sink
        for _ in range(LINES_PER_S):
            sink.emit('success')
        self.assertGreater(sink.handler.dropped, 0)
        for _ in range(50):
            sink.emit('failure', logging.WARNING)
        self.assertEqual(sink.read().count('failure'), 50)

    def test_dropped_lines_are_reported_once_a_second(self) -> None:
        """The count is reported and then reset."""
        sink = self.sink
        for _ in range(LINES_PER_S * 2):
            sink.emit('success')
        self.assertEqual(sink.reports, [])
        sink.now = 1.5
        sink.emit('success')
        self.assertEqual(len(sink.reports), 1)
        self.assertEqual(sink.handler.dropped, 0)

    def test_reader_that_is_gone(self) -> None:
        """A closed pipe drops lines and raises nothing."""
        sink = Sink()
        os.close(sink.reader)
        sink.emit('lost')
        os.close(sink.writer)


class BudgetTest(unittest.TestCase):
    """Use up lines and bytes."""

    def test_refills_with_time(self) -> None:
        """One second's worth is added each second, and never more is held."""
        budget = Budget(10, 1000)
        taken = sum(budget.allows(10, 0, 0) for _ in range(30))
        self.assertEqual(taken, 10)
        taken = sum(budget.allows(10, 50, 0) for _ in range(30))
        self.assertEqual(taken, 10)
        self.assertFalse(Budget(10, 1000).allows(1001, 0, 0))


if __name__ == '__main__':
    unittest.main()
