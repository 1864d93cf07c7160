"""Configurations in three regions whose links other traffic fills.

Guards against entries that act by an older configuration because weights or
answers without end fill the link between two regions, whole ranges are read
over it after a lost history, relays restart, stand still or are cut off, or the
store comes back from a copy.

The law: an entry that reaches the store, or an entry that does, has each
configuration within its bound, and none is older than its age says. What no
design can avoid is added: the longest queue of others' bytes on the shortest
way from the store's region while the change is due; for an entry that no relay
can reach, the round trips in which a connection grows to the size of a whole
configuration; and some seconds for an entry that starts or stood still. Faults
are drawn by a seed. Virtual time.
"""

import asyncio
import functools
import itertools
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from linnetwood.fleet.remotezoneselector import relay_rank
from linnetwood.lab import virtual
from tests import test_narrow_regions as regions
from tests.full_regions import NEAR, FullRegions, Size

PAIRS = tuple(itertools.permutations(regions.ZONES, 2))
SEEDS = range(3)


def _chance(rng: Random, share: float) -> bool:
    return rng.random() < share


def relays_of(fleet: FullRegions, zone: str) -> list[str]:
    """Return the relays of a zone."""
    return [one.name for one in fleet.of(zone) if one.selector.is_relay]


def drawn_entries(fleet: FullRegions, rng: Random) -> list[str]:
    """Draw the relays of a zone, one of them, all of a zone, or some."""
    zone = rng.choice(regions.ZONES)
    names = [entry.name for entry in fleet.of(zone)]
    everywhere = [entry.name for entry in fleet.entries]
    some = [name for name in everywhere if _chance(rng, 0.3)]
    relays = relays_of(fleet, zone)
    return rng.choice((relays, relays[:1], names, some))


async def series(fleet: FullRegions, rng: Random) -> None:
    """Change the configuration some times, a quarter of a second apart."""
    for _ in range(rng.choice((1, 2, 4, 8))):
        fleet.change()
        await asyncio.sleep(0.25)


async def fills(fleet: FullRegions, rng: Random) -> None:
    """Fill some links."""
    level_s = fleet.size.queue_s * rng.uniform(0.3, 0.95)
    pairs = rng.choice((PAIRS, ((NEAR, 'far'),), (('far', NEAR),), PAIRS[:3]))
    await asyncio.gather(*(fleet.fill(pair, level_s) for pair in pairs))


async def restarts(fleet: FullRegions, rng: Random) -> None:
    """Restart some entries."""
    await fleet.restart(drawn_entries(fleet, rng), rng.uniform(0.1, 1.5))


async def freezes(fleet: FullRegions, rng: Random) -> None:
    """Let relays stand still."""
    names = relays_of(fleet, rng.choice(regions.ZONES))
    await fleet.freeze(rng.choice((names, names[:1])), rng.uniform(0.6, 3))


async def cuts(fleet: FullRegions, rng: Random) -> None:
    """Cut entries off from the store."""
    names = drawn_entries(fleet, rng)
    if len(names) < len(fleet.entries):
        await fleet.cut(names, rng.uniform(1, 5))


async def blocks(fleet: FullRegions, rng: Random) -> None:
    """Cut a zone off from the near region's entries."""
    await fleet.block(rng.choice(regions.ZONES[1:]), rng.uniform(1, 5))


async def losses(fleet: FullRegions, rng: Random) -> None:
    """Let the store forget its history, so that whole ranges are read."""
    await asyncio.sleep(rng.uniform(0, 1))
    fleet.note('410')
    fleet.change()
    fleet.store.lose_history()
    # Reading all over a full link takes some round trips; entries near the
    # store have it sooner.
    now = asyncio.get_running_loop().time()
    for entry in fleet.entries:
        if regions.zone_of(entry.name) != NEAR:
            fleet.in_touch_from.setdefault(entry.name, now)
            known = fleet.in_touch_from[entry.name]
            fleet.in_touch_from[entry.name] = max(now, known)


