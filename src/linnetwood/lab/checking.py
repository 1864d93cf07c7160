"""Check a history of calls against the promises; no I/O inside.

A history is what callers saw (invocations and completions) and what engines
and services did (effects). The model: every call ends in exactly one of
answered, not run and unknown; what each of these claims must be borne out by
the effects.
"""

import dataclasses
from collections.abc import Iterator

from linnetwood.core.outcomes import Outcome

LEAVING_GRACE_S = 2.0


@dataclasses.dataclass(slots=True)
class Seen:
    """One call as its caller saw it.

    The mark names what is asked for: repeats of one keyed call share it.
    """

    mark: str
    began: float
    ended: float = -1
    outcome: Outcome | None = None
    body: bytes = b''
    version: str = ''
    cut: bool = False
    at_most_once: bool = False


@dataclasses.dataclass(slots=True)
class Effect:
    """One run at a back end."""

    mark: str
    vm: str
    at: float
    version: str = ''
    complete: bool = True


@dataclasses.dataclass(slots=True)
class Held:
    """A revision that a process held in force from some time on."""

    vm: str
    revision: int
    text: str


@dataclasses.dataclass(slots=True)
class Stop:
    """A planned stop and the calls that were under way when it began."""

    vm: str
    under_way: tuple[str, ...]
    cut: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class History:
    """Everything recorded in one run."""

    calls: list[Seen] = dataclasses.field(default_factory=list)
    effects: list[Effect] = dataclasses.field(default_factory=list)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    held: list[Held] = dataclasses.field(default_factory=list)
    expected: dict[tuple[str, str], bytes] = dataclasses.field(
        default_factory=dict,
    )


def violations(history: History) -> Iterator[str]:
    """Yield every promise that the history breaks, in plain words."""
    yield from _mixed(history)
    yield from _not_whole(history)
    yield from _ran_after_all(history)
    yield from _ran_twice(history)
    yield from _ran_while_leaving(history)
    yield from _cut_by_stop(history)
    yield from _reverted(history)
    yield from _never_ended(history)


def _mixed(history: History) -> Iterator[str]:
    for effect in history.effects:
        if not effect.complete:
            yield f'mixed weights: {effect.mark} ran on partial weights'


def _not_whole(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.outcome != Outcome.ANSWERED:
            continue
        expected = history.expected.get((call.mark, call.version))
        if call.body != expected:
            yield f'not its own whole answer: {call.mark} got {call.body!r}'


def _ran_after_all(history: History) -> Iterator[str]:
    ran = {effect.mark for effect in history.effects}
    for call in history.calls:
        if call.outcome == Outcome.NOT_RUN and call.mark in ran:
            yield f'said not run, but ran: {call.mark}'


def _ran_twice(history: History) -> Iterator[str]:
    once = {call.mark for call in history.calls if call.at_most_once}
    counts: dict[str, int] = {}
    for effect in history.effects:
        counts[effect.mark] = counts.get(effect.mark, 0) + 1
    for mark in sorted(once):
        if counts.get(mark, 0) > 1:
            yield f'ran more than once: {mark} ran {counts[mark]} times'


def _ran_while_leaving(history: History) -> Iterator[str]:
    for effect in history.effects:
        left = history.left.get(effect.vm)
        if left is not None and effect.at > left + LEAVING_GRACE_S:
            yield f'new work while leaving: {effect.mark} at {effect.vm}'


def _cut_by_stop(history: History) -> Iterator[str]:
    for stop in history.stops:
        for mark in stop.cut:
            yield f'cut off by a planned stop of {stop.vm}: {mark}'


def _reverted(history: History) -> Iterator[str]:
    newest: dict[str, int] = {}
    texts: dict[int, str] = {}
    for held in history.held:
        if held.revision < newest.get(held.vm, 0):
            yield f'configuration reverted at {held.vm} to {held.revision}'
        newest[held.vm] = max(held.revision, newest.get(held.vm, 0))
        if texts.setdefault(held.revision, held.text) != held.text:
            yield f'two configurations called revision {held.revision}'


def _never_ended(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.outcome is None:
            yield f'never ended: {call.mark}'
