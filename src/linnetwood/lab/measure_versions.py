"""Measure how long engines are without an allowed version; no sockets."""

import dataclasses
import json
import math
import statistics
import sys
from collections.abc import Iterator
from typing import Any

from linnetwood.core.options import Decisions
from linnetwood.lab.transfers import Fleet
from linnetwood.lab.transferscenario import Outcome, Policies, Scenario
from linnetwood.lab.versioncases import (
    FIRST,
    OUTAGE,
    SECOND,
    draw_scenario,
    min_without_s,
)
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.versionplan import PLANS

# The origin is unavailable between these times, in seconds.
_LATE_OUTAGE = (4.5, 10.5)
_MAX_OVER_S = 1.5
_NEVER = (math.inf, math.inf)
_SCENARIOS = (
    ('one', Scenario()),
    ('one, origin away', Scenario(outage=OUTAGE)),
    ('2 s apart', Scenario(named_at=(0, 2))),
    ('2 s apart, origin away', Scenario(named_at=(0, 2), outage=OUTAGE)),
    ('4 s apart, origin away', Scenario(named_at=(0, 4), outage=_LATE_OUTAGE)),
    ('9 s apart', Scenario(named_at=(0, 9))),
    ('first', FIRST),
    ('second', SECOND),
    ('first, one', dataclasses.replace(FIRST, named_at=(0,), outage=_NEVER)),
    ('second, one', dataclasses.replace(SECOND, named_at=(0,), outage=_NEVER)),
)


def versions(
    *, vms: int = 41, zones: int = 3, seeds: int = 2, draws: int = 0
) -> bool:
    """Print the cost of several namings for each policy, and the links' limit.

    :param vms: VMs beside engines, evenly over the zones
    :param zones: availability zones
    :param seeds: the number of seeds to average over
    :param draws: how many drawn scenarios to run instead, by default policies
    """
    if draws:
        return _run_drawn(draws)
    best = Decisions()
    rows = []
    missed = False
    for name, scenario in _SCENARIOS:
        played = dataclasses.replace(scenario, vms=vms, zones=zones)
        found = {
            policies: _row(played, policies, seeds)
            for policies in _policy_names()
        }
        limit_s = round(min_without_s(played), 2)
        rows.append({'place': name, 'limit_s': limit_s, **found})
        least = min(row['without_s'] for row in found.values())
        missed |= found[_policy_name(best)]['without_s'] > least + 1
    sys.stdout.write(f'{json.dumps({"rows": rows, "missed": missed})}\n')
    return missed


def _run_drawn(draws: int) -> bool:
    """Print the seconds over the link limit; return whether any is too many."""
    policies = _policy_name(Decisions())
    over_s: list[float] = []
    for seed in range(draws):
        scenario = draw_scenario(seed)
        without_s = float(_row(scenario, policies, 1)['without_s'])
        over_s.append(round(without_s - min_without_s(scenario), 2))
    missed = max(over_s, default=0) > _MAX_OVER_S
    found = {
        'over_limit_s': over_s,
        'mean_s': round(statistics.mean(over_s), 2),
        'within': sum(each <= _MAX_OVER_S for each in over_s),
        'missed': missed,
    }
    sys.stdout.write(f'{json.dumps(found)}\n')
    return missed


def _policy_names() -> Iterator[str]:
    for takeover in TAKEOVERS:
        for plan in PLANS:
            yield f'{takeover}, {plan}'


def _policy_name(cfg: Decisions) -> str:
    return f'{cfg.takeover}, {cfg.version_plan}'


def _row(scenario: Scenario, policies: str, seeds: int) -> dict[str, Any]:
    takeover, _, plan = policies.partition(', ')
    ways = Policies(TAKEOVERS[takeover], PLANS[plan])
    found = [Fleet(scenario, ways, seed).run() for seed in range(seeds)]
    return {
        'without_s': _mean(found, 'without_s'),
        'served_at_s': _mean(found, 'served_at'),
        'reads': statistics.mean(one.reads.total() for one in found),
        'turned_away': _mean(found, 'refused'),
    }


def _mean(found: list[Outcome], name: str) -> float:
    each = [float(getattr(one, name)) for one in found]
    return round(statistics.mean(each), 2)
