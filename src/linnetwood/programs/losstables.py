"""Tables of calls by route with its priority, and by organisation, from logs.

A call counts once, by the line of its end. An answered call counts in the
second in which it was sent, any other one in the second of its line.
"""

import collections
import dataclasses
import datetime
import math
import re
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final

from linnetwood.core.events import Event
from linnetwood.programs.explain import number_in
from linnetwood.programs.losses import (
    IN_TIME,
    MAX_KINDS,
    MAX_SECONDS,
    cause_of,
    is_by_stale_view,
)

# Maximum number of kinds over all seconds; others are counted together.
MAX_TOTAL_KINDS = 20_000
# Maximum number of groups in a text table; others are added up in one line.
MAX_SHOWN = 10
# A group has one value for each of its names, such as route and priority.
Group = tuple[int | str, ...]
_BY_ROUTE = ('route', 'priority')
_BY_ORGANISATION = ('organisation',)
_LATE = 'late'
_REFUSED = 'refused'
_GIVEN_UP = 'given_up'
_CUT = 'cut'
# An attempt without an answer; its call goes on, or ends by another line.
_FAILED_ATTEMPT = 'failed_attempts'
_CALL_OUTCOMES = ('in_time', _LATE, _REFUSED, _GIVEN_UP, _CUT)
_OUTCOMES = MappingProxyType(
    {
        int(Event.CALL_REFUSED): _REFUSED,
        int(Event.CALL_NOT_RUN): _GIVEN_UP,
        int(Event.CALL_UNKNOWN): _GIVEN_UP,
        int(Event.CALL_CUT): _CUT,
    },
)
_ATTEMPT = int(Event.ATTEMPT_ENDED)
_DROPPED = int(Event.LOG_DROPPED)
_UNKNOWN = '?'
# Shown for a call without organisation, and in the line that sums up groups.
_NONE = '-'
_REST = 'rest'
# Texts of lines are cut to this length.
_MAX_CHARS = 120
_SECOND = len('2026-01-01 00:00:00')
# Durations in details differ from call to call.
_MILLISECONDS: Final = re.compile(r'\d+(?= ms\b)')
_COLUMNS = MappingProxyType(
    {
        'offered': 'offered',
        'in_time': 'in time',
        _LATE: 'late',
        _REFUSED: 'refused',
        _GIVEN_UP: 'given up',
        _CUT: 'cut',
        _FAILED_ATTEMPT: 'failed attempts',
    },
)


class GroupTable:
    """Counts of calls by group, outcome and reason."""

    __slots__ = ('_counts', '_max_kinds', '_names')

    def __init__(self, names: tuple[str, ...], max_kinds: int) -> None:
        """Start empty; `names` are those of the values of a group."""
        self._names = names
        self._max_kinds = max_kinds
        self._counts: collections.Counter[tuple[Group, str, str]] = (
            collections.Counter()
        )

    def count(self, group: Group, outcome: str, reason: str) -> None:
        """Count one call or attempt."""
        kind = (group, outcome, reason)
        if kind not in self._counts and len(self._counts) >= self._max_kinds:
            kind = ((_REST,) * len(self._names), outcome, '')
        self._counts[kind] += 1

    def rows(self) -> list[dict[str, Any]]:
        """Return one record for each group, by priority, then by loss."""
        found: dict[Group, dict[str, Any]] = {}
        for (group, outcome, reason), count in self._counts.items():
            row = found.get(group)
            if row is None:
                names = zip(self._names, group, strict=True)
                row = found.setdefault(group, _empty_row(dict(names)))
            _add(row, outcome, reason, count)
        return sorted(found.values(), key=_order)


@dataclasses.dataclass(slots=True)
class PeriodTables:
    """The tables of a period, and the log lines that are missing in it."""

    routes: GroupTable
    organisations: GroupTable
    dropped_lines: int = 0

    @classmethod
    def with_limit(cls, max_kinds: int) -> 'PeriodTables':
        """Return empty tables with a limit on the kinds in each."""
        return cls(
            GroupTable(_BY_ROUTE, max_kinds),
            GroupTable(_BY_ORGANISATION, max_kinds),
        )

    def count(self, line: Mapping[str, Any], outcome: str, reason: str) -> None:
        """Count a line in both tables."""
        route = (_text(line, 'route'), _priority(line))
        self.routes.count(route, outcome, reason)
        name = _text(line, 'organisation') or _NONE
        self.organisations.count((name,), outcome, reason)

    def as_record(self) -> dict[str, Any]:
        """Return both tables for JSON."""
        return {
            'routes': self.routes.rows(),
            'organisations': self.organisations.rows(),
            'dropped_lines': self.dropped_lines,
        }


class CallTables:
    """The tables of each second and of all seconds together."""

    __slots__ = ('dropped_seconds', 'seconds', 'total')

    def __init__(self) -> None:
        """Start empty."""
        self.seconds: dict[str, PeriodTables] = {}
        self.total = PeriodTables.with_limit(MAX_TOTAL_KINDS)
        self.dropped_seconds = 0

    def add_line(self, line: Mapping[str, Any]) -> None:
        """Add one event."""
        if line['event'] == _DROPPED:
            count = int(number_in(line, 'lines'))
            for tables in (self.total, self._second(_second_of(line))):
                tables.dropped_lines += count
            return
        outcome, reason = _outcome(line)
        if outcome:
            for tables in (self.total, self._second(_second_of(line))):
                tables.count(line, outcome, reason)

    def as_record(self) -> dict[str, Any]:
        """Return all tables for JSON."""
        return {
            'seconds': [
                {'second': at, **self.seconds[at].as_record()}
                for at in sorted(self.seconds)
            ],
            'total': self.total.as_record(),
            'seconds_left_out': self.dropped_seconds,
        }

    def _second(self, at: str) -> PeriodTables:
        found = self.seconds.get(at)
        if found is None:
            found = PeriodTables.with_limit(MAX_KINDS)
            self.seconds[at] = found
            if len(self.seconds) > MAX_SECONDS:
                self.seconds.pop(min(self.seconds))
                self.dropped_seconds += 1
        return found


