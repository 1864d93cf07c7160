"""Whether a caller who comes back may have a place at an engine.

Load pattern: overload with retries. A caller who comes back is late already, so
that its answer is worth less than one to a caller who comes first, and both ask
for the same place. Telephone networks keep overflowing calls from the places of
fresh ones by trunk reservation: they are taken only while more than a reserve
is free, so that they are served again as soon as the load falls.
"""

import dataclasses
from types import MappingProxyType
from typing import Final, Protocol

# The part of an engine's slots that stays free of callers who come back. It
# covers what all entries send there before its next report; with more, returns
# are refused beside room when a gap is over.
_RESERVE_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUsage:
    """What is taken of the slots of the engine that a call would go to."""

    used: float
    slots: int


class RetryCapacity(Protocol):
    """Tell whether callers who come back may have a place."""

    def __call__(self, usage: SlotUsage) -> bool:
        """Tell it by what is taken there."""


def same_as_first(usage: SlotUsage) -> bool:
    """Let them have what first tries may have."""
    return usage.slots > 0


def keep_reserve(usage: SlotUsage) -> bool:
    """Keep a part of the slots for first tries."""
    return usage.used < usage.slots * (1 - _RESERVE_SHARE)


RETRY_CAPACITY: Final[MappingProxyType[str, RetryCapacity]] = MappingProxyType(
    {'as-first': same_as_first, 'reserve': keep_reserve},
)
