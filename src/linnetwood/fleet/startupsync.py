"""Let an entry that starts find a relay while it reads the store.

Without this, the restart of a zone of 13 entries sends 13 copies of the range
over the link that its region shares: 9 MB with a configuration of 1,900 routes,
5 s at 14 Mbit/s. A relay sends the same in 60 KB, and one copy serves all.
"""

import asyncio
from collections.abc import Awaitable, Callable

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import TaskOwner
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.revisions import number_of

# A request and its answer take milliseconds where an endpoint process is there;
# datagrams may be lost.
_REQUEST_EVERY_S = 0.1
# An entry that no relay serves looks for others for this time. A whole range
# takes as long over a link at a third of its rate.
_SEARCH_LIMIT_S = 1.0
# The number of endpoint processes that get a request each time.
_HOSTS_PER_REQUEST = 4


class StartupSync(TaskOwner):
    """Own the start of a follower, and look for relays."""

    def __init__(
        self,
        follower: RangeFollower,
        selector: RelaySelector,
        find_hosts: Callable[[], Awaitable[list[str]]],
        request_entries: Callable[[list[str]], None],
    ) -> None:
        """Request other entries from hosts that find_hosts returns.

        find_hosts returns the hosts of endpoint processes, nearest first.
        """
        super().__init__()
        self._follower = follower
        self._selector = selector
        self._find_hosts = find_hosts
        self._request_entries = request_entries

    def start(self) -> None:
        """Start the follower, once, and the search beside it.

        The follower cancels its own read when a relay sends the range; where
        there is no relay, as after a restart of all entries, no time is lost.
        """
        self._follower.start()
        super().start()

    async def _run(self) -> None:
        started_at = asyncio.get_running_loop().time()
        try:
            await self._request_until_synced(
                await self._find_hosts(), _SEARCH_LIMIT_S
            )
        except StoreError as exc:
            log(Event.INTRODUCTION_FAILED, code=exc.code, detail=exc.detail)
        log(
            Event.INTRODUCED,
            revision=number_of(self._follower.revision),
            behind=self._selector.stagger_position,
            took_s=round(asyncio.get_running_loop().time() - started_at, 3),
        )

    async def _request_until_synced(
        self, hosts: list[str], seconds: float
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not self._is_synced and loop.time() < until:
            self._request_entries(hosts[:_HOSTS_PER_REQUEST])
            await wait_for_event(self._follower.synced, _REQUEST_EVERY_S)
            # The next hosts, in case these are gone.
            hosts = hosts[_HOSTS_PER_REQUEST:] + hosts[:_HOSTS_PER_REQUEST]

    @property
    def _is_synced(self) -> bool:
        return self._follower.synced.is_set()