def report(tables: CallTables) -> Iterator[str]:
    """Yield the lines of text tables."""
    for at in sorted(tables.seconds):
        yield from _describe(at, tables.seconds[at].as_record())
    yield from _describe('all seconds', tables.total.as_record())


def _outcome(line: Mapping[str, Any]) -> tuple[str, str]:
    """Return the outcome of a call and its reason; empty for other lines."""
    if is_by_stale_view(line):
        return _REFUSED, f'stale view: {_text(line, "code")}'
    if line['event'] == _ATTEMPT:
        cause, _, reason = cause_of(dict(line)).partition(': ')
        if cause == IN_TIME:
            return 'in_time', ''
        return (cause if cause == _LATE else _FAILED_ATTEMPT), reason
    outcome = _OUTCOMES.get(line['event'], '')
    if outcome == _CUT and ('call' not in line or line.get('answered')):
        # A failed write, or an answer that the caller didn't read to its end:
        # the call ends by another line.
        return '', ''
    return outcome, _reason(line, with_detail=outcome == _REFUSED)


def _reason(line: Mapping[str, Any], *, with_detail: bool) -> str:
    detail = _text(line, 'detail') if 'detail' in line else ''
    code = _text(line, 'code')
    if not (with_detail and detail):
        return code
    return f'{code} ({_MILLISECONDS.sub("N", detail)})'


def _second_of(line: Mapping[str, Any]) -> str:
    text = str(line.get('asctime', _UNKNOWN))
    if line['event'] == _ATTEMPT:
        took = datetime.timedelta(milliseconds=number_in(line, 'took_ms'))
        try:
            at = datetime.datetime.fromisoformat(text.replace(',', '.')) - took
        except (ValueError, OverflowError):
            return text[:_SECOND]
        text = at.isoformat(sep=' ')
    return text[:_SECOND]


def _text(line: Mapping[str, Any], name: str) -> str:
    return str(line.get(name, _UNKNOWN))[:_MAX_CHARS]


def _priority(line: Mapping[str, Any]) -> int | str:
    found = line.get('priority')
    return found if isinstance(found, int) else _UNKNOWN


def _empty_row(names: Mapping[str, int | str]) -> dict[str, Any]:
    counts = dict.fromkeys(_COLUMNS, 0)
    return {**names, **counts, 'reasons': {}}


def _add(row: dict[str, Any], outcome: str, reason: str, count: int) -> None:
    row[outcome] += count
    if outcome in _CALL_OUTCOMES:
        row['offered'] += count
    if reason:
        by_reason = row['reasons'].setdefault(outcome, {})
        by_reason[reason] = by_reason.get(reason, 0) + count


def _order(row: Mapping[str, Any]) -> tuple[float, int, str]:
    """Order rows by priority, then by calls that were not in time."""
    priority = row.get('priority', 0)
    return (
        priority if isinstance(priority, int) else math.inf,
        row['in_time'] - row['offered'],
        str(row.get('route', row.get('organisation'))),
    )


def _describe(title: str, record: Mapping[str, Any]) -> Iterator[str]:
    dropped = record['dropped_lines']
    yield f'{title}  {dropped} log lines dropped' if dropped else title
    for kind, names in (
        ('routes', _BY_ROUTE),
        ('organisations', _BY_ORGANISATION),
    ):
        counts = '  '.join(_COLUMNS.values())
        yield f'  {" / ".join(names):30}  {counts}'
        for row in _shown(record[kind], names):
            label = ' / '.join(str(row[name]) for name in names)
            yield f'  {label:30}  {_cells(row)}'
            yield from _reasons(row)


def _cells(row: Mapping[str, Any]) -> str:
    return '  '.join(
        f'{row[name]:{len(title)}}' for name, title in _COLUMNS.items()
    )


def _reasons(row: Mapping[str, Any]) -> Iterator[str]:
    for outcome, by_reason in row['reasons'].items():
        counts = sorted(by_reason.items(), key=_most_first)
        listed = ', '.join(f'{count} {why}' for why, count in counts)
        yield f'      {_COLUMNS[outcome]}: {listed}'


def _most_first(counted: tuple[str, int]) -> tuple[int, str]:
    return -counted[1], counted[0]


def _shown(
    rows: list[dict[str, Any]], names: tuple[str, ...]
) -> list[dict[str, Any]]:
    """Return the first rows, and the sum of the others as the last one."""
    if len(rows) <= MAX_SHOWN:
        return rows
    others = rows[MAX_SHOWN:]
    labels = dict.fromkeys(names, _NONE)
    labels[names[0]] = f'{len(others)} others'
    rest = _empty_row(labels)
    for name in _COLUMNS:
        rest[name] = sum(row[name] for row in others)
    return [*rows[:MAX_SHOWN], rest]
