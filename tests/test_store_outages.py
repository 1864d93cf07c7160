"""Configurations after the store was away, in whatever way.

Guards against entries that all act by an older configuration after the store is
back, near it and far: connections that went silent are each found out by a
time-out, one after the other, or a second request comes too late.

The laws: once the store answers again, each entry has each configuration 2 s
after it was written, or 3 s after the return, if that is later. No view counts
as younger than the time up to which it holds all that was written. A wait that
the store cuts early and answers late can't be told from a whole one; there a
view may count as younger by the delay of that answer.

Ways of being away, lengths and moments are drawn by a seed. Virtual time.
"""

import asyncio
import functools
import unittest
from random import Random

from linnetwood.lab import virtual
from tests import store_outages as outages
from tests.full_regions import APPLY_S, Size
from tests.store_outages import Outage, OutageRegions, Way

SHORT_S = 0.02
LENGTHS_S = (SHORT_S, 0.3, 1.0, 1.37, 2.2, 2.61, 4.0, 5.43, 8.0)
# Moments of writes are multiples of this.
STEP_S = 0.02
CYCLES = 8
SEEDS = range(4)
SILENT = next(one for one in outages.WAYS if one.name == 'silent for good')
OPEN_SILENT = next(one for one in outages.WAYS if one.kills_open)


def drawn_outage(rng: Random, names: list[str]) -> Outage:
    """Draw one outage."""
    seconds = rng.choice(LENGTHS_S)
    steps = range(round(-0.5 / STEP_S), round((seconds + 3) / STEP_S))
    writes = sorted(rng.sample(steps, rng.choice((1, 1, 4))))
    posts = [rng.uniform(-2, seconds) for _ in range(rng.choice((0, 1, 2)))]
    some = frozenset(rng.sample(names, len(names) // 2))
    return Outage(
        rng.choice(outages.WAYS),
        seconds,
        tuple(step * STEP_S for step in writes),
        hit=rng.choice((frozenset(), frozenset(), some)),
        posts=tuple(posts),
        each_s=rng.choice((0, SHORT_S)),
        is_net_silent=rng.choice((False, True)),
        then=tuple(drawn_way(rng) for _ in range(rng.choice((0, 0, 1)))),
    )


def drawn_way(rng: Random) -> tuple[Way, float]:
    """Draw another way of being away, and how long."""
    return rng.choice(outages.WAYS), rng.uniform(SHORT_S, 3)


async def run_outages(drawn: list[Outage], size: Size) -> OutageRegions:
    """Run outages one after the other; return the fleet."""
    fleet = OutageRegions(size)

    async def act() -> None:
        for outage in drawn:
            await asyncio.sleep(1)
            await fleet.go_through(outage)

    await fleet.run(act)
    return fleet


class StoreOutagesTest(unittest.TestCase):
    """Let the store be away, and check what entries act by."""

    def check(self, drawn: list[Outage], size: Size) -> OutageRegions:
        """Run outages; nothing may be late or count as too young."""
        fleet = virtual.run(run_outages(drawn, size))
        self.assertEqual(fleet.findings, [], fleet.journal)
        return fleet

    def test_connections_that_went_silent(self) -> None:
        """Each entry has a view that was confirmed within 2 s."""
        for way in (OPEN_SILENT, SILENT):
            for seconds in (SHORT_S, 1.0, 2.2):
                with self.subTest(way=way.name, seconds=seconds):
                    drawn = [
                        Outage(
                            way,
                            seconds,
                            (seconds + after,),
                            posts=(-1,),
                            keeps_posts=way is OPEN_SILENT,
                        )
                        for after in (0.18, 0.96, 1.06)
                    ]
                    fleet = self.check(drawn, Size(1))
                    heard_s = [heard_s for heard_s, _ in fleet.heard_s]
                    self.assertLess(max(heard_s), APPLY_S)

    def test_the_law(self) -> None:
        """Outages in all ways, of one kind and of two in a row."""
        for seed in SEEDS:
            rng = Random(seed)
            size = Size(rng.choice((1, 2, 3)), 110, 1.0, 1375000)
            names = [
                f'10.{zone}.0.{place}'
                for zone in range(3)
                for place in range(size.entries)
            ]
            draw = functools.partial(drawn_outage, rng, names)
            with self.subTest(seed=seed):
                self.check([draw() for _ in range(CYCLES)], size)


if __name__ == '__main__':
    unittest.main()
