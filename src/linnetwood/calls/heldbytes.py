"""Count the bytes that an entry holds for callers and endpoints."""

import asyncio
import dataclasses
import math
import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, Protocol

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
# Share of the limit that is held at the most after an eviction.
_ROOM_SHARE = 0.9
# Limits for each policy on callers that read slowly.
READER_LIMITS: Final[Mapping[str, HoldLimits]] = MappingProxyType(
    {
        'paused': _DEFAULT_LIMITS,
        'unlimited': HoldLimits(pause_above=sys.maxsize, stall_s=math.inf),
    },
)


class Holder(Protocol):
    """What holds bytes of one answer: an attempt, or a caller's connection."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes that it holds."""

    @property
    def held_since(self) -> float:
        """Return the time of the loop since which it holds any."""

    @property
    def answer(self) -> object:
        """Return the same for all holders of one answer."""

    @property
    def delays_call(self) -> bool:
        """Return whether a call in progress waits for its caller to read."""

    def evict(self) -> None:
        """End the answer at once, so that it can't look whole."""


class HeldBytes:
    """The bytes held now: answers unread by callers, and request bodies.

    Where the limit is reached, the holder is evicted that has taken most of the
    memory for longest, in bytes times seconds: a caller that reads slowly, not
    one that comes with a small call.
    """

    __slots__ = ('_by_endpoint', '_holders', 'answers', 'bodies', 'limits')

    def __init__(self, limits: HoldLimits = _DEFAULT_LIMITS) -> None:
        """Start with nothing held."""
        self.limits = limits
        self.answers = 0
        self.bodies = 0
        self._by_endpoint: dict[str, int] = {}
        self._holders: set[Holder] = set()

    def hold(self, holder: Holder, size: int) -> None:
        """Count more bytes of a holder; evict others if there is no room."""
        self.answers += size
        self._holders.add(holder)
        if self.is_full:
            self._make_room()

    def release(self, holder: Holder, size: int) -> None:
        """Count fewer bytes of a holder."""
        self.answers -= size
        if not holder.held_bytes:
            self._holders.discard(holder)

    def evict_one(self, *, only_slow: bool = False) -> bool:
        """Evict one holder; return whether there was one.

        With `only_slow` only one whose call waits for its caller.
        """
        candidates = [
            one for one in self._holders if one.delays_call or not only_slow
        ]
        if not candidates:
            return False
        now = asyncio.get_running_loop().time()
        victim = max(
            candidates,
            key=lambda one: one.held_bytes * (now - one.held_since),
        )
        self._holders.discard(victim)
        victim.evict()
        return True

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

    def _make_room(self) -> None:
        # The only answer stays: one of any size has room.
        while (
            len({one.answer for one in self._holders}) > 1
            and self.total > self.limits.entry * _ROOM_SHARE
        ):
            self.evict_one()

    @property
    def _is_half_full(self) -> bool:
        return 0 < self.limits.entry <= self.total * 2
