"""Callers with persistent connections, which record every call."""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Coroutine, Mapping
from random import Random
from types import MappingProxyType
from typing import Any

from linnetwood.lab.soak.configuration import (
    ADDED_PREFIX,
    numbered_key,
)
from linnetwood.lab.soak.connection import Connection
from linnetwood.lab.soak.fatalparts import (
    FIRST_PARTS,
    Company,
    draw_fatal_part,
    sound_parts,
)
from linnetwood.lab.soak.fleet import Fleet, Vm
from linnetwood.lab.soak.history import Call, CallKind, History
from linnetwood.lab.soak.movedprobes import MovedProbes
from linnetwood.lab.soak.movedroutes import Target
from linnetwood.lab.soak.probes import OpenLoopProbes
from linnetwood.lab.soak.schedule import Fault
from linnetwood.lab.soak.standcalls import FATAL

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
            self._run_in_background(self._send_probes(vm))

    def start_probes(self) -> None:
        """Call each entry at a fixed rate, however long it takes to answer."""
        probes = OpenLoopProbes(self._fleet.entries, self._record_probe)
        self._run_in_background(probes.run())
        if len(self._fleet.plain_services) > 1:
            moved = MovedProbes(self._fleet.entries, self._record_moved)
            self._run_in_background(moved.run())

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
        with contextlib.closing(Connection(vm)) as conn:
            while True:
                call = await self._send_call(vm, conn)
                unserved = call.status in {0, _SERVICE_UNAVAILABLE}
                delay_range_s = _RETRY_DELAY_S if unserved else _THINK_TIME_S
                await asyncio.sleep(self._rng.uniform(*delay_range_s))

    async def _send_call(self, vm: Vm, conn: Connection) -> Call:
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
        return call

    async def _send_probes(self, vm: Vm) -> None:
        with contextlib.closing(Connection(vm)) as conn:
            while True:
                await asyncio.sleep(self._rng.uniform(*_PROBE_INTERVAL_S))
                age = self._rng.choice((0, 0, 1, 5))
                await conn.run(self._record_probe(vm, age, by_key=False), 1, 0)

    def _record_probe(self, vm: Vm, age: int, *, by_key: bool) -> Call:
        """Record a call with the route or key of a configuration."""
        probed = max(1, self.configuration - age)
        kind = CallKind.IDEMPOTENT
        path = _PATHS[kind] if by_key else f'{ADDED_PREFIX}{probed}/x'
        call = self._record_call(vm, kind, path)
        call.probes = probed
        call.key = numbered_key(probed) if by_key else call.key
        return call

    def _record_moved(self, vm: Vm, target: Target) -> Call:
        call = self._record_call(vm, CallKind.IDEMPOTENT, target.path)
        call.host = target.host
        return call

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
