"""What operators may write in a configuration, and what callers then see.

Records go through the adapter into an entry, whose callers are asked over
sockets; endpoints are stand-ins.
"""

import asyncio
import json
import unittest
from collections.abc import Iterator
from typing import Any

from tornado.netutil import bind_sockets

from linnetwood.calls.crashes import CrashHistory
from linnetwood.core.clock import SystemClock
from linnetwood.core.events import Event, log
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.platform.crashstore import CrashFeed
from linnetwood.platform.feeds import EndpointFeed, OperatorFeed, StoreFeed
from linnetwood.platform.ignored import IgnoredRecords
from linnetwood.programs.resident_entry import ResidentEntry
from tests.direct_calls import GOOD
from tests.process_settings import process_settings
from tests.test_callserver import request
from tests.test_curldriver import HOST, Server, respond_with

ROUTE: dict[str, Any] = {
    'name': 'r-1',
    'host': 'h.example',
    'path_prefix': '/a/',
    'kind': 'non_idempotent',
    'timeout_ms': 6000,
    'target_latency_ms': 400,
    'max_attempts': 1,
    'priority': 1,
    'service': 'desk',
}
CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 'desk'}, {'name': 'hall'}],
    'tenants': [
        {'name': 't-1', 'api_keys': ['k1']},
        {'name': 't-2', 'api_keys': ['k2']},
    ],
}
ENGINE = {'slots': 4, 'step_ms': 9.3, 'read_per_s': 20700}
ABSENT = object()
SERVED = (200, 'desk', 't-1')
ELSEWHERE = (200, 'hall', 't-1')
NO_ROUTE = (404, '', '')
NO_KEY = (401, '', '')
REFUSED = (503, '', '')

Seen = tuple[int, str, str]


def changed(said: dict[str, Any], **fields: object) -> dict[str, Any]:
    """Return a table with these fields; those that are ABSENT are removed."""
    merged = {**said, **fields}
    return {key: one for key, one in merged.items() if one is not ABSENT}


def config(version: object = 8, **fields: object) -> dict[str, Any]:
    """Return a configuration that follows the first one."""
    return changed(CONFIG, version=version, **fields)


def routed(**fields: object) -> dict[str, Any]:
    """Return a configuration whose only route has these fields."""
    return config(routes=[changed(ROUTE, **fields)])


def split(**weights: float) -> dict[str, Any]:
    """Return a configuration whose only route is split between services."""
    rows = [
        {'service': name, 'weight': weight} for name, weight in weights.items()
    ]
    return routed(service=ABSENT, traffic_split=rows)


def record(said: object, revision: int) -> Record:
    """Return a record with an encoded value."""
    return Record(json.dumps(said).encode(), revision)


