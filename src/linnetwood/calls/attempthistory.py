"""What the attempts of one call have shown so far."""

import enum
import math

from linnetwood.calls.attempt import (
    AnswerStream,
    Attempt,
    AttemptOutcome,
    AttemptResult,
)
from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.core.outcomes import (
    Code,
    Ending,
    Outcome,
    not_run,
    unknown,
)

_RETRY_AFTER_MS = 200
_MILLISECONDS = 1000


class RetryRefusal(enum.Enum):
    """Why a call isn't sent to another endpoint; the values are logged."""

    NO_TIME = 'no time left'
    ATTEMPTS_USED = 'attempts used'
    MAY_HAVE_RUN = 'may have run'
    ANSWER_BEGUN = 'answer begun'
    SUSPECTED = 'suspected of crashes'
    NO_BUDGET = 'no retry budget'
    NO_ENDPOINT = 'no endpoint'
    # The chosen endpoint had no room, or the call no time to begin there.
    NOT_SENT = 'not sent'


class AttemptHistory:
    """The attempts of one call so far."""

    __slots__ = ('may_have_run', 'reached', 'tried')

    def __init__(self) -> None:
        """Start without attempts."""
        self.tried: set[str] = set()
        self.reached = 0
        self.may_have_run = False

    def add(self, incarnation_id: str, result: AttemptResult) -> None:
        """Add an attempt at one incarnation of an endpoint."""
        self.tried.add(incarnation_id)
        self.reached += result.reached
        if result.outcome is not AttemptOutcome.NOT_RUN:
            self.may_have_run = True

    def no_endpoint(
        self, answer: AnswerStream, rate_limited_s: float
    ) -> Ending:
        """End a call for which no endpoint is available.

        `rate_limited_s` is the time in seconds until a rate limit or a
        requested pause of an endpoint is over, 0 if neither is the reason.
        """
        ending = self.ending(
            answer, Code.NO_ENDPOINT, RetryRefusal.NO_ENDPOINT.value
        )
        if ending.outcome is not Outcome.NOT_RUN or not rate_limited_s:
            return ending
        after_ms = max(
            _RETRY_AFTER_MS, math.ceil(rate_limited_s * _MILLISECONDS)
        )
        return not_run(Code.NO_ENDPOINT, 'limited', after_ms)

    def ending(
        self, answer: AnswerStream, code: Code, detail: str = ''
    ) -> Ending:
        """End the call; it is not run only if no attempt may have run."""
        if answer.begun:
            answer.sink.abort()
            return Ending(Outcome.UNKNOWN, code.value, detail)
        if self.may_have_run:
            return unknown(code, detail)
        return not_run(code, detail, _RETRY_AFTER_MS)


class WaitingCount:
    """Count a call as waiting at an endpoint until it begins."""

    __slots__ = ('_stats', '_level')

    def __init__(self, stats: EndpointStats, level: int) -> None:
        """Count a call of a level from now on."""
        self._stats: EndpointStats | None = stats
        self._level = level
        stats.count_waiting(level, 1)

    def release(self) -> bool:
        """Stop counting; return False if that was done before."""
        stats = self._stats
        if stats is None:
            return False
        self._stats = None
        stats.count_waiting(self._level, -1)
        return True


def endpoint_failed(attempt: Attempt, result: AttemptResult) -> bool:
    """Return whether the endpoint failed, rather than a caller that stalled.

    An endpoint may end an answer that it can't write.
    """
    if result.outcome is AttemptOutcome.LOST:
        return not attempt.was_held_up
    return result.outcome is AttemptOutcome.FAILED


def answer_had_no_end(attempt: Attempt, result: AttemptResult) -> bool:
    """Return whether more arrived than an answer has, or than has time to."""
    if result.outcome is AttemptOutcome.TIMED_OUT:
        return attempt.is_long and not attempt.was_held_up
    return result.outcome is AttemptOutcome.TOO_LARGE
