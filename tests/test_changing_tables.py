"""Calls while all that an entry knows changes between their steps.

Each whole request must end with an answer or a refusal, and no step may meet an
error that no code expects.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from random import Random
from typing import TypeVar

from linnetwood.calls.direct import RetryLimits
from linnetwood.calls.directory import Endpoint
from linnetwood.calls.prioritylevels import rank_priorities
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
from linnetwood.core.events import Event
from tests.direct_calls import ELSEWHERE, FAILED, FULL, GOOD, events, stream
from tests.test_callserver import CallServerCase, request
from tests.test_curldriver import HOST, Server

# Far longer than any answer here takes.
GUARD_S = 60
SEEDS = range(4)
CALLERS = 6
CALLS = 15
PATHS = (*('/a/x', '/s/x') * 4, '/b/x')
KEYS = (*('k1', 'k2') * 4, 'k3')
SERVICES = ('desk', 'hall')
ZONES = ('z1', 'z2')
# A VM has one endpoint, so each has an address of its own.
HOSTS = tuple(f'127.0.0.{number}' for number in range(2, 7))
ANSWERS = (*(GOOD,) * 6, FULL, ELSEWHERE, FAILED, b'')
# Statuses that an entry may give to these calls.
STATUSES = frozenset((200, 401, 404, 500, 502, 503, 504))
MAX_TURNS = 40
MAX_BORN = 100000
# Limits on what is held for all callers; 0 sets none.
ENTRY_BYTES = (0, 0, 0, 0, 0, 400)
READY_SHARE = 0.98
KEPT_SHARE = 0.97

_Item = TypeVar('_Item')


class Tables:
    """Change what the entry knows, at random."""

    def __init__(
        self, case: 'ChangingTablesTest', rng: Random, born: int
    ) -> None:
        self._case = case
        self._rng = rng
        self._version = 1
        self._born = born
        self.changes: tuple[Callable[[], None], ...] = (
            self.change_routes,
            *(self.change_endpoint,) * 8,
            self.remove_endpoint,
            self.replace_endpoints,
            self.evacuate,
            self.share_retries,
            self.change_limits,
            self.limit_memory,
        )

    def change_routes(self) -> None:
        """Adopt another configuration; routes, services and keys may go."""
        self._version += 1
        rng = self._rng
        routes = [self._route('/a/'), self._route('/s/')]
        services = [self._service(name) for name in SERVICES]
        levels = rank_priorities((1, 2), (1, 2, 3))
        services = [dataclasses.replace(one, levels=levels) for one in services]
        self._case.route_table = RouteTable(
            revision=self._version,
            version=self._version,
            by_host=index_by_host(self._some(routes)),
            services={one.name: one for one in self._some(services)},
            organisations={
                key: Organisation('t-1', rng.randint(1, 3))
                for key in self._some(['k1', 'k2'])
            },
        )

    def change_endpoint(self) -> None:
        """List an endpoint anew, perhaps as another incarnation."""
        rng = self._rng
        number = rng.randrange(len(HOSTS))
        # An earlier incarnation would be ignored.
        self._born += rng.randint(0, 3)
        endpoint = Endpoint(
            f'i-{number}',
            rng.choice(SERVICES),
            HOSTS[number],
            self._case.ports[number],
            rng.choice(ZONES),
            rng.randint(1, 4),
            ready=rng.random() < READY_SHARE,
            born=self._born,
        )
        self._case.directory.update(endpoint)

    def remove_endpoint(self) -> None:
        """Remove an endpoint, or note that another one replaced it."""
        directory = self._case.directory
        known = [one.endpoint_id for one in directory.all()]
        if known:
            remove = self._rng.choice(
                (directory.discard, directory.mark_superseded)
            )
            remove(self._rng.choice(known))

    def replace_endpoints(self) -> None:
        """Replace the whole list by a part of it."""
        now = asyncio.get_running_loop().time()
        directory = self._case.directory
        kept = self._some(list(directory.all()))
        directory.replace_all(
            {one.endpoint_id: one for one in kept},
            now,
            is_restored=self._rng.randrange(200) == 0,
        )

    def evacuate(self) -> None:
        """Evacuate other availability zones."""
        now = asyncio.get_running_loop().time()
        zones = frozenset(zone for zone in ZONES if self._rng.randrange(9) == 0)
        self._case.directory.evacuate(zones, now)

    def share_retries(self) -> None:
        """Set the retry budget anew, as when other entries come or go."""
        reserve = self._rng.choice((0, 1, 4))
        limits = RetryLimits(self._rng.choice((0, 0.2, 1)), reserve)
        self._case.dispatcher.retry_limits = limits

    def change_limits(self) -> None:
        """Set other limits, none of which a request here exceeds."""
        rng = self._rng
        self._case.server.set_limits(
            CallLimits(
                rng.choice((1000, 16384)),
                rng.choice((2, 4000)),
                header_s=rng.choice((20, 40)),
                idle_s=rng.choice((20, 40)),
            )
        )

    def limit_memory(self) -> None:
        """Set another limit on what is held for all callers."""
        held = self._case.dispatcher.held
        entry = self._rng.choice(ENTRY_BYTES)
        held.limits = dataclasses.replace(held.limits, entry=entry)

    def _some(self, found: list[_Item]) -> list[_Item]:
        return [one for one in found if self._rng.random() < KEPT_SHARE]

    def _route(self, prefix: str) -> Route:
        rng = self._rng
        streams = prefix == '/s/'
        repeats = (Repeat.RESUME,) if streams else tuple(Repeat)[:2]
        return Route(
            prefix,
            'h.example',
            prefix,
            rng.choice(repeats),
            streams,
            timeout_s=rng.choice((0.05, 0.4)),
            target_s=0.1,
            gap_s=0.02 if streams else 0,
            attempts=rng.randint(1, 3),
            priority=rng.randint(1, 3),
            public=rng.random() < KEPT_SHARE,
            shares=(
                Share('desk', rng.choice((0, 1))),
                Share('hall', 1),
            ),
        )

    def _service(self, name: str) -> Service:
        rng = self._rng
        return Service(
            name,
            rng.choice((1, 10)),
            cold_per_s=rng.choice((0, 0, 0, 50)),
            cold_start_s=rng.choice((0, 0.2)),
        )


class ChangingTablesTest(CallServerCase):
    """Many calls at once, with a change in nearly each turn of the loop."""

    async def open(self, seed: int) -> None:
        """Start the endpoints."""
        self.rng = Random(seed)
        self.ports: list[int] = []
        self.running = True
        self.dispatcher = self.delegate.dispatcher
        for host in HOSTS:
            server = Server(self.behave)
            self.endpoints.append(server)
            self.ports.append(await server.start(host))
        # Later than all endpoints of the seeds before.
        tables = Tables(self, self.rng, born=seed * MAX_BORN)
        for _ in range(3 * len(HOSTS)):
            tables.change_endpoint()
        tables.change_routes()
        self.tables = tables

    async def behave(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer in one of many ways, or not at all."""
        rng = self.rng
        if rng.randrange(2):
            writer.write(rng.choice(ANSWERS))
            await writer.drain()
            return
        whole = stream(events(1, 2, 3), ends=rng.randrange(3) > 0)
        size = rng.choice((40, 120, len(whole)))
        for start in range(0, len(whole), size):
            writer.write(whole[start : start + size])
            await writer.drain()
            await asyncio.sleep(rng.choice((0, 0.01, 0.08)))

    async def change(self) -> None:
        """Change the tables until all calls have ended."""
        while self.running:
            self.rng.choice(self.tables.changes)()
            for _ in range(self.rng.randrange(MAX_TURNS)):
                await asyncio.sleep(0)

    async def call(self) -> None:
        """Send calls; each must get a status that an entry may give."""
        for _ in range(CALLS):
            path = self.rng.choice(PATHS)
            key = self.rng.choice(KEYS)
            sent = request(path, key).replace(
                b'\r\n', b'\r\nConnection: close\r\n', 1
            )
            reader, writer = await asyncio.open_connection(HOST, self.port)
            cut = self.rng.choice((len(sent), 30, len(sent) - 1))
            writer.write(sent[:cut])
            await asyncio.sleep(0)
            writer.write(sent[cut:])
            try:
                got = await reader.read()
            finally:
                writer.close()
            self.assertTrue(got.startswith(b'HTTP/1.1 '), got)
            self.assertIn(int(got.split()[1]), STATUSES)
            self.assertNotIn(b'internal-error', got)
            # Refusals come at once; the tables change before the next call.
            await asyncio.sleep(self.rng.choice((0, 0.02)))

    async def test_each_request_ends_with_an_answer(self) -> None:
        """Guard against errors between two steps, which end a call silently."""
        failures = {Event.CALL_FAILED, Event.TASK_FAILED}
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.open(seed)
                with (
                    self.assertNoLogs('tornado', 'ERROR'),
                    self.assertLogs('linnetwood', 'INFO') as captured,
                ):
                    await self.run_calls()
                lines = [record.__dict__ for record in captured.records]
                failed = [one for one in lines if one['event'] in failures]
                self.assertEqual(failed, [])
                self.assertEqual(self.delegate.active_calls, 0)
                self.assertEqual(self.dispatcher.held.total, 0)

    async def run_calls(self) -> None:
        """Run all callers beside the changes."""
        changing = asyncio.create_task(self.change())
        async with asyncio.timeout(GUARD_S):
            await asyncio.gather(*(self.call() for _ in range(CALLERS)))
        self.running = False
        await changing
