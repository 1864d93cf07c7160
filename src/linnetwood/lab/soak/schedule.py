"""Generate a schedule of faults from a seed; no I/O or clock."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from random import Random
from types import MappingProxyType

# The time before the first fault.
LEAD_S = 4.0
_GAP_S = (0.3, 2.0)
# The kinds of faults, and how long each lasts, in seconds.
_INSTANT = (0, 0)
_DURATIONS_S: Mapping[str, tuple[float, float]] = MappingProxyType(
    {
        'kill entry': _INSTANT,
        'stop entry': _INSTANT,
        'pause entry': (0.5, 4.0),
        'kill endpoint': _INSTANT,
        'pause endpoint': (0.5, 4.0),
        'hup entry': _INSTANT,
        'crash server': (0.3, 2.0),
        'server silent': (4.0, 10.0),
        'server dark': (1.0, 4.0),
        'server endless': (4.0, 10.0),
        'drain server': (2.0, 5.0),
        'call that ends servers': (8.0, 15.0),
        'part that ends engines': (8.0, 15.0),
        'server in need': (8.0, 15.0),
        'server asks for rest': (4.0, 8.0),
        'server leaves unlisted': (2.0, 5.0),
        'store down': (0.5, 4.0),
        'store slow': (0.5, 4.0),
        'store silent': (0.5, 5.0),
        'store resets': (0.1, 1.0),
        'store forgets': _INSTANT,
        'store restored': (0.2, 2.0),
        'way slow': (0.5, 3.0),
        'way silent': (0.5, 3.0),
        'way cut one way': (0.5, 3.0),
        'way resets': (0.1, 0.5),
        'link full': (2.0, 8.0),
        'spoilt pieces': (1.0, 4.0),
        'origin silent': (0.5, 3.0),
        'config': _INSTANT,
        'configs': _INSTANT,
        'config idle': _INSTANT,
        'route without servers': (0.5, 2.5),
        'version': _INSTANT,
        'all lost': (0.5, 2.0),
    }
)
# More kinds, beside routes that move between services.
_MOVE_DURATIONS_S: Mapping[str, tuple[float, float]] = MappingProxyType(
    {
        'store lost': (0.5, 4.0),
        'store lags': (1.0, 4.0),
        'store deaf': (1.0, 1.0),
        'store turns away': (1.0, 5.0),
        'record unreadable': (3.0, 8.0),
        'write late': (0.3, 6.0),
        'config large': (0.5, 3.0),
        'reuse address': (0, 2.0),
        'link lossy': (2.0, 6.0),
    }
)
_MOVE_KINDS = (
    *_MOVE_DURATIONS_S,
    'store down',
    'store slow',
    'store silent',
    'store resets',
    'store forgets',
    'kill entry',
    'pause entry',
    'hup entry',
    'crash server',
    'drain server',
    'link full',
    'all lost',
)
_MOVE_GAP_S = (0.6, 3.5)
# Faults come one at a time, mostly, so that entries are in touch in between.
_MOVE_FAULT_GAP_S = (3.0, 8.0)
_BESIDE_SHARE = 0.4
# The range of the numbers that choose what a fault affects.
_PICK_RANGE = 65536
_MOVES = ('config', 'config', 'configs')
_FREQUENT_KINDS = (*_MOVES, 'version')
_PLANNED_KINDS = (
    'config',
    'configs',
    'config idle',
    'route without servers',
    'hup entry',
    'stop entry',
)
_ENDLESS_KINDS = ('config', 'server endless')
_SILENCE_GAP_S = (0.5, 2.0)
_PLANNED_GAP_S = (0.5, 4.0)
# The number of changes in a series, and the seconds between them.
SERIES_LENGTH = 4
SERIES_GAP_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault: when, for how long, and which process or server it affects."""

    at_s: float
    kind: str
    span_s: float
    pick: int


def schedule(seed: int, span_s: float) -> list[Fault]:
    """Return the faults of a run, ordered by time; several may overlap."""
    kinds = (*_DURATIONS_S, *_FREQUENT_KINDS)
    return list(_draw(Random(seed), span_s, kinds, _GAP_S))


def schedule_planned_work(seed: int, span_s: float) -> list[Fault]:
    """Return planned work beside silent servers, none of which excuses."""
    rng = Random(seed)
    silences = _draw(rng, span_s, ('server silent',), _SILENCE_GAP_S)
    faults = [*silences, *_draw(rng, span_s, _PLANNED_KINDS, _PLANNED_GAP_S)]
    return sorted(faults, key=lambda fault: fault.at_s)


def schedule_endless(seed: int, span_s: float) -> list[Fault]:
    """Return servers that answer without end beside configurations."""
    return list(_draw(Random(seed), span_s, _ENDLESS_KINDS, _SILENCE_GAP_S))


def schedule_moves(
    seed: int, span_s: float, kinds: Sequence[str] = ()
) -> list[Fault]:
    """Return configurations beside faults of some kinds, or of all."""
    rng = Random(seed)
    faults = list(_draw(rng, span_s, _MOVES, _MOVE_GAP_S))
    chosen = kinds or _MOVE_KINDS
    for fault in _draw(rng, span_s, chosen, _MOVE_FAULT_GAP_S):
        faults.append(fault)
        if rng.random() < _BESIDE_SHARE:
            # Also an entry that starts while the store is away.
            beside = rng.choice(kinds or ('kill entry', *_MOVE_KINDS))
            faults.append(dataclasses.replace(fault, kind=beside))
    return sorted(faults, key=lambda one: one.at_s)


def _draw(
    rng: Random,
    span_s: float,
    kinds: Sequence[str],
    gap_s: tuple[float, float],
) -> Iterator[Fault]:
    at_s = LEAD_S
    while at_s < span_s:
        kind = rng.choice(kinds)
        durations = _DURATIONS_S.get(kind) or _MOVE_DURATIONS_S[kind]
        duration_s = rng.uniform(*durations)
        pick = rng.randrange(_PICK_RANGE)
        yield Fault(round(at_s, 2), kind, round(duration_s, 2), pick)
        at_s += rng.uniform(*gap_s)
