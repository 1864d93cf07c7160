"""Stand-ins for engines, plain servers and the origin of weights.

Each server records the calls that it began, and an engine checks that the
chunks that it is ordered to serve are complete and of one version.
"""

import asyncio
import dataclasses
import hashlib
import json
import secrets
import time
from collections.abc import AsyncIterator, Iterator
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from linnetwood.lab.soak.fatalparts import CrashMoment, crash_moment
from linnetwood.lab.soak.history import Arrival, Notice, Run
from linnetwood.lab.soak.standanswers import (
    Answer,
    ClosingAnswer,
    answer_of,
    check_connected,
    close_connection,
)

_NOT_FOUND = 404
_CONFLICT = 409
_MISDIRECTED = 421
_SERVICE_UNAVAILABLE = 503
_ACCEPTED = 202
_SIGNATURE_BYTES = 4
_EVENT_INTERVAL_S = 0.03
_ANSWER_TIME_S = 0.02
_LOAD_TIME_S = 0.2
# A call with this in its path crashes the server that begins to run it.
FATAL = 'fatal'
_CRASH_DELAY_S = 0.06
_RESTART_DELAY_S = 3.0
_MILLISECONDS = 1000
_POOL = 'pool'
MODEL = 'm-1'
CHUNKS = 8
CHUNK_BYTES = 2048


def make_chunk(version: int, index: int) -> bytes:
    """Return the valid chunk of a version at an index."""
    seed = hashlib.sha256(f'{version}/{index}'.encode()).digest()
    return (seed * CHUNK_BYTES)[:CHUNK_BYTES]


class Server:
    """One server of a service; an engine if it has a model."""

    def __init__(self, name: str, service: str, slots: int) -> None:
        """Start without weights or calls."""
        self.name = name
        self.service = service
        self.slots = slots
        self.serving = 0
        self.alive = True
        self.draining = False
        self.changing = False
        self.notice = Notice()
        self.sequence = 0
        self.incarnation = _now_ms()
        self.staged: dict[int, bytes] = {}
        self.running: set[RequestHandler] = set()
        self._port = 0
        self._app: Application | None = None
        self._listening: HTTPServer | None = None

    def listen(self, app: Application, port: int) -> None:
        """Accept calls on a port of the loopback address."""
        self._app = app
        self._port = port
        # A stopped HTTP server can't listen again.
        self._listening = HTTPServer(app)
        self._listening.listen(port, '127.0.0.1')

    def restart(self, *, keep_staged: bool) -> None:
        """Start a new incarnation; staged chunks may be kept."""
        self.incarnation = max(self.incarnation + 1, _now_ms())
        self.notice = Notice()
        self.serving = 0
        self.sequence = 0
        self.changing = False
        if not self.alive and self._app is not None:
            self.listen(self._app, self._port)
        self.alive = True
        if not keep_staged:
            self.staged.clear()

    def crash(self) -> None:
        """Abort every call, and accept no more."""
        if self.alive and self._listening is not None:
            self._listening.stop()
        self.alive = False
        for handler in tuple(self.running):
            close_connection(handler)

    def record(self, address: str, zone: str) -> dict[str, Any]:
        """Return the record that the server writes to the store."""
        record: dict[str, Any] = {
            'service': self.service,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'draining' if self.draining else 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.incarnation,
        }
        if self.service == _POOL:
            record['models'] = self.served_models()
        return record

    def served_models(self) -> list[dict[str, Any]]:
        """Return the served models as they are reported."""
        if not self.serving:
            return []
        return [{'name': MODEL, 'version': self.serving, 'adapters': []}]


