"""Which chunk is fetched from whom."""

import math
import unittest
from random import Random
from typing import Any

from linnetwood.fleet.wanted import START_MARGIN_S
from linnetwood.weights import chunks
from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.inflow import Inflow
from linnetwood.weights.reading import (
    DirectReading,
    PreviousTurns,
    Ring,
    SharedReading,
)
from linnetwood.weights.swarm import ORIGIN, Fetch, Swarm
from linnetwood.weights.takeover import OriginFailure

COUNT = 8
# What a chunk takes on a link of the stated rate.
STATED_CHUNK_S = 0.054


class Nobody:
    """Never read from the origin."""

    def retry_at(self, index: int, away: OriginFailure) -> float:
        """Give some time; there is no turn."""
        return away.failed_at

    def fallback_at(self, index: int, since: float) -> float:
        """Give no time."""
        return math.inf

    def due_at(self, index: int, started: float) -> float | None:
        """Give no time."""
        return None

    def assigned(self) -> int:
        """Give no chunk."""
        return 0

    def is_takeover(self, index: int) -> bool:
        """Take over nothing."""
        return False


def swarm(held: int = 0, **options: Any) -> Swarm:
    """Give a swarm that asks peers only."""
    cfg = SwarmOptions(**options)
    found = Swarm(COUNT, held, cfg, Nobody(), Random(1), 0)
    for vm in ('a', 'b'):
        found.meet(vm)
    return found


class SwarmTest(unittest.TestCase):
    """The plan follows what is known of the neighbours."""

    def test_rarest_first(self) -> None:
        """Of two chunks the one that fewer hold goes first."""
        found = swarm(window=1)
        found.notice('a', 0b11, 0)
        found.notice('b', 0b01, 0)
        self.assertEqual([one.index for one in found.plan(0)], [1])

    def test_what_nobody_near_holds_goes_first(self) -> None:
        """All others near wait for the one VM that brings it."""
        found = swarm(window=1)
        found.meet('c')
        found.nearby({'a'})
        found.notice('a', 0b01, 0)
        found.notice('b', 0b10, 0)
        found.notice('c', 0b10, 0)
        self.assertEqual([one.index for one in found.plan(0)], [1])

    def test_quietest_holder_is_asked(self) -> None:
        """Of two holders the one with the shorter queue is asked."""
        found = swarm(window=1)
        found.notice('a', 0b1, 3)
        found.notice('b', 0b1, 0)
        self.assertEqual([one.source for one in found.plan(0)], ['b'])

    def test_nothing_twice(self) -> None:
        """What is held or under way is not asked for."""
        found = swarm(held=0b1)
        found.notice('a', 0b11, 0)
        found.notice('b', 0b11, 0)
        self.assertEqual([one.index for one in found.plan(0)], [1])
        self.assertEqual(list(found.plan(0)), [])

    def test_shunned_peer_is_not_asked(self) -> None:
        """A peer that sent a bad chunk is left alone for a while."""
        found = swarm()
        found.notice('a', 0b1, 0)
        found.shun('a', 0)
        self.assertEqual(list(found.plan(1)), [])
        self.assertEqual(len(list(found.plan(100))), 1)

    def test_gone_peer_frees_its_fetches(self) -> None:
        """What was asked of a peer that left is asked of another."""
        found = swarm()
        found.notice('a', 0b1, 0)
        self.assertEqual(len(list(found.plan(0))), 1)
        found.notice('b', 0b1, 0)
        found.part('a')
        self.assertEqual([one.source for one in found.plan(1)], ['b'])

    def test_late_word_of_a_parted_peer(self) -> None:
        """A peer that was parted from is not asked, whatever comes late."""
        found = swarm()
        found.notice('a', 0b1, 0)
        found.part('a')
        found.notice('a', 0b1, 0)
        found.shun('a', 0)
        self.assertEqual(list(found.plan(1)), [])

    def test_arrived_tells_repeats(self) -> None:
        """A chunk that comes twice is counted as repeated."""
        found = swarm()
        fresh = [found.arrived(3, vm) for vm in ('a', 'b')]
        self.assertEqual(fresh, [True, False])


