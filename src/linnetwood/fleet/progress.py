"""Estimate the progress of rollouts and whether they meet their deadline."""

import dataclasses
from collections import deque
from collections.abc import Iterator, Mapping

from linnetwood.fleet.members import Health
from linnetwood.fleet.placement import assign_intents, version_label
from linnetwood.gen.schema.ttypes import Deployment, Intent, RolloutStatus
from linnetwood.gen.wire.ttypes import Member

_SAMPLES = 32
_UNKNOWN_S = -1.0
_MIN_SPAN_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Instant:
    """One moment, in seconds, on the monotonic clock and on the wall clock."""

    now: float
    wall: float


class RolloutProgress:
    """Keep the last samples of each rollout and compute its rate from them."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: dict[str, deque[tuple[float, float]]] = {}

    def report(
        self,
        deployment: Deployment,
        members: list[Member],
        sampled: Mapping[str, float],
        at: Instant,
    ) -> Iterator[RolloutStatus]:
        """Yield the status of each intent.

        The sampled fractions (0 to 1, by VM) are taken as typical of all VMs
        whose transfer is not complete.
        """
        chosen = assign_intents(deployment, members)
        by_name = {member.vm: member for member in members}
        for intent in deployment.intents:
            assigned = [
                by_name[vm]
                for vm, assigned_intent in chosen.items()
                if assigned_intent is intent
            ]
            yield self._status(intent, assigned, sampled, at)

    def _status(
        self,
        intent: Intent,
        assigned: list[Member],
        sampled: Mapping[str, float],
        at: Instant,
    ) -> RolloutStatus:
        wanted = version_label(intent.model, intent.version)
        complete = sum(1 for member in assigned if _serves(member, wanted))
        fraction = _fraction(intent, assigned, sampled)
        rate = self._rate(wanted, fraction, at.now)
        estimate = _estimate(fraction, rate)
        deadline = _deadline(intent, at.wall)
        cause = _cause(intent, assigned, complete, estimate, deadline)
        return RolloutStatus(
            model=intent.model,
            version=intent.version,
            replicas_wanted=intent.replicas,
            replicas_complete=complete,
            fraction_held=fraction,
            replicas_per_s=rate * intent.replicas,
            estimate_s=estimate,
            deadline_s=deadline,
            at_risk=bool(cause),
            cause=cause,
        )

    def _rate(self, name: str, fraction: float, now: float) -> float:
        samples = self._samples.setdefault(name, deque(maxlen=_SAMPLES))
        samples.append((now, fraction))
        first_at, first = samples[0]
        span = now - first_at
        if span < _MIN_SPAN_S:
            return 0
        return max(0, (fraction - first) / span)


def _serves(member: Member, wanted: str) -> bool:
    return member.serving == wanted and member.status != Health.DEAD


def incomplete_members(intent: Intent, assigned: list[Member]) -> list[Member]:
    """Return the assigned members that do not hold the whole version yet."""
    wanted = version_label(intent.model, intent.version)
    return [
        member
        for member in assigned
        if wanted not in {member.serving, member.wanted}
    ]


def _fraction(
    intent: Intent,
    assigned: list[Member],
    sampled: Mapping[str, float],
) -> float:
    if not intent.replicas:
        return 1
    open_vms = incomplete_members(intent, assigned)
    known = [sampled[member.vm] for member in open_vms if member.vm in sampled]
    mean = sum(known) / len(known) if known else 0
    held = len(assigned) - len(open_vms) + mean * len(open_vms)
    return min(1, held / intent.replicas)


def _estimate(fraction: float, rate: float) -> float:
    if fraction >= 1:
        return 0
    return (1 - fraction) / rate if rate > 0 else _UNKNOWN_S


def _deadline(intent: Intent, wall: float) -> float:
    if not intent.ready_by_unix_s:
        return _UNKNOWN_S
    return max(0, intent.ready_by_unix_s - wall)


def _cause(
    intent: Intent,
    assigned: list[Member],
    complete: int,
    estimate: float,
    deadline: float,
) -> str:
    if complete >= intent.replicas:
        return ''
    if len(assigned) < intent.replicas:
        return f'only {len(assigned)} engine VMs for {intent.replicas} replicas'
    if deadline == _UNKNOWN_S:
        return ''
    if deadline == 0:
        return 'the deadline has passed'
    if estimate > deadline:
        return f'{estimate:.0f} s to go, {deadline:.0f} s left'
    return ''
