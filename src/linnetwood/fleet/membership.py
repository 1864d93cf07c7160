"""Detect failed members by missing heartbeats on a ring.

As in SWIM, a silent member is suspect first and dead later.
"""

import dataclasses
from collections.abc import Iterable, Iterator
from random import Random

from linnetwood.core.options import GossipOptions
from linnetwood.fleet.members import (
    Health,
    copy,
    hash64,
    precedence,
    record_hash,
    supersedes,
)
from linnetwood.gen.wire.ttypes import Member

BUCKETS = 64
FAILED_KEPT_S = 600.0
MAX_MEMBERS = 8192
_PAUSE_HEARTBEATS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RingNeighbours:
    """The VMs that this process sends heartbeats to and those it watches."""

    heartbeat_to: tuple[str, ...]
    watched: tuple[str, ...]


class View:
    """Hold the newest record of each process.

    Records are hashed into buckets, by which two views are compared.
    """

    def __init__(self, own_record: Member) -> None:
        """Start with the record of this process only."""
        self.own_record = own_record
        self.members: dict[str, Member] = {}
        self.buckets = [0 for _ in range(BUCKETS)]
        self.refused_count = 0
        self.update(own_record)

    def update(self, member: Member) -> bool:
        """Store a record if it is newer; return whether it was stored."""
        held = self.members.get(member.vm)
        if held is not None and not supersedes(member, held):
            return False
        if held is None and len(self.members) >= MAX_MEMBERS:
            self.refused_count += 1
            return False
        bucket = bucket_of(member.vm)
        if held is not None:
            self.buckets[bucket] ^= record_hash(held)
        self.buckets[bucket] ^= record_hash(member)
        self.members[member.vm] = member
        return True

    def remove(self, vm: str) -> None:
        """Drop the record of a process."""
        held = self.members.pop(vm, None)
        if held is not None:
            self.buckets[bucket_of(vm)] ^= record_hash(held)

    def same_zone(self) -> list[Member]:
        """Return this availability zone's other members that aren't dead."""
        return [
            member
            for member in self.members.values()
            if member.availability_zone == self.own_record.availability_zone
            and member.vm != self.own_record.vm
            and member.status != Health.DEAD
        ]

    def other_zones(self) -> list[Member]:
        """Return the members of other availability zones that aren't dead."""
        return [
            member
            for member in self.members.values()
            if member.availability_zone != self.own_record.availability_zone
            and member.status != Health.DEAD
        ]

    def differing_records(
        self, peer_buckets: Iterable[int]
    ) -> Iterator[Member]:
        """Yield the records in each bucket whose hash differs from a peer's."""
        differing = {
            bucket
            for bucket, bucket_hash in enumerate(peer_buckets)
            if bucket_hash != self.buckets[bucket]
        }
        for member in self.members.values():
            if bucket_of(member.vm) in differing:
                yield member


def bucket_of(vm: str) -> int:
    """Return the bucket that the record of a VM belongs to."""
    return hash64(vm) % BUCKETS


