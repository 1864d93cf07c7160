"""Count the bytes that an entry holds for callers and endpoints."""

import dataclasses
import math
import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from linnetwood.calls.slowreaders import READER_STALL_S
from linnetwood.core.sizes import MIB


@dataclasses.dataclass(frozen=True, slots=True)
class HoldLimits:
    """Limits on what is held, in bytes; `stall_s` is in seconds.

    An answer that is forwarded pauses once its caller has more than
    `pause_above` unread, and goes on at `resume_at`. A caller that takes
    nothing for `stall_s` is cut off. `endpoint_bodies` bounds the request
    bodies of the attempts in progress at one endpoint, `entry` all that is
    held; 0 sets no limit for the entry.
    """

    pause_above: int = 65536
    resume_at: int = 16384
    stall_s: float = READER_STALL_S
    endpoint_bodies: int = 8 * MIB
    entry: int = 0


_DEFAULT_LIMITS = HoldLimits()
# Limits for each policy on callers that read slowly.
READER_LIMITS: Final[Mapping[str, HoldLimits]] = MappingProxyType(
    {
        'paused': _DEFAULT_LIMITS,
        'unlimited': HoldLimits(pause_above=sys.maxsize, stall_s=math.inf),
    },
)


class HeldBytes:
    """The bytes held now: answers unread by callers, and request bodies."""

    __slots__ = ('_by_endpoint', 'answers', 'bodies', 'limits')

    def __init__(self, limits: HoldLimits = _DEFAULT_LIMITS) -> None:
        """Start with nothing held."""
        self.limits = limits
        self.answers = 0
        self.bodies = 0
        self._by_endpoint: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Return all bytes that are held."""
        return self.answers + self.bodies

    @property
    def is_full(self) -> bool:
        """Return whether the entry holds as much as it may."""
        return 0 < self.limits.entry <= self.total

    @property
    def pause_above(self) -> int:
        """Return the unread bytes of a caller above which its answer pauses."""
        return 0 if self._is_half_full else self.limits.pause_above

    @property
    def resume_at(self) -> int:
        """Return the unread bytes of a caller at which its answer goes on."""
        return 0 if self._is_half_full else self.limits.resume_at

    def add_in_flight(self, endpoint: str, size: int) -> bool:
        """Count a body sent to an endpoint; return False if it has no room.

        An endpoint without any body in flight has room for one of any size.
        """
        if not size:
            return True
        in_flight = self._by_endpoint.get(endpoint, 0)
        if in_flight and in_flight + size > self.limits.endpoint_bodies:
            return False
        self._by_endpoint[endpoint] = in_flight + size
        return True

    def remove_in_flight(self, endpoint: str, size: int) -> None:
        """Stop counting a body that was sent to an endpoint."""
        if not size:
            return
        left = self._by_endpoint[endpoint] - size
        if left:
            self._by_endpoint[endpoint] = left
        else:
            self._by_endpoint.pop(endpoint)

    @property
    def _is_half_full(self) -> bool:
        return 0 < self.limits.entry <= self.total * 2
