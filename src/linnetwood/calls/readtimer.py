"""Limit how long a caller's connection may be idle, or send a request.

A timer that is due says nothing about bytes that have arrived meanwhile: the
event loop may have been held up, or may read them in the same turn. So each
looks at the connection before it closes it.
"""

import asyncio
import enum
from collections.abc import Callable
from typing import Protocol

from linnetwood.calls.routetable import CallLimits
from linnetwood.core.events import Event, log

# The configuration limits the time for the head; a body gets twice that.
_BODY_FACTOR = 2
_LOOK_AGAIN_S = 0.1
_MIN_LOOKS = 3
# Timers of the event loop may fire slightly early.
_EARLY_S = 0.001


class Phase(enum.Enum):
    """What a connection waits for; the values are logged."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    ANSWER = 'answer'


class Arrivals(Protocol):
    """A connection that tells what has arrived on it."""

    # Time of the loop at which bytes were read last.
    received_at: float

    @property
    def has_buffered(self) -> bool:
        """Return whether bytes were read that belong to no request yet."""

    @property
    def has_unread(self) -> bool:
        """Return whether bytes wait in the kernel; False after the end."""

    def close(self) -> None:
        """Close the connection."""


class ReadTimer:
    """Close a connection whose caller is idle, or too slow with a request."""

    __slots__ = (
        '_conn',
        '_limits',
        '_looks',
        '_loop',
        '_since',
        '_timer',
        'phase',
    )

    def __init__(
        self, conn: Arrivals, limits: Callable[[], CallLimits]
    ) -> None:
        """Use the limits that are in force whenever they are needed."""
        self.phase = Phase.ANSWER
        self._conn = conn
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._since = float()
        self._looks = 0
        self._timer: asyncio.TimerHandle | None = None

    def await_head(self) -> None:
        """Wait for the next request."""
        buffered = self._conn.has_buffered
        self._enter(Phase.HEAD if buffered else Phase.IDLE)

    def note_received(self) -> None:
        """Give the head its own time once its first byte has arrived."""
        if self.phase is Phase.IDLE:
            self._enter(Phase.HEAD)

    def await_body(self) -> None:
        """Wait for the rest of a request whose head is complete."""
        self._enter(Phase.BODY)

    def now(self) -> float:
        """Return the time of the loop in seconds."""
        return self._loop.time()

    def stop(self) -> None:
        """Set no limit until the next request is awaited."""
        self.phase = Phase.ANSWER
        self._cancel()

    def apply_limits(self) -> None:
        """Use new limits for what the connection waits for now."""
        if self.phase is not Phase.ANSWER:
            self._arm()

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request has arrived."""
        if self.phase is Phase.IDLE:
            return self._conn.has_unread
        return self.phase is not Phase.ANSWER

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self._since = self._loop.time()
        self._looks = 0
        self._arm()

    def _arm(self) -> None:
        self._cancel()
        wait_s = self._ends_at() - self._loop.time()
        self._timer = self._loop.call_later(max(0, wait_s), self._check)

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _ends_at(self) -> float:
        limits = self._limits()
        if self.phase is Phase.IDLE:
            return self._since + limits.idle_s
        if self.phase is Phase.HEAD:
            return self._since + limits.header_s
        return self._since + limits.header_s * _BODY_FACTOR

    def _check(self) -> None:
        self._timer = None
        now = self._loop.time()
        if now < self._ends_at() - _EARLY_S:
            self._arm()
        elif self._may_look_again(now):
            self._timer = self._loop.call_later(_LOOK_AGAIN_S, self._check)
        else:
            self._close()

    def _may_look_again(self, now: float) -> bool:
        """Return whether more arrives, for about as long as a head may take.

        Looks are counted, since the loop may be held up between them as well.
        """
        max_looks = max(_MIN_LOOKS, self._limits().header_s / _LOOK_AGAIN_S)
        arrives = (
            self._conn.has_unread
            or now < self._conn.received_at + _LOOK_AGAIN_S
        )
        self._looks += 1
        return arrives and self._looks <= max_looks

    def _close(self) -> None:
        if self.phase is not Phase.IDLE:
            log(Event.CALL_CUT, code='request-late', detail=self.phase.value)
        self._conn.close()
