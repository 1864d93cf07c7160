"""Series of drawn configurations at an entry, whose callers are asked.

Guards against calls that are run by a service, or with a key, that only an
older configuration than the newest one that the entry was told allows.

Load pattern: routes move between two services that both have endpoints, and
back, become shorter and longer, go while others stay, and come again under
another name; keys and services go; configurations come together and one by one,
some written late with a lower version, some twice, some malformed; the store is
read again, or restored from a copy. Endpoints end, and their addresses are used
again by the other service. Callers use new and kept connections.
"""

import asyncio
import dataclasses
import functools
import json
import unittest
from random import Random
from typing import Any

from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.revisions import join
from tests.direct_calls import ELSEWHERE, GOOD
from tests.test_callserver import request
from tests.test_configuration_cases import ConfigurationCase
from tests.test_configuration_seeds import JUNK, Asked
from tests.test_curldriver import HOST, respond_with

SEEDS = range(6)
STEPS = 30
CALLS = 4
HOSTS = ('a.example', 'b.example')
PREFIXES = ('/', '/x/', '/x/y/', '/x/y/z/')
PATHS = ('/1', '/x/1', '/x/y/1', '/x/y/z/1')
SERVICES = ('desk', 'hall')
MIN_ROUTES = 3
KEYS = ('k1', 'k2', 'k3')
ENDPOINTS = ('e-1', 'e-2', 'e-3', 'e-4')


class DrawnSeries:
    """Draw configurations that each change a little of the one before."""

    def __init__(self, seed: int) -> None:
        """Start with some routes of each service."""
        self.rng = Random(seed)
        self.version = 1
        self._places = {
            ('a.example', '/'): [('desk', 1.0)],
            ('a.example', '/x/'): [('hall', 1.0)],
            ('a.example', '/x/y/'): [('desk', 1.0)],
            ('b.example', '/'): [('hall', 1.0)],
            ('b.example', '/x/'): [('desk', 1.0)],
        }
        self._names = {place: str(place) for place in self._places}
        self._listed = set(SERVICES)
        self._keys = set(KEYS)

    def config(self) -> dict[str, Any]:
        """Return the next configuration."""
        rng = self.rng
        self.version += rng.choice((1, 1, 7, 1000))
        for _ in range(rng.choice((1, 1, 3))):
            rng.choice(
                (self._move, self._move, self._resize, self._add, self._drop)
            )()
        if not rng.randrange(6):
            self._keys ^= {rng.choice(KEYS)}
        if not rng.randrange(8):
            self._listed ^= {rng.choice(SERVICES)}
        return self.config_as_it_is()

    def config_as_it_is(self) -> dict[str, Any]:
        """Return the configuration without a further change."""
        routes = [
            {
                'name': self._names[place],
                'host': place[0],
                'path_prefix': place[1],
                'kind': 'non_idempotent',
                'timeout_ms': 9000,
                'traffic_split': [
                    {'service': name, 'weight': weight}
                    for name, weight in split
                ],
            }
            for place, split in self._places.items()
        ]
        self.rng.shuffle(routes)
        return {
            'version': self.version,
            'routes': routes,
            'services': [{'name': name} for name in sorted(self._listed)],
            'tenants': [{'name': 't-1', 'api_keys': sorted(self._keys)}],
        }

    def _split(self) -> list[tuple[str, float]]:
        rng = self.rng
        there, other = rng.sample(SERVICES, 2)
        return [(there, 1.0), (other, rng.choice((0, 0, 0.5)))]

    def _move(self) -> None:
        if self._places:
            place = self.rng.choice(list(self._places))
            there = self._places[place][0][0]
            other = SERVICES[1 - SERVICES.index(there)]
            self._places[place] = [(other, 1.0)]

    def _resize(self) -> None:
        """Move a route to another prefix or host, under its name."""
        if self._places:
            place = self.rng.choice(list(self._places))
            name = self._names.pop(place)
            split = self._places.pop(place)
            there = self._place()
            self._places[there] = split
            self._names[there] = name

    def _add(self) -> None:
        there = self._place()
        self._places[there] = self._split()
        self._names[there] = f'{there} {self.rng.randrange(3)}'

    def _drop(self) -> None:
        if len(self._places) > MIN_ROUTES:
            place = self.rng.choice(list(self._places))
            self._places.pop(place)
            self._names.pop(place)

    def _place(self) -> tuple[str, str]:
        return self.rng.choice(HOSTS), self.rng.choice(PREFIXES)


