"""Hand checked chunks over to the engine ahead of a load."""

import asyncio

from linnetwood.core.errors import OrderError
from linnetwood.core.events import Event, log
from linnetwood.weights import chunks
from linnetwood.weights.orders import OrderClient
from linnetwood.weights.transfer import Download


class Staging:
    """Keep account of which chunks the engine has taken for one download.

    The queue holds indices only, so that no chunk is in memory twice.
    """

    def __init__(
        self,
        orders: OrderClient,
        store: chunks.ChunkStore,
        download: Download,
    ) -> None:
        """Begin with the chunks that are held already."""
        self._orders = orders
        self._store = store
        self._download = download
        self._taken: set[int] = set()
        self._waiting: asyncio.Queue[int] = asyncio.Queue()
        self.restart()

    @property
    def complete(self) -> bool:
        """Tell whether the engine has taken every chunk."""
        return len(self._taken) == self._download.swarm.count

    def add(self, index: int) -> None:
        """Hand a chunk over with the next batch."""
        self._waiting.put_nowait(index)

    def restart(self) -> None:
        """Hand everything over once more: the engine may hold nothing."""
        self._taken = set()
        self._waiting = asyncio.Queue()
        for index in chunks.indices(self._download.swarm.held):
            self.add(index)

    async def stage_queued(self) -> bool:
        """Hand over what waits; tell whether the engine took any."""
        before = len(self._taken)
        while not self._waiting.empty():
            index = self._waiting.get_nowait()
            if index in self._taken:
                continue
            try:
                await self._stage(index)
            except OrderError as exc:
                log(Event.ENGINE_UNREACHABLE, detail=str(exc))
                self.add(index)
                break
        return len(self._taken) > before

    async def _stage(self, index: int) -> None:
        taken = self._taken
        chunk = self._store.chunk(self._download.manifest, index)
        if chunk is None:
            return
        await self._orders.stage(self._download.name, index, chunk)
        # A set of an earlier beginning must not vouch for a later one.
        taken.add(index)
