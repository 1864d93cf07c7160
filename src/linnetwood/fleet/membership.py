"""Decide who lives: heartbeats on a ring, suspicion, then death."""

import dataclasses
from collections.abc import Iterable, Iterator
from random import Random

from linnetwood.core.options import Gossiping
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
    """Whom this process beats to and whom it watches."""

    heartbeat_to: tuple[str, ...]
    watched: tuple[str, ...]


class View:
    """Hold the newest statement about each process."""

    def __init__(self, me: Member) -> None:
        """Start with oneself."""
        self.own_record = me
        self.members: dict[str, Member] = {}
        self.buckets = [0 for _ in range(BUCKETS)]
        self.refused_count = 0
        self.update(me)

    def update(self, member: Member) -> bool:
        """Take a statement in if it is newer than the one held."""
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
        """Drop a process for good."""
        held = self.members.pop(vm, None)
        if held is not None:
            self.buckets[bucket_of(vm)] ^= record_hash(held)

    def same_zone(self) -> list[Member]:
        """Give the other processes of this availability zone not held dead."""
        return [
            member
            for member in self.members.values()
            if member.availability_zone == self.own_record.availability_zone
            and member.vm != self.own_record.vm
            and member.status != Health.DEAD
        ]

    def other_zones(self) -> list[Member]:
        """Give the processes of other availability zones not held dead."""
        return [
            member
            for member in self.members.values()
            if member.availability_zone != self.own_record.availability_zone
            and member.status != Health.DEAD
        ]

    def differing_records(self, theirs: Iterable[int]) -> Iterator[Member]:
        """Yield the statements of each bucket that differs from theirs."""
        wrong = {
            bucket
            for bucket, digest in enumerate(theirs)
            if digest != self.buckets[bucket]
        }
        for member in self.members.values():
            if bucket_of(member.vm) in wrong:
                yield member


def bucket_of(vm: str) -> int:
    """Give the bucket in which a process is compared."""
    return hash64(vm) % BUCKETS


class Membership:
    """Turn heartbeats and statements into a view; no I/O inside."""

    def __init__(self, me: Member, cfg: Gossiping, now: float) -> None:
        """Start alone."""
        self.view = View(me)
        self._cfg = cfg
        self._heard_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._last_tick = now
        self._neighbours = RingNeighbours((), ())
        self._neighbours_stale = True

    @property
    def own_record(self) -> Member:
        """Give the statement this process makes of itself."""
        return self.view.own_record

    def update_self(self, **changes: object) -> Member:
        """Change what this process says of itself."""
        self.view.own_record = copy(
            self.view.own_record,
            version=self.view.own_record.version + 1,
            **changes,
        )
        self.view.update(self.view.own_record)
        return self.view.own_record

    def receive(self, member: Member, now: float) -> Member | None:
        """Take in a statement; give what must be passed on, if anything."""
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
        """Note a sign of life."""
        watched = vm in self._heard_at
        if watched:
            self._heard_at[vm] = now

    def ring_neighbours(self, now: float) -> RingNeighbours:
        """Give whom to beat to and whom to watch."""
        if self._neighbours_stale:
            self._neighbours = self._find_ring_neighbours()
            self._neighbours_stale = False
            self._heard_at = {
                vm: self._heard_at.get(vm, now)
                for vm in self._neighbours.watched
            }
        return self._neighbours

    def tick(self, now: float) -> Iterator[Member]:
        """Yield new suspicions and deaths that follow from silence."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > self._cfg.heartbeat_s * _PAUSE_HEARTBEATS:
            self._shift_heard_times(gap)
        for vm in self.ring_neighbours(now).watched:
            yield from self._check_silence(vm, now)
        self._remove_long_failed(now)

    def silent_members(self, now: float) -> list[Member]:
        """Give the watched processes that should be asked at once."""
        limit = self._cfg.suspect_after_s / 2
        return [
            self.view.members[vm]
            for vm, heard in self._heard_at.items()
            if now - heard > limit and vm in self.view.members
        ]

    def _refute(self, member: Member) -> Member | None:
        if precedence(member) <= precedence(self.own_record):
            return None
        if member.incarnation > self.own_record.incarnation:
            return None
        if member.status == Health.LEAVING:
            # Others may tell a process to leave, and it says so itself.
            return self.update_self(status=member.status)
        self.view.own_record = copy(self.own_record, version=member.version + 1)
        self.view.update(self.view.own_record)
        return self.view.own_record

    def _find_ring_neighbours(self) -> RingNeighbours:
        mates = self.view.same_zone()
        ring = sorted(
            [member.vm for member in mates] + [self.own_record.vm],
            key=hash64,
        )
        here = ring.index(self.own_record.vm)
        reach = min(self._cfg.monitors, len(ring) - 1)
        after = [
            ring[(here + step) % len(ring)] for step in range(1, reach + 1)
        ]
        before = [
            ring[(here - step) % len(ring)] for step in range(1, reach + 1)
        ]
        return RingNeighbours(tuple(after), tuple(before))

    def _shift_heard_times(self, gap: float) -> None:
        # This process itself was paused, so the silence proves nothing.
        self._heard_at = {
            vm: heard + gap for vm, heard in self._heard_at.items()
        }

    def _check_silence(self, vm: str, now: float) -> Iterator[Member]:
        member = self.view.members[vm]
        silence = now - self._heard_at.get(vm, now)
        status = member.status
        if silence > self._cfg.dead_after_s:
            status = Health.DEAD
        elif silence > self._cfg.suspect_after_s:
            status = max(member.status, Health.SUSPECT)
        if status != member.status:
            verdict = self.receive(copy(member, status=status), now)
            if verdict is not None:
                yield verdict

    def _remove_long_failed(self, now: float) -> None:
        old = [
            vm
            for vm, died in self._failed_at.items()
            if now - died > FAILED_KEPT_S
        ]
        for vm in old:
            self._failed_at.pop(vm)
            self.view.remove(vm)


def sample_members(
    members: list[Member], count: int, rng: Random
) -> list[Member]:
    """Choose some processes at random."""
    return rng.sample(members, min(count, len(members)))
