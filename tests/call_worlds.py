"""Worlds in which the life of one call is tried: all short ones, and drawn."""

import itertools
import math
from collections.abc import Iterator
from random import Random

from linnetwood.calls.routetable import Repeat
from tests.call_life import NO_RETRIES, RETRIES, Change, Event, World
from tests.scripted_endpoints import COUNT, Act, Reply, Script, Step

SILENCES_S = (0.3, 1.2, 2.0, 3.0)
_USUALLY = 0.7
_OFTEN = 0.9
EVENT = Step(Act.EVENT)
PIECE = Step(Act.PIECE)
# How the endpoint that is reached first may stop.
STOPS = (
    *(Step(Act.SILENCE, silent_s) for silent_s in SILENCES_S),
    Step(Act.CRASH),
    Step(Act.HANG),
)
SECONDS = (
    Script(),
    Script(reply=Reply.UNFRAMED),
    Script(reply=Reply.REFUSED),
    Script(reply=Reply.MISDIRECTED),
    Script(reply=Reply.FAILED),
    Script(reply=Reply.MISSING),
    Script(reply=Reply.UNREACHABLE),
    Script(steps=(Step(Act.CRASH),)),
    Script(steps=(PIECE, Step(Act.CRASH))),
    Script(steps=(EVENT, Step(Act.CRASH))),
    Script(steps=(Step(Act.SILENCE, 1.2),)),
    Script(steps=(Step(Act.HANG),)),
    Script(steps=(EVENT, Step(Act.SILENCE, 1.2))),
    Script(reply=Reply.UNFRAMED, steps=(Step(Act.CRASH),)),
)


def first_scripts() -> Iterator[Script]:
    """Yield each script that stops once, between or within events."""
    for after in range(COUNT + 1):
        for stop in STOPS:
            for within in ((), (PIECE,)):
                yield Script(steps=(*[EVENT] * after, *within, stop))


def short_worlds() -> Iterator[World]:
    """Yield each pair of short scripts, with and without a retry budget."""
    pairs = itertools.product(first_scripts(), SECONDS)
    for first, second in pairs:
        yield World((first, second))
    for first in first_scripts():
        for attempts in (1, 2):
            yield World((first, Script()), attempts=attempts, limits=NO_RETRIES)
        yield World((first, Script()), changes=(Event(0, Change.SUSPECTED),))
        yield World((first,))


class Draw:
    """Draw worlds by a seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = Random(seed)

    def world(self) -> World:
        """Return a world in which anything may happen."""
        rng = self.rng
        count = rng.randint(2, 4)
        streams = rng.random() < _OFTEN
        return World(
            tuple(self._script(streams) for _ in range(count)),
            rng.choices(list(Repeat), (1, 1, 8))[0],
            streams,
            rng.randint(1, 3),
            rng.choice((RETRIES, RETRIES, NO_RETRIES)),
            rng.choice((6.0, 6.0, 2.5, rng.uniform(0.05, 8))),
            math.inf if rng.random() < _USUALLY else rng.uniform(-7.5, -1),
            tuple(self._changes(count)),
            self.seed,
        )

    def _changes(self, count: int) -> Iterator[Event]:
        rng = self.rng
        for _ in range(rng.choice((0, 0, 1, 2, 3))):
            change = rng.choice(list(Change))
            at = rng.uniform(0, 5)
            yield Event(at, change, rng.randrange(count))
            if change is Change.BLOCKED and rng.random() < _OFTEN:
                yield Event(at + rng.uniform(0, 2), Change.UNBLOCKED)

    def _script(self, streams: bool) -> Script:
        rng = self.rng
        replies = rng.choices(list(Reply), (20, 3, 2, 1, 1, 1, 1))
        steps = [self._step() for _ in range(rng.choice((0, 1, 2, 3, 5, 8)))]
        head_s = rng.choice((0.02, 0.02, 0.02, rng.uniform(0, 3)))
        version = rng.choice((1, 1, 1, 2))
        return Script(replies[0], tuple(steps), head_s, version)

    def _step(self) -> Step:
        rng = self.rng
        act = rng.choices(list(Act), (10, 4, 2, 5, 1, 1))[0]
        return Step(act, rng.uniform(0.3, 3) if act is Act.SILENCE else 0)
