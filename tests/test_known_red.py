"""What a run says of tests that are listed as failing for a known fault."""

import contextlib
import io
import unittest
from collections.abc import Callable

from tools.run_tests import Counted, verdict

# Tests to list have to exist; none of them is run here.
HERE = 'tests.test_known_red.VerdictTest'
TOLD = 'make test, seed 1; it fails; issue 1'


def line(name: str, told: str = TOLD) -> str:
    """Give a line of the list."""
    return f'{HERE}.{name}: {told}\n'


class _Played(unittest.TestCase):
    """A test under the name of another, which does as it is told."""

    def __init__(self, name: str, does: Callable[['_Played'], None]) -> None:
        super().__init__('play')
        self._name = f'{HERE}.{name}'
        self._does = does

    def id(self) -> str:
        return self._name

    def play(self) -> None:
        self._does(self)


def _passes(test: _Played) -> None:
    test.assertTrue(expr=True)


def _fails(test: _Played) -> None:
    test.fail()


def _fails_in_parts(test: _Played) -> None:
    for part in range(3):
        with test.subTest(part=part):
            test.fail()


def _is_skipped(test: _Played) -> None:
    test.skipTest('not here')


class VerdictTest(unittest.TestCase):
    """A run passes over what is listed, and over nothing else."""

    def run_with(
        self,
        text: str,
        **tests: Callable[[_Played], None],
    ) -> tuple[int, str]:
        """Run tests beside one that passes; give the verdict and its words."""
        suite = unittest.TestSuite([_Played('test_other', _passes)])
        for name, does in tests.items():
            suite.addTest(_Played(name, does))
        runner = unittest.TextTestRunner(io.StringIO(), resultclass=Counted)
        result = runner.run(suite)
        assert isinstance(result, Counted)
        words = io.StringIO()
        with contextlib.redirect_stdout(words):
            given = verdict(result, text)
        return given, words.getvalue()

    def test_nothing_is_listed(self) -> None:
        """Then a run passes where no test fails."""
        given, words = self.run_with('')
        self.assertEqual((given, words), (0, '1 passed, 0 failed\n'))
        given, words = self.run_with('', test_passes=_fails)
        self.assertEqual((given, words), (1, '1 passed, 1 failed\n'))

    def test_what_is_listed_may_fail(self) -> None:
        """It is printed, also where it fails in several of its parts."""
        for fails in (_fails, _fails_in_parts):
            given, words = self.run_with(
                line('test_passes'),
                test_passes=fails,
            )
            self.assertEqual(given, 0)
            self.assertIn(f'known red: {HERE}.test_passes\n', words)
            self.assertIn('1 passed, 0 failed', words)

    def test_many_may_be_listed(self) -> None:
        """Nothing is gained by leaving out a fault that is known."""
        names = unittest.TestLoader().getTestCaseNames(VerdictTest)
        self.assertGreater(len(names), 3)
        listed = ''.join(line(name) for name in names)
        tests = dict.fromkeys(names, _fails)
        self.assertEqual(self.run_with(listed, **tests)[0], 0)

    def test_others_may_not_fail(self) -> None:
        """Nor may a test whose name begins as one that is listed."""
        given, _ = self.run_with(line('test_passes'), test_passes_too=_fails)
        self.assertEqual(given, 1)

    def test_passes(self) -> None:
        """A line whose test passes would hide the next fault."""
        given, words = self.run_with(line('test_passes'), test_passes=_passes)
        self.assertEqual(given, 1)
        self.assertIn('listed, but passes', words)

    def test_what_did_not_run_may_stay(self) -> None:
        """A run of other tests, or one that skips it, tells nothing of it."""
        self.assertEqual(self.run_with(line('test_passes'))[0], 0)
        given, _ = self.run_with(line('test_passes'), test_passes=_is_skipped)
        self.assertEqual(given, 0)

    def test_a_line_names_one_test(self) -> None:
        """No class, no module, nothing that isn't there, nothing twice."""
        for text in (
            line('test_gone'),
            f'tests.test_gone.GoneTest.test_gone: {TOLD}\n',
            f'{HERE}: {TOLD}\n',
            f'tests.test_known_red: {TOLD}\n',
            f'tests.test_known_red.line: {TOLD}\n',
            f': {TOLD}\n',
            line('test_passes') * 2,
        ):
            with self.subTest(text=text):
                given, words = self.run_with(text)
                self.assertEqual(given, 1)
                self.assertIn('KNOWN-RED.txt: ', words)

    def test_a_line_says_enough(self) -> None:
        """What to run, what was seen, and where it is told."""
        for told in ('', 'make test', 'make test; it fails', 'a; ; issue 1'):
            with self.subTest(told=told):
                given, _ = self.run_with(line('test_passes', told))
                self.assertEqual(given, 1)


if __name__ == '__main__':
    unittest.main()
