"""Summarize from logs which calls were lost or late, when, where and why."""

import collections
import dataclasses
import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, TextIO

from linnetwood.core.events import Event
from linnetwood.programs.explain import feed_lines, number_in
from linnetwood.programs.histogram import Histogram

# A wait at the store lasts 2 s, and its answer may take 1 s more; a view that
# was not confirmed for longer is stale.
STALE_VIEW_MS = 3000
# Maximum number of seconds kept; the oldest are dropped and counted.
MAX_SECONDS = 7200
# Maximum number of kinds in a second; others are counted together.
MAX_KINDS = 400
# Printed for a field that a line does not have.
_UNKNOWN = '?'
_REST = (_UNKNOWN, _UNKNOWN, 'rest')
_MEDIAN = 0.5
_TAIL = 0.9
_SECOND = len('2026-01-01 00:00:00')
IN_TIME = 'in time'
LATE_START = 'late: first event'
LATE_GAP = 'late: pause'
LATE_PLAIN = 'late'
_CAUSES = MappingProxyType(
    {
        int(Event.CALL_REFUSED): 'refused',
        int(Event.CALL_NOT_RUN): 'given up, not run',
        int(Event.CALL_UNKNOWN): 'given up, may have run',
        int(Event.CALL_CUT): 'cut',
    },
)
_STARTED = int(Event.STARTED)
_ATTEMPT = int(Event.ATTEMPT_ENDED)
_UNPLACED = int(Event.CALL_UNPLACED)
_BY_STALE_VIEW = 'refused by a stale view'


class SecondTotals:
    """The totals of one second."""

    __slots__ = ('ages', 'kinds', 'missing', 'predicted', 'seen', 'versions')

    def __init__(self) -> None:
        """Start with zero counts."""
        self.kinds: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.predicted = Histogram()
        self.seen = Histogram()
        self.missing = Histogram()
        self.ages = Histogram()
        self.versions: collections.Counter[str] = collections.Counter()

    def count(self, zone: str, route: str, cause: str) -> None:
        """Count a call under its availability zone, route and cause."""
        kind = (zone, route, cause)
        if kind not in self.kinds and len(self.kinds) >= MAX_KINDS:
            kind = _REST
        self.kinds[kind] += 1


@dataclasses.dataclass(slots=True)
class Losses:
    """The totals of the logs of several processes."""

    seconds: dict[str, SecondTotals] = dataclasses.field(default_factory=dict)
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    torn: int = 0
    dropped_seconds: int = 0
    # Called with each event.
    observe: Callable[[dict[str, Any]], None] | None = None

    def add_log(self, stream: TextIO) -> None:
        """Add the events of a file; count truncated lines."""
        self.torn += feed_lines(stream, self.add_line)

    def add_line(self, line: dict[str, Any]) -> None:
        """Add one event."""
        if self.observe is not None:
            self.observe(line)
        number = line['event']
        vm = str(line.get('vm', _UNKNOWN))
        if number == _STARTED:
            self.zones[vm] = str(line.get('zone', _UNKNOWN))
        elif number == _ATTEMPT:
            self._attempt(line, self.zones.get(vm, _UNKNOWN))
        else:
            self._ending(line, self.zones.get(vm, _UNKNOWN))

    def _ending(self, line: dict[str, Any], zone: str) -> None:
        ending = _CAUSES.get(line['event'])
        if is_by_stale_view(line):
            ending = _BY_STALE_VIEW
        if ending is not None:
            cause = f'{ending}: {line.get("code", _UNKNOWN)}'
            route = str(line.get('route', _UNKNOWN))
            self._second(line).count(zone, route, cause)

    def _second(self, line: dict[str, Any]) -> SecondTotals:
        at = str(line.get('asctime', _UNKNOWN))[:_SECOND]
        found = self.seconds.setdefault(at, SecondTotals())
        if len(self.seconds) > MAX_SECONDS:
            self.seconds.pop(min(self.seconds))
            self.dropped_seconds += 1
        return found

    def _attempt(self, line: dict[str, Any], zone: str) -> None:
        found = self._second(line)
        found.count(zone, str(line.get('route', _UNKNOWN)), cause_of(line))
        version = number_in(line, 'version')
        if version > 0:
            found.versions[f'{line.get("endpoint", _UNKNOWN)}@{version}'] += 1
        age_ms = number_in(line, 'report_age_ms')
        if age_ms >= 0:
            found.ages.add(age_ms)
        first_ms = number_in(line, 'first_ms')
        if first_ms >= 0:
            predicted_ms = number_in(line, 'predicted_ms')
            found.predicted.add(predicted_ms)
            found.seen.add(first_ms)
            found.missing.add(first_ms - predicted_ms)


