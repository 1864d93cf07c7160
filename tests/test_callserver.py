"""Connections of callers at an entry: refusals, disconnects, stopping."""

import asyncio
import dataclasses
import json
import logging
import math
import unittest
from random import Random

from tornado.netutil import bind_sockets

from linnetwood.calls.callserver import CallServerDelegate, open_server
from linnetwood.calls.choice import Chooser
from linnetwood.calls.configbasis import ConfigAgeTracker
from linnetwood.calls.deadlineadmission import DeadlineAdmission
from linnetwood.calls.direct import DirectDispatcher
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.policy.retryafter import LastPart
from linnetwood.calls.routetable import (
    CallLimits,
    Organisation,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
    index_by_host,
)
from linnetwood.core.clock import SystemClock
from linnetwood.core.events import Event, log
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.logformat import line_formatter
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Code, not_run
from linnetwood.fleet.revisions import join
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver
from tests.clocks import ManualClock
from tests.direct_calls import FULL, GOOD, never_answer
from tests.test_curldriver import (
    HOST,
    Behaviour,
    Server,
    await_reset,
    reset,
    respond_with,
)

ROUTE_TABLE = RouteTable(
    revision=1,
    version=1,
    by_host=index_by_host(
        [
            Route(
                'r',
                'h.example',
                '/a/',
                Repeat.NEVER,
                streams=False,
                timeout_s=20,
                target_s=0.4,
                gap_s=0,
                attempts=1,
                priority=1,
                public=False,
                shares=(Share('desk', 1),),
            ),
        ],
    ),
    services={'desk': Service('desk', 10)},
    organisations={'k1': Organisation('t-1', 1)},
)


UNPLACED_KEYS = (
    'call',
    'host',
    'path',
    'code',
    'config_version',
    'config_revision',
    'config_age_ms',
    'store_age_ms',
)
CONFIG_KEYS = (
    'config_version',
    'config_revision',
    'config_era',
    'config_age_ms',
    'store_age_ms',
    'confirmed_by',
)
CALLER_KEYS = ('call', 'route', 'organisation', 'priority')
REFUSED_KEYS = ('event', 'detail', 'retry_after_ms', *UNPLACED_KEYS)


def request(path: str, key: str = 'k1', host: str = 'h.example') -> bytes:
    """Return a complete request."""
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {host}',
        'X-Attempt-Id: c-1',
        'X-Deadline-Ms: 15000',
        f'Authorization: Bearer {key}',
        'Content-Length: 2',
        '',
        'hi',
    )
    return '\r\n'.join(lines).encode()


