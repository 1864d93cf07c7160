"""Cause faults from outside, and record whom each affected."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from types import MappingProxyType
from typing import Any

from linnetwood.lab.soak.callers import Callers
from linnetwood.lab.soak.commands import Commands
from linnetwood.lab.soak.configuration import configuration
from linnetwood.lab.soak.fleet import SERVER_PORT, Fleet, Vm
from linnetwood.lab.soak.history import Acked, History, Trouble
from linnetwood.lab.soak.restoration import Restoration
from linnetwood.lab.soak.schedule import SERIES, SERIES_GAP_S, Fault
from linnetwood.lab.soak.standservers import MODEL
from linnetwood.lab.soak.totalloss import StoreState, TotalLoss

_BEAT_S = 0.3
_RESTART_S = 0.5
# The longest time until a killed process is ready again.
_BACK_S = 4.0
# A silenced connection stays silent until it is closed.
_SILENCED_S = 3.0
_DRAINS_S = 3.0
_RESTS_S = (3.0, 2.0)
# Rate limits that a server names, in calls a second.
_LIMITS = (1.0, 1.8, 0.5, 4.0)
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


class Faults:
    """Own the list of servers, the configuration and the faults."""

    def __init__(
        self, fleet: Fleet, history: History, callers: Callers
    ) -> None:
        """Start without a fault."""
        self.done: dict[str, int] = {}
        self._fleet = fleet
        self._history = history
        self._callers = callers
        self._commands = Commands(fleet)
        self._listed: dict[str, dict[str, Any]] = {}
        self._listed_ever: set[str] = set()
        self._places = dict(fleet.servers)
        self._version = 1
        self._configuration = 0
        self._starts = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Write the initial records to the store."""
        for name in self._fleet.servers:
            if name.startswith('i-engine'):
                await self._commands.order(name, 'serve', version=1)
        await self._beat()
        await self.configure()
        self._later(self._beat_on())

    async def close(self) -> None:
        """Cancel all faults."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def play(self, fault: Fault) -> None:
        """Start a fault; it ends by itself."""
        self.done[fault.kind] = self.done.get(fault.kind, 0) + 1
        self._later(self._act(fault))

    async def settled(self) -> None:
        """Wait until every fault has ended."""
        while len(self._tasks) > 1:
            await asyncio.sleep(_BEAT_S)

    async def configure(self) -> None:
        """Write the next configuration."""
        self._configuration += 1
        number = self._configuration
        self._callers.configuration = number
        await self._write_configuration()

    async def _act(self, fault: Fault) -> None:
        entries = self._fleet.entries
        engines = self._fleet.engines
        acts: dict[str, Callable[[Fault], Awaitable[None]]] = {
            'kill entry': partial(self._restart, entries, signal.SIGKILL),
            'stop entry': partial(self._restart, entries, signal.SIGTERM),
            'pause entry': partial(self._pause, entries),
            'kill endpoint': partial(self._restart, engines, signal.SIGKILL),
            'pause endpoint': partial(self._pause, engines),
            'crash server': self._crash,
            'drain server': self._drain,
            'call that ends servers': self._end_servers,
            'server in need': partial(self._say_for_a_while, 'limit', _LIMITS),
            'server asks for rest': partial(
                self._say_for_a_while, 'rest_s', _RESTS_S
            ),
            'server leaves unlisted': self._leave,
            'store down': self._store,
            'store slow': self._store,
            'store forgets': self._store,
            'store restored': self._restore_store,
            'spoilt pieces': self._origin,
            'origin silent': self._origin,
            'config': self._configs,
            'configs': self._configs,
            'version': self._name_version,
            'all lost': self._lose_all,
        }
        await acts.get(fault.kind, self._way)(fault)

    async def _restart(
        self,
        among: list[Vm],
        signum: signal.Signals,
        fault: Fault,
    ) -> None:
        vm = _pick(among, fault)
        process = vm.process
        if process is None or not vm.alive:
            return
        trouble = self._note(fault.kind, vm.name, self._fleet.version_s)
        process.send_signal(signal.SIGCONT)
        process.send_signal(signum)
        while process.poll() is None:
            await asyncio.sleep(_BEAT_S / 3)
        await asyncio.sleep(_RESTART_S)
        if vm.process is process:
            self._fleet.start(vm)
        self._end(trouble, _BACK_S)

    async def _pause(self, among: list[Vm], fault: Fault) -> None:
        vm = _pick(among, fault)
        process = vm.process
        if process is None or not vm.alive:
            return
        trouble = self._note(fault.kind, vm.name, fault.span_s)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.span_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        self._end(trouble, 0)

    async def _crash(self, fault: Fault) -> None:
        name = _pick(sorted(self._places), fault)
        trouble = self._note(fault.kind, name, fault.span_s)
        await self._commands.order(name, 'crash')
        await asyncio.sleep(fault.span_s)
        await self._commands.order(name, 'start', keeps=bool(fault.pick % 2))
        self._end(trouble, 0)

    async def _end_servers(self, fault: Fault) -> None:
        """Crash servers by a call; entries must keep all their bounds."""
        trouble = self._note(fault.kind, 'servers', fault.span_s)
        await self._callers.end_servers(fault)
        self._end(trouble, _BACK_S)

    async def _say_for_a_while(
        self,
        field: str,
        choices: Sequence[float],
        fault: Fault,
    ) -> None:
        """Let a server send a notice; entries must keep all their bounds."""
        name = _pick(sorted(self._places), fault)
        trouble = self._note(fault.kind, name, fault.span_s)
        await self._say(name, **{field: _pick(choices, fault)})
        await asyncio.sleep(fault.span_s)
        await self._say(name, **{field: 0})
        self._end(trouble, 0)

    async def _leave(self, fault: Fault) -> None:
        """Let a server announce in answers alone that it leaves, and end."""
        name = _pick(sorted(self._places), fault)
        trouble = self._note(fault.kind, name, fault.span_s + _DRAINS_S)
        await self._say(name, leaving=True)
        await self._end_as_another(name, fault)
        self._end(trouble, 0)

    async def _drain(self, fault: Fault) -> None:
        """Let a server drain, end, and start with a new id."""
        name = _pick(sorted(self._places), fault)
        if name not in self._places:
            return
        trouble = self._note(fault.kind, name, fault.span_s + _DRAINS_S)
        await self._commands.order(name, 'drain')
        at = await self._beat()
        self._history.acked.append(Acked('draining', name, 0, at))
        await self._end_as_another(name, fault)
        self._end(trouble, 0)

    async def _end_as_another(self, name: str, fault: Fault) -> None:
        await asyncio.sleep(_DRAINS_S + fault.span_s)
        self._starts += 1
        new = f'{name}-{self._starts}'
        vm = self._places.pop(name, None)
        if vm is not None:
            self._places[new] = vm
            await self._rename(name, new)

    async def _rename(self, name: str, new: str) -> None:
        await self._commands.order(name, 'crash')
        await self._commands.order(name, 'rename', name=new)
        await self._beat()

    async def _store(self, fault: Fault) -> None:
        trouble = self._note(fault.kind, '', fault.span_s)
        if fault.kind == 'store forgets':
            await self._commands.store({'forget': True})
        else:
            await self._commands.store(
                {'mode': fault.kind.removeprefix('store ')}
            )
            await asyncio.sleep(fault.span_s)
            await self._commands.store({'mode': 'pass'})
        self._end(trouble, 0)

    async def _restore_store(self, fault: Fault) -> None:
        """Let the store come back from a copy; all write theirs again."""
        restoration = Restoration(self._commands, self.configure)
        await restoration.copy()
        trouble = self._note(fault.kind, '', fault.span_s)
        await restoration.restore(fault.span_s)
        # The copy names servers that have ended since.
        self._listed = dict.fromkeys(self._listed_ever, {})
        await self.configure()
        await self._write_version()
        await self._beat()
        self._end(trouble, _BACK_S)

    async def _origin(self, fault: Fault) -> None:
        field = 'spoils' if fault.kind == 'spoilt pieces' else 'origin_silent'
        trouble = self._note(fault.kind, '', fault.span_s)
        await self._commands.servers({field: True})
        await asyncio.sleep(fault.span_s)
        await self._commands.servers({field: False})
        self._end(trouble, 0)

    async def _way(self, fault: Fault) -> None:
        """Disturb connections of some entries to the store, or to a server."""
        if fault.kind.startswith('store'):
            first = fault.pick % len(self._fleet.entries)
            who = [vm.name for vm in self._fleet.entries[first::2]]
            ways = [f'store-{name}' for name in who]
        else:
            ways = [_pick(sorted(self._fleet.servers), fault)]
            who = ['']
        span_s = fault.span_s + _SILENCED_S
        troubles = [self._note(fault.kind, one, span_s) for one in who]
        self._fleet.trouble(ways, _MODES[fault.kind])
        await asyncio.sleep(fault.span_s)
        self._fleet.trouble(ways, 'pass')
        for trouble in troubles:
            self._end(trouble, _SILENCED_S)

    async def _configs(self, fault: Fault) -> None:
        for _ in range(SERIES if fault.kind == 'configs' else 1):
            await self.configure()
            await asyncio.sleep(SERIES_GAP_S)

    async def _lose_all(self, fault: Fault) -> None:
        state = _pick(tuple(StoreState), fault)
        trouble = self._note(fault.kind, '', fault.span_s + _BACK_S)
        if state is not StoreState.ANSWERS:
            # Servers that run write their records again.
            self._listed = {}
        loss = TotalLoss(self._fleet, self._commands)
        await loss.play(sorted(self._places), fault.span_s, state)
        self._end(trouble, _BACK_S)

    async def _name_version(self, fault: Fault) -> None:
        self._version += 1
        await self._commands.servers({'newest': self._version})
        await self._write_version()

    async def _beat_on(self) -> None:
        while True:
            await asyncio.sleep(_BEAT_S)
            await self._beat()

    async def _beat(self) -> float:
        """Write the records of servers that changed; return the time."""
        told = await self._commands.servers({})
        fresh = {
            name: {**told[name], **_place(vm)}
            for name, vm in self._places.items()
            if name in told
        }
        gone = self._listed.keys() - self._places.keys()
        write: dict[str, object] = {f'servers/{one}': None for one in gone}
        write.update(
            (f'servers/{name}', entry)
            for name, entry in fresh.items()
            if name not in self._listed or self._listed[name] != entry
        )
        self._listed = {
            name: entry
            for name, entry in {**self._listed, **fresh}.items()
            if name not in gone
        }
        self._listed_ever.update(self._listed)
        said = await self._commands.store({'write': write})
        return float(said['at'])

    async def _write_configuration(self) -> None:
        parsed = configuration(self._configuration, self._fleet.origin)
        await self._write('config', {'op/config': parsed})

    async def _write_version(self) -> None:
        named = _named(self._version)
        await self._write('version', {f'op/version/{MODEL}': named})

    async def _write(self, what: str, write: dict[str, object]) -> None:
        number = self._version if what == 'version' else self._configuration
        said = await self._commands.store({'write': write})
        self._history.acked.append(Acked(what, '', number, said['at']))

    async def _say(self, server: str, **says: object) -> None:
        await self._commands.order(server, 'say', says=says)

    def _note(self, kind: str, who: str, span_s: float) -> int:
        now = time.monotonic()
        self._history.troubles.append(Trouble(kind, now, now + span_s, who))
        return len(self._history.troubles) - 1

    def _end(self, number: int, after_s: float) -> None:
        trouble = self._history.troubles[number]
        until = time.monotonic() + after_s
        self._history.troubles[number] = Trouble(
            trouble.kind,
            trouble.at,
            until,
            trouble.who,
        )

    def _later(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _named(version: int) -> dict[str, object]:
    return {'model': MODEL, 'version': version}


def _place(vm: Vm) -> dict[str, str]:
    return {'address': f'{vm.host}:{SERVER_PORT}', 'zone': vm.zone}


def _pick(among: Any, fault: Fault) -> Any:
    return among[fault.pick % len(among)]
