"""Scenarios for versions, drawn by seed, and what their links allow."""

import itertools
import math
from collections.abc import Iterator, Sequence
from random import Random

from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab.transfers import CHANGE_S, MODEL
from linnetwood.lab.transferscenario import Scenario

_STEP_S = 0.01
_LONGEST_S = 60
# The share of a link that a transfer is expected to reach.
_EXPECTED_SHARE = 0.72
# Ranges to draw from: rates in bytes per second, and bounds in seconds.
_LINKS = (4.5e5, 9.0e5)
_ORIGINS = (5.0e5, 1.3e6)
_BOUNDS_S = (8, 14)
_NEVER = (math.inf, math.inf)
# The origin is unavailable between these times, in seconds.
OUTAGE = (2.5, 8.5)
# The first fields of a scenario, up to the times at which versions are named.
_FIRST = (36, 3, 48, 49152, 587500, 0.9, 1125000, 48, 9.7, 5.58, (0, 3))
_SECOND = (41, 3, 64, 32768, 475000, 0.9, 742500, 48, 10.3, 6.13, (0, 2))
FIRST = Scenario(*_FIRST, outage=OUTAGE)
SECOND = Scenario(*_SECOND, outage=OUTAGE)


def draw_scenario(seed: int) -> Scenario:
    """Draw sizes, rates, times of namings and an outage by a seed."""
    rng = Random(seed)
    count, size = rng.choice(((48, 49152), (64, 32768), (96, 24576)))
    link = rng.uniform(*_LINKS)
    named = [float()]
    for _ in range(rng.randrange(3)):
        named.append(named[-1] + rng.choice((2, 3, 4, 9)))
    outage_at = rng.uniform(0, 6)
    outage = (outage_at, outage_at + rng.uniform(2, 6))
    return Scenario(
        vms=rng.choice((7, 12, 24, 36, 41, 60, 101)),
        zones=rng.choice((1, 2, 3)),
        chunks=count,
        chunk_bytes=size,
        link_bytes_per_s=link,
        origin_bytes_per_s=rng.uniform(*_ORIGINS),
        bound_s=rng.uniform(*_BOUNDS_S),
        transfer_s=count * size / (_EXPECTED_SHARE * link),
        named_at=tuple(named),
        outage=rng.choice((_NEVER, outage, outage)),
    )


def min_without_s(scenario: Scenario) -> float:
    """Return the seconds without an allowed version that no plan can avoid.

    Every plan reads its versions one after the other, at the origin's full
    rate, and transfers what was read at the full rate of a VM's link.
    """
    newest = 1 + len(scenario.named_at)
    return min(_without_s(scenario, plan) for plan in _plans(newest))


def _plans(newest: int) -> Iterator[tuple[int, ...]]:
    between = range(2, newest)
    for size in range(len(between) + 1):
        for chosen in itertools.combinations(between, size):
            yield (*chosen, newest)


def _without_s(scenario: Scenario, plan: Sequence[int]) -> float:
    wanted = WantedVersions(scenario.bound_s)
    for version, named_at in enumerate(scenario.named_at, start=2):
        wanted.add_named(MODEL, version, named_at)
    serves_from = dict(_served(scenario, plan))
    without_s = float()
    for step in range(int(_LONGEST_S / _STEP_S)):
        now = step * _STEP_S
        serving = max(
            (ready for ready, at in serves_from.items() if at <= now), default=1
        )
        without_s += _STEP_S * (serving < wanted.oldest_allowed(MODEL, now))
    return without_s


def _served(
    scenario: Scenario, plan: Sequence[int]
) -> Iterator[tuple[int, float]]:
    """Yield each version of a plan with the time from which it serves."""
    size = scenario.chunks * scenario.chunk_bytes
    left_to_read = dict.fromkeys(plan, float(size))
    left_to_transfer = dict.fromkeys(plan, float(size))
    for step in range(int(_LONGEST_S / _STEP_S)):
        now = step * _STEP_S
        if not scenario.outage[0] <= now < scenario.outage[1]:
            _use_link(scenario.origin_bytes_per_s, left_to_read, scenario, now)
        _use_link(
            scenario.link_bytes_per_s * scenario.link_share,
            left_to_transfer,
            scenario,
            now,
            left_to_read,
        )
        for version in plan:
            if version in left_to_transfer and left_to_transfer[version] <= 0:
                left_to_transfer.pop(version)
                yield version, now + CHANGE_S


def _use_link(
    rate: float,
    left: dict[int, float],
    scenario: Scenario,
    now: float,
    least: dict[int, float] | None = None,
) -> None:
    """Spend one step of a link on the first versions that can use it."""
    room = rate * _STEP_S
    for version in left:
        if scenario.named_at[version - 2] > now:
            continue
        floor = least[version] if least else 0
        used = min(room, max(0, left[version] - floor))
        left[version] -= used
        room -= used
