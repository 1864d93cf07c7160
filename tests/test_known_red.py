"""The verdict on a run with tests that are listed as known failures."""

import contextlib
import io
import unittest
from collections.abc import Callable

from tools.run_tests import Counted, verdict

# Listed tests must exist; none of them is run here.
HERE = 'tests.test_known_red.VerdictTest'
FIELDS = 'make test, seed 1; it fails; issue 1'


def line(name: str, fields: str = FIELDS) -> str:
    """Return a line of the list."""
    return f'{HERE}.{name}: {fields}\n'


class _FakeTest(unittest.TestCase):
    """A test with the name of another, which runs a given action."""

    def __init__(
        self, name: str, action: Callable[['_FakeTest'], None]
    ) -> None:
        super().__init__('run_action')
        self._name = f'{HERE}.{name}'
        self._action = action

    def id(self) -> str:
        return self._name

    def run_action(self) -> None:
        """Run the action."""
        self._action(self)


def _passes(test: _FakeTest) -> None:
    test.assertTrue(expr=True)


def _fails(test: _FakeTest) -> None:
    test.fail()


def _fails_in_parts(test: _FakeTest) -> None:
    for part in range(3):
        with test.subTest(part=part):
            test.fail()


def _is_skipped(test: _FakeTest) -> None:
    test.skipTest('not here')


class VerdictTest(unittest.TestCase):
    """Listed failures are ignored, and no others."""

    def run_with(
        self,
        text: str,
        **tests: Callable[[_FakeTest], None],
    ) -> tuple[int, str]:
        """Run tests and one that passes; return the verdict and its output."""
        suite = unittest.TestSuite([_FakeTest('test_other', _passes)])
        for name, action in tests.items():
            suite.addTest(_FakeTest(name, action))
        runner = unittest.TextTestRunner(io.StringIO(), resultclass=Counted)
        result = runner.run(suite)
        assert isinstance(result, Counted)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = verdict(result, text)
        return code, output.getvalue()

    def test_nothing_is_listed(self) -> None:
        """Without a list, a run passes if no test fails."""
        code, output = self.run_with('')
        self.assertEqual((code, output), (0, '1 passed, 0 failed\n'))
        code, output = self.run_with('', test_passes=_fails)
        self.assertEqual((code, output), (1, '1 passed, 1 failed\n'))

    def test_what_is_listed_may_fail(self) -> None:
        """It is printed, also if several of its subtests fail."""
        for fails in (_fails, _fails_in_parts):
            code, output = self.run_with(
                line('test_passes'),
                test_passes=fails,
            )
            self.assertEqual(code, 0)
            self.assertIn(f'known red: {HERE}.test_passes\n', output)
            self.assertIn('1 passed, 0 failed', output)

    def test_many_may_be_listed(self) -> None:
        """Guard against a limit that makes people leave out known faults."""
        names = unittest.TestLoader().getTestCaseNames(VerdictTest)
        self.assertGreater(len(names), 3)
        listed = ''.join(line(name) for name in names)
        tests = dict.fromkeys(names, _fails)
        self.assertEqual(self.run_with(listed, **tests)[0], 0)

    def test_others_may_not_fail(self) -> None:
        """Nor may a test whose name starts with a listed name."""
        code, _ = self.run_with(line('test_passes'), test_passes_too=_fails)
        self.assertEqual(code, 1)

    def test_passes(self) -> None:
        """A line whose test passes would hide the next fault."""
        code, output = self.run_with(line('test_passes'), test_passes=_passes)
        self.assertEqual(code, 1)
        self.assertIn('listed, but passes', output)

    def test_what_did_not_run_may_stay(self) -> None:
        """A run that leaves out or skips a test says nothing about it."""
        self.assertEqual(self.run_with(line('test_passes'))[0], 0)
        code, _ = self.run_with(line('test_passes'), test_passes=_is_skipped)
        self.assertEqual(code, 0)

    def test_a_line_names_one_test(self) -> None:
        """Not a class or a module, not a missing test, and none twice."""
        for text in (
            line('test_gone'),
            f'tests.test_gone.GoneTest.test_gone: {FIELDS}\n',
            f'{HERE}: {FIELDS}\n',
            f'tests.test_known_red: {FIELDS}\n',
            f'tests.test_known_red.line: {FIELDS}\n',
            f': {FIELDS}\n',
            line('test_passes') * 2,
        ):
            with self.subTest(text=text):
                code, output = self.run_with(text)
                self.assertEqual(code, 1)
                self.assertIn('KNOWN-RED.txt: ', output)

    def test_a_line_says_enough(self) -> None:
        """What to run, what was seen, and the issue."""
        for fields in ('', 'make test', 'make test; it fails', 'a; ; issue 1'):
            with self.subTest(fields=fields):
                code, _ = self.run_with(line('test_passes', fields))
                self.assertEqual(code, 1)


if __name__ == '__main__':
    unittest.main()
