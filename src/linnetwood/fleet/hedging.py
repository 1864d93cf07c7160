"""Send a second request beside one that gets no answer; no clock of its own.

A connection may stay silent for good while new ones work, and an answer that is
late on a full link still arrives. The first request therefore continues, and
its answer is used if it arrives first.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

from linnetwood.core.errors import StoreError
from linnetwood.fleet.ranges import HistoryLostError

_Answer = TypeVar('_Answer')
Request = Callable[[], Coroutine[Any, Any, _Answer]]


async def hedged(
    first: Request[_Answer],
    second: Request[_Answer],
    hedge_after_s: float,
    is_silent: Callable[[], bool],
) -> _Answer:
    """Return the first answer; send the second request after hedge_after_s.

    It is sent only while no answer has come and is_silent() holds. Raises
    StoreError when all requests failed.
    """
    tasks = {asyncio.create_task(first())}
    try:
        done, _ = await asyncio.wait(tasks, timeout=hedge_after_s)
        if not done and is_silent():
            tasks.add(asyncio.create_task(second()))
        return await _first_success(tasks)
    finally:
        await cancel_all(tasks)


async def _first_success(tasks: set[asyncio.Task[_Answer]]) -> _Answer:
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        succeeded = [task for task in done if not _failed(task)]
        if succeeded or not pending:
            return next(iter(succeeded or done)).result()


def _failed(task: asyncio.Task[Any]) -> bool:
    failure = task.exception()
    # A lost history is an answer of the store, not a failure.
    is_history_lost = isinstance(failure, HistoryLostError)
    return isinstance(failure, StoreError) and not is_history_lost


async def cancel_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until they end."""
    tasks = tuple(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