class CallServerCase(unittest.IsolatedAsyncioTestCase):
    """A server that is called over sockets."""

    async def asyncSetUp(self) -> None:
        self.route_table = ROUTE_TABLE
        self.store_answered_at = -math.inf
        self.directory = Directory()
        chooser = Chooser(self.directory, Random(1))
        self.driver = CurlDriver()
        self.metrics = ExposedMetrics()
        dialect = PlatformDialect()
        dispatcher = DirectDispatcher(
            chooser,
            self.driver,
            dialect,
            WantedVersions(8),
            'z1',
            NoMetrics(),
        )
        admission = DeadlineAdmission(
            chooser,
            dispatcher,
            SystemClock(),
            LastPart(Random(1)),
        )
        self.clock = ManualClock()
        self.config_age = ConfigAgeTracker(
            self.clock, lambda: self.store_answered_at
        )
        self.delegate = CallServerDelegate(
            lambda: self.route_table,
            dispatcher,
            dialect,
            admission,
            Random(1),
            self.metrics,
            self.config_age.basis,
        )
        self.server = open_server(self.delegate, ROUTE_TABLE.limits)
        sockets = bind_sockets(0, HOST)
        self.server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])
        self.endpoints: list[Server] = []

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()
        self.driver.close()
        for server in self.endpoints:
            await server.close()

    async def serve(self, behave: Behaviour) -> Server:
        """Start the only endpoint."""
        server = Server(behave)
        self.endpoints.append(server)
        port = await server.start()
        self.directory.update(
            Endpoint('i-1', 'desk', HOST, port, 'z1', 6, ready=True),
        )
        return server

    async def send(self, *requests: bytes) -> list[tuple[int, bytes, bytes]]:
        """Send requests on one connection; return status, head and body."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        answers = []
        for raw in requests:
            writer.write(raw)
            head = await reader.readuntil(b'\r\n\r\n')
            size = 0
            for line in head.lower().split(b'\r\n'):
                if line.startswith(b'content-length:'):
                    size = int(line.partition(b':')[2])
            body = await reader.readexactly(size)
            answers.append((int(head.split()[1]), head, body))
        writer.close()
        return answers


class CallServerTest(CallServerCase):
    """Call a server over sockets."""

    async def test_statuses(self) -> None:
        """Each ending has its status, and only 503 has a Retry-After."""
        cases: tuple[tuple[str, bytes, Behaviour, int], ...] = (
            ('good', request('/a/x'), respond_with(GOOD), 200),
            ('no route', request('/b/x'), respond_with(GOOD), 404),
            ('no host', request('/a/x', host='other'), respond_with(GOOD), 404),
            ('no key', request('/a/x', key='k2'), respond_with(GOOD), 401),
            ('full', request('/a/x'), respond_with(FULL), 503),
            ('may have run', request('/a/x'), reset, 502),
        )
        for name, sent_request, behave, expected in cases:
            with self.subTest(name=name):
                await self.serve(behave)
                status, head, _ = (await self.send(sent_request))[0]
                self.assertEqual(status, expected)
                self.assertEqual(b'Retry-After' in head, status == 503)

    def set_max_age(self, max_age_s: float) -> None:
        """Set when the configuration, adopted at 100 s, becomes stale."""
        config_age = ConfigAgeTracker(
            self.clock, lambda: self.store_answered_at, max_age_s
        )
        config_age.adopted(ROUTE_TABLE)
        self.delegate.config_basis = config_age.basis

    async def unplaced_lines(
        self, sent_request: bytes
    ) -> list[dict[str, object]]:
        """Send a request; return the log lines of calls without a place."""
        with self.assertLogs('linnetwood', 'INFO') as captured:
            log(Event.STARTED)
            await self.send(sent_request)
        return [
            {name: getattr(record, name, None) for name in UNPLACED_KEYS}
            for record in captured.records
            if getattr(record, 'event', 0) == Event.CALL_UNPLACED
        ]

    async def test_refusals_log_the_age_of_the_configuration(self) -> None:
        """Each logs its reason, the configuration and how old that is."""
        self.config_age.adopted(ROUTE_TABLE)
        self.store_answered_at = 102.5
        self.clock.at = 110.0
        keyless = request('/a/x').replace(b'Authorization', b'X-Other')
        cases = (
            ('no route', request('/b/x?q=1'), 'h.example', '/b/x', 'no-route'),
            ('host', request('/a/x', host='o'), 'o', '/a/x', 'no-route'),
            ('key', request('/a/x', 'k2'), 'h.example', '/a/x', 'unknown-key'),
            ('no key', keyless, 'h.example', '/a/x', 'no-key'),
        )
        for name, sent_request, *expected in cases:
            with self.subTest(name=name):
                values = ('c-1', *expected, 1, 1, 10000, 7500)
                self.assertEqual(
                    await self.unplaced_lines(sent_request),
                    [dict(zip(UNPLACED_KEYS, values, strict=True))],
                )

    async def test_stale_configuration_refuses_with_a_retry_delay(self) -> None:
        """Callers may retry; the log has the reason and the ages."""
        self.set_max_age(1.2)
        self.store_answered_at = 102.5
        self.clock.at = 103.75
        keyless = request('/a/x').replace(b'Authorization', b'X-Other')
        cases = (
            ('no-route', request('/b/x?q=1'), 'h.example', '/b/x', 't-1'),
            ('no-route', request('/a/x', host='o'), 'o', '/a/x', 't-1'),
            ('unknown-key', request('/a/x', 'k2'), 'h.example', '/a/x', ''),
            ('no-key', keyless, 'h.example', '/a/x', ''),
        )
        for why, sent_request, host, path, organisation in cases:
            with self.subTest(why=why, host=host):
                with self.assertLogs('linnetwood', 'INFO') as captured:
                    status, head, body = (await self.send(sent_request))[0]
                self.assertEqual((status, body), (503, b'belief-old'))
                # At most a third of 15 s, in the last two fifths of that.
                after_s = head.partition(b'Retry-After: ')[2].split()[0]
                after_ms = round(float(after_s) * 1000)
                self.assertIn(after_ms, range(2900, 5001))
                lines = [
                    {name: getattr(record, name, None) for name in REFUSED_KEYS}
                    for record in captured.records
                ]
                self.assertEqual(
                    [tuple(line.values()) for line in lines],
                    [
                        (
                            *(Event.CALL_REFUSED, why, after_ms),
                            *('c-1', host, path, 'belief-old'),
                            *(1, 1, 3750, 1250),
                        ),
                    ],
                )
                record = captured.records[0]
                caller = [getattr(record, key, None) for key in CALLER_KEYS]
                route = (None, None) if why == 'no-route' else ('r', 1)
                self.assertEqual(
                    caller, ['c-1', route[0], organisation, route[1]]
                )
        self.assertIn('code="belief-old"} 4.0', self.metrics.text().decode())

    async def test_fresh_configuration_refuses_finally(self) -> None:
        """Refusals by a configuration just confirmed have no retry delay."""
        self.set_max_age(1.2)
        self.store_answered_at = 102.5
        self.clock.at = 103.5
        sent_requests = (request('/b/x'), request('/a/x', 'k2'))
        answers = await self.send(*sent_requests)
        self.assertEqual([answer[0] for answer in answers], [404, 401])
        self.assertEqual(len(await self.unplaced_lines(sent_requests[0])), 1)

    async def test_stale_configuration_serves_known_routes(self) -> None:
        """A zone that is cut off goes on serving the routes that it knows."""
        self.set_max_age(1.2)
        self.clock.at = 200.0
        await self.serve(respond_with(GOOD))
        self.assertTrue(self.delegate.config_basis().is_stale)
        self.assertEqual((await self.send(request('/a/x')))[0][0], 200)

    async def test_values_from_callers_are_cut_in_the_log(self) -> None:
        """Log lines stay short; unknown ages are logged as -1."""
        long = 'x' * 2000
        sent_request = request(f'/{long}', host=long).replace(
            b'c-1', long.encode()
        )
        line = (await self.unplaced_lines(sent_request))[0]
        for name in ('call', 'host', 'path'):
            self.assertEqual(len(str(line[name])), 120)
        ages = (line['config_age_ms'], line['store_age_ms'])
        self.assertEqual(ages, (-1, -1))

    async def test_other_endings_log_no_unplaced_call(self) -> None:
        """Answers, and refusals without any configuration, add no line."""
        await self.serve(respond_with(GOOD))
        self.assertEqual(await self.unplaced_lines(request('/a/x')), [])
        self.route_table = RouteTable()
        self.assertEqual(await self.unplaced_lines(request('/a/x')), [])

    async def test_attempts_log_the_configuration_of_their_call(
        self,
    ) -> None:
        """A call that outlasts its configuration logs the old one."""
        self.config_age.adopted(ROUTE_TABLE)
        self.store_answered_at = 99.0
        self.clock.at = 101.0

        async def adopt(
            _: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            self.config_age.adopted(RouteTable(revision=2, version=2))
            self.clock.at = 105.0
            writer.write(GOOD)
            await writer.drain()

        await self.serve(adopt)
        with self.assertLogs('linnetwood', 'INFO') as captured:
            await self.send(request('/a/x'))
        lines = [
            [getattr(record, name, None) for name in UNPLACED_KEYS[4:]]
            for record in captured.records
            if getattr(record, 'event', 0) == Event.ATTEMPT_ENDED
        ]
        self.assertEqual(lines, [[1, 1, 1000, 2000]])
        self.assertEqual(self.delegate.config_basis().version, 2)

    async def test_lines_name_organisation_and_priority(self) -> None:
        """Guard against losses that nobody can assign to a caller."""
        sent_request = request('/a/x')
        with self.assertLogs('linnetwood', 'INFO') as captured:
            for behave in (respond_with(FULL), reset):
                await self.serve(behave)
                await self.send(sent_request)
            self.delegate.admit = lambda call: not_run(Code.OVERLOADED)
            await self.send(sent_request.replace(b'c-1', b'c' * 2000))
        lines = [
            tuple(getattr(record, name, None) for name in CALLER_KEYS)
            for record in captured.records
        ]
        # Events 6005 and 6001, 6005 and 6002, and 6006.
        expected = [('c-1', 'r', 't-1', 1)] * 4
        self.assertEqual(lines, [*expected, ('c' * 120, 'r', 't-1', 1)])
        self.assertEqual(captured.records[-1].message, 'call_refused')

    async def test_lines_name_the_configuration_and_who_confirmed_it(
        self,
    ) -> None:
        """Guard against a call of which nobody can tell what decided it."""
        self.store_answered_at = 102.5
        config_age = ConfigAgeTracker(
            self.clock,
            lambda: self.store_answered_at,
            store_answer_at=lambda: 101.0,
        )
        self.delegate.config_basis = config_age.basis
        config_age.adopted(ROUTE_TABLE)
        self.clock.at = 103.0
        with self.assertLogs('linnetwood', 'INFO') as captured:
            for behave in (respond_with(FULL), reset):
                await self.serve(behave)
                await self.send(request('/a/x'))
            await self.send(request('/b/x'))
            self.delegate.admit = lambda call: not_run(Code.OVERLOADED)
            await self.send(request('/a/x'))
            self.delegate.leaving = True
            await self.send(request('/a/x'))
        lines = [
            tuple(getattr(record, name, None) for name in CONFIG_KEYS)
            for record in captured.records
        ]
        seen = {record.__dict__['event'] for record in captured.records}
        self.assertEqual(seen, set(range(6001, 6008)) - {6003, 6004})
        self.assertEqual(set(lines), {(1, 1, 0, 3000, 500, 'relay')})

    async def test_cut_lines_say_what_decided(self) -> None:
        """Guards against lines whose first 200 characters don't say why."""
        confirmed_at = 100.0
        config_age = ConfigAgeTracker(
            self.clock,
            lambda: confirmed_at,
            store_answer_at=float,
            max_age_s=1000,
        )
        self.delegate.config_basis = config_age.basis
        revision = RouteTable(version=1234, revision=join(1, 123456))
        self.clock.at = -899.999
        config_age.adopted(revision)
        self.clock.at = 112.345
        sent_request = request(f'/a/{"x" * 500}').replace(
            b'c-1', b'f8a8b707e706a86f'
        )
        unplaced = sent_request.replace(b'/a/', b'/b/')
        limited = 'level 2, limit 1.25 per slot'
        with self.assertLogs('linnetwood', 'INFO') as captured:
            for behave in (respond_with(FULL), reset):
                await self.serve(behave)
                await self.send(sent_request)
            await self.send(unplaced)
            confirmed_at = 40.0
            config_age._max_age_s = 1.2
            await self.send(unplaced, sent_request.replace(b'k1', b'k2'))
            for detail in ('came back', 'predicted 1234 ms', limited):
                ending = not_run(Code.OVERLOADED, detail, 14999)
                self.delegate.admit = lambda call, found=ending: found
                await self.send(sent_request)
        for record in captured.records:
            with self.subTest(event=record.__dict__['event']):
                self.check_cut_line(record)
        seen = {record.__dict__['event'] for record in captured.records}
        self.assertEqual(seen, {6001, 6002, 6005, 6006, 6007})
        basis = captured.records[-1].__dict__['basis']
        self.assertEqual(basis, 'v1234 r123456.1 relay 72345/1012344')

    def check_cut_line(self, record: logging.LogRecord) -> None:
        """Check what the first 200 characters of a line say."""
        fields = record.__dict__
        whole = line_formatter('frontend-mi-sala1-3').format(record)
        self.assertEqual(json.loads(whole)['message'], record.message)
        decisive = {'event', 'call', 'code', 'basis', 'detail'}
        if fields.get('code') == Code.BELIEF_OLD.value:
            decisive.add('retry_after_ms')
        for name in decisive.intersection(fields):
            shown = f'"{name}": {json.dumps(fields[name])}'
            # Texts of libraries are longer.
            self.assertIn(shown[:40], whole[:200])
        if 'parts' in fields:
            last = r'"likeness": "[^"]*", "parts": \[[^]]*\]\}$'
            self.assertRegex(whole, last)

    async def test_no_configuration_yet(self) -> None:
        """Without a configuration a call gets 503, not 404."""
        self.route_table = RouteTable()
        self.assertEqual((await self.send(request('/a/x')))[0][0], 503)

    async def test_new_limits_apply_to_open_connections(self) -> None:
        """New limits apply from the second request of an open connection."""
        await self.serve(respond_with(GOOD))
        plain = request('/a/x')
        long = plain.replace(b'\r\n', b'\r\nX-Fill: ' + b'f' * 900 + b'\r\n', 1)
        answers = await self.send(plain, long)
        self.assertEqual([answer[0] for answer in answers], [200, 200])
        self.server.set_limits(CallLimits(header_bytes=600))
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(plain)
        self.assertIn(b'200', await reader.readline())
        self.server.set_limits(CallLimits(header_bytes=60))
        writer.write(plain + plain)
        async with asyncio.timeout(60):
            rest = await reader.read()
        self.assertEqual(rest.count(b'HTTP/1.1 200'), 1)
        writer.close()
        self.server.set_limits(CallLimits())
        self.assertEqual((await self.send(long))[0][0], 200)

    async def test_connection_serves_several_calls(self) -> None:
        """A connection is kept open for the next call."""
        await self.serve(respond_with(GOOD))
        answers = await self.send(request('/a/x'), request('/a/y'))
        self.assertEqual([answer[0] for answer in answers], [200, 200])

    async def test_stopping_process_closes_connections(self) -> None:
        """The last answer on a connection has a Connection: close."""
        await self.serve(respond_with(GOOD))
        self.delegate.stopping = True
        _, head, body = (await self.send(request('/a/x')))[0]
        self.assertIn(b'Connection: close', head)
        self.assertEqual(body, b'fine')

    async def test_calls_to_a_leaving_process_are_refused(
        self,
    ) -> None:
        """A call that may not finish before the process ends is not begun."""
        endpoint = await self.serve(respond_with(GOOD))
        self.delegate.stopping = True
        self.delegate.leaving = True
        status, head, _ = (await self.send(request('/a/x')))[0]
        self.assertEqual(status, 503)
        self.assertIn(b'Connection: close', head)
        self.assertIn(b'Retry-After: 0.1', head)
        self.assertEqual(endpoint.requests, [])

    async def test_refusals_before_a_route_is_known_have_a_line(self) -> None:
        """Guard against calls that nobody can find in the log."""
        without_services = dataclasses.replace(ROUTE_TABLE, services={})
        for route_table, leaving, code in (
            (RouteTable(), False, 'not-serving'),
            (without_services, False, 'no-endpoint'),
            (ROUTE_TABLE, True, 'stopping'),
        ):
            self.route_table = route_table
            self.delegate.leaving = leaving
            with self.assertLogs('linnetwood', 'INFO') as captured:
                status, _, body = (await self.send(request('/a/x')))[0]
            line = captured.records[0].__dict__
            with self.subTest(code=code):
                self.assertEqual((status, body), (503, code.encode()))
                self.assertEqual(line['event'], Event.CALL_REFUSED)
                self.assertEqual((line['code'], line['call']), (code, 'c-1'))

    async def test_calls_in_progress_at_the_end_are_answered(self) -> None:
        """Guard against a stop that closes connections without an answer."""
        endpoint = await self.serve(never_answer)
        with self.assertLogs('linnetwood', 'INFO') as captured:
            sent = asyncio.create_task(self.send(request('/a/x')))
            while not endpoint.requests:
                await asyncio.sleep(0)
            for task in asyncio.all_tasks():
                if 'Request._run' in str(task.get_coro()):
                    task.cancel()
            status, _, body = (await sent)[0]
        self.assertEqual((status, body), (502, b'stopping'))
        line = captured.records[-1].__dict__
        self.assertEqual(line['event'], Event.CALL_CUT)
        self.assertEqual(line['code'], 'stopping')

    async def test_only_idle_connections_are_closed(self) -> None:
        """Closing idle connections interrupts no call."""
        go = asyncio.Event()

        async def wait(
            _: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await go.wait()
            writer.write(GOOD)
            await writer.drain()

        endpoint = await self.serve(wait)
        idle, idle_writer = await asyncio.open_connection(HOST, self.port)
        busy = asyncio.create_task(self.send(request('/a/x')))
        while not endpoint.requests:
            await asyncio.sleep(0)
        self.delegate.close_idle()
        self.assertEqual(await idle.read(), b'')
        idle_writer.close()
        go.set()
        self.assertEqual((await busy)[0][0], 200)

    async def test_closed_connections_are_dropped(self) -> None:
        """Guard against a leak by callers that connect and leave."""
        for _ in range(3):
            _, writer = await asyncio.open_connection(HOST, self.port)
            writer.close()
            await writer.wait_closed()
        async with asyncio.timeout(30):
            while self.delegate.idle_connections:
                await asyncio.sleep(0)

    async def test_disconnect_cancels_the_call(self) -> None:
        """The endpoint sees at once that the caller has left."""
        gone = asyncio.Event()

        endpoint = await self.serve(await_reset(gone))
        _, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(request('/a/x'))
        while not endpoint.requests:
            await asyncio.sleep(0)
        with self.assertLogs('linnetwood', 'INFO') as captured:
            writer.close()
            async with asyncio.timeout(30):
                await gone.wait()
        self.assertEqual(self.delegate.active_calls, 0)
        found = [getattr(captured.records[0], key) for key in CALLER_KEYS]
        self.assertEqual(found, ['c-1', 'r', 't-1', 1])


if __name__ == '__main__':
    unittest.main()
