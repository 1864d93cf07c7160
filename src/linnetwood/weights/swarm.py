"""Decide which chunk to fetch from whom; no I/O or clock inside."""

import dataclasses
import itertools
from bisect import bisect_right
from collections.abc import Collection, Iterable, Iterator
from random import Random
from typing import Protocol

from linnetwood.core.backoff import pause_s
from linnetwood.fleet.members import place_hash
from linnetwood.weights import chunks

ORIGIN = ''
_RING_POINTS = 16
_TAKERS = 3
_SHUN_S = 60.0
# How long an origin that failed is left alone: about a chunk's time on a slow
# link at first, at most what a version's bound can spare.
_AWAY_FIRST_S = 0.1
_AWAY_MOST_S = 0.8
_AWAY_LEAST_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """One chunk to fetch from a peer or, without a source, the origin."""

    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class SwarmOptions:
    """What bounds a transfer."""

    window: int = 6
    per_peer: int = 1
    queue_limit: int = 4
    origin_window: int = 2
    request_timeout_s: float = 5.0
    chunk_origin_s: float = 0.01
    takeover_s: float = 3.0


class Ring:
    """Place VMs on a ring so that each chunk has readers in an agreed order."""

    def __init__(self, manifest: str, vms: Iterable[str]) -> None:
        """Place each VM at several points."""
        self._points = sorted(
            (place_hash(f'{manifest}|{vm}|{point}'), vm)
            for vm in vms
            for point in range(_RING_POINTS)
        )
        self._keys = [key for key, _ in self._points]
        self._manifest = manifest

    def readers(self, index: int, count: int) -> list[str]:
        """Give the VMs that should read a chunk, first choice first."""
        found: list[str] = []
        start = bisect_right(
            self._keys, place_hash(f'{self._manifest}#{index}')
        )
        for _, vm in self._points[start:] + self._points[:start]:
            if vm not in found:
                found.append(vm)
            if len(found) >= count:
                break
        return found[:count]


class Readers(Protocol):
    """Say in which order VMs may read a chunk."""

    def readers(self, index: int, count: int) -> list[str]:
        """Give the VMs that should read a chunk, first choice first."""


class WaveRings:
    """Let the VMs of an earlier wave read first, then those of the next."""

    def __init__(self, rings: Iterable[Ring]) -> None:
        """Take the rings of the waves in their order."""
        self._rings = list(rings)

    def readers(self, index: int, count: int) -> list[str]:
        """Give the VMs that should read a chunk, first choice first."""
        found: list[str] = []
        for ring in self._rings:
            found.extend(ring.readers(index, count - len(found)))
        return found


class OriginPolicy(Protocol):
    """Decide when a process may read a chunk from the origin."""

    def due_at(self, index: int, started: float) -> float | None:
        """Give the time from which this process may read the chunk."""

    def again_at(self, index: int, failed: float) -> float:
        """Give the time of the turn once an origin that failed is back."""

    def turns(self) -> int:
        """Give the bitmap of chunks that this process may ever read."""

    def takes_over(self, index: int) -> bool:
        """Tell whether another process was to read the chunk first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Turns:
    """Which chunks were this VM's to read before, and for how long."""

    chunks: int
    elapsed_s: float


def _grace_s(index: int, before: Turns | None, cfg: SwarmOptions) -> float:
    if before is None or index < 0 or before.chunks >> index & 1:
        return 0
    return before.elapsed_s + cfg.takeover_s


class SharedReading:
    """Let each chunk be read once, by the VM that the ring names.

    The reads are spread over the time that the origin's link needs, and the
    next VM on the ring takes over when nobody has shown the chunk in time.
    When the fleet changes, turns that were not this VM's before wait for as
    long, since whoever had them may have read the chunk already.
    """

    def __init__(
        self,
        me: str,
        ring: Readers,
        count: int,
        cfg: SwarmOptions,
        before: Turns | None = None,
    ) -> None:
        """Work out this process's turns."""
        self._due: dict[int, float] = {}
        self._ranks: dict[int, int] = {}
        self._takeover_s = cfg.takeover_s
        for index in range(chunks.MANIFEST_INDEX, count):
            readers = ring.readers(index, _TAKERS)
            if me in readers:
                rank = readers.index(me)
                self._ranks[index] = rank
                wait = max(0, index) * cfg.chunk_origin_s
                due = wait + rank * cfg.takeover_s
                self._due[index] = max(due, _grace_s(index, before, cfg))
        self._turns = sum(1 << chunk for chunk in self._due if chunk >= 0)

    def due_at(self, index: int, started: float) -> float | None:
        """Give the time of this process's turn, if it has one."""
        due = self._due.get(index)
        return None if due is None else started + due

    def again_at(self, index: int, failed: float) -> float:
        """Give the turn after a failure: by then every first turn is over.

        Without this all readers of a chunk would read it at the same time.
        """
        return failed + self._ranks.get(index, _TAKERS) * self._takeover_s

    def turns(self) -> int:
        """Give the chunks for which this process is among the readers."""
        return self._turns

    def takes_over(self, index: int) -> bool:
        """Tell whether this process is not the first reader."""
        return self._ranks.get(index) != 0


