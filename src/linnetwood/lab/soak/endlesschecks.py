"""Check how much entries take of answers without end; no I/O or clock."""

import dataclasses
import json
from collections.abc import Iterable, Iterator

from linnetwood.lab.soak.endless import Framing
from linnetwood.lab.soak.history import CallKind, EndlessAnswer, History

_MAX_ANSWER_BYTES = 16777216
_MAX_EVENT_BYTES = 1048576
# What the sockets on the way may hold: those of the proxy, and the receive
# buffer of an entry, which the kernel enlarges while the entry reads.
_SOCKET_BUFFER_BYTES = 8388608
# Framings of an event that take few more bytes than the event.
_EVENT_FRAMINGS = frozenset((Framing.BODY, Framing.LENGTH, Framing.CHUNKS))


def endless_violations(history: History) -> Iterator[str]:
    """Yield each answer without end of which an entry took too much."""
    calls = {call.call_id: call for call in history.calls}
    for one in history.endless:
        call = calls.get(one.call_id)
        if call is None:
            continue
        framing = Framing(one.framing)
        is_event = call.kind is CallKind.STREAM and framing in _EVENT_FRAMINGS
        limit = _MAX_EVENT_BYTES if is_event else _MAX_ANSWER_BYTES
        if one.taken > limit + _SOCKET_BUFFER_BYTES:
            taken = f'{one.taken} bytes of {one.framing} of {one.server}'
            yield (
                f'ENDLESS {one.at:.3f} {one.call_id} by {call.entry}: '
                f'{taken} in {one.until - one.at:.1f} s, limit {limit}'
            )


def add_endless(history: History, rows: Iterable[str]) -> None:
    """Add answers without end to a history; a run lasts as long as its own."""
    history.endless = [EndlessAnswer(**json.loads(row)) for row in rows]
    ends = {(one.call_id, one.server): one.until for one in history.endless}
    history.runs = [
        dataclasses.replace(
            run, ended_at=ends.get((run.call_id, run.server), run.ended_at)
        )
        for run in history.runs
    ]


def summarize_endless(history: History) -> dict[str, float]:
    """Return how many there were, the most bytes and seconds that one took."""
    answers = history.endless
    return {
        'answers': len(answers),
        'most_bytes': max((one.taken for one in answers), default=0),
        'longest_s': round(
            max((one.until - one.at for one in answers), default=0), 2
        ),
    }
