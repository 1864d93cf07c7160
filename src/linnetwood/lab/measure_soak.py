"""Run the programs under faults from a seed, and check a history of calls."""

import asyncio
import dataclasses
import itertools
import json
import pathlib
import sys
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from linnetwood.lab.soak import endless, standstalls
from linnetwood.lab.soak.callers import EVENT_COUNTS, LONG_EVENT_COUNTS, Callers
from linnetwood.lab.soak.checks import Checker
from linnetwood.lab.soak.endlesschecks import (
    add_endless,
    summarize_endless,
)
from linnetwood.lab.soak.faults import FaultInjector
from linnetwood.lab.soak.fleet import Fleet, Size
from linnetwood.lab.soak.history import (
    History,
    decode_arrivals,
    decode_runs,
)
from linnetwood.lab.soak.limits import STRICT, USUAL, Limits
from linnetwood.lab.soak.movedroutes import PLAIN_SERVICES
from linnetwood.lab.soak.processorwaits import ProcessorWaits
from linnetwood.lab.soak.schedule import (
    Fault,
    schedule,
    schedule_endless,
    schedule_moves,
    schedule_planned_work,
)

_MINUTE_S = 60
_SETTLE_S = 3.0
_MAX_SHOWN_PER_RULE = 5


def soak(
    *,
    seed: int = 1,
    minutes: float = 1,
    entries: int = 6,
    engines: int = 6,
    desks: int = 3,
    callers: int = 24,
    planned_work: bool = False,
    endless: bool = False,
    moves: str = '',
    out: str = '',
) -> bool:
    """Print faults by kind, calls by outcome, and violations.

    :param seed: gives the schedule of faults
    :param minutes: for how long faults are injected
    :param entries: entries, evenly over three zones
    :param engines: engines, each with an endpoint process
    :param desks: plain servers
    :param callers: callers, each with a persistent connection
    :param planned_work: only planned work and silent servers, longer streams
    :param endless: only servers that answer without end and configurations
    :param moves: move routes between three plain services, beside `all` faults
        or those of some kinds, with commas between
    :param out: a file for the whole history, which can be plotted
    """
    size = Size(entries, engines, desks)
    planned = None
    limits = USUAL
    event_counts = EVENT_COUNTS
    if planned_work:
        planned = schedule_planned_work(seed, minutes * _MINUTE_S)
        event_counts = LONG_EVENT_COUNTS
    if endless:
        planned = schedule_endless(seed, minutes * _MINUTE_S)
    if moves:
        limits = STRICT
        size = dataclasses.replace(size, services=len(PLAIN_SERVICES))
        kinds = () if moves == 'all' else moves.split(',')
        planned = schedule_moves(seed, minutes * _MINUTE_S, kinds)
    found = run_soak(
        seed, minutes, size, callers, out, planned, event_counts, limits
    )
    sys.stdout.write(f'{json.dumps(found)}\n')
    return bool(found['violations'] or found['ended_badly'])


def run_soak(
    seed: int,
    minutes: float,
    size: Size,
    callers: int,
    out: str = '',
    planned: list[Fault] | None = None,
    event_counts: tuple[int, int] = EVENT_COUNTS,
    limits: Limits = USUAL,
) -> dict[str, Any]:
    """Run one soak test; return what is printed.

    Planned faults replace those from the seed. Streams have a number of events
    in a range.
    """
    if planned is None:
        planned = schedule(seed, minutes * _MINUTE_S)
    work = _soak(seed, planned, size, callers, event_counts, out, limits)
    return asyncio.run(work)


async def _soak(
    seed: int,
    planned: list[Fault],
    size: Size,
    count: int,
    event_counts: tuple[int, int],
    out: str,
    limits: Limits,
) -> dict[str, Any]:
    fleet = Fleet(size, limits.version_s, limits.apply_s)
    history = History()
    callers = Callers(fleet, history, seed, event_counts)
    faults = FaultInjector(fleet, history, callers, limits)
    processor_waits = ProcessorWaits(fleet.entries, history)
    processor_waits.start()
    try:
        await _run(planned, fleet, faults, callers, count, limits.quiet_s)
        # Servers need time to notice that their callers disconnected.
        await asyncio.sleep(1)
        await _collect_records(fleet, history)
    finally:
        processor_waits.close()
        failed = fleet.close()
    add_endless(history, fleet.printed('endless', endless.MARK))
    for stand_in in ('servers', 'proxy'):
        processor_waits.add_stalls(fleet.printed(stand_in, standstalls.MARK))
    if out:
        pathlib.Path(out).write_text(json.dumps(_serialize(history)))
    checker = Checker(history, limits)
    violations = list(checker.violations())
    return {
        'seed': seed,
        'faults': dict(sorted(faults.counts.items())),
        'calls': _outcomes(history),
        'runs': len(history.runs),
        'silences': len(history.silences),
        'endless': summarize_endless(history),
        'in_touch': checker.in_touch_share(),
        'moved': checker.moved_counts(),
        'violations': len(violations),
        'rules': dict(Counter(map(_rule_of, violations))),
        'first': _first_of_each_rule(violations),
        'ended_badly': failed,
        'logs': str(fleet.folder),
    }


async def _run(
    planned: list[Fault],
    fleet: Fleet,
    faults: FaultInjector,
    callers: Callers,
    count: int,
    quiet_s: float,
) -> None:
    fleet.start_stand_ins()
    await faults.start()
    fleet.start_programs()
    await asyncio.sleep(_SETTLE_S)
    callers.start(count)
    callers.start_probes()
    await _inject_faults(planned, faults, quiet_s)
    await callers.close()
    await faults.close()


async def _inject_faults(
    planned: list[Fault], faults: FaultInjector, quiet_s: float
) -> None:
    began = time.monotonic()
    for fault in planned:
        await asyncio.sleep(max(0, began + fault.at_s - time.monotonic()))
        faults.inject(fault)
    await faults.wait_until_ended()
    await asyncio.sleep(quiet_s)


async def _collect_records(fleet: Fleet, history: History) -> None:
    answer = await AsyncHTTPClient().fetch(f'{fleet.control_url}/control')
    recorded = json.loads(answer.body)
    history.runs = decode_runs(recorded['runs'])
    history.arrivals = decode_arrivals(recorded['arrivals'])
    history.found = recorded['found']


def _first_of_each_rule(violations: Iterable[str]) -> list[str]:
    by_rule = itertools.groupby(sorted(violations, key=_rule_of), _rule_of)
    return [
        one
        for _, group in by_rule
        for one in itertools.islice(group, _MAX_SHOWN_PER_RULE)
    ]


def _rule_of(violation: str) -> str:
    return violation.partition(' ')[0]


def _outcomes(history: History) -> dict[str, int]:
    kinds = Counter(
        f'{call.kind.value} {call.status or "none"}'
        for call in history.calls
        if not call.probes
    )
    return dict(sorted(kinds.items()))


def _serialize(history: History) -> dict[str, Any]:
    plain = dataclasses.asdict(history)
    for call in plain['calls']:
        call['kind'] = call['kind'].value
    return plain
