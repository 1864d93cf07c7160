"""A base for objects that own one background task."""

import asyncio


class TaskOwner:
    """Start and cancel one task, which alone changes the object's state."""

    def __init__(self) -> None:
        """Start no task yet."""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel the task; the state remains readable."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
