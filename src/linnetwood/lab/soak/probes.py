"""Call entries at a fixed rate, however long they take to answer."""

import asyncio
import contextlib
import itertools
from collections.abc import Sequence
from typing import Protocol

from linnetwood.lab.soak.connection import Connection
from linnetwood.lab.soak.fleet import Vm
from linnetwood.lab.soak.history import Call

# How many configurations ago the route or key of a probe was added; those of
# the oldest have been dropped.
_AGES = (0, 2, 5)
_PROBES = tuple(itertools.product((False, True), _AGES))
_INTERVAL_S = 0.1
# All entries together get at most this many probes a second.
_MAX_RATE = 120


class RecordProbe(Protocol):
    """Record a call with the route or key of an earlier configuration."""

    def __call__(self, vm: Vm, age: int, *, by_key: bool) -> Call:
        """Return the call to an entry."""


class OpenLoopProbes:
    """Own the probes, each of which has a connection of its own."""

    def __init__(self, entries: Sequence[Vm], record: RecordProbe) -> None:
        """Start without a probe."""
        self._entries = entries
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send probes until cancelled."""
        interval_s = max(_INTERVAL_S, len(self._entries) / _MAX_RATE)
        try:
            for by_key, age in itertools.cycle(_PROBES):
                for vm in self._entries:
                    self._start(vm, self._record(vm, age, by_key=by_key))
                await asyncio.sleep(interval_s)
        finally:
            for task in self._tasks:
                task.cancel()

    def _start(self, vm: Vm, call: Call) -> None:
        task = asyncio.create_task(_send(vm, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _send(vm: Vm, call: Call) -> None:
    with contextlib.closing(Connection(vm)) as conn:
        await conn.run(call, 1, 0)
