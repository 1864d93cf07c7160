"""Let servers answer calls with bytes without end."""

import asyncio
from collections.abc import Collection, Sequence
from random import Random

from linnetwood.lab.soak.commands import Commands
from linnetwood.lab.soak.endless import Framing
from linnetwood.lab.soak.faultlog import FaultLog
from linnetwood.lab.soak.history import History
from linnetwood.lab.soak.schedule import Fault
from linnetwood.lab.soak.silencefaults import choose_servers

# One in so many calls is answered without end.
_PERIODS = (1, 4)
# The longest time that a call waits for its answer.
_CALL_TIMEOUT_S = 6.0


class EndlessFaults:
    """Own the servers that answer without end."""

    def __init__(
        self, commands: Commands, history: History, servers: Collection[str]
    ) -> None:
        """Use commands to servers, whose ids may change."""
        self._commands = commands
        self._log = FaultLog(history.troubles)
        self._servers = servers

    async def run(self, fault: Fault) -> None:
        """Let a server, or all engines, answer without end for a time."""
        rng = Random(fault.pick)
        servers = choose_servers(rng, self._servers)
        framing = rng.choice(tuple(Framing)).value
        period = rng.choice(_PERIODS)
        indexes = [
            self._log.begin(f'{fault.kind}: {framing}', name, fault.span_s)
            for name in servers
        ]
        await self._set(servers, framing, period)
        await asyncio.sleep(fault.span_s)
        await self._set(servers, framing, 0)
        for index in indexes:
            self._log.end(index, _CALL_TIMEOUT_S)

    async def _set(
        self, servers: Sequence[str], framing: str, period: int
    ) -> None:
        fields = dict.fromkeys(servers, (framing, period))
        await self._commands.servers({'endless': fields})
