"""Choose the neighbours with whom a VM exchanges chunks."""

from linnetwood.fleet.members import place_hash


def neighbours(me: str, vms: list[str], manifest: str, count: int) -> list[str]:
    """Give the VMs at agreed random distances on both sides of this one.

    Two VMs with the same view choose each other, and the graph over all VMs is
    a random one, whose diameter grows with the logarithm of the fleet.
    """
    ring = sorted(set(vms) | {me}, key=place_hash)
    if len(ring) <= count + 1:
        return [vm for vm in ring if vm != me]
    here = ring.index(me)
    found: list[str] = []
    step = 0
    while len(found) < count:
        distance = place_hash(f'{manifest}~{step}') % len(ring)
        step += 1
        for side in (distance, -distance):
            vm = ring[(here + side) % len(ring)]
            if vm != me and vm not in found:
                found.append(vm)
    return found[:count]
