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
        '_held',
        '_looked_at',
        '_loop',
        '_on_stall',
        '_progress_at',
        '_stream',
        '_timer',
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
        if not self.unread:
            self._progress_at = self._loop.time()
        self.unread += size
        self._held.answers += size
        # The futures of HTTP1Connection.write may never be done if another
        # write follows; those of the stream are done in order.
        taken = self._stream.write(b'')
        taken.add_done_callback(functools.partial(self._release, size))
        if self._timer is None:
            self._set_timer(self._held.limits.stall_s)
        if self.unread > self._held.pause_above:
            self.blocked = True

    def _release(self, size: int, taken: 'asyncio.Future[None]') -> None:
        self.unread -= size
        self._held.answers -= size
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
        if left_s > _EARLY_S:
            self._set_timer(left_s)
        elif self._looked_at < self._progress_at:
            # The loop may have been held up; what the connection takes now is
            # counted in the next turns.
            self._looked_at = self._progress_at
            self._set_timer(_LOOK_AGAIN_S)
        else:
            self._on_stall(idle_s)