class ConfigurationCase(unittest.IsolatedAsyncioTestCase):
    """An entry that reads records and whose callers are asked."""

    async def asyncSetUp(self) -> None:
        self.entry = ResidentEntry(process_settings())
        clock = SystemClock()
        wake = self.entry.reports.wake
        ignored = IgnoredRecords()
        self.feed = StoreFeed(
            OperatorFeed(
                self.entry.adopt, self.entry.wanted, clock, wake, ignored
            ),
            EndpointFeed(self.entry.directory, clock, wake, ignored),
            CrashFeed(CrashHistory(), clock),
        )
        sockets = bind_sockets(0, HOST)
        self.entry._callers.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])
        self.servers: dict[str, Server] = {}
        self.revision = 10

    async def asyncTearDown(self) -> None:
        self.entry._callers.stop()
        await self.entry._callers.close_all_connections()
        self.entry.driver.close()
        for server in self.servers.values():
            await server.close()

    async def serve(self, name: str, service: str, **more: object) -> Change:
        """Start an endpoint; return the change that lists it."""
        self.servers[name] = Server(respond_with(GOOD))
        port = await self.servers[name].start()
        said = {
            'service': service,
            'address': f'{HOST}:{port}',
            'zone': 'z1',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            **more,
        }
        return self.change(f'servers/{name}', said)

    async def begin(self) -> None:
        """Put the first configuration in force, with an endpoint of each."""
        self.write(
            self.change('op/config', CONFIG),
            await self.serve('desk', 'desk'),
            await self.serve('hall', 'hall'),
        )

    def change(self, key: str, said: object) -> Change:
        """Return a change of one key, at the next revision."""
        self.revision += 1
        if said is None:
            return Change(key, None)
        return Change(key, record(said, self.revision))

    def write(self, *changes: Change) -> None:
        """Let the entry read changes that the store confirms just now."""
        self.feed.apply_changes(changes)
        now = asyncio.get_running_loop().time()
        self.entry._follower.confirmed_at = now

    def configure(self, *found: object) -> None:
        """Let the entry read configurations that came together."""
        self.write(*[self.change('op/config', said) for said in found])

    async def ask(
        self, path: str = '/a/x', key: str = 'k1', host: str = 'h.example'
    ) -> Seen:
        """Return the status, the endpoint that ran the call, and `X-Tenant`."""
        now = asyncio.get_running_loop().time()
        self.entry._follower.confirmed_at = now
        for server in self.servers.values():
            server.requests.clear()
        asked = request(path, key, host).replace(
            b'\r\n', b'\r\nConnection: close\r\n', 1
        )
        if not key:
            asked = asked.replace(b'Authorization: Bearer \r\n', b'')
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(asked)
        got = await reader.read()
        writer.close()
        ran = list(self._ran())
        self.assertLessEqual(len(ran), 1)
        status = int(got.split()[1])
        return (status, *(ran[0] if ran else ('', '')))

    def _ran(self) -> Iterator[tuple[str, str]]:
        for name, server in self.servers.items():
            for one in server.requests:
                _, _, rest = one.partition(b'X-Tenant: ')
                yield name, rest.partition(b'\r\n')[0].decode()


