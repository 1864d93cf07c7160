"""Decide which chunk to fetch from whom; no I/O or clock inside."""

import dataclasses
import itertools
from collections.abc import Collection, Iterator, Mapping
from random import Random

from linnetwood.core.backoff import pause_s
from linnetwood.weights import chunks
from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.inflow import Flight, Inflow
from linnetwood.weights.reading import READERS_PER_CHUNK, DueTimes, OriginPolicy
from linnetwood.weights.silence import Silence
from linnetwood.weights.takeover import OriginFailure
from linnetwood.weights.versionplan import ChunkProgress

ORIGIN = ''
_SHUN_S = 60.0
# About as long as the list needs to drop a VM that is gone (three heartbeats).
_AVOID_S = 3.0
# How long an origin that failed is left alone: about a chunk's time on a slow
# link at first, at most what a version's bound can spare.
_AWAY_FIRST_S = 0.1
_AWAY_MOST_S = 0.8
_AWAY_LEAST_SHARE = 0.5
_FEWER_AFTER_FAILURE = 2
# A peer is not silent while the own link may still be busy with what was asked
# for: so many times what it takes, since flows don't share it evenly.
_OWED_FACTOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """One chunk to fetch from a peer or, without a source, the origin."""

    index: int
    source: str


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

    __slots__ = ('flight', 'source')

    def __init__(self, source: str, flight: Flight) -> None:
        """Keep where from, and what the link is to bring."""
        self.source = source
        self.flight = flight

    @property
    def since(self) -> float:
        """Give since when."""
        return self.flight.since


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
        inflow: Inflow | None = None,
    ) -> None:
        """Start with what is held already.

        With a policy for far neighbours, a chunk is asked of them only when
        it is this VM's turn among those near it.
        """
        self._inflow = inflow or Inflow()
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
        # Since it failed: when it answered, and when others were seen to read.
        self._origin_answered_at: float | None = None
        self._others_read_at: float | None = None
        self._known_count = 0
        self._origin_free_at = now
        self._rarity = [0 for _ in range(count)]
        # Each VM goes through what it may read in an order of its own: those
        # that may read the same chunks then seldom read the same one.
        self._order = rng.sample(range(count), count)
        self._peers_next = False
        self._silence = Silence()
        turns_s = (
            count * cfg.chunk_origin_s + READERS_PER_CHUNK * cfg.takeover_s
        )
        self._turns_over_at = now + turns_s
        # While another version comes first, only the origin is asked.
        self.ahead = False

    @property
    def complete(self) -> bool:
        """Tell whether every chunk is held."""
        return self.held == chunks.full(self.count)

    @property
    def known(self) -> int:
        """Give the bitmap of chunks that are held here or by a neighbour."""
        found = self.held
        for peer in self.peers.values():
            found |= peer.held
        return found

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
        """Forget a neighbour that is gone, and what was asked of it.

        What it had sent by then still comes.
        """
        self._silence.heard(vm)
        peer = self.peers.pop(vm, None)
        if peer is not None:
            self._count(peer.held, -1)
        for index, pending in list(self.pending.items()):
            if pending.source == vm:
                self._inflow.left(pending.flight)
                self._settle(index)

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
        self._silence.heard(vm)

    def flows(self, index: int, source: str, now: float) -> None:
        """Note the first byte of what was asked for."""
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._inflow.flows(pending.flight, now)

    def arrived(self, index: int, source: str) -> bool:
        """Note a checked chunk; tell whether it was new.

        What comes late from one that was left is not what another was asked
        for: that may still come.
        """
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._inflow.came(pending.flight)
        elif pending is not None:
            self._inflow.left(pending.flight)
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
        self._origin_answered_at = None
        self._others_read_at = None
        self._known_count = self.known.bit_count()
        self._origin_free_at = now + pause

    def origin_answered(self, now: float) -> None:
        """Note that the origin is there."""
        self._origin_failures = 0
        self._origin_answered_at = now

    def shun(self, vm: str, now: float) -> None:
        """Ask nothing more of a peer that sent a bad chunk, for a while."""
        peer = self.peers.get(vm)
        if peer is not None:
            peer.shunned_until = now + _SHUN_S

    def expired(
        self,
        now: float,
        heard_at: Mapping[str, float],
    ) -> list[int]:
        """Give the fetches that took too long, or whose peer fell silent.

        A peer's time is when its last byte came, on the same clock.
        """
        return [
            index
            for index, pending in self.pending.items()
            if self._overdue(pending, now, heard_at)
        ]

    def avoid(self, vm: str, now: float) -> None:
        """Ask nothing of a peer that fell silent, for a while.

        What was asked of it may still come.
        """
        self._inflow.gave_up(now)
        peer = self.peers.get(vm)
        if peer is not None:
            peer.shunned_until = max(peer.shunned_until, now + _AVOID_S)
            self._silence.fell(vm, self.peers, now)

    def plan(self, now: float) -> Iterator[Fetch]:
        """Yield the fetches to begin now, and count them as begun.

        No more than the link of this VM can bring soon: calls to the engine
        here wait behind them. Before it has brought anything, what may be
        asked of peers and of the origin is not added up. The origin goes first,
        but where it fills the room, peers have every other place.
        """
        self._inflow.settle(now)
        unmeasured = max(self._cfg.window, self._cfg.origin_window)
        room = self._inflow.room(unmeasured)
        if self.ahead:
            of_origin = self._plan_origin(now)
            yield from itertools.islice(of_origin, max(0, room))
            return
        one_of_peers = 1 if self._peers_next else 0
        planned = itertools.chain(
            itertools.islice(self._plan_peers(now), one_of_peers),
            self._plan_origin(now),
            self._plan_peers(now),
        )
        yield from itertools.islice(planned, max(0, room))

    def close(self) -> None:
        """Wait for nothing any more."""
        for index in list(self.pending):
            self._settle(index)

    def _overdue(
        self,
        pending: Pending,
        now: float,
        heard_at: Mapping[str, float],
    ) -> bool:
        if now - pending.since > self._cfg.request_timeout_s:
            return True
        if pending.source == ORIGIN:
            return False
        last = max(pending.since, heard_at.get(pending.source, pending.since))
        patience_s = _OWED_FACTOR * self._inflow.patience_s
        return now - last > max(self._cfg.silence_s, patience_s)

    def _plan_origin(self, now: float) -> Iterator[Fetch]:
        if now < self._origin_free_at:
            return
        reading = sum(
            1 for pending in self.pending.values() if pending.source == ORIGIN
        )
        most = self._cfg.origin_window
        if self._origin_failed_at is not None:
            # All that was due meanwhile is due at once: more would be more
            # connections than an origin takes.
            most = max(1, most // _FEWER_AFTER_FAILURE)
        for index in self._due(now):
            if reading >= most:
                return
            reading += 1
            yield self._begin(Fetch(index, ORIGIN), now)

    def _due(self, now: float) -> Iterator[int]:
        away = self._away(now)
        for index in self._lacking(self.policy.assigned()):
            due = None if self._rarity[index] else self._origin_due(index, away)
            if due is not None and due <= now:
                yield index
        every = chunks.full(self.count)
        lone = self._silence.lone(now, self.peers, every, self._turns_over_at)
        for among, since in lone:
            yield from (
                chunk
                for chunk in self._lacking(among)
                if self.policy.fallback_at(chunk, since) <= now
            )

    def _away(self, now: float) -> OriginFailure | None:
        """Give what is known of the origin, if it failed."""
        if self._origin_failed_at is None:
            return None
        known = self.known
        if (
            self._others_read_at is None
            and known.bit_count() > self._known_count
        ):
            self._others_read_at = now
        mine = chunks.indices(self.policy.assigned() & ~known)
        return OriginFailure(
            self._origin_failed_at,
            self._origin_answered_at,
            self._others_read_at,
            self.count - known.bit_count(),
            not all(map(self.policy.is_takeover, mine)),
        )

    def _lacking(self, among: int) -> Iterator[int]:
        """Yield, in this VM's own order, what is neither held nor asked for."""
        among &= ~self.held
        for index in self._order:
            if among >> index & 1 and index not in self.pending:
                yield index

    def _origin_due(
        self, index: int, away: OriginFailure | None
    ) -> float | None:
        due = self.policy.due_at(index, self.started)
        if due is None or away is None:
            return due
        return max(due, self.policy.retry_at(index, away))

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
        near = 0
        for peer in self.peers.values():
            near |= 0 if peer.far else peer.held
        self._rng.shuffle(indices)
        # What nobody near holds goes first: all others near wait for it.
        indices.sort(key=lambda index: (near >> index & 1, self._rarity[index]))
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
        of_peer = fetch.source != ORIGIN
        # All VMs share the origin's link: it tells nothing of this one's.
        flight = self._inflow.asked(now, sampled=of_peer)
        self.pending[fetch.index] = Pending(fetch.source, flight)
        self._peers_next = not of_peer
        if of_peer:
            self.peers[fetch.source].outstanding += 1
        return fetch

    def _settle(self, index: int) -> None:
        pending = self.pending.pop(index, None)
        if pending is None:
            return
        self._inflow.ended(pending.flight)
        if pending.source not in self.peers:
            return
        peer = self.peers[pending.source]
        peer.outstanding = max(0, peer.outstanding - 1)

    def _count(self, bitmap: int, change: int) -> None:
        for index in chunks.indices(bitmap):
            self._rarity[index] += change


def brought(swarm: Swarm) -> ChunkProgress:
    """Tell how far a version is here."""
    return ChunkProgress(
        swarm.count,
        swarm.count - swarm.held.bit_count(),
        swarm.count - swarm.known.bit_count(),
    )
