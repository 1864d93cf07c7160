"""Measure the cost of the control plane, and how fast it spreads changes."""

import asyncio
import dataclasses
import json
import os
import pathlib
import statistics
import sys
import time
import tracemalloc
import uuid
from datetime import datetime
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from linnetwood.core.events import Event
from linnetwood.fleet.members import ENDPOINT, Health
from linnetwood.fleet.membership import View
from linnetwood.gen.schema.ttypes import Deployment, Organisation
from linnetwood.gen.wire.ttypes import Member
from linnetwood.lab.launcher import Fleet, Plan
from linnetwood.programs.client import OperatorClient

DESIGN_PROCESSES = 2710
_ENTRY_SHARE = 0.15
_WINDOW_S = 10.0
# Longer than a watch waits at the store, so that its renewals are counted.
_KV_WINDOW_S = 52.0
_SETTLE_S = 6.0
_POLL_S = 0.05
_DETECTION_TIMEOUT_S = 10.0
_TICKS = os.sysconf('SC_CLK_TCK')
_PERCENT = 100
_KIB_IN_MIB = 1024
_LOG_TIME = '%Y-%m-%d %H:%M:%S,%f'  # noqa: WPS323


@dataclasses.dataclass(slots=True)
class Point:
    """The measurements with a number of processes."""

    processes: int
    cpu_percent: float
    rss_mb: float
    bytes_per_s: float
    kv_calls_per_s: float
    config_everywhere_s: float | None
    detect_dead_s: float | None
    false_deaths: int


def fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the intercept and the slope of a linear regression."""
    slope, intercept = statistics.linear_regression(
        [x_value for x_value, _ in points],
        [y_value for _, y_value in points],
    )
    return intercept, slope


def _extrapolate(
    name: str,
    points: list[Point],
    base: float,
    slope: float,
) -> float:
    """Extrapolate to the design size, but not below the measured maximum."""
    measured = max(float(getattr(one, name)) for one in points)
    return round(max(measured, base + slope * DESIGN_PROCESSES), 3)


def measure_view_mb(processes: int) -> float:
    """Return the memory of a view of a number of processes, in MiB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    view = View(_member(0))
    for number in range(1, processes):
        view.update(_member(number))
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / _KIB_IN_MIB / _KIB_IN_MIB


def _member(number: int) -> Member:
    return Member(
        vm=f'vm-{number:04d}',
        incarnation=number,
        version=1,
        role=ENDPOINT,
        availability_zone=f'z{number % 10}',
        region=f'r{number % 3}',
        rack=f'rack-{number % 60}',
        host=f'10.0.{number // 250}.{number % 250}',
        port=7000,
        status=int(Health.ALIVE),
        kind='engine',
        serving='sevak@v1',
    )


def _pids(fleet: Fleet) -> list[int]:
    started = [*fleet.entries.values(), *fleet.endpoints.values()]
    return [one.process.pid for one in started]


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS


def _rss_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KIB_IN_MIB
    return 0


def _control_bytes(fleet: Fleet) -> int:
    with OperatorClient(fleet.operators()) as calls:
        status = calls.status()
    return int(status.control_bytes_sent + status.control_bytes_received)


async def _kv_calls(fleet: Fleet) -> int:
    url = f'http://127.0.0.1:{fleet.kv_port}/control'
    return int(json.loads((await AsyncHTTPClient().fetch(url)).body)['calls'])


async def _measure_idle(fleet: Fleet) -> tuple[float, float]:
    """Return the processor percentage and bytes a second without load."""
    pids = _pids(fleet)
    cpu = sum(map(cpu_s, pids))
    sent = _control_bytes(fleet)
    began = time.monotonic()
    await asyncio.sleep(_WINDOW_S)
    span = time.monotonic() - began
    return (
        (sum(map(cpu_s, pids)) - cpu) / span / len(pids) * _PERCENT,
        (_control_bytes(fleet) - sent) / span,
    )


async def _measure_config_s(fleet: Fleet) -> float | None:
    """Return the seconds until every process has adopted a change.

    None means that some have not adopted it.
    """
    deployment = Deployment(organisations=[Organisation(name='o', share=1)])
    began = time.time()
    with OperatorClient(fleet.operators()) as calls:
        revision = calls.configuration().revision
        calls.apply(deployment, revision, uuid.uuid4().hex, 'measure')
    await asyncio.sleep(_SETTLE_S)
    adoptions = [
        _event_times(path, Event.CONFIG_ADOPTED) for path in _logs(fleet)
    ]
    times = [max(stamps) for stamps in adoptions if stamps]
    if len(times) < len(_pids(fleet)):
        return None
    return round(max(times) - began, 3)


