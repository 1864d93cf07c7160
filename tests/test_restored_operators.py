"""What operators wrote stays in force when the store comes back from a copy.

Guards against a configuration, a named version or an evacuation that goes back
because the copy is older, and against older versions that are allowed anew
because a version's record was written again.
"""

import asyncio
import unittest
from random import Random

from linnetwood.calls.routetable import RouteTable
from linnetwood.fleet.freshness import bounds_for
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    Record,
    Snapshot,
)
from linnetwood.fleet.revisions import join
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab import virtual
from linnetwood.platform.feeds import OperatorFeed
from tests.clocks import ManualClock
from tests.test_following import ScriptedStore
from tests.test_junk import record_of

BOUND_S = 8.0
VERSION_KEY = 'op/version/m'
EVACUATED = 'op/evacuate/z1'


def named(version: int, era: int, number: int) -> Record:
    """Return the record of a named version."""
    payload = record_of({'model': 'm', 'version': version}).payload
    return Record(payload, join(era, number))


class OperatorsTest(unittest.TestCase):
    """Apply records of operators from two histories."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.wanted = WantedVersions(BOUND_S)
        self.evacuated: frozenset[str] = frozenset()
        self.feed = OperatorFeed(
            self._adopt,
            self.wanted,
            self.clock,
            self._changed,
            evacuate=self._evacuate,
        )

    def restore(self, **found: Record) -> None:
        """Apply a snapshot of the second history."""
        copy = {key.replace('__', '/'): one for key, one in found.items()}
        self.feed.replace_all(Snapshot(copy, join(2, 9), is_restored=True))

    def test_a_named_version_does_not_go_back(self) -> None:
        """The copy names an older one, or none."""
        self.feed.replace_all(Snapshot({VERSION_KEY: named(2, 1, 5)}, 5))
        self.feed.apply_changes((Change(VERSION_KEY, named(3, 1, 8)),))
        self.restore(op__version__m=named(2, 2, 5))
        self.assertEqual(self.wanted.newest('m'), 3)
        self.restore()
        self.assertEqual(self.wanted.newest('m'), 3)

    def test_a_bound_does_not_begin_anew(self) -> None:
        """Neither by the copy nor by the record that is written again."""
        for seen in (True, False):
            with self.subTest(seen=seen):
                self.setUp()
                first = Snapshot({}, join(1, 1))
                if not seen:
                    first = Snapshot({VERSION_KEY: named(2, 1, 5)}, join(1, 5))
                self.feed.replace_all(first)
                if seen:
                    change = Change(VERSION_KEY, named(2, 1, 5))
                    self.feed.apply_changes((change,))
                before = self.wanted.cutoff('m', 2)
                self.clock.at += BOUND_S / 2
                self.restore(op__version__m=named(2, 2, 5))
                self.assertEqual(self.wanted.cutoff('m', 2), before)
                self.restore()
                change = Change(VERSION_KEY, named(2, 2, 7))
                self.feed.apply_changes((change,))
                self.assertEqual(self.wanted.cutoff('m', 2), before)

    def test_an_evacuation_that_the_copy_lacks(self) -> None:
        """It holds until operators write again, and so does its end."""
        evacuation = record_of({})
        self.feed.replace_all(Snapshot({}, join(1, 1)))
        self.feed.apply_changes((Change(EVACUATED, evacuation),))
        self.restore()
        self.assertEqual(self.evacuated, {'z1'})
        self.feed.apply_changes((Change(EVACUATED, None),))
        self.assertEqual(self.evacuated, set())
        self.restore(op__evacuate__z1=evacuation)
        self.assertEqual(self.evacuated, set())
        self.feed.apply_changes((Change(EVACUATED, evacuation),))
        self.assertEqual(self.evacuated, {'z1'})

    def test_an_entry_that_starts_takes_what_it_reads(self) -> None:
        """It knows of nothing that was in force before."""
        self.restore(op__evacuate__z1=record_of({}))
        self.assertEqual(self.evacuated, {'z1'})

    def _adopt(self, route_table: RouteTable) -> None:
        """Ignore configurations."""

    def _changed(self) -> None:
        """Ignore changes."""

    def _evacuate(self, zones: frozenset[str]) -> None:
        self.evacuated = zones


class AgesSink:
    """A sink that keeps the ages of the last snapshot."""

    def __init__(self) -> None:
        self.found = Snapshot({}, 0)

    def replace_all(self, found: Snapshot) -> None:
        self.found = found

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Ignore changes."""

    def mark_unreachable(self) -> None:
        """Ignore outages."""


class AgesTest(unittest.TestCase):
    """A record that the copy holds is as old as it was."""

    def test_ages_of_records_that_are_read_again(self) -> None:
        """One whose change was seen keeps its age, a new one has none."""

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            old = Record(b'old', join(1, 5))
            written = Change('written', Record(b'written', join(1, 6)))
            copy = {
                'old': Record(b'old', join(2, 5)),
                'written': Record(b'written', join(2, 6)),
                'new': Record(b'new', join(2, 7)),
            }
            store = ScriptedStore(
                Snapshot({'old': old}, join(1, 5)),
                Changes((written,), join(1, 6)),
            )
            sink = AgesSink()
            follower = RangeFollower(store, '', sink, Random(1), bounds_for(2))
            follower.start()
            while len(store.requests) < 2:
                await asyncio.sleep(0.01)
            seen_at = loop.time()
            await asyncio.sleep(4)
            store.steps += [
                HistoryLostError('store-history-lost', '', 2),
                Snapshot(copy, join(2, 8)),
            ]
            await follower.close()
            follower.start()
            while not sink.found.is_restored:
                await asyncio.sleep(0.01)
            ages = sink.found.ages
            self.assertEqual(set(ages), {'written'})
            self.assertAlmostEqual(
                ages['written'], loop.time() - seen_at, delta=0.5
            )
            await follower.close()

        virtual.run(scenario())


if __name__ == '__main__':
    unittest.main()
