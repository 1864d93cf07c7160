"""What this entry knows of an endpoint beyond the list; no I/O or clock."""

import dataclasses
import enum
import math
from collections.abc import Mapping

from linnetwood.calls.enginepace import EnginePace, PaceDurations
from linnetwood.calls.notices import Notice
from linnetwood.calls.policy.waitingmix import NO_MIX

_FAILURE_WEIGHT = 0.2
_REPORT_FRESH_S = 1.5
# Some reports are lost: an engine is overdue when 3 in a row are missing, and
# its last report stays fresh a little longer. At the usual rate of 10 reports
# per second it is overdue after 0.4 s.
_MAX_MISSED_REPORTS = 3
_OVERDUE_MARGIN_S = 0.1
_USUAL_INTERVAL_S = 0.1
# The time that the full link of an engine's VM takes for the chunks in flight
# on it (5 of 54 ms each): the margins of entries include this.
_USUAL_LINK_DELAY_S = 0.3
# Assumed for the link to an endpoint whose reports have stopped, also when they
# come again: 2 chunks on the narrowest known link.
_OVERDUE_EXTRA_DELAY_S = 0.8
# Upper bound for any link: calls took up to 2 s to arrive on narrowed links,
# 0.3 s of which is usual.
_MAX_EXTRA_DELAY_S = 1.7
_BACKOFF_FIRST_S = 0.5
# Two rounds in which an endpoint process reports notices.
_NOTICE_VALID_S = 9.0
_BACKOFF_MAX_S = 4.0
# The record of an endpoint that started again stays for up to 3.6 s; one call
# a second finds out whether it is valid again.
_MISDIRECTED_S = 1.0


