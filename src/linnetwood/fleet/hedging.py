"""Ask once more beside a question that gets no answer; no clock of its own.

A connection may fall silent for good while new ones work, and an answer that is
late on a full link still comes: the first question goes on, and nothing that it
brings is dropped for the second.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

from linnetwood.core.errors import StoreError
from linnetwood.fleet.ranges import HistoryLostError

_Found = TypeVar('_Found')
Question = Callable[[], Coroutine[Any, Any, _Found]]


async def hedged(
    first: Question[_Found],
    second: Question[_Found],
    due_s: float,
    silent: Callable[[], bool],
) -> _Found:
    """Give the first answer; the second is asked where none came by its time.

    Raises StoreError when all that was asked failed.
    """
    tasks = {asyncio.create_task(first())}
    try:
        done, _ = await asyncio.wait(tasks, timeout=due_s)
        if not done and silent():
            tasks.add(asyncio.create_task(second()))
        return await _first_good(tasks)
    finally:
        await end_all(tasks)


async def _first_good(tasks: set[asyncio.Task[_Found]]) -> _Found:
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        good = [task for task in done if not _failed(task)]
        if good or not pending:
            return next(iter(good or done)).result()


def _failed(task: asyncio.Task[Any]) -> bool:
    failure = task.exception()
    # That history is lost is an answer.
    lost = isinstance(failure, HistoryLostError)
    return isinstance(failure, StoreError) and not lost


async def end_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until they have ended."""
    tasks = tuple(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
