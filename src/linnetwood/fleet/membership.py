"""Decide who lives: heartbeats on a ring, suspicion, then death."""

import dataclasses
from collections.abc import Iterable, Iterator
from random import Random

from linnetwood.core.options import Gossiping
from linnetwood.fleet.members import (
    Health,
    copy,
    newer,
    place_hash,
    stamp,
    statement_hash,
)
from linnetwood.gen.wire.ttypes import Member

BUCKETS = 64
DEAD_KEPT_S = 600.0
MAX_MEMBERS = 8192
_PAUSE_TICKS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Duties:
    """Whom this process beats to and whom it watches."""

    beat_to: tuple[str, ...]
    watch: tuple[str, ...]


class View:
    """Hold the newest statement about each process."""

    def __init__(self, me: Member) -> None:
        """Start with oneself."""
        self.me = me
        self.members: dict[str, Member] = {}
        self.buckets = [0 for _ in range(BUCKETS)]
        self.refused = 0
        self.adopt(me)

    def adopt(self, member: Member) -> bool:
        """Take a statement in if it is newer than the one held."""
        held = self.members.get(member.vm)
        if held is not None and not newer(member, held):
            return False
        if held is None and len(self.members) >= MAX_MEMBERS:
            self.refused += 1
            return False
        bucket = bucket_of(member.vm)
        if held is not None:
            self.buckets[bucket] ^= statement_hash(held)
        self.buckets[bucket] ^= statement_hash(member)
        self.members[member.vm] = member
        return True

    def forget(self, vm: str) -> None:
        """Drop a process for good."""
        held = self.members.pop(vm, None)
        if held is not None:
            self.buckets[bucket_of(vm)] ^= statement_hash(held)

    def zone_mates(self) -> list[Member]:
        """Give the other processes of this availability zone not held dead."""
        return [
            member
            for member in self.members.values()
            if member.availability_zone == self.me.availability_zone
            and member.vm != self.me.vm
            and member.status != Health.DEAD
        ]

    def strangers(self) -> list[Member]:
        """Give the processes of other availability zones not held dead."""
        return [
            member
            for member in self.members.values()
            if member.availability_zone != self.me.availability_zone
            and member.status != Health.DEAD
        ]

    def differing(self, theirs: Iterable[int]) -> Iterator[Member]:
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
    return place_hash(vm) % BUCKETS


class Membership:
    """Turn heartbeats and statements into a view; no I/O inside."""

    def __init__(self, me: Member, cfg: Gossiping, now: float) -> None:
        """Start alone."""
        self.view = View(me)
        self._cfg = cfg
        self._heard: dict[str, float] = {}
        self._died: dict[str, float] = {}
        self._last_tick = now
        self._duties = Duties((), ())
        self._duties_stale = True

    @property
    def me(self) -> Member:
        """Give the statement this process makes of itself."""
        return self.view.me

    def restate(self, **changes: object) -> Member:
        """Change what this process says of itself."""
        self.view.me = copy(
            self.view.me,
            version=self.view.me.version + 1,
            **changes,
        )
        self.view.adopt(self.view.me)
        return self.view.me

    def hear(self, member: Member, now: float) -> Member | None:
        """Take in a statement; give what must be passed on, if anything."""
        if member.vm == self.me.vm:
            return self._answer_for_myself(member)
        if not self.view.adopt(member):
            return None
        self._duties_stale = True
        if member.status == Health.DEAD:
            self._died[member.vm] = now
        else:
            self._died.pop(member.vm, None)
        return member

    def beat(self, vm: str, now: float) -> None:
        """Note a sign of life."""
        watched = vm in self._heard
        if watched:
            self._heard[vm] = now

    def duties(self, now: float) -> Duties:
        """Give whom to beat to and whom to watch."""
        if self._duties_stale:
            self._duties = self._work_out_duties()
            self._duties_stale = False
            self._heard = {
                vm: self._heard.get(vm, now) for vm in self._duties.watch
            }
        return self._duties

    def tick(self, now: float) -> Iterator[Member]:
        """Yield new suspicions and deaths that follow from silence."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > self._cfg.heartbeat_s * _PAUSE_TICKS:
            self._excuse(gap)
        for vm in self.duties(now).watch:
            yield from self._judge(vm, now)
        self._bury(now)

    def silent(self, now: float) -> list[Member]:
        """Give the watched processes that should be asked at once."""
        limit = self._cfg.suspect_after_s / 2
        return [
            self.view.members[vm]
            for vm, heard in self._heard.items()
            if now - heard > limit and vm in self.view.members
        ]

    def _answer_for_myself(self, member: Member) -> Member | None:
        if stamp(member) <= stamp(self.me):
            return None
        if member.incarnation > self.me.incarnation:
            return None
        if member.status == Health.LEAVING:
            # Others may tell a process to leave, and it says so itself.
            return self.restate(status=member.status)
        self.view.me = copy(self.me, version=member.version + 1)
        self.view.adopt(self.view.me)
        return self.view.me

    def _work_out_duties(self) -> Duties:
        mates = self.view.zone_mates()
        ring = sorted(
            [member.vm for member in mates] + [self.me.vm],
            key=place_hash,
        )
        here = ring.index(self.me.vm)
        reach = min(self._cfg.monitors, len(ring) - 1)
        after = [
            ring[(here + step) % len(ring)] for step in range(1, reach + 1)
        ]
        before = [
            ring[(here - step) % len(ring)] for step in range(1, reach + 1)
        ]
        return Duties(tuple(after), tuple(before))

    def _excuse(self, gap: float) -> None:
        # This process itself was paused, so the silence proves nothing.
        self._heard = {vm: heard + gap for vm, heard in self._heard.items()}

    def _judge(self, vm: str, now: float) -> Iterator[Member]:
        member = self.view.members[vm]
        silence = now - self._heard.get(vm, now)
        status = member.status
        if silence > self._cfg.dead_after_s:
            status = Health.DEAD
        elif silence > self._cfg.suspect_after_s:
            status = max(member.status, Health.SUSPECT)
        if status != member.status:
            verdict = self.hear(copy(member, status=status), now)
            if verdict is not None:
                yield verdict

    def _bury(self, now: float) -> None:
        old = [
            vm for vm, died in self._died.items() if now - died > DEAD_KEPT_S
        ]
        for vm in old:
            self._died.pop(vm)
            self.view.forget(vm)


def pick(members: list[Member], count: int, rng: Random) -> list[Member]:
    """Choose some processes at random."""
    return rng.sample(members, min(count, len(members)))
