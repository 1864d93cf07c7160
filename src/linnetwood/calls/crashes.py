"""Which calls endpoints crashed under, and which are refused; no I/O or clock.

Load pattern: a call that ends each endpoint that begins to run it comes again
twice a second, at any entry and with an id of its own each time. With it end
the 8 to 18 calls beside it (counted), each of which looks as guilty the first
time. So a call is refused once two lives have ended under calls like it, with
no answer to any of them since: a call that ends every endpoint is never
answered, and one that was only near by nearly always is, elsewhere, before a
second endpoint ends under it. With two attempts a call, two lives are those of
its first coming: a limit of three would cost one endpoint more each time, and
save only calls that were near by twice.

Where many endpoints end together, calls that everybody sends lose an answer at
each of them at once. Those that were answered before are tried again, one at a
time, as soon as ends come no longer: else none of them could clear the others.
"""

import hashlib
import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

# So many lives may end under calls that are alike before these are refused.
ENDS_BORNE = 2
# From the last end on; then one such call is tried, alone. It costs at most
# one endpoint in so long, and twice as long each time that it ends one.
REFUSED_FIRST_S = 60.0
REFUSED_MOST_S = 600.0
# Calls like one that was answered before are tried this soon. If ends go on for
# longer than the second, the answer says nothing of what such calls do now.
REFUSED_ANSWERED_S = 1.0
TRUSTED_ANSWERED_S = 1.5
# So long nobody else tries meanwhile: callers wait no longer for an answer.
_TRIED_S = 10.0
# An end that nobody confirmed for so long counts no more; the store forgets it
# by then, too.
FORGOTTEN_S = 600.0
# As many as 250 endpoints leave that crash with 16 calls each; the oldest go.
_MOST_KEPT = 4096
_INCARNATION_BYTES = 8
# What everybody sends is answered at least once in so many calls.
_MOST_ANSWERED = 1024


class End(NamedTuple):
    """One life of an endpoint that ended under calls that are alike."""

    likeness: str
    incarnation_id: str


def incarnation_digest(incarnation_id: str) -> str:
    """Give a short name of a life, whatever the length of its own."""
    digest = hashlib.blake2b(
        incarnation_id.encode(), digest_size=_INCARNATION_BYTES
    )
    return digest.hexdigest()


class _Suspect:
    """Lives that ended under calls that are alike, and when."""

    __slots__ = ('answered_before', 'ended_at', 'shared', 'tried_until')

    def __init__(self, *, answered_before: bool) -> None:
        self.answered_before = answered_before
        self.ended_at: dict[str, float] = {}
        # Those of them that all entries can read.
        self.shared: set[str] = set()
        self.tried_until = float()

    @property
    def refused(self) -> bool:
        return len(self.ended_at) >= ENDS_BORNE

    @property
    def refused_until(self) -> float:
        ended_at = sorted(self.ended_at.values())
        if self.answered_before:
            since = ended_at[ENDS_BORNE - 1]
            if ended_at[-1] - since < TRUSTED_ANSWERED_S:
                return ended_at[-1] + REFUSED_ANSWERED_S
        more = len(ended_at) - ENDS_BORNE
        refused_s = min(REFUSED_MOST_S, math.ldexp(REFUSED_FIRST_S, more))
        return ended_at[-1] + refused_s


class Crashes:
    """Hold the calls under which endpoints ended, as far as is known here."""

    __slots__ = ('_answered', '_suspects')

    def __init__(self) -> None:
        """Suspect nobody."""
        self._suspects: dict[str, _Suspect] = {}
        # The newest stand last.
        self._answered: dict[str, None] = {}

    def ends(self, likeness: str) -> int:
        """Give how many lives ended under calls like this."""
        suspect = self._suspects.get(likeness)
        return len(suspect.ended_at) if suspect else 0

    def wait_s(self, likeness: str, now: float) -> float:
        """Give for how long a call is refused; with 0 it may go."""
        suspect = self._suspects.get(likeness)
        if suspect is None or not suspect.refused:
            return 0
        return max(0, max(suspect.refused_until, suspect.tried_until) - now)

    def goes(self, likeness: str, now: float) -> None:
        """Note that a call goes; after a refusal it is tried alone.

        Others like it are refused until it is over.
        """
        suspect = self._suspects.get(likeness)
        if suspect is not None and suspect.refused:
            suspect.tried_until = now + _TRIED_S

    def may_go_again(self, likeness: str) -> bool:
        """Tell whether a call may be sent to a second endpoint."""
        return self.ends(likeness) < ENDS_BORNE

    def ended(self, end: End, at: float, *, shared: bool = False) -> bool:
        """Take in an end; tell whether it is news."""
        suspect = self._suspects.pop(end.likeness, None) or _Suspect(
            answered_before=end.likeness in self._answered,
        )
        # The newest stand last.
        self._suspects[end.likeness] = suspect
        while len(self._suspects) > _MOST_KEPT:
            self._suspects.pop(next(iter(self._suspects)))
        news = end.incarnation_id not in suspect.ended_at
        if news:
            # What was tried has ended, here or at another entry.
            suspect.tried_until = float()
        known_at = suspect.ended_at.get(end.incarnation_id, at)
        suspect.ended_at[end.incarnation_id] = min(known_at, at)
        if shared:
            suspect.shared.add(end.incarnation_id)
        return news

    def withdrawn(self, end: End) -> None:
        """Take in that an end counts no more for all entries."""
        suspect = self._suspects.get(end.likeness)
        if suspect is not None:
            suspect.ended_at.pop(end.incarnation_id, None)
            suspect.shared.discard(end.incarnation_id)
            self._drop_if_clear(end.likeness, suspect)

    def replaced(self, ends: Iterable[tuple[End, float]]) -> None:
        """Take in all ends that entries share now, and since when."""
        fresh = dict(ends)
        for end in tuple(self._all_shared()):
            if end not in fresh:
                self.withdrawn(end)
        for end, at in fresh.items():
            self.ended(end, at, shared=True)

    def answered(self, likeness: str) -> list[End]:
        """Clear calls that are alike; give the ends that were held."""
        self._answered.pop(likeness, None)
        self._answered[likeness] = None
        if len(self._answered) > _MOST_ANSWERED:
            self._answered.pop(next(iter(self._answered)))
        suspect = self._suspects.pop(likeness, None)
        if suspect is None:
            return []
        return [
            End(likeness, incarnation_id) for incarnation_id in suspect.ended_at
        ]

    def expire(self, now: float) -> None:
        """Forget what ended too long ago."""
        for likeness, suspect in tuple(self._suspects.items()):
            suspect.ended_at = {
                incarnation_id: at
                for incarnation_id, at in suspect.ended_at.items()
                if now - at < FORGOTTEN_S
            }
            self._drop_if_clear(likeness, suspect)

    def _drop_if_clear(self, likeness: str, suspect: _Suspect) -> None:
        if not suspect.ended_at:
            self._suspects.pop(likeness)

    def _all_shared(self) -> Iterator[End]:
        for likeness, suspect in self._suspects.items():
            for incarnation_id in suspect.shared:
                yield End(likeness, incarnation_id)
