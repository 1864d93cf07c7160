"""Let an entry that starts hear its neighbours while it reads the store.

After the restart of a zone of 13, thirteen copies of the range crossed the link
that its region shares: 9 MB with a configuration of 1,900 routes, five seconds
at 14 Mbit/s. A neighbour tells the same in 60 KB, and one copy serves all.
"""

import asyncio
from collections.abc import Awaitable, Callable

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import Owner
from linnetwood.core.waits import happened
from linnetwood.fleet.following import Following
from linnetwood.fleet.tellers import Tellers

# A question and its answer take milliseconds where somebody is there; datagrams
# may be lost.
_ASK_EVERY_S = 0.1
# So long an entry that nobody tells looks for others; what a whole range takes
# over a link at a third of its rate.
_LOOK_FOR_S = 1.0
# So many processes beside engines are asked each time.
_ASKED = 4


class Introduction(Owner):
    """Own the start of a follower, and look for whom to hear."""

    def __init__(
        self,
        following: Following,
        tellers: Tellers,
        look: Callable[[], Awaitable[list[str]]],
        ask: Callable[[list[str]], None],
    ) -> None:
        """Look up who can name entries, nearest first, and ask some of them."""
        super().__init__()
        self._following = following
        self._tellers = tellers
        self._look = look
        self._ask = ask

    async def _run(self) -> None:
        # Whoever is told gives its own read up; where nobody is there to tell,
        # as after a restart of all, no time is lost.
        self._following.start()
        began = asyncio.get_running_loop().time()
        try:
            await self._ask_until_told(await self._look(), _LOOK_FOR_S)
        except StoreError as exc:
            log(Event.INTRODUCTION_FAILED, code=exc.code, detail=exc.detail)
        log(
            Event.INTRODUCED,
            revision=self._following.revision,
            behind=self._tellers.behind,
            took_s=round(asyncio.get_running_loop().time() - began, 3),
        )

    async def _ask_until_told(self, hosts: list[str], seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not self._told and loop.time() < until:
            self._ask(hosts[:_ASKED])
            await happened(self._following.learned, _ASK_EVERY_S)
            # The next ones, should these be gone.
            hosts = hosts[_ASKED:] + hosts[:_ASKED]

    @property
    def _told(self) -> bool:
        return self._following.learned.is_set()