class OriginTest(unittest.TestCase):
    """Each chunk is read from the origin by one VM, in its turn."""

    def test_every_chunk_has_one_first_reader(self) -> None:
        """All VMs agree on the readers."""
        vms = [f'vm-{number}' for number in range(20)]
        ring = Ring('m', vms)
        for index in range(50):
            readers = ring.readers(index, 3)
            self.assertEqual(len(set(readers)), 3)
        first = {ring.readers(index, 1)[0] for index in range(400)}
        self.assertGreater(len(first), 15)

    def test_window_bounds_what_is_asked_at_a_time(self) -> None:
        """What is under way counts."""
        for window, asked in ((1, 1), (2, 2), (9, 3)):
            cfg = SwarmOptions(window=window, origin_window=0)
            found = Swarm(COUNT, 0, cfg, Nobody(), Random(1), 0)
            for vm in ('a', 'b', 'c'):
                found.meet(vm)
                found.notice(vm, 0b1111, 0)
            with self.subTest(window=window):
                self.assertEqual(len(list(found.plan(0))), asked)
                self.assertEqual(len(list(found.plan(0))), 0)

    def test_next_reader_takes_over(self) -> None:
        """The second reader's turn comes one window later."""
        ring = Ring('m', ['a', 'b'])
        readers = ring.readers(3, 2)
        cfg = SwarmOptions(chunk_origin_s=1, takeover_s=10)
        due = [
            SharedReading(vm, ring, COUNT, cfg).due_at(3, 0) for vm in readers
        ]
        self.assertEqual(due, [3, 13])

    def test_new_turns_wait(self) -> None:
        """A turn that came with a change of the fleet waits a window."""
        cfg = SwarmOptions(chunk_origin_s=1, takeover_s=10)
        ring = Ring('m', ['a'])
        before = PreviousTurns(0b1, 5)
        policy = SharedReading('a', ring, COUNT, cfg, before)
        self.assertEqual([policy.due_at(one, 0) for one in (0, 1)], [0, 15])

    def test_origin_that_fails_is_left_alone_longer_each_time(self) -> None:
        """An answer makes the next pause a short one again."""
        cfg = SwarmOptions(origin_window=1)
        found = Swarm(COUNT, 0, cfg, DirectReading(COUNT), Random(1), 0)
        pauses = []
        now = 0.0
        for _ in range(8):
            asked = next(found.plan(now))
            found.failed(asked.index, ORIGIN)
            found.origin_failed(now)
            steps = range(1, 100)
            pause = next(
                step / 100
                for step in steps
                for asked in found.plan(now + step / 100)
            )
            now += pause
            found.failed(asked.index, ORIGIN)
            pauses.append(pause)
        self.assertLess(pauses[0], 0.11)
        self.assertGreater(pauses[-1], 0.39)
        self.assertLess(max(pauses), 0.81)
        found.origin_answered(now)
        found.origin_failed(now)
        self.assertEqual(len(list(found.plan(now + 0.1))), 1)

    def test_each_vm_reads_in_an_order_of_its_own(self) -> None:
        """Where all may read everything, few read the same chunk at once."""
        cfg = SwarmOptions(origin_window=1)
        swarms = [
            Swarm(96, 0, cfg, DirectReading(96), Random(seed), 0)
            for seed in range(8)
        ]
        read = [one.index for found in swarms for one in found.plan(0)]
        self.assertGreater(len(set(read)), 5)

    def test_readers_take_turns_again_after_a_failure(self) -> None:
        """All were due while the origin was away; one reads first now."""
        ring = Ring('m', ['a', 'b', 'c'])
        cfg = SwarmOptions(
            origin_window=COUNT,
            chunk_origin_s=0.01,
            takeover_s=1,
        )
        reads: list[int] = []
        for vm in ('a', 'b', 'c'):
            policy = SharedReading(vm, ring, COUNT, cfg)
            found = Swarm(COUNT, 0, cfg, policy, Random(1), 0)
            found.origin_failed(9)
            reads += [one.index for one in found.plan(9.2)]
        self.assertEqual(sorted(reads), list(range(COUNT)))

    def test_no_read_of_what_a_neighbour_holds(self) -> None:
        """A chunk seen at a neighbour is never read from the origin."""
        cfg = SwarmOptions(origin_window=COUNT)
        found = Swarm(COUNT, 0, cfg, DirectReading(COUNT), Random(1), 0)
        found.meet('a')
        found.notice('a', 0b1111, 9)
        read = [one.index for one in found.plan(0) if one.source == ORIGIN]
        self.assertEqual(sorted(read), [4, 5, 6, 7])

    def test_a_silent_peer_is_left_for_another(self) -> None:
        """A peer whose VM stands still must not hold a chunk back for long."""
        found = swarm(window=1, request_timeout_s=5.0, silence_s=0.8)
        found.notice('a', 0b1, 0)
        self.assertEqual([one.source for one in found.plan(0)], ['a'])
        cases: tuple[tuple[str, float, dict[str, float], list[int]], ...] = (
            ('just asked', 0.7, {}, []),
            ('slow, but bytes come', 2.0, {'a': 1.5}, []),
            ('silent', 0.9, {}, [0]),
            ('fell silent midway', 2.0, {'a': 1.1}, [0]),
            ('slow for too long', 5.1, {'a': 5.0}, [0]),
        )
        for name, now, heard_at, expected in cases:
            with self.subTest(name=name):
                self.assertEqual(found.expired(now, heard_at), expected)
        found.failed(0, 'a')
        found.avoid('a', 1.0)
        self.assertEqual(list(found.plan(1.1)), [])
        found.notice('b', 0b1, 0)
        self.assertEqual([one.source for one in found.plan(1.2)], ['b'])

    def test_what_only_silent_peers_hold_is_read(self) -> None:
        """Once nothing is heard of all that hold it; others are waited for."""
        found = Swarm(
            COUNT,
            chunks.full(COUNT) & ~0b11,
            SwarmOptions(),
            DirectReading(COUNT),
            Random(1),
            0,
        )
        for vm, held in (('a', 0b01), ('b', 0b01), ('c', 0b10)):
            found.meet(vm)
            found.notice(vm, held, 0)
        for vm in ('a', 'b', 'c'):
            found.avoid(vm, 1.0)
        self.assertEqual(list(found.plan(1.1)), [])
        found.notice('c', 0b10, 0)
        self.assertEqual(list(found.plan(1.6)), [Fetch(0, ORIGIN)])
        found.failed(0, ORIGIN)
        found.notice('b', 0b01, 0)
        self.assertEqual(list(found.plan(1.7)), [])


