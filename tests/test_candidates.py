"""Which engines an entry hears, how many hear each, and where calls go then.

Load pattern: many entries before many engines, calm or with one zone's engines
full. Everything here is worked out; nothing runs.
"""

import unittest
from collections import Counter
from random import Random

from linnetwood.calls.candidates import (
    MAX_SAME_ZONE,
    MIN_SUBSCRIBED,
    select_hosts,
)
from linnetwood.calls.choice import Chooser, Requirements
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.entrycount import ASSUMED_ENTRIES, EntryCount
from linnetwood.fleet.members import hash64
from tests.test_directory import FIGURES, POOL, report

SIZES = ((7, 6, 3), (40, 23, 3), (98, 60, 5), (98, 102, 5), (410, 600, 10))


def placed(prefix: str, count: int, zones: int) -> dict[str, str]:
    """Spread hosts evenly over zones."""
    return {f'{prefix}{one}': f'z{one % zones}' for one in range(count)}


def drawn(size: tuple[int, int, int]) -> dict[str, dict[str, float]]:
    """Give what each entry of a fleet hears."""
    entries, engines, zones = size
    places = placed('e', engines, zones)
    return {
        me: select_hosts(me, zone, places)
        for me, zone in placed('a', entries, zones).items()
    }


class DrawTest(unittest.TestCase):
    """Draw for whole fleets."""

    def test_nobody_hears_more_than_a_bounded_number(self) -> None:
        """All of a small fleet are heard, and few of a large one."""
        for size in SIZES:
            with self.subTest(size=size):
                most = max(len(one) for one in drawn(size).values())
                self.assertLessEqual(most, MAX_SAME_ZONE + MIN_SUBSCRIBED)
                self.assertGreaterEqual(most, min(size[1], MIN_SUBSCRIBED))

    def test_each_engine_is_heard_by_about_as_many(self) -> None:
        """Engines are heard by a quarter of the mean to twice the mean."""
        for size in SIZES:
            with self.subTest(size=size):
                heard = Counter(
                    host for one in drawn(size).values() for host in one
                )
                mean = heard.total() / size[1]
                self.assertEqual(len(heard), size[1])
                self.assertLess(max(heard.values()), 2 * mean)
                self.assertGreater(min(heard.values()), mean / 4)

    def test_what_greetings_stand_for(self) -> None:
        """Over the engines of a zone the mean is the number of entries."""
        for size in SIZES[:-1]:
            found = drawn(size)
            for zone in range(size[2]):
                hosts = [
                    host
                    for host, place in placed('e', size[1], size[2]).items()
                    if place == f'z{zone}'
                ]
                told = [
                    sum(one.get(host, 0) for one in found.values())
                    for host in hosts
                ]
                with self.subTest(size=size, zone=zone):
                    self.assertAlmostEqual(sum(told) / len(told), size[0])

    def test_every_zone_is_heard(self) -> None:
        """None is left out by chance while there is room for all."""
        places = placed('e', 60, 5)
        for me, one in drawn((98, 60, 5)).items():
            with self.subTest(me=me):
                self.assertEqual(len({places[host] for host in one}), 5)

    def test_few_draw_anew_when_an_engine_comes(self) -> None:
        """One more engine changes one place of a draw at most."""
        before = placed('e', 60, 5)
        after = {**before, 'new': 'z0'}
        for me, zone in placed('a', 98, 5).items():
            gone = set(select_hosts(me, zone, before)) - set(
                select_hosts(me, zone, after)
            )
            self.assertLessEqual(len(gone), 1)

    def test_a_zone_without_engines(self) -> None:
        """Its entries draw alike, so that some engine hears all of them."""
        places = {'e1': 'z1', 'e2': 'z2'}
        found = {
            tuple(select_hosts(me, 'z3', places)) for me in ('a1', 'a2', 'a3')
        }
        self.assertEqual(len(found), 1)

    def test_nobody_there(self) -> None:
        """Where there are no engines none is heard."""
        self.assertEqual(select_hosts('a', 'z1', {}), {})


