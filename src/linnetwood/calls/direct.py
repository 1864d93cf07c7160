"""Run calls at engines and services directly, without a proxy in front."""

import asyncio
import dataclasses
import functools
import math
from collections.abc import Callable

from linnetwood.calls.attempt import (
    AnswerSink,
    AnswerStream,
    Attempt,
    AttemptLimits,
    AttemptOutcome,
    AttemptResult,
)
from linnetwood.calls.attempthistory import (
    AttemptHistory,
    RetryRefusal,
    WaitingCount,
    endpoint_failed,
)
from linnetwood.calls.attemptlog import (
    SentAttempt,
    Silence,
    load_estimate,
    log_notice,
    log_silence,
    record_attempt,
)
from linnetwood.calls.choice import Choice, Chooser, Requirements
from linnetwood.calls.configbasis import ConfigBasis
from linnetwood.calls.crashwatch import CrashObserver, NoCrashWatch
from linnetwood.calls.dialect import CallHead, Dialect, OutgoingCall, Urgency
from linnetwood.calls.directory import Endpoint
from linnetwood.calls.enginepace import explained_s
from linnetwood.calls.heldbytes import HeldBytes
from linnetwood.calls.notices import Notice
from linnetwood.calls.policy.lateness import (
    Lateness,
    MeanLateness,
    level_lateness,
)
from linnetwood.calls.policy.prioritythresholds import ServiceThresholds
from linnetwood.calls.prioritylevels import LATE_LEVEL
from linnetwood.calls.regionscope import ANY_REGION, RegionScope
from linnetwood.calls.retries import RETRY_SHARE, RetryBudget
from linnetwood.calls.routetable import Organisation, Repeat, Route, Service
from linnetwood.calls.silencetimeouts import SilenceTimeouts
from linnetwood.core.metrics import Metrics
from linnetwood.core.outcomes import ANSWERED, Code, Ending
from linnetwood.fleet.members import hash64
from linnetwood.fleet.wanted import (
    SEND_MARGIN_S,
    START_MARGIN_S,
    WantedVersions,
)
from linnetwood.wire.curldriver import CurlDriver, Headers, Request

