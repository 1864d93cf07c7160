"""Call routes that configurations move, at a fixed rate at every entry."""

import asyncio
import contextlib
import itertools
from collections import defaultdict
from collections.abc import Callable, Sequence

from linnetwood.lab.soak.connection import Connection
from linnetwood.lab.soak.fleet import Vm
from linnetwood.lab.soak.history import Call
from linnetwood.lab.soak.movedroutes import Target, targets

_INTERVAL_S = 0.1


class MovedProbes:
    """Own the probes, every other of which is on a kept connection."""

    def __init__(
        self, entries: Sequence[Vm], record: Callable[[Vm, Target], Call]
    ) -> None:
        """Start without a probe."""
        self._entries = entries
        self._record = record
        self._kept: dict[str, list[Connection]] = defaultdict(list)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Call all entries at once, target by target, until cancelled."""
        # Each target is called on new and on kept connections in turn.
        turns = itertools.cycle([*targets(), targets()[0]])
        try:
            for turn, target in enumerate(turns):
                for vm in self._entries:
                    work = self._send(vm, target, keeps=bool(turn % 2))
                    task = asyncio.create_task(work)
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(_INTERVAL_S)
        finally:
            self._close()

    async def _send(self, vm: Vm, target: Target, *, keeps: bool) -> None:
        kept = self._kept[vm.name]
        conn = kept.pop() if keeps and kept else Connection(vm)
        with contextlib.ExitStack() as stack:
            stack.callback(conn.close)
            await conn.run(self._record(vm, target), 1, 0)
            if keeps:
                kept.append(conn)
                stack.pop_all()

    def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for conn in itertools.chain.from_iterable(self._kept.values()):
            conn.close()
