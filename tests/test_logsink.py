"""Logging never blocks, and failures take precedence over successes."""

import asyncio
import json
import logging
import os
import unittest
from typing import Any

from linnetwood.core.events import Event, log, open_handler
from linnetwood.core.logformat import line_formatter
from linnetwood.core.logranks import WARNING_PERIOD_S, CallWarnings
from linnetwood.core.logsink import LINES_PER_S, BoundedHandler, Budget
from linnetwood.programs.losstables import CallTables


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


class EventsSink(Sink):
    """The handler of the programs on a pipe."""

    def __init__(self) -> None:
        super().__init__()
        self.handler = open_handler(self.writer, lambda: self.now)
        self.handler.setFormatter(line_formatter('e-1'))
        logger = logging.getLogger('linnetwood')
        self._handlers = logger.handlers
        self._propagates = logger.propagate
        self._level = logger.level
        logger.handlers = [self.handler]
        logger.propagate = False
        logger.setLevel(logging.INFO)

    def close(self) -> None:
        logger = logging.getLogger('linnetwood')
        logger.handlers = self._handlers
        logger.propagate = self._propagates
        logger.setLevel(self._level)
        super().close()

    def lines(self) -> list[dict[str, Any]]:
        """Return the lines that were written since the last time."""
        return [json.loads(line) for line in self.read()]


class EventsTest(unittest.TestCase):
    """Flood the log of a program with calls."""

    def setUp(self) -> None:
        self.sink = EventsSink()
        self.addCleanup(self.sink.close)

    def refuse(self, count: int, code: str = 'overloaded') -> None:
        """Log refused calls."""
        for number in range(count):
            log(Event.CALL_REFUSED, call=f'c-{number}', code=code, route='r')

    def test_calls_with_one_reason_get_one_warning(self) -> None:
        """Guards against changes of belief pushed out by refused calls."""
        self.sink.now = 10.0
        self.refuse(30)
        self.refuse(20, 'belief-old')
        log(Event.CALL_UNKNOWN, call='c', code='overloaded')
        log(Event.VIEW_STALE, code='waiting')
        lines = self.sink.lines()
        warnings = [
            (line['event'], line['code'])
            for line in lines
            if line['levelname'] == 'WARNING'
        ]
        self.assertEqual(
            warnings,
            [
                (6006, 'overloaded'),
                (6006, 'belief-old'),
                (6002, 'overloaded'),
                (3031, 'waiting'),
            ],
        )
        # Those that count calls find a line of each.
        self.assertEqual(len(lines), 52)
        tables = CallTables()
        for line in lines:
            tables.add_line(line)
        rows = tables.total.as_record()['organisations']
        self.assertEqual([row['refused'] for row in rows], [50])

    def test_calls_without_a_warning_are_counted_in_time(self) -> None:
        """Once the period is over, one line says how many there were."""
        self.sink.now = 10.0
        self.refuse(3)
        self.refuse(1, 'belief-old')
        self.sink.now = 10.0 + WARNING_PERIOD_S
        self.refuse(1)
        counted = self.sink.lines()[-2:]
        self.assertEqual([line['event'] for line in counted], [6016, 6006])
        self.assertEqual(counted[0]['calls'], {'6006 overloaded': 2})
        levels = [line['levelname'] for line in counted]
        self.assertEqual(levels, ['WARNING', 'WARNING'])

    def test_calls_are_counted_without_another_call(self) -> None:
        """Guards against a count that waits for the next refused call."""

        async def refuse_and_wait() -> list[dict[str, Any]]:
            self.sink.now = 10.0
            self.refuse(1)
            self.sink.now = 10.0 + WARNING_PERIOD_S - 0.001
            self.refuse(1)
            while True:
                await asyncio.sleep(0.001)
                lines = self.sink.lines()
                if any(line['event'] == 6016 for line in lines):
                    return lines

        with asyncio.Runner() as runner:
            lines = runner.run(refuse_and_wait())
        self.assertEqual(lines[-1]['calls'], {'6006 overloaded': 1})

    def test_flood_leaves_room_for_belief(self) -> None:
        """Guards against a view that becomes stale without a line."""
        self.refuse(LINES_PER_S * 3)
        for _ in range(20):
            log(Event.ROUTES_ADOPTED, version=7)
        lines = self.sink.lines()
        events = [line['event'] for line in lines]
        self.assertEqual(events.count(3009), 20)
        # Calls that are no warnings are failures still.
        self.assertEqual(events.count(6006), round(LINES_PER_S * 0.9))

    def test_unread_calls_leave_room_for_belief(self) -> None:
        """Guards against a backlog that is full of lines about calls."""
        for second in range(100):
            self.sink.now = float(second)
            for _ in range(30):
                log(Event.CALL_UNKNOWN, call='c', code='x' * 900, detail='')
        self.assertGreater(self.sink.handler.dropped, 0)
        self.sink.now = 100.0
        log(Event.VIEW_STALE, code='waiting')
        log(Event.ROUTES_ADOPTED, version=7)
        events = [line['event'] for line in self.sink.lines()]
        self.assertIn(3031, events)
        self.assertEqual(events[-1], 3009)

    def test_reasons_are_bounded(self) -> None:
        """Guards against memory that grows with the codes of calls."""
        warnings = CallWarnings()
        for number in range(1000):
            warnings.is_first(str(number), 0)
        self.assertEqual(warnings.end_period(), {'rest': 1000 - 64 - 1})


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
