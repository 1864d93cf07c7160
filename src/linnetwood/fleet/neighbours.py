"""Choose the neighbours with whom a VM exchanges chunks."""

from collections.abc import Iterable

from linnetwood.fleet.members import HASH_BYTES, hash64

# The number of possible hash values.
_HASH_VALUES = float(1 << (8 * HASH_BYTES))


def neighbours(me: str, vms: list[str], manifest: str, count: int) -> list[str]:
    """Return count VMs at agreed random distances on both sides of this one.

    Two VMs with the same list of VMs choose each other. The graph over all VMs
    is random, and its diameter grows with the logarithm of their number.
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
    """Return about count VMs that are paired with this one at random.

    The hash of both names decides on a pair, so both sides agree. A VM that
    comes or goes changes no other pair, but for the few that the new number of
    VMs moves across the threshold. In `neighbours` a new VM changes half of all
    pairs: while VMs were replaced 3 times a second, the state held about VMs
    on the other side of those pairs was lost as often.
    """
    others = [vm for vm in vms if vm != me]
    if len(others) <= count:
        return sorted(others)
    share = count / len(others)
    return sorted(vm for vm in others if _chance(me, vm, manifest) < share)


def _chance(vm: str, other: str, manifest: str) -> float:
    first, second = sorted((vm, other))
    return hash64(f'{manifest}|{first}|{second}') / _HASH_VALUES
