"""Hold what was decided of calls against what came, from log lines.

Each decision has a row: how often it was taken, and how often what came shows
that another one would have served a caller. The rows are ordered by what they
lost, so the first is the decision to look at.
"""

import collections
import dataclasses
import datetime
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, TextIO

from linnetwood.core.events import Event
from linnetwood.programs.explain import number_in, take_lines
from linnetwood.programs.losses import (
    IN_TIME,
    LATE_GAP,
    LATE_PLAIN,
    LATE_START,
    cause_of,
)
from linnetwood.programs.spread import Spread

# Calls that one engine got within this met the same work there: two or three of
# its passes.
NEAR_S = 0.25
# Spans that are kept for engines; the oldest go first, and are counted.
MOST_SPANS = 200_000
# Values of one thing that are told apart; what comes beyond counts as the rest.
MOST_VALUES = 40
# Errors of a few milliseconds are told apart.
_FINE_MS = 5
_MEDIAN = 0.5
_TAIL = 0.9
# An engine had room if so many of those it got then were in time.
_ROOM_SHARE = 0.5
# A second has room if no more than this share of what came was refused.
_FULL_SHARE = 0.1
_UNTOLD = '?'
_REST = 'rest'
_PROMPT_STEP = 500
_AGE_STEP_MS = 100
_LOAD_STEP = 4
_MILLISECONDS = 1000
_ATTEMPT = int(Event.ATTEMPT_ENDED)
_ADMISSION = int(Event.ADMISSION_DECIDED)
_REFUSED = int(Event.CALL_REFUSED)
_NOT_RUN = int(Event.CALL_NOT_RUN)
_ENDED = frozenset((_REFUSED, _NOT_RUN))
_NO_ENDPOINT = 'no-endpoint'
_TRIED_AGAIN = frozenset(('stalled', 'taken-back'))

FIRST_EVENT = 'time to the first event: admitted as in time, began late'
ADMISSION = 'admission: refused though the engine began others in time'
VERSIONS = 'versions: no endpoint with an allowed version'
PAUSES = 'where a call goes: a pause too long after a start in time'
PLAIN = 'plain services: answered late'
AGAIN = 'second tries: given up after silence, or taken back'
RETURN = 'return: told to come back into a second without room'


class Error:
    """Predicted and seen waits of some calls, and how far they lie apart."""

    __slots__ = ('apart', 'predicted', 'seen', 'short')

    def __init__(self) -> None:
        """Begin empty."""
        self.predicted = Spread(_FINE_MS)
        self.seen = Spread(_FINE_MS)
        self.short = Spread(_FINE_MS)
        self.apart = Spread(_FINE_MS)

    def add(self, predicted_ms: float, seen_ms: float) -> None:
        """Count one call."""
        self.predicted.add(predicted_ms)
        self.seen.add(seen_ms)
        self.short.add(seen_ms - predicted_ms)
        self.apart.add(abs(seen_ms - predicted_ms))

    def row(self) -> dict[str, Any]:
        """Give medians and the error that nine of ten stay under."""
        return {
            'count': self.seen.count,
            'predicted_ms': self.predicted.at(_MEDIAN),
            'seen_ms': self.seen.at(_MEDIAN),
            'short_by_ms': self.short.at(_MEDIAN),
            'error_ms': self.apart.at(_MEDIAN),
            'error_p90_ms': self.apart.at(_TAIL),
        }


@dataclasses.dataclass(slots=True)
class Span:
    """What one engine began in a span, and how often it was thought full."""

    begun: int = 0
    in_time: int = 0
    refused: int = 0

    @property
    def had_room(self) -> bool:
        """Tell whether a call that was refused would have been in time."""
        return bool(self.begun) and self.in_time >= _ROOM_SHARE * self.begun


@dataclasses.dataclass(slots=True)
class Arrivals:
    """Calls of one second, and whom it sent away until when."""

    came: int = 0
    refused: int = 0

    @property
    def full(self) -> bool:
        """Tell whether many were refused."""
        return self.refused > _FULL_SHARE * self.came


