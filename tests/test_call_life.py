"""The life of one call: it ends whole, truthfully refused, or excused.

All short scripts of two endpoints are tried, and seeded draws of anything that
may happen to a call. LIFE_SEEDS=FIRST:LAST tries other seeds.
"""

import itertools
import os
import unittest
from collections.abc import Callable, Iterable

from tests.call_life import CUT, LOOKS_WHOLE, World, faults_of
from tests.call_worlds import Draw, short_worlds
from tests.scripted_endpoints import Act, Reply

_FIRST, _, _LAST = os.environ.get('LIFE_SEEDS', '0:2000').partition(':')
_MAX_SHOWN = 3


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


class CallLifeTest(unittest.TestCase):
    """Run in virtual time; each world is tried once for all tests."""

    faults: list[tuple[World, str]]

    @classmethod
    def setUpClass(cls) -> None:
        """Try all worlds."""
        cls.faults = []
        for world in itertools.chain(short_worlds(), _drawn_worlds()):
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
        self.assert_none(
            lambda world, fault: fault == CUT and not world.streams
        )

    def test_no_truncated_answer_looks_whole(self) -> None:
        """Guard against an answer that ends early without a sign."""
        self.assert_none(lambda _, fault: fault == LOOKS_WHOLE)

    def test_all_other_laws_hold(self) -> None:
        """Guard against mixed events, two runs, false refusals and leaks."""
        self.assert_none(
            lambda _, fault: fault not in {CUT, LOOKS_WHOLE},
        )


if __name__ == '__main__':
    unittest.main()
