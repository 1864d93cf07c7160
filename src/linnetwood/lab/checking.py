"""Check a history of calls against the guarantees; no I/O.

A history has what callers observed (invocations and completions) and what
engines and services did (effects). Every call ends in exactly one of answered,
not run and unknown, and the effects must agree with that outcome.
"""

import dataclasses
from collections.abc import Iterator

from linnetwood.core.outcomes import Outcome

LEAVING_GRACE_S = 2.0


@dataclasses.dataclass(slots=True)
class CallRecord:
    """One call as its caller observed it.

    The operation identifies what is requested; repeats with a key share it.
    """

    operation: str
    began: float
    ended: float = -1
    outcome: Outcome | None = None
    body: bytes = b''
    version: str = ''
    cut: bool = False
    at_most_once: bool = False


@dataclasses.dataclass(slots=True)
class Effect:
    """One run of an operation at a back end."""

    operation: str
    vm: str
    at: float
    version: str = ''
    complete: bool = True


@dataclasses.dataclass(slots=True)
class AdoptedConfig:
    """A revision of the configuration that a process adopted."""

    vm: str
    revision: int
    text: str


@dataclasses.dataclass(slots=True)
class Stop:
    """A planned stop, and the calls that were in flight when it began."""

    vm: str
    in_flight: tuple[str, ...]
    cut: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class History:
    """All observations of one run."""

    calls: list[CallRecord] = dataclasses.field(default_factory=list)
    effects: list[Effect] = dataclasses.field(default_factory=list)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    adopted: list[AdoptedConfig] = dataclasses.field(default_factory=list)
    expected: dict[tuple[str, str], bytes] = dataclasses.field(
        default_factory=dict,
    )


def find_violations(history: History) -> Iterator[str]:
    """Yield a description of every violation in the history."""
    yield from _mixed_weights(history)
    yield from _wrong_answers(history)
    yield from _ran_though_refused(history)
    yield from _repeated_runs(history)
    yield from _runs_while_leaving(history)
    yield from _calls_cut_by_stop(history)
    yield from _reverted_configurations(history)
    yield from _unended_calls(history)


def _mixed_weights(history: History) -> Iterator[str]:
    for effect in history.effects:
        if not effect.complete:
            yield f'mixed weights: {effect.operation} ran on partial weights'


def _wrong_answers(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.outcome != Outcome.ANSWERED:
            continue
        expected = history.expected.get((call.operation, call.version))
        if call.body != expected:
            yield (
                f'wrong or incomplete answer: {call.operation} '
                f'got {call.body!r}'
            )


def _ran_though_refused(history: History) -> Iterator[str]:
    ran = {effect.operation for effect in history.effects}
    for call in history.calls:
        if call.outcome == Outcome.NOT_RUN and call.operation in ran:
            yield f'reported as not run, but ran: {call.operation}'


def _repeated_runs(history: History) -> Iterator[str]:
    once = {call.operation for call in history.calls if call.at_most_once}
    counts: dict[str, int] = {}
    for effect in history.effects:
        counts[effect.operation] = counts.get(effect.operation, 0) + 1
    for operation in sorted(once):
        if counts.get(operation, 0) > 1:
            yield (
                f'ran more than once: {operation} ran {counts[operation]} times'
            )


def _runs_while_leaving(history: History) -> Iterator[str]:
    for effect in history.effects:
        left = history.left.get(effect.vm)
        if left is not None and effect.at > left + LEAVING_GRACE_S:
            yield f'new work while leaving: {effect.operation} at {effect.vm}'


def _calls_cut_by_stop(history: History) -> Iterator[str]:
    for stop in history.stops:
        for operation in stop.cut:
            yield f'cut off by a planned stop of {stop.vm}: {operation}'


def _reverted_configurations(history: History) -> Iterator[str]:
    newest: dict[str, int] = {}
    texts: dict[int, str] = {}
    for config in history.adopted:
        if config.revision < newest.get(config.vm, 0):
            yield f'configuration reverted at {config.vm} to {config.revision}'
        newest[config.vm] = max(config.revision, newest.get(config.vm, 0))
        if texts.setdefault(config.revision, config.text) != config.text:
            yield f'two configurations with revision {config.revision}'


def _unended_calls(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.outcome is None:
            yield f'never ended: {call.operation}'
