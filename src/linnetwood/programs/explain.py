"""Reconstruct what happened to a call, or to similar calls, from logs."""

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, TextIO

from linnetwood.calls.logfields import logged_id
from linnetwood.core.errors import UsageError
from linnetwood.core.events import Event

_CALL = 'call'
_COMMON_FIELDS = ('asctime', 'levelname', 'message', 'event', 'vm', 'taskName')


def read_lines(stream: TextIO) -> Iterator[dict[str, Any]]:
    """Yield the log events of a file; skip lines that are none.

    Anything before the first brace of a line, such as a time or a host name
    that a log collector adds, is ignored.
    """
    for text in stream:
        line = read_line(text)
        if line is not None:
            yield line


def read_line(text: str) -> dict[str, Any] | None:
    """Parse a log line; return None if it is truncated or no log event."""
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
    """Return a numeric field of a line; 0 if it has none."""
    found = line.get(name, 0)
    return found if isinstance(found, int | float) else 0


def feed_lines(
    stream: TextIO,
    add_line: Callable[[dict[str, Any]], None],
) -> int:
    """Pass on each event of a file; return the number of truncated lines."""
    torn = 0
    for text in stream:
        line = read_line(text)
        if line is None:
            torn += '{' in text
        else:
            add_line(line)
    return torn


def lines_of_call(
    lines: Iterable[dict[str, Any]],
    call: str,
) -> list[dict[str, Any]]:
    """Return a call's lines ordered by time, or raise UsageError.

    The name may also be a fingerprint, of a call or of a part of a prompt, for
    all calls that share it.
    """
    found = [line for line in lines if _concerns(line, call)]
    if not found:
        raise UsageError('call-unknown', f'no line names the call {call}')
    return sorted(found, key=lambda line: str(line.get('asctime', '')))


def describe(line: dict[str, Any]) -> str:
    """Describe an event in words."""
    describe_event = _DESCRIBERS.get(line['event'], _plain)
    when = str(line.get('asctime', '?'))
    return f'{when}  {line.get("vm", "?")}: {describe_event(line)}'


def _concerns(line: dict[str, Any], name: str) -> bool:
    # Newer lines have a cut id, older ones the whole one.
    ids = (name, logged_id(name))
    if line.get(_CALL) in ids or line.get('likeness') == name:
        return True
    listed = [line.get(field) for field in ('likenesses', 'parts')]
    return any(isinstance(names, list) and name in names for names in listed)


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
        f'refused at admission ({line.get("code")}){_detail(line)}; it did not '
        f'run and may come back after {line.get("retry_after_ms")} ms'
    )


def _not_run(line: dict[str, Any]) -> str:
    return f'given up ({line.get("code")}){_detail(line)}; it did not run'


def _unknown(line: dict[str, Any]) -> str:
    return f'given up ({line.get("code")}){_detail(line)}; it may have run'


def _cut(line: dict[str, Any]) -> str:
    return f'cut off ({line.get("code")}){_detail(line)}'


def _traced(line: dict[str, Any]) -> str:
    return (
        f'answered by {line.get("service")} after {line.get("took_ms")} ms; '
        f'decided {line.get("decided_ms")} ms after it came by version '
        f'{line.get("config_version")} on a view {line.get("store_age_ms")} ms '
        f'old ({line.get("confirmed_by")}); version {line.get("version_now")} '
        f'was in force at the end ({line.get("code")})'
    )


def _crashed(line: dict[str, Any]) -> str:
    return (
        f'{line.get("endpoint")} of {line.get("service")} ended '
        f'({line.get("why")}) under {line.get("calls")} calls'
    )


def _notice(line: dict[str, Any]) -> str:
    limit = line.get('limit_per_s')
    parts = [
        '' if limit is None else f'takes {limit} calls a second',
        'leaves' if line.get('leaving') else '',
        f'wants {line["rest_s"]} s of rest' if line.get('rest_s') else '',
        f'tells {line["unread"]!r}' if line.get('unread') else '',
    ]
    text = ', '.join(filter(None, parts)) or 'takes any number of calls again'
    return f'{line.get("endpoint")} says of itself: {text}'


def _silent(line: dict[str, Any]) -> str:
    return (
        f'{line.get("endpoint")} has sent nothing for {line.get("silent_ms")} '
        f'ms, with {line.get("streams")} other calls there and a report '
        f'{line.get("report_age_ms")} ms old; decided: {line.get("decision")} '
        f'({line.get("attempts_left")} attempts and '
        f'{line.get("retries_left")} retries left)'
    )


def _plain(line: dict[str, Any]) -> str:
    fields = {
        name: text
        for name, text in line.items()
        if name not in _COMMON_FIELDS and name != _CALL
    }
    text = ', '.join(f'{name} {text}' for name, text in fields.items())
    return f'{line.get("message")}: {text}'


def _detail(line: dict[str, Any]) -> str:
    detail = line.get('detail')
    return f', {detail}' if detail else ''


_DESCRIBERS = MappingProxyType(
    {
        int(Event.ATTEMPT_ENDED): _attempt,
        int(Event.CALL_REFUSED): _refused,
        int(Event.CALL_NOT_RUN): _not_run,
        int(Event.CALL_UNKNOWN): _unknown,
        int(Event.CALL_CUT): _cut,
        int(Event.CALL_TRACED): _traced,
        int(Event.ENDPOINT_CRASHED): _crashed,
        int(Event.ENDPOINT_NOTICE): _notice,
        int(Event.STREAM_SILENT): _silent,
    },
)
