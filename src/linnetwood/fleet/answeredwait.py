"""A wait for changes that was answered, and what its answer proves."""

import asyncio
import dataclasses

from linnetwood.fleet.ranges import Changes, RangeStore


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredWait:
    """Changes, and the request that brought them: when and how long it waited.

    A second request beside a silent one has a time of its own. Counted from the
    first one, the silence would count as the store's delay, and the second
    request beside the next wait would come as much later.
    """

    changes: Changes
    requested_at: float
    wait_s: float

    @property
    def confirmed_s(self) -> float:
        """Return for how long after its request the view is confirmed."""
        # A wait that ends without changes also confirms the view.
        return 0 if self.changes.changes else self.wait_s

    def overhead_s(self, began_at: float) -> float:
        """Return how late an answer without changes began to arrive."""
        return max(0, began_at - self.requested_at - self.wait_s)


async def answered_wait(
    store: RangeStore, prefix: str, after: int, wait_s: float
) -> AnsweredWait:
    """Wait for changes, and note when."""
    requested_at = asyncio.get_running_loop().time()
    changes = await store.wait(prefix, after, wait_s)
    return AnsweredWait(changes, requested_at, wait_s)