# A handshake takes two delays of a few milliseconds. A lost packet is resent
# only after a second, so trying another endpoint is faster.
CONNECT_TIMEOUT_S = 0.4
# With less time left no call can be answered.
_MIN_REMAINING_S = 0.02
# Time that a call has at its endpoint, over any link, before it is withdrawn.
_MIN_TIME_TO_BEGIN_S = SEND_MARGIN_S - START_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class DirectCall:
    """A call to be run at an endpoint of a service.

    `arrived_at` and `deadline` are times of the loop's clock.
    """

    head: CallHead
    route: Route
    service: Service
    organisation: Organisation | None
    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    deadline: float
    config_basis: ConfigBasis = ConfigBasis()
    region_scope: RegionScope = ANY_REGION
    # Equal for calls that ask for the same; empty where unknown.
    fingerprint: str = ''
    # Of the parts of its prompt that other calls may share.
    part_fingerprints: tuple[str, ...] = ()

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return its own fingerprint and those of the shared parts."""
        own = (self.fingerprint,) if self.fingerprint else ()
        return own + self.part_fingerprints

    @property
    def level(self) -> int:
        """Return the level of its priority in the service, 0 the highest."""
        organisation = self.organisation
        return self.service.levels.level(
            None if organisation is None else organisation.priority,
            self.route.priority,
        )

    @property
    def repeatable(self) -> bool:
        """Return whether the call may run more than once."""
        return self.route.repeat is not Repeat.NEVER


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
        self._budgets: dict[str, RetryBudget] = {}
        self._new_lateness = lateness
        self._lateness: dict[tuple[str, int, int], Lateness] = {}
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
        try:
            return await self._run(call, sink, urgency)
        finally:
            self.crash_observer.note_ended(call.fingerprints)

    async def _run(
        self, call: DirectCall, sink: AnswerSink, urgency: Urgency
    ) -> Ending:
        answer = AnswerStream(sink, call.head.resume_after)
        history = AttemptHistory()
        budget = self._retry_budget(call.service.name)
        budget.earn()
        while True:
            now = self._loop.time()
            # An answer comes from one version, also when it is resumed.
            requirements = dataclasses.replace(
                self.requirements(call),
                exact_version=answer.version,
                urgent=urgency is Urgency.IN_TIME,
            )
            choice = self._chooser.choose(requirements, history.tried, now)
            if choice is None:
                rate_limited_s = self._chooser.rate_limited_s(requirements, now)
                return history.no_endpoint(answer, rate_limited_s)
            result = await self._run_attempt_if_room(
                call, requirements, choice, answer, urgency
            )
            history.add(choice.endpoint.incarnation_id, result)
            if result.outcome is AttemptOutcome.ANSWERED:
                self._deliver(answer, result)
                return ANSWERED
            refusal = self._retry_refusal(call, history, result, answer, budget)
            if result.outcome is AttemptOutcome.STALLED:
                self._log_silence(
                    call, choice, result, history, budget, refusal
                )
            if refusal is not None:
                return self._give_up(answer, history, result, refusal)
            answer.splitter.drop_partial()

    def _max_wait_s(self, call: DirectCall) -> float:
        """Return the longest predicted wait with which a call is in time."""
        target_s = call.route.target_s
        now = self._loop.time()
        margin_s = self._lateness_of(call).margin_s(target_s, now)
        return self._chooser.max_wait_s(
            call.service, call.head.prompt, target_s, margin_s, now
        )

    def _lateness_of(self, call: DirectCall) -> Lateness:
        """Return the lateness of the call's level; urgent levels wait less."""
        count = call.service.levels.count
        key = (call.service.name, count, call.level)
        found = self._lateness.get(key)
        if found is None:
            found = self._new_lateness() if count == 1 else level_lateness()
            self._lateness[key] = found
        return found

    def _retry_budget(self, service: str) -> RetryBudget:
        limits = self.retry_limits
        budget = self._budgets.get(service)
        if budget is None:
            # Half of it at first: a restart must not spend the reserve twice.
            budget = RetryBudget(limits.share, limits.reserve / 2)
            self._budgets[service] = budget
        budget.set_limits(limits.share, limits.reserve)
        return budget

    async def _run_attempt_if_room(
        self,
        call: DirectCall,
        requirements: Requirements,
        choice: Choice,
        answer: AnswerStream,
        urgency: Urgency,
    ) -> AttemptResult:
        """Run an attempt unless its endpoint has too many bodies in flight."""
        size = len(call.body)
        incarnation_id = choice.endpoint.incarnation_id
        if not self.held.add_in_flight(incarnation_id, size):
            return AttemptResult(
                AttemptOutcome.NOT_RUN, reached=False, detail='bodies in flight'
            )
        try:
            return await self._run_attempt(
                call, requirements, choice, answer, urgency
            )
        finally:
            self.held.remove_in_flight(incarnation_id, size)

    async def _run_attempt(
        self,
        call: DirectCall,
        requirements: Requirements,
        choice: Choice,
        answer: AnswerStream,
        urgency: Urgency,
    ) -> AttemptResult:
        now = self._loop.time()
        remaining_s = call.deadline - now
        limits = self._limits(call, choice, urgency)
        if remaining_s < _MIN_REMAINING_S or not self._has_time_to_begin(
            choice, limits, now
        ):
            return AttemptResult(
                AttemptOutcome.NOT_RUN, reached=False, detail='late'
            )
        attempt = Attempt(
            answer,
            self._dialect,
            call.head.call_id,
            streams=call.route.streams,
            clock_now=now,
            held=self.held,
        )
        outgoing = self._outgoing_call(
            call, requirements, choice, answer, urgency
        )
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        sent_attempt = SentAttempt(
            call.head.call_id,
            call.fingerprint,
            call.route,
            choice,
            urgency,
            load_estimate(stats, now),
            now,
            call.config_basis,
            call.head.prompt,
            call.organisation,
            call.part_fingerprints,
        )
        stats.record_sent()
        self._chooser.record_sent(call.service, choice.endpoint, now)
        waiting_count = WaitingCount(stats, _engine_level(call, urgency))
        attempt.on_start = functools.partial(
            self._on_begun,
            call,
            sent_attempt,
            waiting_count,
        )
        attempt.on_notice = functools.partial(self._on_notice, sent_attempt)
        try:
            result = await attempt.run(
                self._driver,
                self._request(call, choice, outgoing),
                limits,
            )
            result = await self._checked(result, choice.endpoint)
        finally:
            self._end_waiting(call, sent_attempt, waiting_count)
            stats.record_ended()
        if result.misdirected:
            stats.record_misdirected(self._loop.time())
        else:
            self._update_stats(call.service, sent_attempt, attempt, result)
        self._report_to_crash_observer(call, choice, attempt, result)
        if (
            result.outcome is AttemptOutcome.STALLED
            and not attempt.first_event_at
        ):
            self._update_lateness(call, sent_attempt)
        now = self._loop.time()
        record_attempt(sent_attempt, attempt, result, now, self._metrics)
        return result

    def _outgoing_call(
        self,
        call: DirectCall,
        requirements: Requirements,
        choice: Choice,
        answer: AnswerStream,
        urgency: Urgency,
    ) -> OutgoingCall:
        bound = bool(requirements.min_version or requirements.exact_version)
        return OutgoingCall(
            choice.endpoint.endpoint_id,
            call.deadline - self._loop.time(),
            call.organisation.name if call.organisation else '',
            choice.version if bound else 0,
            answer.splitter.last_id,
            urgency,
            call.service.levels.engine_priority(call.level),
        )

    def _request(
        self,
        call: DirectCall,
        choice: Choice,
        outgoing: OutgoingCall,
    ) -> Request:
        return Request(
            choice.endpoint.host,
            choice.endpoint.port,
            call.method,
            call.target,
            self._dialect.outgoing(call.headers, outgoing),
            call.body,
            min(CONNECT_TIMEOUT_S, outgoing.remaining_s),
            outgoing.remaining_s,
        )

    def _limits(
        self,
        call: DirectCall,
        choice: Choice,
        urgency: Urgency,
    ) -> AttemptLimits:
        start_by = math.inf
        if choice.version and call.repeatable:
            start_by = self._wanted.start_deadline(
                call.head.model, choice.version
            )
            # The cancellation must arrive before the bound as well.
            stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
            start_by -= stats.extra_link_delay_s(self._loop.time())
        if not call.route.streams or call.route.repeat is not Repeat.RESUME:
            return AttemptLimits(call.deadline, start_by, math.inf, math.inf)
        timeouts = SilenceTimeouts.for_route(call.route)
        first_event_s = timeouts.first_event_s
        if urgency is Urgency.LATE or choice.wait_s > first_event_s / 2:
            # The call was expected to wait; another endpoint is no faster.
            first_event_s = timeouts.late_first_event_s
        return AttemptLimits(
            call.deadline, start_by, first_event_s, timeouts.next_event_s
        )

    def _has_time_to_begin(
        self, choice: Choice, limits: AttemptLimits, now: float
    ) -> bool:
        """Return whether the call has time at the endpoint before its bound."""
        extra_delay_s = self._chooser.stats_of(
            choice.endpoint.incarnation_id
        ).extra_link_delay_s(now)
        remaining_s = limits.start_by - now - extra_delay_s
        return not extra_delay_s or remaining_s >= _MIN_TIME_TO_BEGIN_S

    def _on_begun(
        self,
        call: DirectCall,
        sent_attempt: SentAttempt,
        waiting_count: WaitingCount,
    ) -> None:
        self._end_waiting(call, sent_attempt, waiting_count)
        self._note_begun(sent_attempt)
        self._update_lateness(call, sent_attempt)

    def _end_waiting(
        self,
        call: DirectCall,
        sent_attempt: SentAttempt,
        waiting_count: WaitingCount,
    ) -> None:
        if waiting_count.release():
            now = self._loop.time()
            self._chooser.record_waited(
                call.service,
                _engine_level(call, sent_attempt.urgency),
                now - sent_attempt.sent_at,
                now,
            )

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

    def _note_begun(self, sent_attempt: SentAttempt) -> None:
        stats = self._chooser.stats_of(
            sent_attempt.choice.endpoint.incarnation_id
        )
        waited_s = self._loop.time() - sent_attempt.sent_at
        stats.record_start(
            sent_attempt.sent_at, waited_s - sent_attempt.choice.wait_s
        )

    def _update_lateness(
        self, call: DirectCall, sent_attempt: SentAttempt
    ) -> None:
        """Compare the wait of an admitted call with its prediction.

        The part that a change of the engine's pace explains isn't learned:
        predictions contain the new pace as soon as a report has it.
        """
        if call.service.engine is None or sent_attempt.urgency is Urgency.LATE:
            return
        now = self._loop.time()
        choice = sent_attempt.choice
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        waited_s = now - sent_attempt.sent_at
        predicted_s = explained_s(
            choice.wait_s, waited_s, stats.pace(now) / choice.pace
        )
        self._lateness_of(call).record(predicted_s, waited_s, now)

    def _update_stats(
        self,
        service: Service,
        sent_attempt: SentAttempt,
        attempt: Attempt,
        result: AttemptResult,
    ) -> None:
        choice = sent_attempt.choice
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        now = self._loop.time()
        if result.outcome is AttemptOutcome.ANSWERED:
            stats.record_success()
            if not attempt.first_event_at:
                self._note_begun(sent_attempt)
        elif not result.reached or (
            result.outcome is AttemptOutcome.STALLED and not stats.is_slow(now)
        ):
            stats.record_unreachable(now)
            self._chooser.record_unreachable(service, choice.endpoint, now)
        elif endpoint_failed(attempt, result):
            stats.record_failure()

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

    async def _checked(
        self, result: AttemptResult, endpoint: Endpoint
    ) -> AttemptResult:
        """Return the result; an endpoint that crashed at its end broke off."""
        if (
            result.outcome is not AttemptOutcome.ANSWERED
            or not result.ends_with_connection
            or await self.crash_observer.survived(endpoint)
        ):
            return result
        return AttemptResult(
            AttemptOutcome.LOST, reached=True, detail='endpoint crashed'
        )

    def _retry_refusal(
        self,
        call: DirectCall,
        history: AttemptHistory,
        result: AttemptResult,
        answer: AnswerStream,
        budget: RetryBudget,
    ) -> RetryRefusal | None:
        """Return why the call isn't sent again; None if it may be sent."""
        not_run = result.outcome is AttemptOutcome.NOT_RUN
        remaining_s = call.deadline - self._loop.time()
        checks = (
            (RetryRefusal.NO_TIME, remaining_s < _MIN_REMAINING_S),
            (
                RetryRefusal.NO_TIME,
                result.outcome is AttemptOutcome.TIMED_OUT,
            ),
            (
                RetryRefusal.ATTEMPTS_USED,
                history.reached >= call.route.attempts,
            ),
            (RetryRefusal.MAY_HAVE_RUN, not (not_run or call.repeatable)),
            (
                RetryRefusal.ANSWER_BEGUN,
                answer.begun and call.route.repeat is not Repeat.RESUME,
            ),
            (
                RetryRefusal.SUSPECTED,
                not self.crash_observer.may_retry(call.fingerprints),
            ),
        )
        refusal = next((one for one, applies in checks if applies), None)
        if refusal is None and result.reached:
            if not budget.spend(self._pressure(call)):
                return RetryRefusal.NO_BUDGET
        return refusal

    def _log_silence(
        self,
        call: DirectCall,
        choice: Choice,
        result: AttemptResult,
        history: AttemptHistory,
        budget: RetryBudget,
        refusal: RetryRefusal | None,
    ) -> None:
        now = self._loop.time()
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        silence = Silence(
            result.silent_s,
            stats.in_flight,
            load_estimate(stats, now).report_age_ms,
            call.route.attempts - history.reached,
            budget.left,
        )
        decision = 'sent again' if refusal is None else refusal.value
        log_silence(call.head.call_id, choice.endpoint, silence, decision)

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
        self,
        answer: AnswerStream,
        history: AttemptHistory,
        result: AttemptResult,
        refusal: RetryRefusal,
    ) -> Ending:
        if result.outcome is AttemptOutcome.FAILED and not answer.begun:
            answer.sink.send_whole(result.status, result.headers, result.body)
            return ANSWERED
        code = (
            Code.LATE
            if result.outcome is AttemptOutcome.TIMED_OUT
            else Code.CONNECTION_LOST
        )
        how = result.detail or result.outcome.value
        return history.ending(answer, code, f'{how}: {refusal.value}')


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


def _engine_level(call: DirectCall, urgency: Urgency) -> int:
    return LATE_LEVEL if urgency is Urgency.LATE else call.level
