"""Hold to the limits that endpoints name, shared by all entries; no I/O.

An endpoint in need names how many calls a second it takes from all entries
together. Each entry that obeys alone would break that: 18 entries with one call
each in 4 s are 18 where a limit of 1 a second allows 11. So an endpoint is sent
to by turns whose pauses add up to less than its limit, whoever sends:

- The process beside an engine hands out parts to the entries that hear it, who
  send most of its calls, and leaves some for the others.
- The others, and all entries before an endpoint without such a process, take
  equal parts by how many entries there are.

A part needs no word of anybody else, so it holds in zones that are cut off.
Every call takes a turn: second tries, resumed streams and calls that find out
whether the limit still stands.
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

# Of the limit: half as much again is allowed, and five calls. Few entries come
# in even turns; where many have small parts, chance needs more of what is left.
_USED_SHARE = 0.75
_USED_SHARE_SMALL_QUOTA = 0.5
# Of the whole: about that of one of three dozen entries.
_SMALL_QUOTA_SHARE = 0.03
# A turn is kept for so long: what is allowed counts within four seconds.
_MAX_LATE_S = 1.0
# An endpoint that takes nothing gets a call now and then: else nobody would
# hear that it takes some again.
_MIN_CALLS_PER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitTarget:
    """An endpoint of a service, and what is known of it."""

    service: Service
    endpoint: Endpoint
    stats: EndpointStats


class RateLimits:
    """Tell when this entry may send to an endpoint that names a limit."""

    __slots__ = ('_entry_count', '_notices', '_pacer')

    def __init__(
        self,
        notices: Notices,
        rng: Random,
        entry_count: Callable[[], int],
    ) -> None:
        """Follow what endpoints say; know how many entries there are."""
        self._notices = notices
        self._entry_count = entry_count
        self._pacer = SendPacer(rng, _MAX_LATE_S)

    def available_at(self, target: RateLimitTarget, now: float) -> float:
        """Give from when on a call may go to an endpoint; now for any time."""
        incarnation_id = target.endpoint.incarnation_id
        limit_per_s = self._notices.latest(incarnation_id).limit_per_s
        if limit_per_s is None:
            return now
        interval_s = self._interval_s(limit_per_s, target, now)
        return max(
            now, self._pacer.next_send_at(incarnation_id, interval_s, now)
        )

    def record_sent(self, target: RateLimitTarget, now: float) -> None:
        """Note that a call goes there."""
        incarnation_id = target.endpoint.incarnation_id
        limit_per_s = self._notices.latest(incarnation_id).limit_per_s
        if limit_per_s is not None:
            interval_s = self._interval_s(limit_per_s, target, now)
            self._pacer.schedule_next(incarnation_id, interval_s, now)

    def forget_unlisted(self, listed_ids: set[str]) -> None:
        """Forget all others."""
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
        """Give the part of an endpoint's limit that is this entry's."""
        equal_share = 1 / max(1, self._entry_count())
        if target.service.engine is None:
            return equal_share
        return target.stats.quota(now) or equal_share * UNSUBSCRIBED_SHARE
