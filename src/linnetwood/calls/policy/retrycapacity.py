"""Whether a retrying caller may take a slot of an engine.

The policies are for overload with retries. A retrying caller is late already,
so its answer is worth less than one to a first attempt, and both compete for
the same slots. Telephone networks solve this by trunk reservation: overflow
calls are admitted only while more than a reserve is free, so that they are
served again as soon as the load falls.
"""

import dataclasses
from types import MappingProxyType
from typing import Final, Protocol

# The share of an engine's slots that retrying callers leave free. It covers the
# calls that all entries send there before the engine's next report. A larger
# reserve would refuse retrying callers despite free slots when a shortage ends.
_RESERVE_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUsage:
    """The used and total slots of the engine that a call would be sent to."""

    used: float
    slots: int


class RetryCapacity(Protocol):
    """Decide whether retrying callers may take a slot."""

    def __call__(self, usage: SlotUsage) -> bool:
        """Decide by the slots in use."""


def same_as_first(usage: SlotUsage) -> bool:
    """Treat retrying callers as first attempts."""
    return usage.slots > 0


def keep_reserve(usage: SlotUsage) -> bool:
    """Keep a share of the slots for first attempts."""
    return usage.used < usage.slots * (1 - _RESERVE_SHARE)


RETRY_CAPACITY: Final[MappingProxyType[str, RetryCapacity]] = MappingProxyType(
    {'as-first': same_as_first, 'reserve': keep_reserve},
)
