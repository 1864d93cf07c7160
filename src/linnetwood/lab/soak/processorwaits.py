"""Record when a soak, or one of its programs, had no processor.

A program that does not run can't keep its bounds; the same holds for one that
is stopped. The kernel adds a wait to a process's total when it ends.
"""

import asyncio
import json
import pathlib
import time
from collections.abc import Iterable

from linnetwood.lab.soak.fleet import Vm
from linnetwood.lab.soak.history import (
    PROCESSOR_WAIT,
    FaultRecord,
    History,
)

_CHECK_INTERVAL_S = 0.05
_PROC = pathlib.Path('/proc')
_NANOSECONDS = 1000000000
# If a program waited for so long, its timers and its view of time are late.
_MIN_WAIT_S = 0.3


class ProcessorWaits:
    """Own the task that samples the waits of this process and the entries."""

    def __init__(
        self,
        entries: list[Vm],
        history: History,
        proc: pathlib.Path = _PROC,
    ) -> None:
        """Record in a history; `proc` is where the kernel shows processes."""
        self._entries = entries
        self._history = history
        self._proc = proc
        # The total wait of each process in seconds, by its id.
        self._totals: dict[int, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to sample."""
        self._task = asyncio.create_task(self._sample_repeatedly())

    def close(self) -> None:
        """Stop sampling."""
        if self._task is not None:
            self._task.cancel()

    def sample(self, now: float) -> None:
        """Record waits since the last sample that were long."""
        for vm in self._entries:
            if vm.process is not None:
                self._sample_process(vm.name, vm.process.pid, now)

    def add_stalls(self, rows: Iterable[str]) -> None:
        """Record when stand-ins did not run, as they printed it."""
        for row in rows:
            since, until = json.loads(row)['stall']
            self._history.stalls.append(
                FaultRecord(PROCESSOR_WAIT, since, until)
            )

    async def _sample_repeatedly(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now = time.monotonic()
            if now - before > _MIN_WAIT_S:
                # If this process did not run, the others may not have, either.
                self._history.troubles.append(
                    FaultRecord('machine busy', before, now)
                )
            self.sample(now)

    def _sample_process(self, name: str, pid: int, now: float) -> None:
        try:
            text = (self._proc / str(pid) / 'schedstat').read_text()
        except OSError:
            # It has ended, or the kernel shows no waits.
            return
        total_s = int(text.split()[1]) / _NANOSECONDS
        waited_s = total_s - self._totals.get(pid, total_s)
        self._totals[pid] = total_s
        if waited_s >= _MIN_WAIT_S:
            self._history.troubles.append(
                FaultRecord(PROCESSOR_WAIT, now - waited_s, now, name)
            )