class WhereCallsGoTest(unittest.TestCase):
    """Let entries that hear a part send calls to engines that queue."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.places = placed('e', 60, 5)
        for host, zone in self.places.items():
            self.directory.update(
                Endpoint(
                    host,
                    POOL.name,
                    host,
                    80,
                    zone,
                    8,
                    ready=True,
                    versions={'m': 1},
                ),
            )
        self.running: Counter[str] = Counter()

    def chooser(self, me: str, zone: str) -> Chooser:
        """Give what an entry chooses by: true reports of what it hears."""
        chooser = Chooser(self.directory, Random(me))
        heard = select_hosts(me, zone, self.places)
        chooser.candidates.prefer_hosts(heard)
        for host in heard:
            count = self.running[host]
            running = min(count, FIGURES.slots)
            chooser.stats_of(host).record_report(
                report(count - running, running, 10)
            )
        return chooser

    def send(self, calls: int, zones: int) -> None:
        """Let the entries of some zones send calls in turn, none ending."""
        entries = [
            (me, zone)
            for me, zone in placed('a', 98, 5).items()
            if int(zone[1:]) < zones
        ]
        for number in range(calls):
            me, zone = entries[number % len(entries)]
            requirements = Requirements(
                POOL,
                zone,
                900,
                'm',
                acceptable_wait_s=0.4,
                sample_number=hash64(str(number)),
            )
            choice = self.chooser(me, zone).choose(requirements, (), 10)
            assert choice is not None
            self.running[choice.endpoint.endpoint_id] += 1

    def test_even_load(self) -> None:
        """Five calls an engine on all sides: none has over three more."""
        self.send(300, 5)
        self.assertLessEqual(max(self.running.values()), 8)

    def test_one_zone_is_pressed(self) -> None:
        """What its own engines can not take fills others but for 10 in 100."""
        self.send(960, 1)
        far = [
            self.running[host]
            for host, zone in self.places.items()
            if zone != 'z0'
        ]
        mean = sum(far) / len(far)
        unused = sum(max(0, mean - one) for one in far)
        self.assertLess(unused, 0.1 * sum(far))
        self.assertLess(max(far), 1.3 * mean)

    def test_the_rest_where_none_heard_will_do(self) -> None:
        """An engine that is not heard takes the call that no other can."""
        chooser = self.chooser('a0', 'z0')
        heard = select_hosts('a0', 'z0', self.places)
        requirements = Requirements(POOL, 'z0', 900, 'm')
        choice = chooser.choose(requirements, tuple(heard), 10)
        assert choice is not None
        self.assertNotIn(choice.endpoint.endpoint_id, heard)
        everyone = tuple(self.places)
        self.assertIsNone(chooser.choose(requirements, everyone, 10))

    def test_an_engine_that_comes_or_drains_is_seen_at_once(self) -> None:
        """What was worked out of an older list is not used."""
        chooser = self.chooser('a0', 'z0')
        requirements = Requirements(POOL, 'z0', 900, 'm')
        heard = tuple(select_hosts('a0', 'z0', self.places))
        chooser.choose(requirements, (), 10)
        for host in heard:
            self.directory.update(
                Endpoint(host, POOL.name, host, 80, 'z0', 8, ready=False),
            )
        choice = chooser.choose(requirements, (), 10)
        assert choice is not None
        self.assertNotIn(choice.endpoint.endpoint_id, heard)


class EntryCountTest(unittest.TestCase):
    """Share a budget among as many as there are."""

    def test_counts(self) -> None:
        """The own zone's are averaged; others' only where there are none."""
        count = EntryCount()
        self.assertEqual(count.entries, ASSUMED_ENTRIES)
        self.assertFalse(count.update(0))
        steps = (
            ('e1', 60, 0.0, False, 60),
            ('e2', 140, 0.0, False, 100),
            ('e3', 98, 1.0, True, 98),
            ('e4', 0, 1.0, True, 98),
            ('e5', 100, 1.0, True, 99),
        )
        for host, entries, now, near, expected in steps:
            with self.subTest(host=host):
                count.record(host, entries, now, same_zone=near)
                count.update(now)
                self.assertEqual(count.entries, expected)

    def test_who_says_no_more_counts_no_more(self) -> None:
        """The last count stays where nobody is left to tell."""
        count = EntryCount()
        count.record('e1', 50, 0, same_zone=True)
        count.record('e2', 70, 3, same_zone=True)
        self.assertTrue(count.update(3))
        self.assertEqual(count.entries, 60)
        count.update(5)
        self.assertEqual(count.entries, 70)
        self.assertFalse(count.update(9))
        self.assertEqual(count.entries, 70)


if __name__ == '__main__':
    unittest.main()
