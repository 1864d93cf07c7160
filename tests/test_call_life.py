"""The life of one call: it ends whole, truthfully refused, or excused.

All short scripts of two endpoints are tried, and seeded draws of anything that
may happen to a call. LIFE_SEEDS=FIRST:LAST tries other seeds.
"""

import itertools
import os
import unittest
from collections.abc import Callable, Iterable

from tests.call_life import (
    BEGUN_LATE,
    CUT,
    DROPPED,
    LOOKS_WHOLE,
    SEVERAL,
    TOLD_AS_LOST,
    WITHDRAWN,
    World,
    faults_of,
)
from tests.call_worlds import (
    Draw,
    late_worlds,
    resumed_worlds,
    short_worlds,
)
from tests.scripted_endpoints import COUNT, Act, Reply

_FIRST, _, _LAST = os.environ.get('LIFE_SEEDS', '0:2000').partition(':')
_MAX_SHOWN = 3
# The laws that have tests of their own.
_OWN_TESTS = frozenset((BEGUN_LATE, CUT, LOOKS_WHOLE, TOLD_AS_LOST, WITHDRAWN))


def _drawn_worlds() -> Iterable[World]:
    for seed in range(int(_FIRST), int(_LAST)):
        yield Draw(seed).world()


def _crashes_at_its_end(world: World) -> bool:
    """Return whether an answer may seem whole as its endpoint crashes."""
    return any(
        script.reply is Reply.UNFRAMED
        and any(step.act is Act.CRASH for step in script.steps)
        for script in world.scripts
    )


def _is_dropped_end(world: World, fault: str) -> bool:
    """Return whether an end was not taken, also where others go on instead."""
    return fault == DROPPED or (
        fault == SEVERAL and world.resume_after == COUNT
    )


class CallLifeTest(unittest.TestCase):
    """Run in virtual time; each world is tried once for all tests."""

    faults: list[tuple[World, str]]

    @classmethod
    def setUpClass(cls) -> None:
        """Try all worlds."""
        cls.faults = []
        for world in itertools.chain(
            short_worlds(),
            late_worlds(),
            resumed_worlds(),
            _drawn_worlds(),
        ):
            cls.faults += [(world, fault) for fault in faults_of(world)]

    def assert_none(self, applies: Callable[[World, str], bool]) -> None:
        """Assert that no world has a fault of a kind."""
        found = [one for one in self.faults if applies(*one)]
        self.assertFalse(found[:_MAX_SHOWN], f'{len(found)} in all')

    def test_no_sound_stream_is_cut(self) -> None:
        """Guard against a silence that is taken for an end."""
        self.assert_none(
            lambda world, fault: (
                fault == CUT
                and world.streams
                and not _crashes_at_its_end(world)
            )
        )

    def test_no_stream_is_cut_for_one_that_crashed(self) -> None:
        """Guard against an end that seems whole and ends a sound attempt."""
        self.assert_none(
            lambda world, fault: (
                fault == CUT and world.streams and _crashes_at_its_end(world)
            )
        )

    def test_no_answer_is_withdrawn_once_it_has_begun(self) -> None:
        """Guard against a version's bound that cuts an answer on its way."""
        self.assert_none(lambda _, fault: fault == WITHDRAWN)

    def test_no_truncated_answer_looks_whole(self) -> None:
        """Guard against an answer that ends early without a sign."""
        self.assert_none(lambda _, fault: fault == LOOKS_WHOLE)

    def test_no_answer_begins_after_the_bound_of_its_version(self) -> None:
        """Guard against a version that is named while a call is silent."""
        self.assert_none(lambda _, fault: fault == BEGUN_LATE)

    def test_no_late_call_is_told_as_lost(self) -> None:
        """Guard against 502 in place of 504 where the time was over."""
        self.assert_none(lambda _, fault: fault == TOLD_AS_LOST)

    def test_no_whole_answer_is_dropped(self) -> None:
        """Guard against 502 for a caller that lost only the end of a stream."""
        self.assert_none(_is_dropped_end)

    def test_all_other_laws_hold(self) -> None:
        """Guard against mixed events, two runs, false refusals and leaks."""
        self.assert_none(
            lambda world, fault: (
                fault not in _OWN_TESTS and not _is_dropped_end(world, fault)
            ),
        )


if __name__ == '__main__':
    unittest.main()