class Servers:
    """All servers, and the calls that they received."""

    def __init__(self) -> None:
        """Start without servers."""
        self.servers: dict[str, Server] = {}
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.weight_errors: list[str] = []
        self.spoils = False
        self.origin_silent = False
        # The newest version that the origin has.
        self.newest = 1

    def add(self, name: str, service: str, slots: int, port: int) -> None:
        """Add a server that listens on a port of the loopback address."""
        server = Server(name, service, slots)
        self.servers[name] = server
        shared = {'servers': self, 'server': server}
        app = Application(
            [
                ('/linnetwood/report', _Report, shared),
                ('/linnetwood/order', _Order, shared),
                (r'/linnetwood/stage-put/(.*)', _StagePut, shared),
                (r'/linnetwood/stage-get/(.*)', _StageGet, shared),
                ('/health', _Health, shared),
                ('/.*', _Call, shared),
            ],
        )
        server.listen(app, port)

    def record_arrival(self, server: Server, headers: HTTPHeaders) -> None:
        """Record that a call arrived."""
        call_id = headers.get('X-Attempt-Id', '')
        now = time.monotonic()
        self.arrivals.append(
            Arrival(
                call_id, server.name, now, server.notice, server.incarnation
            )
        )

    def record_run(self, server: Server, handler: RequestHandler) -> Run:
        """Record that a call begins to run."""
        headers = handler.request.headers
        run = Run(
            headers.get('X-Attempt-Id', ''),
            server.name,
            server.service,
            time.monotonic(),
            server.serving,
            int(headers.get('X-Deadline-Ms', '0')),
            f'{server.name}.{secrets.token_hex(_SIGNATURE_BYTES)}',
            headers.get('X-Tenant', ''),
        )
        self.runs.append(run)
        return run


class _Base(RequestHandler):
    def initialize(self, servers: Servers, server: Server) -> None:
        self.servers = servers
        self.server = server

    def prepare(self) -> None:
        if not self.server.alive:
            close_connection(self)

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""


class _Report(_Base):
    def get(self) -> None:
        """Return the load report."""
        server = self.server
        self.write(
            {
                'stage': 'combined',
                'models': server.served_models(),
                'utilization': server.changing,
                'sequence': server.sequence,
                'born': server.incarnation,
                'waiting': 0,
                'running': len(server.running),
                'kv_used': 0,
                'kv_total': 1,
                'handles': 0,
            },
        )


class _Health(_Base):
    def get(self) -> None:
        """Report healthy unless the server is draining."""
        self.set_header('X-Instance-Id', self.server.name)
        if self.server.draining:
            self.set_status(_SERVICE_UNAVAILABLE)


class _StagePut(_Base):
    def put(self, model: str) -> None:
        """Store a chunk."""
        index = int(self.get_argument('quantity'))
        self.server.staged[index] = self.request.body


class _StageGet(_Base):
    def get(self, model: str) -> None:
        """Return a chunk, or the list of those that are stored."""
        index = self.get_argument('quantity', '')
        staged = self.server.staged
        if not index:
            self.write({'held': sorted(staged)})
            return
        if int(index) not in staged:
            self.set_status(_NOT_FOUND)
            return
        self.write(staged[int(index)])


class _Order(_Base):
    async def post(self) -> None:
        """Load the staged chunks, and record which of them are wrong."""
        server = self.server
        order = json.loads(self.request.body)
        if order['expected_revision'] != server.sequence:
            self.set_status(_CONFLICT)
            return
        server.sequence += 1
        server.changing = True
        version = order['version']
        staged = dict(server.staged)
        expected = {
            index: make_chunk(version, index) for index in range(CHUNKS)
        }
        if staged != expected:
            mismatched = [
                one for one in expected if staged.get(one) != expected[one]
            ]
            now = time.monotonic()
            description = (
                f'{now:.3f} {server.name} version {version}: {mismatched}'
            )
            self.servers.weight_errors.append(description)
        self.set_status(_ACCEPTED)
        incarnation = server.incarnation
        loop = asyncio.get_running_loop()
        loop.call_later(_LOAD_TIME_S, _load, server, version, incarnation)


def _load(server: Server, version: int, incarnation: int) -> None:
    if server.incarnation == incarnation:
        server.changing = False
        server.serving = version


