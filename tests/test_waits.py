"""Waiting for an event never loses a cancellation."""

import asyncio
import unittest

from linnetwood.core.waits import wait_for_event


class WaitsTest(unittest.IsolatedAsyncioTestCase):
    """Distinguish the event, the timeout and a cancellation."""

    async def test_event_and_timeout(self) -> None:
        """The result is True if the event is set, and False on timeout."""
        event = asyncio.Event()
        self.assertFalse(await wait_for_event(event, 0.001))
        event.set()
        self.assertTrue(await wait_for_event(event, 1))

    async def test_cancellation_that_meets_the_event(self) -> None:
        """A task that is cancelled when the event is set does end."""
        event = asyncio.Event()
        task = asyncio.create_task(self._forever(event))
        await asyncio.sleep(0)
        event.set()
        await asyncio.sleep(0)
        task.cancel()
        done, _ = await asyncio.wait((task,), timeout=5)
        self.assertEqual(done, {task})

    async def test_other_tasks_run(self) -> None:
        """A loop over an event that stays set starves no other task."""
        event = asyncio.Event()
        event.set()
        turns: list[int] = []
        other = asyncio.create_task(self._note(turns))
        for _ in range(3):
            await wait_for_event(event, 1)
        self.assertEqual(turns, [1])
        await other

    async def _note(self, turns: list[int]) -> None:
        turns.append(1)

    async def _forever(self, event: asyncio.Event) -> None:
        while True:
            await wait_for_event(event, 10)
            event.clear()


if __name__ == '__main__':
    unittest.main()
