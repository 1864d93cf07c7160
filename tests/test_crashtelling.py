"""What entries write of crashes: nothing stays, and calls to the store are few.

Load patterns: (a) the answer of a write is lost, and the call is cleared before
it is written again; the write may also be carried out seconds later. (b) At 410
entries, the size to design for, 16 calls of each of 60 endpoints are lost at
once, as when an availability zone loses power. (c) Calls that are alike at all
of these entries are answered within a moment after one of them ended with its
endpoint, as with a hot key. The smallest store that was met takes 400 writing
calls a second from all entries; crashes may have half of these.
"""

import asyncio
import collections
import unittest
from collections.abc import Sequence
from random import Random

from linnetwood.calls.crashes import CrashRecord, incarnation_digest
from linnetwood.calls.crashsharing import CrashPublisher
from linnetwood.core.errors import StoreError
from linnetwood.lab.virtual import run

CRASH = CrashRecord('c0' * 12, incarnation_digest('i-1'))
ENTRIES = 410
ENDPOINTS = 60
CALLS = 16
# What a watch takes to tell all entries of a change.
WATCH_DELAY_S = 0.15
KNOWN_WITHIN_S = 3.0
MOST_PER_S = 200


class LostAnswers:
    """Carry the first writes out after a while, and never answer them."""

    max_records = 4

    def __init__(self, lost: int, late_s: float = 0) -> None:
        self.crashes: set[CrashRecord] = set()
        self._lost = lost
        self._late_s = late_s

    async def write(
        self, added: Sequence[CrashRecord], removed: Sequence[CrashRecord]
    ) -> None:
        self._lost -= 1
        if self._lost < 0:
            self._carry_out(set(added), set(removed))
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._late_s, self._carry_out, set(added), set(removed))
        await asyncio.sleep(0.5)
        raise StoreError('store-unreachable')

    def _carry_out(
        self, added: set[CrashRecord], removed: set[CrashRecord]
    ) -> None:
        self.crashes = (self.crashes | added) - removed


class Fleet:
    """Entries before one store that tells all of them what was taken away."""

    max_records = 32

    def __init__(self) -> None:
        self.calls: collections.Counter[float] = collections.Counter()
        self.known: dict[CrashRecord, float] = {}
        self.publishers = [
            CrashPublisher(self, Random(seed), self.entries)
            for seed in range(ENTRIES)
        ]
        for publisher in self.publishers:
            publisher.start()

    async def write(
        self, added: Sequence[CrashRecord], removed: Sequence[CrashRecord]
    ) -> None:
        loop = asyncio.get_running_loop()
        self.calls[round(loop.time(), 1)] += 1
        await asyncio.sleep(0.01)
        for crash in added:
            self.known.setdefault(crash, loop.time())
        loop.call_later(WATCH_DELAY_S, self._notify_all, list(removed))

    def entries(self) -> int:
        return ENTRIES

    async def close(self) -> None:
        for publisher in self.publishers:
            await publisher.close()

    def most_per_s(self) -> int:
        """Give the calls of the worst second."""
        return max(
            sum(self.calls[round(at + tenth / 10, 1)] for tenth in range(10))
            for at in list(self.calls)
        )

    def _notify_all(self, removed: list[CrashRecord]) -> None:
        for publisher in self.publishers:
            for crash in removed:
                publisher.note_removed(crash)


class LostAnswersTest(unittest.TestCase):
    """An end that may have been written, and is cleared meanwhile."""

    def remaining(
        self, store: LostAnswers, withdrawn_after_s: float
    ) -> set[CrashRecord]:
        """Clear an end so long after it was told; give what stays."""

        async def play() -> None:
            publisher = CrashPublisher(store, Random(1), lambda: 1)
            publisher.start()
            publisher.share(CRASH)
            await asyncio.sleep(withdrawn_after_s)
            publisher.withdraw(CRASH)
            await asyncio.sleep(60)
            await publisher.close()

        run(play())
        return store.crashes

    def test_cleared_while_no_answer_comes(self) -> None:
        """It is taken away, whether or not it was written."""
        self.assertEqual(self.remaining(LostAnswers(1), 0.3), set())

    def test_cleared_before_it_is_written_again(self) -> None:
        """Between two tries."""
        self.assertEqual(self.remaining(LostAnswers(1), 0.62), set())

    def test_written_seconds_later(self) -> None:
        """What was taken away too early is taken away again."""
        self.assertEqual(self.remaining(LostAnswers(1, 4.0), 0.62), set())


class GrowthTest(unittest.TestCase):
    """Calls to the store after a crash, at the size to design for."""

    def test_a_zone_without_power(self) -> None:
        """All know within their time; the store is not pressed."""

        async def play() -> Fleet:
            fleet = Fleet()
            rng = Random(3)
            for number in range(ENDPOINTS):
                incarnation_id = incarnation_digest(f'i-{number}')
                for call in range(CALLS):
                    crash = CrashRecord(f'{number}-{call}', incarnation_id)
                    rng.choice(fleet.publishers).share(crash)
            await asyncio.sleep(30)
            await fleet.close()
            return fleet

        fleet = run(play())
        self.assertEqual(len(fleet.known), ENDPOINTS * CALLS)
        self.assertLessEqual(max(fleet.known.values()), KNOWN_WITHIN_S)
        self.assertLessEqual(fleet.most_per_s(), MOST_PER_S)

    def test_a_crash_of_one_endpoint(self) -> None:
        """It is told at once, however many entries there are."""

        async def play() -> Fleet:
            fleet = Fleet()
            for call in range(CALLS):
                fleet.publishers[call].share(
                    CrashRecord(f'l-{call}', CRASH.incarnation_id)
                )
            await asyncio.sleep(30)
            await fleet.close()
            return fleet

        fleet = run(play())
        self.assertLessEqual(sum(fleet.calls.values()), CALLS)
        self.assertLessEqual(max(fleet.known.values()), 0.2)

    def test_a_crash_while_another_is_cleared(self) -> None:
        """It does not wait for the turn of what is taken away."""

        async def play() -> Fleet:
            fleet = Fleet()
            for publisher in fleet.publishers:
                publisher.withdraw(CRASH)
            await asyncio.sleep(0.2)
            fleet.publishers[0].share(CrashRecord('l', 'b'))
            await asyncio.sleep(0.2)
            await fleet.close()
            return fleet

        self.assertIn(CrashRecord('l', 'b'), run(play()).known)

    def test_all_see_an_answer(self) -> None:
        """One takes it away, and the others see that."""

        async def play() -> Fleet:
            fleet = Fleet()
            for publisher in fleet.publishers:
                publisher.withdraw(CRASH)
            await asyncio.sleep(60)
            await fleet.close()
            return fleet

        fleet = run(play())
        self.assertLessEqual(sum(fleet.calls.values()), CALLS)


if __name__ == '__main__':
    unittest.main()