@dataclasses.dataclass(slots=True)
class Forecasts:
    """What the lines of several processes add up to."""

    every: Error = dataclasses.field(default_factory=Error)
    by_kind: dict[str, dict[str, Error]] = dataclasses.field(
        default_factory=dict,
    )
    decided: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    lost: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    spans: dict[tuple[str, int], Span] = dataclasses.field(
        default_factory=dict,
    )
    seconds: dict[int, Arrivals] = dataclasses.field(default_factory=dict)
    returns: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    torn: int = 0
    dropped_spans: int = 0

    def read(self, stream: TextIO) -> None:
        """Take in the lines of one file; torn ones are counted."""
        self.torn += take_lines(stream, self.take)

    def take(self, line: Mapping[str, Any]) -> None:
        """Take in one line."""
        at = _seconds(line)
        if at is None:
            return
        number = line['event']
        if number == _ATTEMPT:
            self._attempt(line, at)
        elif number == _ADMISSION and line.get('outcome') == 'refused':
            self._span(line, at).refused += 1
        elif number in _ENDED:
            self._ending(line, at)

    def rows(self) -> list[dict[str, Any]]:
        """Give the decisions, those that lost most first."""
        self._settle()
        return [
            {
                'decision': name,
                'taken': self.decided[name],
                'lost': count,
            }
            for name, count in self.lost.most_common()
        ]

    def errors(self) -> dict[str, Any]:
        """Give how far predictions lie from what was seen, by what."""
        return {
            'all': self.every.row(),
            **{
                kind: {named: found[named].row() for named in sorted(found)}
                for kind, found in self.by_kind.items()
            },
        }

    def _attempt(self, line: Mapping[str, Any], at: float) -> None:
        sent_at = at - number_in(line, 'took_ms') / _MILLISECONDS
        cause = cause_of(dict(line))
        urgent = line.get('urgency') != 'late'
        streams = number_in(line, 'version') > 0
        self._second(sent_at).came += 1
        self._count(AGAIN, lost=line.get('how') in _TRIED_AGAIN)
        if not streams:
            self._count(PLAIN, lost=cause == LATE_PLAIN)
        elif urgent:
            self._count(FIRST_EVENT, lost=cause == LATE_START)
            self._count(PAUSES, lost=cause == LATE_GAP)
        first_ms = number_in(line, 'first_ms')
        if not streams or first_ms < 0:
            return
        if urgent:
            self._compare(line, first_ms)
        span = self._span(line, sent_at)
        span.begun += 1
        span.in_time += cause in {IN_TIME, LATE_GAP}

    def _compare(self, line: Mapping[str, Any], first_ms: float) -> None:
        predicted_ms = number_in(line, 'predicted_ms')
        self.every.add(predicted_ms, first_ms)
        for kind, named in _kinds(line):
            found = self.by_kind.setdefault(kind, {})
            if named not in found and len(found) >= MOST_VALUES:
                named = _REST
            found.setdefault(named, Error()).add(predicted_ms, first_ms)

    def _ending(self, line: Mapping[str, Any], at: float) -> None:
        code = line.get('code')
        self._count(VERSIONS, lost=code == _NO_ENDPOINT)
        if line['event'] != _REFUSED:
            return
        second = self._second(at)
        second.came += 1
        second.refused += 1
        back_at = at + number_in(line, 'retry_after_ms') / _MILLISECONDS
        self.returns[int(back_at)] += 1

    def _count(self, decision: str, *, lost: bool) -> None:
        self.decided[decision] += 1
        self.lost[decision] += lost

    def _span(self, line: Mapping[str, Any], at: float) -> Span:
        key = (str(line.get('endpoint', _UNTOLD)), int(at / NEAR_S))
        found = self.spans.get(key)
        if found is None:
            found = self.spans.setdefault(key, Span())
            if len(self.spans) > MOST_SPANS:
                self.spans.pop(next(iter(self.spans)))
                self.dropped_spans += 1
        return found

    def _second(self, at: float) -> Arrivals:
        return self.seconds.setdefault(int(at), Arrivals())

    def _settle(self) -> None:
        refused = [span for span in self.spans.values() if span.refused]
        self.decided[ADMISSION] = sum(span.refused for span in refused)
        self.lost[ADMISSION] = sum(
            span.refused for span in refused if span.had_room
        )
        self.decided[RETURN] = self.returns.total()
        self.lost[RETURN] = sum(
            count
            for second, count in self.returns.items()
            if self.seconds.get(second, Arrivals()).full
        )


def report(found: Forecasts) -> Iterator[str]:
    """Yield the lines of a report for people."""
    for row in found.rows():
        yield f'{row["lost"]:7} of {row["taken"]:7}  {row["decision"]}'
    for kind, errors in found.errors().items():
        if kind == 'all':
            yield _sentence(kind, '', errors)
            continue
        for named, row in errors.items():
            yield _sentence(kind, named, row)
    yield f'{found.torn} torn lines, {found.dropped_spans} spans left out'


def as_json(found: Forecasts) -> str:
    """Give the report for programs."""
    return json.dumps(
        {
            'decisions': found.rows(),
            'first_event': found.errors(),
            'torn_lines': found.torn,
            'spans_left_out': found.dropped_spans,
        },
    )


def sum_up(streams: Iterable[TextIO]) -> Forecasts:
    """Read several logs."""
    found = Forecasts()
    for stream in streams:
        found.read(stream)
    return found


def _sentence(kind: str, named: str, row: Mapping[str, Any]) -> str:
    return (
        f'{kind} {named}: {row["count"]} calls, first event predicted '
        f'{row["predicted_ms"]} ms, seen {row["seen_ms"]}, short by '
        f'{row["short_by_ms"]}; off by {row["error_ms"]} '
        f'({row["error_p90_ms"]} in one of ten)'
    )


def _kinds(line: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    load = number_in(line, 'waiting') + number_in(line, 'running')
    yield 'route', str(line.get('route', _UNTOLD))
    yield 'prompt tokens from', _step(number_in(line, 'prompt'), _PROMPT_STEP)
    yield (
        'report ms from',
        _step(number_in(line, 'report_age_ms'), _AGE_STEP_MS),
    )
    yield 'calls there from', _step(load, _LOAD_STEP)
    yield 'way', 'far' if line.get('far') else 'near'


def _step(number: float, width: int) -> str:
    # Texts that sort as their numbers do.
    return f'{int(number // width) * width:6}'


def _seconds(line: Mapping[str, Any]) -> float | None:
    text = str(line.get('asctime', '')).replace(',', '.')
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None
