"""Measure what rules for silent streams keep, and their cost; no sockets."""

import json
import statistics
import sys
from typing import Any, Literal

from linnetwood.lab.load import percentile
from linnetwood.lab.silencerules import RULES, Rule
from linnetwood.lab.silences import Outcome, Simulation
from linnetwood.lab.silentengines import Scenario

_TAIL = 0.9


def silences(
    *,
    engines: int = 20,
    load: float = 0.9,
    span_s: float = 30,
    silent: float = 0.33,
    dead: float = 0.05,
    severed: float = 0.01,
    at_once: bool = False,
    reports: Literal['of-silent', 'of-none', 'of-all'] = 'of-silent',
    seeds: int = 3,
) -> bool:
    """Print what each rule keeps and costs while engines fall silent.

    :param engines: engines with 8 slots each, and a fifth as many entries
    :param load: the share of all slots that calls would fill without failures
    :param span_s: the seconds in which calls are received
    :param silent: the share of the engines that falls silent again and again
    :param dead: the share of the engines that dies within the span
    :param severed: the share of the streams whose connection is severed
    :param at_once: whether engines are silent at the same times
    :param reports: of which silent and dead engines the reports go on
    :param seeds: the number of seeds to average over
    """
    scenario = Scenario(
        engines=engines,
        load=load,
        span_s=span_s,
        silent_share=silent,
        dead_share=dead,
        severed_share=severed,
        at_once=at_once,
        silent_report=reports != 'of-none',
        dead_report=reports == 'of-all',
    )
    rows = {name: _row(scenario, rule, seeds) for name, rule in RULES.items()}
    missed = any(rows[name]['ended_sound'] for name in rows if 'beside' in name)
    sys.stdout.write(f'{json.dumps({"rows": rows, "missed": missed})}\n')
    return missed


def _row(scenario: Scenario, rule: Rule, seeds: int) -> dict[str, Any]:
    found = [
        _figures(Simulation(scenario, rule, seed).run())
        for seed in range(seeds)
    ]
    return {
        name: round(statistics.mean(one[name] for one in found), 4)
        for name in found[0]
    }


def _figures(outcome: Outcome) -> dict[str, float]:
    """Return means over streams, and seconds that were held or paused."""
    streams = outcome.streams
    return {
        'streams': streams,
        'refused_share': outcome.refused / (streams + outcome.refused),
        'whole_share': outcome.whole / streams,
        'in_time_share': outcome.in_time / streams,
        'cut': outcome.cut,
        'given_up': outcome.given_up,
        'ended_sound': outcome.ended_sound,
        'twice_share': outcome.tokens_twice / outcome.tokens,
        'second_attempts': outcome.second_attempts,
        'budget_used': outcome.second_attempts / outcome.budget,
        'severed_s': statistics.mean(outcome.severed_s or [0]),
        'held': len(outcome.held_s),
        'held_s': statistics.mean(outcome.held_s or [0]),
        'held_p90_s': percentile(outcome.held_s, _TAIL),
        'pause_s': statistics.mean(outcome.pauses_s or [0]),
        'pause_p90_s': percentile(outcome.pauses_s, _TAIL),
        'avoided_sound_s': outcome.avoided_sound_s / max(1, outcome.avoided),
    }
