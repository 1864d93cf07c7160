"""Simulate how versions reach engines, with the product's policies; no I/O.

VMs read chunks from one origin and from each other over links that divide their
rate evenly, in steps of ten milliseconds. The origin may be unavailable for a
while and accepts a limited number of connections; its zone may be cut off from
the others. Calls and packet loss are not simulated.
"""

import dataclasses
import math
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from random import Random
from typing import Any

from linnetwood.fleet.neighbours import partners
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.weights import waves
from linnetwood.weights.inboundlink import InboundLink
from linnetwood.weights.reading import Ring, SharedReading, ZoneReading
from linnetwood.weights.swarm import ORIGIN, Fetch, Swarm, progress_of
from linnetwood.weights.swarmoptions import SwarmOptions
from linnetwood.weights.takeover import TakeoverPolicy
from linnetwood.weights.versionplan import PlanInputs, VersionPlan

MODEL = 'm'
_ORIGIN_ZONE = 'z0'
# The links of the fleet in docs/design/shifted.md.
_LINK_BYTES_PER_S = 456250
_ORIGIN_BYTES_PER_S = 547500
_STEP_S = 0.01
_STEPS_PER_PLAN = 4
_STEPS_PER_NOTICE = 10
_NEAR_PARTNERS = 24
_FAR_PARTNERS = 12
_WINDOW = 4
# How often the rate that some flows leave unused is divided among the others.
_SHARING_ROUNDS = 3
_TAKEOVER_S = 1.0
_FAR_TAKEOVER_S = 3.0
_SILENCE_S = 0.8
# The time until all VMs know a version and its manifest.
_ANNOUNCEMENT_S = 0.3
# The time in which an engine finishes its calls after an order; the shortest
# if it is idle.
_FINISH_RANGE_S = (0.3, 1.8)
CHANGE_S = _FINISH_RANGE_S[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The simulated fleet and its faults; times in seconds."""

    vms: int = 41
    zones: int = 3
    chunks: int = 96
    chunk_bytes: int = 24576
    link_bytes_per_s: float = _LINK_BYTES_PER_S
    # The share of a link that chunks may use.
    link_share: float = 0.9
    origin_bytes_per_s: float = _ORIGIN_BYTES_PER_S
    connections: int = 48
    bound_s: float = 13.4
    transfer_s: float = 7.2
    named_at: tuple[float, ...] = (0,)
    outage: tuple[float, float] = (math.inf, math.inf)
    # When the zone of the origin is cut off from all others.
    cut: tuple[float, float] = (math.inf, math.inf)

    @property
    def chunk_origin_s(self) -> float:
        """Return the seconds that a chunk takes on the origin's link."""
        return self.chunk_bytes / self.origin_bytes_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """The policies that are compared."""

    takeover: TakeoverPolicy
    plan: VersionPlan


class _Flow:
    """One chunk that was requested and has not arrived."""

    __slots__ = ('began', 'fetch', 'left', 'version', 'vm')

    def __init__(self, vm: '_Vm', version: int, fetch: Fetch, left: int):
        self.vm = vm
        self.version = version
        self.fetch = fetch
        self.left = float(left)
        self.began = False


class _Vm:
    """The state of one VM and its engine."""

    __slots__ = (
        'target',
        'complete_at',
        'inbound_link',
        'vm_id',
        'partners',
        'serving',
        'stored',
        'swarms',
        'switched_at',
        'zone',
    )

    def __init__(self, vm_id: str, zone: str) -> None:
        self.vm_id = vm_id
        self.zone = zone
        self.target = 0
        self.serving = 1
        self.inbound_link = InboundLink()
        self.swarms: dict[int, Swarm] = {}
        # Chunks of versions that were dropped, as a bit set for each version.
        self.stored: dict[int, int] = {}
        self.partners: dict[int, list[str]] = {}
        self.complete_at: dict[int, float] = {}
        self.switched_at = math.inf


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of a simulation; times in seconds from its start."""

    # Chunks read from the origin, by version.
    reads: Counter[int] = dataclasses.field(default_factory=Counter)
    refused: int = 0
    complete_at_by_version: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    # The same for the VMs of the origin's zone alone.
    near_complete_at: dict[int, float] = dataclasses.field(default_factory=dict)
    # Seconds without an allowed version, as the mean over all engines.
    without_s: float = 0
    all_served_at: float = math.inf

    def row(self) -> dict[str, Any]:
        """Return the figures to print."""
        return {
            'reads': dict(sorted(self.reads.items())),
            'refused': self.refused,
            'whole_at': {
                version: round(at, 2)
                for version, at in sorted(self.complete_at_by_version.items())
            },
            'without_s': round(self.without_s, 2),
            'served_at': round(self.all_served_at, 2),
        }


class Fleet:
    """Simulate VMs in steps of virtual time."""

    def __init__(
        self, scenario: Scenario, policies: Policies, seed: int
    ) -> None:
        """Start with all engines serving the first version."""
        self._scenario = scenario
        self._policies = policies
        self._rng = Random(seed)
        self._wanted = WantedVersions(scenario.bound_s)
        self._wanted.add_serving([(MODEL, 1)])
        zones = scenario.zones
        self._zones = {
            f'10.{number % zones}.0.{number}': f'z{number % zones}'
            for number in range(scenario.vms)
        }
        self._vms = {
            vm_id: _Vm(vm_id, zone) for vm_id, zone in self._zones.items()
        }
        self._flows: list[_Flow] = []
        self._paced_until: defaultdict[str, float] = defaultdict(float)
        self._unnamed = list(enumerate(scenario.named_at, start=2))
        self.outcome = Outcome()

    def run(self, max_s: float = 60) -> Outcome:
        """Run until all serve the newest version, for `max_s` at most."""
        newest = 1 + len(self._scenario.named_at)
        for step in range(int(max_s / _STEP_S)):
            now = step * _STEP_S
            self._announce_versions(now)
            self._advance_flows(now)
            if not step % _STEPS_PER_NOTICE:
                self._notify_partners(now)
            turn = slice(step % _STEPS_PER_PLAN, None, _STEPS_PER_PLAN)
            for one in list(self._vms.values())[turn]:
                self._run_vm(one, now)
            self._count_unserved(now)
            if all(vm.serving == newest for vm in self._vms.values()):
                self.outcome.all_served_at = now
                break
        return self.outcome

    def _announce_versions(self, now: float) -> None:
        while self._unnamed and self._unnamed[0][1] <= now:
            version, at = self._unnamed.pop(0)
            self._wanted.add_named(MODEL, version, at)

    def _is_origin_down(self, vm: _Vm, now: float) -> bool:
        since, until = self._scenario.outage
        return since <= now < until or self._is_cut(vm.vm_id, ORIGIN, now)

    def _is_cut(self, one: str, other: str, now: float) -> bool:
        since, until = self._scenario.cut
        if not since <= now < until:
            return False
        return self._is_in_origin_zone(one) != self._is_in_origin_zone(other)

    def _is_in_origin_zone(self, one: str) -> bool:
        return one == ORIGIN or self._zones[one] == _ORIGIN_ZONE

    def _advance_flows(self, now: float) -> None:
        for flow in tuple(self._flows):
            if flow.fetch.source == ORIGIN and self._is_origin_down(
                flow.vm, now
            ):
                self._fail_request(flow, now)
        active = list(self._active_flows(now))
        for flow, rate in self._flow_rates(active).items():
            flow.left -= rate * _STEP_S
            if flow.left <= 0:
                self._finish_flow(flow, now)

    def _active_flows(self, now: float) -> Iterator[_Flow]:
        """Yield the flows that use their links.

        A VM paces its uploads one after the other. A chunk fits into the
        buffers of a connection, so the next one begins when the time of the
        previous one on this VM's own link is over, however slowly that arrives.
        """
        for flow in self._flows:
            source = flow.fetch.source
            if self._is_cut(flow.vm.vm_id, source, now):
                continue
            if flow.began or self._try_begin(flow, now):
                yield flow

    def _try_begin(self, flow: _Flow, now: float) -> bool:
        source = flow.fetch.source
        if source != ORIGIN and self._paced_until[source] > now:
            return False
        took_s = self._scenario.chunk_bytes / self._rate(source)
        self._paced_until[source] = now + took_s
        flow.began = True
        swarm = flow.vm.swarms[flow.version]
        swarm.record_first_byte(flow.fetch.index, source, now)
        return True

    def _flow_rates(self, active: list[_Flow]) -> dict[_Flow, float]:
        """Return each flow's rate; a rate that one can't use goes to others."""
        rates = dict.fromkeys(active, float())
        out_left = {
            flow.fetch.source: self._rate(flow.fetch.source) for flow in active
        }
        in_left = {flow.vm.vm_id: self._rate(flow.vm.vm_id) for flow in active}
        for _ in range(_SHARING_ROUNDS):
            for flow, rate in _fair_shares(active, out_left, in_left).items():
                rates[flow] += rate
                out_left[flow.fetch.source] -= rate
                in_left[flow.vm.vm_id] -= rate
        return rates

    def _rate(self, source: str) -> float:
        if source == ORIGIN:
            return self._scenario.origin_bytes_per_s
        return self._scenario.link_bytes_per_s * self._scenario.link_share

    def _fail_request(self, flow: _Flow, now: float) -> None:
        self._flows.remove(flow)
        swarm = flow.vm.swarms.get(flow.version)
        if swarm is not None:
            swarm.record_failure(flow.fetch.index, flow.fetch.source)
            swarm.record_origin_failure(now)

    def _finish_flow(self, flow: _Flow, now: float) -> None:
        self._flows.remove(flow)
        from_origin = flow.fetch.source == ORIGIN
        if from_origin:
            self.outcome.reads[flow.version] += 1
        swarm = flow.vm.swarms.get(flow.version)
        if swarm is None:
            return
        if from_origin:
            swarm.record_origin_answer(now)
        swarm.record_chunk(flow.fetch.index, flow.fetch.source)
        if swarm.complete:
            flow.vm.complete_at.setdefault(flow.version, now)
            self._record_complete(flow.version, now)

    def _record_complete(self, version: int, now: float) -> None:
        incomplete = [
            vm for vm in self._vms.values() if version not in vm.complete_at
        ]
        if not any(self._is_in_origin_zone(vm.vm_id) for vm in incomplete):
            self.outcome.near_complete_at.setdefault(version, now)
        if not incomplete:
            self.outcome.complete_at_by_version[version] = now

    def _notify_partners(self, now: float) -> None:
        queued = Counter(flow.fetch.source for flow in self._flows)
        for vm in self._vms.values():
            for version in vm.swarms:
                partners_reached = [
                    self._vms[other].swarms.get(version)
                    for other in vm.partners[version]
                    if not self._is_cut(vm.vm_id, other, now)
                ]
                held = vm.swarms[version].held
                for swarm in filter(None, partners_reached):
                    swarm.update_peer(vm.vm_id, held, queued[vm.vm_id])

    def _expire_requests(self, vm: _Vm, version: int, now: float) -> None:
        swarm = vm.swarms[version]
        heard_at = {
            other: now
            for other in swarm.peers
            if not self._is_cut(vm.vm_id, other, now)
        }
        for index in swarm.expired(now, heard_at):
            source = swarm.pending[index].source
            swarm.record_failure(index, source)
            swarm.record_silence(source, now)
            self._flows = [
                flow
                for flow in self._flows
                if flow.vm is not vm or flow.fetch != Fetch(index, source)
            ]

    def _run_vm(self, vm: _Vm, now: float) -> None:
        self._change_version(vm, now)
        inputs = self._plan_inputs(vm, now)
        target = self._policies.plan.choose_version(self._wanted, inputs)
        self._select_versions(vm, target, now)
        for version, swarm in vm.swarms.items():
            self._expire_requests(vm, version, now)
            for fetch in swarm.plan(now):
                self._send_request(vm, version, fetch, now)

    def _plan_inputs(self, vm: _Vm, now: float) -> PlanInputs:
        here = {
            version: progress_of(swarm) for version, swarm in vm.swarms.items()
        }
        scenario = self._scenario
        return PlanInputs(
            MODEL,
            vm.serving,
            vm.target,
            now,
            scenario.transfer_s,
            scenario.chunk_origin_s,
            here,
        )

    def _select_versions(self, vm: _Vm, target: int, now: float) -> None:
        if target <= vm.serving:
            return
        vm.target = target
        wanted = list(self._wanted_versions(vm))
        for version in set(vm.swarms).difference(wanted):
            self._drop_version(vm, version)
        for version in set(wanted).difference(vm.swarms):
            known_at = self._scenario.named_at[version - 2] + _ANNOUNCEMENT_S
            if now >= known_at:
                self._start_version(vm, version, now)
        first = vm.swarms.get(target)
        pending = first is not None and not first.complete
        for version, swarm in vm.swarms.items():
            swarm.origin_only = pending and version != target

    def _wanted_versions(self, vm: _Vm) -> Iterator[int]:
        yield vm.target
        newest = self._wanted.newest(MODEL)
        swarm = vm.swarms.get(vm.target)
        if newest == vm.target or swarm is None:
            return
        if self._policies.plan.may_read_ahead(progress_of(swarm)):
            yield newest

    def _drop_version(self, vm: _Vm, version: int) -> None:
        swarm = vm.swarms.pop(version)
        vm.stored[version] = swarm.held
        swarm.close()
        self._flows = [
            flow
            for flow in self._flows
            if flow.vm is not vm or flow.version != version
        ]

    def _start_version(self, vm: _Vm, version: int, now: float) -> None:
        scenario = self._scenario
        name = f'{MODEL}@{version}'
        cfg = SwarmOptions(
            window=_WINDOW,
            chunk_origin_s=scenario.chunk_origin_s,
            takeover_s=_TAKEOVER_S,
            silence_s=_SILENCE_S,
            request_timeout_s=60,
        )
        near = {vm_id for vm_id, zone in self._zones.items() if zone == vm.zone}
        swarm = Swarm(
            scenario.chunks,
            vm.stored.get(version, 0),
            cfg,
            SharedReading(
                vm.vm_id,
                Ring(name, self._zones),
                scenario.chunks,
                cfg,
                takeover=self._policies.takeover,
            ),
            self._rng,
            now,
            ZoneReading(
                vm.vm_id,
                Ring(name, near),
                len(near),
                scenario.chunks,
                _FAR_TAKEOVER_S,
            ),
            vm.inbound_link,
        )
        vm.swarms[version] = swarm
        found = {
            *partners(vm.vm_id, near, name, _NEAR_PARTNERS),
            *partners(vm.vm_id, self._zones, name, _FAR_PARTNERS),
        }
        vm.partners[version] = sorted(found)
        for other in found:
            swarm.add_peer(other)
        swarm.mark_nearby(near)

    def _send_request(
        self, vm: _Vm, version: int, fetch: Fetch, now: float
    ) -> None:
        swarm = vm.swarms[version]
        if fetch.source == ORIGIN:
            reading = sum(flow.fetch.source == ORIGIN for flow in self._flows)
            full = reading >= self._scenario.connections
            if full or self._is_origin_down(vm, now):
                self.outcome.refused += full
                swarm.record_failure(fetch.index, ORIGIN)
                swarm.record_origin_failure(now)
                return
        flow = _Flow(vm, version, fetch, self._scenario.chunk_bytes)
        self._flows.append(flow)

    def _change_version(self, vm: _Vm, now: float) -> None:
        swarm = vm.swarms.get(vm.target)
        if swarm is None or not swarm.complete or vm.serving >= vm.target:
            return
        if math.isinf(vm.switched_at):
            if now < self._change_due_at(vm):
                return
            idle = self._wanted.oldest_allowed(MODEL, now) > vm.serving
            finish_s = _FINISH_RANGE_S[0]
            if not idle:
                finish_s = self._rng.uniform(*_FINISH_RANGE_S)
            vm.switched_at = now + finish_s
        if now >= vm.switched_at:
            vm.serving = vm.target
            vm.switched_at = math.inf

    def _change_due_at(self, vm: _Vm) -> float:
        name = f'{MODEL}@{vm.target}'
        first = waves.in_first_wave(vm.vm_id, self._zones, name)
        cutoff = self._wanted.cutoff(MODEL, vm.target) or 0
        return waves.change_due_at(
            vm.complete_at[vm.target],
            cutoff,
            _FINISH_RANGE_S[1],
            first=first,
        )

    def _count_unserved(self, now: float) -> None:
        oldest_allowed = self._wanted.oldest_allowed(MODEL, now)
        without = sum(vm.serving < oldest_allowed for vm in self._vms.values())
        self.outcome.without_s += _STEP_S * without / len(self._vms)


def _fair_shares(
    active: list[_Flow],
    out_left: Mapping[str, float],
    in_left: Mapping[str, float],
) -> dict[_Flow, float]:
    flows = [
        flow
        for flow in active
        if out_left[flow.fetch.source] > 1 and in_left[flow.vm.vm_id] > 1
    ]
    outs = Counter(flow.fetch.source for flow in flows)
    ins = Counter(flow.vm.vm_id for flow in flows)
    return {
        flow: min(
            out_left[flow.fetch.source] / outs[flow.fetch.source],
            in_left[flow.vm.vm_id] / ins[flow.vm.vm_id],
        )
        for flow in flows
    }
