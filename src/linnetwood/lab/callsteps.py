"""Group the times of a profile by the steps of a call at an entry; no I/O."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from typing import Final

# A function as the standard library's profiler names it: file, line and name.
# Built-in functions have no file.
Function = tuple[str, int, str]
# Calls without repetition, calls, own seconds, seconds with callees, callers.
Row = tuple[int, int, float, float, Mapping[Function, tuple[float, ...]]]
_NO_FILE = '~'
_OWN_S: Final = 2
_CALLERS: Final = 4
OTHER: Final = 'other'
# The first match decides, so more specific paths come first.
_STEPS: Final = (
    (
        'send and receive at endpoints',
        ('/linnetwood/wire/curldriver', '/pycurl'),
    ),
    (
        'log',
        (
            '/linnetwood/core/logsink',
            '/linnetwood/core/events',
            '/linnetwood/calls/attemptlog',
            '/pythonjsonlogger/',
            '/logging/',
            '/json/',
        ),
    ),
    ('count', ('/linnetwood/core/exposed', '/prometheus_client/')),
    (
        'read and answer callers',
        (
            '/linnetwood/calls/callserver',
            '/linnetwood/calls/callparsing',
            '/linnetwood/platform/dialect',
            '/tornado/',
        ),
    ),
    (
        'choose',
        (
            '/linnetwood/calls/deadlineadmission',
            '/linnetwood/calls/choice',
            '/linnetwood/calls/candidates',
            '/linnetwood/calls/endpointstats',
            '/linnetwood/calls/directory',
            '/linnetwood/calls/engine',
            '/linnetwood/calls/policy/',
        ),
    ),
    (
        'hear endpoints and the store',
        (
            '/linnetwood/calls/reports',
            '/linnetwood/calls/reportsubscriptions',
            '/linnetwood/fleet/',
            '/linnetwood/platform/',
            '/linnetwood/wire/',
            '/linnetwood/gen/',
            '/thrift',
        ),
    ),
    ('run the call', ('/linnetwood/calls/',)),
    (
        'loop',
        (
            '/asyncio/',
            '/selectors',
            '/linnetwood/core/loops',
            '/linnetwood/core/clock',
        ),
    ),
    ('start', ('<frozen importlib', '/re/_')),
)


def step_of(function: Function) -> str:
    """Return the step that a function written in Python belongs to."""
    path = function[0].replace('\\', '/')
    return next(
        (step for step, parts in _STEPS if any(one in path for one in parts)),
        OTHER,
    )


def group_by_step(stats: Mapping[Function, Row]) -> dict[str, float]:
    """Return the seconds of each step.

    Built-in functions count for their callers.
    """
    found: defaultdict[str, float] = defaultdict(float)
    for function, row in stats.items():
        for step, seconds in _parts(function, row):
            found[step] += seconds
    return found


def _parts(function: Function, row: Row) -> Iterator[tuple[str, float]]:
    callers = row[_CALLERS]
    if function[0] != _NO_FILE or not callers:
        yield step_of(function), row[_OWN_S]
        return
    for caller, figures in callers.items():
        yield step_of(caller), figures[_OWN_S]
