"""Choose the neighbours with whom a VM exchanges chunks."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from linnetwood.members import place_hash

_CIRCLE = 2**64


def neighbours(me: str, vms: list[str], manifest: str, count: int) -> list[str]:
    """Give the VMs at agreed random distances around this one, about so many.

    The distances are measured in hashes, not in places, so that a VM that
    dies changes the neighbours of those beside it only. Two VMs with the same
    view choose each other, and the graph over all VMs is a random one, whose
    diameter grows with the logarithm of the fleet.
    """
    ring = sorted((place_hash(vm), vm) for vm in {me, *vms})
    if len(ring) <= count + 1:
        return [vm for _, vm in ring if vm != me]
    found: list[str] = []
    for step in range(count // 2):
        distance = place_hash(f'{manifest}~{step}')
        for vm in _both_ways(ring, me, distance):
            if vm != me and vm not in found:
                found.append(vm)
    return found


def _both_ways(
    ring: list[tuple[int, str]],
    me: str,
    distance: int,
) -> Iterator[str]:
    here = place_hash(me)
    ahead = bisect_left(ring, ((here + distance) % _CIRCLE, ''))
    yield ring[ahead % len(ring)][1]
    # Those that find this VM ahead of them lie where the gap before it,
    # moved back by the distance, begins and ends.
    before = ring[bisect_left(ring, (here, '')) - 1][0]
    begin = (before - distance) % _CIRCLE
    end = (here - distance) % _CIRCLE
    low = bisect_right(ring, (begin + 1, ''))
    high = bisect_left(ring, (end + 1, ''))
    chosen = ring[low:high] if low <= high else ring[low:] + ring[:high]
    for _, vm in chosen:
        yield vm
