"""Run calls at engines and services directly, without a proxy in front."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable, Sequence

from linnetwood.calls.answerproof import proven_result
from linnetwood.calls.attempt import (
    AnswerSink,
    AnswerStream,
    Attempt,
    AttemptLimits,
    AttemptOutcome,
    AttemptResult,
    unbounded,
)
from linnetwood.calls.attempthistory import (
    AttemptHistory,
    RetryRefusal,
    WaitingCount,
)
from linnetwood.calls.attemptlog import (
    SentAttempt,
    Silence,
    load_estimate,
    log_notice,
    log_silence,
    record_attempt,
)
from linnetwood.calls.attemptrace import AttemptRace, RunningAttempt
from linnetwood.calls.attemptrecorder import AttemptRecorder, engine_level
from linnetwood.calls.callrun import MIN_REMAINING_S, CallRun
from linnetwood.calls.choice import Choice, Chooser, Requirements
from linnetwood.calls.crashwatch import CrashObserver, NoCrashWatch
from linnetwood.calls.dialect import Dialect, OutgoingCall, Urgency
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.directory import Endpoint
from linnetwood.calls.heldbytes import HeldBytes
from linnetwood.calls.notices import Notice
from linnetwood.calls.policy.lateness import (
    Lateness,
    MeanLateness,
)
from linnetwood.calls.policy.prioritythresholds import ServiceThresholds
from linnetwood.calls.regionpace import RegionPace
from linnetwood.calls.retries import RETRY_SHARE, RetryBudget
from linnetwood.calls.routetable import Repeat
from linnetwood.calls.silencetimeouts import SilenceTimeouts
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.outcomes import ANSWERED, Code, Ending
from linnetwood.fleet.members import hash64
from linnetwood.fleet.wanted import (
    SEND_MARGIN_S,
    START_MARGIN_S,
    WantedVersions,
)
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.curlrequest import Request

# A handshake takes two delays of a few milliseconds. A lost packet is resent
# only after a second, so trying another endpoint is faster.
CONNECT_TIMEOUT_S = 0.4
# Time that a call has at its endpoint, over any link, before it is withdrawn.
_MIN_TIME_TO_BEGIN_S = SEND_MARGIN_S - START_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on retries of this entry: a share of its calls, and a reserve."""

    share: float = RETRY_SHARE
    reserve: float = 4


def _ignore_notice(endpoint: Endpoint, now: float) -> None:
    """Do nothing by default."""


