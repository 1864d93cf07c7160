"""Collect how tests ended, also in other processes."""

import dataclasses
import heapq
import time
import unittest
from collections import defaultdict
from collections.abc import Iterator
from operator import itemgetter
from typing import Any


@dataclasses.dataclass(slots=True)
class Outcomes:
    """How tests ended, by name; durations in seconds."""

    passed: set[str] = dataclasses.field(default_factory=set)
    # The whole texts of their failures; one with failed subtests has several.
    failures: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    skipped: set[str] = dataclasses.field(default_factory=set)
    durations_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, other: 'Outcomes') -> None:
        """Add the outcomes of other tests."""
        self.passed |= other.passed
        self.failures |= other.failures
        self.skipped |= other.skipped
        self.durations_s |= other.durations_s

    def failure_texts(self) -> Iterator[str]:
        """Yield each failure with its whole text."""
        for name, texts in self.failures.items():
            for text in texts:
                yield f'FAIL: {name}\n{text}'

    def slowest(self, count: int) -> Iterator[str]:
        """Yield a line for each of the slowest tests and classes."""
        by_class: defaultdict[str, float] = defaultdict(float)
        for name, took_s in self.durations_s.items():
            by_class[name.rpartition('.')[0]] += took_s
        for durations_s in (self.durations_s, by_class):
            longest = heapq.nlargest(
                count, durations_s.items(), key=itemgetter(1)
            )
            for name, took_s in longest:
                yield f'{took_s:8.2f} s  {name}'


class Counted(unittest.TextTestResult):
    """Record how each test ended, and how long it took."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Start without tests."""
        super().__init__(*args, **options)
        self._outcomes = Outcomes()
        self._began = float()

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Start to time a test."""
        super().startTest(test)
        self._began = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record how long a test took."""
        super().stopTest(test)
        self._outcomes.durations_s[test.id()] = time.monotonic() - self._began

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record a test that passed."""
        super().addSuccess(test)
        self._outcomes.passed.add(test.id())

    def addSkip(  # noqa: N802
        self, test: unittest.TestCase, reason: str
    ) -> None:
        """Record a test that was skipped."""
        super().addSkip(test, reason)
        self._outcomes.skipped.add(test.id())

    def outcomes(self) -> Outcomes:
        """Return how the tests ended that have run so far."""
        found = self._outcomes
        found.failures = {}
        for test, text in self.failures + self.errors:
            found.failures.setdefault(_name_of(test), []).append(text)
        for test in self.unexpectedSuccesses:
            found.failures.setdefault(test.id(), []).append('passes')
        return found


def _name_of(test: unittest.TestCase) -> str:
    """Return the name of a test, also for a subtest."""
    return str(getattr(test, 'test_case', test).id())
