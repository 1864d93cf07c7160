"""Inject faults from outside, and record what each affected."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from types import MappingProxyType
from typing import Any

from linnetwood.lab.soak.callers import Callers
from linnetwood.lab.soak.commands import Commands
from linnetwood.lab.soak.configfaults import ConfigurationFaults
from linnetwood.lab.soak.endlessfaults import EndlessFaults
from linnetwood.lab.soak.faultlog import FaultLog
from linnetwood.lab.soak.fleet import SERVER_PORT, Fleet, Vm
from linnetwood.lab.soak.history import AckedWrite, History
from linnetwood.lab.soak.limits import Limits
from linnetwood.lab.soak.restoration import Restoration
from linnetwood.lab.soak.schedule import Fault
from linnetwood.lab.soak.silencefaults import SilenceFaults
from linnetwood.lab.soak.storefaults import StoreFaults
from linnetwood.lab.soak.totalloss import PowerCut, StoreState

_RECORDS_INTERVAL_S = 0.3
_RESTART_DELAY_S = 0.5
_DRAIN_S = 3.0
_PAUSES_S = (3.0, 2.0)
# Rate limits that a server announces, in calls a second.
_RATE_LIMITS = (1.0, 1.8, 0.5, 4.0)
_MODES: Mapping[str, str] = MappingProxyType(
    {
        'way slow': 'slow',
        'way silent': 'silent',
        'way cut one way': 'one-way',
        'way resets': 'resets',
        'store silent': 'silent',
        'store resets': 'resets',
    },
)


class FaultInjector:
    """Own the records of servers, the configuration and the faults."""

    def __init__(
        self,
        fleet: Fleet,
        history: History,
        callers: Callers,
        limits: Limits,
    ) -> None:
        """Start without a fault."""
        self.counts: dict[str, int] = {}
        self._fleet = fleet
        self._history = history
        self._callers = callers
        # The longest time until a killed process is ready again.
        self._ready_s = limits.ready_s
        # A silenced connection stays silent until it is closed.
        self._silenced_s = limits.silenced_s
        self._commands = Commands(fleet)
        self._written_records: dict[str, dict[str, Any]] = {}
        self._ever_written: set[str] = set()
        self._locations = dict(fleet.servers)
        self._log = FaultLog(history.troubles)
        self._configurations = ConfigurationFaults(
            fleet, self._commands, history, callers
        )
        self._store = StoreFaults(
            fleet, self._commands, self._log, self._configurations
        )
        self._silences = SilenceFaults(self._commands, history, self._locations)
        self._endless = EndlessFaults(self._commands, history, self._locations)
        self._starts = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Write the initial records to the store."""
        for name in self._fleet.servers:
            if name.startswith('i-engine'):
                await self._commands.order(name, 'serve', version=1)
        await self._write_server_records()
        await self._configurations.configure()
        self._start_task(self._keep_writing_records())

    async def close(self) -> None:
        """Cancel all faults."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def inject(self, fault: Fault) -> None:
        """Start a fault, which ends by itself."""
        self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
        self._start_task(self._run_fault(fault))

    async def wait_until_ended(self) -> None:
        """Wait until every fault has ended."""
        while len(self._tasks) > 1:
            await asyncio.sleep(_RECORDS_INTERVAL_S)

    async def _run_fault(self, fault: Fault) -> None:
        entries = self._fleet.entries
        engines = self._fleet.engines
        handlers: dict[str, Callable[[Fault], Awaitable[None]]] = {
            'kill entry': partial(self._restart, entries, signal.SIGKILL),
            'stop entry': partial(self._restart, entries, signal.SIGTERM),
            'pause entry': partial(self._pause, entries),
            'hup entry': self._reload,
            'kill endpoint': partial(self._restart, engines, signal.SIGKILL),
            'pause endpoint': partial(self._pause, engines),
            'crash server': self._crash,
            'server silent': self._silences.silence,
            'server dark': self._silences.darken,
            'server endless': self._endless.run,
            'drain server': self._drain,
            'call that ends servers': partial(
                self._crash_by_calls, self._callers.crash_servers
            ),
            'part that ends engines': partial(
                self._crash_by_calls, self._callers.crash_engines
            ),
            'server in need': partial(self._send_notice, 'limit', _RATE_LIMITS),
            'server asks for rest': partial(
                self._send_notice, 'rest_s', _PAUSES_S
            ),
            'server leaves unlisted': self._leave_unlisted,
            'store down': self._store.disturb,
            'store slow': self._store.disturb,
            'store forgets': self._store.disturb,
            'store lost': self._store.disturb,
            'store lags': self._store.disturb,
            'store deaf': self._store.forget_beside_series,
            'store turns away': self._store.turn_away,
            'record unreadable': self._store.spoil_record,
            'write late': self._configurations.configure_late,
            'reuse address': self._reuse_address,
            'link lossy': self._lose_packets,
            'store restored': self._restore_store,
            'spoilt pieces': self._disturb_origin,
            'origin silent': self._disturb_origin,
            'link full': self._fill_link,
            'config': self._configurations.write_configurations,
            'configs': self._configurations.write_configurations,
            'config large': self._configurations.write_large,
            'config idle': self._configurations.change_idle_time,
            'route without servers': self._configurations.move_route,
            'version': self._configurations.write_next_version,
            'all lost': self._cut_power,
        }
        await handlers.get(fault.kind, self._disturb_connections)(fault)

    async def _restart(
        self,
        among: list[Vm],
        signum: signal.Signals,
        fault: Fault,
    ) -> None:
        vm = _choose(among, fault)
        process = vm.process
        if process is None or not vm.alive:
            return
        index = self._log.begin(fault.kind, vm.name, self._fleet.version_s)
        process.send_signal(signal.SIGCONT)
        process.send_signal(signum)
        while process.poll() is None:
            await asyncio.sleep(_RECORDS_INTERVAL_S / 3)
        await asyncio.sleep(_RESTART_DELAY_S)
        if vm.process is process:
            self._fleet.start(vm)
        self._log.end(index, self._ready_s)

    async def _reload(self, fault: Fault) -> None:
        """Tell an entry that its settings file has changed.

        The signal ends a process that is still starting.
        """
        vm = _choose(self._fleet.entries, fault)
        now = time.monotonic()
        is_running = self._history.is_fault_free(vm.name, now, now + 1)
        if vm.process is not None and vm.alive and is_running:
            reloads = FaultLog(self._history.reloads)
            index = reloads.begin(fault.kind, vm.name, 0)
            vm.process.send_signal(signal.SIGHUP)
            reloads.end(index)

    async def _pause(self, among: list[Vm], fault: Fault) -> None:
        vm = _choose(among, fault)
        process = vm.process
        if process is None or not vm.alive:
            return
        index = self._log.begin(fault.kind, vm.name, fault.span_s)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.span_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        self._log.end(index)

    async def _crash(self, fault: Fault) -> None:
        name = _choose(sorted(self._locations), fault)
        index = self._log.begin(fault.kind, name, fault.span_s)
        await self._commands.order(name, 'crash')
        await asyncio.sleep(fault.span_s)
        await self._commands.order(name, 'start', keeps=bool(fault.pick % 2))
        self._log.end(index)

    async def _crash_by_calls(
        self, send_calls: Callable[[Fault], Awaitable[None]], fault: Fault
    ) -> None:
        """Crash servers by calls; entries must keep within their bounds."""
        index = self._log.begin(fault.kind, 'servers', fault.span_s)
        await send_calls(fault)
        self._log.end(index, self._ready_s)

    async def _send_notice(
        self,
        field: str,
        choices: Sequence[float],
        fault: Fault,
    ) -> None:
        """Let a server send a notice; entries must keep within their bounds."""
        name = _choose(sorted(self._locations), fault)
        index = self._log.begin(fault.kind, name, fault.span_s)
        await self._set_notice(name, **{field: _choose(choices, fault)})
        await asyncio.sleep(fault.span_s)
        await self._set_notice(name, **{field: 0})
        self._log.end(index)

    async def _leave_unlisted(self, fault: Fault) -> None:
        """Let a server announce only in answers that it leaves; replace it."""
        name = _choose(sorted(self._locations), fault)
        index = self._log.begin(fault.kind, name, fault.span_s + _DRAIN_S)
        await self._set_notice(name, leaving=True)
        await self._replace_server(name, fault)
        self._log.end(index)

    async def _drain(self, fault: Fault) -> None:
        """Drain a server, stop it, and start it with a new id."""
        name = _choose(sorted(self._locations), fault)
        if name not in self._locations:
            return
        index = self._log.begin(fault.kind, name, fault.span_s + _DRAIN_S)
        await self._commands.order(name, 'drain')
        at = await self._write_server_records()
        self._history.acked.append(AckedWrite('draining', name, 0, at))
        await self._replace_server(name, fault)
        self._log.end(index)

    async def _replace_server(self, name: str, fault: Fault) -> None:
        await asyncio.sleep(_DRAIN_S + fault.span_s)
        await self._start_renamed(name)

    async def _reuse_address(self, fault: Fault) -> None:
        """End a plain server whose address one of another service takes."""
        services = self._fleet.plain_services
        records = await self._commands.servers({})
        plain = [
            name
            for name in sorted(self._locations.keys() & records.keys())
            if records[name]['service'] in services
        ]
        held = Counter(records[name]['service'] for name in plain)
        spare = [one for one in plain if held[records[one]['service']] > 1]
        if not spare:
            return
        name = _choose(spare, fault)
        place = services.index(records[name]['service']) + 1
        index = self._log.begin(fault.kind, name, fault.span_s)
        await self._commands.order(name, 'crash')
        await asyncio.sleep(fault.span_s)
        service = services[place % len(services)]
        await self._start_renamed(name, service=service)
        self._log.end(index)

    async def _start_renamed(self, name: str, **fields: object) -> None:
        self._starts += 1
        new = f'{name}-{self._starts}'
        vm = self._locations.pop(name, None)
        if vm is not None:
            self._locations[new] = vm
            await self._rename(name, new, **fields)

    async def _rename(self, name: str, new: str, **fields: object) -> None:
        await self._commands.order(name, 'crash')
        await self._commands.order(name, 'rename', name=new, **fields)
        await self._write_server_records()

    async def _restore_store(self, fault: Fault) -> None:
        """Restore the store from a copy, then write all records again."""
        configure = self._configurations.configure
        restoration = Restoration(self._commands, configure)
        await restoration.copy()
        index = self._log.begin(fault.kind, '', fault.span_s)
        await restoration.restore(fault.span_s)
        # The copy names servers that have stopped since.
        self._written_records = dict.fromkeys(self._ever_written, {})
        await configure()
        await self._configurations.write_version()
        await self._write_server_records()
        self._log.end(index, self._ready_s)

    async def _lose_packets(self, fault: Fault) -> None:
        """Lose packets on a link, which affects the entries of both zones."""
        zones = self._fleet.lose_packets(fault.pick, fault.span_s)
        indexes = [
            self._log.begin(fault.kind, vm.name, fault.span_s)
            for vm in self._fleet.entries
            if vm.zone in zones
        ]
        await asyncio.sleep(fault.span_s)
        for index in indexes:
            self._log.end(index)

    async def _disturb_origin(self, fault: Fault) -> None:
        field = 'spoils' if fault.kind == 'spoilt pieces' else 'origin_silent'
        index = self._log.begin(fault.kind, '', fault.span_s)
        await self._commands.servers({field: True})
        await asyncio.sleep(fault.span_s)
        await self._commands.servers({field: False})
        self._log.end(index)

    async def _disturb_connections(self, fault: Fault) -> None:
        """Disturb connections of some entries to the store, or to a server."""
        if fault.kind.startswith('store'):
            first = fault.pick % len(self._fleet.entries)
            who = [vm.name for vm in self._fleet.entries[first::2]]
            connections = [f'store-{name}' for name in who]
        else:
            connections = [_choose(sorted(self._fleet.servers), fault)]
            who = ['']
        span_s = fault.span_s + self._silenced_s
        indexes = [self._log.begin(fault.kind, one, span_s) for one in who]
        self._fleet.set_proxy_mode(connections, _MODES[fault.kind])
        await asyncio.sleep(fault.span_s)
        self._fleet.set_proxy_mode(connections, 'pass')
        for index in indexes:
            self._log.end(index, self._silenced_s)

    async def _fill_link(self, fault: Fault) -> None:
        """Fill a link between zones; this excuses nothing."""
        self._fleet.fill_link(fault.pick, fault.span_s)
        await asyncio.sleep(fault.span_s)

    async def _cut_power(self, fault: Fault) -> None:
        state = _choose(tuple(StoreState), fault)
        index = self._log.begin(fault.kind, '', fault.span_s + self._ready_s)
        if state is not StoreState.ANSWERS:
            # Running servers write their records again.
            self._written_records = {}
        power_cut = PowerCut(self._fleet, self._commands)
        await power_cut.run(sorted(self._locations), fault.span_s, state)
        self._log.end(index, self._ready_s)

    async def _keep_writing_records(self) -> None:
        while True:
            await asyncio.sleep(_RECORDS_INTERVAL_S)
            await self._write_server_records()

    async def _write_server_records(self) -> float:
        """Write the records of servers that changed; return the time."""
        records = await self._commands.servers({})
        current = {
            name: {**records[name], **_location(vm)}
            for name, vm in self._locations.items()
            if name in records
        }
        removed = self._written_records.keys() - self._locations.keys()
        write: dict[str, object] = {f'servers/{one}': None for one in removed}
        write.update(
            (f'servers/{name}', record)
            for name, record in current.items()
            if name not in self._written_records
            or self._written_records[name] != record
        )
        self._written_records = {
            name: record
            for name, record in {**self._written_records, **current}.items()
            if name not in removed
        }
        self._ever_written.update(self._written_records)
        answer = await self._commands.store({'write': write})
        return float(answer['at'])

    async def _set_notice(self, server: str, **fields: object) -> None:
        await self._commands.order(server, 'say', says=fields)

    def _start_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _location(vm: Vm) -> dict[str, str]:
    return {'address': f'{vm.host}:{SERVER_PORT}', 'zone': vm.zone}


def _choose(among: Any, fault: Fault) -> Any:
    return among[fault.pick % len(among)]
