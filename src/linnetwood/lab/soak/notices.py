"""Check that entries obey the notices of servers; no I/O or clock.

The checks apply to entries in touch and out of touch alike. An entry is excused
if it restarted or was suspended since it got the notice.
"""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from linnetwood.lab.soak.history import Arrival, History

# An entry knows a notice this long after it forwarded the answer.
_KNOWN_S = 0.5
# The time that an answer takes, with slack for a busy machine.
_WAY_S = 0.5
_WINDOW_S = 4.0
_OVER = 1.5
_EXTRA = 5

# The number of calls that may arrive during a requested pause.
_FEW = 2
_EXCUSES = frozenset(
    ('kill entry', 'stop entry', 'pause entry', 'machine busy'),
)

InTouch = Callable[[str, float], bool]


def over_limits(
    history: History,
    in_touch: InTouch,
    contact_s: float,
) -> Iterator[str]:
    """Yield each server that got more calls than its rate limit allows."""
    entries = {call.call_id: call.entry for call in history.calls}
    by_life: dict[tuple[str, int], list[Arrival]] = defaultdict(list)
    for one in sorted(history.arrivals, key=_time):
        by_life[one.server, one.born].append(one)
    for (server, _), arrivals in by_life.items():
        told = list(_from_told(arrivals, entries, in_touch, contact_s))
        yield from _broken(server, told)


def after_leaving(history: History, drain_s: float) -> Iterator[str]:
    """Yield each call sent after an entry knew that the server leaves."""
    for entry, came in _by_entry(history):
        first = next((one for one in came if one.arrival.said.leaving), None)
        if first is None:
            continue
        since = first.arrival.at + _WAY_S
        late = [one.arrival for one in came if one.sent_at > since + drain_s]
        for arrival in late:
            if not _excused(history, entry, since, arrival.at):
                told = f'{arrival.call_id} at {arrival.server} by {entry}'
                yield f'DRAIN {arrival.at:.3f} {told}, told at {since:.3f}'


def during_rest(history: History) -> Iterator[str]:
    """Yield each entry that sent calls during a requested pause."""
    for entry, came in _by_entry(history):
        arrivals = [one.arrival for one in came]
        broken = (
            told
            for asked in arrivals
            if (told := _in_rest(history, entry, asked, arrivals))
        )
        yield from itertools.islice(broken, 1)


def _in_rest(
    history: History,
    entry: str,
    asked: Arrival,
    arrivals: list[Arrival],
) -> str:
    """Describe the calls during a pause if there were more than a few."""
    since = asked.at + _KNOWN_S
    until = asked.at + asked.said.rest_s
    inside = [one for one in arrivals if since < one.at < until]
    few = len(inside) <= _FEW
    if few or _excused(history, entry, asked.at, inside[-1].at):
        return ''
    told = f'{len(inside)} to {asked.server} by {entry}'
    return f'BUDGET {asked.at:.3f} {told} in {asked.said.rest_s} s of rest'


class _Came(NamedTuple):
    """A call that reached a server, and when its caller sent it."""

    arrival: Arrival
    sent_at: float


def _by_entry(history: History) -> Iterator[tuple[str, list[_Came]]]:
    """Yield arrivals by entry and incarnation of a server, by time."""
    calls = {call.call_id: call for call in history.calls}
    found: dict[tuple[str, str, int], list[_Came]] = defaultdict(list)
    for one in sorted(history.arrivals, key=_time):
        call = calls.get(one.call_id)
        if call is not None:
            came = _Came(one, call.sent_at)
            found[call.entry, one.server, one.born].append(came)
    for (entry, _, _), rows in found.items():
        yield entry, rows


def _excused(history: History, entry: str, since: float, until: float) -> bool:
    """Return whether an entry restarted or was suspended in a span."""
    return any(
        trouble.kind in _EXCUSES and trouble.touches(entry, since, until)
        for trouble in history.troubles
    )


def _time(arrival: Arrival) -> float:
    return arrival.at


def _from_told(
    arrivals: list[Arrival],
    entries: dict[str, str],
    in_touch: InTouch,
    contact_s: float,
) -> Iterator[Arrival]:
    """Yield calls of entries that knew the rate limit, while it holds."""
    named_at = float()
    told_at: dict[str, float] = {}
    for one in arrivals:
        if not one.said.limit:
            named_at = 0
            told_at.clear()
            continue
        named_at = named_at or one.at
        entry = entries.get(one.call_id, '')
        since = told_at.setdefault(entry, one.at + _KNOWN_S + _WAY_S)
        due = one.at >= max(since, named_at + contact_s)
        if due and in_touch(entry, one.at):
            yield one


def _broken(server: str, told: list[Arrival]) -> Iterator[str]:
    for first, since in enumerate(one.at for one in told):
        until = since + _WINDOW_S
        inside = [one for one in told[first:] if one.at < until]
        limit = max(one.said.limit for one in inside)
        allowed = int(_OVER * limit * _WINDOW_S + _EXTRA)
        if len(inside) > allowed:
            yield (
                f'LIMIT {since:.3f} {len(inside)} to {server} '
                f'at {limit} a second, {allowed} allowed'
            )
            return
