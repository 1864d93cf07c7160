"""The platform's programs on loopback with lowered limits, for one test.

The store and the servers run in the test's own loop, the programs in processes
of their own.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from linnetwood.core.sizes import KIB, MIB
from linnetwood.lab.soak.standstore import StoreState
from linnetwood.lab.soak.standstore import application as store_application
from linnetwood.programs.metricspage import PORT as METRICS_PORT
from tests.crowds import request
from tests.process_usage import Usage, peak_resident, usage_of

# What the settings of each process allow it.
MEMORY_MB = 120
FILE_DESCRIPTORS = 600
MEMORY_BYTES = MEMORY_MB * 1000000
# 200 descriptors are for files; sockets and pipes share the rest.
CONNECTIONS = FILE_DESCRIPTORS - 200

CALLERS_PORT = 8005
READY_PORT = 8002
WIRE_PORT = 7700
HOST_NAME = 'desk.example'
SMALL = '/small/x'
LARGE = '/large/x'
STREAM = '/stream/x'
LARGE_BYTES = 8 * MIB
_LOOPBACK = '127.0.0.1'
_PORTS = (CALLERS_PORT, READY_PORT, WIRE_PORT, METRICS_PORT)
_BLOCK = b'x' * (64 * KIB)
_EVENT = b'id: %d\ndata: ' + b'x' * 4000 + b'\n\n'
_SMALL_BODY = b'ok'
_SLOTS = 400
_TIMEOUT_MS = 60000
_CALLER_WAITS_MS = 60000
_POLL_S = 0.2
# Limits that only end a test whose process hangs.
_START_WITHIN_S = 60.0
_ANSWER_WITHIN_S = 10.0
SERVED_WITHIN_S = 30.0
_STOP_WITHIN_S = 30.0

_SETTINGS = """
node = "{name}"
ip = "{host}"
zone = "z1"
region = "z1"
internal_port_range = [{wire}, {wire}]
{app}
[listen]
{listen}
[platform]
address = "{store}"
[limits]
link_mbps = 1000
memory_mb = {memory_mb}
file_descriptors = {descriptors}
[bounds]
grace_period_s = 8
version_ms = 8000
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_budget_extra = 100
"""


class PlainServers:
    """Servers that answer small, large and streamed, as fast as it is read."""

    def __init__(self) -> None:
        """Start without servers."""
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> int:
        """Start one more server; return its port."""
        server = await asyncio.start_server(self._serve, _LOOPBACK, 0)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop all of them."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        line, *fields = head.decode('latin-1').split('\r\n')
        target = line.split(' ')[1]
        named = dict(one.split(': ', 1) for one in fields if one)
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n'
            + f'X-Attempt-Id: {named.get("X-Attempt-Id", "")}\r\n'.encode()
        )
        if target == LARGE:
            await self._send_large(writer)
        elif target == STREAM:
            await self._send_stream(writer)
        else:
            size = len(_SMALL_BODY)
            writer.write(b'Content-Length: %d\r\n\r\n' % size + _SMALL_BODY)
            await writer.drain()

    async def _send_large(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b'Content-Length: %d\r\n\r\n' % LARGE_BYTES)
        for _ in range(LARGE_BYTES // len(_BLOCK)):
            writer.write(_BLOCK)
            await writer.drain()

    async def _send_stream(self, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number in range(LARGE_BYTES // len(_EVENT)):
            event = _EVENT % number
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


@dataclasses.dataclass(slots=True)
class Program:
    """A process of the system, and the most that it was seen to use."""

    process: 'subprocess.Popen[bytes]'
    highest: Usage = Usage()
    measuring: asyncio.Task[None] | None = None

    @property
    def lives(self) -> bool:
        """Return whether it has not ended."""
        return self.process.poll() is None

    def start_measuring(self) -> None:
        """Note what it uses, again and again."""
        self.measuring = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        while self.lives:
            self.highest = self.highest.highest(usage_of(self.process.pid))
            await asyncio.sleep(_POLL_S)

    @property
    def peak_memory(self) -> int:
        """Return the most memory that was seen, in bytes."""
        peak = peak_resident(self.process.pid)
        return max(self.highest.memory, peak)

    async def close(self) -> None:
        """Stop it, by force if it hangs."""
        if self.measuring is not None:
            self.measuring.cancel()
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(self.process.wait, _STOP_WITHIN_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class CrowdRig:
    """A store, two plain servers, and programs of the platform."""

    def __init__(self) -> None:
        """Choose an address of its own; start nothing."""
        self.host = _free_host()
        self.servers = PlainServers()
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='linnetwood-crowd'))
        self._store = StoreState()
        self._store_port = 0

    async def start(self) -> None:
        """Start the store and the servers."""
        sockets = bind_sockets(0, _LOOPBACK)
        self._store_port = sockets[0].getsockname()[1]
        store = HTTPServer(store_application(self._store))
        store.add_sockets(sockets)
        self._stack.callback(store.stop)
        self._stack.push_async_callback(self.servers.close)
        self._write('op/config', _configuration())
        for number in range(2):
            port = await self.servers.start()
            self._write(f'servers/i-{number}', _record(port))

    async def start_entry(self) -> Program:
        """Start an entry, and wait until it is ready."""
        listen = (
            f'frontend = "{self.host}:{CALLERS_PORT}"\n'
            f'ready = "{self.host}:{READY_PORT}"'
        )
        program = self._start_program('resident_entry', listen, '')
        async with asyncio.timeout(_START_WITHIN_S):
            while not await self.is_ready():
                await asyncio.sleep(_POLL_S)
        return program

    async def start_endpoint(self) -> Program:
        """Start an endpoint process, and wait until it has a page."""
        # No engine answers: its reports fail, and the process goes on.
        app = f'app = "{self.host}:1"'
        program = self._start_program('resident_endpoint', '', app)
        async with asyncio.timeout(_START_WITHIN_S):
            while not await self.has_metrics():
                await asyncio.sleep(_POLL_S)
        return program

    async def close(self) -> None:
        """Stop everything."""
        await self._stack.aclose()

    async def is_served(self) -> bool:
        """Return whether an ordinary request gets its answer."""
        wait = f'X-Deadline-Ms: {_CALLER_WAITS_MS}'
        ordinary = request(
            SMALL, HOST_NAME, (wait, 'X-Attempt-Id: one', 'Connection: close')
        )
        head, _, body = await self.ask(CALLERS_PORT, ordinary)
        return head.startswith(b'HTTP/1.1 200 ') and body == _SMALL_BODY

    async def is_ready(self) -> bool:
        """Return whether the entry tells the balancer that it is ready."""
        asked = request('/ready', HOST_NAME, ('Connection: close',))
        head, _, _ = await self.ask(READY_PORT, asked)
        return head.startswith(b'HTTP/1.1 200 ')

    async def has_metrics(self) -> bool:
        """Return whether the metrics of a process can be read."""
        asked = request('/metrics', HOST_NAME, ('Connection: close',))
        head, _, body = await self.ask(METRICS_PORT, asked)
        length = b'Content-Length: %d\r\n' % len(body)
        return head.startswith(b'HTTP/1.1 200 ') and length in head

    async def ask(self, port: int, asked: bytes) -> tuple[bytes, bytes, bytes]:
        """Return head, separator and body of an answer; empty for none."""
        try:
            async with asyncio.timeout(_ANSWER_WITHIN_S):
                return await self._ask(port, asked)
        except (OSError, TimeoutError):
            return b'', b'', b''

    async def _ask(self, port: int, asked: bytes) -> tuple[bytes, bytes, bytes]:
        reader, writer = await asyncio.open_connection(self.host, port)
        try:
            writer.write(asked)
            return (await reader.read()).partition(b'\r\n\r\n')
        finally:
            writer.close()

    def _write(self, key: str, record: dict[str, Any]) -> None:
        self._store.write(key, json.dumps(record).encode())

    def _start_program(self, name: str, listen: str, app: str) -> Program:
        path = self._folder / f'{name}.toml'
        path.write_text(
            _SETTINGS.format(
                name=name,
                host=self.host,
                wire=WIRE_PORT,
                app=app,
                listen=listen,
                store=f'{_LOOPBACK}:{self._store_port}',
                memory_mb=MEMORY_MB,
                descriptors=FILE_DESCRIPTORS,
            )
        )
        with open(self._folder / f'{name}.log', 'ab') as stream:
            process = subprocess.Popen(
                (sys.executable, '-m', f'linnetwood.programs.{name}'),
                stdout=stream,
                stderr=stream,
                env={**os.environ, 'LINNETWOOD_NODE_FILE': str(path)},
                preexec_fn=limit_descriptors,
            )
        program = Program(process)
        program.start_measuring()
        self._stack.push_async_callback(program.close)
        return program


def limit_descriptors() -> None:
    """Let the kernel hold this process to its descriptors."""
    limits = (FILE_DESCRIPTORS, FILE_DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def _free_host() -> str:
    """Return a loopback address at which all ports of a VM are free."""
    while True:
        host = f'127.{random.randrange(20, 250)}.{random.randrange(250)}.9'
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in _PORTS:
                stack.enter_context(socket.socket()).bind((host, port))
            return host


def _configuration() -> dict[str, Any]:
    routes = [
        {
            'name': target,
            'host': HOST_NAME,
            'path_prefix': target.removesuffix('x'),
            'kind': 'streaming' if target == STREAM else 'idempotent',
            'timeout_ms': _TIMEOUT_MS,
            'target_latency_ms': _TIMEOUT_MS,
            'service': 'desk',
            'max_attempts': 2,
            'public': True,
        }
        for target in (SMALL, LARGE, STREAM)
    ]
    return {
        'version': 1,
        'routes': routes,
        'services': [{'name': 'desk', 'connection_limit': 2 * _SLOTS}],
        'limits': {},
    }


def _record(port: int) -> dict[str, Any]:
    return {
        'service': 'desk',
        'address': f'{_LOOPBACK}:{port}',
        'zone': 'z1',
        'version': 'v1',
        'slots': _SLOTS,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 0,
    }
