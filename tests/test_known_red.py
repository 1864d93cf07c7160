"""The verdict on a run with tests that are listed as known failures."""

import contextlib
import io
import os
import unittest
from collections.abc import Callable

from tools.known_red import verdict
from tools.test_outcomes import Counted, Outcomes
from tools.test_workers import run_units

# Listed tests must exist; none of them is run here.
HERE = 'tests.test_known_red.VerdictTest'
SAMPLE = 'tests.test_known_red.Sample'
FIELDS = 'make test, seed 1; it fails; issue 1'
TRACE_LINE = 'AssertionError: nothing'
AT_TIMES = f'at times; make test, seed 1; 2 of 9 runs; {TRACE_LINE}; issue 1'


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


def _fails_in_another_way(test: _FakeTest) -> None:
    test.fail('nothing else')


def _fails_as_listed(test: _FakeTest) -> None:
    test.fail('nothing')


def _fails_in_both_ways(test: _FakeTest) -> None:
    for fails in (_fails_as_listed, _fails_in_another_way):
        with test.subTest(fails=fails):
            fails(test)


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
            code = verdict(result.outcomes(), text)
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

    def test_fails_at_times(self) -> None:
        """A test listed so may pass, and fail with the line of its trace."""
        text = line('test_passes', AT_TIMES)
        for action in (_passes, _fails_as_listed, _is_skipped):
            with self.subTest(action=action):
                code, output = self.run_with(text, test_passes=action)
                self.assertEqual(code, 0)
                is_printed = 'known red at times: ' in output
                self.assertEqual(is_printed, action is _fails_as_listed)

    def test_fails_in_another_way(self) -> None:
        """Guard against a line that hides faults that it does not describe."""
        text = line('test_passes', AT_TIMES)
        for action in (_fails, _fails_in_another_way, _fails_in_both_ways):
            with self.subTest(action=action):
                code, output = self.run_with(text, test_passes=action)
                self.assertEqual(code, 1)
                self.assertIn('1 passed, 1 failed', output)

    def test_a_line_at_times_says_enough(self) -> None:
        """Also what the trace says, which is not the head of all traces."""
        for fields in (
            f'at times; {FIELDS}',
            AT_TIMES.replace(TRACE_LINE, ''),
            AT_TIMES.replace(TRACE_LINE, 'Traceback (most recent call last):'),
        ):
            with self.subTest(fields=fields):
                text = line('test_passes', fields)
                code, output = self.run_with(text, test_passes=_fails)
                self.assertEqual(code, 1)
                self.assertIn('1 passed, 1 failed', output)


class WorkersTest(unittest.TestCase):
    """Outcomes of other processes count like those of this one."""

    def test_outcomes_of_workers(self) -> None:
        """Failures come whole, and tests of a lost process have failed."""
        outcomes = Outcomes()
        units = [[Sample(name)] for name in ('passes', 'fails', 'is_skipped')]
        for part in run_units(units, 2):
            outcomes.add(part)
        for part in run_units([[Sample('ends_its_process')]], 1):
            outcomes.add(part)
        self.assertEqual(outcomes.passed, {f'{SAMPLE}.passes'})
        self.assertEqual(outcomes.skipped, {f'{SAMPLE}.is_skipped'})
        self.assertEqual(
            outcomes.failures.keys(),
            {f'{SAMPLE}.fails', f'{SAMPLE}.ends_its_process'},
        )
        texts = outcomes.failures[f'{SAMPLE}.fails']
        self.assertIn('AssertionError: seen by workers', texts[0])


class Sample(unittest.TestCase):
    """What workers are given; no name here is that of a test."""

    def passes(self) -> None:
        """Pass."""

    def fails(self) -> None:
        """Fail."""
        self.fail('seen by workers')

    def is_skipped(self) -> None:
        """Skip."""
        self.skipTest('not here')

    def ends_its_process(self) -> None:
        """End the process at once."""
        os._exit(1)


if __name__ == '__main__':
    unittest.main()
