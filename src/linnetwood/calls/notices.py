"""What endpoints say of themselves in their answers; no I/O or clock.

It is kept by the life of an endpoint: one that starts again says it anew.
"""

import dataclasses
import math
from collections.abc import Collection

# An endpoint that the list loses may be told of again, also after a long outage
# of the store: so long what it said last is kept.
_KEPT_S = 600.0
# A longer rest is taken for one of this: what it said may be in error.
_REST_MOST_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What the head of one answer says of the endpoint that gave it."""

    # Calls a second that it takes from all entries; None where it names none.
    limit_per_s: float | None = None
    # It takes nothing new any more.
    leaving: bool = False
    # So long it wants nothing from the entry that it has turned away.
    rest_s: float = 0
    # What could not be read, cut short.
    unread: str = ''
    # Whether what it does not say holds no longer: only a call that ran shows
    # that, since a refusal may leave things out.
    complete: bool = False


class Notices:
    """Hold what each life said last."""

    __slots__ = ('_heard_at', '_rests_until', '_said')

    def __init__(self) -> None:
        """Have heard nothing."""
        self._said: dict[str, Notice] = {}
        self._heard_at: dict[str, float] = {}
        self._rests_until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Tell whether no endpoint says anything, as is usual."""
        return not (self._said or self._rests_until)

    def heard(self, life: str, notice: Notice, now: float) -> bool:
        """Take in the word of an answer that came at a time.

        Tell whether it says anything new. Of one that is older than what is
        known only the leaving counts, which nothing ends.
        """
        heard_at = self._heard_at.get(life, now)
        if now < heard_at:
            notice = Notice(leaving=notice.leaving)
        known = self.of(life)
        fresh = _joined(known, notice)
        if fresh != _NOTHING or life in self._said:
            self._said[life] = fresh
            self._heard_at[life] = max(now, heard_at)
        return self._rests(life, notice, now) or fresh != known

    def of(self, life: str) -> Notice:
        """Give what a life said last."""
        return self._said.get(life, _NOTHING)

    def opens_at(self, life: str) -> float:
        """Give from when on a life takes calls at all; inf for never again."""
        if self.of(life).leaving:
            return math.inf
        return self._rests_until.get(life, -math.inf)

    def keep(self, lives: Collection[str], now: float) -> None:
        """Forget all others that said nothing for a while."""
        for known, heard_at in list(self._heard_at.items()):
            if known not in lives and now - heard_at > _KEPT_S:
                self._heard_at.pop(known)
                self._said.pop(known)
        self._rests_until = {
            life: until
            for life, until in self._rests_until.items()
            if until > now
        }

    def _rests(self, life: str, notice: Notice, now: float) -> bool:
        """Note a rest that is asked for; tell whether it begins with this.

        A later answer that asks for less shortens none: it may have been given
        to a call that was under way before.
        """
        if not notice.rest_s:
            return False
        known = self._rests_until.get(life, -math.inf)
        until = now + min(notice.rest_s, _REST_MOST_S)
        self._rests_until[life] = max(known, until)
        return known <= now


def _joined(known: Notice, notice: Notice) -> Notice:
    """Give what holds after an answer, by what held before.

    A life that leaves does so for good: an answer without that word was begun
    before it.
    """
    limit_per_s = notice.limit_per_s
    if limit_per_s is None and (notice.unread or not notice.complete):
        limit_per_s = known.limit_per_s
    leaving = known.leaving or notice.leaving
    unread = notice.unread or known.unread
    return Notice(limit_per_s, leaving, unread=unread)


_NOTHING = Notice()
