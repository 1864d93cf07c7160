"""Measure what a call costs an entry's processor, and which step costs it."""

import asyncio
import json
import os
import pathlib
import pstats
import sys
import time
from typing import Any

from linnetwood.lab.callsteps import by_step
from linnetwood.lab.instruments import Machine
from linnetwood.lab.soak.callers import Callers
from linnetwood.lab.soak.faults import Faults
from linnetwood.lab.soak.fleet import Fleet, Size, Vm
from linnetwood.lab.soak.history import History

_SETTLE_S = 4.0
_VERSION_S = 8.0
_APPLY_S = 2.0
_MILLISECONDS = 1000
_OK = 200
# Of /proc/PID/stat, behind the name: processor time of the program and the
# kernel for it, in ticks.
_USER, _KERNEL = 11, 12


class _ProfiledFleet(Fleet):
    """Start the entry under a profiler."""

    @property
    def profile(self) -> pathlib.Path:
        """Give the file with its figures, there when it has ended."""
        return self.folder / 'profile'

    def start(self, vm: Vm) -> None:
        """Start a VM's program."""
        if vm not in self.entries:
            super().start(vm)
            return
        vm.process = self._spawn(
            vm.name,
            'linnetwood.lab.profiling',
            [str(self.profile), f'linnetwood.programs.{vm.program}'],
            {'LINNETWOOD_NODE_FILE': vm.settings},
        )


def callcost(
    *,
    seconds: float = 15,
    callers: int = 32,
    engines: int = 3,
    desks: int = 3,
    seed: int = 1,
) -> bool:
    """Print processor time a call at one entry, whole and by step.

    :param seconds: for how long callers call
    :param callers: callers, each with a connection it keeps
    :param engines: engines, each with the process beside it
    :param desks: plain servers
    :param seed: gives what callers ask for
    """
    size = Size(1, engines, desks)
    plain = Fleet(size, _VERSION_S, _APPLY_S)
    found = asyncio.run(_flood(plain, seconds, callers, seed))
    profiled = _ProfiledFleet(size, _VERSION_S, _APPLY_S)
    again = asyncio.run(_flood(profiled, seconds, callers, seed))
    steps = _steps(profiled.profile, again['calls'])
    told = {**found, 'profiled': again, 'profiled_ms_a_call_by_step': steps}
    sys.stdout.write(f'{json.dumps(told)}\n')
    return not found['calls']


async def _flood(
    fleet: Fleet,
    seconds: float,
    count: int,
    seed: int,
) -> dict[str, Any]:
    history = History()
    callers = Callers(fleet, history, seed)
    faults = Faults(fleet, history, callers)
    try:
        fleet.start_stand_ins()
        await faults.begin()
        fleet.start_programs()
        await asyncio.sleep(_SETTLE_S)
        idle = await _share(fleet, seconds)
        callers.start(count)
        machine = Machine()
        busy = await _share(fleet, seconds)
        await callers.close()
        await faults.close()
    finally:
        fleet.close()
    calls = sum(1 for call in history.calls if call.status == _OK)
    return {
        'calls': calls,
        'calls_a_second': round(calls / seconds, 1),
        'share_of_a_core': round(busy, 4),
        'idle_share_of_a_core': round(idle, 4),
        'ms_a_call': _a_call(busy * seconds, calls),
        'ms_a_call_over_idle': _a_call((busy - idle) * seconds, calls),
        **machine.told(),
    }


async def _share(fleet: Fleet, seconds: float) -> float:
    """Give the entry's part of a core over so long."""
    process = fleet.entries[0].process
    assert process is not None
    before = _processor_s(process.pid)
    began = time.monotonic()
    await asyncio.sleep(seconds)
    used_s = _processor_s(process.pid) - before
    return used_s / (time.monotonic() - began)


def _processor_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    figures = text.rpartition(')')[2].split()
    ticks = int(figures[_USER]) + int(figures[_KERNEL])
    return ticks / os.sysconf('SC_CLK_TCK')


def _steps(path: pathlib.Path, calls: int) -> dict[str, float | None]:
    stats: Any = pstats.Stats(str(path))
    return {
        step: _a_call(seconds, calls)
        for step, seconds in sorted(
            by_step(stats.stats).items(),
            key=lambda one: -one[1],
        )
    }


def _a_call(seconds: float, calls: int) -> float | None:
    return round(seconds * _MILLISECONDS / calls, 3) if calls else None
