"""Decide which VMs should hold which model version."""

from collections.abc import Iterable

from linnetwood.fleet.members import ENDPOINT, Health, copy, hash64
from linnetwood.gen.schema.ttypes import Deployment, Intent
from linnetwood.gen.wire.ttypes import Member

ENGINE_KIND = 'engine'
LABEL_SEPARATOR = '@'


def version_label(model: str, version: str) -> str:
    """Return the name of a model version as members announce it."""
    return f'{model}{LABEL_SEPARATOR}{version}'


def assigned_with_failed(
    deployment: Deployment,
    members: Iterable[Member],
    intent: Intent,
) -> list[str]:
    """Return the VMs that an intent would have if no member had failed.

    Neighbours are counted off among these, so that one failure does not give
    every VM other neighbours. The caller leaves out the failed VMs later.
    """
    revived = [
        copy(member, status=int(Health.ALIVE))
        if member.status == Health.DEAD
        else member
        for member in members
    ]
    chosen = assign_intents(deployment, revived)
    return [vm for vm, assigned in chosen.items() if assigned is intent]


def engine_members(members: Iterable[Member]) -> list[Member]:
    """Return the engine endpoints that weights may be brought to."""
    return [
        member
        for member in members
        if member.role == ENDPOINT
        and member.kind == ENGINE_KIND
        and member.status in {Health.ALIVE, Health.SUSPECT}
    ]


def assign_intents(
    deployment: Deployment, members: Iterable[Member]
) -> dict[str, Intent]:
    """Return the intent that each engine VM should carry out, by VM.

    Intents choose in the order of their models' names. Each takes one VM from
    each zone in turn: first those that serve its model already, then by
    rendezvous hash. Two processes with nearly the same view therefore choose
    nearly the same VMs.
    """
    free = {member.vm: member for member in engine_members(members)}
    chosen: dict[str, Intent] = {}
    for intent in sorted(
        deployment.intents, key=lambda candidate: candidate.model
    ):
        for vm in _choose_vms(intent, list(free.values())):
            free.pop(vm)
            chosen[vm] = intent
    return chosen


def _choose_vms(intent: Intent, members: list[Member]) -> list[str]:
    zones = _by_zone(intent, members)
    queues = [_ranked(intent, zones[zone]) for zone in sorted(zones)]
    chosen: list[str] = []
    while len(chosen) < intent.replicas and any(queues):
        for queue in queues:
            if queue and len(chosen) < intent.replicas:
                chosen.append(queue.pop(0).vm)
    return chosen


def _by_zone(intent: Intent, members: list[Member]) -> dict[str, list[Member]]:
    allowed = intent.availability_zones
    zones: dict[str, list[Member]] = {}
    for member in members:
        if not allowed or member.availability_zone in allowed:
            zones.setdefault(member.availability_zone, []).append(member)
    return zones


def _ranked(intent: Intent, members: list[Member]) -> list[Member]:
    return sorted(members, key=lambda member: _rank(intent, member))


def _rank(intent: Intent, member: Member) -> tuple[bool, int, int]:
    serves = member.serving.partition(LABEL_SEPARATOR)[0] == intent.model
    score = hash64(f'{intent.model}|{member.vm}')
    return (not serves, _rack_order(member), score)


def _rack_order(member: Member) -> int:
    # A hash of rack and VM spreads the choice over racks.
    return hash64(f'{member.rack}|{member.vm}') % 2


def may_load(
    me: str,
    intent: Intent,
    members: Iterable[Member],
) -> bool:
    """Return whether this VM may take its engine out of service to load now.

    Of the VMs that serve the model, only as many as the intent has spare
    replicas may load at a time; the lowest hashes are first.
    """
    wanted = version_label(intent.model, intent.version)
    waiting = [
        member.vm
        for member in engine_members(members)
        if _waits_to_load(member, intent.model, wanted)
    ]
    waiting.sort(key=lambda vm: hash64(f'load|{wanted}|{vm}'))
    at_once = max(1, intent.spare_replicas)
    return me in waiting[:at_once]


def _waits_to_load(member: Member, model: str, wanted: str) -> bool:
    serves_other = (
        member.serving.partition(LABEL_SEPARATOR)[0] == model
        and member.serving != wanted
    )
    holds_all = 0 < member.total <= member.held
    return serves_other and holds_all and member.wanted == wanted
