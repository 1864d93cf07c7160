"""Waiting never loses a cancellation."""

import asyncio
import unittest

from linnetwood.core.waits import happened


class WaitsTest(unittest.IsolatedAsyncioTestCase):
    """The event, the end of the time and a cancellation are told apart."""

    async def test_event_and_timeout(self) -> None:
        """An event that came is True, one that did not is False."""
        event = asyncio.Event()
        self.assertFalse(await happened(event, 0.001))
        event.set()
        self.assertTrue(await happened(event, 1))

    async def test_cancellation_that_meets_the_event(self) -> None:
        """A task cancelled in the step in which the event comes does end."""
        event = asyncio.Event()
        task = asyncio.create_task(self._forever(event))
        await asyncio.sleep(0)
        event.set()
        await asyncio.sleep(0)
        task.cancel()
        done, _ = await asyncio.wait((task,), timeout=5)
        self.assertEqual(done, {task})

    async def test_others_get_a_turn(self) -> None:
        """A loop over an event that is always set starves nobody."""
        event = asyncio.Event()
        event.set()
        turns: list[int] = []
        other = asyncio.create_task(self._note(turns))
        for _ in range(3):
            await happened(event, 1)
        self.assertEqual(turns, [1])
        await other

    async def _note(self, turns: list[int]) -> None:
        turns.append(1)

    async def _forever(self, event: asyncio.Event) -> None:
        while True:
            await happened(event, 10)
            event.clear()


if __name__ == '__main__':
    unittest.main()