def allowed(said: dict[str, Any], asked: Asked) -> set[tuple[int, str]]:
    """Return each status with the service that runs the call, if any."""
    found = [
        route
        for route in said['routes']
        if route['host'] == asked.host
        and asked.target.startswith(route['path_prefix'])
    ]
    if not found:
        return {(404, '')}
    if asked.key not in said['tenants'][0]['api_keys']:
        return {(401, '')}
    route = max(found, key=lambda one: len(one['path_prefix']))
    listed = {one['name'] for one in said['services']}
    names = {one['service'] for one in route['traffic_split'] if one['weight']}
    return {(200, name) if name in listed else (503, '') for name in names}


class ConfigurationSeriesTest(ConfigurationCase):
    """Write drawn series to an entry, and ask as callers do."""

    async def asyncSetUp(self) -> None:
        """Start the entry and its endpoints."""
        await super().asyncSetUp()
        self.era = 1
        self.ids = 0
        # The service of each listed id, and the server at its address.
        self.services: dict[str, str] = {}
        self.holders: dict[str, str] = {}
        self.records: dict[str, Record] = {}
        self.ran: list[str] = []
        self.was_rejected = False
        self.kept: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        self.kept = None

    async def asyncTearDown(self) -> None:
        """Close the kept connection, the entry and its endpoints."""
        self.hang_up()
        await super().asyncTearDown()

    def change(self, key: str, said: object) -> Change:
        """Return a change of one key, at the next revision of the era."""
        found = super().change(key, said)
        if found.record is None:
            self.records.pop(key, None)
            return found
        revision = join(self.era, found.record.revision)
        record = Record(found.record.payload, revision)
        self.records[key] = record
        return dataclasses.replace(found, record=record)

    async def test_calls_follow_the_newest_configuration(self) -> None:
        """Whatever came, in whatever order, and however often."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.play(DrawnSeries(seed))

    async def serve(self, name: str, service: str, **more: object) -> Change:
        """Start an endpoint that runs only calls for the id listed there."""
        found = await super().serve(name, service, **more)
        self.holders[name] = name
        self.servers[name]._behave = functools.partial(self.run_call, name)
        return found

    async def run_call(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a call, or reject one for another id."""
        sent = self.servers[name].requests.pop()
        _, _, rest = sent.partition(b'X-Expected-Instance: ')
        expected = rest.partition(b'\r\n')[0].decode()
        if self.holders.get(expected) == name:
            self.ran.append(expected)
            await respond_with(GOOD)(reader, writer)
        else:
            self.was_rejected = True
            await respond_with(ELSEWHERE)(reader, writer)

    async def play(self, drawn: DrawnSeries) -> None:
        """Write, and ask after each write."""
        rng = drawn.rng
        for number, name in enumerate(ENDPOINTS):
            service = SERVICES[number % 2]
            listed = await self.serve(name, service)
            self.services[name] = service
            self.write(listed)
        newest = drawn.config()
        self.configure(newest)
        for _ in range(STEPS):
            step = rng.choice(
                (self.write_together, self.write_together, self.read_again)
            )
            newest = step(drawn, newest)
            if not rng.randrange(3):
                self.reuse_address(rng)
            self.assertEqual(self.entry.route_table.version, newest['version'])
            for _ in range(CALLS):
                await self.check(newest, rng)

    def write_together(
        self, drawn: DrawnSeries, newest: dict[str, Any]
    ) -> dict[str, Any]:
        """Write configurations that are read together; return the newest."""
        rng = drawn.rng
        earlier = newest
        written = [drawn.config() for _ in range(rng.randint(1, 3))]
        newest = written[-1]
        if not rng.randrange(3):
            # A write that was retried, or done late.
            written.append(rng.choice((earlier, *written)))
        for _ in range(rng.choice((0, 0, 1))):
            place = rng.randint(0, len(written))
            written.insert(place, rng.choice(JUNK))  # type: ignore[arg-type]
        changes = [self.change('op/config', said) for said in written]
        if not rng.randrange(6):
            changes.insert(
                rng.randint(0, len(changes)), Change('op/config', None)
            )
        if rng.randrange(2):
            self.write(*changes)
        else:
            for change in changes:
                self.write(change)
        return newest

    def read_again(
        self, drawn: DrawnSeries, newest: dict[str, Any]
    ) -> dict[str, Any]:
        """Read the whole store, at times one that was restored."""
        rng = drawn.rng
        is_restored = not rng.randrange(3)
        lost = self.records['op/config']
        if is_restored:
            self.era += 1
            older = {**newest, 'version': max(0, newest['version'] - 1)}
            self.change('op/config', {**older, 'routes': []})
        elif rng.randrange(2):
            newest = drawn.config()
            self.change('op/config', newest)
        revision = join(self.era, self.revision)
        self.feed.replace_all(
            Snapshot(dict(self.records), revision, is_restored=is_restored)
        )
        if is_restored and rng.randrange(2):
            self.feed.apply_retained((Change('op/config', lost),))
        return newest

    def reuse_address(self, rng: Random) -> None:
        """End an endpoint, and list its address as the other service's."""
        old = rng.choice(list(self.services))
        gone = self.services.pop(old)
        service = SERVICES[1 - SERVICES.index(gone)]
        if len([one for one in self.services.values() if one == gone]) == 0:
            service = gone
        self.ids += 1
        name = f'i-{self.ids}'
        said = json.loads(self.records[f'servers/{old}'].payload)
        self.services[name] = service
        self.holders[name] = self.holders.pop(old)
        changes = [
            self.change(f'servers/{old}', None),
            self.change(f'servers/{name}', {**said, 'service': service}),
        ]
        if rng.randrange(2):
            changes.reverse()
        self.write(*changes)

    async def check(self, newest: dict[str, Any], rng: Random) -> None:
        """Compare a call with what the newest configuration allows."""
        asked = Asked(
            rng.choice(HOSTS), rng.choice(PATHS), rng.choice((*KEYS, 'k9'))
        )
        self.ran.clear()
        self.was_rejected = False
        status = await self.status_of(asked, keep=bool(rng.randrange(2)))
        self.assertLessEqual(len(self.ran), 1)
        service = self.services[self.ran[0]] if self.ran else ''
        expected = allowed(newest, asked)
        if self.was_rejected:
            expected |= {(421, ''), (503, '')}
        self.assertIn((status, service), expected)

    async def status_of(self, asked: Asked, *, keep: bool) -> int:
        """Return the status of a call on a kept or a new connection."""
        self.entry._follower.confirmed_at = asyncio.get_running_loop().time()
        if self.kept is None or not keep:
            self.hang_up()
            self.kept = await asyncio.open_connection(HOST, self.port)
        reader, writer = self.kept
        writer.write(request(asked.target, asked.key, asked.host))
        head = await reader.readuntil(b'\r\n\r\n')
        lines = dict(
            line.lower().split(': ', 1)
            for line in head.decode().split('\r\n')[1:]
            if line
        )
        await reader.readexactly(int(lines.get('content-length', 0)))
        if lines.get('connection') == 'close':
            self.hang_up()
        return int(head.split()[1])

    def hang_up(self) -> None:
        """Close the kept connection."""
        if self.kept is not None:
            self.kept[1].close()
            self.kept = None


if __name__ == '__main__':
    unittest.main()
