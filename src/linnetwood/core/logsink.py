"""Write log lines to standard output without blocking on its reader.

Lines beyond a budget, and lines that a slow reader leaves unread, are dropped:
successes first, then failures, and last what the process knows. The number of
dropped lines is logged as well.
"""

import asyncio
import collections
import contextlib
import logging
import os
from collections.abc import Callable
from types import MappingProxyType

from linnetwood.core.clock import monotonic_s
from linnetwood.core.logranks import CallWarnings, Rank

# Budget of one process, with a burst of one second's worth.
LINES_PER_S = 400
BYTES_PER_S = 160000
# The shares of the budget and of the backlog that lines of a rank may fill.
_SHARES = MappingProxyType(
    {Rank.SUCCESS: 0.6, Rank.FAILURE: 0.9, Rank.BELIEF: 1.0},
)
_BACKLOG_BYTES = 262144
_REPORT_EVERY_S = 1.0


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


def rank_by_level(record: logging.LogRecord) -> Rank:
    """Return the rank of a line of which only the level is known."""
    if record.levelno >= logging.WARNING:
        return Rank.FAILURE
    return Rank.SUCCESS


def _no_reason(record: logging.LogRecord) -> str:
    """Return no reason of a call by default."""
    return ''


def _ignore(counts: dict[str, int]) -> None:
    """Report nothing by default."""


class BoundedHandler(logging.Handler):
    """Format records and write what the budget and the reader allow.

    Of the warnings with one `call_reason`, the first in a period stays one. The
    others become informative lines, and `report_calls` gets their numbers.
    """

    def __init__(
        self,
        fd: int,
        report: Callable[[int], None],
        clock: Callable[[], float] = monotonic_s,
        rank: Callable[[logging.LogRecord], Rank] = rank_by_level,
        call_reason: Callable[[logging.LogRecord], str] = _no_reason,
        report_calls: Callable[[dict[str, int]], None] = _ignore,
    ) -> None:
        """Write to a descriptor; report the number of dropped lines."""
        super().__init__()
        os.set_blocking(fd, False)  # noqa: WPS425
        self.dropped = 0
        self._fd = fd
        self._report = report
        self._clock = clock
        self._rank = rank
        self._call_reason = call_reason
        self._report_calls = report_calls
        self._call_warnings = CallWarnings()
        self._period_timer: asyncio.TimerHandle | None = None
        self._budget = Budget(LINES_PER_S, BYTES_PER_S)
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._reported_at = clock()
        self._is_waiting = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line now, append it to the backlog, or drop it."""
        now = self._clock()
        rank = self._rank(record)
        self._limit_warnings(record, now)
        line = f'{self.format(record)}\n'.encode()
        share = _SHARES[rank]
        allowed = self._budget.allows(len(line), now, 1 - share)
        if allowed and self._has_room(len(line), share):
            self._backlog.append(line)
            self._backlog_bytes += len(line)
            self._write_backlog()
        else:
            self.dropped += 1
        self._report_dropped(now)

    def flush(self) -> None:
        """Write as much of the backlog as the reader accepts."""
        self._write_backlog()

    def _limit_warnings(self, record: logging.LogRecord, now: float) -> None:
        """Make a warning of a call informative if there was one like it."""
        reason = self._call_reason(record)
        if not reason or record.levelno != logging.WARNING:
            return
        if self._call_warnings.remaining_s(now) <= 0:
            self._end_period()
        if self._call_warnings.is_first(reason, now):
            return
        record.levelno = logging.INFO
        record.levelname = logging.getLevelName(logging.INFO)
        if self._period_timer is None:
            self._start_timer(self._call_warnings.remaining_s(now))

    def _start_timer(self, seconds: float) -> None:
        # Without a loop, the next warning of a call ends the period.
        with contextlib.suppress(RuntimeError):
            loop = asyncio.get_running_loop()
            self._period_timer = loop.call_later(seconds, self._end_period)

    def _end_period(self) -> None:
        if self._period_timer is not None:
            self._period_timer.cancel()
            self._period_timer = None
        left_out = self._call_warnings.end_period()
        if left_out:
            self._report_calls(left_out)

    def _has_room(self, size: int, share: float) -> bool:
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
