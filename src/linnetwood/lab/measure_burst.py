"""Measure how soon N replicas are complete, and the load on the origin."""

import asyncio
import dataclasses
import json
import random
import sys
import time
import uuid
from types import MappingProxyType
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.core.events import Event
from linnetwood.fleet.placement import version_label
from linnetwood.gen.schema.ttypes import (
    Deployment,
    Intent,
    Model,
    Version,
    Weigh,
)
from linnetwood.lab.instruments import (
    Machine,
    engine_violations,
    origin_state,
    publish,
)
from linnetwood.lab.launcher import Fleet, Plan
from linnetwood.programs.client import OperatorClient

MODEL = 'sevak'
ORIGIN_LINK_RATIO = 2
_SETTLE_S = 3.0
_POLL_S = 0.1
_TIMEOUT_FACTOR = 2
_STALL_S = 1.5
_CORRUPTED_SHARE = 0.01
# The number of VMs of which one is killed in a run with faults.
_KILLED_ONE_IN = 10
_OBJECTIVES = MappingProxyType({'time': Weigh.TIME, 'origin': Weigh.ORIGIN})


@dataclasses.dataclass(frozen=True, slots=True)
class RunSize:
    """The sizes of a run, in bytes and bytes a second, and its fluid bound."""

    vms: int
    chunk_count: int
    chunk_bytes: int
    link: float
    origin: float

    @property
    def size(self) -> int:
        """Return the size of the weights in bytes."""
        return self.chunk_count * self.chunk_bytes

    @property
    def bound_s(self) -> float:
        """Return the least seconds in which all VMs can receive all bytes."""
        together = self.vms * self.size / (self.origin + self.vms * self.link)
        return max(self.size / self.origin, self.size / self.link, together)


@dataclasses.dataclass(slots=True)
class Curve:
    """The number of complete replicas over time."""

    points: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def steps(self) -> list[tuple[float, int]]:
        """Return the points at which the count changed."""
        changed = []
        last = 0
        for seconds, complete in self.points:
            if complete != last:
                changed.append((round(seconds, 2), complete))
            last = complete
        return changed

    def time_of(self, count: int) -> float | None:
        """Return the seconds until so many were complete, or None if never."""
        for seconds, complete in self.points:
            if complete >= count:
                return seconds
        return None


def apply_deployment(fleet: Fleet, manifests: list[str]) -> None:
    """Apply a deployment that declares the versions v1, v2, …"""
    versions = [
        Version(name=f'v{number}', manifest=manifest)
        for number, manifest in enumerate(manifests, start=1)
    ]
    deployment = Deployment(models=[Model(name=MODEL, versions=versions)])
    with OperatorClient(fleet.operators()) as calls:
        revision = calls.configuration().revision
        calls.apply(deployment, revision, uuid.uuid4().hex, 'measure')