class Reporting(enum.IntEnum):
    """Whether an engine reports; lower values are chosen first."""

    FRESH = 0
    STOPPED = 1
    NEVER = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The load that an engine reported, and when the report was received."""

    waiting: int
    running: int
    serving: int
    changing: bool
    received_at: float
    link_delay_s: float = 0
    # Seconds until the next report is due.
    interval_s: float = _USUAL_INTERVAL_S
    # The latest notice that any entry got in an answer, the mark of the
    # incarnation that gave it, and when.
    notice: Notice | None = None
    notice_mark: int = 0
    notice_at: float = -math.inf
    # While the endpoint names a rate limit, the share of it that this entry may
    # use; 0 if the report doesn't say.
    quota: float = 0
    # How many times slower than usual the engine is.
    pace: float = 1

    def is_overdue(self, now: float) -> bool:
        """Return whether the reports that were due are missing."""
        return (
            now - self.received_at
            > _MAX_MISSED_REPORTS * self.interval_s + _OVERDUE_MARGIN_S
        )

    def is_fresh(self, now: float) -> bool:
        """Return whether the report is recent enough to count."""
        limit_s = max(
            _REPORT_FRESH_S, (_MAX_MISSED_REPORTS + 1) * self.interval_s
        )
        return now - self.received_at < limit_s


@dataclasses.dataclass(frozen=True, slots=True)
class _BackOff:
    """How long the next back-off lasts, and when this one ends."""

    backoff_s: float
    backoff_until: float


class EndpointStats:
    """The load, failures and last report of one incarnation."""

    __slots__ = (
        'ended_since_report',
        'suspected_delay_s',
        'delay_suspected_at',
        'failure_rate',
        'in_flight',
        'last_received_at',
        '_misdirected_at',
        'notice_forwarded_at',
        'report',
        '_notice_report',
        '_pace',
        '_before_silence',
        'sent_since_report',
        'backoff_s',
        'backoff_until',
        'waiting_by_level',
    )

    def __init__(self, pace: EnginePace | None = None) -> None:
        """Start without calls, failures or reports."""
        self._pace = pace or EnginePace(PaceDurations())
        self.in_flight = 0
        # Calls of this entry that wait there.
        self.waiting_by_level: dict[int, int] = {}
        self.sent_since_report = 0
        self.ended_since_report = 0
        self.failure_rate = float()
        self.backoff_s = _BACKOFF_FIRST_S
        self.backoff_until = -math.inf
        self._misdirected_at = -math.inf
        # When an attempt that has ended received anything from it.
        self.last_received_at = -math.inf
        # What held before its streams fell silent.
        self._before_silence: _BackOff | None = None
        self.report: Report | None = None
        # The last report with a notice.
        self._notice_report: Report | None = None
        # When a notice was last forwarded to the endpoint process.
        self.notice_forwarded_at = -math.inf
        # Since when reports may arrive while calls are delayed on the link, and
        # by how much; inf without such a suspicion.
        self.delay_suspected_at = math.inf
        self.suspected_delay_s = float()

    def record_report(self, report: Report) -> None:
        """Store a report; after overdue ones, suspect a slow link."""
        if self.is_overdue(report.received_at):
            self._suspect_delay(report.received_at, _OVERDUE_EXTRA_DELAY_S)
        self.report = report
        self._pace.record(report.pace, report.received_at)
        if report.notice is not None:
            self._notice_report = report
        self.sent_since_report = 0
        self.ended_since_report = 0

    def record_sent(self) -> None:
        """Record a call sent there."""
        self.in_flight += 1
        self.sent_since_report += 1

    def record_ended(self) -> None:
        """Record that a call sent there has ended."""
        self.in_flight -= 1
        self.ended_since_report += 1

    def record_start(self, sent_at: float, late_s: float) -> None:
        """Record by how many seconds a call began later than predicted.

        A call that was sent after the suspicion of a slow link and began in
        time ends the suspicion.
        """
        if (
            sent_at >= self.delay_suspected_at
            and late_s < _OVERDUE_EXTRA_DELAY_S
        ):
            self.delay_suspected_at = math.inf
            self.suspected_delay_s = 0

    def record_received(self, received_at: float) -> None:
        """Record when an attempt that has ended last received anything."""
        self.last_received_at = max(self.last_received_at, received_at)

    def record_success(self) -> None:
        """Record a good answer."""
        self.record_resumed()
        self.failure_rate -= _FAILURE_WEIGHT * self.failure_rate
        self.backoff_s = _BACKOFF_FIRST_S

    def record_failure(self) -> None:
        """Record a failed or lost answer."""
        self.failure_rate += _FAILURE_WEIGHT * (1 - self.failure_rate)

    def record_unreachable(self, now: float) -> None:
        """Back off, for twice as long each time up to a bound."""
        self.record_failure()
        self._back_off(now)

    def record_too_large(self, now: float) -> None:
        """Back off from an endpoint whose answer had no end within bounds."""
        self.record_failure()
        # It goes on, but is avoided all the same.
        self._before_silence = None
        self._set_backoff(now)

    def record_silence(self, now: float) -> None:
        """Back off from a silent endpoint, until it goes on.

        Silence is no failure: failures are forgotten by answers alone, and an
        endpoint whose streams all went elsewhere may get no more calls.
        """
        if self._before_silence is None:
            self._before_silence = _BackOff(self.backoff_s, self.backoff_until)
        elif now < self.backoff_until:
            # Streams that fall silent together show one silence.
            return
        self._back_off(now)

    def record_resumed(self) -> None:
        """Record that a silent endpoint goes on, so it is no longer avoided."""
        before = self._before_silence
        if before is not None:
            self.backoff_s = before.backoff_s
            self.backoff_until = before.backoff_until
            self._before_silence = None

    def record_misdirected(self, now: float) -> None:
        """Record that the process at the address refused a call for this one.

        It is another incarnation, or holds another version than its record
        says.
        """
        self._misdirected_at = now

    def is_misdirected(self, now: float) -> bool:
        """Return whether calls would reach another incarnation.

        The endpoint's own report that it serves a version takes precedence:
        what a single call met there may have been a change of version.
        """
        if now - self._misdirected_at >= _MISDIRECTED_S:
            return False
        report = self.report
        return report is None or not report.serving or self.is_overdue(now)

    def reported_notice(self, incarnation_mark: int, now: float) -> Notice:
        """Return the notice of an incarnation in recent reports, if any."""
        report = self._recent_notice_report(now)
        if report is None or report.notice_mark != incarnation_mark:
            return Notice()
        return report.notice or Notice()

    def quota(self, now: float) -> float:
        """Return this entry's share of a rate limit; 0 if no report says."""
        report = self._recent_notice_report(now)
        return 0 if report is None or self.is_overdue(now) else report.quota

    def is_overdue(self, now: float) -> bool:
        """Return whether an engine has stopped reporting."""
        report = self.report
        return report is not None and report.is_overdue(now)

    def reported_within(self, span_s: float, now: float) -> bool:
        """Return whether the last report came within a number of seconds."""
        report = self.report
        return report is not None and now - report.received_at <= span_s

    def reporting(self, now: float) -> Reporting:
        """Return whether an engine reports, has stopped, or never did."""
        if self.report is None:
            return Reporting.NEVER
        return Reporting.STOPPED if self.is_overdue(now) else Reporting.FRESH

    def extra_link_delay_s(self, now: float) -> float:
        """Return how much longer than usual the link delay may be."""
        report = self.report
        if report is None:
            return 0
        extra_s = max(0, report.link_delay_s - _USUAL_LINK_DELAY_S)
        extra_s = max(extra_s, self.suspected_delay_s)
        if self.is_overdue(now):
            extra_s = max(extra_s, _OVERDUE_EXTRA_DELAY_S)
        return min(extra_s, _MAX_EXTRA_DELAY_S)

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the last report is recent enough to count."""
        report = self.report
        return report is not None and report.is_fresh(now)

    def pace(self, now: float) -> float:
        """Return the pace last reported; 1 if that is too long ago."""
        return self._pace.pace if self.has_fresh_report(now) else 1

    def is_slow(self, now: float) -> bool:
        """Return whether the engine currently reports that it is slow.

        A silent stream of such an engine is no sign of a failure.
        """
        return self._pace.is_slow and not self.is_overdue(now)

    def paced_s(self, usual_s: float, lag_s: float, now: float) -> float:
        """Return the seconds for what takes `usual_s` at the usual pace.

        A report is `lag_s` old when it is received.
        """
        if self._pace.is_usual or not self.has_fresh_report(now):
            return usual_s
        return self._pace.expected_s(usual_s, lag_s, now)

    def count_waiting(self, level: int, change: int) -> None:
        """Change the number of this entry's calls of a level that wait."""
        waiting = self.waiting_by_level.get(level, 0) + change
        self.waiting_by_level[level] = waiting

    def share_ahead(
        self, level: int, mix: Mapping[int, float] = NO_MIX
    ) -> float:
        """Return the share of waiting calls that run before a new one.

        These are the calls of the same or a more urgent level. An engine
        reports only how many calls wait, so the share is estimated from this
        entry's own calls. `mix` adds assumed waiting calls by level, learned
        at all engines.
        """
        counts = (*self.waiting_by_level.items(), *mix.items())
        total = sum(count for _, count in counts)
        ahead = sum(count for known, count in counts if known <= level)
        return ahead / total if ahead < total else 1

    def estimate_work(self, now: float) -> tuple[float, int]:
        """Estimate the calls that wait and the calls that run there."""
        report = self.report
        if report is None or not self.has_fresh_report(now):
            return 0, self.in_flight
        waiting = max(0, report.waiting - self.ended_since_report)
        running = report.running - max(
            0, self.ended_since_report - report.waiting
        )
        total = max(
            self.in_flight, waiting + self.sent_since_report + max(0, running)
        )
        running = min(total, max(0, running))
        return total - running, running

    def _recent_notice_report(self, now: float) -> Report | None:
        report = self._notice_report
        if report is None or now - report.received_at > _NOTICE_VALID_S:
            return None
        return report

    def _back_off(self, now: float) -> None:
        self._suspect_delay(now, _MAX_EXTRA_DELAY_S)
        self._set_backoff(now)

    def _set_backoff(self, now: float) -> None:
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(_BACKOFF_MAX_S, self.backoff_s * 2)

    def _suspect_delay(self, now: float, delay_s: float) -> None:
        """Assume a slow link until a call that is sent later begins in time."""
        self.delay_suspected_at = now
        self.suspected_delay_s = max(self.suspected_delay_s, delay_s)
