"""Measure how long engines are without an allowed version; no sockets."""

import dataclasses
import json
import statistics
import sys
from collections.abc import Iterator
from typing import Any

from linnetwood.core.options import Decisions
from linnetwood.lab.transfers import Fleet, Outcome, Place, Ways
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.versionplan import PLANS

# Versions are named at these times, in seconds, and the origin is away.
_AWAY = (2.5, 8.5)
_AWAY_LATER = (4.5, 10.5)
_PLACES = (
    ('one', Place()),
    ('one, origin away', Place(away=_AWAY)),
    ('2 s apart', Place(named=(0, 2))),
    ('2 s apart, origin away', Place(named=(0, 2), away=_AWAY)),
    ('4 s apart, origin away', Place(named=(0, 4), away=_AWAY_LATER)),
    ('9 s apart', Place(named=(0, 9))),
)


def versions(*, vms: int = 41, zones: int = 3, seeds: int = 2) -> bool:
    """Print, for each way, what several namings cost.

    :param vms: VMs beside engines, evenly over the zones
    :param zones: availability zones
    :param seeds: how many seeds to take the mean of
    """
    best = Decisions()
    rows = []
    missed = False
    for name, place in _PLACES:
        played = dataclasses.replace(place, vms=vms, zones=zones)
        found = {way: _row(played, way, seeds) for way in _ways()}
        rows.append({'place': name, **found})
        least = min(row['without_s'] for row in found.values())
        missed |= found[_name(best)]['without_s'] > least + 1
    sys.stdout.write(f'{json.dumps({"rows": rows, "missed": missed})}\n')
    return missed


def _ways() -> Iterator[str]:
    for takeover in TAKEOVERS:
        for plan in PLANS:
            yield f'{takeover}, {plan}'


def _name(cfg: Decisions) -> str:
    return f'{cfg.takeover}, {cfg.version_plan}'


def _row(place: Place, way: str, seeds: int) -> dict[str, Any]:
    takeover, _, plan = way.partition(', ')
    ways = Ways(TAKEOVERS[takeover], PLANS[plan])
    found = [Fleet(place, ways, seed).play() for seed in range(seeds)]
    return {
        'without_s': _mean(found, 'without_s'),
        'served_at_s': _mean(found, 'served_at'),
        'reads': statistics.mean(one.reads.total() for one in found),
        'turned_away': _mean(found, 'refused'),
    }


def _mean(found: list[Outcome], name: str) -> float:
    each = [float(getattr(one, name)) for one in found]
    return round(statistics.mean(each), 2)
