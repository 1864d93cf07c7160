"""What this entry knows of an endpoint beside the list; no I/O or clock."""

import dataclasses
import enum
import math

from linnetwood.calls.notices import Notice

_FAILURE_WEIGHT = 0.2
_REPORT_FRESH_S = 1.5
# Some reports are lost: an engine is silent when three of them are, and fresh
# a little longer than that. At the usual pace, ten a second, this is 0.4 s.
_MAX_MISSED_REPORTS = 3
_OVERDUE_MARGIN_S = 0.1
_USUAL_INTERVAL_S = 0.1
# So long a whole link of a VM beside an engine takes for the chunks that are
# under way on it (five of 54 ms): the entries' margins allow for that.
_USUAL_LINK_DELAY_S = 0.3
# What is allowed for the way to an endpoint whose reports have stopped, also
# when they come again: two chunks on the narrowest link that was met.
_OVERDUE_EXTRA_DELAY_S = 0.8
# More is not believed of any way: calls took up to 2 s to arrive on narrowed
# links (measured), 0.3 s of which is usual.
_MAX_EXTRA_DELAY_S = 1.7
_BACKOFF_FIRST_S = 0.5
# Two rounds in which a process tells what answers said.
_NOTICE_VALID_S = 9.0
_BACKOFF_MAX_S = 4.0


class Reporting(enum.IntEnum):
    """Say whether an engine reports; the less, the later it is chosen."""

    FRESH = 0
    STOPPED = 1
    NEVER = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """An engine's own word on its work, heard at a time."""

    waiting: int
    running: int
    serving: int
    changing: bool
    received_at: float
    link_delay_s: float = 0
    # When the next one is due, from this one.
    interval_s: float = _USUAL_INTERVAL_S
    # What other entries' answers said last, the mark of the life of which it
    # was said, and when.
    notice: Notice | None = None
    notice_mark: int = 0
    notice_at: float = -math.inf
    # Of what it takes from all entries, what this one may send while it names a
    # limit; 0 where that is not told.
    quota: float = 0

    def is_overdue(self, now: float) -> bool:
        """Tell whether reports that were due have not come."""
        return (
            now - self.received_at
            > _MAX_MISSED_REPORTS * self.interval_s + _OVERDUE_MARGIN_S
        )

    def is_fresh(self, now: float) -> bool:
        """Tell whether it is young enough to count."""
        limit_s = max(
            _REPORT_FRESH_S, (_MAX_MISSED_REPORTS + 1) * self.interval_s
        )
        return now - self.received_at < limit_s


class EndpointStats:
    """One endpoint's load, failures and last report."""

    __slots__ = (
        'ended_since_report',
        'suspected_delay_s',
        'delay_suspected_at',
        'failure_rate',
        'in_flight',
        'late_waiting',
        'notice_forwarded_at',
        'report',
        '_notice_report',
        'sent_since_report',
        'backoff_s',
        'backoff_until',
        'urgent_waiting',
    )

    def __init__(self) -> None:
        """Know nothing bad."""
        self.in_flight = 0
        self.late_waiting = 0
        self.urgent_waiting = 0
        self.sent_since_report = 0
        self.ended_since_report = 0
        self.failure_rate = float()
        self.backoff_s = _BACKOFF_FIRST_S
        self.backoff_until = -math.inf
        self.report: Report | None = None
        # The last one that told what its answers say.
        self._notice_report: Report | None = None
        # When the process beside it was told what its answers say.
        self.notice_forwarded_at = -math.inf
        # Since when it may be that reports come and calls wait on the way, and
        # for how long; inf where nothing says so.
        self.delay_suspected_at = math.inf
        self.suspected_delay_s = float()

    def record_report(self, report: Report) -> None:
        """Take in the engine's own word; after a silence, as one in doubt."""
        if self.is_overdue(report.received_at):
            self._suspect_delay(report.received_at, _OVERDUE_EXTRA_DELAY_S)
        self.report = report
        if report.notice is not None:
            self._notice_report = report
        self.sent_since_report = 0
        self.ended_since_report = 0

    def record_sent(self) -> None:
        """Note a call sent there."""
        self.in_flight += 1
        self.sent_since_report += 1

    def record_ended(self) -> None:
        """Note that a call sent there is over."""
        self.in_flight -= 1
        self.ended_since_report += 1

    def record_start(self, sent_at: float, late_s: float) -> None:
        """Note that a call began so much later than predicted.

        One that was sent since, and waited no longer, ends the doubt.
        """
        if (
            sent_at >= self.delay_suspected_at
            and late_s < _OVERDUE_EXTRA_DELAY_S
        ):
            self.delay_suspected_at = math.inf
            self.suspected_delay_s = 0

    def record_success(self) -> None:
        """Note a good answer."""
        self.failure_rate -= _FAILURE_WEIGHT * self.failure_rate
        self.backoff_s = _BACKOFF_FIRST_S

    def record_failure(self) -> None:
        """Note an answer that was none."""
        self.failure_rate += _FAILURE_WEIGHT * (1 - self.failure_rate)

    def record_unreachable(self, now: float) -> None:
        """Send nothing for a while, longer each time."""
        self.record_failure()
        self._suspect_delay(now, _MAX_EXTRA_DELAY_S)
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(_BACKOFF_MAX_S, self.backoff_s * 2)

    def reported_notice(self, incarnation_mark: int, now: float) -> Notice:
        """Give what the process beside an engine tells of one life."""
        report = self._recent_notice_report(now)
        if report is None or report.notice_mark != incarnation_mark:
            return Notice()
        return report.notice or Notice()

    def quota(self, now: float) -> float:
        """Give what this entry may send of a limit; 0 where nobody says."""
        report = self._recent_notice_report(now)
        return 0 if report is None or self.is_overdue(now) else report.quota

    def is_overdue(self, now: float) -> bool:
        """Tell whether an engine that reported has stopped to."""
        report = self.report
        return report is not None and report.is_overdue(now)

    def reported_within(self, span_s: float, now: float) -> bool:
        """Tell whether the last report came within a time."""
        report = self.report
        return report is not None and now - report.received_at <= span_s

    def reporting(self, now: float) -> Reporting:
        """Tell whether an engine reports, has stopped to, or never did."""
        if self.report is None:
            return Reporting.NEVER
        return Reporting.STOPPED if self.is_overdue(now) else Reporting.FRESH

    def extra_link_delay_s(self, now: float) -> float:
        """Give by how much longer than usual the way there may take."""
        report = self.report
        if report is None:
            return 0
        extra_s = max(0, report.link_delay_s - _USUAL_LINK_DELAY_S)
        extra_s = max(extra_s, self.suspected_delay_s)
        if self.is_overdue(now):
            extra_s = max(extra_s, _OVERDUE_EXTRA_DELAY_S)
        return min(extra_s, _MAX_EXTRA_DELAY_S)

    def has_fresh_report(self, now: float) -> bool:
        """Tell whether the report is young enough to count."""
        report = self.report
        return report is not None and report.is_fresh(now)

    def urgent_share(self) -> float:
        """Give the part of those waiting that go before late calls.

        An engine tells only how many wait; others send as this entry does.
        """
        own_waiting = self.urgent_waiting + self.late_waiting
        return self.urgent_waiting / own_waiting if self.late_waiting else 1

    def estimate_work(self, now: float) -> tuple[float, int]:
        """Estimate the calls that wait and the calls that run."""
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

    def _suspect_delay(self, now: float, delay_s: float) -> None:
        """Take the way for slow until a call that is sent later begins."""
        self.delay_suspected_at = now
        self.suspected_delay_s = max(self.suspected_delay_s, delay_s)
