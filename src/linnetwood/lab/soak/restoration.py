"""Let the store lose its last writes, as when it is restored from a copy."""

import asyncio

from linnetwood.lab.soak.commands import Commands

# What was written for this time is lost.
_COPY_AGE_S = 2.0


class Restoration:
    """Make a copy of the store, and restore the store from it."""

    def __init__(self, commands: Commands) -> None:
        """Act on the stand-in by commands."""
        self._commands = commands

    async def copy(self) -> None:
        """Make the copy, and let its age grow."""
        await self._commands.store({'save': True})
        await asyncio.sleep(_COPY_AGE_S)

    async def restore(self, away_s: float) -> None:
        """Take the store away, and bring it back from the copy."""
        await self._commands.store({'mode': 'down'})
        await asyncio.sleep(away_s)
        await self._commands.store({'restore': True, 'mode': 'pass'})
