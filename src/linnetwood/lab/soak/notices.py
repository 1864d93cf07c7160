"""Check that entries obey the notices of servers; no I/O or clock.

The checks apply also to entries that faults cut off. An entry is excused if it
restarted or was suspended since it got the notice.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from linnetwood.lab.soak.history import Arrival, History, IsConnected

# An entry applies a notice within this time after it forwarded the answer.
_NOTICE_DELAY_S = 0.5
# The time that an answer takes, with slack for a busy machine.
_TRANSIT_S = 0.5
_WINDOW_S = 4.0
_OVERRUN_RATIO = 1.5
_EXTRA_CALLS = 5

# The number of calls that may arrive during a requested pause.
_MAX_CALLS_IN_PAUSE = 2
_EXCUSING_FAULTS = frozenset(
    ('kill entry', 'stop entry', 'pause entry', 'machine busy'),
)


def rate_limit_violations(
    history: History,
    is_connected: IsConnected,
    contact_s: float,
) -> Iterator[str]:
    """Yield each server that received more calls than its rate limit allows."""
    entries = {call.call_id: call.entry for call in history.calls}
    by_incarnation: dict[tuple[str, int], list[Arrival]] = defaultdict(list)
    for one in sorted(history.arrivals, key=_arrival_time):
        by_incarnation[one.server, one.born].append(one)
    for (server, _), arrivals in by_incarnation.items():
        limited = list(
            _calls_after_notice(arrivals, entries, is_connected, contact_s)
        )
        yield from _limit_violations(server, limited)


def leaving_violations(history: History, drain_s: float) -> Iterator[str]:
    """Yield each call sent after an entry knew that the server is leaving."""
    for entry, received in _group_by_entry(history):
        first = min(
            (
                one.arrival.notified_at
                for one in received
                if one.arrival.said.leaving
            ),
            default=math.inf,
        )
        since = first + _TRANSIT_S
        late = [
            one.arrival for one in received if one.sent_at > since + drain_s
        ]
        for arrival in late:
            if not _is_excused(history, entry, since, arrival.at):
                call = f'{arrival.call_id} at {arrival.server} by {entry}'
                yield f'DRAIN {arrival.at:.3f} {call}, notified at {since:.3f}'


def pause_violations(history: History) -> Iterator[str]:
    """Yield each entry that sent calls during a requested pause."""
    for entry, received in _group_by_entry(history):
        arrivals = [one.arrival for one in received]
        violations = (
            violation
            for refusal in arrivals
            if (
                violation := _pause_violation(history, entry, refusal, arrivals)
            )
        )
        yield from itertools.islice(violations, 1)


def _pause_violation(
    history: History,
    entry: str,
    refusal: Arrival,
    arrivals: list[Arrival],
) -> str:
    """Describe the calls during a pause if there were more than a few."""
    since = refusal.notified_at + _NOTICE_DELAY_S
    until = refusal.at + refusal.said.rest_s
    inside = [one for one in arrivals if since < one.at < until]
    few = len(inside) <= _MAX_CALLS_IN_PAUSE
    if few or _is_excused(history, entry, refusal.at, inside[-1].at):
        return ''
    calls = f'{len(inside)} calls to {refusal.server} by {entry}'
    return (
        f'BUDGET {refusal.at:.3f} {calls} in a pause of {refusal.said.rest_s} s'
    )


class _ReceivedCall(NamedTuple):
    """A call that reached a server, and when its caller sent it."""

    arrival: Arrival
    sent_at: float


def _group_by_entry(
    history: History,
) -> Iterator[tuple[str, list[_ReceivedCall]]]:
    """Yield arrivals by entry and incarnation of a server, by time."""
    calls = {call.call_id: call for call in history.calls}
    found: dict[tuple[str, str, int], list[_ReceivedCall]] = defaultdict(list)
    for one in sorted(history.arrivals, key=_arrival_time):
        call = calls.get(one.call_id)
        if call is not None:
            received = _ReceivedCall(one, call.sent_at)
            found[call.entry, one.server, one.born].append(received)
    for (entry, _, _), rows in found.items():
        yield entry, rows


def _is_excused(
    history: History, entry: str, since: float, until: float
) -> bool:
    """Return whether an entry restarted or was suspended between two times."""
    return any(
        trouble.kind in _EXCUSING_FAULTS
        and trouble.affects(entry, since, until)
        for trouble in history.troubles
    )


def _arrival_time(arrival: Arrival) -> float:
    return arrival.at


def _calls_after_notice(
    arrivals: list[Arrival],
    entries: dict[str, str],
    is_connected: IsConnected,
    contact_s: float,
) -> Iterator[Arrival]:
    """Yield calls of entries that knew the rate limit in force."""
    limited_since = math.inf
    notified_at: dict[str, float] = {}
    for one in arrivals:
        if not one.said.limit:
            limited_since = math.inf
            notified_at.clear()
            continue
        limited_since = min(limited_since, one.notified_at)
        entry = entries.get(one.call_id, '')
        known_at = one.notified_at + _NOTICE_DELAY_S + _TRANSIT_S
        since = min(known_at, notified_at.get(entry, math.inf))
        notified_at[entry] = since
        due = one.at >= max(since, limited_since + contact_s)
        if due and is_connected(entry, one.at):
            yield one


def _limit_violations(server: str, limited: list[Arrival]) -> Iterator[str]:
    for first, since in enumerate(one.at for one in limited):
        until = since + _WINDOW_S
        inside = [one for one in limited[first:] if one.at < until]
        limit = max(one.said.limit for one in inside)
        allowed = int(_OVERRUN_RATIO * limit * _WINDOW_S + _EXTRA_CALLS)
        if len(inside) > allowed:
            yield (
                f'LIMIT {since:.3f} {len(inside)} calls to {server} '
                f'at {limit} a second, {allowed} allowed'
            )
            return
