"""The state of one call across its attempts; no I/O."""

import dataclasses

from linnetwood.calls.attempt import (
    ENDED_BY_OTHERS,
    AnswerStream,
    AttemptOutcome,
    AttemptResult,
)
from linnetwood.calls.attempthistory import AttemptHistory, RetryRefusal
from linnetwood.calls.attemptrace import AttemptRace
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.retries import RetryBudget
from linnetwood.calls.routetable import Repeat

# With less time left no call can be answered.
MIN_REMAINING_S = 0.02


@dataclasses.dataclass(slots=True)
class CallRun:
    """A call that is run: its answer, its attempts and its entry's budget."""

    call: DirectCall
    urgency: Urgency
    answer: AnswerStream
    budget: RetryBudget
    history: AttemptHistory
    race: AttemptRace
    # What was decided last about its silence.
    decision: str = ''
    _last: AttemptResult | None = None

    @property
    def attempts_left(self) -> int:
        """Return how many more attempts the route allows."""
        sent = self.history.reached + len(self.race.attempts)
        return self.call.route.attempts - sent

    def parallel_refusal(
        self, now: float, *, is_suspected: bool
    ) -> RetryRefusal | None:
        """Return why no attempt may be sent beside those that are silent."""
        # No endpoint is expected to begin before the route's target.
        if self.call.deadline - now < self.call.route.target_s:
            return RetryRefusal.NO_TIME
        return self.refusal(
            AttemptOutcome.STALLED, now, is_suspected=is_suspected
        )

    def note_result(self, result: AttemptResult) -> AttemptResult:
        """Return the result that shows how the call stands after a new one."""
        if self._last is None or result.outcome not in ENDED_BY_OTHERS:
            self._last = result
        return self._last

    def refusal(
        self, last: AttemptOutcome, now: float, *, is_suspected: bool
    ) -> RetryRefusal | None:
        """Return why no other attempt may be sent, apart from the budget.

        `last` is the outcome of the last attempt.
        """
        call = self.call
        is_resumable = call.route.repeat is Repeat.RESUME
        may_have_run = last is not AttemptOutcome.NOT_RUN
        remaining_s = call.deadline - now
        checks = (
            (RetryRefusal.NO_TIME, last is AttemptOutcome.TIMED_OUT),
            (RetryRefusal.NO_TIME, remaining_s < MIN_REMAINING_S),
            (RetryRefusal.ATTEMPTS_USED, self.attempts_left <= 0),
            (RetryRefusal.MAY_HAVE_RUN, may_have_run and not call.repeatable),
            (RetryRefusal.ANSWER_BEGUN, self.answer.begun and not is_resumable),
            (RetryRefusal.SUSPECTED, is_suspected),
        )
        return next((one for one, applies in checks if applies), None)