def start_rollout(
    fleet: Fleet, version: str, replicas: int, weigh: int
) -> None:
    """Start the rollout of a number of replicas of a version."""
    intent = Intent(
        model=MODEL,
        version=version,
        replicas=replicas,
        weigh=weigh,
        spare_replicas=max(1, replicas // 4),
    )
    with OperatorClient(fleet.operators()) as calls:
        revision = calls.configuration().revision
        calls.startRollout(intent, revision, uuid.uuid4().hex, 'measure')


async def wait_for_replicas(
    fleet: Fleet, version: str, wanted: int, timeout_s: float
) -> Curve:
    """Poll the number of complete replicas until enough are, or a limit."""
    curve = Curve()
    began = time.monotonic()
    while time.monotonic() - began < timeout_s:
        complete = await asyncio.to_thread(_count_complete, fleet, version)
        curve.points.append((time.monotonic() - began, complete))
        if complete >= wanted:
            break
        await asyncio.sleep(_POLL_S)
    return curve


def _count_complete(fleet: Fleet, version: str) -> int:
    wanted = version_label(MODEL, version)
    with OperatorClient(fleet.operators()) as calls:
        return sum(
            1
            for one in calls.endpoints()
            if one.serving == wanted and one.state in {'alive', 'suspect'}
        )


def completed_transfers(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the log lines of completed transfers."""
    result = []
    for path in fleet.folder.glob('vm-*.log'):
        for line in path.read_text().splitlines():
            if f'"event": {int(Event.TRANSFER_COMPLETE)}' in line:
                result.append(json.loads(line))
    return result


def _plan(sizes: RunSize, seed: int, *, direct: bool) -> Plan:
    return Plan(
        engines=sizes.vms,
        services=0,
        entries=2,
        origin_bytes_per_s=sizes.origin,
        link_bytes_per_s=sizes.link,
        slots=64,
        fakes_per_process=25,
        seed=seed,
        log_level='info',
        transfer={'reading': 'direct'} if direct else {},
    )


async def _measure_direct(vms: int, link: float, seed: int) -> float | None:
    """Return the baseline's time over its own bound, with a small model."""
    sizes = RunSize(
        vms, 4, int(link * 2) // vms, link, link * ORIGIN_LINK_RATIO
    )
    fleet = Fleet(_plan(sizes, seed, direct=True))
    try:
        await asyncio.to_thread(fleet.start)
        await asyncio.sleep(_SETTLE_S)
        weights = random.Random(seed).randbytes(sizes.size)
        apply_deployment(
            fleet, [await publish(fleet, weights, sizes.chunk_bytes)]
        )
        start_rollout(fleet, 'v1', vms, Weigh.TIME)
        curve = await wait_for_replicas(fleet, 'v1', vms, 120)
    finally:
        await asyncio.to_thread(fleet.close)
    return _ratio(curve.time_of(vms), sizes)


def _ratio(seconds: float | None, sizes: RunSize) -> float | None:
    return None if seconds is None else round(seconds / sizes.bound_s, 3)


async def _run(sizes: RunSize, options: 'BurstOptions') -> dict[str, Any]:
    plan = _plan(sizes, options.seed, direct=False)
    plan.origin_corrupt = _CORRUPTED_SHARE if options.faults else 0
    fleet = Fleet(plan)
    try:
        await asyncio.to_thread(fleet.start)
        await asyncio.sleep(_SETTLE_S)
        result = await _measure(fleet, sizes, options)
    finally:
        failed = await asyncio.to_thread(fleet.close)
    result['violations'] += len(failed)
    return result


async def _measure(
    fleet: Fleet,
    sizes: RunSize,
    options: 'BurstOptions',
) -> dict[str, Any]:
    rng = random.Random(options.seed)
    weights = rng.randbytes(sizes.size)
    apply_deployment(fleet, [await publish(fleet, weights, sizes.chunk_bytes)])
    machine = Machine()
    killed = sizes.vms // _KILLED_ONE_IN if options.faults else 0
    wanted = min(int(sizes.vms * options.share), sizes.vms - killed)
    start_rollout(fleet, 'v1', sizes.vms, _OBJECTIVES[options.policy])
    timeout_s = _TIMEOUT_FACTOR * sizes.bound_s
    faults = asyncio.create_task(_inject_faults(fleet, sizes, options, rng))
    curve = await wait_for_replicas(fleet, 'v1', wanted, timeout_s)
    faults.cancel()
    read = (await origin_state(fleet))['bytes_read']
    costs = completed_transfers(fleet)
    received = sum(one['peer_bytes'] + one['origin_bytes'] for one in costs)
    repeated = sum(one['repeated_bytes'] for one in costs)
    time_s = curve.time_of(wanted)
    return {
        'vms': sizes.vms,
        'faults': options.faults,
        'wanted': wanted,
        'chunks': sizes.chunk_count,
        'bound_s': round(sizes.bound_s, 3),
        'reached': max((done for _, done in curve.points), default=0),
        'time_to_n_s': None if time_s is None else round(time_s, 3),
        'time_ratio': _ratio(time_s, sizes),
        'origin_copies': round(read / sizes.size, 3),
        'duplicate_ratio': round(repeated / max(1, received), 4),
        'violations': await engine_violations(fleet),
        'curve': curve.steps(),
        **machine.utilization(),
    }


async def _inject_faults(
    fleet: Fleet,
    sizes: RunSize,
    options: 'BurstOptions',
    rng: random.Random,
) -> None:
    if not options.faults:
        return
    killed = sizes.vms // _KILLED_ONE_IN
    affected = rng.sample(sorted(fleet.endpoints), killed * 3 // 2)
    killed_vms = affected[:killed]
    stalled = affected[len(killed_vms) :]
    interval_s = sizes.bound_s / 2 / max(1, len(killed_vms))
    for number, vm in enumerate(killed_vms):
        await asyncio.sleep(interval_s)
        fleet.kill(vm)
        if number < len(stalled):
            await fleet.stall(stalled[number], _STALL_S)
        if number == len(killed_vms) // 2:
            await _slow_origin(fleet)


async def _slow_origin(fleet: Fleet) -> None:
    url = f'http://127.0.0.1:{fleet.origin_port}/control?slow_factor=2'
    await AsyncHTTPClient().fetch(HTTPRequest(url, method='POST', body=b''))


@dataclasses.dataclass(frozen=True, slots=True)
class BurstOptions:
    """The options that differ between runs."""

    seed: int
    faults: bool
    share: float
    policy: str


def burst(
    *,
    vms: int = 25,
    faults: bool = False,
    share: float = 1.0,
    policy: str = 'time',
    seed: int = 1,
    chunks: int = 200,
    chunk_bytes: int = 65536,
    bound_s: float = 20.0,
    baseline: bool = False,
) -> int:
    """Roll out a version to a number of VMs over rate-limited links.

    :param vms: number of endpoint VMs
    :param faults: kill a tenth of them, stall a twentieth, corrupt 1% of
        the origin's chunks and halve its rate midway
    :param share: share of the VMs that must be complete
    :param policy: the preferred objective, time or origin
    :param seed: seed of the weights and the faults
    :param chunks: chunks in the model
    :param chunk_bytes: bytes in a chunk
    :param bound_s: the fluid bound, which determines the rates of the links
    :param baseline: also measure VMs that all read from the origin
    """
    link = chunks * chunk_bytes / bound_s
    sizes = RunSize(vms, chunks, chunk_bytes, link, link * ORIGIN_LINK_RATIO)
    result = asyncio.run(_run(sizes, BurstOptions(seed, faults, share, policy)))
    if baseline:
        result['baseline_direct_ratio'] = asyncio.run(
            _measure_direct(vms, link, seed)
        )
    json.dump(result, sys.stdout)
    sys.stdout.write('\n')
    return int(result['time_to_n_s'] is None or result['violations'] > 0)
