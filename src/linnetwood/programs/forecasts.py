"""Compare decisions on calls with their outcomes, from logs.

For each kind of decision the report has the number of decisions, and in how
many cases the outcome shows that another one would have served the caller. The
kind that lost most comes first.
"""

import collections
import dataclasses
import datetime
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, TextIO

from linnetwood.core.events import Event
from linnetwood.programs.explain import feed_lines, number_in
from linnetwood.programs.histogram import Histogram
from linnetwood.programs.losses import (
    IN_TIME,
    LATE_GAP,
    LATE_PLAIN,
    LATE_START,
    cause_of,
)

# Calls that an engine gets within this span meet the same load: it is two or
# three passes of the engine.
SPAN_S = 0.25
# Maximum number of spans kept; the oldest are dropped and counted.
MAX_SPANS = 200_000
# Maximum number of distinct values; others are counted together.
MAX_VALUES = 40
# The resolution of prediction errors.
_FINE_MS = 5
_MEDIAN = 0.5
_TAIL = 0.9
# An engine had capacity if this share of the calls that it began was in time.
_ROOM_SHARE = 0.5
# A second had capacity if at most this share of its calls was refused.
_FULL_SHARE = 0.1
_UNKNOWN = '?'
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
_RETRIED = frozenset(('stalled', 'overtaken', 'taken-back'))

FIRST_EVENT = 'time to the first event: admitted as in time, began late'
ADMISSION = 'admission: refused though the engine began others in time'
VERSIONS = 'versions: no endpoint with an allowed version'
PAUSES = 'where a call goes: a pause too long after a start in time'
PLAIN = 'plain services: answered late'
RETRIES = 'retries: given up after silence, or cancelled'
RETRY_AFTER = 'retry delay: told to retry in a second without capacity'


class PredictionErrors:
    """Predicted and observed waits of calls, and their differences."""

    __slots__ = ('absolute', 'predicted', 'seen', 'signed')

    def __init__(self) -> None:
        """Start without calls."""
        self.predicted = Histogram(_FINE_MS)
        self.seen = Histogram(_FINE_MS)
        self.signed = Histogram(_FINE_MS)
        self.absolute = Histogram(_FINE_MS)

    def add(self, predicted_ms: float, seen_ms: float) -> None:
        """Add one call."""
        self.predicted.add(predicted_ms)
        self.seen.add(seen_ms)
        self.signed.add(seen_ms - predicted_ms)
        self.absolute.add(abs(seen_ms - predicted_ms))

    def row(self) -> dict[str, Any]:
        """Return medians, and the 90th percentile of the error."""
        return {
            'count': self.seen.count,
            'predicted_ms': self.predicted.quantile(_MEDIAN),
            'seen_ms': self.seen.quantile(_MEDIAN),
            'short_by_ms': self.signed.quantile(_MEDIAN),
            'error_ms': self.absolute.quantile(_MEDIAN),
            'error_p90_ms': self.absolute.quantile(_TAIL),
        }


@dataclasses.dataclass(slots=True)
class EngineSpan:
    """The calls that an engine began in a span, and refusals on its account."""

    begun: int = 0
    in_time: int = 0
    refused: int = 0

    @property
    def had_room(self) -> bool:
        """Return whether a refused call would have been in time."""
        return bool(self.begun) and self.in_time >= _ROOM_SHARE * self.begun


@dataclasses.dataclass(slots=True)
class SecondArrivals:
    """The calls of one second, and how many were refused."""

    came: int = 0
    refused: int = 0

    @property
    def full(self) -> bool:
        """Return whether more than a few were refused."""
        return self.refused > _FULL_SHARE * self.came


