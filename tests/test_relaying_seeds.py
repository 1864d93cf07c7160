"""Zones with failures drawn by a seed: no entry in touch falls behind."""

import asyncio
import unittest
from random import Random

from linnetwood.lab import virtual
from tests.test_relaying import APPLY_S, PORT, Entry, Zone

SEEDS = range(6)
STEPS = 40
STEP_S = 0.5
FAILURE_S = (0.3, 9.0)
MIN_BYTES = 10
MAX_BYTES = 100000


class Scenario:
    """One zone, its failures, and since when each entry is in touch."""

    def __init__(self, seed: int) -> None:
        self.zone = Zone()
        self.behind: list[str] = []
        self._rng = Random(seed)
        self._free_at: dict[str, float] = {}
        self._written: list[tuple[float, int]] = []
        self._held: dict[str, int] = {}

    async def run(self) -> None:
        """Draw writes and failures, and check all entries all the time."""
        try:
            await self.zone.start()
            for _ in range(STEPS):
                self._act()
                await self._check_for(STEP_S)
            self.zone.store.cut.clear()
            await self._check_for(2 * APPLY_S)
        finally:
            await self.zone.close()

    def _act(self) -> None:
        rng = self._rng
        act = rng.choice((self._write, self._write, self._cut, self._freeze))
        act()

    def _write(self) -> None:
        store = self.zone.store
        text = b'%d ' % (store.revision + 1)
        store.write(text.ljust(self._rng.randint(MIN_BYTES, MAX_BYTES)))
        now = asyncio.get_running_loop().time()
        self._written.append((now, store.revision))

    def _cut(self) -> None:
        entries = self.zone.entries
        count = self._rng.choice((1, len(entries) // 3, len(entries)))
        for entry in self._rng.sample(entries, count):
            self.zone.store.cut.add(entry.name)
            self._begin_failure(entry)

    def _freeze(self) -> None:
        entry = self._rng.choice(self.zone.entries)
        loop = asyncio.get_running_loop()
        self.zone.store.cut.add(entry.name)
        lasts_s = self._begin_failure(entry)
        frozen = self.zone.net.frozen_until
        frozen[(entry.name, PORT)] = loop.time() + lasts_s

    def _begin_failure(self, entry: Entry) -> float:
        loop = asyncio.get_running_loop()
        lasts_s = self._rng.uniform(*FAILURE_S)
        until = max(self._free_at.get(entry.name, 0), loop.time() + lasts_s)
        self._free_at[entry.name] = until
        loop.call_at(until, self._end_failure, entry.name, until)
        return until - loop.time()

    def _end_failure(self, name: str, until: float) -> None:
        if self._free_at.get(name) == until:
            self.zone.store.cut.discard(name)

    async def _check_for(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(STEP_S / 10)
            for entry in self.zone.entries:
                self._check(entry, loop.time())

    def _check(self, entry: Entry, now: float) -> None:
        held = int(entry.sink.payload.split()[0])
        if held < self._held.get(entry.name, 0):
            self.behind.append(f'{now:.2f} {entry.name} went back to {held}')
        self._held[entry.name] = held
        in_touch_at = max(0, self._free_at.get(entry.name, 0))
        due = [
            revision
            for at, revision in self._written
            if now - max(at, in_touch_at) > APPLY_S
        ]
        if held < max(due, default=1):
            self.behind.append(f'{now:.2f} {entry.name} holds {held}')


class SeedsTest(unittest.TestCase):
    """The store fails for some entries, all or one, or VMs are suspended."""

    def test_no_entry_in_touch_is_behind(self) -> None:
        """An entry that reaches the store has each change within its bound."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(virtual.run(_entries_behind(seed)), [])


async def _entries_behind(seed: int) -> list[str]:
    scenario = Scenario(seed)
    await scenario.run()
    return scenario.behind[:5]


if __name__ == '__main__':
    unittest.main()
