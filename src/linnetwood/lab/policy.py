"""Simulate calls, entries and engines with the product's policies; no I/O.

Entries hear of engines by reports, and choose, admit and refuse as on a VM.
Links are a fixed delay; faults and versions are not simulated.
"""

import dataclasses
import functools
import heapq
import itertools
import math
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

from linnetwood.calls.candidates import select_hosts
from linnetwood.calls.choice import Choice, Chooser, Requirements
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import Report
from linnetwood.calls.enginepace import explained_s
from linnetwood.calls.policy.firstattempts import (
    FIRST_ATTEMPT_DETECTORS,
    CallTraits,
    FirstAttemptDetector,
)
from linnetwood.calls.policy.lateness import (
    Lateness,
    MeanLateness,
    level_lateness,
)
from linnetwood.calls.policy.prioritythresholds import PriorityThresholds
from linnetwood.calls.policy.retryafter import (
    RETRY_AFTER_POLICIES,
    RetryAfterPolicy,
)
from linnetwood.calls.policy.retrycapacity import RETRY_CAPACITY, SlotUsage
from linnetwood.calls.routetable import Service
from linnetwood.fleet.members import hash64
from linnetwood.lab.policyengine import (
    SimulatedCall,
    SimulatedEngine,
    scaled_profile,
)
from linnetwood.lab.policyoutcome import Outcome
from linnetwood.lab.policyscenario import Scenario
from linnetwood.lab.sheets import MODEL, Kind

_LINK_DELAY_S = 0.004
_HALF_RATE_SHARE = 0.5


class _Event(NamedTuple):
    """A scheduled action; those of the same time run in the order given."""

    at: float
    order: int
    act: Callable[..., None]
    args: tuple[Any, ...]