class Reads(Nobody):
    """Read some chunks from the origin, as soon as may be."""

    def __init__(self, among: int) -> None:
        self._among = among

    def due_at(self, index: int, started: float) -> float | None:
        """Give a turn at once."""
        return started if self._among >> index & 1 else None

    def assigned(self) -> int:
        """Give the chunks to read."""
        return self._among


class NarrowLink:
    """Carry what was asked for, in order, also what nobody waits for now."""

    def __init__(self, chunk_s: float) -> None:
        self.heard_at: dict[str, float] = {}
        self.free_at = float()
        self.chunk_s = chunk_s
        self._asked: list[tuple[float, Fetch]] = []

    def ask(self, fetch: Fetch, now: float) -> None:
        """Put a chunk behind all that is under way."""
        self._asked.append((max(now, self.free_at), fetch))
        self.free_at = self._asked[-1][0] + self.chunk_s

    def narrow(self, chunk_s: float, now: float) -> None:
        """Carry all that is under way more slowly, from its beginning."""
        self.chunk_s = chunk_s
        asked = self._asked
        self._asked = []
        self.free_at = now
        for _, fetch in asked:
            self.ask(fetch, now)

    def carry(self, found: Swarm, now: float) -> None:
        """Hand over what has come by now, unless it was given up."""
        for start, fetch in list(self._asked):
            pending = found.pending.get(fetch.index)
            wanted = pending is not None and pending.source == fetch.source
            if wanted and start <= now:
                self._flow(found, fetch, start, now)
            if start + self.chunk_s <= now:
                self._asked.remove((start, fetch))
                if wanted:
                    found.arrived(fetch.index, fetch.source)

    def _flow(
        self,
        found: Swarm,
        fetch: Fetch,
        start: float,
        now: float,
    ) -> None:
        if self.heard_at.get(fetch.source, -1) < start:
            found.flows(fetch.index, fetch.source, now)
        self.heard_at[fetch.source] = min(now, start + self.chunk_s)


