"""Run every test with unittest and end with the counts of the real result."""

import logging
import pathlib
import sys
import unittest
from collections import Counter
from collections.abc import Iterable, Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# The command with its seed, what was seen, the open issue.
FIELD_COUNT = 3


class Counted(unittest.TextTestResult):
    """Record the names of the tests that passed, too."""

    def __init__(self, *args: object, **options: object) -> None:
        """Start without tests."""
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self.passed: set[str] = set()

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record a test that passed."""
        super().addSuccess(test)
        self.passed.add(test.id())

    def failed(self) -> set[str]:
        """Return the failed tests; one with failed subtests counts once."""
        failed_names = {
            name_of(test) for test, _ in self.failures + self.errors
        }
        return failed_names | {test.id() for test in self.unexpectedSuccesses}


def name_of(test: unittest.TestCase) -> str:
    """Return the name of a test, also for a subtest."""
    return str(getattr(test, 'test_case', test).id())


def parse_list(text: str) -> list[tuple[str, list[str]]]:
    """Parse the list: the name of each test, and the fields after it."""
    entries = []
    for line in text.splitlines():
        if line.strip():
            name, _, fields = line.partition(':')
            entries.append((name.strip(), fields.split(';')))
    return entries


def list_errors(listed: Iterable[tuple[str, list[str]]]) -> Iterator[str]:
    """Yield the errors of a list, whichever tests are run."""
    names: Counter[str] = Counter()
    for name, fields in listed:
        names[name] += 1
        if len(fields) < FIELD_COUNT or not all(
            part.strip() for part in fields
        ):
            yield f'{name}: needs a command and seed; what was seen; an issue'
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


def verdict(result: Counted, text: str) -> int:
    """Print the counts; return 0 only if tests ran and none failed.

    Listed tests must fail: one that passes has been fixed, and its line would
    hide the next fault.
    """
    listed = parse_list(text)
    listed_names = {name for name, _ in listed}
    failed_names = result.failed()
    errors = list(list_errors(listed))
    errors += [
        f'{name}: listed, but passes' for name in listed_names & result.passed
    ]
    for name in sorted(failed_names & listed_names):
        print(f'known red: {name}')
    for line in sorted(errors):
        print(f'{KNOWN_RED.name}: {line}')
    failed = len(failed_names - listed_names)
    print(f'{len(result.passed)} passed, {failed} failed')
    return 0 if result.passed and not failed and not errors else 1


def main() -> int:
    """Run the named tests, or all of them."""
    sys.path.insert(0, str(ROOT))
    from tests.loops import use_loops_of_programs

    use_loops_of_programs()
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    loader = unittest.TestLoader()
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(verbosity=1, resultclass=Counted)
    result = runner.run(suite)
    assert isinstance(result, Counted)
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    return verdict(result, text)


if __name__ == '__main__':
    sys.exit(main())
