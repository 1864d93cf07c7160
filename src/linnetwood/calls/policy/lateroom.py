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


def free_quarter(waiting: float, running: int, slots: int) -> bool:
    """Take it where a quarter of the slots is free.

    What is known of an engine is some hundred milliseconds old; by then one or
    two calls that come first have taken places there. With callers who come
    back told apart, calls in time a second rise from 113 to 138 at 1.3 times
    the rate of the knee (40 entries, 23 engines of 12 slots; the model of
    `linnetwood-measure policy`, three seeds).
    """
    return waiting + running < slots - max(_KEPT_FREE, slots // 4)


LATE_ROOM: Final[Mapping[str, LateRoom]] = MappingProxyType(
    {'free-slot': free_slot, 'free-quarter': free_quarter},
)