class ValidCasesTest(ConfigurationCase):
    """Each is in force at once, and callers see what it says."""

    async def check(
        self, cases: dict[str, tuple[dict[str, Any], Seen]], **asked: str
    ) -> None:
        """Put each configuration in force after the first one, and ask."""
        for name, (said, expected) in cases.items():
            with self.subTest(name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.begin()
                self.configure(said)
                self.assertEqual(self.entry.route_table.version, 8)
                self.assertEqual(await self.ask(**asked), expected)

    async def test_optional_fields_may_be_missing(self) -> None:
        """Guard against a configuration refused for what it need not say."""
        names = ('target_latency_ms', 'max_attempts', 'priority')
        cases = {name: (routed(**{name: ABSENT}), SERVED) for name in names}
        cases['limits'] = (config(limits={}), SERVED)
        cases['public'] = (routed(public=False), SERVED)
        cases['more fields'] = (routed(more=[1], else_={}), SERVED)
        await self.check(cases)

    async def test_optional_fields_may_be_null(self) -> None:
        """Guard against a configuration refused for a null; some write one."""
        names = (
            'target_latency_ms',
            'target_gap_ms',
            'max_attempts',
            'priority',
            'public',
            'stream_resumption',
            'traffic_split',
        )
        cases = {name: (routed(**{name: None}), SERVED) for name in names}
        desk = {'name': 'desk', 'engine': None, 'origin': None}
        holder = {'name': 't-1', 'api_keys': None}
        cases['limits'] = (config(limits=None), SERVED)
        hall = [{'service': 'hall', 'weight': 1}]
        cases['service'] = (
            routed(service=None, traffic_split=hall),
            ELSEWHERE,
        )
        cases['engine'] = (config(services=[desk]), SERVED)
        cases['keys'] = (config(tenants=[holder]), NO_KEY)
        await self.check(cases)

    async def test_whole_numbers_may_be_written_as_fractions(self) -> None:
        """Guard against 2.0 that is refused where 2 is taken: JSON has one."""
        desk = {'name': 'desk', 'connection_limit': 4e2}
        engine = {**ENGINE, 'slots': 4.0, 'layers': 16.0}
        busy = {**desk, 'engine': engine}
        limits = {'max_header_bytes': 16384.0, 'max_body_bytes': 4e6}
        await self.check(
            {
                'version': (config(8.0), SERVED),
                'attempts': (routed(max_attempts=2.0), SERVED),
                'priority': (routed(priority=0.0), SERVED),
                'service': (config(services=[desk]), SERVED),
                'engine': (config(services=[busy]), SERVED),
                'limits': (config(limits=limits), SERVED),
            }
        )
        self.assertIsInstance(self.entry.route_table.version, int)
        self.write(self.change('op/version/m', {'model': 'm', 'version': 2.0}))
        self.assertEqual(self.entry.wanted.newest('m'), 2)

    async def test_traffic_splits(self) -> None:
        """A service with a weight gets calls, and one without gets none."""
        await self.check(
            {
                'one': (split(hall=1), ELSEWHERE),
                'a fraction': (split(hall=0.5), ELSEWHERE),
                'one of two': (split(desk=0, hall=9), ELSEWHERE),
                'the first of two': (split(hall=9, desk=0), ELSEWHERE),
                'empty': (routed(traffic_split=[]), SERVED),
                'before the service': (
                    routed(traffic_split=[{'service': 'hall', 'weight': 1}]),
                    ELSEWHERE,
                ),
                'not listed': (split(gone=1), REFUSED),
            }
        )

    async def test_hosts_and_prefixes(self) -> None:
        """The longest prefix of the host decides, wherever it stands."""
        inner = changed(ROUTE, path_prefix='/a/x/', service='hall')
        rest = changed(ROUTE, path_prefix='/', service='hall')
        again = changed(ROUTE, service='hall')
        await self.check(
            {
                'nested': (config(routes=[inner, ROUTE]), ELSEWHERE),
                'nested, last': (config(routes=[ROUTE, inner]), ELSEWHERE),
                'rest': (config(routes=[rest, ROUTE]), SERVED),
                'root alone': (config(routes=[rest]), ELSEWHERE),
                'twice': (config(routes=[ROUTE, again]), SERVED),
                'no slashes': (routed(path_prefix='/a'), SERVED),
                'capitals': (routed(host='H.Example'), SERVED),
                'port': (routed(host='h.example:8080'), SERVED),
                'elsewhere': (routed(host='o.example'), NO_ROUTE),
                'no routes': (config(routes=[]), NO_ROUTE),
            },
            path='/a/x/y',
        )

    async def test_services(self) -> None:
        """A call goes to endpoints of its service, and to no others."""
        renamed = [{'name': 'bureau'}, {'name': 'hall'}]
        await self.check(
            {
                'moved': (routed(service='hall'), ELSEWHERE),
                'not listed': (routed(service='gone'), REFUSED),
                'renamed': (
                    changed(routed(service='bureau'), services=renamed),
                    REFUSED,
                ),
                'no services': (config(services=[]), REFUSED),
                'same name twice': (
                    config(services=[{'name': 'desk'}, {'name': 'desk'}]),
                    SERVED,
                ),
            }
        )

    async def test_keys(self) -> None:
        """A key is its holder's from the configuration on that says so."""
        holder = {'name': 't-2', 'api_keys': ['k1', 'k2']}
        both = [{'name': 't-1', 'api_keys': ['k1']}, holder]
        await self.check(
            {
                'moved': (config(tenants=[holder]), (200, 'desk', 't-2')),
                'two holders': (config(tenants=both), (200, 'desk', 't-2')),
                'dropped': (config(tenants=CONFIG['tenants'][1:]), NO_KEY),
                'no list': (config(tenants=[{'name': 't-1'}]), NO_KEY),
                'empty list': (
                    config(tenants=[{'name': 't-1', 'api_keys': []}]),
                    NO_KEY,
                ),
                'no tenants': (config(tenants=[]), NO_KEY),
                'no keys needed': (
                    config(tenants=ABSENT),
                    (200, 'desk', ''),
                ),
                'public': (routed(public=True), SERVED),
                'any letters': (
                    config(tenants=[{'name': 'Blut é', 'api_keys': ['k1']}]),
                    (200, 'desk', 'Blut é'),
                ),
            }
        )

    async def test_timeouts_and_limits(self) -> None:
        """A shorter timeout and other limits hold for the next call."""
        await self.begin()
        self.configure(routed(timeout_ms=900))
        self.assertEqual(await self.ask(), SERVED)
        sent = self.servers['desk'].requests[0]
        left_ms = int(sent.partition(b'X-Deadline-Ms: ')[2].split()[0])
        self.assertLessEqual(left_ms, 900)
        tight = config(9, limits={'max_body_bytes': 1})
        self.configure(tight)
        self.assertEqual((await self.ask())[1:], NO_ROUTE[1:])
        self.configure(config(10))
        self.assertEqual(await self.ask(), SERVED)

    async def test_public_routes(self) -> None:
        """They need no key, until they stop being public."""
        public = routed(public=True)
        await self.check({'public': (public, (200, 'desk', ''))}, key='')
        await self.check({'unknown': (public, (200, 'desk', ''))}, key='k9')
        self.configure(config(version=9))
        self.assertEqual(await self.ask(key=''), NO_KEY)

    async def test_hosts_of_callers(self) -> None:
        """A port and capitals in a request change nothing."""
        await self.begin()
        there = changed(ROUTE, host='[::1]:80')
        other = changed(ROUTE, host='[::2]', service='hall')
        self.configure(config(routes=[ROUTE, other, there]))
        self.assertEqual(await self.ask(host='[::1]'), SERVED)
        self.assertEqual(await self.ask(host='[::2]:8080'), ELSEWHERE)
        for host in ('h.example', 'H.EXAMPLE', 'h.example:8080'):
            with self.subTest(host=host):
                self.assertEqual(await self.ask(host=host), SERVED)

    async def test_a_route_of_a_bare_address(self) -> None:
        """Guards against calls without a host's name on such a route."""
        await self.begin()
        self.configure(config(routes=[changed(ROUTE, host='::1')]))
        for host in (':80', 'h.example'):
            with self.subTest(host=host):
                self.assertEqual((await self.ask(host=host))[1:], NO_ROUTE[1:])


class InvalidCasesTest(ConfigurationCase):
    """None takes effect; the configuration before stays in force."""

    def held_by(self, name: str) -> dict[str, Any]:
        """Return a configuration with a key of an organisation."""
        return config(tenants=[{'name': name, 'api_keys': ['k1']}])

    async def test_invalid_configurations(self) -> None:
        """Each is logged once, however often it is read."""
        await self.begin()
        cases: dict[str, object] = {
            'no table': [],
            'empty': {},
            'no version': config(version=ABSENT),
            'negative version': config(version=-1),
            'no routes': config(routes=ABSENT),
            'no services': config(services=ABSENT),
            'no service': routed(service=ABSENT),
            'no host': routed(host=ABSENT),
            'no kind': routed(kind=ABSENT),
            'no prefix': routed(path_prefix=ABSENT),
            'no timeout': routed(timeout_ms=ABSENT),
            'timeout of 0': routed(timeout_ms=0),
            'text for a number': routed(max_attempts='2'),
            'half an attempt': routed(max_attempts=1.5),
            'a number for true': routed(public=1),
            'negative weight': split(desk=-1, hall=2),
            'no weight': routed(traffic_split=[{'service': 'hall'}]),
            'tenant without a name': config(tenants=[{'api_keys': ['k1']}]),
            'null for a name': routed(name=None),
            # In place of what restricts callers it would let others in.
            'null for tenants': config(tenants=None),
            'null for regions': routed(allowed_regions=None),
            # Sent in a header, they would add another, or fail each call.
            'line break in a name': self.held_by('t-1\r\nX-Model: m'),
            'half a character in a name': self.held_by('t\ud800'),
            'number as a key': config(tenants=[{'name': 't', 'api_keys': [1]}]),
        }
        for name, said in cases.items():
            with self.subTest(name):
                change = self.change('op/config', said)
                with self.assertLogs('linnetwood', 'INFO') as captured:
                    self.write(change)
                    self.write(change)
                lines = [one.__dict__ for one in captured.records]
                self.assertEqual(
                    [(line['event'], line['code']) for line in lines],
                    [(Event.ITEM_IGNORED, 'config-malformed')],
                )
                self.assertEqual(await self.ask(), SERVED)
        self.configure(routed(service='hall'))
        self.assertEqual(await self.ask(), ELSEWHERE)

    async def test_the_log_names_the_invalid_field(self) -> None:
        """Guard against a line that shows the head of a long list instead."""
        cases = {
            "routes[1].max_attempts is '2', not a whole number from 0": config(
                routes=[ROUTE, changed(ROUTE, max_attempts='2')]
            ),
            'services[0].engine.step_ms is missing': config(
                services=[{'name': 'desk', 'engine': {'slots': 4}}]
            ),
            'tenants[0] is no table: 4': config(tenants=[4]),
            'services is {}, not a list of tables': config(services={}),
            'limits.idle_timeout_ms is -1, not a number': config(
                limits={'idle_timeout_ms': -1}
            ),
        }
        for expected, said in cases.items():
            with self.assertLogs('linnetwood', 'INFO') as captured:
                self.configure(said)
            with self.subTest(expected):
                line = captured.records[0].__dict__
                self.assertEqual(line['detail'], expected)

    async def test_invalid_after_valid(self) -> None:
        """Guard against a valid configuration that came together with others.

        The newest valid one is in force, and invalid ones are logged.
        """
        await self.begin()
        with self.assertLogs('linnetwood', 'INFO') as captured:
            self.configure(config(8), config(12, service='hall'), {}, [])
        self.assertEqual(self.entry.route_table.version, 12)
        found = [one.__dict__['event'] for one in captured.records]
        self.assertEqual(found.count(Event.ITEM_IGNORED), 2)
        newer = self.change('op/config', config(13))
        self.write(newer, self.change('op/config', None))
        self.assertEqual(self.entry.route_table.version, 13)

    async def test_older_written_last(self) -> None:
        """Guards against a late write that hides the one before it.

        A write that was done late, or a second time, came together with a newer
        version, and the newer one was never in force.
        """
        await self.begin()
        newer = changed(routed(service='hall'), version=9)
        self.configure(config(8), newer, config(8))
        self.assertEqual(await self.ask(), ELSEWHERE)
        self.configure({**newer, 'version': 12}, {}, config(11), config(10))
        self.assertEqual(self.entry.route_table.version, 12)
        named = [{'model': 'm', 'version': version} for version in (3, 2)]
        self.write(*[self.change('op/version/m', said) for said in named])
        self.assertEqual(self.entry.wanted.newest('m'), 3)

    async def test_ids_of_endpoints(self) -> None:
        """Guard against an id that adds a header to each call sent there."""
        await self.begin()
        listed = await self.serve('late', 'hall')
        for name in ('i\r\nX-Model: m', 'i\ud800', ''):
            key = f'servers/{name}'
            with self.subTest(name=name):
                self.write(Change(key, listed.record))
                self.assertIsNone(self.entry.directory.get(name))

    async def test_older_and_equal_versions(self) -> None:
        """What was in force never comes back, whatever its revision."""
        await self.begin()
        newer = routed(service='hall')
        for version in (1000, 999, 1000, 8, 0):
            said = {**(newer if version == 1000 else CONFIG)}
            with self.assertLogs('linnetwood', 'INFO') as captured:
                log(Event.STARTED)
                self.configure({**said, 'version': version})
            older = [
                one.__dict__['version']
                for one in captured.records
                if one.__dict__['event'] == Event.ROUTES_OLDER
            ]
            with self.subTest(version=version):
                self.assertEqual(older, [version] if version < 1000 else [])
                self.assertEqual(await self.ask(), ELSEWHERE)
        self.configure(config(version=1001))
        self.assertEqual(await self.ask(), SERVED)

    async def test_one_version_written_twice(self) -> None:
        """Guards against entries that differ for as long as a version holds.

        Entries that had read the first record of a version kept it, and those
        that started later acted by the second one.
        """
        await self.begin()
        first = self.change('op/config', config(8))
        second = self.change('op/config', routed(service='hall'))
        again = self.change('op/config', routed(service='hall'))
        self.write(first)
        self.assertEqual(await self.ask(), SERVED)
        self.write(second)
        self.assertEqual(await self.ask(), ELSEWHERE)
        revision = self.entry.route_table.revision
        for late in ((first,), (second, first), (again,)):
            self.write(*late)
            self.assertEqual(self.entry.route_table.revision, revision)
            self.assertEqual(await self.ask(), ELSEWHERE)

    async def test_deleted_configuration(self) -> None:
        """What was in force stays so without its record."""
        await self.begin()
        self.write(self.change('op/config', None))
        self.feed.replace_all(Snapshot({}, 99))
        await self.begin()
        self.assertEqual(await self.ask(), SERVED)


class AddedRoutesTest(ConfigurationCase):
    """A route that is added is served as soon as it can be."""

    def added(self, version: int = 8, **fields: object) -> dict[str, Any]:
        """Return a configuration with one more route, service and key."""
        more = changed(
            ROUTE, name='r-2', path_prefix='/b/', service='new', **fields
        )
        return config(
            version,
            routes=[ROUTE, more],
            services=[*CONFIG['services'], {'name': 'new', **self.figures}],
            tenants=[*CONFIG['tenants'], {'name': 't-3', 'api_keys': ['k3']}],
        )

    figures: dict[str, Any] = {}

    async def test_configuration_before_its_endpoints(self) -> None:
        """Calls are refused as not run until an endpoint is listed."""
        await self.begin()
        self.configure(self.added())
        self.assertEqual(await self.ask('/b/x', 'k3'), REFUSED)
        self.write(await self.serve('new', 'new'))
        self.assertEqual(await self.ask('/b/x', 'k3'), (200, 'new', 't-3'))

    async def test_endpoints_before_their_configuration(self) -> None:
        """The first call is served, also if both came together."""
        for together in (False, True):
            await self.asyncTearDown()
            await self.asyncSetUp()
            await self.begin()
            listed = await self.serve('new', 'new')
            written = self.change('op/config', self.added())
            if together:
                self.write(written, listed)
            else:
                self.write(listed)
                self.assertEqual(await self.ask('/b/x', 'k1'), NO_ROUTE)
                self.write(written)
            with self.subTest(together=together):
                seen = await self.ask('/b/x', 'k3')
                self.assertEqual(seen, (200, 'new', 't-3'))

    async def test_series(self) -> None:
        """Routes come, move and go; each version is in force at once."""
        await self.begin()
        self.write(await self.serve('new', 'new'))
        version = 8
        for _ in range(5):
            self.configure(self.added(version))
            self.assertEqual(await self.ask('/b/x', 'k3'), (200, 'new', 't-3'))
            self.configure(self.added(version + 3, public=True))
            self.assertEqual(await self.ask('/b/x', ''), (200, 'new', ''))
            self.configure(config(version + 4))
            self.assertEqual(await self.ask('/b/x', 'k1'), NO_ROUTE)
            self.assertEqual(await self.ask('/a/x', 'k3'), NO_KEY)
            version += 11

    async def test_endpoint_that_changes_its_service(self) -> None:
        """Calls follow it, and those of its old service are refused."""
        await self.begin()
        self.configure(self.added())
        listed = await self.serve('new', 'hall')
        self.write(listed)
        assert listed.record is not None
        said = json.loads(listed.record.payload)
        self.assertEqual(await self.ask('/b/x', 'k3'), REFUSED)
        self.write(self.change('servers/new', {**said, 'service': 'new'}))
        self.assertEqual(await self.ask('/b/x', 'k3'), (200, 'new', 't-3'))
        # Its address, under another id, is another service's.
        self.write(
            self.change('servers/new', None),
            self.change('servers/late', {**said, 'service': 'desk'}),
            self.change('servers/desk', None),
        )
        self.assertEqual(await self.ask('/b/x', 'k3'), REFUSED)
        self.assertEqual(await self.ask('/a/x'), (200, 'new', 't-1'))


class AddedEngineRoutesTest(AddedRoutesTest):
    """The same for a service of engines, whose calls are admitted first."""

    figures = {'engine': ENGINE}

    async def test_route_without_a_target(self) -> None:
        """Guard against calls that count as late when they arrive.

        Late ones are sent behind all others, and refused where slots are few.
        """
        await self.begin()
        self.write(await self.serve('new', 'new'))
        for target_ms in (ABSENT, None, 0):
            said = self.added(self.revision, target_latency_ms=target_ms)
            self.configure(said)
            with self.subTest(target_ms=target_ms):
                seen = await self.ask('/b/x', 'k3')
                self.assertEqual(seen, (200, 'new', 't-3'))
                sent = self.servers['new'].requests[0]
                self.assertNotIn(b'X-Request-Priority', sent)

    async def serve(self, name: str, service: str, **more: object) -> Change:
        """List an engine with its model."""
        models = [{'name': 'm', 'version': 1, 'adapters': []}]
        return await super().serve(name, service, models=models, **more)


if __name__ == '__main__':
    unittest.main()
