"""Choose the neighbours with whom a VM exchanges chunks."""

from collections.abc import Iterable

from linnetwood.fleet.members import HASH_BYTES, hash64

# As many values as a place on the ring may have.
_HASH_VALUES = float(1 << (8 * HASH_BYTES))


def neighbours(me: str, vms: list[str], manifest: str, count: int) -> list[str]:
    """Give the VMs at agreed random distances on both sides of this one.

    Two VMs with the same view choose each other, and the graph over all VMs is
    a random one, whose diameter grows with the logarithm of the fleet.
    """
    ring = sorted(set(vms) | {me}, key=hash64)
    if len(ring) <= count + 1:
        return [vm for vm in ring if vm != me]
    own_index = ring.index(me)
    chosen: list[str] = []
    step = 0
    while len(chosen) < count:
        distance = hash64(f'{manifest}~{step}') % len(ring)
        step += 1
        for side in (distance, -distance):
            vm = ring[(own_index + side) % len(ring)]
            if vm != me and vm not in chosen:
                chosen.append(vm)
    return chosen[:count]


def partners(
    me: str, vms: Iterable[str], manifest: str, count: int
) -> list[str]:
    """Give about so many VMs that are paired with this one by chance.

    A pair is one by the hash of both names, so that both sides agree and a VM
    that comes or goes changes no other pair, but for the few that the number of
    VMs moves over the edge. In `neighbours` one that comes shifts the places of
    half of all pairs: while VMs were replaced three times a second, what was
    known of those beyond was lost as often.
    """
    others = [vm for vm in vms if vm != me]
    if len(others) <= count:
        return sorted(others)
    share = count / len(others)
    return sorted(vm for vm in others if _chance(me, vm, manifest) < share)


def _chance(vm: str, other: str, manifest: str) -> float:
    first, second = sorted((vm, other))
    return hash64(f'{manifest}|{first}|{second}') / _HASH_VALUES
