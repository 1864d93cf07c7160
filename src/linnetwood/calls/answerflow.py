"""Track what a caller has not read yet, and detect that it reads nothing."""

import asyncio
import functools
from collections.abc import Callable

from tornado.iostream import IOStream

from linnetwood.calls.heldbytes import HeldBytes

# Timers of the event loop may fire slightly early.
_EARLY_S = 0.001
# In this time, bytes that the connection can take are written.
_LOOK_AGAIN_S = 0.1
# What a caller with as much unread takes in the time of a stall at least. One
# that takes less in two such times holds memory for minutes.
_MIN_TAKEN_BYTES = 16384
_MAX_SLOW_PERIODS = 2


def _ignore_unblocked() -> None:
    """Do nothing by default."""


class AnswerFlow:
    """Whether a caller reads as fast as its answer arrives.

    While `blocked` is true, no more of the answer should be received;
    `on_unblocked` is called when it may go on.
    """

    __slots__ = ('blocked', 'on_unblocked')

    def __init__(self) -> None:
        """Start with a caller that reads."""
        self.blocked = False
        self.on_unblocked: Callable[[], None] = _ignore_unblocked


class ConnectionFlow(AnswerFlow):
    """Count the bytes of an answer that a connection has not taken."""

    __slots__ = (
        '_due_bytes',
        '_held',
        '_looked_at',
        '_loop',
        '_on_stall',
        '_period_began',
        '_progress_at',
        '_slow_periods',
        '_stream',
        '_taken',
        '_timer',
        'is_evicted',
        'held_since',
        'is_open',
        'unread',
    )

    def __init__(
        self,
        stream: IOStream,
        held: HeldBytes,
        on_stall: Callable[[float], None],
    ) -> None:
        """Call `on_stall` with the seconds for which nothing was taken."""
        super().__init__()
        self.unread = 0
        self.held_since = float()
        # Whether more of the answer may follow.
        self.is_open = True
        # Whether the answer was ended for want of memory.
        self.is_evicted = False
        # In this period of the length of a stall: when it began, the bytes
        # taken, and those that are due.
        self._period_began = float()
        self._taken = 0
        self._due_bytes = 0
        self._slow_periods = 0
        self._stream = stream
        self._held = held
        self._on_stall = on_stall
        self._loop = asyncio.get_running_loop()
        self._progress_at = float()
        # The progress that was the last one when it was looked at before.
        self._looked_at = float()
        self._timer: asyncio.TimerHandle | None = None

    def hold(self, size: int) -> None:
        """Count bytes just written, until the connection has taken them."""
        if self.is_evicted:
            return
        if not self.unread:
            self._progress_at = self._loop.time()
            self.held_since = self._progress_at
            self._begin_period()
        self.unread += size
        self._held.hold(self, size)
        if self.is_evicted:
            return
        # The futures of HTTP1Connection.write may never be done if another
        # write follows; those of the stream are done in order.
        taken = self._stream.write(b'')
        taken.add_done_callback(functools.partial(self._release, size))
        if self._timer is None:
            self._set_timer(self._held.limits.stall_s)
        if self.unread > self._held.pause_above:
            self.blocked = True

    @property
    def delays_call(self) -> bool:
        """Return whether more of the answer waits for the caller to read."""
        return self.is_open and self.blocked

    @property
    def answer(self) -> object:
        """Return what stands for the answer."""
        return self

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the caller has not taken."""
        return self.unread

    def evict(self) -> None:
        """Cut the caller off, since there is no memory left."""
        idle_s = self._loop.time() - self._progress_at
        self.is_evicted = True
        self._on_stall(idle_s)
        size = self.unread
        self.unread = 0
        self._held.release(self, size)

    def _release(self, size: int, taken: 'asyncio.Future[None]') -> None:
        if self.is_evicted:
            return
        self.unread -= size
        self._taken += size
        self._held.release(self, size)
        self._progress_at = self._loop.time()
        if taken.cancelled() or taken.exception() is not None:
            # The connection is closed, which cancels the call.
            return
        if self.blocked and self.unread <= self._held.resume_at:
            self.blocked = False
            self.on_unblocked()

    def _set_timer(self, wait_s: float) -> None:
        self._timer = self._loop.call_later(wait_s, self._check_progress)

    def _check_progress(self) -> None:
        self._timer = None
        if not self.unread:
            return
        idle_s = self._loop.time() - self._progress_at
        left_s = self._held.limits.stall_s - idle_s
        if self._is_too_slow():
            self._on_stall(idle_s)
        elif left_s > _EARLY_S:
            self._set_timer(left_s)
        elif self._looked_at < self._progress_at:
            # The loop may have been held up; what the connection takes now is
            # counted in the next turns.
            self._looked_at = self._progress_at
            self._set_timer(_LOOK_AGAIN_S)
        else:
            self._on_stall(idle_s)

    def _begin_period(self) -> None:
        self._period_began = self._loop.time()
        self._due_bytes = min(self.unread, _MIN_TAKEN_BYTES)
        self._taken = 0

    def _is_too_slow(self) -> bool:
        """Return whether too little was taken in the last periods."""
        stall_s = self._held.limits.stall_s
        if self._loop.time() < self._period_began + stall_s - _EARLY_S:
            return False
        is_slow = self._taken < self._due_bytes
        self._slow_periods = self._slow_periods + 1 if is_slow else 0
        self._begin_period()
        return self._slow_periods >= _MAX_SLOW_PERIODS
