"""Stage verified chunks at the engine before a load."""

import asyncio

from linnetwood.core.errors import OrderError
from linnetwood.core.events import Event, log
from linnetwood.weights import chunks
from linnetwood.weights.orders import OrderClient
from linnetwood.weights.transfer import Download


class Staging:
    """Track which chunks of one download the engine has accepted.

    The queue holds only indices, so that no chunk is in memory twice.
    """

    def __init__(
        self,
        orders: OrderClient,
        store: chunks.ChunkStore,
        download: Download,
    ) -> None:
        """Start with the chunks that are held already."""
        self._orders = orders
        self._store = store
        self._download = download
        self._staged: set[int] = set()
        self._queue: asyncio.Queue[int] = asyncio.Queue()
        self.restart()

    @property
    def complete(self) -> bool:
        """Tell whether the engine has accepted every chunk."""
        return len(self._staged) == self._download.swarm.count

    def add(self, index: int) -> None:
        """Queue a chunk for the next batch."""
        self._queue.put_nowait(index)

    def restart(self) -> None:
        """Stage all chunks again: the engine may hold none."""
        self._staged = set()
        self._queue = asyncio.Queue()
        for index in chunks.indices(self._download.swarm.held):
            self.add(index)

    async def stage_queued(self) -> bool:
        """Stage the queued chunks; tell whether the engine accepted any."""
        before = len(self._staged)
        while not self._queue.empty():
            index = self._queue.get_nowait()
            if index in self._staged:
                continue
            try:
                await self._stage(index)
            except OrderError as exc:
                log(Event.ENGINE_UNREACHABLE, detail=str(exc))
                self.add(index)
                break
        return len(self._staged) > before

    async def _stage(self, index: int) -> None:
        staged = self._staged
        chunk = self._store.chunk(self._download.manifest, index)
        if chunk is None:
            return
        await self._orders.stage(self._download.name, index, chunk)
        # If staging was restarted meanwhile, this adds to the discarded set:
        # the chunk must not count for the new one.
        staged.add(index)
