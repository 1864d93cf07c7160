"""Crash records in the store: none is left over, and writes are few.

Load patterns: (a) The answer to a write is lost, and the call is cleared before
the write is repeated; the store may also carry out the lost write seconds
later. (b) At 410 entries, the design size, 16 calls of each of 60 endpoints are
lost at once, as when an availability zone loses power. (c) Identical calls at
all of these entries are answered shortly after one of them was lost in a crash,
as with a hot key. The smallest known store accepts 400 writes a second from all
entries; crash records may use half of them.
"""

import asyncio
import collections
import unittest
from collections.abc import Sequence
from itertools import product
from random import Random

from linnetwood.calls.crashes import CrashRecord, incarnation_digest
from linnetwood.calls.crashsharing import CrashPublisher
from linnetwood.core.errors import StoreError
from linnetwood.lab.virtual import run

CRASH = CrashRecord('c0' * 12, incarnation_digest('i-1'))
ENTRIES = 410
ENDPOINTS = 60
CALLS = 16
# Time until the store's watches have notified all entries of a change.
WATCH_DELAY_S = 0.15
KNOWN_WITHIN_S = 3.0
MAX_CALLS_PER_S = 200


class LostAnswers:
    """A store that carries out the first writes late and never answers them."""

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
    """Entries and one store that notifies all of them of removals."""

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

    def max_calls_per_s(self) -> int:
        """Return the number of calls in the busiest second."""
        return max(
            sum(self.calls[round(at + tenth / 10, 1)] for tenth in range(10))
            for at in list(self.calls)
        )

    def _notify_all(self, removed: list[CrashRecord]) -> None:
        for publisher in self.publishers:
            for crash in removed:
                publisher.note_removed(crash)


class LostAnswersTest(unittest.TestCase):
    """A record that may have been written and is withdrawn meanwhile."""

    def remaining(
        self, store: LostAnswers, withdrawn_after_s: float
    ) -> set[CrashRecord]:
        """Withdraw a record some time after sharing it; give what remains."""

        async def scenario() -> None:
            publisher = CrashPublisher(store, Random(1), lambda: 1)
            publisher.start()
            publisher.share(CRASH)
            await asyncio.sleep(withdrawn_after_s)
            publisher.withdraw(CRASH)
            await asyncio.sleep(60)
            await publisher.close()

        run(scenario())
        return store.crashes

    def test_withdrawn_while_the_write_is_unanswered(self) -> None:
        """It is removed, whether or not it was written."""
        self.assertEqual(self.remaining(LostAnswers(1), 0.3), set())

    def test_withdrawn_before_the_write_is_repeated(self) -> None:
        """It is withdrawn between two attempts to write it."""
        self.assertEqual(self.remaining(LostAnswers(1), 0.62), set())

    def test_write_carried_out_seconds_later(self) -> None:
        """A record that is removed before its late write is removed again."""
        self.assertEqual(self.remaining(LostAnswers(1, 4.0), 0.62), set())

    def test_shared_again_after_an_uncertain_write(self) -> None:
        """Guards against a removal that was decided before a record came back.

        The late removal of an uncertain write must not remove a record that
        was shared again meanwhile, or endpoints crash by calls that are known.
        """
        store = LostAnswers(1)

        async def scenario() -> None:
            publisher = CrashPublisher(store, Random(1), lambda: 1)
            publisher.start()
            publisher.share(CRASH)
            await asyncio.sleep(0.3)
            publisher.withdraw(CRASH)
            await asyncio.sleep(5)
            publisher.share(CRASH)
            await asyncio.sleep(60)
            await publisher.close()

        run(scenario())
        self.assertEqual(store.crashes, {CRASH})


class GrowthTest(unittest.TestCase):
    """Calls to the store after a crash, at the design size."""

    def test_zone_loses_power(self) -> None:
        """All records are written in time, within half the store's limit."""

        async def scenario(fingerprints: int) -> Fleet:
            fleet = Fleet()
            rng = Random(3)
            for number, call in product(range(ENDPOINTS), range(CALLS)):
                incarnation_id = incarnation_digest(f'i-{number}')
                publisher = rng.choice(fleet.publishers)
                for one in range(fingerprints):
                    publisher.share(
                        CrashRecord(f'{number}-{call}-{one}', incarnation_id)
                    )
            await asyncio.sleep(30)
            await fleet.close()
            return fleet

        # Calls alone, and calls with two parts that others may share.
        for fingerprints in (1, 3):
            with self.subTest(fingerprints=fingerprints):
                fleet = run(scenario(fingerprints))
                count = ENDPOINTS * CALLS * fingerprints
                self.assertEqual(len(fleet.known), count)
                self.assertLessEqual(max(fleet.known.values()), KNOWN_WITHIN_S)
                self.assertLessEqual(fleet.max_calls_per_s(), MAX_CALLS_PER_S)

    def test_urgent_removal(self) -> None:
        """Guard against sound calls that are refused until it is written."""

        async def scenario() -> Fleet:
            fleet = Fleet()
            fleet.publishers[0].withdraw(CRASH, urgent=True)
            await asyncio.sleep(0.1)
            await fleet.close()
            return fleet

        self.assertEqual(sum(run(scenario()).calls.values()), 1)

    def test_crash_of_one_endpoint(self) -> None:
        """It is written at once, however many entries there are."""

        async def scenario() -> Fleet:
            fleet = Fleet()
            for call in range(CALLS):
                fleet.publishers[call].share(
                    CrashRecord(f'l-{call}', CRASH.incarnation_id)
                )
            await asyncio.sleep(30)
            await fleet.close()
            return fleet

        fleet = run(scenario())
        self.assertLessEqual(sum(fleet.calls.values()), CALLS)
        self.assertLessEqual(max(fleet.known.values()), 0.2)

    def test_crash_while_another_is_withdrawn(self) -> None:
        """A new record does not wait for the delay of removals."""

        async def scenario() -> Fleet:
            fleet = Fleet()
            for publisher in fleet.publishers:
                publisher.withdraw(CRASH)
            await asyncio.sleep(0.2)
            fleet.publishers[0].share(CrashRecord('l', 'b'))
            await asyncio.sleep(0.2)
            await fleet.close()
            return fleet

        self.assertIn(CrashRecord('l', 'b'), run(scenario()).known)

    def test_all_entries_withdraw_the_same_record(self) -> None:
        """A few entries remove it; the others see that and don't write."""

        async def scenario() -> Fleet:
            fleet = Fleet()
            for publisher in fleet.publishers:
                publisher.withdraw(CRASH)
            await asyncio.sleep(60)
            await fleet.close()
            return fleet

        fleet = run(scenario())
        self.assertLessEqual(sum(fleet.calls.values()), CALLS)


if __name__ == '__main__':
    unittest.main()
