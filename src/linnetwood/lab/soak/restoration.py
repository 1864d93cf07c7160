"""Let the store lose its last writes, as when it is restored from a copy."""

import asyncio
from collections.abc import Awaitable, Callable

from linnetwood.lab.soak.commands import Commands

# So many configurations are lost, this far apart.
_LOST = 4
_APART_S = 0.5


class Restoration:
    """Make a copy of the store, and restore the store from it."""

    def __init__(
        self, commands: Commands, configure: Callable[[], Awaitable[None]]
    ) -> None:
        """Act on the stand-in by commands; configure writes to it."""
        self._commands = commands
        self._configure = configure

    async def copy(self) -> None:
        """Make the copy, and write what will be lost."""
        await self._commands.store({'save': True})
        for _ in range(_LOST):
            await self._configure()
            await asyncio.sleep(_APART_S)

    async def restore(self, away_s: float) -> None:
        """Take the store away, and bring it back from the copy."""
        await self._commands.store({'mode': 'down'})
        await asyncio.sleep(away_s)
        await self._commands.store({'restore': True, 'mode': 'pass'})
