"""Write log lines to standard output without blocking on its reader.

Lines beyond a budget, and lines that a slow reader leaves unread, are dropped:
successes first, failures last. The number of dropped lines is logged as well.
"""

import asyncio
import collections
import logging
import os
from collections.abc import Callable

from linnetwood.core.clock import monotonic_s

# Budget of one process, with a burst of one second's worth.
LINES_PER_S = 400
BYTES_PER_S = 160000
# Successes may use this share of the budget; the rest is for failures.
_SUCCESS_SHARE = 0.6
_BACKLOG_BYTES = 262144
_REPORT_EVERY_S = 1.0
_FAILURE = logging.WARNING


class Budget:
    """A token bucket of lines and bytes; it has no clock of its own."""

    def __init__(self, lines_per_s: float, bytes_per_s: float) -> None:
        """Start with one second's worth."""
        self._lines_per_s = lines_per_s
        self._bytes_per_s = bytes_per_s
        self._lines = lines_per_s
        self._bytes = bytes_per_s
        self._at = float()

    def allows(self, size: int, now: float, reserve: float) -> bool:
        """Take a line of `size` bytes, unless it would use the reserve."""
        elapsed_s = max(0, now - self._at)
        self._at = now
        self._lines = min(
            self._lines_per_s,
            self._lines + elapsed_s * self._lines_per_s,
        )
        self._bytes = min(
            self._bytes_per_s,
            self._bytes + elapsed_s * self._bytes_per_s,
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
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        """Write to a descriptor; report the number of dropped lines."""
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
        self._is_waiting = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line now, append it to the backlog, or drop it."""
        line = f'{self.format(record)}\n'.encode()
        now = self._clock()
        failure = record.levelno >= _FAILURE
        reserve = 0 if failure else 1 - _SUCCESS_SHARE
        allowed = self._budget.allows(len(line), now, reserve)
        if allowed and self._has_room(len(line), failure=failure):
            self._backlog.append(line)
            self._backlog_bytes += len(line)
            self._write_backlog()
        else:
            self.dropped += 1
        self._report_dropped(now)

    def flush(self) -> None:
        """Write as much of the backlog as the reader accepts."""
        self._write_backlog()

    def _has_room(self, size: int, *, failure: bool) -> bool:
        share = 1 if failure else _SUCCESS_SHARE
        return self._backlog_bytes + size <= _BACKLOG_BYTES * share

    def _write_backlog(self) -> None:
        while self._backlog:
            line = self._backlog[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                self._wait_until_writable()
                return
            except OSError:
                # The reader is gone; the process continues without a log.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._remove_written(line, written)

    def _remove_written(self, line: bytes, written: int) -> None:
        self._backlog_bytes -= written
        if written == len(line):
            self._backlog.popleft()
        else:
            self._backlog[0] = line[written:]

    def _wait_until_writable(self) -> None:
        if self._is_waiting:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._fd, self._on_writable)
        except (RuntimeError, OSError, ValueError):
            # Without a loop, or for a file, the next line retries.
            return
        self._is_waiting = True

    def _on_writable(self) -> None:
        asyncio.get_running_loop().remove_writer(self._fd)
        self._is_waiting = False
        self._write_backlog()

    def _report_dropped(self, now: float) -> None:
        due = now - self._reported_at >= _REPORT_EVERY_S
        if self.dropped and due:
            self._reported_at = now
            count = self.dropped
            self.dropped = 0
            self._report(count)