class DirectDispatcher:
    """Run calls: choose endpoints, send, and retry where that is safe."""

    def __init__(
        self,
        chooser: Chooser,
        driver: CurlDriver,
        dialect: Dialect,
        wanted: WantedVersions,
        zone: str,
        metrics: Metrics,
        lateness: Callable[[], Lateness] = MeanLateness,
    ) -> None:
        """Start without any retry budget."""
        self.retry_limits = RetryLimits()
        self.held = HeldBytes()
        self.crash_observer: CrashObserver = NoCrashWatch()
        # Called when the head of an answer had a notice of its endpoint.
        self.on_notice: Callable[[Endpoint, float], None] = _ignore_notice
        # None to read answers from other regions at any rate.
        self.region_pace: RegionPace | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self.recorder = AttemptRecorder(chooser, lateness)
        self.thresholds = ServiceThresholds()
        self._chooser = chooser
        self._driver = driver
        self._dialect = dialect
        self._wanted = wanted
        self._zone = zone
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def requirements(self, call: DirectCall) -> Requirements:
        """Return what the call requires of an endpoint."""
        model = call.head.model if call.service.engine else ''
        return Requirements(
            call.service,
            self._zone,
            call.head.prompt,
            model,
            self._wanted.oldest_allowed(model, self._loop.time())
            if model
            else 0,
            version_deadlines=self._wanted.cutoffs(model),
            acceptable_wait_s=self._max_wait_s(call),
            level=call.level,
            region_scope=call.region_scope,
            sample_number=hash64(call.head.call_id),
        )

    async def run(
        self,
        call: DirectCall,
        sink: AnswerSink,
        urgency: Urgency = Urgency.IN_TIME,
    ) -> Ending:
        """Run the call; the answer has been sent if the ending is ANSWERED."""
        run = CallRun(
            call,
            urgency,
            AnswerStream(sink, call.head.resume_after),
            self._retry_budget(call.service.name),
            AttemptHistory(),
            AttemptRace(),
        )
        run.budget.earn()
        try:
            return await self._run(run)
        finally:
            for one in tuple(run.race.attempts):
                self._release(run, one)
            self.crash_observer.note_ended(call.fingerprints)

    async def _run(self, run: CallRun) -> Ending:
        while True:
            requirements = self._current_requirements(run)
            now = self._loop.time()
            choice = self._chooser.choose(requirements, run.history.tried, now)
            if choice is None:
                rate_limited_s = self._chooser.rate_limited_s(requirements, now)
                return run.history.no_endpoint(run.answer, rate_limited_s)
            result = self._start(run, requirements, choice)
            if result is None:
                result = await self._last_result(run)
            if result.outcome is AttemptOutcome.ANSWERED:
                self._deliver(run.answer, result)
                self._abandon_others(run)
                return ANSWERED
            refusal = self._refusal(run, result)
            if refusal is not None:
                return self._give_up(run, result, refusal)

    async def _last_result(self, run: CallRun) -> AttemptResult:
        """Wait for the answer, or for the end of the last attempt.

        An attempt that is silent goes on; others are sent beside it.
        """
        while True:
            ended = await run.race.wait()
            if ended is None:
                self._send_beside_silent(run)
                continue
            result = await self._finish(run, ended)
            last = run.note_result(result)
            answered = result.outcome is AttemptOutcome.ANSWERED
            if answered or not run.race.attempts:
                return last

    def _send_beside_silent(self, run: CallRun) -> None:
        """Send another attempt, if one may be sent, and log the decision."""
        now = self._loop.time()
        for one in run.race.mark_silent():
            # Each silence is logged, also where the decision is the same.
            run.decision = ''
            self.recorder.note_silence(run.call, one, now)
        silent = run.race.silent
        refusal = run.parallel_refusal(
            now, is_suspected=self._is_suspected(run)
        )
        if refusal is None and not self._spend_retry(run):
            refusal = RetryRefusal.NO_BUDGET
        if refusal is None:
            refusal = self._start_beside(run, now)
        self._log_silence(run, silent, refusal)

    def _start_beside(self, run: CallRun, now: float) -> RetryRefusal | None:
        """Send an attempt that was taken from the budget, or put it back."""
        requirements = self._current_requirements(run)
        choice = self._chooser.choose(requirements, run.history.tried, now)
        if choice is None:
            run.budget.refund()
            return RetryRefusal.NO_ENDPOINT
        if self._start(run, requirements, choice) is None:
            return None
        # It may have room when the next attempt is asked for.
        run.history.tried.discard(choice.endpoint.incarnation_id)
        run.budget.refund()
        return RetryRefusal.NOT_SENT

    def _current_requirements(self, run: CallRun) -> Requirements:
        # An answer comes from one version, also when it is resumed.
        return dataclasses.replace(
            self.requirements(run.call),
            exact_version=run.answer.version,
            urgent=run.urgency is Urgency.IN_TIME,
        )

    def _max_wait_s(self, call: DirectCall) -> float:
        """Return the longest predicted wait with which a call is in time."""
        # Without a target a call is in time until its deadline.
        target_s = call.route.target_s or call.deadline - call.arrived_at
        now = self._loop.time()
        margin_s = self.recorder.lateness_of(call).margin_s(target_s, now)
        return self._chooser.max_wait_s(
            call.service, call.head.prompt, target_s, margin_s, now
        )

    def _retry_budget(self, service: str) -> RetryBudget:
        limits = self.retry_limits
        budget = self._budgets.get(service)
        if budget is None:
            # Half of it at first: a restart must not spend the reserve twice.
            budget = RetryBudget(limits.share, limits.reserve / 2)
            self._budgets[service] = budget
        budget.set_limits(limits.share, limits.reserve)
        return budget

    def _start(
        self, run: CallRun, requirements: Requirements, choice: Choice
    ) -> AttemptResult | None:
        """Send an attempt; return a result if it can't be sent."""
        now = self._loop.time()
        call = run.call
        limits = self._limits(call, choice, run.urgency)
        detail = ''
        if call.deadline - now < MIN_REMAINING_S:
            detail = 'late'
        elif not self._has_time_to_begin(choice, limits, now):
            detail = 'late'
        elif not self.held.add_in_flight(
            choice.endpoint.incarnation_id, len(call.body)
        ):
            detail = 'bodies in flight'
        if detail:
            result = AttemptResult(
                AttemptOutcome.NOT_RUN, reached=False, detail=detail
            )
            run.history.add(choice.endpoint.incarnation_id, result)
            return result
        run.history.tried.add(choice.endpoint.incarnation_id)
        self._send(run, requirements, choice, limits)
        return None

    def _send(
        self,
        run: CallRun,
        requirements: Requirements,
        choice: Choice,
        limits: AttemptLimits,
    ) -> None:
        call = run.call
        sent_attempt = self._sent_attempt(run, choice)
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        stats.record_sent()
        self._chooser.record_sent(
            call.service, choice.endpoint, sent_attempt.sent_at
        )
        waiting_count = WaitingCount(stats, engine_level(call, run.urgency))
        attempt = Attempt(
            run.answer,
            self._dialect,
            call.head.call_id,
            streams=call.route.streams,
            clock_now=sent_attempt.sent_at,
            held=self.held,
        )
        attempt.on_start = functools.partial(
            self.recorder.note_begun,
            call,
            sent_attempt,
            waiting_count,
            attempt,
        )
        attempt.on_notice = functools.partial(self._on_notice, sent_attempt)
        attempt.on_resumed = stats.record_resumed
        run.race.add(
            RunningAttempt(attempt, limits, sent_attempt, waiting_count)
        )
        outgoing = self._outgoing_call(run, requirements, choice)
        # While connecting the process may be frozen for longer than this.
        send_by = min(limits.deadline, limits.start_by())
        attempt.start(
            self._driver, self._request(call, choice, outgoing, send_by)
        )

    def _sent_attempt(self, run: CallRun, choice: Choice) -> SentAttempt:
        call = run.call
        now = self._loop.time()
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        return SentAttempt(
            call.head.call_id,
            call.fingerprint,
            call.route,
            choice,
            run.urgency,
            load_estimate(stats, now),
            now,
            call.config_basis,
            call.head.prompt,
            call.organisation,
            call.part_fingerprints,
        )

    async def _finish(
        self, run: CallRun, ended: RunningAttempt
    ) -> AttemptResult:
        """Record how an attempt ended, and return its result."""
        self._release(run, ended)
        endpoint = ended.sent.choice.endpoint
        result = await proven_result(
            ended.attempt, endpoint, self.crash_observer, run.call.deadline
        )
        self._record(run, ended, result)
        return result

    def _abandon_others(self, run: CallRun) -> None:
        """End and record the attempts in progress once one has answered."""
        for one in tuple(run.race.attempts):
            one.attempt.abandon()
            self._release(run, one)
            self._record(run, one, one.attempt.fut.result())

    def _record(
        self, run: CallRun, ended: RunningAttempt, result: AttemptResult
    ) -> None:
        attempt = ended.attempt
        choice = ended.sent.choice
        run.history.add(choice.endpoint.incarnation_id, result)
        self.recorder.note_result(run.call, ended.sent, attempt, result)
        self._report_to_crash_observer(run.call, choice, attempt, result)
        now = self._loop.time()
        record_attempt(ended.sent, attempt, result, now, self._metrics)

    def _release(self, run: CallRun, ended: RunningAttempt) -> None:
        """Cancel an attempt in progress, and count it no longer."""
        run.race.attempts.remove(ended)
        ended.attempt.close()
        self.recorder.end_waiting(run.call, ended.sent, ended.waiting_count)
        incarnation_id = ended.sent.choice.endpoint.incarnation_id
        self._chooser.stats_of(incarnation_id).record_ended()
        self.held.remove_in_flight(incarnation_id, len(run.call.body))

    def _outgoing_call(
        self, run: CallRun, requirements: Requirements, choice: Choice
    ) -> OutgoingCall:
        call = run.call
        bound = bool(requirements.min_version or requirements.exact_version)
        return OutgoingCall(
            choice.endpoint.endpoint_id,
            call.deadline - self._loop.time(),
            call.organisation.name if call.organisation else '',
            choice.version if bound else 0,
            run.answer.last_id,
            run.urgency,
            call.service.levels.engine_priority(call.level),
        )

    def _request(
        self,
        call: DirectCall,
        choice: Choice,
        outgoing: OutgoingCall,
        send_by: float,
    ) -> Request:
        pace = self.region_pace
        return Request(
            choice.endpoint.host,
            choice.endpoint.port,
            call.method,
            call.target,
            self._dialect.outgoing(call.headers, outgoing),
            call.body,
            min(CONNECT_TIMEOUT_S, outgoing.remaining_s),
            outgoing.remaining_s,
            send_by=send_by,
            pace=None if pace is None else pace.pace_of(choice.endpoint),
        )

    def _limits(
        self,
        call: DirectCall,
        choice: Choice,
        urgency: Urgency,
    ) -> AttemptLimits:
        start_by = unbounded
        if choice.version and call.repeatable:
            stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
            start_by = functools.partial(
                self._start_by,
                call.head.model,
                choice.version,
                stats.extra_link_delay_s(self._loop.time()),
            )
        if not call.route.streams or call.route.repeat is not Repeat.RESUME:
            return AttemptLimits(call.deadline, start_by)
        timeouts = SilenceTimeouts.for_route(call.route)
        first_event_s = timeouts.first_event_s
        if urgency is Urgency.LATE or choice.wait_s > first_event_s / 2:
            # The call was expected to wait; another endpoint is no faster.
            first_event_s = timeouts.late_first_event_s
        return AttemptLimits(
            call.deadline, start_by, first_event_s, timeouts.next_event_s
        )

    def _start_by(self, model: str, version: int, link_delay_s: float) -> float:
        """Return when to cancel so that this arrives before the bound."""
        return self._wanted.start_deadline(model, version) - link_delay_s

    def _has_time_to_begin(
        self, choice: Choice, limits: AttemptLimits, now: float
    ) -> bool:
        """Return whether the call has time at the endpoint before its bound."""
        extra_delay_s = self._chooser.stats_of(
            choice.endpoint.incarnation_id
        ).extra_link_delay_s(now)
        remaining_s = limits.start_by() - now - extra_delay_s
        return not extra_delay_s or remaining_s >= _MIN_TIME_TO_BEGIN_S

    def _on_notice(self, sent_attempt: SentAttempt, notice: Notice) -> None:
        """Apply what the head of an answer reports about its endpoint."""
        endpoint = sent_attempt.choice.endpoint
        now = self._loop.time()
        notices = self._chooser.notices
        if notices.record(endpoint.incarnation_id, notice, now):
            known = notices.latest(endpoint.incarnation_id)
            log_notice(
                endpoint, known, sent_attempt.call_id, notice.retry_after_s
            )
        self.on_notice(endpoint, now)

    def _report_to_crash_observer(
        self,
        call: DirectCall,
        choice: Choice,
        attempt: Attempt,
        result: AttemptResult,
    ) -> None:
        """Report whether the endpoint survived the call, which may crash it."""
        if result.outcome is AttemptOutcome.LOST and not attempt.was_held_up:
            since_first_event_s = float()
            if attempt.first_event_at:
                since_first_event_s = self._loop.time() - attempt.first_event_at
            for fingerprint in call.fingerprints:
                self.crash_observer.note_lost(
                    fingerprint, choice.endpoint, since_first_event_s
                )
            return
        cleared = _cleared_by(call, result)
        if result.ends_with_connection:
            self.crash_observer.note_closed(cleared, choice.endpoint)
            return
        for fingerprint in cleared:
            self.crash_observer.note_answered(fingerprint)

    def _refusal(
        self, run: CallRun, result: AttemptResult
    ) -> RetryRefusal | None:
        """Return why the call isn't sent again; None if it may be sent."""
        refusal = run.refusal(
            result.outcome,
            self._loop.time(),
            is_suspected=self._is_suspected(run),
        )
        if refusal is None and result.reached and not self._spend_retry(run):
            return RetryRefusal.NO_BUDGET
        return refusal

    def _is_suspected(self, run: CallRun) -> bool:
        return not self.crash_observer.may_retry(run.call.fingerprints)

    def _spend_retry(self, run: CallRun) -> bool:
        return run.budget.spend(self._pressure(run.call))

    def _log_silence(
        self,
        run: CallRun,
        silent: Sequence[RunningAttempt],
        refusal: RetryRefusal | None,
    ) -> None:
        decision = 'sent beside' if refusal is None else refusal.value
        if refusal is not None and decision == run.decision:
            return
        run.decision = decision
        self._metrics.count(Metric.STREAMS_SILENT, kind=decision)
        now = self._loop.time()
        for one in silent:
            endpoint = one.sent.choice.endpoint
            stats = self._chooser.stats_of(endpoint.incarnation_id)
            silence = Silence(
                now - one.attempt.last_received_at,
                stats.in_flight - 1,
                load_estimate(stats, now).report_age_ms,
                run.attempts_left,
                run.budget.left,
            )
            log_silence(run.call.head.call_id, endpoint, silence, decision)

    def _pressure(self, call: DirectCall) -> float:
        """Return the pressure of more urgent calls of the service, 0 to 1."""
        thresholds = self.thresholds.of(call.service.name)
        return thresholds.pressure(call.level, self._loop.time())

    def _deliver(self, answer: AnswerStream, result: AttemptResult) -> None:
        if answer.begun:
            answer.sink.finish()
        else:
            answer.sink.send_whole(result.status, result.headers, result.body)

    def _give_up(
        self, run: CallRun, result: AttemptResult, refusal: RetryRefusal
    ) -> Ending:
        answer = run.answer
        if result.outcome is AttemptOutcome.FAILED and not answer.begun:
            answer.sink.send_whole(result.status, result.headers, result.body)
            return ANSWERED
        is_late = refusal is RetryRefusal.NO_TIME
        code = Code.LATE if is_late else Code.CONNECTION_LOST
        how = result.detail or result.outcome.value
        return run.history.ending(answer, code, f'{how}: {refusal.value}')


def _cleared_by(call: DirectCall, result: AttemptResult) -> tuple[str, ...]:
    """Return the fingerprints that crash no endpoint, as a result shows.

    An endpoint that answers with an error of its own may not have begun to
    write an answer on the prompt.
    """
    if result.is_success:
        return call.fingerprints
    if result.outcome in {AttemptOutcome.ANSWERED, AttemptOutcome.FAILED}:
        return call.fingerprints[:1] if call.fingerprint else ()
    return ()