class Membership:
    """Turn heartbeats and member records into a view; does no I/O.

    Times are in seconds of one monotonic clock.
    """

    def __init__(
        self, own_record: Member, cfg: GossipOptions, now: float
    ) -> None:
        """Start with this process as the only member."""
        self.view = View(own_record)
        self._cfg = cfg
        self._heard_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._last_tick = now
        self._neighbours = RingNeighbours((), ())
        self._neighbours_stale = True

    @property
    def own_record(self) -> Member:
        """Return the record of this process."""
        return self.view.own_record

    def update_self(self, **changes: object) -> Member:
        """Change fields of the record of this process; return the new one."""
        self.view.own_record = copy(
            self.view.own_record,
            version=self.view.own_record.version + 1,
            **changes,
        )
        self.view.update(self.view.own_record)
        return self.view.own_record

    def receive(self, member: Member, now: float) -> Member | None:
        """Apply a record; return the one to disseminate, if any."""
        if member.vm == self.own_record.vm:
            return self._refute(member)
        if not self.view.update(member):
            return None
        self._neighbours_stale = True
        if member.status == Health.DEAD:
            self._failed_at[member.vm] = now
        else:
            self._failed_at.pop(member.vm, None)
        return member

    def heartbeat_received(self, vm: str, now: float) -> None:
        """Note that a heartbeat of a VM arrived."""
        is_watched = vm in self._heard_at
        if is_watched:
            self._heard_at[vm] = now

    def ring_neighbours(self, now: float) -> RingNeighbours:
        """Return the VMs to send heartbeats to and those to watch."""
        if self._neighbours_stale:
            self._neighbours = self._find_ring_neighbours()
            self._neighbours_stale = False
            self._heard_at = {
                vm: self._heard_at.get(vm, now)
                for vm in self._neighbours.watched
            }
        return self._neighbours

    def tick(self, now: float) -> Iterator[Member]:
        """Yield the new records of members that became suspect or dead."""
        gap_s = now - self._last_tick
        self._last_tick = now
        if gap_s > self._cfg.heartbeat_s * _PAUSE_HEARTBEATS:
            self._shift_heard_times(gap_s)
        for vm in self.ring_neighbours(now).watched:
            yield from self._check_silence(vm, now)
        self._remove_long_failed(now)

    def silent_members(self, now: float) -> list[Member]:
        """Return the watched members to ping, before they become suspect."""
        limit_s = self._cfg.suspect_after_s / 2
        return [
            self.view.members[vm]
            for vm, heard_at in self._heard_at.items()
            if now - heard_at > limit_s and vm in self.view.members
        ]

    def _refute(self, member: Member) -> Member | None:
        if precedence(member) <= precedence(self.own_record):
            return None
        if member.incarnation > self.own_record.incarnation:
            return None
        if member.status == Health.LEAVING:
            # Others may tell a process to leave; it then says so itself.
            return self.update_self(status=member.status)
        self.view.own_record = copy(self.own_record, version=member.version + 1)
        self.view.update(self.view.own_record)
        return self.view.own_record

    def _find_ring_neighbours(self) -> RingNeighbours:
        same_zone = self.view.same_zone()
        ring = sorted(
            [member.vm for member in same_zone] + [self.own_record.vm],
            key=hash64,
        )
        own_index = ring.index(self.own_record.vm)
        reach = min(self._cfg.monitors, len(ring) - 1)
        after = [
            ring[(own_index + step) % len(ring)] for step in range(1, reach + 1)
        ]
        before = [
            ring[(own_index - step) % len(ring)] for step in range(1, reach + 1)
        ]
        return RingNeighbours(tuple(after), tuple(before))

    def _shift_heard_times(self, gap_s: float) -> None:
        # This process was paused itself, so the silence proves nothing.
        self._heard_at = {
            vm: heard_at + gap_s for vm, heard_at in self._heard_at.items()
        }

    def _check_silence(self, vm: str, now: float) -> Iterator[Member]:
        member = self.view.members[vm]
        silent_s = now - self._heard_at.get(vm, now)
        status = member.status
        if silent_s > self._cfg.dead_after_s:
            status = Health.DEAD
        elif silent_s > self._cfg.suspect_after_s:
            status = max(member.status, Health.SUSPECT)
        if status != member.status:
            record = self.receive(copy(member, status=status), now)
            if record is not None:
                yield record

    def _remove_long_failed(self, now: float) -> None:
        expired = [
            vm
            for vm, failed_at in self._failed_at.items()
            if now - failed_at > FAILED_KEPT_S
        ]
        for vm in expired:
            self._failed_at.pop(vm)
            self.view.remove(vm)


def sample_members(
    members: list[Member], count: int, rng: Random
) -> list[Member]:
    """Return up to `count` members chosen at random."""
    return rng.sample(members, min(count, len(members)))