class NarrowLinkTest(unittest.TestCase):
    """Fetch over a link that has become narrower than it should be."""

    def setUp(self) -> None:
        self.count = 96
        self.read_here = (1 << self.count // 8) - 1
        cfg = SwarmOptions(window=3, queue_limit=4, silence_s=0.8)
        policy = Reads(self.read_here)
        self.found = Swarm(self.count, 0, cfg, policy, Random(1), 0)
        for vm in 'abcdefghi':
            self.found.meet(vm)
            held = chunks.full(self.count) & ~self.read_here
            self.found.notice(vm, held, 0)
        self.most = 0
        self.given_up = 0

    def longest_queue_s(
        self,
        bytes_per_s: float,
        narrowed_at: float = math.inf,
    ) -> float:
        """Fetch all; give the longest that a call had to wait on the link.

        The link may be narrowed to a quarter while chunks come.
        """
        found = self.found
        link = NarrowLink(24576 / bytes_per_s)
        now = float()
        longest = float()
        while not found.complete:
            if now >= narrowed_at:
                link.narrow(4 * 24576 / bytes_per_s, now)
                narrowed_at = math.inf
            link.carry(found, now)
            for index in found.expired(now, link.heard_at):
                source = found.pending[index].source
                found.failed(index, source)
                found.avoid(source, now)
                self.given_up += 1
            for fetch in found.plan(now):
                link.ask(fetch, now)
            self.most = max(self.most, len(found.pending))
            longest = max(longest, link.free_at - now)
            now += 0.01
        return longest

    def test_calls_pass_on_a_link_of_the_stated_rate(self) -> None:
        """Calls wait for a few chunks."""
        self.assertLess(self.longest_queue_s(456250), START_MARGIN_S)

    def test_the_stated_rate_keeps_the_windows(self) -> None:
        """Three chunks of peers and two of the origin are under way."""
        self.longest_queue_s(456250)
        self.assertEqual(self.most, 5)

    def test_half_the_stated_rate_keeps_the_windows(self) -> None:
        """Rates vary by much on a good link, as other traffic does."""
        self.longest_queue_s(456250 * 0.6)
        self.assertEqual(self.most, 5)

    def test_calls_pass_on_a_narrowed_link(self) -> None:
        """Fetching leaves room there too: calls and resets come in time.

        What was asked of a silent peer still comes; asked again elsewhere, it
        lies in the same queue twice.
        """
        self.assertLess(self.longest_queue_s(113750), START_MARGIN_S)

    def test_a_busy_link_makes_no_peer_silent(self) -> None:
        """What is late on the own link isn't asked again elsewhere."""
        self.longest_queue_s(113750)
        self.assertEqual(self.given_up, 0)

    def test_a_link_that_is_narrowed_meanwhile(self) -> None:
        """What was under way by then is behind it; that is all."""
        longest = self.longest_queue_s(456250, narrowed_at=1)
        under_way_s = 5 * 4 * 24576 / 456250
        self.assertLess(longest, under_way_s + 0.01)
        self.assertLessEqual(self.given_up, 1)


class EveryChunk(Nobody):
    """Read any chunk from the origin at once."""

    def due_at(self, index: int, started: float) -> float | None:
        """Give the start."""
        return started

    def assigned(self) -> int:
        """Give every chunk."""
        return chunks.full(COUNT)


class SlowSenders:
    """Send each chunk after a while, over a link that is whole."""

    def __init__(self, peer_s: float, origin_s: float) -> None:
        self.now = float()
        self._peer_s = peer_s
        self._origin_s = origin_s
        self._free_at = float()
        self._sent: list[tuple[float, Fetch]] = []
        self._flowing: list[tuple[float, Fetch]] = []

    def fetch(self, found: Swarm) -> float:
        """Fetch all; give the seconds that it took."""
        while not found.complete:
            self._send(found)
            self._carry(found)
            for fetch in found.plan(self.now):
                slow_s = self._peer_s if fetch.source else self._origin_s
                self._sent.append((self.now + slow_s, fetch))
            self.now += 0.01
        return self.now

    def _send(self, found: Swarm) -> None:
        for at, fetch in list(self._sent):
            if at <= self.now:
                self._sent.remove((at, fetch))
                self._free_at = max(self._free_at, self.now) + STATED_CHUNK_S
                self._flowing.append((self._free_at, fetch))
                found.flows(fetch.index, fetch.source, self.now)

    def _carry(self, found: Swarm) -> None:
        for at, fetch in list(self._flowing):
            if at <= self.now:
                self._flowing.remove((at, fetch))
                found.arrived(fetch.index, fetch.source)


class SendersTest(unittest.TestCase):
    """A link that is whole, and senders that are not."""

    def test_slow_origin_leaves_peers_their_turn(self) -> None:
        """Where only the origin is slow, peers are asked beside it."""
        cfg = SwarmOptions(window=3)
        found = Swarm(COUNT, 0, cfg, EveryChunk(), Random(1), 0, None, Inflow())
        found.meet('a')
        found.meet('b')
        now = 0.0
        # Nobody else holds anything: the origin brings each in a second.
        for _ in range(3):
            asked = list(found.plan(now))
            now += 1
            for one in asked:
                found.arrived(one.index, one.source)
        left = ~found.held & chunks.full(COUNT)
        # Now two peers near hold one chunk of those that are left.
        offered = left & -left
        found.notice('a', offered, 0)
        found.notice('b', offered, 0)
        sources = {one.source for one in found.plan(now)}
        self.assertIn(ORIGIN, sources)
        self.assertTrue(sources & {'a', 'b'}, sources)

    def test_slow_senders_keep_the_windows(self) -> None:
        """Five at a time come, however long their senders take."""
        count = 60
        for peer_s, origin_s in ((1, 1), (0.3, 1), (1, 0.1)):
            read_here = (1 << count // 5) - 1
            cfg = SwarmOptions(window=3)
            policy = Reads(read_here)
            found = Swarm(count, 0, cfg, policy, Random(1), 0)
            for vm in 'abcdefghi':
                found.meet(vm)
                found.notice(vm, chunks.full(count) & ~read_here, 0)
            took_s = SlowSenders(peer_s, origin_s).fetch(found)
            each_s = max(
                (peer_s + 2 * STATED_CHUNK_S) * count * 0.8 / 3,
                (origin_s + 2 * STATED_CHUNK_S) * count * 0.2 / 2,
            )
            with self.subTest(peer_s=peer_s, origin_s=origin_s):
                self.assertLess(took_s, 1.2 * each_s)

    def test_dead_peer_among_slow_ones(self) -> None:
        """It is given up as soon as among quick ones."""
        cfg = SwarmOptions(window=3, silence_s=0.8)
        found = Swarm(COUNT, 0, cfg, Nobody(), Random(1), 0)
        for vm in 'abc':
            found.meet(vm)
            found.notice(vm, 0b1111, 0)
        dead, *others = found.plan(0)
        for number, fetch in enumerate(others):
            found.flows(fetch.index, fetch.source, 0.7 + number / 100)
            found.arrived(fetch.index, fetch.source)
            list(found.plan(0.75 + number / 100))
        self.assertEqual(found.expired(0.81, {}), [dead.index])

    def test_one_place_goes_to_peers_in_turn(self) -> None:
        """Where one chunk is under way at a time, the origin has not all."""
        inflow = Inflow()
        for number in range(3):
            flight = inflow.asked(number)
            inflow.came(flight)
            inflow.settle(number + 0.5)
        found = Swarm(
            COUNT, 0, SwarmOptions(), Reads(0b1111), Random(1), 0, None, inflow
        )
        found.meet('a')
        found.notice('a', 0b11110000, 0)
        sources = []
        for step in range(4):
            fetch = next(found.plan(4 + step))
            sources.append(fetch.source)
            found.failed(fetch.index, fetch.source)
        self.assertEqual(sources, [ORIGIN, 'a', ORIGIN, 'a'])

    def test_a_late_chunk_of_one_that_left_is_no_sample(self) -> None:
        """What one peer brought is not counted as another's."""
        inflow = Inflow()
        found = Swarm(
            COUNT,
            0,
            SwarmOptions(window=1),
            Nobody(),
            Random(1),
            0,
            None,
            inflow,
        )
        found.meet('a')
        found.meet('b')
        found.notice('a', 1, 0)
        self.assertEqual(len(list(found.plan(0))), 1)
        # The list drops it for a moment; its chunk flows on.
        found.part('a')
        found.notice('b', 1, 0)
        self.assertEqual(len(list(found.plan(0.4))), 1)
        found.arrived(0, 'a')
        inflow.settle(0.405)
        # It took 0.4 s; that nothing was measured is right as well.
        if inflow.chunk_s:
            self.assertGreater(inflow.chunk_s, 0.1)

    def test_what_came_late_leaves_the_other_under_way(self) -> None:
        """The chunk that another was asked for still takes room."""
        inflow = Inflow()
        for number in range(3):
            flight = inflow.asked(number)
            inflow.came(flight)
            inflow.settle(number + 0.5)
        found = Swarm(
            COUNT, 0, SwarmOptions(), Nobody(), Random(1), 0, None, inflow
        )
        for vm in ('a', 'b'):
            found.meet(vm)
        found.notice('a', 0b1, 0)
        list(found.plan(4))
        found.part('a')
        found.notice('b', 0b11, 0)
        self.assertEqual(list(found.plan(4.1)), [])
        self.assertEqual([one.source for one in found.plan(5.1)], ['b'])
        for index in list(found.pending):
            found.arrived(index, 'a')
        self.assertEqual(list(found.plan(5.2)), [])
        self.assertEqual(len(list(found.plan(6.3))), 1)

    def test_first_chunks_that_do_not_come_show_a_slow_way(self) -> None:
        """Chunks under way for long tell of the way before any has come."""
        inflow = Inflow()
        for _ in range(3):
            inflow.asked(0)
        self.assertGreater(inflow.tell_way_s(1.5), 0.5)

    def test_a_slow_origin_makes_no_slow_way(self) -> None:
        """One chunk in a second from the origin does not fill a link."""
        inflow = Inflow()
        for number in range(4):
            flight = inflow.asked(number, sampled=False)
            way_s = inflow.tell_way_s(number + 0.5)
            inflow.came(flight)
            inflow.settle(number + 1)
            self.assertLess(way_s, 0.3)

    def test_a_slow_peer_makes_no_slow_way(self) -> None:
        """Neither does one from a peer that takes its time to begin."""
        inflow = Inflow()
        for number in range(4):
            flight = inflow.asked(number)
            way_s = inflow.tell_way_s(number + 0.2)
            inflow.flows(flight, number + 0.9)
            inflow.came(flight)
            inflow.settle(number + 0.95)
            self.assertLess(way_s, 0.3)

    def test_what_a_parted_peer_sends_takes_room(self) -> None:
        """Bytes under way from one that was dropped are still under way."""
        inflow = Inflow()
        for number in range(3):
            flight = inflow.asked(number * 0.5)
            inflow.came(flight)
            inflow.settle((number + 1) * 0.5)
        found = Swarm(
            COUNT,
            0,
            SwarmOptions(window=3),
            Nobody(),
            Random(1),
            0,
            None,
            inflow,
        )
        for vm in ('a', 'b'):
            found.meet(vm)
            found.notice(vm, 0b11, 0)
        self.assertEqual(len(list(found.plan(2))), 1)
        source = next(iter(found.pending.values())).source
        found.part(source)
        self.assertEqual(list(found.plan(2.01)), [])


class ChunksTest(unittest.TestCase):
    """Only checked chunks are kept."""

    def test_bad_chunk_is_refused(self) -> None:
        """One wrong bit is enough."""
        manifest = chunks.build(bytes(100), 10)
        store = chunks.ChunkStore()
        self.assertFalse(store.keep(manifest, 0, b'\x01' * 10))
        self.assertTrue(store.keep(manifest, 0, bytes(10)))

    def test_manifest_is_checked(self) -> None:
        """A manifest reads back under its own name only."""
        manifest = chunks.build(b'abcdef', 4)
        encoded = manifest.encode()
        name = chunks.name_of(encoded)
        self.assertEqual(chunks.read_manifest(encoded, name), manifest)
        with self.assertRaisesRegex(Exception, 'manifest-digest-differs'):
            chunks.read_manifest(encoded, chunks.name_of(b''))

    def test_whole(self) -> None:
        """Whole means every chunk, in order."""
        weights = bytes(range(200))
        manifest = chunks.build(weights, 64)
        store = chunks.ChunkStore()
        for index, chunk in enumerate(chunks.cut(weights, 64)):
            self.assertFalse(store.whole(manifest))
            store.keep(manifest, index, chunk)
        self.assertTrue(store.whole(manifest))

    def test_shared_chunks_are_held_already(self) -> None:
        """A version that changes one chunk lacks only that one."""
        old = bytes(range(100))
        new = old[:90] + bytes(10)
        store = chunks.ChunkStore()
        for index, chunk in enumerate(chunks.cut(old, 10)):
            store.keep(chunks.build(old, 10), index, chunk)
        self.assertEqual(store.held(chunks.build(new, 10)), (1 << 9) - 1)


if __name__ == '__main__':
    unittest.main()
