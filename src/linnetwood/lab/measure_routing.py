"""Measure how evenly policies balance calls by number of entries; no I/O."""

import heapq
import itertools
import json
import statistics
import sys
from collections.abc import Iterator
from random import Random
from typing import Any

from linnetwood.calls.routing import POLICIES, EndpointQuery, Routes
from linnetwood.fleet.members import ENDPOINT, Health
from linnetwood.fleet.placement import ENGINE_KIND
from linnetwood.gen.schema.ttypes import (
    Deployment,
    Intent,
    Model,
    Version,
)
from linnetwood.gen.wire.ttypes import Member

_SLOTS = 16
_DURATION_S = 60.0
_WARM_UP_S = 10.0
_SAMPLE_INTERVAL_S = 0.25
_PROBE_S = 0.003
_QUERY = EndpointQuery(ENGINE_KIND, model='m')


class _Simulation:
    """Simulate arrivals, probes, reports and ends of calls as events."""

    def __init__(
        self, policy: str, entries: int, options: dict[str, Any]
    ) -> None:
        self.rng = Random(options['seed'])
        self.in_flight = dict.fromkeys(
            [f'vm-{number}' for number in range(options['endpoints'])],
            0,
        )
        self.lag_s = options['lag_s']
        self.mean_s = options['service_s']
        self.rate = options['use'] * _SLOTS * options['endpoints'] / self.mean_s
        self.entries = [self._routes(policy) for _ in range(entries)]
        self.samples: list[float] = []
        self._events: list[Any] = []
        self._order = itertools.count()

    def run(self) -> float:
        """Return the mean over time of the largest load over the mean load."""
        self.schedule(0, self.arrive)
        self.schedule(_WARM_UP_S, self.sample)
        now = float()
        while now < _DURATION_S:
            now, _, callback, args = heapq.heappop(self._events)
            callback(now, *args)
        return statistics.mean(self.samples)

    def schedule(self, when: float, callback: Any, *args: Any) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, (when, next(self._order), callback, args))

    def arrive(self, now: float) -> None:
        """Send a call from a random entry, and schedule the next."""
        self.schedule(now + self.rng.expovariate(self.rate), self.arrive)
        routes = self.rng.choice(self.entries)
        probed = routes.sample(_QUERY)
        if probed is not None:
            self.schedule(now + _PROBE_S, self.probe, routes, probed.vm)
        member = routes.choose(_QUERY, (), now)
        if member is None:
            return
        routes.load(member.vm).sent += 1
        self.in_flight[member.vm] += 1
        duration_s = self.rng.expovariate(1 / self.mean_s)
        self.schedule(now + duration_s, self.end, routes, member.vm)

    def probe(self, now: float, routes: Routes, vm: str) -> None:
        """Schedule the report of an endpoint's current load, after the lag."""
        load = self.in_flight[vm]
        self.schedule(now + self.lag_s, self.report, routes, vm, load)

    def report(self, now: float, routes: Routes, vm: str, load: int) -> None:
        """Record a delayed report."""
        routes.load(vm).record_report(load, now)

    def end(self, now: float, routes: Routes, vm: str) -> None:
        """End a call."""
        routes.load(vm).sent -= 1
        self.in_flight[vm] -= 1

    def sample(self, now: float) -> None:
        """Sample the imbalance."""
        loads = self.in_flight.values()
        mean = statistics.mean(loads)
        if mean:
            self.samples.append(max(loads) / mean)
        self.schedule(now + _SAMPLE_INTERVAL_S, self.sample)

    def _routes(self, policy: str) -> Routes:
        routes = Routes('z', POLICIES[policy](), self.rng)
        routes.apply_config(
            Deployment(
                models=[
                    Model(
                        name='m',
                        versions=[Version(name='v', manifest='x')],
                    ),
                ],
                intents=[Intent(model='m', version='v', replicas=1)],
            ),
        )
        for vm in self.in_flight:
            routes.member_changed(_member(vm))
        return routes


def _member(vm: str) -> Member:
    return Member(
        vm=vm,
        incarnation=1,
        version=1,
        role=ENDPOINT,
        availability_zone='z',
        region='r',
        rack='',
        host='h',
        port=1,
        status=int(Health.ALIVE),
        kind=ENGINE_KIND,
        serving='m@v',
        slots=_SLOTS,
    )


def _rows(
    sizes: list[int], options: dict[str, Any]
) -> Iterator[tuple[str, Any]]:
    for policy in POLICIES:
        imbalances = {
            size: round(_Simulation(policy, size, options).run(), 3)
            for size in sizes
        }
        growth = imbalances[sizes[-1]] / imbalances[sizes[0]]
        yield policy, {'imbalance': imbalances, 'growth': round(growth, 3)}


def routing(
    *,
    entries: str = '4,40',
    endpoints: int = 40,
    lag_s: float = 0.5,
    service_s: float = 1.0,
    use: float = 0.7,
    seed: int = 1,
) -> None:
    """Compare policies with the same calls and a growing number of entries.

    :param entries: numbers of entries, separated by commas
    :param endpoints: number of endpoints
    :param lag_s: delay of reports in seconds
    :param service_s: mean duration of a call in seconds
    :param use: offered load over capacity
    :param seed: seed of the calls
    """
    sizes = [int(one) for one in entries.split(',')]
    options = {
        'endpoints': endpoints,
        'lag_s': lag_s,
        'service_s': service_s,
        'use': use,
        'seed': seed,
    }
    json.dump(dict(_rows(sizes, options)), sys.stdout)
    sys.stdout.write('\n')
