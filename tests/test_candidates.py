"""Which engines an entry subscribes to, and how calls spread over engines.

Load pattern: many entries and many engines, under even load or with the engines
of one zone full. Everything is computed; no process runs.
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
from tests.test_directory import POOL, PROFILE, report

SIZES = ((7, 6, 3), (40, 23, 3), (98, 60, 5), (98, 102, 5), (410, 600, 10))


def zones_by_host(prefix: str, count: int, zones: int) -> dict[str, str]:
    """Spread hosts evenly over zones."""
    return {
        f'{prefix}{number}': f'z{number % zones}' for number in range(count)
    }


def subscriptions(size: tuple[int, int, int]) -> dict[str, dict[str, float]]:
    """Return the hosts that each entry of a fleet subscribes to."""
    entries, engines, zones = size
    places = zones_by_host('e', engines, zones)
    return {
        entry: select_hosts(entry, zone, places)
        for entry, zone in zones_by_host('a', entries, zones).items()
    }


class SelectHostsTest(unittest.TestCase):
    """Select hosts for whole fleets."""

    def test_subscriptions_of_an_entry_are_bounded(self) -> None:
        """An entry subscribes to all of a small fleet, few of a large one."""
        for size in SIZES:
            with self.subTest(size=size):
                most = max(len(hosts) for hosts in subscriptions(size).values())
                self.assertLessEqual(most, MAX_SAME_ZONE + MIN_SUBSCRIBED)
                self.assertGreaterEqual(most, min(size[1], MIN_SUBSCRIBED))

    def test_subscribers_are_spread_evenly_over_engines(self) -> None:
        """Each engine has between a quarter of the mean and twice the mean."""
        for size in SIZES:
            with self.subTest(size=size):
                subscribers = Counter(
                    host
                    for hosts in subscriptions(size).values()
                    for host in hosts
                )
                mean = subscribers.total() / size[1]
                self.assertEqual(len(subscribers), size[1])
                self.assertLess(max(subscribers.values()), 2 * mean)
                self.assertGreater(min(subscribers.values()), mean / 4)

    def test_what_subscriptions_stand_for(self) -> None:
        """Over the engines of a zone the mean is the number of entries."""
        for size in SIZES[:-1]:
            found = subscriptions(size)
            for zone in range(size[2]):
                hosts = [
                    host
                    for host, host_zone in zones_by_host(
                        'e', size[1], size[2]
                    ).items()
                    if host_zone == f'z{zone}'
                ]
                counts = [
                    sum(
                        represents.get(host, 0) for represents in found.values()
                    )
                    for host in hosts
                ]
                with self.subTest(size=size, zone=zone):
                    self.assertAlmostEqual(sum(counts) / len(counts), size[0])

    def test_subscriptions_include_every_zone(self) -> None:
        """No zone is left out by chance if there is room for all."""
        places = zones_by_host('e', 60, 5)
        for entry, hosts in subscriptions((98, 60, 5)).items():
            with self.subTest(entry=entry):
                self.assertEqual(len({places[host] for host in hosts}), 5)

    def test_a_new_engine_changes_few_subscriptions(self) -> None:
        """One more engine replaces at most 1 host of an entry."""
        before = zones_by_host('e', 60, 5)
        after = {**before, 'new': 'z0'}
        for entry, zone in zones_by_host('a', 98, 5).items():
            gone = set(select_hosts(entry, zone, before)) - set(
                select_hosts(entry, zone, after)
            )
            self.assertLessEqual(len(gone), 1)

    def test_a_zone_without_engines(self) -> None:
        """Its entries select the same hosts, which then know all of them."""
        places = {'e1': 'z1', 'e2': 'z2'}
        found = {
            tuple(select_hosts(entry, 'z3', places))
            for entry in ('a1', 'a2', 'a3')
        }
        self.assertEqual(len(found), 1)

    def test_no_engines(self) -> None:
        """Without engines nothing is selected."""
        self.assertEqual(select_hosts('a', 'z1', {}), {})


class LoadSpreadTest(unittest.TestCase):
    """Let entries with some of the reports send calls to engines that queue."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.places = zones_by_host('e', 60, 5)
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

    def chooser(self, entry: str, zone: str) -> Chooser:
        """Return the chooser of an entry with exact reports of its hosts."""
        chooser = Chooser(self.directory, Random(entry))
        subscribed = select_hosts(entry, zone, self.places)
        chooser.candidates.prefer_hosts(subscribed)
        for host in subscribed:
            count = self.running[host]
            running = min(count, PROFILE.slots)
            chooser.stats_of(host).record_report(
                report(count - running, running, 10)
            )
        return chooser

    def send(self, calls: int, zones: int) -> None:
        """Let the entries of some zones send calls in turn; no call ends."""
        entries = [
            (entry, zone)
            for entry, zone in zones_by_host('a', 98, 5).items()
            if int(zone[1:]) < zones
        ]
        for number in range(calls):
            entry, zone = entries[number % len(entries)]
            requirements = Requirements(
                POOL,
                zone,
                900,
                'm',
                acceptable_wait_s=0.4,
                sample_number=hash64(str(number)),
            )
            choice = self.chooser(entry, zone).choose(requirements, (), 10)
            assert choice is not None
            self.running[choice.endpoint.endpoint_id] += 1

    def test_even_load(self) -> None:
        """With a mean of 5 calls per engine, none has more than 8."""
        self.send(300, 5)
        self.assertLessEqual(max(self.running.values()), 8)

    def test_load_of_one_zone_only(self) -> None:
        """Other zones take its overflow with under 10 in 100 unused."""
        self.send(960, 1)
        other_zones = [
            self.running[host]
            for host, zone in self.places.items()
            if zone != 'z0'
        ]
        mean = sum(other_zones) / len(other_zones)
        unused = sum(max(0, mean - running) for running in other_zones)
        self.assertLess(unused, 0.1 * sum(other_zones))
        self.assertLess(max(other_zones), 1.3 * mean)

    def test_engines_without_subscription_are_the_last_choice(self) -> None:
        """They get a call that no subscribed engine can take."""
        chooser = self.chooser('a0', 'z0')
        subscribed = select_hosts('a0', 'z0', self.places)
        requirements = Requirements(POOL, 'z0', 900, 'm')
        choice = chooser.choose(requirements, tuple(subscribed), 10)
        assert choice is not None
        self.assertNotIn(choice.endpoint.endpoint_id, subscribed)
        all_hosts = tuple(self.places)
        self.assertIsNone(chooser.choose(requirements, all_hosts, 10))

    def test_a_change_of_the_list_applies_at_once(self) -> None:
        """Groups that were cached for an older list are not used."""
        chooser = self.chooser('a0', 'z0')
        requirements = Requirements(POOL, 'z0', 900, 'm')
        subscribed = tuple(select_hosts('a0', 'z0', self.places))
        chooser.choose(requirements, (), 10)
        for host in subscribed:
            self.directory.update(
                Endpoint(host, POOL.name, host, 80, 'z0', 8, ready=False),
            )
        choice = chooser.choose(requirements, (), 10)
        assert choice is not None
        self.assertNotIn(choice.endpoint.endpoint_id, subscribed)


class EntryCountTest(unittest.TestCase):
    """Count the entries that share a budget."""

    def test_counts(self) -> None:
        """Counts of the own zone are averaged; others are only a fallback."""
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
        for host, entries, now, same_zone, expected in steps:
            with self.subTest(host=host):
                count.record(host, entries, now, same_zone=same_zone)
                count.update(now)
                self.assertEqual(count.entries, expected)

    def test_old_counts_are_dropped(self) -> None:
        """The last result stays if no recent count is left."""
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
