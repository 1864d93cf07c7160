"""Decide which chunk to fetch from whom; no I/O or clock inside."""

import dataclasses
import itertools
from collections.abc import Collection, Iterator, Mapping
from random import Random

from linnetwood.core.backoff import pause_s
from linnetwood.weights import chunks
from linnetwood.weights.inboundlink import InFlightChunk, InboundLink
from linnetwood.weights.reading import TAKERS, DueTimes, OriginPolicy
from linnetwood.weights.silentpeers import SilentPeers
from linnetwood.weights.swarmoptions import SwarmOptions
from linnetwood.weights.takeover import Away
from linnetwood.weights.versionplan import Brought

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

    __slots__ = ('blocked_until', 'held', 'is_remote', 'outstanding', 'queued')

    def __init__(self) -> None:
        """Know nothing."""
        self.is_remote = False
        self.held = 0
        self.queued = 0
        self.outstanding = 0
        self.blocked_until = float()


class PendingFetch:
    """One fetch under way."""

    __slots__ = ('flight', 'source')

    def __init__(self, source: str, flight: InFlightChunk) -> None:
        """Keep where from, and what the link is to bring."""
        self.source = source
        self.flight = flight

    @property
    def requested_at(self) -> float:
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
        inbound_link: InboundLink | None = None,
    ) -> None:
        """Start with what is held already.

        With a policy for far neighbours, a chunk is asked of them only when
        it is this VM's turn among those near it.
        """
        self._inbound_link = inbound_link or InboundLink()
        self._far = far
        self.count = count
        self.held = held
        self.peers: dict[str, Peer] = {}
        self.pending: dict[int, PendingFetch] = {}
        self.policy = policy
        self.started_at = now
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
        self._silent_peers = SilentPeers()
        turns_s = count * cfg.chunk_origin_s + TAKERS * cfg.takeover_s
        self._turns_over_at = now + turns_s
        # While another version comes first, only the origin is asked.
        self.origin_only = False

    @property
    def complete(self) -> bool:
        """Tell whether every chunk is held."""
        return self.held == chunks.full_bitmap(self.count)

    @property
    def available(self) -> int:
        """Give the bitmap of chunks that are held here or by a neighbour."""
        found = self.held
        for peer in self.peers.values():
            found |= peer.held
        return found

    def add_peer(self, vm: str) -> Peer:
        """Give the record of a neighbour, new if need be."""
        return self.peers.setdefault(vm, Peer())

    def mark_nearby(self, vms: Collection[str]) -> None:
        """Note which neighbours are near; the others count as far."""
        for vm, peer in self.peers.items():
            peer.is_remote = vm not in vms

    def set_policies(self, policy: OriginPolicy, far: DueTimes | None) -> None:
        """Follow new turns: the fleet has changed."""
        self.policy = policy
        self._far = far

    def remove_peer(self, vm: str) -> None:
        """Forget a neighbour that is gone, and what was asked of it.

        What it had sent by then still comes.
        """
        self._silent_peers.record_message(vm)
        peer = self.peers.pop(vm, None)
        if peer is not None:
            self._count(peer.held, -1)
        for index, pending in list(self.pending.items()):
            if pending.source == vm:
                self._inbound_link.record_abandoned(pending.flight)
                self._settle(index)

    def update_peer(self, vm: str, held: int, queued: int) -> None:
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
        self._silent_peers.record_message(vm)

    def record_first_byte(self, index: int, source: str, now: float) -> None:
        """Note the first byte of what was asked for."""
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._inbound_link.record_first_byte(pending.flight, now)

    def record_chunk(self, index: int, source: str) -> bool:
        """Note a checked chunk; tell whether it was new.

        What comes late from one that was left is not what another was asked
        for: that may still come.
        """
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._inbound_link.record_received(pending.flight)
        elif pending is not None:
            self._inbound_link.record_abandoned(pending.flight)
        self._settle(index)
        bit = 1 << index
        fresh = not self.held & bit
        self.held |= bit
        return fresh

    def record_failure(self, index: int, source: str) -> None:
        """Note a fetch that brought nothing."""
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._settle(index)

    def record_origin_failure(self, now: float) -> None:
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
        self._known_count = self.available.bit_count()
        self._origin_free_at = now + pause

    def record_origin_answer(self, now: float) -> None:
        """Note that the origin is there."""
        self._origin_failures = 0
        self._origin_answered_at = now

    def record_bad_chunk(self, vm: str, now: float) -> None:
        """Ask nothing more of a peer that sent a bad chunk, for a while."""
        peer = self.peers.get(vm)
        if peer is not None:
            peer.blocked_until = now + _SHUN_S

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

    def record_silence(self, vm: str, now: float) -> None:
        """Ask nothing of a peer that fell silent, for a while.

        What was asked of it may still come.
        """
        self._inbound_link.record_timeout(now)
        peer = self.peers.get(vm)
        if peer is not None:
            peer.blocked_until = max(peer.blocked_until, now + _AVOID_S)
            self._silent_peers.record_timeout(vm, self.peers, now)

    def plan(self, now: float) -> Iterator[Fetch]:
        """Yield the fetches to begin now, and count them as begun.

        No more than the link of this VM can bring soon: calls to the engine
        here wait behind them. Before it has brought anything, what may be
        asked of peers and of the origin is not added up. The origin goes first,
        but where it fills the room, peers have every other place.
        """
        self._inbound_link.update(now)
        unmeasured = max(self._cfg.window, self._cfg.origin_window)
        room = self._inbound_link.request_budget(unmeasured)
        if self.origin_only:
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
        pending: PendingFetch,
        now: float,
        heard_at: Mapping[str, float],
    ) -> bool:
        if now - pending.requested_at > self._cfg.request_timeout_s:
            return True
        if pending.source == ORIGIN:
            return False
        last = max(
            pending.requested_at,
            heard_at.get(pending.source, pending.requested_at),
        )
        patience_s = _OWED_FACTOR * self._inbound_link.backlog_with_origin_s
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
        for index in self._lacking(self.policy.turns()):
            due = None if self._rarity[index] else self._origin_due(index, away)
            if due is not None and due <= now:
                yield index
        every = chunks.full_bitmap(self.count)
        lone = self._silent_peers.unreachable_chunks(
            now, self.peers, every, self._turns_over_at
        )
        for among, since in lone:
            yield from (
                chunk
                for chunk in self._lacking(among)
                if self.policy.alone_at(chunk, since) <= now
            )

    def _away(self, now: float) -> Away | None:
        """Give what is known of the origin, if it failed."""
        if self._origin_failed_at is None:
            return None
        known = self.available
        if (
            self._others_read_at is None
            and known.bit_count() > self._known_count
        ):
            self._others_read_at = now
        mine = chunks.indices(self.policy.turns() & ~known)
        return Away(
            self._origin_failed_at,
            self._origin_answered_at,
            self._others_read_at,
            self.count - known.bit_count(),
            not all(map(self.policy.takes_over, mine)),
        )

    def _lacking(self, among: int) -> Iterator[int]:
        """Yield, in this VM's own order, what is neither held nor asked for."""
        among &= ~self.held
        for index in self._order:
            if among >> index & 1 and index not in self.pending:
                yield index

    def _origin_due(self, index: int, away: Away | None) -> float | None:
        due = self.policy.due_at(index, self.started_at)
        if due is None or away is None:
            return due
        return max(due, self.policy.again_at(index, away))

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
            and peer.blocked_until <= now
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
            near |= 0 if peer.is_remote else peer.held
        self._rng.shuffle(indices)
        # What nobody near holds goes first: all others near wait for it.
        indices.sort(key=lambda index: (near >> index & 1, self._rarity[index]))
        return indices

    def _far_due(self, index: int, now: float) -> bool:
        if self._far is None:
            return True
        due = self._far.due_at(index, self.started_at)
        return due is not None and due <= now

    def _quietest(
        self,
        index: int,
        free: dict[str, Peer],
        now: float,
    ) -> str | None:
        holders = [vm for vm, peer in free.items() if peer.held >> index & 1]
        if not self._far_due(index, now):
            holders = [vm for vm in holders if not free[vm].is_remote]
        if not holders:
            return None
        self._rng.shuffle(holders)
        return min(
            holders,
            key=lambda vm: (
                free[vm].is_remote,
                free[vm].queued + free[vm].outstanding,
            ),
        )

    def _begin(self, fetch: Fetch, now: float) -> Fetch:
        of_peer = fetch.source != ORIGIN
        # All VMs share the origin's link: it tells nothing of this one's.
        flight = self._inbound_link.record_request(now, sampled=of_peer)
        self.pending[fetch.index] = PendingFetch(fetch.source, flight)
        self._peers_next = not of_peer
        if of_peer:
            self.peers[fetch.source].outstanding += 1
        return fetch

    def _settle(self, index: int) -> None:
        pending = self.pending.pop(index, None)
        if pending is None:
            return
        self._inbound_link.record_failed(pending.flight)
        if pending.source not in self.peers:
            return
        peer = self.peers[pending.source]
        peer.outstanding = max(0, peer.outstanding - 1)

    def _count(self, bitmap: int, change: int) -> None:
        for index in chunks.indices(bitmap):
            self._rarity[index] += change


def progress_of(swarm: Swarm) -> Brought:
    """Tell how far a version is here."""
    return Brought(
        swarm.count,
        swarm.count - swarm.held.bit_count(),
        swarm.count - swarm.available.bit_count(),
    )
