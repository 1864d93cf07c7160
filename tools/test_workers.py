"""Run tests in a few processes side by side, one class of tests at a time."""

import io
import logging
import multiprocessing
import traceback
import unittest
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed

from tools.test_outcomes import Counted, Outcomes

# The tests of one class.
Unit = Sequence[unittest.TestCase]
# Set by classes whose tests start processes of their own.
_STARTS_PROCESSES = 'starts_processes'
# Each starts up to 30 processes, which wait most of the time.
_MAX_FLEETS = 2
# Set by classes whose tests measure a process, so that nothing runs beside it.
_RUNS_ALONE = 'runs_alone'
# Of a worker process.
_worker_units: list[Unit] = []


def run_all(suite: Iterable[object], jobs: int) -> Iterator[Outcomes]:
    """Run all tests, at the end those that start processes of their own."""
    alone: list[Unit] = []
    fleets: list[Unit] = []
    beside: list[Unit] = []
    for unit in _units_of(suite):
        if getattr(unit[0], _RUNS_ALONE, False):
            alone.extend([test] for test in unit)
        elif getattr(unit[0], _STARTS_PROCESSES, False):
            fleets.extend([test] for test in unit)
        else:
            beside.append(unit)
    yield from run_units(beside, jobs)
    yield from run_units(fleets, min(jobs, _MAX_FLEETS))
    yield from run_units(alone, 1)


def run_units(units: Sequence[Unit], jobs: int) -> Iterator[Outcomes]:
    """Run classes of tests in worker processes; yield each one's outcomes."""
    with ProcessPoolExecutor(
        jobs,
        # Some test classes are made when their module is loaded, and can't be
        # found by name.
        multiprocessing.get_context('fork'),
        _prepare_worker,
        (units,),
    ) as pool:
        waiting = {
            pool.submit(_run_unit, number): unit
            for number, unit in enumerate(units)
        }
        for done in as_completed(waiting):
            yield _outcomes_of(done, [test.id() for test in waiting[done]])


def _units_of(suite: Iterable[object]) -> list[Unit]:
    """Group the tests of a suite by class."""
    units: dict[str, list[unittest.TestCase]] = {}
    for test in _tests_of(suite):
        units.setdefault(test.id().rpartition('.')[0], []).append(test)
    return list(units.values())


def _prepare_worker(units: Sequence[Unit]) -> None:
    """Run tests on the loop of the programs, without logs of requests."""
    from tests.loops import use_loops_of_programs

    use_loops_of_programs()
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    _worker_units.clear()
    _worker_units.extend(units)


def _run_unit(number: int) -> Outcomes:
    return _run_suite(unittest.TestSuite(_worker_units[number]))


def _run_suite(suite: unittest.TestSuite) -> Outcomes:
    # Failures are printed with the outcomes.
    runner = unittest.TextTestRunner(io.StringIO(), resultclass=Counted)
    result = runner.run(suite)
    assert isinstance(result, Counted)
    return result.outcomes()


def _outcomes_of(done: 'Future[Outcomes]', names: Iterable[str]) -> Outcomes:
    """Return the outcomes; all tests failed if their process died."""
    try:
        outcomes = done.result()
    except Exception as exc:
        text = ''.join(traceback.format_exception(exc))
        return Outcomes(failures={name: [text] for name in names})
    for name in set(names) - outcomes.durations_s.keys():
        outcomes.failures.setdefault(name, ['was not run'])
    return outcomes


def _tests_of(suite: Iterable[object]) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _tests_of(test)
        elif isinstance(test, unittest.TestCase):
            yield test
