"""Sum up from log lines which calls were lost or late, when, where and why."""

import collections
import dataclasses
import json
from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any, TextIO

from linnetwood.core.events import Event
from linnetwood.programs.explain import number_in, take_lines
from linnetwood.programs.spread import Spread

# A wait at the store lasts two seconds and has one more to be answered; what
# was not confirmed for longer is an old belief.
OLD_BELIEF_MS = 3000
# Seconds that are kept; the oldest go first, and are counted.
MOST_SECONDS = 7200
# Kinds of rows in one second; what comes beyond counts as the rest.
MOST_KINDS = 400
# What stands where a line does not tell.
_UNTOLD = '?'
_REST = (_UNTOLD, _UNTOLD, 'rest')
_MEDIAN = 0.5
_TAIL = 0.9
_SECOND = len('2026-01-01 00:00:00')
IN_TIME = 'in time'
LATE_START = 'late: first event'
LATE_GAP = 'late: pause'
LATE_PLAIN = 'late'
_ENDINGS = MappingProxyType(
    {
        int(Event.CALL_REFUSED): 'refused',
        int(Event.CALL_NOT_RUN): 'given up, not run',
        int(Event.CALL_UNKNOWN): 'given up, may have run',
        int(Event.CALL_CUT): 'cut',
    },
)
_ZONED = int(Event.STARTED)
_ATTEMPT = int(Event.ATTEMPT_ENDED)
_UNPLACED = int(Event.CALL_UNPLACED)
_BY_OLD_BELIEF = 'refused by an old belief'


class Second:
    """What one second's lines add up to."""

    __slots__ = ('ages', 'kinds', 'missing', 'predicted', 'seen', 'versions')

    def __init__(self) -> None:
        """Begin empty."""
        self.kinds: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.predicted = Spread()
        self.seen = Spread()
        self.missing = Spread()
        self.ages = Spread()
        self.versions: collections.Counter[str] = collections.Counter()

    def count(self, zone: str, route: str, cause: str) -> None:
        """Count a call under its availability zone, route and cause."""
        kind = (zone, route, cause)
        if kind not in self.kinds and len(self.kinds) >= MOST_KINDS:
            kind = _REST
        self.kinds[kind] += 1


@dataclasses.dataclass(slots=True)
class Losses:
    """What the lines of several processes add up to."""

    seconds: dict[str, Second] = dataclasses.field(default_factory=dict)
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    torn: int = 0
    dropped_seconds: int = 0

    def read(self, stream: TextIO) -> None:
        """Take in the lines of one file; torn ones are counted."""
        self.torn += take_lines(stream, self.take)

    def take(self, line: dict[str, Any]) -> None:
        """Take in one line."""
        number = line['event']
        vm = str(line.get('vm', _UNTOLD))
        if number == _ZONED:
            self.zones[vm] = str(line.get('zone', _UNTOLD))
        elif number == _ATTEMPT:
            self._attempt(line, self.zones.get(vm, _UNTOLD))
        else:
            self._ending(line, self.zones.get(vm, _UNTOLD))

    def _ending(self, line: dict[str, Any], zone: str) -> None:
        ending = _ENDINGS.get(line['event'])
        if _by_old_belief(line):
            ending = _BY_OLD_BELIEF
        if ending is not None:
            cause = f'{ending}: {line.get("code", _UNTOLD)}'
            route = str(line.get('route', _UNTOLD))
            self._second(line).count(zone, route, cause)

    def _second(self, line: dict[str, Any]) -> Second:
        at = str(line.get('asctime', _UNTOLD))[:_SECOND]
        found = self.seconds.setdefault(at, Second())
        if len(self.seconds) > MOST_SECONDS:
            self.seconds.pop(min(self.seconds))
            self.dropped_seconds += 1
        return found

    def _attempt(self, line: dict[str, Any], zone: str) -> None:
        found = self._second(line)
        found.count(zone, str(line.get('route', _UNTOLD)), cause_of(line))
        version = number_in(line, 'version')
        if version > 0:
            found.versions[f'{line.get("endpoint", _UNTOLD)}@{version}'] += 1
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
    """Say in which way an attempt was good, late or lost."""
    how = str(line.get('how', _UNTOLD))
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
    """Give what was found as one plain record a second."""
    return [_row(at, losses.seconds[at]) for at in sorted(losses.seconds)]


def report(losses: Losses) -> Iterator[str]:
    """Yield the lines of a report for people."""
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


def _row(at: str, second: Second) -> dict[str, Any]:
    return {
        'second': at,
        'calls': [
            {'zone': zone, 'route': route, 'cause': cause, 'count': count}
            for (zone, route, cause), count in second.kinds.most_common()
        ],
        'predicted_ms': second.predicted.at(_MEDIAN),
        'seen_ms': second.seen.at(_MEDIAN),
        'missing_ms': second.missing.at(_MEDIAN),
        'missing_p90_ms': second.missing.at(_TAIL),
        'report_age_ms': second.ages.at(_MEDIAN),
        'report_age_p90_ms': second.ages.at(_TAIL),
        'versions': dict(sorted(second.versions.items())),
    }


def _headline(row: dict[str, Any]) -> str:
    by_cause: collections.Counter[str] = collections.Counter()
    for kind in row['calls']:
        by_cause[kind['cause'].partition(':')[0]] += kind['count']
    told = ', '.join(f'{count} {cause}' for cause, count in by_cause.items())
    served = sorted({one.rpartition('@')[2] for one in row['versions']})
    return (
        f'{row["second"]}  {told}; first event predicted '
        f'{row["predicted_ms"]} ms, seen {row["seen_ms"]}, short by '
        f'{row["missing_ms"]} ({row["missing_p90_ms"]} in one of ten); '
        f'reports {row["report_age_ms"]} ms old; versions {",".join(served)}'
    )


def _by_old_belief(line: dict[str, Any]) -> bool:
    old = number_in(line, 'store_age_ms') > OLD_BELIEF_MS
    return old and line['event'] == _UNPLACED


def as_json(losses: Losses) -> str:
    """Give the report for programs."""
    return json.dumps(
        {
            'seconds': rows(losses),
            'torn_lines': losses.torn,
            'seconds_left_out': losses.dropped_seconds,
        },
    )


def sum_up(streams: Iterable[TextIO]) -> Losses:
    """Read several logs."""
    found = Losses()
    for stream in streams:
        found.read(stream)
    return found
