"""Measure how many calls are in time as the load grows; no sockets."""

import dataclasses
import json
import statistics
import sys
from collections.abc import Iterable, Iterator
from typing import Any, Literal

from linnetwood.core.options import Decisions
from linnetwood.lab.policy import Simulation
from linnetwood.lab.policyscenario import Scenario, SlowEngines
from linnetwood.lab.sheets import SHEETS

# The queues fill in this time; calls after it are counted.
_WARM_S = 3.0
# With half of the rate, entries first learn how long callers wait.
_HALF_RATE_S = 6.0
_SPAN_S = 5.0
# The share of the calls in time at the knee to reach beyond it.
_MIN_GOODPUT = 0.9
_REDRAW_S = 0.6


def policy(
    *,
    entries: int = 98,
    engines: int = 60,
    zones: int = 5,
    every_s: float = 0.25,
    knee: float = 4.2,
    seeds: int = 3,
    sheet: Literal['large', 'shifted', 'first', 'priorities'] = 'large',
    swing: float = 0,
    patience_s: float = 0,
    returns: Literal['last-part', 'sized-window'] = 'last-part',
    first_tries: Literal['all-alike', 'by-patience'] = 'by-patience',
    return_room: Literal['as-first', 'reserve'] = 'reserve',
    by_priority: bool = True,
    surging: int = 0,
    surge: float = 1,
    lag_s: float = 0,
    slow_share: float = 0,
    slow_pace: float = 1,
    slow_s: float = _REDRAW_S,
    slow_as: Literal['reported', 'hidden', 'even'] = 'reported',
) -> bool:
    """Print calls in time at one to three times the rate of the knee.

    :param entries: entries, evenly over the zones
    :param engines: engines, evenly over the zones
    :param zones: availability zones
    :param every_s: seconds between two reports of an engine
    :param knee: calls a second and engine at the knee
    :param seeds: the number of seeds to average over
    :param sheet: engines and calls: large, shifted, first or priorities
    :param swing: the share of the rate by which it rises and falls
    :param patience_s: how long callers wait, who retry once; 0 for never
    :param returns: when refused callers retry
    :param first_tries: how retries are told from first attempts
    :param return_room: which slots retries may take
    :param by_priority: whether the priorities of kinds are used
    :param surging: the number of the kind that surges in the counted span
    :param surge: how many times as frequent the surging kind is
    :param lag_s: the age of a report when it is sent
    :param slow_share: the share of the engines that is slow
    :param slow_pace: how many times slower these are
    :param slow_s: seconds after which others are drawn
    :param slow_as: whether paces are reported, hidden, or equal at all engines
    """
    half_rate_s = _HALF_RATE_S if patience_s else 0
    scenario = Scenario(
        entries,
        engines,
        zones,
        knee * engines,
        every_s,
        sheet=SHEETS[sheet],
        decisions=Decisions(
            returns=returns,
            first_tries=first_tries,
            return_room=return_room,
        ),
        half_rate_s=half_rate_s,
        rate_swing=swing,
        patience_s=patience_s,
        by_priority=by_priority,
        surging=surging,
        surge=surge,
        surge_from_s=_WARM_S + half_rate_s,
        report_age_s=lag_s,
        slow=SlowEngines(
            slow_share,
            slow_pace,
            slow_s,
            unreported=slow_as == 'hidden',
            equal=slow_as == 'even',
        ),
    )
    rows = list(_rows(scenario, seeds))
    best = rows[0]['in_time_per_s']
    missed = any(row['in_time_per_s'] < _MIN_GOODPUT * best for row in rows)
    sys.stdout.write(f'{json.dumps({"rows": rows, "missed": missed})}\n')
    return missed


def _rows(scenario: Scenario, seeds: int) -> Iterator[dict[str, Any]]:
    for times in (1, 1.3, 1.6, 2, 3):
        rate = scenario.rate * times
        played = dataclasses.replace(scenario, rate=rate)
        outcomes = [
            Simulation(played, seed).run(
                _WARM_S + scenario.half_rate_s, _SPAN_S
            )
            for seed in range(seeds)
        ]
        yield {
            'times': times,
            **_means(outcome.row(scenario.engines) for outcome in outcomes),
            'kinds': [
                {
                    'priority': kind.priority,
                    **_means(
                        one.kinds[kind].row(kind, _SPAN_S) for one in outcomes
                    ),
                }
                for kind in scenario.sheet.kinds
            ],
        }


def _means(rows: Iterable[dict[str, Any]]) -> dict[str, float]:
    found = list(rows)
    return {
        name: round(statistics.mean(row[name] for row in found), 3)
        for name in found[0]
    }
