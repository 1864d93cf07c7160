"""Simulate how versions reach engines, with the product's policies; no I/O.

VMs read chunks from one origin and from each other over links that divide their
rate evenly, in steps of ten milliseconds. The origin may be unavailable for a
while and accepts a limited number of connections; its zone may be cut off from
the others. Calls and packet loss are not simulated.
"""

import functools
import math
from collections.abc import Iterator
from random import Random

from linnetwood.fleet.neighbours import partners
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab.transferlinks import Flow, Links
from linnetwood.lab.transferscenario import Outcome, Policies, Scenario
from linnetwood.weights import waves
from linnetwood.weights.inboundlink import InboundLink
from linnetwood.weights.reading import Ring, SharedReading, ZoneReading
from linnetwood.weights.swarm import ORIGIN, Fetch, Swarm, progress_of
from linnetwood.weights.swarmoptions import SwarmOptions
from linnetwood.weights.versionplan import PlanInputs

MODEL = 'm'
_STEP_S = 0.01
_STEPS_PER_PLAN = 4
_STEPS_PER_NOTICE = 10
_NEAR_PARTNERS = 24
_FAR_PARTNERS = 12
_WINDOW = 4
_TAKEOVER_S = 1.0
_FAR_TAKEOVER_S = 3.0
_SILENCE_S = 0.8
# The time until all VMs know a version and its manifest.
_ANNOUNCEMENT_S = 0.3
# The time in which an engine finishes its calls after an order; the shortest
# if it is idle.
_FINISH_RANGE_S = (0.3, 1.8)
CHANGE_S = _FINISH_RANGE_S[0]


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
        self._links = Links(scenario, self._zones)
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

    def _advance_flows(self, now: float) -> None:
        for failed in self._links.fail_reads(now):
            self._fail_read(failed, now)
        for begun in self._links.begin_due(now):
            swarm = self._vms[begun.vm_id].swarms[begun.version]
            swarm.record_first_byte(begun.fetch.index, begun.fetch.source, now)
        for arrived in self._links.advance(now, _STEP_S):
            self._finish_flow(arrived, now)

    def _fail_read(self, flow: Flow, now: float) -> None:
        swarm = self._vms[flow.vm_id].swarms.get(flow.version)
        if swarm is not None:
            swarm.record_failure(flow.fetch.index, flow.fetch.source)
            swarm.record_origin_failure(now)

    def _finish_flow(self, flow: Flow, now: float) -> None:
        vm = self._vms[flow.vm_id]
        from_origin = flow.fetch.source == ORIGIN
        if from_origin:
            self.outcome.reads[flow.version] += 1
        swarm = vm.swarms.get(flow.version)
        if swarm is None:
            return
        if from_origin:
            swarm.record_origin_answer(now)
        swarm.record_chunk(flow.fetch.index, flow.fetch.source)
        if swarm.complete:
            vm.complete_at.setdefault(flow.version, now)
            self._record_complete(flow.version, now)

    def _record_complete(self, version: int, now: float) -> None:
        incomplete = [
            vm for vm in self._vms.values() if version not in vm.complete_at
        ]
        if not any(
            self._links.is_in_origin_zone(vm.vm_id) for vm in incomplete
        ):
            self.outcome.near_complete_at.setdefault(version, now)
        if not incomplete:
            self.outcome.complete_at_by_version[version] = now

    def _notify_partners(self, now: float) -> None:
        queued = self._links.requests_by_source()
        for vm in self._vms.values():
            for version in vm.swarms:
                partners_reached = [
                    self._vms[other].swarms.get(version)
                    for other in vm.partners[version]
                    if not self._links.is_cut(vm.vm_id, other, now)
                ]
                held = vm.swarms[version].held
                for swarm in filter(None, partners_reached):
                    swarm.update_peer(vm.vm_id, held, queued[vm.vm_id])

    def _expire_requests(self, vm: _Vm, version: int, now: float) -> None:
        swarm = vm.swarms[version]
        heard_at = {
            other: now
            for other in swarm.peers
            if not self._links.is_cut(vm.vm_id, other, now)
        }
        for index in swarm.expired(now, heard_at):
            source = swarm.pending[index].source
            swarm.record_failure(index, source)
            swarm.record_silence(source, now)
            expired = (vm.vm_id, Fetch(index, source))
            self._links.drop(functools.partial(_is_request, expired))

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
        self._links.drop(
            lambda flow: (flow.vm_id, flow.version) == (vm.vm_id, version)
        )

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
            reading = self._links.requests_by_source()[ORIGIN]
            full = reading >= self._scenario.connections
            if full or self._links.is_origin_down(vm.vm_id, now):
                self.outcome.refused += full
                swarm.record_failure(fetch.index, ORIGIN)
                swarm.record_origin_failure(now)
                return
        self._links.request(vm.vm_id, version, fetch)

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


def _is_request(request: tuple[str, Fetch], flow: Flow) -> bool:
    return (flow.vm_id, flow.fetch) == request
