"""Make servers silent: sound ones for a second or so, dark ones for good."""

import asyncio
import time
from collections.abc import Collection
from random import Random

from linnetwood.lab.soak.commands import Commands
from linnetwood.lab.soak.faultlog import FaultLog
from linnetwood.lab.soak.history import History
from linnetwood.lab.soak.schedule import Fault
from linnetwood.lab.soak.standservers import Silence

_SILENT_S = (0.5, 1.8)
_PAUSE_S = (0.3, 2.5)
_ALL_ENGINES_SHARE = 1 / 3
_ENGINE_PREFIX = 'i-engine'
_DARK_RESTART_S = 0.3


class SilenceFaults:
    """Own the silences of servers."""

    def __init__(
        self, commands: Commands, history: History, servers: Collection[str]
    ) -> None:
        """Use commands to servers, whose ids may change."""
        self._commands = commands
        self._troubles = FaultLog(history.troubles)
        self._silences = FaultLog(history.silences)
        self._servers = servers

    async def silence(self, fault: Fault) -> None:
        """Silence a server, or all engines at once, several times in a row.

        They are sound, so that this excuses nothing.
        """
        rng = Random(fault.pick)
        chosen = choose_servers(rng, self._servers)
        holds = rng.choice((Silence.ANSWERS, Silence.REPORTS))
        until = time.monotonic() + fault.span_s
        while time.monotonic() < until:
            await self._silence_once(chosen, holds, rng.uniform(*_SILENT_S))
            await asyncio.sleep(rng.uniform(*_PAUSE_S))

    async def darken(self, fault: Fault) -> None:
        """Make a server dark until its next incarnation."""
        servers = sorted(self._servers)
        name = servers[fault.pick % len(servers)]
        index = self._troubles.begin(fault.kind, name, fault.span_s)
        await self._hold_back(name, Silence.EVERYTHING)
        await asyncio.sleep(fault.span_s)
        await self._commands.order(name, 'crash')
        await asyncio.sleep(_DARK_RESTART_S)
        await self._commands.order(name, 'start', keeps=bool(fault.pick % 2))
        self._troubles.end(index)

    async def _silence_once(
        self, servers: list[str], holds: Silence, span_s: float
    ) -> None:
        kind = f'silent {holds.name.lower()}'
        indexes = [self._silences.begin(kind, name, span_s) for name in servers]
        for name in servers:
            await self._hold_back(name, holds)
        await asyncio.sleep(span_s)
        for name in servers:
            await self._hold_back(name, Silence.NONE)
        for index in indexes:
            self._silences.end(index)

    async def _hold_back(self, server: str, silence: Silence) -> None:
        await self._commands.order(server, 'silence', holds=silence.name)


def choose_servers(rng: Random, among: Collection[str]) -> list[str]:
    """Choose a server, or all engines."""
    servers = sorted(among)
    chosen = [rng.choice(servers)]
    if rng.random() < _ALL_ENGINES_SHARE:
        chosen = [one for one in servers if one.startswith(_ENGINE_PREFIX)]
    return chosen