class Simulation:
    """Run arrivals, reports and passes in the order of their times."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Start with idle engines."""
        self._scenario = scenario
        self._rng = Random(seed)
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._now = float()
        self._profile = scenario.sheet.profile
        if scenario.slow.equal:
            self._profile = scaled_profile(
                self._profile, scenario.slow.capacity()
            )
        self._profile = dataclasses.replace(
            self._profile, report_lag_s=scenario.report_age_s
        )
        levels = scenario.levels()
        self._pool = Service('pool', 0, self._profile, levels=levels)
        self._zone_by_host = {
            f'e{number}': f'z{number % scenario.zones}'
            for number in range(scenario.engines)
        }
        self._engines = {
            host: SimulatedEngine(self._profile) for host in self._zone_by_host
        }
        directory = Directory()
        for place in self._zone_by_host.items():
            directory.update(_listed(*place, self._profile.slots))
        self._subscribers: dict[str, list[Chooser]] = {
            host: [] for host in self._zone_by_host
        }
        self._lateness: dict[tuple[Chooser, int], Lateness] = {}
        self._thresholds: dict[Chooser, PriorityThresholds] = {}
        self._retry_after: dict[Chooser, RetryAfterPolicy] = {}
        self._first_attempts: dict[Chooser, FirstAttemptDetector] = {}
        self._entries = [
            self._entry(f'a{number}', f'z{number % scenario.zones}', directory)
            for number in range(scenario.entries)
        ]
        self.outcome = Outcome(0)

    def run(self, warm_s: float, span_s: float) -> Outcome:
        """Return the outcome of a span, after some time to fill the queues."""
        self._schedule(0, self._receive_next)
        for host in self._engines:
            is_first = self._rng.random() * self._scenario.report_interval_s
            self._schedule(is_first, self._report, host)
        if self._scenario.slow.share and not self._scenario.slow.equal:
            self._schedule(0, self._redraw)
        self._run_until(warm_s)
        self.outcome = Outcome(span_s)
        self._run_until(warm_s + span_s)
        return self.outcome

    def _entry(
        self,
        entry_id: str,
        zone: str,
        directory: Directory,
    ) -> tuple[Chooser, str]:
        chooser = Chooser(directory, Random(entry_id))
        subscribed_hosts = select_hosts(entry_id, zone, self._zone_by_host)
        chooser.candidates.prefer_hosts(subscribed_hosts)
        for host in subscribed_hosts:
            self._subscribers[host].append(chooser)
        decisions = self._scenario.decisions
        count = self._pool.levels.count
        for level in range(count):
            self._lateness[chooser, level] = (
                MeanLateness() if count == 1 else level_lateness()
            )
        self._thresholds[chooser] = PriorityThresholds()
        self._retry_after[chooser] = RETRY_AFTER_POLICIES[decisions.returns](
            Random(entry_id)
        )
        self._first_attempts[chooser] = FIRST_ATTEMPT_DETECTORS[
            decisions.first_tries
        ]()
        return chooser, zone

    def _run_until(self, until: float) -> None:
        while self._events[0].at < until:
            event = heapq.heappop(self._events)
            self._now = event.at
            event.act(*event.args)

    def _schedule(
        self, when: float, act: Callable[..., None], *args: Any
    ) -> None:
        event = _Event(when, next(self._order), act, args)
        heapq.heappush(self._events, event)

    def _receive_next(self) -> None:
        scenario = self._scenario
        turns = 2 * math.pi * self._now / scenario.swing_period_s
        rate = scenario.rate * (1 + scenario.rate_swing * math.sin(turns))
        half_rate = (
            not scenario.half_rate_s <= self._now < scenario.half_rate_from_s
        )
        rate *= _HALF_RATE_SHARE if half_rate else 1
        kinds = scenario.sheet.kinds
        weights = scenario.weights(self._now)
        if scenario.surge != 1:
            rate *= sum(weights) / sum(kind.weight for kind in kinds)
        self._schedule(
            self._now + self._rng.expovariate(rate), self._receive_next
        )
        kind = self._rng.choices(kinds, weights)[0]
        self.outcome.received += 1
        self.outcome.kinds[kind].received += 1
        self._decide(kind, self._now, is_retry=False)

    def _decide(
        self, kind: Kind, first_sent_at: float, *, is_retry: bool
    ) -> None:
        """Admit or refuse a call as an entry does; it may be retried once."""
        chooser, zone = self._rng.choice(list(self._loaded_entries()))
        requirements = self._requirements(kind, chooser, zone)
        choice = chooser.choose(requirements, (), self._now)
        wait_s = first_sent_at + self._scenario.patience_s - self._now
        traits = CallTraits(str(kind.prompt), wait_s, kind.target_s)
        is_first = self._first_attempts[chooser].is_first(traits, self._now)
        if choice is not None and not is_first:
            choice = self._within_retry_capacity(chooser, choice)
        if choice is None:
            self._refuse(kind, first_sent_at, chooser, is_retry=is_retry)
            return
        urgent, late = self._admission(chooser, requirements, choice)
        if urgent:
            self._retry_after[chooser].admitted(self._now)
        elif not late:
            self._refuse(kind, first_sent_at, chooser, is_retry=is_retry)
            return
        call = SimulatedCall(
            kind,
            first_sent_at,
            chooser,
            choice,
            urgent=urgent,
            level=requirements.level,
        )
        call.decided_at = self._now
        self._send(call)

    def _requirements(
        self, kind: Kind, chooser: Chooser, zone: str
    ) -> Requirements:
        level = self._pool.levels.level(None, kind.priority)
        lateness = self._lateness[chooser, level]
        margin_s = lateness.margin_s(kind.target_s, self._now)
        return Requirements(
            self._pool,
            zone,
            kind.prompt,
            MODEL,
            acceptable_wait_s=chooser.max_wait_s(
                self._pool, kind.prompt, kind.target_s, margin_s, self._now
            ),
            sample_number=hash64(str(self._rng.random())),
            level=level,
        )

    def _admission(
        self, chooser: Chooser, requirements: Requirements, choice: Choice
    ) -> tuple[bool, bool]:
        """Return whether a call is admitted as in time, or else as late."""
        level = requirements.level
        thresholds = self._thresholds[chooser]
        limit = thresholds.limit(level, self._now)
        fits = choice.wait_s <= requirements.acceptable_wait_s
        urgent = fits and limit.allows(self._usage(chooser, choice))
        late = thresholds.allows_late(level, self._now) and self._has_room(
            chooser, choice
        )
        thresholds.record_decision(level, self._now, in_time=urgent)
        return urgent, late

    def _within_retry_capacity(
        self,
        chooser: Chooser,
        choice: Choice,
    ) -> Choice | None:
        room = RETRY_CAPACITY[self._scenario.decisions.return_room]
        return choice if room(self._usage(chooser, choice)) else None

    def _usage(self, chooser: Chooser, choice: Choice) -> SlotUsage:
        stats = chooser.stats_of(choice.endpoint.incarnation_id)
        used = sum(stats.estimate_work(self._now))
        return SlotUsage(used, self._profile.slots)

    def _has_room(self, chooser: Chooser, choice: Choice) -> bool:
        if not self._scenario.patience_s:
            return False
        stats = chooser.stats_of(choice.endpoint.incarnation_id)
        waiting, running = stats.estimate_work(self._now)
        return waiting + running < self._profile.slots - 1

    def _refuse(
        self,
        kind: Kind,
        first_sent_at: float,
        chooser: Chooser,
        *,
        is_retry: bool,
    ) -> None:
        self.outcome.refused += not is_retry
        self.outcome.refused_twice += is_retry
        is_final = is_retry or not self._scenario.patience_s
        self.outcome.kinds[kind].refused += is_final
        self._first_attempts[chooser].refused(self._now)
        if self._scenario.patience_s and not is_retry:
            left_s = first_sent_at + self._scenario.patience_s - self._now
            after_s = self._retry_after[chooser].after_s(left_s, self._now)
            back = functools.partial(self._decide, is_retry=True)
            self._schedule(self._now + after_s, back, kind, first_sent_at)

    def _loaded_entries(self) -> Iterator[tuple[Chooser, str]]:
        zones = self._scenario.loaded_zones or self._scenario.zones
        for chooser, zone in self._entries:
            if int(zone[1:]) < zones:
                yield chooser, zone

    def _send(self, call: SimulatedCall) -> None:
        host = call.host
        self.outcome.sent[host, int(self._now)] += 1
        stats = call.chooser.stats_of(host)
        stats.record_sent()
        stats.count_waiting(call.level, 1)
        engine = self._engines[host]
        engine.waiting.append(call)
        if not engine.busy:
            self._start_pass(host)

    def _start_pass(self, host: str) -> None:
        engine = self._engines[host]
        pass_s, decoding = engine.begin_pass()
        engine.busy = bool(engine.active)
        if engine.busy:
            self._schedule(self._now + pass_s, self._end_pass, host, decoding)

    def _end_pass(self, host: str, decoding: list[SimulatedCall]) -> None:
        for call in decoding:
            if not call.begun:
                stats = call.chooser.stats_of(host)
                stats.count_waiting(call.level, -1)
                self._begin(call)
            call.left -= self._profile.steps_per_pass
            if call.left <= 0:
                self._engines[host].active.remove(call)
                call.chooser.stats_of(host).record_ended()
        self._start_pass(host)

    def _begin(self, call: SimulatedCall) -> None:
        call.begun = True
        wait_s = self._now - call.sent_at
        self.outcome.waits_s.append(wait_s)
        in_time = wait_s <= call.kind.target_s
        self.outcome.in_time += in_time
        self.outcome.late += not in_time
        self.outcome.kinds[call.kind].in_time += in_time
        self.outcome.kinds[call.kind].late += not in_time
        actual_s = self._now - call.decided_at
        call.chooser.record_waited(self._pool, call.level, actual_s, self._now)
        if call.urgent:
            self.outcome.prediction_errors_s.append(
                abs(actual_s - call.predicted_s)
            )
            stats = call.chooser.stats_of(call.host)
            pace_ratio = stats.pace(self._now) / call.pace
            predicted_s = explained_s(call.predicted_s, actual_s, pace_ratio)
            lateness = self._lateness[call.chooser, call.level]
            lateness.record(predicted_s, actual_s, self._now)

    def _redraw(self) -> None:
        """Draw which engines are slow from now on."""
        slow = self._scenario.slow
        hosts = sorted(self._engines)
        drawn = self._rng.sample(hosts, round(slow.share * len(hosts)))
        for host, engine in self._engines.items():
            engine.pace = slow.pace if host in drawn else 1
        self._schedule(self._now + slow.redraw_interval_s, self._redraw)

    def _report(self, host: str) -> None:
        engine = self._engines[host]
        load = (*engine.report(), engine.pace)
        received_at = self._now + self._scenario.report_age_s + _LINK_DELAY_S
        self._schedule(received_at, self._deliver_report, host, load)
        self._schedule(
            self._now + self._scenario.report_interval_s, self._report, host
        )

    def _deliver_report(self, host: str, load: tuple[int, int, float]) -> None:
        waiting, running, pace = load
        report = Report(
            waiting,
            running,
            1,
            changing=False,
            received_at=self._now,
            interval_s=self._scenario.report_interval_s,
            pace=1 if self._scenario.slow.unreported else pace,
        )
        for chooser in self._subscribers[host]:
            chooser.stats_of(host).record_report(report)


def _listed(host: str, zone: str, slots: int) -> Endpoint:
    return Endpoint(
        host,
        'pool',
        host,
        1,
        zone,
        slots,
        ready=True,
        versions={MODEL: 1},
    )
