"""Where a call may go, decided once at the door; no I/O or clock."""

import dataclasses
from collections.abc import Collection


@dataclasses.dataclass(frozen=True, slots=True)
class RegionScope:
    """The regions whose endpoints may receive a call; None stands for any.

    It goes with the call to each choice: at admission, at a second attempt, and
    where a stream is resumed.
    """

    regions: frozenset[str] | None = None

    def allows(self, region: str) -> bool:
        """Tell whether endpoints of a region may receive the call."""
        return self.regions is None or region in self.regions


ANY_REGION = RegionScope()


def intersect_regions(*bounds: Collection[str]) -> RegionScope:
    """Give what all bounds allow; an empty one allows every region."""
    binding = [frozenset(bound) for bound in bounds if bound]
    if not binding:
        return ANY_REGION
    return RegionScope(frozenset.intersection(*binding))
