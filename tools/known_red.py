"""Judge the outcomes of tests by the list of known failures.

A listed test must fail, or, where the list says `at times`, may fail with the
text that the list gives.
"""

import dataclasses
import pathlib
import unittest
from collections import Counter
from collections.abc import Collection, Iterator, Sequence
from typing import Protocol

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
# The command with its seed, what was seen, the open issue.
FIELD_COUNT = 3
# The same, and after what was seen the line that the failure's text contains.
AT_TIMES_FIELD_COUNT = 4
_AT_TIMES = 'at times'
_ANY_TRACE = 'Traceback'


class Outcomes(Protocol):
    """How tests ended, by name."""

    passed: set[str]
    # Several texts where several subtests failed.
    failures: dict[str, list[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A line of the list: a test, and the fields after its name."""

    name: str
    fields: tuple[str, ...]

    @property
    def is_at_times(self) -> bool:
        """Return whether the test fails in some runs only."""
        return self.fields[0] == _AT_TIMES

    @property
    def trace_line(self) -> str:
        """Return the line that the text of the failure must contain."""
        return self.fields[-2]

    def error(self) -> str:
        """Return what the line lacks, or an empty text."""
        needed, hint = FIELD_COUNT, ''
        fields = self.fields
        if self.is_at_times:
            needed, hint = AT_TIMES_FIELD_COUNT, 'a line of the trace; '
            fields = fields[1:]
        if len(fields) < needed or not all(fields):
            return f'needs a command and seed; what was seen; {hint}an issue'
        if self.is_at_times and self.trace_line.startswith(_ANY_TRACE):
            return f'{_ANY_TRACE!r} is in the text of each failure'
        return ''

    def covers(self, texts: Sequence[str]) -> bool:
        """Return whether all failures of the test are the known one."""
        if not self.is_at_times:
            return True
        return all(
            self.trace_line in map(str.strip, text.splitlines())
            for text in texts
        )


def parse_list(text: str) -> Iterator[Entry]:
    """Parse the list."""
    for line in text.splitlines():
        if line.strip():
            name, _, fields = line.partition(':')
            yield Entry(name.strip(), tuple(map(str.strip, fields.split(';'))))


def list_errors(listed: Collection[Entry]) -> Iterator[str]:
    """Yield the errors of a list, whichever tests are run."""
    names = Counter(one.name for one in listed)
    for entry in listed:
        if entry.error():
            yield f'{entry.name}: {entry.error()}'
    for name, times in names.items():
        if times > 1:
            yield f'{name}: listed {times} times'
        if not is_test(name):
            yield f'{name}: no such test'


def is_test(name: str) -> bool:
    """Return whether a name is that of one test."""
    loader = unittest.TestLoader()
    try:
        suite = loader.loadTestsFromName(name)
    except (TypeError, ValueError):
        return False
    names = [getattr(test, 'id', str)() for test in suite]
    return not loader.errors and names == [name]


def verdict(outcomes: Outcomes, text: str) -> int:
    """Print the counts; return 0 only if tests ran and none failed.

    A listed test that passes has been fixed, unless it fails at times only:
    its line would hide the next fault.
    """
    listed = list(parse_list(text))
    errors = list(list_errors(listed))
    errors += [
        f'{entry.name}: listed, but passes'
        for entry in listed
        if entry.name in outcomes.passed and not entry.is_at_times
    ]
    known = [entry for entry in listed if _is_known(entry, outcomes)]
    for found in known:
        kind = ' at times' if found.is_at_times else ''
        print(f'known red{kind}: {found.name}')
    for line in sorted(errors):
        print(f'{KNOWN_RED.name}: {line}')
    failed = len(outcomes.failures.keys() - {one.name for one in known})
    print(f'{len(outcomes.passed)} passed, {failed} failed')
    return 0 if outcomes.passed and not failed and not errors else 1


def _is_known(entry: Entry, outcomes: Outcomes) -> bool:
    """Return whether a test failed as its line says."""
    texts = outcomes.failures.get(entry.name)
    return bool(texts) and not entry.error() and entry.covers(texts or ())
