"""Worlds in which the life of one call is tried: all short ones, and drawn."""

import itertools
import math
from collections.abc import Iterator
from random import Random

from linnetwood.calls.dialect import Urgency
from linnetwood.calls.direct import RetryLimits
from linnetwood.calls.routetable import Repeat
from linnetwood.fleet.wanted import START_MARGIN_S
from tests.call_life import (
    BOUND_S,
    NO_RETRIES,
    RETRIES,
    Change,
    Event,
    World,
)
from tests.scripted_endpoints import COUNT, HEAD_S, Act, Reply, Script, Step

# Of times in coarse worlds.
TICK_S = 0.0625
SILENCES_S = (0.3, 1.2, 2.0, 3.0)
_SELDOM = 0.05
_USUALLY = 0.7
_OFTEN = 0.9
EVENT = Step(Act.EVENT)
PIECE = Step(Act.PIECE)
# How the endpoint that is reached first may stop.
STOPS = (
    *(Step(Act.SILENCE, silent_s) for silent_s in SILENCES_S),
    Step(Act.CRASH),
    Step(Act.TEAR),
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
    Script(steps=(Step(Act.TEAR),)),
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


def late_worlds() -> Iterator[World]:
    """Yield worlds in which a bound or the deadline comes before the answer."""
    late = Script(head_s=BOUND_S + 1)
    named = Event(0.5, Change.NAMED)
    begun = Script(steps=(PIECE, Step(Act.SILENCE, 1)))
    # The bound comes during the silence.
    named_at = START_MARGIN_S + 0.5 - BOUND_S
    refusing = Script(reply=Reply.REFUSED, steps=(Step(Act.HANG),))
    for others in ((), (Script(version=2),)):
        for repeat, streams in ((Repeat.RESUME, True), (Repeat.MAY, False)):
            yield World(
                (late, *others),
                repeat,
                streams,
                timeout_s=BOUND_S + 4,
                changes=(named,),
            )
            yield World((begun, *others), repeat, streams, named_at=named_at)
    yield World((Script(steps=(Step(Act.HANG),)), refusing))
    yield World((refusing, Script(steps=(Step(Act.HANG),))))


def resumed_worlds() -> Iterator[World]:
    """Yield worlds in which the caller has some or all events already."""
    for after in range(1, COUNT + 1):
        for first in SECONDS:
            yield World((first, Script()), resume_after=after)


class Draw:
    """Draw worlds by a seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.is_coarse = bool(seed % 2)

    def world(self) -> World:
        """Return a world in which anything may happen."""
        rng = self.rng
        count = rng.randint(1, 4)
        streams = rng.random() < _OFTEN
        return World(
            tuple(self._script(streams) for _ in range(count)),
            rng.choices(list(Repeat), (1, 1, 8))[0],
            streams,
            rng.randint(1, 4),
            rng.choice((RETRIES, RETRIES, RetryLimits(reserve=2), NO_RETRIES)),
            rng.choice((6.0, 6.0, 2.5, 12.0, self._seconds(8))),
            math.inf if rng.random() < _USUALLY else -self._seconds(7.5),
            tuple(self._changes(count)),
            self.seed,
            rng.choice((0, 0, 0, 1, COUNT - 1, COUNT)),
            rng.choice((Urgency.IN_TIME, Urgency.IN_TIME, Urgency.LATE)),
            frozenset(port for port in range(count) if rng.random() < _SELDOM),
        )

    def _seconds(self, most: float, least: float = 0) -> float:
        """Return a time; half of the worlds use few of them."""
        drawn = self.rng.uniform(least, most)
        return math.ceil(drawn / TICK_S) * TICK_S if self.is_coarse else drawn

    def _changes(self, count: int) -> Iterator[Event]:
        rng = self.rng
        for _ in range(rng.choice((0, 0, 1, 2, 3))):
            change = rng.choice(list(Change))
            at = self._seconds(5)
            yield Event(at, change, rng.randrange(count))
            if change is Change.BLOCKED and rng.random() < _OFTEN:
                yield Event(at + self._seconds(2), Change.UNBLOCKED)

    def _script(self, streams: bool) -> Script:
        rng = self.rng
        replies = rng.choices(list(Reply), (20, 6, 2, 1, 1, 1, 1, 1))
        acts = rng.choices(
            list(Act),
            # Without events, nothing shows that an answer is torn.
            (10, 4, 2, 6, 2, int(streams), 1),
            k=rng.choice((0, 1, 2, 3, 5, 8)),
        )
        steps = [self._step(act) for act in acts]
        head_s = rng.choice((HEAD_S, HEAD_S, HEAD_S, self._seconds(3)))
        version = rng.choice((1, 1, 1, 2))
        return Script(replies[0], tuple(steps), head_s, version)

    def _step(self, act: Act) -> Step:
        silent_s = self._seconds(3, 0.3) if act is Act.SILENCE else 0
        return Step(act, silent_s)
