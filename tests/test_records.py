"""Records of the platform's store are decoded or rejected."""

import json
import unittest
from typing import Any

from linnetwood.calls.routetable import Repeat, pick_service
from linnetwood.core.errors import ConfigError
from linnetwood.fleet.ranges import Record
from linnetwood.platform import records

ROUTE: dict[str, Any] = {
    'name': 'r-1',
    'host': 'Host1.example',
    'path_prefix': '/a/',
    'kind': 'streaming',
    'timeout_ms': 6000,
    'target_latency_ms': 405,
    'target_gap_ms': 400,
    'priority': 1,
    'service': 'pool',
    'max_attempts': 2,
    'public': False,
    'stream_resumption': True,
}
CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': [
        ROUTE,
        {**ROUTE, 'name': 'r-2', 'path_prefix': '/a/b/', 'kind': 'idempotent'},
        {
            **ROUTE,
            'name': 'r-3',
            'path_prefix': '/c/',
            'kind': 'non_idempotent',
            'traffic_split': [
                {'service': 'pool', 'weight': 90},
                {'service': 'desk', 'weight': 10},
            ],
        },
    ],
    'services': [
        {
            'name': 'pool',
            'connection_limit': 424,
            'engine': {
                'slots': 16,
                'step_ms': 9.27,
                'read_per_s': 20700.0,
                'models': [{'name': 'm-1'}],
                'delays': [
                    {'source': 'z1', 'target_version': 'z2', 'delay_ms': 2.8},
                ],
            },
        },
        {'name': 'desk', 'connection_limit': 100},
        {
            'name': 'weights',
            'origin': '172.20.0.3:8006',
            'link_mbps': 7.3,
            'connection_limit': 48,
        },
    ],
    'limits': {'max_header_bytes': 100, 'idle_timeout_ms': 15000},
    'tenants': [{'name': 't-1', 'api_keys': ['k1', 'k2'], 'priority': 1}],
}


def record(found: object, revision: int = 5) -> Record:
    """Return a record with an encoded value."""
    return Record(json.dumps(found).encode(), revision)


class ConfigTest(unittest.TestCase):
    """Decode the operator's configuration."""

    def test_longest_prefix(self) -> None:
        """A route is found by host and longest prefix, or not at all."""
        route_table = records.config(record(CONFIG))
        cases = (
            ('host1.example', '/a/x', 'r-1'),
            ('HOST1.example:80', '/a/b/x?y=/c/', 'r-2'),
            ('host1.example', '/a', None),
            ('other.example', '/a/x', None),
        )
        for host, target, expected in cases:
            with self.subTest(host=host, target=target):
                route = route_table.find(host, target)
                self.assertEqual(route.name if route else None, expected)

    def test_kinds_say_what_may_be_repeated(self) -> None:
        """Each kind of route maps to a rule for repeats."""
        route_table = records.config(record(CONFIG))
        found = {one.name: one for one in route_table.by_host['host1.example']}
        self.assertIs(found['r-1'].repeat, Repeat.RESUME)
        self.assertIs(found['r-2'].repeat, Repeat.MAY)
        self.assertIs(found['r-3'].repeat, Repeat.NEVER)
        plain = {**ROUTE, 'stream_resumption': False}
        route_table = records.config(record({**CONFIG, 'routes': [plain]}))
        only = route_table.by_host['host1.example'][0]
        self.assertIs(only.repeat, Repeat.NEVER)

    def test_split_follows_the_weights(self) -> None:
        """A service is picked in proportion to its weight."""
        route_table = records.config(record(CONFIG))
        route = route_table.find('host1.example', '/c/')
        assert route is not None
        cases = ((0, 'pool'), (0.89, 'pool'), (0.91, 'desk'), (0.999, 'desk'))
        for chance, expected in cases:
            with self.subTest(chance=chance):
                self.assertEqual(pick_service(route, chance), expected)

    def test_services_without_a_weight_get_no_calls(self) -> None:
        """Guard against a rounding error that sends a call there."""
        cases: tuple[tuple[dict[str, float], set[str]], ...] = (
            (
                {'pool': 0.1, 'desk': 0.1, 'hall': 0.4, 'gone': 0},
                {'pool', 'desk', 'hall'},
            ),
            ({'gone': 0, 'pool': 0.3, 'desk': 0.3}, {'pool', 'desk'}),
            ({'pool': 0, 'desk': 0}, {'pool', 'desk'}),
        )
        chances = (0, 0.3, 0.5, 0.7, 1 - 2**-53)
        for weights, expected in cases:
            rows = [
                {'service': name, 'weight': weight}
                for name, weight in weights.items()
            ]
            route = {**ROUTE, 'traffic_split': rows}
            found = records.config(record({**CONFIG, 'routes': [route]}))
            split = found.by_host['host1.example'][0]
            picked = {pick_service(split, chance) for chance in chances}
            with self.subTest(weights=weights):
                self.assertEqual(picked, expected)

    def test_services_origin_keys_and_limits(self) -> None:
        """Engines, the origin, organisations and limits are decoded."""
        route_table = records.config(record(CONFIG))
        self.assertEqual(set(route_table.services), {'pool', 'desk'})
        engine = route_table.services['pool'].engine
        assert engine is not None
        self.assertAlmostEqual(engine.delay_s('z2', 'z1'), 0.0028)
        self.assertEqual(route_table.origin.port, 8006)
        holder = route_table.organisation('k2')
        assert holder is not None
        self.assertEqual((holder.name, holder.priority), ('t-1', 1))
        self.assertIsNone(route_table.organisation('k3'))
        self.assertEqual(route_table.limits.header_bytes, 100)

    def test_no_organisations(self) -> None:
        """Without organisations no call needs a key."""
        plain = {key: CONFIG[key] for key in CONFIG if key != 'tenants'}
        self.assertIsNone(records.config(record(plain)).organisations)

    def test_malformed_configurations(self) -> None:
        """A malformed configuration raises an error with a code."""
        cases: tuple[object, ...] = (
            [],
            {},
            {**CONFIG, 'routes': [{'name': 'r'}]},
            {**CONFIG, 'routes': [{**ROUTE, 'timeout_ms': 'soon'}]},
        )
        for found in cases:
            with self.subTest(found=str(found)[:40]):
                with self.assertRaises(ConfigError) as caught:
                    records.config(record(found))
                self.assertEqual(caught.exception.code, 'config-malformed')


class EndpointTest(unittest.TestCase):
    """Decode records of servers."""

    def test_record(self) -> None:
        """State, address and versions are read."""
        said = {
            'service': 'pool',
            'address': '10.1.0.9:8080',
            'zone': 'z1',
            'version': 'v1',
            'slots': 16,
            'state': 'draining',
            'cold_remaining_ms': 500,
            'models': [{'name': 'm-1', 'version': 2, 'adapters': []}],
            'sequence': 4,
        }
        one = records.endpoint('servers/i-1', record(said))
        self.assertEqual(
            (one.endpoint_id, one.host, one.port, one.ready, one.cold_s),
            ('i-1', '10.1.0.9', 8080, False, 0.5),
        )
        self.assertEqual(dict(one.versions), {'m-1': 2})

    def test_malformed_record(self) -> None:
        """A malformed record raises an error."""
        with self.assertRaises(ConfigError):
            records.endpoint('servers/i-1', record({'service': 'pool'}))


if __name__ == '__main__':
    unittest.main()
