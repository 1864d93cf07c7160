"""Whether a call that will be late is taken; a late answer earns a part."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, Protocol

# So many slots of an engine are left to calls that will be in time.
_KEPT_FREE = 1


class LateRoom(Protocol):
    """Tell whether an engine has room for a call that will be late."""

    def __call__(self, waiting: float, running: int, slots: int) -> bool:
        """Tell it by what waits and runs there."""


def free_slot(waiting: float, running: int, slots: int) -> bool:
    """Take it where a slot is free beside one that is kept.

    Late calls that fill the last ones keep out those that come first and would
    be in time.
    """
    return waiting + running < slots - _KEPT_FREE


def never(waiting: float, running: int, slots: int) -> bool:
    """Take none."""
    return False


LATE_ROOM: Final[Mapping[str, LateRoom]] = MappingProxyType(
    {'free-slot': free_slot, 'never': never},
)