def _logs(fleet: Fleet) -> list[pathlib.Path]:
    names = [*fleet.entries, *fleet.endpoints]
    return [fleet.folder / f'{name}.log' for name in names]


def _events(path: pathlib.Path, event: Event) -> list[dict[str, Any]]:
    event_field = f'"event": {int(event)}'
    lines = path.read_text().splitlines()
    return [json.loads(line) for line in lines if event_field in line]


def _event_times(path: pathlib.Path, event: Event) -> list[float]:
    return [
        datetime.strptime(one['asctime'], _LOG_TIME).timestamp()
        for one in _events(path, event)
    ]


async def _measure_detection_s(fleet: Fleet) -> float | None:
    """Kill a process; return the seconds until an entry reports it dead.

    None means that no entry has reported it in time.
    """
    killed_vm = sorted(fleet.endpoints)[-1]
    fleet.kill(killed_vm)
    began = time.monotonic()
    while time.monotonic() - began < _DETECTION_TIMEOUT_S:
        await asyncio.sleep(_POLL_S)
        with OperatorClient(fleet.operators()) as calls:
            states = {one.vm: one.state for one in calls.endpoints()}
        if states.get(killed_vm) == 'dead':
            fleet.endpoints.pop(killed_vm)
            return round(time.monotonic() - began, 3)
    return None


def _count_deaths(fleet: Fleet) -> int:
    dead = int(Health.DEAD)
    return len(
        {
            one['vm']
            for path in _logs(fleet)
            for one in _events(path, Event.MEMBER_DOUBTED)
            if one['status'] == dead
        },
    )


async def _measure_point(processes: int, seed: int) -> Point:
    entries = max(2, round(processes * _ENTRY_SHARE))
    plan = Plan(
        engines=processes - entries,
        services=0,
        entries=entries,
        seed=seed,
        log_level='info',
    )
    fleet = Fleet(plan)
    try:
        await asyncio.to_thread(fleet.start)
        await asyncio.sleep(_SETTLE_S)
        kv_calls_before = await _kv_calls(fleet)
        began = time.monotonic()
        cpu, sent = await _measure_idle(fleet)
        rss = statistics.median(map(_rss_mb, _pids(fleet)))
        config_s = await _measure_config_s(fleet)
        false_deaths = _count_deaths(fleet)
        detected_s = await _measure_detection_s(fleet)
        await asyncio.sleep(max(0, began + _KV_WINDOW_S - time.monotonic()))
        kv_calls = await _kv_calls(fleet) - kv_calls_before
    finally:
        await asyncio.to_thread(fleet.close)
    return Point(
        processes,
        round(cpu, 3),
        round(rss, 2),
        round(sent),
        round(kv_calls / _KV_WINDOW_S, 3),
        config_s,
        detected_s,
        false_deaths,
    )


def _longest_s(times_s: list[float | None]) -> float | None:
    """Return the longest time; None if one of them was never reached."""
    reached = [one for one in times_s if one is not None]
    return max(reached) if len(reached) == len(times_s) else None


def control(*, processes: str = '30,60,120', seed: int = 1) -> None:
    """Measure how the cost of control grows with the number of processes.

    :param processes: numbers of processes, separated by commas; a run for each
    :param seed: seed of the runs
    """
    sizes = [int(one) for one in processes.split(',')]
    points = [asyncio.run(_measure_point(size, seed)) for size in sizes]
    slopes = {
        name: fit([(one.processes, getattr(one, name)) for one in points])
        for name in ('cpu_percent', 'bytes_per_s', 'rss_mb', 'kv_calls_per_s')
        if len(points) > 1
    }
    result: dict[str, Any] = {
        f'{name}_at_design': _extrapolate(name, points, base, slope)
        for name, (base, slope) in slopes.items()
    }
    result['control_mb_at_design'] = round(measure_view_mb(DESIGN_PROCESSES), 3)
    result['rss_mb'] = points[-1].rss_mb
    result['kv_calls_per_s'] = points[-1].kv_calls_per_s
    result['config_everywhere_s'] = _longest_s(
        [one.config_everywhere_s for one in points]
    )
    result['detect_dead_s'] = _longest_s([one.detect_dead_s for one in points])
    result['false_deaths'] = sum(one.false_deaths for one in points)
    result['slopes'] = {
        name: {'base': round(base, 4), 'slope': round(slope, 6)}
        for name, (base, slope) in slopes.items()
    }
    result['points'] = [dataclasses.asdict(one) for one in points]
    json.dump(result, sys.stdout)
    sys.stdout.write('\n')
