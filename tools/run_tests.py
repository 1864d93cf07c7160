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
TOLD = 3


class Counted(unittest.TextTestResult):
    """Keep the names of the tests that passed, too."""

    def __init__(self, *args: object, **options: object) -> None:
        """Start with none."""
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self.passed: set[str] = set()

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note a test that passed."""
        super().addSuccess(test)
        self.passed.add(test.id())

    def failed(self) -> set[str]:
        """Give the tests that failed; one that has parts counts once."""
        bad = {name_of(test) for test, _ in self.failures + self.errors}
        return bad | {test.id() for test in self.unexpectedSuccesses}


def name_of(test: unittest.TestCase) -> str:
    """Give the name of a test, also for a part of one."""
    return str(getattr(test, 'test_case', test).id())


def entries(text: str) -> list[tuple[str, list[str]]]:
    """Read what is listed: the name of each test, and what is told of it."""
    found = []
    for line in text.splitlines():
        if line.strip():
            name, _, told = line.partition(':')
            found.append((name.strip(), told.split(';')))
    return found


def unfit(listed: Iterable[tuple[str, list[str]]]) -> Iterator[str]:
    """Yield what is wrong with a list, whichever tests are run."""
    names: Counter[str] = Counter()
    for name, told in listed:
        names[name] += 1
        if len(told) < TOLD or not all(part.strip() for part in told):
            yield f'{name}: needs a command and seed; what was seen; an issue'
    for name, times in names.items():
        if times > 1:
            yield f'{name}: listed {times} times'
        if not is_test(name):
            yield f'{name}: no such test'


def is_test(name: str) -> bool:
    """Tell whether a name is that of one test."""
    loader = unittest.TestLoader()
    try:
        suite = loader.loadTestsFromName(name)
    except (TypeError, ValueError):
        return False
    found = [getattr(test, 'id', str)() for test in suite]
    return not loader.errors and found == [name]


def verdict(result: Counted, text: str) -> int:
    """Print the counts and give 0 only if tests ran and none failed.

    Those that are listed may fail, and must: one that passes has been mended,
    and its line would hide the next fault.
    """
    listed = entries(text)
    red = {name for name, _ in listed}
    bad = result.failed()
    wrong = list(unfit(listed))
    wrong += [f'{name}: listed, but passes' for name in red & result.passed]
    for name in sorted(bad & red):
        print(f'known red: {name}')
    for line in sorted(wrong):
        print(f'{KNOWN_RED.name}: {line}')
    failed = len(bad - red)
    print(f'{len(result.passed)} passed, {failed} failed')
    return 0 if result.passed and not failed and not wrong else 1


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
