"""Disturb the store: for all programs, or only for some of them."""

import asyncio
from random import Random

from linnetwood.lab.soak.commands import Commands
from linnetwood.lab.soak.configfaults import ConfigurationFaults
from linnetwood.lab.soak.faultlog import FaultLog
from linnetwood.lab.soak.fleet import Fleet
from linnetwood.lab.soak.schedule import Fault

_REFUSALS = (429, 503)
# Of no endpoint.
_UNREADABLE_KEY = 'servers/unreadable'


class StoreFaults:
    """Own the faults of the store itself."""

    def __init__(
        self,
        fleet: Fleet,
        commands: Commands,
        log: FaultLog,
        configurations: ConfigurationFaults,
    ) -> None:
        """Use commands to the stand-in."""
        self._fleet = fleet
        self._commands = commands
        self._log = log
        self._configurations = configurations

    async def disturb(self, fault: Fault) -> None:
        """Set a mode for a time, or drop the change history."""
        index = self._log.begin(fault.kind, '', fault.span_s)
        command: dict[str, object] = {'forget': True}
        if fault.kind != 'store forgets':
            mode = fault.kind.removeprefix('store ')
            await self._commands.store({'mode': mode})
            await asyncio.sleep(fault.span_s)
            command = {'mode': 'pass'}
        await self._commands.store(command)
        self._log.end(index)

    async def spoil_record(self, fault: Fault) -> None:
        """List a record that can't be read, which excuses nothing."""
        await self._commands.store({'spoil': [_UNREADABLE_KEY]})
        await asyncio.sleep(fault.span_s)
        await self._commands.store({'write': {_UNREADABLE_KEY: None}})

    async def forget_beside_series(self, fault: Fault) -> None:
        """Let no watch hear of a series, then drop the change history."""
        index = self._log.begin(fault.kind, '', fault.span_s)
        await self._commands.store({'mode': 'deaf'})
        await self._configurations.write_configurations(fault)
        await self._commands.store({'mode': 'pass', 'forget': True})
        self._log.end(index)

    async def turn_away(self, fault: Fault) -> None:
        """Refuse the calls of some entries."""
        rng = Random(fault.pick)
        entries = self._fleet.entries
        chosen = rng.sample(entries, rng.randint(1, len(entries)))
        status = rng.choice(_REFUSALS)
        refused = {self._fleet.store_address(vm): status for vm in chosen}
        indexes = [
            self._log.begin(fault.kind, vm.name, fault.span_s) for vm in chosen
        ]
        await self._commands.store({'refused': refused})
        await asyncio.sleep(fault.span_s)
        await self._commands.store({'refused': {}})
        for index in indexes:
            self._log.end(index)