@dataclasses.dataclass(slots=True)
class Forecasts:
    """The totals of the logs of several processes."""

    overall: PredictionErrors = dataclasses.field(
        default_factory=PredictionErrors
    )
    by_kind: dict[str, dict[str, PredictionErrors]] = dataclasses.field(
        default_factory=dict,
    )
    decided: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    lost: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    spans: dict[tuple[str, int], EngineSpan] = dataclasses.field(
        default_factory=dict,
    )
    seconds: dict[int, SecondArrivals] = dataclasses.field(default_factory=dict)
    returns: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    torn: int = 0
    dropped_spans: int = 0

    def add_log(self, stream: TextIO) -> None:
        """Add the events of a file; count truncated lines."""
        self.torn += feed_lines(stream, self.add_line)

    def add_line(self, line: Mapping[str, Any]) -> None:
        """Add one event."""
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
        """Return the kinds of decisions, those that lost most first."""
        self._update_totals()
        return [
            {
                'decision': name,
                'taken': self.decided[name],
                'lost': count,
            }
            for name, count in self.lost.most_common()
        ]

    def errors(self) -> dict[str, Any]:
        """Return prediction errors in total and by properties of calls."""
        return {
            'all': self.overall.row(),
            **{
                kind: {label: found[label].row() for label in sorted(found)}
                for kind, found in self.by_kind.items()
            },
        }

    def _attempt(self, line: Mapping[str, Any], at: float) -> None:
        sent_at = at - number_in(line, 'took_ms') / _MILLISECONDS
        cause = cause_of(dict(line))
        urgent = line.get('urgency') != 'late'
        streams = number_in(line, 'version') > 0
        self._second(sent_at).came += 1
        self._count(RETRIES, lost=line.get('how') in _RETRIED)
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
        self.overall.add(predicted_ms, first_ms)
        for kind, label in _kinds(line):
            found = self.by_kind.setdefault(kind, {})
            if label not in found and len(found) >= MAX_VALUES:
                label = _REST
            found.setdefault(label, PredictionErrors()).add(
                predicted_ms, first_ms
            )

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

    def _span(self, line: Mapping[str, Any], at: float) -> EngineSpan:
        key = (str(line.get('endpoint', _UNKNOWN)), int(at / SPAN_S))
        found = self.spans.get(key)
        if found is None:
            found = self.spans.setdefault(key, EngineSpan())
            if len(self.spans) > MAX_SPANS:
                self.spans.pop(next(iter(self.spans)))
                self.dropped_spans += 1
        return found

    def _second(self, at: float) -> SecondArrivals:
        return self.seconds.setdefault(int(at), SecondArrivals())

    def _update_totals(self) -> None:
        refused = [span for span in self.spans.values() if span.refused]
        self.decided[ADMISSION] = sum(span.refused for span in refused)
        self.lost[ADMISSION] = sum(
            span.refused for span in refused if span.had_room
        )
        self.decided[RETRY_AFTER] = self.returns.total()
        self.lost[RETRY_AFTER] = sum(
            count
            for second, count in self.returns.items()
            if self.seconds.get(second, SecondArrivals()).full
        )


def report(found: Forecasts) -> Iterator[str]:
    """Yield the lines of a text report."""
    for row in found.rows():
        yield f'{row["lost"]:7} of {row["taken"]:7}  {row["decision"]}'
    for kind, errors in found.errors().items():
        if kind == 'all':
            yield _describe(kind, '', errors)
            continue
        for label, row in errors.items():
            yield _describe(kind, label, row)
    yield f'{found.torn} torn lines, {found.dropped_spans} spans left out'


def as_json(found: Forecasts) -> str:
    """Return the report as JSON."""
    return json.dumps(
        {
            'decisions': found.rows(),
            'first_event': found.errors(),
            'torn_lines': found.torn,
            'spans_left_out': found.dropped_spans,
        },
    )


def summarize(streams: Iterable[TextIO]) -> Forecasts:
    """Summarize several logs."""
    found = Forecasts()
    for stream in streams:
        found.add_log(stream)
    return found


def _describe(kind: str, label: str, row: Mapping[str, Any]) -> str:
    return (
        f'{kind} {label}: {row["count"]} calls, first event predicted '
        f'{row["predicted_ms"]} ms, seen {row["seen_ms"]}, short by '
        f'{row["short_by_ms"]}; off by {row["error_ms"]} '
        f'({row["error_p90_ms"]} in one of ten)'
    )


def _kinds(line: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    load = number_in(line, 'waiting') + number_in(line, 'running')
    yield 'route', str(line.get('route', _UNKNOWN))
    yield 'prompt tokens from', _step(number_in(line, 'prompt'), _PROMPT_STEP)
    yield (
        'report ms from',
        _step(number_in(line, 'report_age_ms'), _AGE_STEP_MS),
    )
    yield 'calls there from', _step(load, _LOAD_STEP)
    yield 'way', 'far' if line.get('far') else 'near'


def _step(number: float, width: int) -> str:
    # Padded, so that the texts sort like the numbers.
    return f'{int(number // width) * width:6}'


def _seconds(line: Mapping[str, Any]) -> float | None:
    text = str(line.get('asctime', '')).replace(',', '.')
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None
