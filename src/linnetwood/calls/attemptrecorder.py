"""Record what attempts show about their endpoints and about predictions."""

import asyncio
from collections.abc import Callable

from linnetwood.calls.attempt import Attempt, AttemptOutcome, AttemptResult
from linnetwood.calls.attempthistory import (
    WaitingCount,
    answer_had_no_end,
    endpoint_failed,
)
from linnetwood.calls.attemptlog import SentAttempt
from linnetwood.calls.attemptrace import RunningAttempt
from linnetwood.calls.choice import Choice, Chooser
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.calls.enginepace import explained_s
from linnetwood.calls.policy.lateness import Lateness, level_lateness
from linnetwood.calls.prioritylevels import LATE_LEVEL
from linnetwood.wire.curldriver import TOO_LATE_TO_SEND


def engine_level(call: DirectCall, urgency: Urgency) -> int:
    """Return the level by which an engine orders a call."""
    return LATE_LEVEL if urgency is Urgency.LATE else call.level


class AttemptRecorder:
    """Update the statistics of endpoints, and the lateness of calls."""

    def __init__(
        self, chooser: Chooser, new_lateness: Callable[[], Lateness]
    ) -> None:
        """Start without any lateness."""
        self._chooser = chooser
        self._new_lateness = new_lateness
        self._lateness: dict[tuple[str, int, int], Lateness] = {}
        self._loop = asyncio.get_running_loop()

    def lateness_of(self, call: DirectCall) -> Lateness:
        """Return the lateness of the call's level; urgent levels wait less."""
        count = call.service.levels.count
        key = (call.service.name, count, call.level)
        found = self._lateness.get(key)
        if found is None:
            found = self._new_lateness() if count == 1 else level_lateness()
            self._lateness[key] = found
        return found

    def note_begun(
        self,
        call: DirectCall,
        sent_attempt: SentAttempt,
        waiting_count: WaitingCount,
        attempt: Attempt,
    ) -> None:
        """Record the first event of an attempt."""
        self.end_waiting(call, sent_attempt, waiting_count)
        self._record_start(sent_attempt)
        self._update_lateness(call, sent_attempt, attempt)

    def end_waiting(
        self,
        call: DirectCall,
        sent_attempt: SentAttempt,
        waiting_count: WaitingCount,
    ) -> None:
        """Record that an attempt no longer waits at its endpoint."""
        if waiting_count.release():
            now = self._loop.time()
            self._chooser.record_waited(
                call.service,
                engine_level(call, sent_attempt.urgency),
                now - sent_attempt.sent_at,
                now,
            )

    def note_silence(
        self, call: DirectCall, silent: RunningAttempt, now: float
    ) -> None:
        """Avoid an endpoint until it goes on; one that is slow may be sound."""
        stats = self._stats_of(silent.sent.choice)
        if not stats.is_slow(now):
            stats.record_silence(now)
        if not silent.attempt.first_event_at:
            self._update_lateness(call, silent.sent, silent.attempt)

    def note_result(
        self,
        call: DirectCall,
        sent_attempt: SentAttempt,
        attempt: Attempt,
        result: AttemptResult,
    ) -> None:
        """Record how an attempt ended."""
        stats = self._stats_of(sent_attempt.choice)
        if attempt.has_head:
            stats.record_received(attempt.last_received_at)
        if result.misdirected:
            stats.record_misdirected(self._loop.time())
        elif result.outcome is AttemptOutcome.ANSWERED:
            self._record_success(sent_attempt, attempt)
        elif answer_had_no_end(attempt, result):
            stats.record_too_large(self._loop.time())
        elif endpoint_failed(attempt, result):
            stats.record_failure()
        else:
            self._record_unanswered(call, sent_attempt, result)

    def _stats_of(self, choice: Choice) -> EndpointStats:
        return self._chooser.stats_of(choice.endpoint.incarnation_id)

    def _record_success(
        self, sent_attempt: SentAttempt, attempt: Attempt
    ) -> None:
        self._stats_of(sent_attempt.choice).record_success()
        if not attempt.first_event_at:
            self._record_start(sent_attempt)

    def _record_unanswered(
        self, call: DirectCall, sent_attempt: SentAttempt, result: AttemptResult
    ) -> None:
        now = self._loop.time()
        choice = sent_attempt.choice
        stats = self._stats_of(choice)
        if result.detail == TOO_LATE_TO_SEND:
            # This process was held up, not the endpoint.
            return
        if not result.reached:
            stats.record_unreachable(now)
            self._mark_cold(call, choice)
            return
        stalled = result.outcome is AttemptOutcome.STALLED
        timed_out = result.outcome is AttemptOutcome.TIMED_OUT
        if stalled and not stats.is_slow(now):
            self._mark_cold(call, choice)
        # One that answered other calls meanwhile is sound.
        if timed_out and stats.last_received_at < sent_attempt.sent_at:
            stats.record_failure()

    def _mark_cold(self, call: DirectCall, choice: Choice) -> None:
        """Take an endpoint that may have restarted as cold."""
        now = self._loop.time()
        self._chooser.record_unreachable(call.service, choice.endpoint, now)

    def _record_start(self, sent_attempt: SentAttempt) -> None:
        choice = sent_attempt.choice
        waited_s = self._loop.time() - sent_attempt.sent_at
        self._stats_of(choice).record_start(
            sent_attempt.sent_at, waited_s - choice.wait_s
        )

    def _update_lateness(
        self, call: DirectCall, sent_attempt: SentAttempt, attempt: Attempt
    ) -> None:
        """Compare the wait of an admitted call with its prediction, once.

        The part that a change of the engine's pace explains isn't learned:
        predictions contain the new pace as soon as a report has it.
        """
        if call.service.engine is None or sent_attempt.urgency is Urgency.LATE:
            return
        if attempt.wait_recorded:
            return
        attempt.wait_recorded = True
        now = self._loop.time()
        choice = sent_attempt.choice
        waited_s = now - sent_attempt.sent_at
        pace = self._stats_of(choice).pace(now) / choice.pace
        predicted_s = explained_s(choice.wait_s, waited_s, pace)
        self.lateness_of(call).record(predicted_s, waited_s, now)
