"""Tell in one log line how an attempt went, and what was believed before it."""

import dataclasses

from linnetwood.calls.attempt import Attempt, AttemptEnd
from linnetwood.calls.choice import Choice, Requirements
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.directory import Endpoint
from linnetwood.calls.grounds import Grounds
from linnetwood.calls.notices import Notice
from linnetwood.calls.routebook import Route
from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metric, Metrics

_MILLISECONDS = 1000
# What a line says where nothing was heard.
_NEVER = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Belief:
    """What was believed of an endpoint when a call went there."""

    waiting: float
    running: int
    report_age_ms: int
    slow_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """An attempt as it goes out; the time is one of the loop's clock."""

    call_id: str
    likeness: str
    route: Route
    choice: Choice
    urgency: Urgency
    belief: Belief
    at: float
    grounds: Grounds
    prompt: int = 0


def believed(stats: EndpointStats, now: float) -> Belief:
    """Say what is believed of an endpoint."""
    waiting, running = stats.estimate_work(now)
    report = stats.report
    age_ms = _NEVER if report is None else _ms(now - report.received_at)
    slow_ms = _ms(stats.extra_link_delay_s(now))
    return Belief(round(waiting, 1), running, age_ms, slow_ms)


def count(
    sending: Sending,
    attempt: Attempt,
    end: AttemptEnd,
    metrics: Metrics,
) -> None:
    """Add an attempt to the figures."""
    metrics.count(Metric.ATTEMPTS_ENDED, kind=end.how.value)
    if sending.choice.version:
        version = str(sending.choice.version)
        metrics.count(Metric.ATTEMPTS_AT_VERSION, kind=version)
    if attempt.first_heard:
        first_s = attempt.first_heard - sending.at
        metrics.timing(Metric.FIRST_EVENT_MS, _ms(first_s))
        metrics.timing(Metric.PREDICTED_MS, _ms(sending.choice.wait_s))


def tell(
    sending: Sending,
    attempt: Attempt,
    end: AttemptEnd,
    now: float,
) -> None:
    """Log how an attempt ended, beside what it should have been."""
    first_heard = attempt.first_heard
    sent = attempt.sent
    route = sending.route
    belief = sending.belief
    grounds = sending.grounds
    log(
        Event.ATTEMPT_ENDED,
        call=sending.call_id,
        likeness=sending.likeness,
        route=route.name,
        endpoint=sending.choice.endpoint.endpoint_id,
        born=sending.choice.endpoint.born,
        far=sending.choice.far,
        version=sending.choice.version,
        urgency=sending.urgency.value,
        prompt=sending.prompt,
        waiting=belief.waiting,
        running=belief.running,
        report_age_ms=belief.report_age_ms,
        slow_ms=belief.slow_ms,
        config_version=grounds.version,
        config_age_ms=grounds.config_age_ms,
        store_age_ms=grounds.store_age_ms,
        predicted_ms=_ms(sending.choice.wait_s),
        connect_ms=_ms(sent.connected_s) if sent.connected_s else _NEVER,
        written_bytes=sent.written,
        first_ms=_ms(first_heard - sending.at) if first_heard else _NEVER,
        target_ms=_ms(route.target_s),
        gap_ms=_ms(attempt.longest_gap_s),
        allowed_gap_ms=_ms(route.gap_s),
        took_ms=_ms(now - sending.at),
        how=end.how.value,
        detail=end.detail,
    )


def tell_notice(
    one: Endpoint,
    notice: Notice,
    call_id: str = '',
    rest_s: float = 0,
) -> None:
    """Log what an endpoint says anew of itself, to whichever call."""
    log(
        Event.ENDPOINT_NOTICE,
        call=call_id,
        endpoint=one.endpoint_id,
        born=one.born,
        service=one.service,
        limit_per_s=notice.limit_per_s,
        leaving=notice.leaving,
        rest_s=rest_s,
        unread=notice.unreadable,
    )


def tell_admission(
    call_id: str,
    route: Route,
    requirements: Requirements,
    choice: Choice,
    belief: Belief,
    outcome: str,
) -> None:
    """Log what was decided of a call that no endpoint begins in time."""
    log(
        Event.ADMISSION_DECIDED,
        call=call_id,
        route=route.name,
        endpoint=choice.endpoint.endpoint_id,
        far=choice.far,
        version=choice.version,
        prompt=requirements.prompt_tokens,
        waiting=belief.waiting,
        running=belief.running,
        report_age_ms=belief.report_age_ms,
        predicted_ms=_ms(choice.wait_s),
        enough_ms=_ms(requirements.acceptable_wait_s),
        target_ms=_ms(route.target_s),
        outcome=outcome,
    )


def _ms(seconds: float) -> int:
    return round(seconds * _MILLISECONDS)
