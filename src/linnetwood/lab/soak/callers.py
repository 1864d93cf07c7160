"""Callers with persistent connections, which record every call."""

import asyncio
import secrets
import time
from collections.abc import Coroutine, Mapping
from random import Random
from types import MappingProxyType
from typing import Any

from linnetwood.lab.soak.fatalparts import (
    FIRST_PARTS,
    Company,
    draw_fatal_part,
    header,
    sound_parts,
)
from linnetwood.lab.soak.fleet import CALLERS_PORT, Fleet, Vm
from linnetwood.lab.soak.history import Call, CallKind, History
from linnetwood.lab.soak.schedule import Fault
from linnetwood.lab.soak.standcalls import FATAL

KEY = 'key-1'
HOST = 'soak.example'
_PATHS: Mapping[CallKind, str] = MappingProxyType(
    {
        CallKind.STREAM: '/chat/x',
        CallKind.NON_IDEMPOTENT: '/confirm/x',
        CallKind.IDEMPOTENT: '/lookup/x',
    },
)
_CALL_TIMEOUT_S: Mapping[CallKind, float] = MappingProxyType(
    {CallKind.STREAM: 6, CallKind.NON_IDEMPOTENT: 4, CallKind.IDEMPOTENT: 4},
)
_CONNECTION_ERRORS = (OSError, EOFError, ValueError)
_HEX_BASE = 16
_MILLISECONDS = 1000
_DISCONNECT_SHARE = 0.05
_DISCONNECT_AFTER_S = (0.05, 0.4)
EVENT_COUNTS = (5, 25)
LONG_EVENT_COUNTS = (15, 60)
_THINK_TIME_S = (0.02, 0.3)
_RETRY_DELAY_S = (0.1, 1.0)
_PROBE_INTERVAL_S = (0.1, 0.4)
# The interval between calls that crash servers, in seconds.
_FATAL_CALL_INTERVAL_S = (0.2, 0.8)
# Sound calls have a new first part this long after the first fatal call.
_NEW_FIRST_PART_S = 3.0
_CONNECT_TIMEOUT_S = 1.0
_ID_BYTES = 8
_SERVICE_UNAVAILABLE = 503


