"""Make the store lose its last writes, as if restored from an old copy."""

import asyncio
from collections.abc import Awaitable, Callable

from linnetwood.lab.soak.commands import Commands

# The number of configurations that are lost, and the seconds between them.
_LOST_CONFIGURATIONS = 4
_WRITE_INTERVAL_S = 0.5


class Restoration:
    """Make a copy of the store, and restore the store from it."""

    def __init__(
        self, commands: Commands, configure: Callable[[], Awaitable[None]]
    ) -> None:
        """Use commands to the stand-in; `configure` writes a configuration."""
        self._commands = commands
        self._configure = configure

    async def copy(self) -> None:
        """Make the copy, then write the configurations that will be lost."""
        await self._commands.store({'save': True})
        for _ in range(_LOST_CONFIGURATIONS):
            await self._configure()
            await asyncio.sleep(_WRITE_INTERVAL_S)

    async def restore(self, down_s: float) -> None:
        """Take the store down for a while, and restore it from the copy."""
        await self._commands.store({'mode': 'down'})
        await asyncio.sleep(down_s)
        await self._commands.store({'restore': True, 'mode': 'pass'})
