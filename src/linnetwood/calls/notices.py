"""What endpoints report of themselves in their answers; no I/O or clock.

Notices are stored by incarnation: a restarted endpoint reports anew.
"""

import dataclasses
import math
from collections.abc import Collection

# An endpoint that the list has dropped may be listed again, also after a long
# outage of the store: its last notice is kept until then.
_FORGET_AFTER_S = 600.0
# A longer pause is cut to this, since the value may be an error.
_MAX_RETRY_AFTER_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What the head of an answer says of the endpoint that gave it."""

    # Calls per second that it takes from all entries; None without a limit.
    limit_per_s: float | None = None
    # It takes no new calls any more.
    leaving: bool = False
    # The pause in seconds that it requests from the entry that it refused.
    retry_after_s: float = 0
    # The text that could not be parsed, truncated.
    unreadable: str = ''
    # Whether a limit that is not named has ended. Only an answer to a call that
    # ran shows that, since a refusal may leave headers out.
    complete: bool = False


class Notices:
    """Hold the latest notice of each incarnation."""

    __slots__ = ('_received_at', '_paused_until', '_notices')

    def __init__(self) -> None:
        """Start without notices."""
        self._notices: dict[str, Notice] = {}
        self._received_at: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no endpoint has a notice, as is usual."""
        return not (self._notices or self._paused_until)

    def record(self, incarnation_id: str, notice: Notice, now: float) -> bool:
        """Store the notice of an answer that came at a time.

        Return whether it changes anything. Of a notice that is older than the
        stored one only the leaving counts, because leaving is final.
        """
        received_at = self._received_at.get(incarnation_id, now)
        if now < received_at:
            notice = Notice(leaving=notice.leaving)
        known = self.latest(incarnation_id)
        merged = _merge(known, notice)
        if merged != _EMPTY or incarnation_id in self._notices:
            self._notices[incarnation_id] = merged
            self._received_at[incarnation_id] = max(now, received_at)
        return (
            self._record_pause(incarnation_id, notice, now) or merged != known
        )

    def latest(self, incarnation_id: str) -> Notice:
        """Return the latest notice of an incarnation."""
        return self._notices.get(incarnation_id, _EMPTY)

    def available_at(self, incarnation_id: str) -> float:
        """Return when an incarnation next takes calls; inf for never."""
        if self.latest(incarnation_id).leaving:
            return math.inf
        return self._paused_until.get(incarnation_id, -math.inf)

    def forget_unlisted(self, listed_ids: Collection[str], now: float) -> None:
        """Forget old pauses, and old notices of unlisted incarnations."""
        for known_id, received_at in list(self._received_at.items()):
            if (
                known_id not in listed_ids
                and now - received_at > _FORGET_AFTER_S
            ):
                self._received_at.pop(known_id)
                self._notices.pop(known_id)
        self._paused_until = {
            incarnation_id: until
            for incarnation_id, until in self._paused_until.items()
            if until > now
        }

    def _record_pause(
        self, incarnation_id: str, notice: Notice, now: float
    ) -> bool:
        """Store a requested pause; return whether it begins now.

        A later answer that asks for a shorter pause doesn't shorten it, since
        it may answer a call that was sent before the pause.
        """
        if not notice.retry_after_s:
            return False
        known_until = self._paused_until.get(incarnation_id, -math.inf)
        until = now + min(notice.retry_after_s, _MAX_RETRY_AFTER_S)
        self._paused_until[incarnation_id] = max(known_until, until)
        return known_until <= now


def _merge(known: Notice, notice: Notice) -> Notice:
    """Combine the stored notice with that of a new answer.

    Leaving is final: an answer without it was begun before the endpoint left.
    """
    limit_per_s = notice.limit_per_s
    if limit_per_s is None and (notice.unreadable or not notice.complete):
        limit_per_s = known.limit_per_s
    leaving = known.leaving or notice.leaving
    unreadable = notice.unreadable or known.unreadable
    return Notice(limit_per_s, leaving, unreadable=unreadable)


_EMPTY = Notice()