class ZoneReading:
    """Let one VM of a zone bring each chunk into it; the others wait for that.

    Bytes between zones are dear. The next VM on the zone's ring takes over
    when the chunk has not come in time, and in the end anyone may.
    """

    def __init__(
        self,
        me: str,
        ring: Readers,
        members: int,
        count: int,
        takeover_s: float,
    ) -> None:
        """Work out this VM's rank for each chunk."""
        self._due = [
            ring.readers(index, members).index(me) * takeover_s
            for index in range(count)
        ]

    def due_at(self, index: int, started: float) -> float | None:
        """Give the time from which a far neighbour may be asked."""
        return started + self._due[index]


class DueTimes(Protocol):
    """Tell from when on a chunk may be fetched some way."""

    def due_at(self, index: int, started: float) -> float | None:
        """Give the time, or None for never."""


class DirectReading:
    """Let every VM read everything from the origin: the plain baseline."""

    def __init__(self, count: int) -> None:
        """Know how many chunks there are."""
        self._turns = chunks.full(count)

    def turns(self) -> int:
        """Give every chunk."""
        return self._turns

    def takes_over(self, index: int) -> bool:
        """Take over from nobody."""
        return False

    def due_at(self, index: int, started: float) -> float | None:
        """Allow every chunk at once."""
        return started

    def again_at(self, index: int, failed: float) -> float:
        """Allow every chunk at once."""
        return failed


class Peer:
    """What is known of one neighbour."""

    __slots__ = ('far', 'held', 'outstanding', 'queued', 'shunned_until')

    def __init__(self) -> None:
        """Know nothing."""
        self.far = False
        self.held = 0
        self.queued = 0
        self.outstanding = 0
        self.shunned_until = float()


class Pending:
    """One fetch under way."""

    __slots__ = ('since', 'source')

    def __init__(self, source: str, since: float) -> None:
        """Keep where from and since when."""
        self.source = source
        self.since = since


