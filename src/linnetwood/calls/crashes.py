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
REFUSE_AFTER_CRASHES = 2
# From the last end on; then one such call is tried, alone. It costs at most
# one endpoint in so long, and twice as long each time that it ends one.
REFUSAL_FIRST_S = 60.0
REFUSAL_MAX_S = 600.0
# Calls like one that was answered before are tried this soon. If ends go on for
# longer than the second, the answer says nothing of what such calls do now.
REFUSAL_ANSWERED_S = 1.0
ANSWER_TRUST_S = 1.5
# So long nobody else tries meanwhile: callers wait no longer for an answer.
_TRIAL_S = 10.0
# An end that nobody confirmed for so long counts no more; the store forgets it
# by then, too.
CRASH_RECORD_TTL_S = 600.0
# As many as 250 endpoints leave that crash with 16 calls each; the oldest go.
_MAX_SUSPECTS = 4096
_INCARNATION_BYTES = 8
# What everybody sends is answered at least once in so many calls.
_MAX_ANSWERED = 1024


class CrashRecord(NamedTuple):
    """One life of an endpoint that ended under calls that are alike."""

    fingerprint: str
    incarnation_id: str


def incarnation_digest(incarnation_id: str) -> str:
    """Give a short name of a life, whatever the length of its own."""
    digest = hashlib.blake2b(
        incarnation_id.encode(), digest_size=_INCARNATION_BYTES
    )
    return digest.hexdigest()


class _Suspect:
    """Lives that ended under calls that are alike, and when."""

    __slots__ = ('answered_before', 'crashed_at', 'shared', 'trial_until')

    def __init__(self, *, answered_before: bool) -> None:
        self.answered_before = answered_before
        self.crashed_at: dict[str, float] = {}
        # Those of them that all entries can read.
        self.shared: set[str] = set()
        self.trial_until = float()

    @property
    def is_refused(self) -> bool:
        return len(self.crashed_at) >= REFUSE_AFTER_CRASHES

    @property
    def refused_until(self) -> float:
        crashed_at = sorted(self.crashed_at.values())
        if self.answered_before:
            since = crashed_at[REFUSE_AFTER_CRASHES - 1]
            if crashed_at[-1] - since < ANSWER_TRUST_S:
                return crashed_at[-1] + REFUSAL_ANSWERED_S
        more = len(crashed_at) - REFUSE_AFTER_CRASHES
        refused_s = min(REFUSAL_MAX_S, math.ldexp(REFUSAL_FIRST_S, more))
        return crashed_at[-1] + refused_s


class CrashHistory:
    """Hold the calls under which endpoints ended, as far as is known here."""

    __slots__ = ('_answered', '_suspects')

    def __init__(self) -> None:
        """Suspect nobody."""
        self._suspects: dict[str, _Suspect] = {}
        # The newest stand last.
        self._answered: dict[str, None] = {}

    def crash_count(self, fingerprint: str) -> int:
        """Give how many lives ended under calls like this."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.crashed_at) if suspect else 0

    def refused_for_s(self, fingerprint: str, now: float) -> float:
        """Give for how long a call is refused; with 0 it may go."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_refused:
            return 0
        return max(0, max(suspect.refused_until, suspect.trial_until) - now)

    def note_admitted(self, fingerprint: str, now: float) -> None:
        """Note that a call goes; after a refusal it is tried alone.

        Others like it are refused until it is over.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.is_refused:
            suspect.trial_until = now + _TRIAL_S

    def may_retry(self, fingerprint: str) -> bool:
        """Tell whether a call may be sent to a second endpoint."""
        return self.crash_count(fingerprint) < REFUSE_AFTER_CRASHES

    def add(
        self, record: CrashRecord, at: float, *, shared: bool = False
    ) -> bool:
        """Take in an end; tell whether it is news."""
        suspect = self._suspects.pop(record.fingerprint, None) or _Suspect(
            answered_before=record.fingerprint in self._answered,
        )
        # The newest stand last.
        self._suspects[record.fingerprint] = suspect
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.pop(next(iter(self._suspects)))
        is_new = record.incarnation_id not in suspect.crashed_at
        if is_new:
            # What was tried has ended, here or at another entry.
            suspect.trial_until = float()
        known_at = suspect.crashed_at.get(record.incarnation_id, at)
        suspect.crashed_at[record.incarnation_id] = min(known_at, at)
        if shared:
            suspect.shared.add(record.incarnation_id)
        return is_new

    def remove(self, record: CrashRecord) -> None:
        """Take in that an end counts no more for all entries."""
        suspect = self._suspects.get(record.fingerprint)
        if suspect is not None:
            suspect.crashed_at.pop(record.incarnation_id, None)
            suspect.shared.discard(record.incarnation_id)
            self._drop_if_clear(record.fingerprint, suspect)

    def replace_shared(
        self, records: Iterable[tuple[CrashRecord, float]]
    ) -> None:
        """Take in all ends that entries share now, and since when."""
        fresh = dict(records)
        for record in tuple(self._all_shared()):
            if record not in fresh:
                self.remove(record)
        for record, at in fresh.items():
            self.add(record, at, shared=True)

    def note_answered(self, fingerprint: str) -> list[CrashRecord]:
        """Clear calls that are alike; give the ends that were held."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = None
        if len(self._answered) > _MAX_ANSWERED:
            self._answered.pop(next(iter(self._answered)))
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return []
        return [
            CrashRecord(fingerprint, incarnation_id)
            for incarnation_id in suspect.crashed_at
        ]

    def expire(self, now: float) -> None:
        """Forget what ended too long ago."""
        for fingerprint, suspect in tuple(self._suspects.items()):
            suspect.crashed_at = {
                incarnation_id: at
                for incarnation_id, at in suspect.crashed_at.items()
                if now - at < CRASH_RECORD_TTL_S
            }
            self._drop_if_clear(fingerprint, suspect)

    def _drop_if_clear(self, fingerprint: str, suspect: _Suspect) -> None:
        if not suspect.crashed_at:
            self._suspects.pop(fingerprint)

    def _all_shared(self) -> Iterator[CrashRecord]:
        for fingerprint, suspect in self._suspects.items():
            for incarnation_id in suspect.shared:
                yield CrashRecord(fingerprint, incarnation_id)
