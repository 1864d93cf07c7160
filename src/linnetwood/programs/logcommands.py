"""The commands that read log files of any processes."""

import sys
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

from linnetwood.core.errors import UsageError
from linnetwood.programs import explain, forecasts, losses, traffic
from linnetwood.programs.exits import EXIT_OK
from linnetwood.programs.show import printed


def explain_call(call: str, *logs: str, json: bool = False) -> int:
    """Tell the story of a call from log files of several processes.

    :param call: the call's id, or the likeness of calls
    :param logs: files with log lines of any processes
    :param json: print JSON
    """
    lines: list[dict[str, Any]] = []
    for stream in _opened(logs):
        lines.extend(explain.lines_of(stream))
    story = explain.of_call(lines, call)
    return printed(story, map(explain.sentence, story), json)


def sum_up_losses(*logs: str, json: bool = False) -> int:
    """Sum up by second which calls were late, refused or lost, and why.

    :param logs: files with log lines of any processes
    :param json: print JSON
    """
    found = losses.sum_up(_opened(_named(logs)))
    return _told(losses.report(found), losses.as_json(found), json)


def sum_up_forecasts(*logs: str, json: bool = False) -> int:
    """Hold what was decided of calls against what came.

    :param logs: files with log lines of any processes
    :param json: print JSON
    """
    found = forecasts.sum_up(_opened(_named(logs)))
    return _told(forecasts.report(found), forecasts.as_json(found), json)


def sum_up_traffic(*logs: str, json: bool = False) -> int:
    """Sum up what processes say to each other, a second and a process.

    :param logs: files with log lines of any processes
    :param json: print JSON
    """
    found = traffic.sum_up(_opened(_named(logs)))
    return printed(list(found.rows()), traffic.report(found), json)


def _told(lines: Iterable[str], text: str, json: bool) -> int:
    told = f'{text}\n' if json else ''.join(f'{line}\n' for line in lines)
    sys.stdout.write(told)
    return EXIT_OK


def _named(logs: tuple[str, ...]) -> tuple[str, ...]:
    if not logs:
        raise UsageError('log-missing', 'name one log file or more')
    return logs


def _opened(logs: Iterable[str]) -> Iterator[TextIO]:
    for name in logs:
        try:
            with open(name, encoding='utf-8', errors='replace') as stream:
                yield stream
        except OSError as exc:
            raise UsageError('log-unreadable', f'{name}: {exc}') from exc