class Callers:
    """Own the tasks that send calls."""

    def __init__(
        self,
        fleet: Fleet,
        history: History,
        seed: int,
        event_counts: tuple[int, int] = EVENT_COUNTS,
    ) -> None:
        """Start without callers; streams have a number of events in a range."""
        # The newest configuration that was sent; probes call its route.
        self.configuration = 1
        self._fleet = fleet
        self._history = history
        self._event_counts = event_counts
        self._rng = Random(seed)
        # The first parts of sound prompts, the most frequent last.
        self._first_parts = list(FIRST_PARTS)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, count: int) -> None:
        """Start callers, spread over the entries."""
        for number in range(count):
            vm = self._fleet.entries[number % len(self._fleet.entries)]
            self._tasks.append(asyncio.create_task(self._send_calls(vm)))
        for vm in self._fleet.entries:
            self._tasks.append(asyncio.create_task(self._send_probes(vm)))

    async def close(self) -> None:
        """Stop all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def crash_servers(self, fault: Fault) -> None:
        """Send a call that crashes servers repeatedly, to random entries."""
        rng = Random(fault.pick)
        kind = rng.choice(tuple(CallKind))
        path = f'{_PATHS[kind]}/{FATAL}-{fault.pick}'
        until = time.monotonic() + fault.span_s
        while time.monotonic() < until:
            vm = rng.choice(self._fleet.entries)
            self._run_in_background(
                Connection(vm).run(self._record_call(vm, kind, path), 1, 0)
            )
            await asyncio.sleep(rng.uniform(*_FATAL_CALL_INTERVAL_S))

    async def crash_engines(self, fault: Fault) -> None:
        """Send calls with a part that crashes engines, to random entries."""
        rng = Random(fault.pick)
        fatal = draw_fatal_part(fault.pick)
        began = time.monotonic()
        is_shared = fatal.company is not Company.NEW_FIRST
        while time.monotonic() < began + fault.span_s:
            vm = rng.choice(self._fleet.entries)
            call = self._record_call(
                vm, CallKind.STREAM, _PATHS[CallKind.STREAM], fatal.parts(rng)
            )
            self._run_in_background(Connection(vm).run(call, 4, 0))
            await asyncio.sleep(rng.uniform(*_FATAL_CALL_INTERVAL_S))
            if not is_shared and time.monotonic() > began + _NEW_FIRST_PART_S:
                is_shared = True
                self._first_parts.append(fatal.new_first_part)

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _send_calls(self, vm: Vm) -> None:
        conn = Connection(vm)
        while True:
            kind = self._rng.choice(tuple(CallKind))
            call = self._record_call(vm, kind, _PATHS[kind])
            disconnect_after_s = float()
            if (
                kind is not CallKind.NON_IDEMPOTENT
                and self._rng.random() < _DISCONNECT_SHARE
            ):
                disconnect_after_s = self._rng.uniform(*_DISCONNECT_AFTER_S)
            await conn.run(
                call, self._rng.randint(*self._event_counts), disconnect_after_s
            )
            unserved = call.status in {0, _SERVICE_UNAVAILABLE}
            delay_range_s = _RETRY_DELAY_S if unserved else _THINK_TIME_S
            await asyncio.sleep(self._rng.uniform(*delay_range_s))

    async def _send_probes(self, vm: Vm) -> None:
        conn = Connection(vm)
        while True:
            await asyncio.sleep(self._rng.uniform(*_PROBE_INTERVAL_S))
            age = self._rng.choice((0, 0, 1, 5))
            probed = max(1, self.configuration - age)
            call = self._record_call(
                vm, CallKind.IDEMPOTENT, f'/only-{probed}/x'
            )
            call.probes = probed
            await conn.run(call, 1, 0)

    def _record_call(
        self,
        vm: Vm,
        kind: CallKind,
        path: str,
        parts: tuple[str, ...] = (),
    ) -> Call:
        call = Call(
            secrets.token_hex(_ID_BYTES),
            kind,
            vm.name,
            path,
            time.monotonic(),
            _CALL_TIMEOUT_S[kind],
            parts=parts or sound_parts(self._rng, self._first_parts),
        )
        self._history.calls.append(call)
        return call


class Connection:
    """A persistent connection to an entry, reopened once it is closed."""

    def __init__(self, vm: Vm) -> None:
        """Start without a connection."""
        self._vm = vm
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(
        self, call: Call, events: int, disconnect_after_s: float
    ) -> None:
        """Send a call and read its answer, or disconnect before its end."""
        try:
            async with asyncio.timeout(disconnect_after_s or call.patience_s):
                await self._run(call, events)
        except TimeoutError:
            call.left_at = time.monotonic()
            self._close()
        except _CONNECTION_ERRORS:
            self._close()
        call.ended_at = time.monotonic()

    async def _run(self, call: Call, events: int) -> None:
        call.on_kept_connection = self._streams is not None
        if self._streams is None:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(
                    self._vm.host,
                    CALLERS_PORT,
                )
        reader, writer = self._streams
        method = 'GET' if call.kind is CallKind.IDEMPOTENT else 'POST'
        call.sent_at = time.monotonic()
        head = (
            f'{method} {call.path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: {call.call_id}\r\n'
            f'X-Deadline-Ms: {int(call.patience_s * _MILLISECONDS)}\r\n'
            f'X-Model: m-1\r\nX-Token-Counts: 10,{events}\r\n'
            f'X-Prompt-Prefix: {header(call.parts)}\r\n'
            f'Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n'
        )
        writer.write(head.encode())
        await writer.drain()
        call.written_at = time.monotonic()
        await self._read(call, reader)

    async def _read(self, call: Call, reader: asyncio.StreamReader) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status_line, *lines = head.split('\r\n')
        headers = dict(
            line.lower().split(': ', 1) for line in lines if ': ' in line
        )
        call.status = int(status_line.split(' ')[1])
        signature = [
            line.partition(': ')[2]
            for line in lines
            if line.lower().startswith('x-server-signature')
        ]
        call.signature = ''.join(signature)
        if headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(call, reader)
        else:
            size = int(headers.get('content-length', '0'))
            call.body = (await reader.readexactly(size)).decode('latin-1')
        call.whole = True
        if headers.get('connection') == 'close':
            self._close()

    async def _read_chunks(
        self,
        call: Call,
        reader: asyncio.StreamReader,
    ) -> None:
        size = -1
        while size:
            size = int((await reader.readline()).strip(), _HEX_BASE)
            chunk = await reader.readexactly(size + 2)
            call.body += chunk[:size].decode('latin-1')

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None
