"""Calls restricted to regions, and evacuated zones; no network.

Load pattern: a share of the calls may be served in one region only, whose
endpoints are a part of those that report to an entry. An availability zone gets
no new calls while its running calls finish, and is cold when it returns.
"""

import json
import unittest
from random import Random

from linnetwood.calls.choice import Chooser, Requirements
from linnetwood.calls.crashes import CrashHistory
from linnetwood.calls.directory import Directory
from linnetwood.calls.regionscope import (
    ANY_REGION,
    RegionScope,
    intersect_regions,
)
from linnetwood.calls.routetable import RouteTable, Service
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform import records
from linnetwood.platform.crashstore import CrashFeed
from linnetwood.platform.feeds import EndpointFeed, OperatorFeed, StoreFeed
from tests.clocks import ManualClock
from tests.test_junk import ENTRY, record_of
from tests.test_records import CONFIG, ROUTE

REGIONS = {'z1': 'north', 'z2': 'north', 'z3': 'south'}
DESK = Service('desk', 10)
COLD = Service('desk', 10, cold_per_s=10, cold_start_s=3)
EACH = 8
COLD_MS = 3000
CALLS = 200


class RegionsTest(unittest.TestCase):
    """Choose among endpoints of three zones in two regions."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(1))
        wanted = WantedVersions(8)
        self.feed = StoreFeed(
            OperatorFeed(
                self._adopt,
                wanted,
                self.clock,
                self._changed,
                evacuate=self._evacuate,
            ),
            EndpointFeed(
                self.directory,
                self.clock,
                self._changed,
                regions=REGIONS,
            ),
            CrashFeed(CrashHistory(), self.clock),
        )
        self.records = {
            f'servers/{zone}-{number}': record_of(
                self.endpoint_record(zone, number)
            )
            for zone in REGIONS
            for number in range(EACH)
        }
        self.feed.replace_all(Snapshot(self.records, 9))
        self.chooser.candidates.prefer_hosts(
            endpoint.host
            for endpoint in self.directory.all()
            if endpoint.host.endswith('1')
        )

    def endpoint_record(self, zone: str, number: int, **more: object) -> object:
        """Return the record of an endpoint of a plain service."""
        place = f'10.{list(REGIONS).index(zone)}.0.{number}1:80'
        plain = {key: ENTRY[key] for key in ENTRY if key != 'models'}
        more = {'service': 'desk', 'address': place, 'zone': zone, **more}
        return {**plain, **more}

    def zones_chosen(self, requirements: Requirements) -> set[str]:
        """Return the zones that calls with different sample numbers go to."""
        found = set()
        for number in range(CALLS):
            sampled = Requirements(
                requirements.service,
                requirements.zone,
                sample_number=number,
                region_scope=requirements.region_scope,
            )
            choice = self.chooser.choose(sampled, (), self.clock.now())
            found.add(choice.endpoint.zone if choice else 'nowhere')
        return found

    def evacuate_zones(self, *zones: str) -> None:
        """Let the operators evacuate these zones and no others."""
        written = {f'op/evacuate/{zone}': record_of({}) for zone in zones}
        self.feed.replace_all(Snapshot({**self.records, **written}, 12))

    def test_calls_stay_in_their_region(self) -> None:
        """Calls go to no other region, whichever zone receives them."""
        for zone in REGIONS:
            for region, allowed in (
                ('north', {'z1', 'z2'}),
                ('south', {'z3'}),
                ('west', {'nowhere'}),
            ):
                scope = RegionScope(frozenset((region,)))
                with self.subTest(zone=zone, region=region):
                    found = self.zones_chosen(
                        Requirements(DESK, zone, region_scope=scope)
                    )
                    self.assertLessEqual(found, allowed)

    def test_second_attempts_stay_in_their_region(self) -> None:
        """After all endpoints of the region, no other is tried."""
        scope = RegionScope(frozenset(('south',)))
        tried = {
            endpoint.incarnation_id
            for endpoint in self.directory.all()
            if endpoint.zone == 'z3'
        }
        requirements = Requirements(DESK, 'z1', region_scope=scope)
        self.assertIsNone(self.chooser.choose(requirements, tried, 0))

    def test_restrictions_are_combined(self) -> None:
        """A route and an organisation both restrict; an empty list doesn't."""
        self.assertEqual(intersect_regions((), ()), ANY_REGION)
        self.assertEqual(intersect_regions(['a'], ()).regions, {'a'})
        self.assertEqual(
            intersect_regions(['a', 'b'], ['b', 'c']).regions, {'b'}
        )
        self.assertFalse(intersect_regions(['a'], ['b']).allows('a'))

    def test_configuration_is_decoded(self) -> None:
        """Regions of routes and organisations, and limits of cold endpoints."""
        route = {**ROUTE, 'allowed_regions': ['north']}
        tenant = {**CONFIG['tenants'][0], 'allowed_regions': ['south']}
        desk = {'name': 'desk', 'cold_per_s': 26.0, 'cold_start_s': 3.0}
        said = {**CONFIG, 'routes': [route], 'tenants': [tenant]}
        said['services'] = [*CONFIG['services'], desk]
        route_table = records.config(Record(json.dumps(said).encode(), 1))
        self.assertEqual(
            route_table.by_host['host1.example'][0].regions, ('north',)
        )
        holder = route_table.organisation('k1')
        assert holder is not None
        self.assertEqual(holder.regions, ('south',))
        found = route_table.services['desk']
        self.assertEqual((found.cold_per_s, found.cold_start_s), (26, 3))

    def test_evacuated_zone_gets_no_calls(self) -> None:
        """No call goes there until the evacuation ends, also by region."""
        requirements = Requirements(DESK, 'z1')
        self.evacuate_zones('z1')
        self.assertNotIn('z1', self.zones_chosen(requirements))
        south = Requirements(
            DESK, 'z3', region_scope=RegionScope(frozenset(('south',)))
        )
        self.evacuate_zones('z3')
        self.assertEqual(self.zones_chosen(south), {'nowhere'})
        # The value of the key does not matter.
        change = Change('op/evacuate/z1', Record(b'{[', 20))
        self.feed.apply_changes((change,))
        self.assertEqual(self.zones_chosen(requirements), {'z2'})
        self.feed.apply_changes((Change('op/evacuate/z1', None),))
        self.assertIn('z1', self.zones_chosen(requirements))
        self.evacuate_zones()
        self.assertNotIn('nowhere', self.zones_chosen(south))

    def test_returning_zone_counts_as_cold(self) -> None:
        """Its endpoints may be cold but have not reported it yet."""
        self.chooser.entry_count = lambda: 39
        self.evacuate_zones('z1')
        self.evacuate_zones()
        self.assertNotIn('z1', self.zones_chosen(Requirements(COLD, 'z1')))
        self.clock.at += 2.1
        self.assertIn('z1', self.zones_chosen(Requirements(COLD, 'z1')))

    def test_cold_endpoints_are_limited(self) -> None:
        """Each entry sends only its quota there until they are warm."""
        self.chooser.entry_count = lambda: 39
        changes = [
            Change(f'servers/z1-{number}', record_of(self._cold(number)))
            for number in range(EACH)
        ]
        self.feed.apply_changes(tuple(changes))
        self.assertNotIn('z1', self.zones_chosen(Requirements(COLD, 'z1')))
        self.assertIn('z1', self.zones_chosen(Requirements(DESK, 'z1')))
        self.clock.at += COLD_MS / 1000 + 0.1
        self.assertIn('z1', self.zones_chosen(Requirements(COLD, 'z1')))

    def test_lost_endpoint_counts_as_cold(self) -> None:
        """It may return cold before it reports so."""
        endpoint = self.directory.get('z3-1')
        assert endpoint is not None
        self.chooser.entry_count = lambda: 39
        self.chooser.record_unreachable(COLD, endpoint, self.clock.now())
        self.assertTrue(
            self.directory.is_cold(endpoint, self.clock.now() + 2.9)
        )
        self.assertFalse(
            self.directory.is_cold(endpoint, self.clock.now() + 3.1)
        )

    def _cold(self, number: int) -> object:
        return self.endpoint_record('z1', number, cold_remaining_ms=COLD_MS)

    def _adopt(self, route_table: RouteTable) -> None:
        """Do nothing."""

    def _changed(self) -> None:
        """Do nothing."""

    def _evacuate(self, zones: frozenset[str]) -> None:
        self.directory.evacuate(zones, self.clock.now())


if __name__ == '__main__':
    unittest.main()
