"""Background tasks that belong to an object, and go on after errors."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from linnetwood.core.failures import log_failure

# Short beside the shortest time bound, 2 s.
_RESTART_PAUSE_S = 0.25


async def supervise(
    owner: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run until the work ends; after an unexpected error, log it and run again.

    Nobody awaits a task that runs for as long as its process, so that its end
    by an error would be unseen. An error while the task is cancelled ends it.
    """
    while not await _has_ended(owner, run):
        await asyncio.sleep(_RESTART_PAUSE_S)


async def _has_ended(
    owner: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> bool:
    """Run the work; return whether it is done, or its task is cancelled."""
    try:
        await run()
    except Exception as exc:
        log_failure(owner, exc)
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0
    return True


class TaskOwner:
    """Start and cancel one task, which alone changes the object's state."""

    def __init__(self) -> None:
        """Start no task yet."""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task."""
        work = supervise(type(self).__name__, self._run)
        self._task = asyncio.create_task(work)

    async def close(self) -> None:
        """Cancel the task; the state remains readable."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
