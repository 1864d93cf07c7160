"""The regions that a call may be sent to, decided at admission; no I/O."""

import dataclasses
from collections.abc import Collection


@dataclasses.dataclass(frozen=True, slots=True)
class RegionScope:
    """The regions whose endpoints may receive a call; None allows any.

    It applies to each choice for the call: at admission, for a second attempt,
    and when a stream is resumed.
    """

    regions: frozenset[str] | None = None

    def allows(self, region: str) -> bool:
        """Return whether endpoints of a region may receive the call."""
        return self.regions is None or region in self.regions


ANY_REGION = RegionScope()


def intersect_regions(*bounds: Collection[str]) -> RegionScope:
    """Return the regions that all bounds allow; an empty bound allows any."""
    binding = [frozenset(bound) for bound in bounds if bound]
    if not binding:
        return ANY_REGION
    return RegionScope(frozenset.intersection(*binding))
