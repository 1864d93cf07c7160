"""Log and count attempts, with what had been predicted for each of them."""

import dataclasses
import math

from linnetwood.calls.attempt import Attempt, AttemptOutcome, AttemptResult
from linnetwood.calls.choice import Choice, Requirements
from linnetwood.calls.configbasis import ConfigBasis
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.directory import Endpoint
from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.calls.logfields import (
    call_fields,
    config_fields,
    logged_id,
    logged_parts,
)
from linnetwood.calls.notices import Notice
from linnetwood.calls.policy.prioritythresholds import NO_LIMIT, LoadLimit
from linnetwood.calls.routetable import Organisation, Route
from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metric, Metrics

_MILLISECONDS = 1000
# Logged in place of a time that is not known.
_UNKNOWN_MS = -1
# Logged in place of a limit that does not hold.
_NO_LIMIT_LOGGED = -1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEstimate:
    """The estimated load of an endpoint when a call was sent there.

    `waiting` and `running` count calls. `extra_link_delay_ms` is the delay of
    the link beyond what is usual.
    """

    waiting: float
    running: int
    report_age_ms: int
    extra_link_delay_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """A silent stream, and what the decision on it was based on.

    `streams` counts this entry's other calls at the endpoint; the age of its
    report is -1 ms if it never reported.
    """

    silent_s: float
    streams: int
    report_age_ms: int
    attempts_left: int
    retries_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt at the time it is sent; `sent_at` is of the loop's clock."""

    call_id: str
    fingerprint: str
    route: Route
    choice: Choice
    urgency: Urgency
    estimate: LoadEstimate
    sent_at: float
    config_basis: ConfigBasis
    prompt: int = 0
    organisation: Organisation | None = None
    part_fingerprints: tuple[str, ...] = ()


def load_estimate(stats: EndpointStats, now: float) -> LoadEstimate:
    """Estimate an endpoint's load from its reports and this entry's calls."""
    waiting, running = stats.estimate_work(now)
    report = stats.report
    age_ms = _UNKNOWN_MS if report is None else _ms(now - report.received_at)
    extra_link_delay_ms = _ms(stats.extra_link_delay_s(now))
    return LoadEstimate(round(waiting, 1), running, age_ms, extra_link_delay_ms)


def record_attempt(
    sent_attempt: SentAttempt,
    attempt: Attempt,
    result: AttemptResult,
    now: float,
    metrics: Metrics,
) -> None:
    """Log an attempt that has ended, and add it to the metrics."""
    log_attempt(sent_attempt, attempt, result, now)
    count_attempt(sent_attempt, attempt, result, metrics)


def count_attempt(
    sent_attempt: SentAttempt,
    attempt: Attempt,
    result: AttemptResult,
    metrics: Metrics,
) -> None:
    """Add an attempt to the metrics."""
    metrics.count(Metric.ATTEMPTS_ENDED, kind=result.outcome.value)
    if result.outcome is AttemptOutcome.TOO_LARGE:
        metrics.count(Metric.ANSWERS_TOO_LARGE, kind=result.detail)
    if sent_attempt.choice.version:
        version = str(sent_attempt.choice.version)
        metrics.count(Metric.ATTEMPTS_AT_VERSION, kind=version)
    if attempt.first_event_at:
        first_s = attempt.first_event_at - sent_attempt.sent_at
        metrics.timing(Metric.FIRST_EVENT_MS, _ms(first_s))
        metrics.timing(Metric.PREDICTED_MS, _ms(sent_attempt.choice.wait_s))


def log_attempt(
    sent_attempt: SentAttempt,
    attempt: Attempt,
    result: AttemptResult,
    now: float,
) -> None:
    """Log how an attempt ended, with its predictions and targets."""
    first_event_at = attempt.first_event_at
    sent = attempt.sent
    route = sent_attempt.route
    estimate = sent_attempt.estimate
    log(
        Event.ATTEMPT_ENDED,
        call=logged_id(sent_attempt.call_id),
        likeness=sent_attempt.fingerprint,
        parts=logged_parts(sent_attempt.part_fingerprints),
        **call_fields(route, sent_attempt.organisation),
        endpoint=sent_attempt.choice.endpoint.endpoint_id,
        born=sent_attempt.choice.endpoint.born,
        far=sent_attempt.choice.is_remote,
        version=sent_attempt.choice.version,
        urgency=sent_attempt.urgency.value,
        prompt=sent_attempt.prompt,
        waiting=estimate.waiting,
        running=estimate.running,
        report_age_ms=estimate.report_age_ms,
        pace=sent_attempt.choice.pace,
        slow_ms=estimate.extra_link_delay_ms,
        **config_fields(sent_attempt.config_basis),
        predicted_ms=_ms(sent_attempt.choice.wait_s),
        connect_ms=_ms(sent.connected_s) if sent.connected_s else _UNKNOWN_MS,
        written_bytes=sent.written,
        first_ms=_ms(first_event_at - sent_attempt.sent_at)
        if first_event_at
        else _UNKNOWN_MS,
        target_ms=_ms(route.target_s),
        gap_ms=_ms(attempt.longest_gap_s),
        paused_ms=_ms(attempt.paused_s),
        allowed_gap_ms=_ms(route.gap_s),
        took_ms=_ms(now - sent_attempt.sent_at),
        how=result.outcome.value,
        detail=result.detail,
    )


def log_silence(
    call_id: str, endpoint: Endpoint, silence: Silence, decision: str
) -> None:
    """Log what was decided about a stream that has been silent for too long."""
    log(
        Event.STREAM_SILENT,
        call=logged_id(call_id),
        endpoint=endpoint.endpoint_id,
        born=endpoint.born,
        silent_ms=_ms(silence.silent_s),
        streams=silence.streams,
        report_age_ms=silence.report_age_ms,
        attempts_left=silence.attempts_left,
        retries_left=round(silence.retries_left, 1),
        decision=decision,
    )


def log_notice(
    endpoint: Endpoint,
    notice: Notice,
    call_id: str = '',
    rest_s: float = 0,
) -> None:
    """Log a change in what an endpoint reports about itself in its answers."""
    log(
        Event.ENDPOINT_NOTICE,
        call=logged_id(call_id),
        endpoint=endpoint.endpoint_id,
        born=endpoint.born,
        service=endpoint.service,
        limit_per_s=notice.limit_per_s,
        leaving=notice.leaving,
        rest_s=rest_s,
        unread=notice.unreadable,
    )


def log_admission(
    call_id: str,
    route: Route,
    requirements: Requirements,
    choice: Choice,
    estimate: LoadEstimate,
    outcome: str,
    limit: LoadLimit = NO_LIMIT,
) -> None:
    """Log the decision on a call that was not admitted as in time.

    `limit` is the one that held for the priority level of the call.
    """
    log(
        Event.ADMISSION_DECIDED,
        call=logged_id(call_id),
        route=route.name,
        endpoint=choice.endpoint.endpoint_id,
        far=choice.is_remote,
        version=choice.version,
        prompt=requirements.prompt_tokens,
        waiting=estimate.waiting,
        running=estimate.running,
        report_age_ms=estimate.report_age_ms,
        pace=choice.pace,
        predicted_ms=_ms(choice.wait_s),
        enough_ms=_ms(requirements.acceptable_wait_s),
        limit_per_slot=round(limit.per_slot, 2)
        if math.isfinite(limit.per_slot)
        else _NO_LIMIT_LOGGED,
        level=requirements.level,
        target_ms=_ms(route.target_s),
        outcome=outcome,
    )


def _ms(seconds: float) -> int:
    return round(seconds * _MILLISECONDS)
