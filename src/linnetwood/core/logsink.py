"""Write log lines to standard output without ever waiting for its reader.

Lines beyond a budget, and lines that a slow reader leaves behind, are dropped
and counted: successes first, failures last. The count is logged in its turn.
"""

import asyncio
import collections
import logging
import os
from collections.abc import Callable

from linnetwood.core.clock import seconds

# Budget of one process, over any second and with one second's burst.
LINES_PER_S = 400
BYTES_PER_S = 160000
# Successes stop at this share of the budget, so that failures have room.
_SUCCESS_SHARE = 0.6
_BACKLOG_BYTES = 262144
_REPORT_EVERY_S = 1.0
_FAILURE = logging.WARNING


class Budget:
    """Allow lines and bytes a second; no clock inside."""

    def __init__(self, lines_per_s: float, bytes_per_s: float) -> None:
        """Begin with a second's worth."""
        self._lines_per_s = lines_per_s
        self._bytes_per_s = bytes_per_s
        self._lines = lines_per_s
        self._bytes = bytes_per_s
        self._at = float()

    def allows(self, size: int, now: float, reserve: float) -> bool:
        """Take a line, but leave a reserved share of the budget."""
        past = max(0, now - self._at)
        self._at = now
        self._lines = min(
            self._lines_per_s,
            self._lines + past * self._lines_per_s,
        )
        self._bytes = min(
            self._bytes_per_s,
            self._bytes + past * self._bytes_per_s,
        )
        lines = self._lines - reserve * self._lines_per_s
        octets = self._bytes - reserve * self._bytes_per_s
        if lines < 1 or octets < size:
            return False
        self._lines -= 1
        self._bytes -= size
        return True


class BoundedHandler(logging.Handler):
    """Format records and write what the budget and the reader allow."""

    def __init__(
        self,
        fd: int,
        report: Callable[[int], None],
        clock: Callable[[], float] = seconds,
    ) -> None:
        """Write to a descriptor; report how many lines were dropped."""
        super().__init__()
        os.set_blocking(fd, False)  # noqa: WPS425
        self.dropped = 0
        self._fd = fd
        self._report = report
        self._clock = clock
        self._budget = Budget(LINES_PER_S, BYTES_PER_S)
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._reported_at = clock()
        self._waits = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line now, keep it for the reader, or drop it."""
        line = f'{self.format(record)}\n'.encode()
        now = self._clock()
        failure = record.levelno >= _FAILURE
        reserve = 0 if failure else 1 - _SUCCESS_SHARE
        allowed = self._budget.allows(len(line), now, reserve)
        if allowed and self._room(len(line), failure=failure):
            self._backlog.append(line)
            self._backlog_bytes += len(line)
            self._write()
        else:
            self.dropped += 1
        self._tell_dropped(now)

    def flush(self) -> None:
        """Write what the reader takes at once."""
        self._write()

    def _room(self, size: int, *, failure: bool) -> bool:
        share = 1 if failure else _SUCCESS_SHARE
        return self._backlog_bytes + size <= _BACKLOG_BYTES * share

    def _write(self) -> None:
        while self._backlog:
            line = self._backlog[0]
            try:
                taken = os.write(self._fd, line)
            except BlockingIOError:
                self._wait()
                return
            except OSError:
                # Nobody reads any more; calls go on.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._took(line, taken)

    def _took(self, line: bytes, taken: int) -> None:
        self._backlog_bytes -= taken
        if taken == len(line):
            self._backlog.popleft()
        else:
            self._backlog[0] = line[taken:]

    def _wait(self) -> None:
        if self._waits:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._fd, self._again)
        except (RuntimeError, OSError, ValueError):
            # Without a loop, or for a file, the next line tries again.
            return
        self._waits = True

    def _again(self) -> None:
        asyncio.get_running_loop().remove_writer(self._fd)
        self._waits = False
        self._write()

    def _tell_dropped(self, now: float) -> None:
        due = now - self._reported_at >= _REPORT_EVERY_S
        if self.dropped and due:
            self._reported_at = now
            count = self.dropped
            self.dropped = 0
            self._report(count)
