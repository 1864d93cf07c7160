"""Tell the story of a call, or of calls that are alike, from log lines."""

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, TextIO

from linnetwood.core.errors import UsageError
from linnetwood.core.events import Event

_CALL = 'call'
_STAMPED = ('asctime', 'levelname', 'message', 'event', 'vm', 'taskName')


def lines_of(stream: TextIO) -> Iterator[dict[str, Any]]:
    """Yield the log lines of a file; torn and foreign lines are passed over.

    What stands before the first brace of a line, such as a collector's own
    time and name of the machine, is left out.
    """
    for text in stream:
        line = read_line(text)
        if line is not None:
            yield line


def read_line(text: str) -> dict[str, Any] | None:
    """Give the event that a line tells; None for a torn or foreign line."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        found = json.loads(text[start:])
    except ValueError:
        return None
    if isinstance(found, dict) and isinstance(found.get('event'), int):
        return found
    return None


def number_in(line: Mapping[str, Any], name: str) -> float:
    """Give a number that a line tells; 0 where it tells none."""
    found = line.get(name, 0)
    return found if isinstance(found, int | float) else 0


def take_lines(
    stream: TextIO,
    take: Callable[[dict[str, Any]], None],
) -> int:
    """Hand on what each line of a file tells; give how many were torn."""
    torn = 0
    for text in stream:
        line = read_line(text)
        if line is None:
            torn += '{' in text
        else:
            take(line)
    return torn


def of_call(
    lines: Iterable[dict[str, Any]],
    call: str,
) -> list[dict[str, Any]]:
    """Give a call's lines in the order of their times, or raise UsageError.

    The name may also be a likeness: then it is the story of all such calls.
    """
    found = [line for line in lines if _names(line, call)]
    if not found:
        raise UsageError('call-unknown', f'no line names the call {call}')
    return sorted(found, key=lambda line: str(line.get('asctime', '')))


def sentence(line: dict[str, Any]) -> str:
    """Say in plain words what a line tells."""
    teller = _TELLERS.get(line['event'], _plain)
    when = str(line.get('asctime', '?'))
    return f'{when}  {line.get("vm", "?")}: {teller(line)}'


def _names(line: dict[str, Any], name: str) -> bool:
    if name in {line.get(_CALL), line.get('likeness')}:
        return True
    likenesses = line.get('likenesses')
    return isinstance(likenesses, list) and name in likenesses


def _attempt(line: dict[str, Any]) -> str:
    first = line.get('first_ms', -1)
    began = 'no event came'
    if first >= 0:
        began = f'the first event came after {first} ms'
    return (
        f'sent to {line.get("endpoint")}, where {line.get("predicted_ms")} ms '
        f'to the first byte were predicted; {began}; ended '
        f'"{line.get("how")}" after {line.get("took_ms")} ms'
        f'{_detail(line)}'
    )


def _refused(line: dict[str, Any]) -> str:
    return (
        f'refused at the door ({line.get("code")}){_detail(line)}; it did not '
        f'run and may come back after {line.get("retry_after_ms")} ms'
    )


def _not_run(line: dict[str, Any]) -> str:
    return f'given up ({line.get("code")}){_detail(line)}; it did not run'


def _unknown(line: dict[str, Any]) -> str:
    return f'given up ({line.get("code")}){_detail(line)}; it may have run'


def _cut(line: dict[str, Any]) -> str:
    return f'cut off ({line.get("code")}){_detail(line)}'


def _crashed(line: dict[str, Any]) -> str:
    return (
        f'{line.get("endpoint")} of {line.get("service")} ended '
        f'({line.get("why")}) under {line.get("calls")} calls'
    )


def _notice(line: dict[str, Any]) -> str:
    limit = line.get('limit_per_s')
    said = [
        '' if limit is None else f'takes {limit} calls a second',
        'leaves' if line.get('leaving') else '',
        f'wants {line["rest_s"]} s of rest' if line.get('rest_s') else '',
        f'tells {line["unread"]!r}' if line.get('unread') else '',
    ]
    told = ', '.join(filter(None, said)) or 'takes any number of calls again'
    return f'{line.get("endpoint")} says of itself: {told}'


def _plain(line: dict[str, Any]) -> str:
    fields = {
        name: text
        for name, text in line.items()
        if name not in _STAMPED and name != _CALL
    }
    told = ', '.join(f'{name} {text}' for name, text in fields.items())
    return f'{line.get("message")}: {told}'


def _detail(line: dict[str, Any]) -> str:
    detail = line.get('detail')
    return f', {detail}' if detail else ''


_TELLERS = MappingProxyType(
    {
        int(Event.ATTEMPT_ENDED): _attempt,
        int(Event.CALL_REFUSED): _refused,
        int(Event.CALL_NOT_RUN): _not_run,
        int(Event.CALL_UNKNOWN): _unknown,
        int(Event.CALL_CUT): _cut,
        int(Event.ENDPOINT_CRASHED): _crashed,
        int(Event.ENDPOINT_NOTICE): _notice,
    },
)
