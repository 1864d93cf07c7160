"""The commands that read log files of any processes."""

import itertools
import sys
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

from linnetwood.core.errors import UsageError
from linnetwood.programs import (
    explain,
    forecasts,
    losses,
    losstables,
    traffic,
)
from linnetwood.programs.exits import EXIT_OK
from linnetwood.programs.show import print_result


def explain_call(call: str, *logs: str, json: bool = False) -> int:
    """Show what happened to a call, from log files of several processes.

    :param call: the call's id, or the fingerprint of calls
    :param logs: files with log lines of any processes
    :param json: print JSON
    """
    lines: list[dict[str, Any]] = []
    for stream in _open_all(logs):
        lines.extend(explain.read_lines(stream))
    story = explain.lines_of_call(lines, call)
    return print_result(story, map(explain.describe, story), json)


def sum_up_losses(*logs: str, json: bool = False, tables: bool = False) -> int:
    """Summarize by second which calls were late, refused or lost, and why.

    :param logs: files with log lines of any processes
    :param json: print JSON
    :param tables: add tables by route with its priority, and by organisation
    """
    streams = _open_all(_require_logs(logs))
    if not tables:
        found = losses.summarize(streams)
        return _print_report(losses.report(found), losses.as_json(found), json)
    calls = losstables.CallTables()
    found = losses.summarize(streams, calls.add_line)
    text = losses.as_json(found, tables=calls.as_record())
    lines = itertools.chain(losses.report(found), losstables.report(calls))
    return _print_report(lines, text, json)


def sum_up_forecasts(*logs: str, json: bool = False) -> int:
    """Compare decisions on calls with their outcomes.

    :param logs: files with log lines of any processes
    :param json: print JSON
    """
    found = forecasts.summarize(_open_all(_require_logs(logs)))
    return _print_report(
        forecasts.report(found), forecasts.as_json(found), json
    )


def sum_up_traffic(*logs: str, json: bool = False) -> int:
    """Summarize the datagrams between processes, per second and process.

    :param logs: files with log lines of any processes
    :param json: print JSON
    """
    found = traffic.summarize(_open_all(_require_logs(logs)))
    return print_result(list(found.rows()), traffic.report(found), json)


def _print_report(lines: Iterable[str], text: str, json: bool) -> int:
    text_lines = f'{text}\n' if json else ''.join(f'{line}\n' for line in lines)
    sys.stdout.write(text_lines)
    return EXIT_OK


def _require_logs(logs: tuple[str, ...]) -> tuple[str, ...]:
    if not logs:
        raise UsageError('log-missing', 'name one log file or more')
    return logs


def _open_all(logs: Iterable[str]) -> Iterator[TextIO]:
    for name in logs:
        try:
            with open(name, encoding='utf-8', errors='replace') as stream:
                yield stream
        except OSError as exc:
            raise UsageError('log-unreadable', f'{name}: {exc}') from exc
