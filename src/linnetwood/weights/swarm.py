"""Decide which chunk to fetch from whom; no I/O or clock inside."""

import dataclasses
import itertools
import statistics
from collections.abc import Collection, Iterator, Mapping
from random import Random

from linnetwood.core.backoff import pause_s
from linnetwood.weights import chunks
from linnetwood.weights.inboundlink import InboundLink, InFlightChunk
from linnetwood.weights.reading import READERS_PER_CHUNK, DueTimes, OriginPolicy
from linnetwood.weights.rejectedchunks import BadReads
from linnetwood.weights.silentpeers import (
    AbandonedChunks,
    SilentPeers,
    known_chunks,
    unreported_chunks,
)
from linnetwood.weights.swarmoptions import SwarmOptions
from linnetwood.weights.takeover import OriginFailure
from linnetwood.weights.versionplan import ChunkProgress

ORIGIN = ''
# The same bytes from one holder, twice, show a fault of this VM's manifest, so
# a peer is asked again soon after its first bad chunk.
_FIRST_BAD_CHUNK_BLOCK_S = 2.0
_BAD_CHUNK_BLOCK_S = 60.0
# About the time that the list of VMs takes to drop one that is gone: 3
# heartbeats.
_SILENCE_BLOCK_S = 3.0
# Pauses after failed reads from the origin. The first is about the time of one
# chunk on a slow link; the longest is what a version's deadline can spare.
_ORIGIN_PAUSE_FIRST_S = 0.1
_ORIGIN_PAUSE_MAX_S = 0.8
_ORIGIN_PAUSE_MIN_SHARE = 0.5
_FAILED_WINDOW_DIVISOR = 2
# A peer isn't silent while this VM's link may still be busy with the requested
# chunks. Their expected time is multiplied by this factor, since flows don't
# share the link evenly.
_PATIENCE_FACTOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """One chunk to fetch from a peer; an empty source is the origin."""

    index: int
    source: str


class Peer:
    """What is known of one neighbour; `held` is a bitmap of chunks."""

    __slots__ = (
        'bad_chunks',
        'blocked_until',
        'heard',
        'held',
        'is_remote',
        'outstanding',
        'queued',
    )

    def __init__(self) -> None:
        """Start with nothing held, nothing requested and no message."""
        self.is_remote = False
        self.bad_chunks = 0
        self.heard = False
        self.held = 0
        self.queued = 0
        self.outstanding = 0
        self.blocked_until = float()


class PendingFetch:
    """A fetch in progress."""

    __slots__ = ('flight', 'source')

    def __init__(self, source: str, flight: InFlightChunk) -> None:
        """Keep the source, and the chunk's entry in the link estimate."""
        self.source = source
        self.flight = flight

    @property
    def requested_at(self) -> float:
        """Give the time of the request."""
        return self.flight.since


