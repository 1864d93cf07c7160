"""Run the platform's programs under faults from a seed, and check promises."""

import asyncio
import dataclasses
import json
import pathlib
import sys
import time
from collections import Counter
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from linnetwood.lab.soak.callers import Callers
from linnetwood.lab.soak.checks import Checker, Limits
from linnetwood.lab.soak.faults import Faults
from linnetwood.lab.soak.fleet import Fleet, Size
from linnetwood.lab.soak.history import (
    History,
    Trouble,
    arrivals_of,
    runs_of,
)
from linnetwood.lab.soak.schedule import Fault, schedule

_MINUTE_S = 60
_SETTLE_S = 3.0
# Longer than a process that was killed takes to be back.
_QUIET_S = 10.0
_TICK_S = 0.05
# A machine that let this process wait for so long kept the others, too.
_LAG_S = 0.3
_SHOWN = 20


def soak(
    *,
    seed: int = 1,
    minutes: float = 1,
    entries: int = 6,
    engines: int = 6,
    desks: int = 3,
    callers: int = 24,
    out: str = '',
) -> bool:
    """Print faults by kind, calls by outcome, and broken promises.

    :param seed: gives the schedule of faults
    :param minutes: for how long faults come
    :param entries: entries, evenly over three zones
    :param engines: engines, each with the process beside it
    :param desks: plain servers
    :param callers: callers, each with a connection it keeps
    :param out: a file for the whole history, for the page with the plot
    """
    size = Size(entries, engines, desks)
    found = run_soak(seed, minutes, size, callers, out)
    sys.stdout.write(f'{json.dumps(found)}\n')
    return bool(found['violations'] or found['ended_badly'])


def run_soak(
    seed: int,
    minutes: float,
    size: Size,
    callers: int,
    out: str = '',
    planned: list[Fault] | None = None,
) -> dict[str, Any]:
    """Run once; give what is printed.

    With planned faults only these come, in place of the seed's.
    """
    if planned is None:
        planned = schedule(seed, minutes * _MINUTE_S)
    return asyncio.run(_soak(seed, planned, size, callers, out))


async def _soak(
    seed: int,
    planned: list[Fault],
    size: Size,
    count: int,
    out: str,
) -> dict[str, Any]:
    limits = Limits()
    fleet = Fleet(size, limits.version_s, limits.apply_s)
    history = History()
    callers = Callers(fleet, history, seed)
    faults = Faults(fleet, history, callers)
    watching = asyncio.create_task(_watch(history))
    try:
        await _run(planned, fleet, faults, callers, count)
        # Back ends note that their callers have gone.
        await asyncio.sleep(1)
        await _gather(fleet, history)
    finally:
        watching.cancel()
        bad = fleet.close()
    if out:
        pathlib.Path(out).write_text(json.dumps(_plain(history)))
    violations = list(Checker(history, limits).violations())
    return {
        'seed': seed,
        'faults': dict(sorted(faults.done.items())),
        'calls': _outcomes(history),
        'runs': len(history.runs),
        'violations': len(violations),
        'first': violations[:_SHOWN],
        'ended_badly': bad,
        'logs': str(fleet.folder),
    }


async def _run(
    planned: list[Fault],
    fleet: Fleet,
    faults: Faults,
    callers: Callers,
    count: int,
) -> None:
    fleet.start_stand_ins()
    await faults.begin()
    fleet.start_programs()
    await asyncio.sleep(_SETTLE_S)
    callers.start(count)
    await _play(planned, faults)
    await asyncio.sleep(fleet.version_s + _QUIET_S)
    await callers.close()
    await faults.close()


async def _play(planned: list[Fault], faults: Faults) -> None:
    began = time.monotonic()
    for fault in planned:
        await asyncio.sleep(max(0, began + fault.at_s - time.monotonic()))
        faults.play(fault)
    await faults.settled()


async def _gather(fleet: Fleet, history: History) -> None:
    answer = await AsyncHTTPClient().fetch(f'{fleet.control_url}/control')
    told = json.loads(answer.body)
    history.runs = runs_of(told['runs'])
    history.arrivals = arrivals_of(told['arrivals'])
    history.found = told['found']


async def _watch(history: History) -> None:
    """Note when the machine itself was too busy to judge by."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(_TICK_S)
        now = time.monotonic()
        if now - before > _LAG_S:
            history.troubles.append(Trouble('machine busy', before, now))


def _outcomes(history: History) -> dict[str, int]:
    kinds = Counter(
        f'{call.kind.value} {call.status or "none"}'
        for call in history.calls
        if not call.probes
    )
    return dict(sorted(kinds.items()))


def _plain(history: History) -> dict[str, Any]:
    plain = dataclasses.asdict(history)
    for call in plain['calls']:
        call['kind'] = call['kind'].value
    return plain
