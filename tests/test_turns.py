"""TurnQueue are granted one at a time, to the urgent first."""

import asyncio
import unittest

from linnetwood.wire.turns import TurnQueue


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    """Ask in one order and see in which turns come."""

    def setUp(self) -> None:
        self.turns = TurnQueue()
        self.had: list[str] = []

    async def ask(self, name: str, *, urgent: bool) -> None:
        """Have one turn and note it."""
        await self.turns.take(urgent=urgent)
        self.had.append(name)
        await asyncio.sleep(0)
        self.turns.give_back()

    async def test_urgent_first_and_each_kind_in_order(self) -> None:
        """The one under way is not interrupted."""
        asked = (
            ('under way', False),
            ('other 1', False),
            ('urgent 1', True),
            ('other 2', False),
            ('urgent 2', True),
        )
        await asyncio.gather(
            *(self.ask(name, urgent=urgent) for name, urgent in asked),
        )
        self.assertEqual(
            self.had,
            ['under way', 'urgent 1', 'urgent 2', 'other 1', 'other 2'],
        )

    async def test_cancelled_waiter_is_passed_over(self) -> None:
        """Its turn goes to the next."""
        await self.turns.take(urgent=False)
        gone = asyncio.create_task(self.ask('gone', urgent=True))
        stays = asyncio.create_task(self.ask('stays', urgent=False))
        await asyncio.sleep(0)
        gone.cancel()
        self.turns.give_back()
        await asyncio.gather(gone, stays, return_exceptions=True)
        self.assertEqual(self.had, ['stays'])

    async def test_turn_given_in_the_step_of_a_cancellation(self) -> None:
        """It is not lost: the next has it."""
        await self.turns.take(urgent=False)
        gone = asyncio.create_task(self.ask('gone', urgent=True))
        stays = asyncio.create_task(self.ask('stays', urgent=False))
        await asyncio.sleep(0)
        self.turns.give_back()
        gone.cancel()
        await asyncio.gather(gone, stays, return_exceptions=True)
        self.assertEqual(self.had, ['stays'])
        await self.turns.take(urgent=False)


if __name__ == '__main__':
    unittest.main()
