"""Measure the processor time of a call at an entry, in total and by step."""

import asyncio
import json
import os
import pathlib
import pstats
import sys
import time
from typing import Any

from linnetwood.lab.callsteps import group_by_step
from linnetwood.lab.instruments import Machine
from linnetwood.lab.soak.callers import Callers
from linnetwood.lab.soak.faults import FaultInjector
from linnetwood.lab.soak.fleet import Fleet, Size, Vm
from linnetwood.lab.soak.history import History
from linnetwood.lab.soak.limits import USUAL

_SETTLE_S = 4.0
_VERSION_S = 8.0
_APPLY_S = 2.0
_MILLISECONDS = 1000
_OK = 200
# Fields of /proc/PID/stat after the name: user and system time, in ticks.
_USER_FIELD, _SYSTEM_FIELD = 11, 12


class _ProfiledFleet(Fleet):
    """Start the entry under a profiler."""

    @property
    def profile(self) -> pathlib.Path:
        """Return the path of the profile, which is written on exit."""
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
    """Print the processor time of a call at one entry, in total and by step.

    :param seconds: for how long calls are sent
    :param callers: callers, each with a persistent connection
    :param engines: engines, each with an endpoint process
    :param desks: plain servers
    :param seed: seed of the calls
    """
    size = Size(1, engines, desks)
    plain = Fleet(size, _VERSION_S, _APPLY_S)
    found = asyncio.run(_measure_load(plain, seconds, callers, seed))
    profiled = _ProfiledFleet(size, _VERSION_S, _APPLY_S)
    profiled_run = asyncio.run(_measure_load(profiled, seconds, callers, seed))
    steps = _cost_by_step(profiled.profile, profiled_run['calls'])
    report = {
        **found,
        'profiled': profiled_run,
        'profiled_ms_a_call_by_step': steps,
    }
    sys.stdout.write(f'{json.dumps(report)}\n')
    return not found['calls']


async def _measure_load(
    fleet: Fleet,
    seconds: float,
    count: int,
    seed: int,
) -> dict[str, Any]:
    history = History()
    callers = Callers(fleet, history, seed)
    faults = FaultInjector(fleet, history, callers, USUAL)
    try:
        fleet.start_stand_ins()
        await faults.start()
        fleet.start_programs()
        await asyncio.sleep(_SETTLE_S)
        idle = await _core_share(fleet, seconds)
        callers.start(count)
        machine = Machine()
        busy = await _core_share(fleet, seconds)
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
        'ms_a_call': _per_call_ms(busy * seconds, calls),
        'ms_a_call_over_idle': _per_call_ms((busy - idle) * seconds, calls),
        **machine.utilization(),
    }


async def _core_share(fleet: Fleet, seconds: float) -> float:
    """Return the share of a core that the entry uses over some seconds."""
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
    ticks = int(figures[_USER_FIELD]) + int(figures[_SYSTEM_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def _cost_by_step(path: pathlib.Path, calls: int) -> dict[str, float | None]:
    stats: Any = pstats.Stats(str(path))
    return {
        step: _per_call_ms(seconds, calls)
        for step, seconds in sorted(
            group_by_step(stats.stats).items(),
            key=lambda one: -one[1],
        )
    }


def _per_call_ms(seconds: float, calls: int) -> float | None:
    return round(seconds * _MILLISECONDS / calls, 3) if calls else None
