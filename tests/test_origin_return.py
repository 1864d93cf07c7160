"""Whoever waited for an origin that was away does not all ask at its return.

Load pattern: a hundred VMs lack all or a third of a version's chunks, and the
origin, which takes 48 connections and a chunk every 27 ms, is back. No I/O.
"""

import unittest
from random import Random

from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.reading import Ring, SharedReading
from linnetwood.weights.swarm import ORIGIN, Swarm

VMS = [f'10.2.0.{number}' for number in range(100)]
CHUNKS = 96
CHUNK_S = 0.027
FAILED_AT = 10.0
# Pauses after a failure are over by then.
BACK_AT = FAILED_AT + 0.8
CFG = SwarmOptions(chunk_origin_s=CHUNK_S, takeover_s=1.0)


def swarms(held: int) -> list[Swarm]:
    """Give all VMs, each of which has just found the origin away."""
    ring = Ring('m@2', VMS)
    found = []
    for vm in VMS:
        policy = SharedReading(vm, ring, CHUNKS, CFG)
        swarm = Swarm(CHUNKS, held, CFG, policy, Random(vm), 0)
        swarm.origin_failed(FAILED_AT)
        found.append(swarm)
    return found


def asked(held: int, until: float) -> int:
    """Give how many reads begin from the return on; none of them ends."""
    everybody = swarms(held)
    count = 0
    now = BACK_AT
    while now <= until:
        for swarm in everybody:
            fetches = list(swarm.plan(now))
            count += sum(fetch.source == ORIGIN for fetch in fetches)
        now += CHUNK_S
    return count


class OriginReturnTest(unittest.TestCase):
    """Count reads that begin in the first half second and by the end."""

    def test_reads_are_spread(self) -> None:
        """No more begin than the origin's connections, whatever is lacking."""
        for held_count in (0, 64):
            held = (1 << held_count) - 1
            with self.subTest(held=held_count):
                self.assertLessEqual(asked(held, BACK_AT + 0.2), 48)

    def test_every_chunk_is_asked_for_at_the_rate_of_the_link(self) -> None:
        """After the time that the link needs, each has been asked for."""
        for held_count in (0, 64):
            lacking = CHUNKS - held_count
            until = BACK_AT + lacking * CHUNK_S
            with self.subTest(held=held_count):
                held = (1 << held_count) - 1
                self.assertGreaterEqual(asked(held, until), lacking)


if __name__ == '__main__':
    unittest.main()
