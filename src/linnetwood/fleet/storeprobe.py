"""Notice that a store answers again while a request to it hangs.

A request that was lost just before the store's return is given up after more
than 2 s, and cannot be given up sooner: on full links between regions sound
answers take as long. So short requests are sent beside it.
"""

import asyncio
from collections.abc import Callable

from linnetwood.core.errors import StoreError
from linnetwood.fleet.ranges import HistoryLostError, RangeStore

# A store that is away gets few calls more, as each of them costs money.
_PROBE_EVERY_S = 0.6
_GIVE_UP_S = 0.5
# No key begins so: the answer holds no records.
_NO_KEYS = '-'


async def until_answered(
    store: RangeStore, revision: int, is_silent: Callable[[], bool]
) -> None:
    """Return once the store answers while the request beside is silent."""
    while True:
        await asyncio.sleep(_PROBE_EVERY_S)
        if is_silent() and await _answers(store, revision):
            return


async def _answers(store: RangeStore, revision: int) -> bool:
    try:
        async with asyncio.timeout(_GIVE_UP_S):
            await store.wait(_NO_KEYS, revision, 0)
    except HistoryLostError:
        return True
    except (StoreError, TimeoutError):
        return False
    return True