class Swarm:
    """Schedule the fetches of one manifest's chunks."""

    def __init__(
        self,
        count: int,
        held: int,
        cfg: SwarmOptions,
        policy: OriginPolicy,
        rng: Random,
        now: float,
        remote_policy: DueTimes | None = None,
        inbound_link: InboundLink | None = None,
    ) -> None:
        """Start from a bitmap of the chunks that are already held.

        With a policy for remote neighbours, a chunk is requested from them only
        when it is this VM's turn among the nearby ones.
        """
        self._inbound_link = inbound_link or InboundLink()
        self._remote_policy = remote_policy
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
        # Since the last failure: when the origin answered this VM, and when
        # other VMs were found to have read from it.
        self._origin_answered_at: float | None = None
        self._others_read_at: float | None = None
        self._available_at_failure = 0
        self._origin_retry_at = now
        self.bad_reads = BadReads(rng)
        self._abandoned = AbandonedChunks(
            now,
            chunks.full_bitmap(count) & ~held,
            READERS_PER_CHUNK * cfg.takeover_s,
        )
        self._holder_counts = [0 for _ in range(count)]
        # Each VM reads in its own random order, so that VMs which may read the
        # same chunks seldom read the same one at the same time.
        self._read_order = rng.sample(range(count), count)
        self._peers_first = False
        self._silent_peers = SilentPeers()
        turns_s = (
            count * cfg.chunk_origin_s + READERS_PER_CHUNK * cfg.takeover_s
        )
        self._turns_end_at = now + turns_s
        # Set while another version has priority: peers get no requests then.
        self.origin_only = False

    @property
    def complete(self) -> bool:
        """Tell whether every chunk is held."""
        return self.held == chunks.full_bitmap(self.count)

    @property
    def available(self) -> int:
        """Give the bitmap of chunks that this VM or a neighbour holds."""
        return self.held | known_chunks(self.peers.values())

    def add_peer(self, vm: str) -> Peer:
        """Give the record of a neighbour; create it if it is new."""
        return self.peers.setdefault(vm, Peer())

    def mark_nearby(self, vms: Collection[str]) -> None:
        """Mark the given neighbours as nearby and all others as remote."""
        for vm, peer in self.peers.items():
            peer.is_remote = vm not in vms

    def set_policies(
        self, policy: OriginPolicy, remote_policy: DueTimes | None
    ) -> None:
        """Replace the policies after a change of the fleet."""
        self.policy = policy
        self._remote_policy = remote_policy

    def remove_peer(self, vm: str) -> None:
        """Forget a neighbour that is gone, and the requests sent to it.

        Bytes that it has already sent still arrive and occupy the link.
        """
        self._silent_peers.record_message(vm)
        peer = self.peers.pop(vm, None)
        if peer is not None:
            self._count_holders(peer.held, -1)
        for index, pending in list(self.pending.items()):
            if pending.source == vm:
                self._inbound_link.record_abandoned(pending.flight)
                self._finish_fetch(index)

    def update_peer(self, vm: str, held: int, queued: int) -> None:
        """Record a neighbour's bitmap of chunks and the length of its queue.

        A late report of a removed neighbour is ignored, since nothing may be
        requested from it any more.
        """
        peer = self.peers.get(vm)
        if peer is None:
            return
        self._count_holders(held & ~peer.held, 1)
        peer.held |= held
        peer.queued = queued
        peer.heard = True
        self._silent_peers.record_message(vm)

    def record_first_byte(self, index: int, source: str, now: float) -> None:
        """Record that the first byte of a requested chunk arrived."""
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._inbound_link.record_first_byte(pending.flight, now)

    def record_chunk(self, index: int, source: str) -> bool:
        """Record a verified chunk; tell whether it was new.

        After a late chunk from a source that was given up, the copy requested
        from another source may still arrive and occupies the link.
        """
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._inbound_link.record_received(pending.flight)
        elif pending is not None:
            self._inbound_link.record_abandoned(pending.flight)
        self._finish_fetch(index)
        self.bad_reads.forget(index)
        bit = 1 << index
        is_new = not self.held & bit
        self.held |= bit
        return is_new

    def record_failure(self, index: int, source: str) -> None:
        """Record that a fetch ended without a chunk."""
        pending = self.pending.get(index)
        if pending is not None and pending.source == source:
            self._finish_fetch(index)

    def record_origin_failure(self, now: float) -> None:
        """Record a failed read from the origin; pause further reads."""
        pause = pause_s(
            self._origin_failures,
            self._rng,
            _ORIGIN_PAUSE_FIRST_S,
            _ORIGIN_PAUSE_MAX_S,
            _ORIGIN_PAUSE_MIN_SHARE,
        )
        self._origin_failures += 1
        self._origin_failed_at = now
        self._origin_answered_at = None
        self._others_read_at = None
        self._available_at_failure = self.available.bit_count()
        self._origin_retry_at = now + pause

    def record_origin_answer(self, now: float) -> None:
        """Record an answer of the origin, which resets the pauses."""
        self._origin_failures = 0
        self._origin_answered_at = now

    def record_bad_chunk(self, vm: str, now: float) -> None:
        """Send a peer that sent a bad chunk no requests for a while."""
        peer = self.peers.get(vm)
        if peer is not None:
            peer.bad_chunks += 1
            block_s = (
                _BAD_CHUNK_BLOCK_S
                if peer.bad_chunks > 1
                else _FIRST_BAD_CHUNK_BLOCK_S
            )
            peer.blocked_until = now + block_s

    def expired(
        self,
        now: float,
        last_byte_at: Mapping[str, float],
    ) -> list[int]:
        """Give the chunks whose fetch timed out or whose peer fell silent.

        Times are in seconds on the clock of `now`; a peer's is the arrival of
        its last byte.
        """
        return [
            index
            for index, pending in self.pending.items()
            if self._is_overdue(pending, now, last_byte_at)
        ]

    def record_silence(self, vm: str, now: float) -> None:
        """Send a peer that fell silent no requests for a while.

        The chunk requested from it may still arrive.
        """
        self._inbound_link.record_timeout(now)
        peer = self.peers.get(vm)
        if peer is not None:
            peer.blocked_until = max(peer.blocked_until, now + _SILENCE_BLOCK_S)
            self._silent_peers.record_timeout(vm, self.peers, now)

    def plan(self, now: float) -> Iterator[Fetch]:
        """Yield the fetches to start now, and record them as started.

        Their number is limited to what this VM's link can carry soon, since
        calls to the local engine queue behind the chunks. Until the
        link's speed is measured, the limit is the larger of the two windows,
        not their sum. The origin goes first; where it would take all the room,
        peers get every other fetch.
        """
        self._inbound_link.update(now)
        unmeasured = max(self._cfg.window, self._cfg.origin_window)
        room = self._inbound_link.request_budget(unmeasured)
        if self.origin_only:
            planned_reads = self._plan_origin(now)
            yield from itertools.islice(planned_reads, max(0, room))
            return
        leading_fetches = 1 if self._peers_first else 0
        planned = itertools.chain(
            itertools.islice(self._plan_peers(now), leading_fetches),
            self._plan_origin(now),
            self._plan_peers(now),
        )
        yield from itertools.islice(planned, max(0, room))

    def close(self) -> None:
        """Drop all fetches in progress."""
        for index in list(self.pending):
            self._finish_fetch(index)

    def _is_overdue(
        self,
        pending: PendingFetch,
        now: float,
        last_byte_at: Mapping[str, float],
    ) -> bool:
        if now - pending.requested_at > self._cfg.request_timeout_s:
            return True
        if pending.source == ORIGIN:
            return False
        last_progress_at = max(
            pending.requested_at,
            last_byte_at.get(pending.source, pending.requested_at),
        )
        patience_s = _PATIENCE_FACTOR * self._inbound_link.backlog_with_origin_s
        return now - last_progress_at > max(self._cfg.silence_s, patience_s)

    def _plan_origin(self, now: float) -> Iterator[Fetch]:
        if now < self._origin_retry_at:
            return
        in_progress = sum(
            1 for pending in self.pending.values() if pending.source == ORIGIN
        )
        limit = self._cfg.origin_window
        if self._origin_failed_at is not None:
            # All chunks that became due during the outage are due at once; a
            # full window would open more connections than an origin accepts.
            limit = max(1, limit // _FAILED_WINDOW_DIVISOR)
        for index in self._due_from_origin(now):
            if in_progress >= limit:
                return
            if self.bad_reads.is_paused(index, now):
                continue
            in_progress += 1
            yield self._start_fetch(Fetch(index, ORIGIN), now)

    def _due_from_origin(self, now: float) -> Iterator[int]:
        outage = self._origin_outage(now)
        for index in self._missing(self.policy.assigned()):
            due = (
                None
                if self._holder_counts[index]
                else self._origin_due_at(index, outage)
            )
            if due is not None and due <= now:
                yield index
        all_chunks = chunks.full_bitmap(self.count)
        unreachable = self._silent_peers.unreachable_chunks(
            now, self.peers, all_chunks, self._turns_end_at
        )
        turns_end_at = self._turns_end_at
        if self._origin_failed_at is not None:
            # All readers have another turn, so that not all VMs read at the
            # same time when the origin is back.
            turns_s = READERS_PER_CHUNK * self._cfg.takeover_s
            turns_end_at = max(turns_end_at, self._origin_failed_at + turns_s)
        abandoned = self._abandoned.find(
            now, all_chunks & ~self.available, turns_end_at
        )
        for candidates, since in itertools.chain(
            unreachable,
            unreported_chunks(now, self.peers, all_chunks, turns_end_at),
            abandoned,
        ):
            yield from (
                chunk
                for chunk in self._missing(candidates)
                if self.policy.fallback_at(chunk, since) <= now
            )

    def _origin_outage(self, now: float) -> OriginFailure | None:
        """Describe the origin's outage; None if no read from it failed."""
        if self._origin_failed_at is None:
            return None
        available = self.available
        if (
            self._others_read_at is None
            and available.bit_count() > self._available_at_failure
        ):
            self._others_read_at = now
        own_turns = chunks.indices(self.policy.assigned() & ~available)
        return OriginFailure(
            self._origin_failed_at,
            self._origin_answered_at,
            self._others_read_at,
            self.count - available.bit_count(),
            not all(map(self.policy.is_takeover, own_turns)),
        )

    def _missing(self, candidates: int) -> Iterator[int]:
        """Yield the candidates neither held nor pending, in the read order."""
        candidates &= ~self.held
        for index in self._read_order:
            if candidates >> index & 1 and index not in self.pending:
                yield index

    def _origin_due_at(
        self, index: int, outage: OriginFailure | None
    ) -> float | None:
        due = self.policy.due_at(index, self.started_at)
        if due is None or outage is None:
            return due
        before = chunks.full_bitmap(index) if index > 0 else 0
        ahead = (before & ~self.available).bit_count()
        outage = dataclasses.replace(outage, ahead=ahead)
        return max(due, self.policy.retry_at(index, outage))

    def _plan_peers(self, now: float) -> Iterator[Fetch]:
        in_progress = sum(
            1 for pending in self.pending.values() if pending.source != ORIGIN
        )
        room = self._cfg.window - in_progress
        if room <= 0:
            return
        free = self._free_peers(now)
        for index in self._rarest_first(free):
            source = self._least_loaded_holder(index, free, now)
            if source is None:
                continue
            yield self._start_fetch(Fetch(index, source), now)
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
        wanted = known_chunks(free.values()) & ~self.held
        indices = [
            index
            for index in chunks.indices(wanted)
            if index not in self.pending
        ]
        held_nearby = known_chunks(
            peer for peer in self.peers.values() if not peer.is_remote
        )
        self._rng.shuffle(indices)
        # Chunks that no nearby VM holds go first, since all of those wait for
        # them; among the rest, the ones with the fewest holders.
        indices.sort(
            key=lambda index: (
                held_nearby >> index & 1,
                self._holder_counts[index],
            )
        )
        return indices

    def _is_remote_due(self, index: int, now: float) -> bool:
        if self._remote_policy is None:
            return True
        due = self._remote_policy.due_at(index, self.started_at)
        return due is not None and due <= now

    def _least_loaded_holder(
        self,
        index: int,
        free: dict[str, Peer],
        now: float,
    ) -> str | None:
        holders = [vm for vm, peer in free.items() if peer.held >> index & 1]
        if not self._is_remote_due(index, now):
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

    def _start_fetch(self, fetch: Fetch, now: float) -> Fetch:
        from_peer = fetch.source != ORIGIN
        # All VMs share the origin's link, so that a read from it says nothing
        # about the speed of this VM's own link.
        flight = self._inbound_link.record_request(now, sampled=from_peer)
        self.pending[fetch.index] = PendingFetch(fetch.source, flight)
        self._peers_first = not from_peer
        if from_peer:
            self.peers[fetch.source].outstanding += 1
        return fetch

    def _finish_fetch(self, index: int) -> None:
        pending = self.pending.pop(index, None)
        if pending is None:
            return
        self._inbound_link.record_failed(pending.flight)
        if pending.source not in self.peers:
            return
        peer = self.peers[pending.source]
        peer.outstanding = max(0, peer.outstanding - 1)

    def _count_holders(self, bitmap: int, change: int) -> None:
        for index in chunks.indices(bitmap):
            self._holder_counts[index] += change


def progress_of(swarm: Swarm) -> ChunkProgress:
    """Count a version's chunks: all, and those missing here or everywhere."""
    known = (swarm.held, *(peer.held for peer in swarm.peers.values()))
    mean_held = statistics.fmean(held.bit_count() for held in known)
    return ChunkProgress(
        swarm.count,
        swarm.count - swarm.held.bit_count(),
        swarm.count - swarm.available.bit_count(),
        swarm.count - mean_held,
    )