def cause_of(line: dict[str, Any]) -> str:
    """Return whether an attempt was in time, late or lost, and why."""
    how = str(line.get('how', _UNKNOWN))
    if how != 'answered':
        return f'lost: {how}'
    first_ms = number_in(line, 'first_ms')
    target_ms = number_in(line, 'target_ms')
    if first_ms < 0:
        in_time = number_in(line, 'took_ms') <= target_ms
        return IN_TIME if in_time else LATE_PLAIN
    if line.get('urgency') == LATE_PLAIN:
        return 'late: came back'
    if first_ms > target_ms:
        return LATE_START
    allowed_ms = number_in(line, 'allowed_gap_ms')
    if allowed_ms and number_in(line, 'gap_ms') > allowed_ms:
        return LATE_GAP
    return IN_TIME


def rows(losses: Losses) -> list[dict[str, Any]]:
    """Return one record for each second."""
    return [_row(at, losses.seconds[at]) for at in sorted(losses.seconds)]


def report(losses: Losses) -> Iterator[str]:
    """Yield the lines of a text report."""
    for row in rows(losses):
        yield _headline(row)
        for kind in row['calls']:
            if kind['cause'] != IN_TIME:
                yield (
                    f'    {kind["count"]:5}  {kind["cause"]}'
                    f'  {kind["zone"]} {kind["route"]}'
                )
    yield (
        f'{losses.torn} torn lines, {losses.dropped_seconds} seconds left out'
    )


def _row(at: str, second: SecondTotals) -> dict[str, Any]:
    return {
        'second': at,
        'calls': [
            {'zone': zone, 'route': route, 'cause': cause, 'count': count}
            for (zone, route, cause), count in second.kinds.most_common()
        ],
        'predicted_ms': second.predicted.quantile(_MEDIAN),
        'seen_ms': second.seen.quantile(_MEDIAN),
        'missing_ms': second.missing.quantile(_MEDIAN),
        'missing_p90_ms': second.missing.quantile(_TAIL),
        'report_age_ms': second.ages.quantile(_MEDIAN),
        'report_age_p90_ms': second.ages.quantile(_TAIL),
        'versions': dict(sorted(second.versions.items())),
    }


def _headline(row: dict[str, Any]) -> str:
    by_cause: collections.Counter[str] = collections.Counter()
    for kind in row['calls']:
        by_cause[kind['cause'].partition(':')[0]] += kind['count']
    counts = ', '.join(f'{count} {cause}' for cause, count in by_cause.items())
    served = sorted({one.rpartition('@')[2] for one in row['versions']})
    return (
        f'{row["second"]}  {counts}; first event predicted '
        f'{row["predicted_ms"]} ms, seen {row["seen_ms"]}, short by '
        f'{row["missing_ms"]} ({row["missing_p90_ms"]} in one of ten); '
        f'reports {row["report_age_ms"]} ms old; versions {",".join(served)}'
    )


def is_by_stale_view(line: Mapping[str, Any]) -> bool:
    """Return whether a stale view caused a final refusal."""
    old = number_in(line, 'store_age_ms') > STALE_VIEW_MS
    return old and line['event'] == _UNPLACED


def as_json(losses: Losses, **tables: object) -> str:
    """Return the report, and tables by their names, as JSON."""
    return json.dumps(
        {
            'seconds': rows(losses),
            'torn_lines': losses.torn,
            'seconds_left_out': losses.dropped_seconds,
            **tables,
        },
    )


def summarize(
    streams: Iterable[TextIO],
    observe: Callable[[dict[str, Any]], None] | None = None,
) -> Losses:
    """Summarize several logs; pass each event on to `observe`."""
    found = Losses(observe=observe)
    for stream in streams:
        found.add_log(stream)
    return found