class Swarm:
    """Hold the state of fetching one manifest's chunks."""

    def __init__(
        self,
        count: int,
        held: int,
        cfg: SwarmOptions,
        policy: OriginPolicy,
        rng: Random,
        now: float,
        far: DueTimes | None = None,
    ) -> None:
        """Start with what is held already.

        With a policy for far neighbours, a chunk is asked of them only when
        it is this VM's turn among those near it.
        """
        self._far = far
        self.count = count
        self.held = held
        self.peers: dict[str, Peer] = {}
        self.pending: dict[int, Pending] = {}
        self.policy = policy
        self.started = now
        self._cfg = cfg
        self._rng = rng
        self._origin_failures = 0
        self._origin_failed_at: float | None = None
        self._origin_free_at = now
        self._rarity = [0 for _ in range(count)]
        # Each VM goes through what it may read in an order of its own: those
        # that may read the same chunks then seldom read the same one.
        self._order = rng.sample(range(count), count)

    @property
    def complete(self) -> bool:
        """Tell whether every chunk is held."""
        return self.held == chunks.full(self.count)

    def meet(self, vm: str) -> Peer:
        """Give the record of a neighbour, new if need be."""
        return self.peers.setdefault(vm, Peer())

    def nearby(self, vms: Collection[str]) -> None:
        """Note which neighbours are near; the others count as far."""
        for vm, peer in self.peers.items():
            peer.far = vm not in vms

    def reroute(self, policy: OriginPolicy, far: DueTimes | None) -> None:
        """Follow new turns: the fleet has changed."""
        self.policy = policy
        self._far = far

    def part(self, vm: str) -> None:
        """Forget a neighbour that is gone, and what was asked of it."""
        peer = self.peers.pop(vm, None)
        if peer is not None:
            self._count(peer.held, -1)
        self.pending = {
            index: pending
            for index, pending in self.pending.items()
            if pending.source != vm
        }

    def notice(self, vm: str, held: int, queued: int) -> None:
        """Note what a neighbour holds and how many wait on it.

        What comes late from a neighbour that was parted from is ignored: it
        must not be asked any more.
        """
        peer = self.peers.get(vm)
        if peer is None:
            return
        self._count(held & ~peer.held, 1)
        peer.held |= held
        peer.queued = queued

    def arrived(self, index: int) -> bool:
        """Note a checked chunk; tell whether it was new."""
        self._settle(index)
        bit = 1 << index
        fresh = not self.held & bit
        self.held |= bit
        return fresh

    def failed(self, index: int, source: str) -> None:
        """Note a fetch that brought nothing."""
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._settle(index)

    def origin_failed(self, now: float) -> None:
        """Note that the origin gave no answer: it is left alone for a while."""
        pause = pause_s(
            self._origin_failures,
            self._rng,
            _AWAY_FIRST_S,
            _AWAY_MOST_S,
            _AWAY_LEAST_SHARE,
        )
        self._origin_failures += 1
        self._origin_failed_at = now
        self._origin_free_at = now + pause

    def origin_answered(self) -> None:
        """Note that the origin is there."""
        self._origin_failures = 0

    def shun(self, vm: str, now: float) -> None:
        """Ask nothing more of a peer that sent a bad chunk, for a while."""
        peer = self.peers.get(vm)
        if peer is not None:
            peer.shunned_until = now + _SHUN_S

    def expired(self, now: float) -> list[int]:
        """Give the fetches that took too long."""
        limit = self._cfg.request_timeout_s
        return [
            index
            for index, pending in self.pending.items()
            if now - pending.since > limit
        ]

    def plan(self, now: float) -> Iterator[Fetch]:
        """Yield the fetches to begin now, and count them as begun."""
        yield from self._plan_origin(now)
        yield from self._plan_peers(now)

    def _plan_origin(self, now: float) -> Iterator[Fetch]:
        if now < self._origin_free_at:
            return
        reading = sum(
            1 for pending in self.pending.values() if pending.source == ORIGIN
        )
        for index in itertools.chain(self._due(now), self._idle_origin(now)):
            if reading >= self._cfg.origin_window:
                return
            reading += 1
            yield self._begin(Fetch(index, ORIGIN), now)

    def _idle_origin(self, now: float) -> Iterator[int]:
        """Yield what no near neighbour holds, once every chunk was read.

        The origin's link is free then, and bytes from it cost no more than
        those from another zone.
        """
        first_pass_s = self.count * self._cfg.chunk_origin_s
        if self._far is None or now < self.started + first_pass_s:
            return
        known = self.held
        for peer in self.peers.values():
            known |= 0 if peer.far else peer.held
        for index in self._lacking(chunks.full(self.count) & ~known):
            if self._far_due(index, now):
                yield index

    def _due(self, now: float) -> Iterator[int]:
        for index in self._lacking(self.policy.turns()):
            due = None if self._rarity[index] else self._origin_due(index)
            if due is not None and due <= now:
                yield index

    def _lacking(self, among: int) -> Iterator[int]:
        """Yield, in this VM's own order, what is neither held nor asked for."""
        among &= ~self.held
        for index in self._order:
            if among >> index & 1 and index not in self.pending:
                yield index

    def _origin_due(self, index: int) -> float | None:
        due = self.policy.due_at(index, self.started)
        if due is None or self._origin_failed_at is None:
            return due
        return max(due, self.policy.again_at(index, self._origin_failed_at))

    def _plan_peers(self, now: float) -> Iterator[Fetch]:
        asked = sum(
            1 for pending in self.pending.values() if pending.source != ORIGIN
        )
        room = self._cfg.window - asked
        if room <= 0:
            return
        free = self._free_peers(now)
        for index in self._rarest_first(free):
            source = self._quietest(index, free, now)
            if source is None:
                continue
            yield self._begin(Fetch(index, source), now)
            room -= 1
            if self.peers[source].outstanding >= self._cfg.per_peer:
                free.pop(source)
            if not room or not free:
                return

    def _free_peers(self, now: float) -> dict[str, Peer]:
        return {
            vm: peer
            for vm, peer in self.peers.items()
            if peer.outstanding < self._cfg.per_peer
            and peer.shunned_until <= now
            and peer.queued < self._cfg.queue_limit
            and peer.held & ~self.held
        }

    def _rarest_first(self, free: dict[str, Peer]) -> list[int]:
        offered = 0
        for peer in free.values():
            offered |= peer.held
        wanted = offered & ~self.held
        indices = [
            index
            for index in chunks.indices(wanted)
            if index not in self.pending
        ]
        self._rng.shuffle(indices)
        indices.sort(key=self._rarity.__getitem__)
        return indices

    def _far_due(self, index: int, now: float) -> bool:
        if self._far is None:
            return True
        due = self._far.due_at(index, self.started)
        return due is not None and due <= now

    def _quietest(
        self,
        index: int,
        free: dict[str, Peer],
        now: float,
    ) -> str | None:
        holders = [vm for vm, peer in free.items() if peer.held >> index & 1]
        if not self._far_due(index, now):
            holders = [vm for vm in holders if not free[vm].far]
        if not holders:
            return None
        self._rng.shuffle(holders)
        return min(
            holders,
            key=lambda vm: (
                free[vm].far,
                free[vm].queued + free[vm].outstanding,
            ),
        )

    def _begin(self, fetch: Fetch, now: float) -> Fetch:
        self.pending[fetch.index] = Pending(fetch.source, now)
        if fetch.source != ORIGIN:
            self.peers[fetch.source].outstanding += 1
        return fetch

    def _settle(self, index: int) -> None:
        pending = self.pending.pop(index, None)
        if pending is None or pending.source not in self.peers:
            return
        peer = self.peers[pending.source]
        peer.outstanding = max(0, peer.outstanding - 1)

    def _count(self, bitmap: int, change: int) -> None:
        for index in chunks.indices(bitmap):
            self._rarity[index] += change
