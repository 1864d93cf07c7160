"""Keep to the rate limits that endpoints name, shared by all entries; no I/O.

An overloaded endpoint names how many calls per second it takes from all entries
together. Entries that each keep to the limit alone would exceed it: 18 entries
with 1 call each in 4 s send 18 calls where a limit of 1 per second allows 11.
So each entry has a quota, a share of the limit, and paces its calls by it:

- The endpoint process beside an engine assigns quotas to the entries that are
  subscribed to its reports, which send most of its calls, and leaves a part
  of the limit unassigned.
- All other entries, and all entries of an endpoint without such a process, use
  equal quotas by the number of entries.

A quota needs no message from other entries, so it also holds in zones that are
cut off. Every call counts: second attempts, resumed streams, and calls that
find out whether the limit still stands.
"""

import dataclasses
from collections.abc import Callable
from random import Random

from linnetwood.calls.directory import Endpoint
from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.calls.notices import Notices
from linnetwood.calls.routetable import Service
from linnetwood.calls.sendpacer import SendPacer
from linnetwood.fleet.reportsubscribers import UNSUBSCRIBED_SHARE

# Shares of the limit to use: 1.5 times the limit plus 5 calls is allowed. A few
# entries send evenly; with many small quotas, chance needs a larger reserve.
_USED_SHARE = 0.75
_USED_SHARE_SMALL_QUOTA = 0.5
# Smaller quotas than this share of the limit count as small: about that of one
# of 36 entries.
_SMALL_QUOTA_SHARE = 0.03
# An unused send time is valid for this long: calls are counted over 4 s.
_MAX_LATE_S = 1.0
# An endpoint with a limit of 0 gets a call now and then, since otherwise no
# entry would learn that it takes calls again.
_MIN_CALLS_PER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitTarget:
    """An endpoint of a service, and its statistics."""

    service: Service
    endpoint: Endpoint
    stats: EndpointStats


class RateLimits:
    """Pace the calls that this entry sends to rate-limited endpoints."""

    __slots__ = ('_entry_count', '_notices', '_pacer')

    def __init__(
        self,
        notices: Notices,
        rng: Random,
        entry_count: Callable[[], int],
    ) -> None:
        """Use the limits in notices, shared by the given number of entries."""
        self._notices = notices
        self._entry_count = entry_count
        self._pacer = SendPacer(rng, _MAX_LATE_S)

    def available_at(self, target: RateLimitTarget, now: float) -> float:
        """Return when a call may be sent to an endpoint; now if unlimited."""
        incarnation_id = target.endpoint.incarnation_id
        limit_per_s = self._notices.latest(incarnation_id).limit_per_s
        if limit_per_s is None:
            return now
        interval_s = self._interval_s(limit_per_s, target, now)
        return max(
            now, self._pacer.next_send_at(incarnation_id, interval_s, now)
        )

    def record_sent(self, target: RateLimitTarget, now: float) -> None:
        """Record that a call is sent there."""
        incarnation_id = target.endpoint.incarnation_id
        limit_per_s = self._notices.latest(incarnation_id).limit_per_s
        if limit_per_s is not None:
            interval_s = self._interval_s(limit_per_s, target, now)
            self._pacer.schedule_next(incarnation_id, interval_s, now)

    def forget_unlisted(self, listed_ids: set[str]) -> None:
        """Forget the incarnations that are no longer listed."""
        self._pacer.forget_unlisted(listed_ids)

    def _interval_s(
        self,
        limit_per_s: float,
        target: RateLimitTarget,
        now: float,
    ) -> float:
        quota = self._quota(target, now)
        used_share = (
            _USED_SHARE_SMALL_QUOTA
            if quota < _SMALL_QUOTA_SHARE
            else _USED_SHARE
        )
        return 1 / (max(limit_per_s, _MIN_CALLS_PER_S) * used_share * quota)

    def _quota(self, target: RateLimitTarget, now: float) -> float:
        """Return this entry's share of an endpoint's limit."""
        equal_share = 1 / max(1, self._entry_count())
        if target.service.engine is None:
            return equal_share
        return target.stats.quota(now) or equal_share * UNSUBSCRIBED_SHARE
