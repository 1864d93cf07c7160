"""Run tests side by side and end with the counts of the real result."""

import pathlib
import sys
import time
import unittest

import defopt
from hypothesis import HealthCheck, settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
_JOBS = 3
_SEPARATOR = '=' * 70


def main(*names: str, jobs: int = _JOBS, durations: int = 0) -> None:
    """Run the named tests, or all of them.

    :param names: Modules, classes or tests, as `tests.module.Class.test`.
    :param jobs: The number of processes that run tests.
    :param durations: The number of slowest tests to print.
    """
    sys.path.insert(0, str(ROOT))
    from tools import known_red, test_outcomes, test_workers

    _leave_drawing_untimed()
    began = time.monotonic()
    outcomes = test_outcomes.Outcomes()
    for part in test_workers.run_all(_suite(names), jobs):
        for failure in part.failure_texts():
            print(_SEPARATOR, failure, sep='\n', flush=True)
        outcomes.add(part)
    for line in outcomes.slowest(durations):
        print(line)
    took_s = time.monotonic() - began
    skipped = len(outcomes.skipped)
    print(
        f'{len(outcomes.durations_s)} run in {took_s:.0f} s, {skipped} skipped'
    )
    listed = known_red.KNOWN_RED
    text = listed.read_text() if listed.exists() else ''
    sys.exit(known_red.verdict(outcomes, text))


def _leave_drawing_untimed() -> None:
    """Let no time limit decide drawn tests, however busy the machine is."""
    settings.register_profile(
        'untimed', deadline=None, suppress_health_check=[HealthCheck.too_slow]
    )
    settings.load_profile('untimed')


def _suite(names: tuple[str, ...]) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))


if __name__ == '__main__':
    defopt.run(main)
