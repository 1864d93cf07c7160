"""Cut the power of everything but the store and the origin."""

import asyncio
import enum
import subprocess  # noqa: S404
from collections.abc import Sequence

from linnetwood.lab.soak.commands import Commands
from linnetwood.lab.soak.fleet import Fleet, Vm

_Killed = list[tuple[Vm, subprocess.Popen[bytes]]]


class StoreState(enum.Enum):
    """The state of the store during the power cut."""

    ANSWERS = 'answers'
    LEASES_EXPIRED = 'leases run out'
    # Leases expire, and the store is down until all processes have restarted.
    DOWN = 'down'


class PowerCut:
    """Kill every program and server, and start them without any state."""

    def __init__(self, fleet: Fleet, commands: Commands) -> None:
        """Use the programs of a fleet and its stand-ins."""
        self._fleet = fleet
        self._commands = commands

    async def run(
        self, servers: Sequence[str], down_s: float, state: StoreState
    ) -> None:
        """Kill these servers together with all programs."""
        killed = self._kill_programs()
        await self._crash_servers(servers, state)
        await asyncio.sleep(down_s)
        await self._restart_all(servers, killed)
        if state is StoreState.DOWN:
            await asyncio.sleep(down_s)
            await self._commands.store({'mode': 'pass'})

    async def _crash_servers(
        self, servers: Sequence[str], state: StoreState
    ) -> None:
        for name in servers:
            await self._commands.order(name, 'crash')
        if state is not StoreState.ANSWERS:
            expired = dict.fromkeys(f'servers/{one}' for one in servers)
            await self._commands.store({'write': expired})
        if state is StoreState.DOWN:
            await self._commands.store({'mode': 'down'})

    async def _restart_all(
        self, servers: Sequence[str], killed: _Killed
    ) -> None:
        for name in servers:
            await self._commands.order(name, 'start', keeps=False)
        for vm, process in killed:
            # Another fault may have restarted it meanwhile.
            if vm.process is process:
                self._fleet.start(vm)

    def _kill_programs(self) -> _Killed:
        killed = []
        for vm in (*self._fleet.entries, *self._fleet.engines):
            process = vm.process
            if process is not None and vm.alive:
                process.kill()
                process.wait()
                killed.append((vm, process))
        return killed
