"""What endpoints say of themselves in their answers; no I/O or clock.

It is kept by the life of an endpoint: one that starts again says it anew.
"""

import dataclasses
import math
from collections.abc import Collection

# An endpoint that the list loses may be told of again, also after a long outage
# of the store: so long what it said last is kept.
_FORGET_AFTER_S = 600.0
# A longer rest is taken for one of this: what it said may be in error.
_MAX_RETRY_AFTER_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What the head of one answer says of the endpoint that gave it."""

    # Calls a second that it takes from all entries; None where it names none.
    limit_per_s: float | None = None
    # It takes nothing new any more.
    leaving: bool = False
    # So long it wants nothing from the entry that it has turned away.
    retry_after_s: float = 0
    # What could not be read, cut short.
    unreadable: str = ''
    # Whether what it does not say holds no longer: only a call that ran shows
    # that, since a refusal may leave things out.
    complete: bool = False


class Notices:
    """Hold what each life said last."""

    __slots__ = ('_received_at', '_paused_until', '_notices')

    def __init__(self) -> None:
        """Have heard nothing."""
        self._notices: dict[str, Notice] = {}
        self._received_at: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Tell whether no endpoint says anything, as is usual."""
        return not (self._notices or self._paused_until)

    def record(self, incarnation_id: str, notice: Notice, now: float) -> bool:
        """Take in the word of an answer that came at a time.

        Tell whether it says anything new. Of one that is older than what is
        known only the leaving counts, which nothing ends.
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
        """Give what a life said last."""
        return self._notices.get(incarnation_id, _EMPTY)

    def available_at(self, incarnation_id: str) -> float:
        """Give from when on a life takes calls at all; inf for never again."""
        if self.latest(incarnation_id).leaving:
            return math.inf
        return self._paused_until.get(incarnation_id, -math.inf)

    def forget_unlisted(self, listed_ids: Collection[str], now: float) -> None:
        """Forget all others that said nothing for a while."""
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
        """Note a rest that is asked for; tell whether it begins with this.

        A later answer that asks for less shortens none: it may have been given
        to a call that was under way before.
        """
        if not notice.retry_after_s:
            return False
        known_until = self._paused_until.get(incarnation_id, -math.inf)
        until = now + min(notice.retry_after_s, _MAX_RETRY_AFTER_S)
        self._paused_until[incarnation_id] = max(known_until, until)
        return known_until <= now


def _merge(known: Notice, notice: Notice) -> Notice:
    """Give what holds after an answer, by what held before.

    A life that leaves does so for good: an answer without that word was begun
    before it.
    """
    limit_per_s = notice.limit_per_s
    if limit_per_s is None and (notice.unreadable or not notice.complete):
        limit_per_s = known.limit_per_s
    leaving = known.leaving or notice.leaving
    unread = notice.unreadable or known.unreadable
    return Notice(limit_per_s, leaving, unreadable=unread)


_EMPTY = Notice()
