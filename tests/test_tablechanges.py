"""What changes from one configuration of routes to another."""

import dataclasses
import unittest

from linnetwood.calls.routetable import (
    Organisation,
    Repeat,
    Route,
    RouteTable,
    Share,
    index_by_host,
)
from linnetwood.calls.tablechanges import TableChanges, compare_tables


def route(prefix: str, *services: str, host: str = 'H.example') -> Route:
    """Return a route to services."""
    return Route(
        f'r{prefix}',
        host,
        prefix,
        Repeat.MAY,
        streams=False,
        timeout_s=20,
        target_s=0.4,
        gap_s=0,
        attempts=1,
        priority=1,
        public=False,
        shares=tuple(Share(name, 1) for name in services or ('desk',)),
    )


def table(*routes: Route, keys: dict[str, str] | None = None) -> RouteTable:
    """Return a configuration."""
    organisations = {
        key: Organisation(name, 1) for key, name in (keys or {}).items()
    }
    return RouteTable(1, 1, index_by_host(routes), organisations=organisations)


BEFORE = table(
    route('/a/'),
    route('/b/'),
    route('/b/c/', 'hall'),
    route('/d/'),
    keys={'k1': 't-1', 'k2': 't-2', 'k3': 't-3'},
)
AFTER = table(
    route('/a/', 'hall'),
    route('/b/'),
    dataclasses.replace(route('/d/'), timeout_s=3),
    route('/e/', host='other.example'),
    keys={'k1': 't-1', 'k3': 't-2', 'k4': 't-4'},
)
HOST = 'h.example'


class TableChangesTest(unittest.TestCase):
    """Compare configurations."""

    def test_places_and_keys(self) -> None:
        """Each place and key that changed has its kind, and no other one."""
        found = compare_tables(BEFORE, AFTER)
        self.assertEqual(
            found.places,
            {
                (HOST, '/a/'): 'moved',
                (HOST, '/b/c/'): 'dropped',
                (HOST, '/d/'): 'altered',
                ('other.example', '/e/'): 'added',
            },
        )
        self.assertEqual(
            found.keys,
            {'k2': 'key-dropped', 'k3': 'key-altered', 'k4': 'key-added'},
        )
        self.assertEqual(set(found.counts().values()), {1})
        names = list(found.named())
        self.assertEqual(names[0], 'dropped h.example/b/c/')
        self.assertEqual(names[-1], 'altered h.example/d/')

    def test_equal_tables(self) -> None:
        """A configuration that was read anew changes nothing."""
        again = table(
            route('/a/'),
            route('/b/'),
            route('/b/c/', 'hall'),
            route('/d/'),
            keys={'k1': 't-1', 'k2': 't-2', 'k3': 't-3'},
        )
        self.assertEqual(compare_tables(BEFORE, again), TableChanges({}, {}))

    def test_what_callers_may_lose(self) -> None:
        """Added and altered routes take nothing from callers."""
        cases = (
            ((route('/a/'), route('/b/')), False),
            ((dataclasses.replace(route('/a/'), attempts=3),), False),
            ((route('/a/', 'hall'),), True),
            ((route('/a/', 'desk', 'hall'),), True),
            ((), True),
        )
        for routes, is_felt in cases:
            with self.subTest(routes=routes):
                found = compare_tables(table(route('/a/')), table(*routes))
                self.assertIs(found.is_felt, is_felt)
        keyless = compare_tables(table(keys={'k': 't'}), table())
        self.assertTrue(keyless.is_felt)


if __name__ == '__main__':
    unittest.main()
