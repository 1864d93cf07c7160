"""Write configurations and versions to the store, alone and in series."""

import asyncio
import dataclasses
import math
import time
from collections.abc import Sequence
from typing import Any

from linnetwood.lab.soak.callers import Callers
from linnetwood.lab.soak.commands import Commands
from linnetwood.lab.soak.configuration import Variant, configuration
from linnetwood.lab.soak.fleet import Fleet
from linnetwood.lab.soak.history import SENT, AckedWrite, History
from linnetwood.lab.soak.schedule import SERIES_GAP_S, SERIES_LENGTH, Fault
from linnetwood.lab.soak.standservers import MODEL

# The idle times that configurations change between, in milliseconds.
_IDLE_MS = (900, 1500, 6000)
# Routes that make a configuration half as large as the store takes.
_BULK = 2000


class ConfigurationFaults:
    """Own the configuration and the version."""

    def __init__(
        self,
        fleet: Fleet,
        commands: Commands,
        history: History,
        callers: Callers,
    ) -> None:
        """Start before the first configuration."""
        self._origin = fleet.origin
        self._commands = commands
        self._acked = history.acked
        self._callers = callers
        self._version = 1
        self._number = 0
        # A later version is not written before an earlier one.
        self._writing = asyncio.Lock()
        self._variant = Variant(moves=len(fleet.plain_services) > 1)

    async def configure(self, **changes: Any) -> None:
        """Write the next configuration, with changes that last."""
        self._variant = dataclasses.replace(self._variant, **changes)
        async with self._writing:
            number, write = self._next()
            await self._write('config', number, write)

    async def configure_late(self, fault: Fault) -> None:
        """Write a configuration that is not answered, and may be late."""
        number, write = self._next()
        sent = AckedWrite(SENT, '', number, math.inf, time.monotonic())
        self._acked.append(sent)
        await self._commands.store({'write': write, 'late_s': fault.span_s})

    async def write_configurations(self, fault: Fault) -> None:
        """Write a configuration, or a series of them."""
        for _ in range(1 if fault.kind == 'config' else SERIES_LENGTH):
            await self.configure()
            await asyncio.sleep(SERIES_GAP_S)

    async def change_idle_time(self, fault: Fault) -> None:
        """Write a configuration with another idle time."""
        others = [one for one in _IDLE_MS if one != self._variant.idle_ms]
        await self.configure(idle_ms=_choose(others, fault))

    async def write_large(self, fault: Fault) -> None:
        """Write a series of large configurations."""
        await self.configure(bulk=_BULK)
        await self.write_configurations(fault)
        await asyncio.sleep(fault.span_s)
        await self.configure(bulk=0)

    async def move_route(self, fault: Fault) -> None:
        """Move the route of streams to a service without servers, and back."""
        await self.configure(has_engines=False)
        await asyncio.sleep(fault.span_s)
        await self.configure(has_engines=True)

    async def write_next_version(self, fault: Fault) -> None:
        """Write the next version of the weights."""
        self._version += 1
        await self._commands.servers({'newest': self._version})
        await self.write_version()

    async def write_version(self) -> None:
        """Write the version."""
        record = {'model': MODEL, 'version': self._version}
        await self._write(
            'version', self._version, {f'op/version/{MODEL}': record}
        )

    def _next(self) -> tuple[int, dict[str, object]]:
        self._number += 1
        self._callers.configuration = self._number
        parsed = configuration(self._number, self._origin, self._variant)
        return self._number, {'op/config': parsed}

    async def _write(
        self, what: str, number: int, write: dict[str, object]
    ) -> None:
        sent_at = time.monotonic()
        answer = await self._commands.store({'write': write})
        self._acked.append(AckedWrite(what, '', number, answer['at'], sent_at))


def _choose(among: Sequence[int], fault: Fault) -> int:
    return among[fault.pick % len(among)]
