"""Run attempts of one call side by side until one goes on with the answer.

A silent endpoint may go on, so its attempt stays open while another one is
sent. The first that brings something new goes on with the answer, and the
others are cancelled at once.
"""

import asyncio
import math
from collections.abc import Iterator
from functools import partial

from linnetwood.calls.attempt import Attempt, AttemptLimits
from linnetwood.calls.attempthistory import WaitingCount
from linnetwood.calls.attemptlog import SentAttempt

# While all attempts are silent, how often another one is asked for.
_ASK_AGAIN_S = 0.25
# A version that is named during a wait bounds it, some seconds ahead.
_MAX_WAIT_S = 1.0


class RunningAttempt:
    """An attempt in progress, and what was known as it was sent."""

    __slots__ = ('attempt', 'limits', 'sent', 'waiting_count')

    def __init__(
        self,
        attempt: Attempt,
        limits: AttemptLimits,
        sent: SentAttempt,
        waiting_count: WaitingCount,
    ) -> None:
        """Describe an attempt that is sent now."""
        self.attempt = attempt
        self.limits = limits
        self.sent = sent
        self.waiting_count = waiting_count

    @property
    def silent_at(self) -> float:
        """Return when it counts as silent unless something arrives before."""
        return self.attempt.silent_at(self.limits)


class AttemptRace:
    """The attempts of one call that are in progress."""

    __slots__ = ('_ask_at', '_loop', 'attempts')

    def __init__(self) -> None:
        """Start without attempts."""
        self.attempts: list[RunningAttempt] = []
        self._ask_at = -math.inf
        self._loop = asyncio.get_running_loop()

    def add(self, running: RunningAttempt) -> None:
        """Add an attempt, which ends the others once it goes on."""
        running.attempt.on_progress = partial(self._keep_only, running)
        self.attempts.append(running)

    @property
    def silent(self) -> list[RunningAttempt]:
        """Return the attempts that are silent, as `mark_silent` found them."""
        return [one for one in self.attempts if one.attempt.silent]

    def mark_silent(self) -> list[RunningAttempt]:
        """Mark and return the attempts that have fallen silent."""
        now = self._loop.time()
        found = [
            one
            for one in self.attempts
            if not one.attempt.silent and now >= one.silent_at
        ]
        for one in found:
            one.attempt.silent = True
        return found

    async def wait(self) -> RunningAttempt | None:
        """Return an attempt that has ended; None while all are silent."""
        while True:
            ended = next(self._ended(), None)
            if ended is not None:
                return ended
            now = self._loop.time()
            silent_at = max(running.silent_at for running in self.attempts)
            silent_at = max(silent_at, self._ask_at)
            if now >= silent_at:
                self._ask_at = now + _ASK_AGAIN_S
                return None
            await self._wait_until(silent_at, now)

    def _ended(self) -> Iterator[RunningAttempt]:
        for running in self.attempts:
            running.attempt.check_end(running.limits)
            if running.attempt.fut.done():
                yield running

    async def _wait_until(self, silent_at: float, now: float) -> None:
        wake_at = min(one.attempt.ends_at(one.limits) for one in self.attempts)
        wait_s = min(wake_at, silent_at) - now
        # The first event shortens the timeout without ending this wait, so
        # never wait for longer than the shorter one.
        next_event_s = min(one.limits.next_event_s for one in self.attempts)
        await asyncio.wait(
            [one.attempt.fut for one in self.attempts],
            timeout=max(0, min(wait_s, next_event_s, _MAX_WAIT_S)),
            return_when=asyncio.FIRST_COMPLETED,
        )

    def _keep_only(self, kept: RunningAttempt) -> None:
        for one in self.attempts:
            if one is not kept:
                one.attempt.abandon()