async def copies(fleet: FullRegions, rng: Random) -> None:
    """Restore the store from a copy; operators write at once."""
    store = fleet.store
    revision = store.revision
    records = dict(store.records)
    kept = fleet.newest
    await asyncio.sleep(rng.uniform(0, 1))
    fleet.note('restore', kept)
    store.restore(revision, records)
    fleet.stable_from = asyncio.get_running_loop().time()
    for version in tuple(fleet.written):
        if version > kept:
            fleet.written.pop(version)
    fleet.change()


FAULTS = (fills, restarts, freezes, cuts, blocks, losses, copies)


async def act(fleet: FullRegions, rng: Random) -> None:
    """Run some rounds of faults beside a series of changes."""
    for _ in range(4):
        chosen = rng.sample(FAULTS, rng.choice((1, 2, 2, 3)))
        if _chance(rng, 0.5) and fills not in chosen:
            chosen.append(fills)
        for fault in chosen:
            fleet.during(later(rng.uniform(0, 1.5), fault, fleet, rng))
        await asyncio.sleep(rng.uniform(0, 2))
        await series(fleet, rng)
        await asyncio.sleep(rng.uniform(0.5, 4))


async def later(
    seconds: float,
    fault: Callable[[FullRegions, Random], Awaitable[None]],
    fleet: FullRegions,
    rng: Random,
) -> None:
    """Begin a fault after some seconds."""
    await asyncio.sleep(seconds)
    await fault(fleet, rng)


def drawn_size(rng: Random, entries: int) -> Size:
    """Draw the routes, and how long links queue."""
    return Size(
        entries, rng.choice((110, 1900)), rng.choice((0.1, 0.4, 1.0, 2.0))
    )


def findings_of(seed: int, entries: int) -> tuple[list[str], list[str]]:
    """Run one seed; return what was wrong and what was done."""
    rng = Random(seed)

    async def scenario() -> tuple[list[str], list[str]]:
        fleet = FullRegions(drawn_size(rng, entries))
        fleet.note(fleet.size)
        found = await fleet.run(functools.partial(act, fleet, rng))
        return found, fleet.journal

    return virtual.run(scenario())


def run_fleet(
    size: Size, work: Callable[[FullRegions], Coroutine[Any, Any, None]]
) -> FullRegions:
    """Run one scenario; return the fleet with what was found."""

    async def scenario() -> FullRegions:
        fleet = FullRegions(size)
        await fleet.run(functools.partial(work, fleet))
        return fleet

    return virtual.run(scenario())


class FullRegionsTest(unittest.TestCase):
    """Run some seeds, and cases that were found by seeds."""

    def test_links_that_fill_up_in_both_directions(self) -> None:
        """Connections between regions are kept while updates are late."""

        async def work(fleet: FullRegions) -> None:
            level_s = 1.7
            for pair in PAIRS:
                fleet.during(fleet.fill(pair, level_s))
            await asyncio.sleep(1.3)
            for _ in range(4):
                fleet.change()
                await asyncio.sleep(0.25)

        fleet = run_fleet(Size(2, 110, 2.0), work)
        self.assertEqual(fleet.findings, [], fleet.journal)

    def test_a_relay_that_ends_while_links_are_full(self) -> None:
        """What another relay has sent before arrives without it."""

        async def work(fleet: FullRegions) -> None:
            for pair in PAIRS:
                fleet.during(fleet.fill(pair, 1.4))
            await asyncio.sleep(1)
            fleet.change()
            await asyncio.sleep(0.3)
            names = relays_of(fleet, NEAR)
            first = min(names, key=relay_rank)
            fleet.during(fleet.restart([first], 3))
            await asyncio.sleep(1.4 + 0.5)
            self.assertEqual(fleet.behind(), {})

        run_fleet(Size(2, 110, 2.0), work)

    def test_the_law(self) -> None:
        """No entry lacks a change for too long, or claims to be younger."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                found, journal = findings_of(seed, 2)
                self.assertEqual(found, [], journal)


if __name__ == '__main__':
    unittest.main()
