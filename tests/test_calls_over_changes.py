"""Calls in progress while routes move between services that both have servers.

Guards against a call that is decided by a configuration from before it was
whole, and against attempts at a service that no configuration allowed between
then and now: the head is read before a change and the body after it, answers
are held back over several changes, and attempts are rejected or cut and sent
again, streams are resumed. Callers use new and kept connections.
"""

import asyncio
import contextlib
import dataclasses
import functools
from random import Random
from typing import Any

from linnetwood.fleet.ranges import Change
from linnetwood.platform.settings import ProcessSettings
from tests.direct_calls import answer, events
from tests.process_settings import process_settings
from tests.test_callserver import request
from tests.test_configuration_cases import NO_ROUTE, ConfigurationCase, config
from tests.test_curldriver import HOST

SEEDS = range(6)
STEPS = 120
CALLERS = 6
SERVICES = ('desk', 'hall')
PATHS = ('/a/x', '/s/x')
KINDS: tuple[dict[str, Any], ...] = (
    {'kind': 'idempotent'},
    {'kind': 'streaming', 'stream_resumption': True, 'target_gap_ms': 60000},
)
GUARD_S = 60


def routes_to(*services: str) -> list[dict[str, Any]]:
    """Return a route to each path, at these services; '' drops it."""
    return [
        {
            **kind,
            'name': path,
            'host': 'h.example',
            'path_prefix': path[:3],
            'timeout_ms': 60000,
            'max_attempts': 3,
            'service': service,
        }
        for path, kind, service in zip(PATHS, KINDS, services, strict=True)
        if service
    ]


@dataclasses.dataclass(slots=True)
class Sent:
    """A call, and which configurations were in force as it went on."""

    call_id: str
    path: str
    whole_at: int = 0
    ended_at: int = 0
    status: int = 0
    # The service of each attempt, and the configuration in force by then.
    attempts: list[tuple[str, int]] = dataclasses.field(default_factory=list)


class CallsOverChangesTest(ConfigurationCase):
    """Change routes between the steps of calls."""

    async def asyncSetUp(self) -> None:
        """Start the entry and its endpoints."""
        await super().asyncSetUp()
        self.entry._cfg = settings_with_retries()
        # The services of both routes, by configuration.
        self.said: list[tuple[str, ...]] = []
        self.sent: dict[str, Sent] = {}
        self.held: list[asyncio.Future[str]] = []

    async def serve(self, name: str, service: str, **more: object) -> Change:
        """Start an endpoint that holds each call back."""
        found = await super().serve(name, service, **more)
        self.servers[name]._behave = functools.partial(
            self.attend, name, service
        )
        return found

    async def test_attempts_follow_a_configuration_since_the_call(self) -> None:
        """Whatever changes between the steps of a call."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.asyncTearDown()
                await self.asyncSetUp()
                async with asyncio.timeout(GUARD_S):
                    await self.play(Random(seed))
                for one in self.sent.values():
                    self.check(one)

    def check(self, sent: Sent) -> None:
        """Compare the services of a call's attempts with what was in force."""
        place = PATHS.index(sent.path)
        said = [services[place] for services in self.said]
        for service, at in sent.attempts:
            self.assertIn(service, said[sent.whole_at : at + 1], sent)
        if sent.status == NO_ROUTE[0]:
            self.assertIn('', said[sent.whole_at : sent.ended_at + 1], sent)

    async def play(self, rng: Random) -> None:
        """Change routes, and call, in drawn order."""
        for number in range(6):
            service = SERVICES[number % 2]
            self.write(await self.serve(f'e-{number}', service))
        self.move(rng)
        callers = [
            asyncio.create_task(self.call_often(rng, number))
            for number in range(CALLERS)
        ]
        for _ in range(STEPS):
            await asyncio.sleep(rng.choice((0, 0, 0.001, 0.004)))
            rng.choice((self.move, self.let_go, self.let_go))(rng)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

    def move(self, rng: Random) -> None:
        """Put the next configuration in force."""
        services = tuple(rng.choice((*SERVICES * 2, '')) for _ in PATHS)
        self.said.append(services)
        said = config(len(self.said) + 7, routes=routes_to(*services))
        self.configure(said)

    def let_go(self, rng: Random) -> None:
        """Let some endpoints end the calls that they hold."""
        for one in rng.sample(self.held, rng.randint(0, len(self.held))):
            self.held.remove(one)
            if not one.done():
                one.set_result(rng.choice(('answer', 'reject', 'cut', 'cut')))

    async def attend(
        self,
        name: str,
        service: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run an attempt: note it, begin a stream, and end it when told."""
        asked = self.servers[name].requests.pop()
        call_id = field_of(asked, b'X-Attempt-Id')
        sent = self.sent[call_id]
        sent.attempts.append((service, len(self.said) - 1))
        after = int(field_of(asked, b'Last-Event-Id') or 0)
        head = f'X-Attempt-Id: {call_id}\r\nX-Server-Signature: s\r\n'
        held: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.held.append(held)
        streams = sent.path == PATHS[1]
        if streams:
            begun = (
                f'HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n'
            )
            writer.write(begun.encode())
            part = events(after + 1)
            writer.write(b'%x\r\n%s\r\n' % (len(part), part))
        end = await held
        if end == 'answer' and streams:
            writer.write(b'0\r\n\r\n')
        elif end == 'answer':
            writer.write(answer(f'200 OK\r\n{head}', b'fine'))
        elif end == 'reject' and not streams:
            writer.write(answer(f'503 No\r\n{head}X-Not-Executed: 1\r\n', b''))

    async def call_often(self, rng: Random, number: int) -> None:
        """Send one call after the other."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        while True:
            sent = Sent(f'c-{number}-{len(self.sent)}', rng.choice(PATHS))
            self.sent[sent.call_id] = sent
            asked = request(sent.path).replace(b'c-1', sent.call_id.encode())
            self.entry._follower.confirmed_at = (
                asyncio.get_running_loop().time()
            )
            writer.write(asked[:-1])
            await asyncio.sleep(rng.choice((0, 0.001, 0.01)))
            sent.whole_at = len(self.said) - 1
            writer.write(asked[-1:])
            ends = True
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status, ends = await read_answer(reader)
                sent.status = status
            sent.ended_at = len(self.said) - 1
            if ends or not rng.randrange(3):
                writer.close()
                reader, writer = await asyncio.open_connection(HOST, self.port)


def settings_with_retries() -> ProcessSettings:
    """Return settings that allow retries of all calls."""
    return process_settings(retry_share=9, retry_extra=900)


def field_of(asked: bytes, name: bytes) -> str:
    """Return a header of a request, or an empty text."""
    _, _, rest = asked.partition(name + b': ')
    return rest.partition(b'\r\n')[0].decode()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Read a whole answer; return its status, and if the connection ends."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = dict(
        line.lower().split(': ', 1)
        for line in head.decode().split('\r\n')[1:]
        if line
    )
    length = lines.get('content-length')
    if length is None:
        await reader.readuntil(b'\r\n0\r\n\r\n')
    else:
        await reader.readexactly(int(length))
    return int(head.split()[1]), lines.get('connection') == 'close'
