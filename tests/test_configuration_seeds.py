"""Series of drawn configurations, checked against what the page says.

Records come together and one by one, some malformed and some older. Whatever
the entry has read, each call must be decided by the newest valid one.
"""

import dataclasses
import unittest
from random import Random
from typing import Any

from linnetwood.calls.callparsing import IncomingRequest, read_call
from linnetwood.calls.routetable import RouteTable
from linnetwood.core.outcomes import Code, Ending
from linnetwood.fleet.ranges import Change
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.platform.feeds import OperatorFeed
from tests.clocks import ManualClock
from tests.test_junk import record_of

SEEDS = range(12)
WRITES = 25
CALLS = 60
HOSTS = ('a.example', 'B.example', 'c.example')
ASKED_HOSTS = ('a.example', 'A.Example:80', 'b.example', 'd.example')
PREFIXES = ('/', '/x/', '/x/y/', '/x/y/z/', '/xy/')
PATHS = ('/', '/x', '/x/', '/x/y/1?q=/z/', '/x/y/z/1', '/xy/', '/z')
SERVICES = ('desk', 'hall', 'pool')
KEYS = ('k1', 'k2', 'k3', 'k4')
JUNK: tuple[object, ...] = ([], {}, {'version': 9}, 4)


class Drawn:
    """Draw configurations, each with a higher version."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.version = 0

    def config(self) -> dict[str, Any]:
        """Return the next configuration."""
        rng = self.rng
        self.version += rng.randint(1, 40)
        places = [(host, prefix) for host in HOSTS for prefix in PREFIXES]
        drawn: dict[str, Any] = {
            'version': self.version,
            'routes': [
                self._route(host, prefix)
                for host, prefix in rng.sample(places, rng.randint(0, 9))
            ],
            'services': [
                {'name': name}
                for name in rng.sample(SERVICES, rng.randint(1, 3))
            ],
        }
        if rng.randrange(5):
            drawn['tenants'] = self._tenants()
        return drawn

    def _route(self, host: str, prefix: str) -> dict[str, Any]:
        rng = self.rng
        route: dict[str, Any] = {
            'name': f'{host}{prefix}',
            'host': host,
            'path_prefix': prefix,
            'kind': rng.choice(('idempotent', 'non_idempotent', 'streaming')),
            'timeout_ms': rng.randint(1, 9000),
        }
        if rng.randrange(2):
            route['public'] = bool(rng.randrange(2))
        if rng.randrange(2):
            route['service'] = rng.choice(SERVICES)
        else:
            route['traffic_split'] = [
                {'service': name, 'weight': rng.choice((0, 0.3, 5))}
                for name in rng.sample(SERVICES, 2)
            ]
            route['traffic_split'][0]['weight'] = 1
        return route

    def _tenants(self) -> list[dict[str, Any]]:
        keys = self.rng.sample(KEYS, 3)
        return [
            {'name': 't-1', 'api_keys': keys[:2]},
            {'name': 't-2', 'api_keys': keys[2:]},
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """What a caller sends."""

    host: str
    target: str
    key: str


def allowed(config: dict[str, Any], asked: Asked) -> set[tuple[str, str]]:
    """Return each code and organisation, or service and organisation."""
    host = asked.host.partition(':')[0].lower()
    path = asked.target.partition('?')[0]
    found = [
        route
        for route in config['routes']
        if route['host'].lower() == host
        and path.startswith(route['path_prefix'])
    ]
    if not found:
        return {(Code.UNKNOWN_TARGET.value, '')}
    route = max(found, key=lambda one: len(one['path_prefix']))
    holders = [
        one['name']
        for one in config.get('tenants', ())
        if asked.key in one['api_keys']
    ]
    if 'tenants' in config and not holders and not route.get('public'):
        return {(Code.KEY_UNKNOWN.value, '')}
    names = {
        one['service']
        for one in route.get('traffic_split', ())
        if one['weight']
    } or {route['service']}
    listed = {one['name'] for one in config['services']}
    holder = holders[0] if holders else ''
    served = {(name, holder) for name in names & listed}
    refused = {(Code.NO_ENDPOINT.value, '')} if names - listed else set()
    return served | refused


class ConfigurationSeedsTest(unittest.TestCase):
    """Let an entry's table follow drawn records."""

    def setUp(self) -> None:
        self.route_table = RouteTable()
        self.dialect = PlatformDialect()

    def test_each_call_is_decided_by_the_newest_valid_configuration(
        self,
    ) -> None:
        """Guard against routes, keys and services of any other one."""
        for seed in SEEDS:
            self.setUp()
            drawn = Drawn(seed)
            feed = OperatorFeed(
                self.adopt, WantedVersions(8), ManualClock(), lambda: None
            )
            newest: dict[str, Any] = {}
            for _ in range(WRITES):
                written = [
                    drawn.config() for _ in range(drawn.rng.randint(1, 3))
                ]
                said = [
                    *written,
                    *drawn.rng.sample(JUNK, drawn.rng.randint(0, 2)),
                ]
                feed.apply_changes(
                    tuple(Change('op/config', record_of(one)) for one in said)
                )
                newest = written[-1]
                with self.subTest(seed=seed, version=newest['version']):
                    self.check(newest, drawn.rng)

    def adopt(self, route_table: RouteTable) -> None:
        """Put a newer configuration in force."""
        if route_table.version > self.route_table.version:
            self.route_table = route_table

    def check(self, newest: dict[str, Any], rng: Random) -> None:
        """Compare calls with what the newest configuration allows."""
        self.assertEqual(self.route_table.version, newest['version'])
        for _ in range(CALLS):
            asked = Asked(
                rng.choice(ASKED_HOSTS),
                rng.choice(PATHS),
                rng.choice((*KEYS, '', 'k9')),
            )
            self.assertIn(self.decide(asked, rng), allowed(newest, asked))

    def decide(self, asked: Asked, rng: Random) -> tuple[str, str]:
        """Return how the entry decides a call."""
        headers = [('Host', asked.host)]
        if asked.key:
            headers.append(('Authorization', f'Bearer {asked.key}'))
        call = read_call(
            IncomingRequest('GET', asked.target, headers, b'', 0),
            self.route_table,
            self.dialect,
            rng,
        )
        if isinstance(call, Ending):
            return (call.code, '')
        holder = call.organisation
        return (call.service.name, '' if holder is None else holder.name)


if __name__ == '__main__':
    unittest.main()
