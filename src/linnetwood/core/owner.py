"""A task that owns something: begun once, and ended with what it leaves."""

import asyncio


class Owner:
    """Start one task and close it; what it owns belongs to it alone."""

    def __init__(self) -> None:
        """Run nothing yet."""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End the task; what was learned stays."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