class _Call(_Base):
    async def post(self) -> None:
        """Run a call if it is addressed to this server and a slot is free."""
        server = self.server
        headers = self.request.headers
        self.servers.record_arrival(server, headers)
        for header in _notice_headers(server.notice):
            self.set_header(*header)
        if not _is_addressed(server, headers):
            self.set_header('X-Instance-Id', server.name)
            self.set_header('At-Server', server.name)
            self.set_status(_MISDIRECTED)
            return
        full = len(server.running) >= server.slots
        if full or server.changing or server.notice.rest_s:
            self.set_header('X-Not-Executed', '1')
            self.set_status(_SERVICE_UNAVAILABLE)
            return
        await self._run(self.servers.record_run(server, self))

    async def get(self) -> None:
        """Run a call that may be repeated."""
        await self.post()

    def on_connection_close(self) -> None:
        """Stop the call, since the client disconnected."""
        self.is_disconnected = True

    async def _run(self, run: Run) -> None:
        running = self.server.running
        running.add(self)
        try:
            await self._crash_if_fatal(run)
            await self._serve(run)
            run.finished = True
        except (StreamClosedError, asyncio.CancelledError):
            run.finished = False
        finally:
            run.ended_at = time.monotonic()
            running.discard(self)

    async def _crash_if_fatal(self, run: Run) -> None:
        """Crash the server if this call is fatal."""
        if FATAL in self.request.path:
            await self._crash_server(run)

    async def _crash_server(self, run: Run) -> None:
        server = self.server
        incarnation = server.incarnation
        await asyncio.sleep(_CRASH_DELAY_S)
        if server.alive and server.incarnation == incarnation:
            run.crashed = True
            server.crash()
            asyncio.get_running_loop().call_later(
                _RESTART_DELAY_S, _restart, server
            )
        raise StreamClosedError

    async def _serve(self, run: Run) -> None:
        engine = self.server.service == _POOL
        await (self._stream(run) if engine else self._answer(run))

    async def _answer(self, run: Run) -> None:
        await asyncio.sleep(_ANSWER_TIME_S)
        run.body = f'{run.server} {run.call_id} {run.signature}'
        self._sign(run)
        answer = answer_of(self, run.call_id, streams=False)
        answer.begin()
        await answer.send(run.body)
        await answer.end()

    async def _stream(self, run: Run) -> None:
        self._sign(run)
        self.set_header('X-Weight-Versions', str(run.version))
        self.set_header('Content-Type', 'text/event-stream')
        moment = crash_moment(self.request.headers.get('X-Prompt-Prefix', ''))
        closes = moment is not None and moment.ends_with_connection
        answer = (
            ClosingAnswer(self)
            if closes
            else answer_of(self, run.call_id, streams=True)
        )
        answer.begin()
        if moment is not None:
            await self._crash_in_answer(run, answer, moment)
        async for event in self._events(run):
            await answer.send(event)
        await answer.end()

    async def _crash_in_answer(
        self, run: Run, answer: Answer, moment: CrashMoment
    ) -> None:
        if moment is not CrashMoment.BEFORE_EVENTS:
            event = await anext(self._events(run))
            if moment is CrashMoment.INSIDE_EVENT:
                event = event.rstrip()
            await answer.send(event)
        await self._crash_server(run)

    async def _events(self, run: Run) -> AsyncIterator[str]:
        counts = self.request.headers.get('X-Token-Counts', '10,10')
        total = int(counts.partition(',')[2])
        after = int(self.request.headers.get('Last-Event-Id', '0'))
        for number in range(after + 1, total + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            check_connected(self)
            row = f'{run.call_id}|{number}|{total}|{run.version}'
            yield f'id: {number}\ndata: {row}\n\n'

    def _sign(self, run: Run) -> None:
        self.set_header('X-Attempt-Id', run.call_id)
        self.set_header('X-Server-Signature', run.signature)


class Origin(RequestHandler):
    """Return manifests and chunks; some are corrupted on command."""

    def initialize(self, servers: Servers) -> None:
        """Use the shared state."""
        self.servers = servers

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""

    async def get(self, what: str, model: str) -> None:
        """Return a manifest or a chunk."""
        while self.servers.origin_silent:
            await asyncio.sleep(_LOAD_TIME_S)
        newest = str(self.servers.newest)
        version = int(self.get_argument('version', newest))
        if version > self.servers.newest:
            self.set_status(_NOT_FOUND)
            return
        if what == 'manifest':
            rows = [make_chunk(version, index) for index in range(CHUNKS)]
            self.write(
                {
                    'model': model,
                    'version': version,
                    'chunk_bytes': CHUNK_BYTES,
                    'layers': CHUNKS,
                    'digests': [
                        hashlib.sha256(one).hexdigest() for one in rows
                    ],
                },
            )
            return
        chunk = make_chunk(version, int(self.get_argument('quantity')))
        is_corrupted = self.servers.spoils and secrets.randbelow(2)
        self.write(bytes(CHUNK_BYTES) if is_corrupted else chunk)


class Control(RequestHandler):
    """Carry out commands of the soak, and return what was recorded."""

    def initialize(self, servers: Servers) -> None:
        """Use the shared state."""
        self.servers = servers

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""

    def get(self) -> None:
        """Return all recorded calls and arrivals."""
        runs = [dataclasses.asdict(run) for run in self.servers.runs]
        arrivals = [dataclasses.asdict(one) for one in self.servers.arrivals]
        self.write(
            {
                'runs': runs,
                'arrivals': arrivals,
                'found': self.servers.weight_errors,
            },
        )

    def post(self) -> None:
        """Command a server or set a fault; return the servers' records."""
        command = json.loads(self.request.body)
        server = self.servers.servers.get(command.get('server', ''))
        if server is not None:
            self._run_command(server, command)
        for field in command.keys() & {'spoils', 'origin_silent'}:
            setattr(self.servers, field, bool(command[field]))
        self.servers.newest = int(command.get('newest', self.servers.newest))
        self.write(
            {
                name: one.record('', '')
                for name, one in self.servers.servers.items()
                if one.alive and one.name == name
            },
        )

    def _run_command(self, server: Server, command: dict[str, Any]) -> None:
        match command['order']:
            case 'crash':
                server.crash()
            case 'start':
                server.restart(keep_staged=command['keeps'])
            case 'drain':
                server.draining = True
                server.notice = dataclasses.replace(server.notice, leaving=True)
            case 'say':
                changed = command['says']
                server.notice = dataclasses.replace(server.notice, **changed)
            case 'serve':
                server.serving = command['version']
            case 'rename':
                server.draining = False
                server.name = command['name']
                self.servers.servers[server.name] = server
                server.restart(keep_staged=False)


def application(servers: Servers) -> Application:
    """Return the origin and the control as a tornado application."""
    shared = {'servers': servers}
    return Application(
        [
            (r'/linnetwood/(manifest|piece)/(.*)', Origin, shared),
            ('/control', Control, shared),
        ],
    )


def _is_addressed(server: Server, headers: HTTPHeaders) -> bool:
    """Return whether a call names this server and the served version."""
    if headers.get('X-Expected-Instance', '') != server.name:
        return False
    wanted = headers.get('X-Expected-Version', str(server.serving))
    serves = bool(server.serving) or server.service != _POOL
    return serves and wanted == str(server.serving)


def _notice_headers(notice: Notice) -> Iterator[tuple[str, str]]:
    """Yield the headers of a notice."""
    if notice.limit:
        yield 'Server-Limit', str(notice.limit)
    if notice.leaving:
        yield 'Server-Leaving', '1'
    if notice.rest_s:
        yield 'Retry-After', str(notice.rest_s)


def _restart(server: Server) -> None:
    if not server.alive:
        server.restart(keep_staged=True)


def _now_ms() -> int:
    return int(time.time() * _MILLISECONDS)
