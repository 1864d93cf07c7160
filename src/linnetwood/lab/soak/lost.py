"""Find calls that an entry forwarded and then left without an answer.

No I/O or clock.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Final

from linnetwood.lab.soak.history import Call, History, Run, Trouble

STOP: Final = 'stop entry'
# How often an entry in touch may close without an answer.
_MOST_LOST = 3
# The time that a deployment gives an entry to stop.
_GRACE_S = 8.0
# A call that was sent within this time after the signal may be cut if its
# server works until the end of that time.
_LATE_CALL_S = 3.0
_LAST_SIXTH = 5 / 6
Runs = Mapping[str, Sequence[Run]]
InTouch = Callable[[str, float], bool]


def lost(
    history: History,
    runs: Runs,
    in_touch: InTouch,
    contact_s: float,
) -> Iterator[str]:
    """Yield calls lost by entries in touch, and by entries that stop."""
    cut = [call for call in history.calls if _is_cut(call, runs)]
    by_entry: dict[str, list[Call]] = defaultdict(list)
    for call in cut:
        calm = _calm_servers(history, call, runs)
        if not call.status and calm and in_touch(call.entry, call.ended_at):
            by_entry[call.entry].append(call)
        if _by_stop(history, call, runs, contact_s):
            yield _told(call, 'the entry was told to stop')
    for calls in by_entry.values():
        if len(calls) > _MOST_LOST:
            yield _told(calls[0], f'and {len(calls) - 1} more')


def _is_cut(call: Call, runs: Runs) -> bool:
    """Return whether a call was forwarded and its connection ended early."""
    passed_on = runs.get(call.call_id, ())
    if call.whole or call.left_at or not passed_on:
        return False
    if not call.ended_at:
        # The call was in progress when the soak ended.
        return False
    return not any(run.crashed for run in passed_on)


def _calm_servers(history: History, call: Call, runs: Runs) -> bool:
    return all(
        history.calm(run.server, call.sent_at, call.ended_at)
        for run in runs[call.call_id]
    )


def _by_stop(
    history: History,
    call: Call,
    runs: Runs,
    contact_s: float,
) -> bool:
    """Return whether the stop of its entry was the only fault."""
    since = call.sent_at - contact_s
    near = [
        one
        for one in history.troubles
        if one.at < call.ended_at and one.until > since
    ]
    if any(one.kind != STOP for one in near):
        return False
    return any(
        one.who == call.entry and _had_time(call, runs, one) for one in near
    )


def _had_time(call: Call, runs: Runs, stop: Trouble) -> bool:
    if call.ended_at > stop.at + _GRACE_S:
        return False
    last = stop.at + _GRACE_S * _LAST_SIXTH
    worked_on = any(run.ended_at > last for run in runs[call.call_id])
    return not (worked_on and call.sent_at <= stop.at + _LATE_CALL_S)


def _told(call: Call, detail: str) -> str:
    return f'LOST {call.sent_at:.3f} {call.call_id} by {call.entry}: {detail}'
