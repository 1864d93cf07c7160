"""Record which calls endpoints crashed under; no I/O or clock.

A call is known by its fingerprint and by those of the parts of its prompt that
other calls may have. Below, "call" stands for either.

Load pattern: a call that crashes every endpoint that starts to run it is sent
twice a second, to any entry, with a new call id each time. Each crash also
loses the 8 to 18 other calls running on that endpoint, and after one crash
none of them can be told apart from the cause. A call is therefore refused once
two incarnations have crashed under calls with its fingerprint and none of
these calls has been answered since. A fatal call is never answered; a
bystander is nearly always answered by another endpoint before a second one
crashes under it. With two attempts per call, the first fatal call alone
crashes two endpoints. A limit of three would cost one more endpoint each time
and spare only calls that were bystanders twice.

When many endpoints crash at once, calls that many callers send lose an answer
on each of them. Those that were answered before the crashes are retried, one
at a time, as soon as no new crashes come in: if all were refused, none of them
could be answered and clear the others.
"""

import hashlib
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from linnetwood.calls.answeredcalls import AnsweredFingerprints

# Calls with one fingerprint are refused after this many crashes under them.
REFUSE_AFTER_CRASHES = 2
# Refusal time after the last crash; then a single call is let through as a
# trial. A fatal call costs at most one endpoint in this time, and the time
# doubles with each further crash, up to the maximum.
REFUSAL_FIRST_S = 60.0
REFUSAL_MAX_S = 600.0
# Refusal time for calls that were answered before the crashes. It applies only
# while all further crashes come within ANSWER_TRUST_S of the one that started
# the refusal: after that an earlier answer no longer shows that the calls are
# harmless.
REFUSAL_ANSWERED_S = 1.0
ANSWER_TRUST_S = 1.5
# Others are refused for this long during a trial: no caller waits longer for an
# answer.
_TRIAL_S = 10.0
# Records that were not confirmed for this long are dropped; the store's lease
# on them expires within the same time.
CRASH_RECORD_TTL_S = 600.0
# Suspects of 80 crashed endpoints with 16 calls of three fingerprints each; the
# oldest are dropped.
_MAX_SUSPECTS = 4096
_INCARNATION_BYTES = 8


class CrashRecord(NamedTuple):
    """An endpoint incarnation that crashed under calls of one fingerprint."""

    fingerprint: str
    incarnation_id: str


def incarnation_digest(incarnation_id: str) -> str:
    """Return a digest of fixed length for an incarnation id of any length."""
    digest = hashlib.blake2b(
        incarnation_id.encode(), digest_size=_INCARNATION_BYTES
    )
    return digest.hexdigest()


class Suspect:
    """Incarnations that crashed under calls of one fingerprint, and when."""

    __slots__ = (
        'answered_before',
        'crashed_at',
        'shared',
        'trial_until',
        'turn',
    )

    def __init__(self, *, answered_before: bool) -> None:
        """Start without crashes."""
        self.answered_before = answered_before
        self.crashed_at: dict[str, float] = {}
        # Incarnations whose record is in the store, where all entries read it.
        self.shared: set[str] = set()
        self.trial_until = float()
        # This entry's place among all entries in trials, 0 to 1.
        self.turn: float | None = None

    @property
    def is_refused(self) -> bool:
        """Return whether enough endpoints crashed to refuse such calls."""
        return len(self.crashed_at) >= REFUSE_AFTER_CRASHES

    @property
    def last_crash_at(self) -> float:
        """Return the time of the newest crash."""
        return max(self.crashed_at.values())

    @property
    def weight(self) -> tuple[bool, int]:
        """Return how much speaks against such calls, for comparison.

        A fatal call is never answered, so one that was not weighs more than
        one that was, and else the number of crashes counts.
        """
        return not self.answered_before, len(self.crashed_at)

    @property
    def refused_until(self) -> float:
        """Return until when such calls are refused, without any trial."""
        crashed_at = sorted(self.crashed_at.values())
        if self.answered_before:
            refused_since = crashed_at[REFUSE_AFTER_CRASHES - 1]
            if crashed_at[-1] - refused_since < ANSWER_TRUST_S:
                return crashed_at[-1] + REFUSAL_ANSWERED_S
        doublings = len(crashed_at) - REFUSE_AFTER_CRASHES
        refused_s = min(REFUSAL_MAX_S, math.ldexp(REFUSAL_FIRST_S, doublings))
        return crashed_at[-1] + refused_s


class CrashHistory:
    """Hold the calls under which endpoints crashed, as known to this entry."""

    __slots__ = ('_answered', '_by_incarnation', '_suspects')

    def __init__(self) -> None:
        """Start without suspects."""
        # In order of the last update, the newest last.
        self._suspects: dict[str, Suspect] = {}
        self._by_incarnation: dict[str, set[str]] = defaultdict(set)
        self._answered = AnsweredFingerprints()

    def suspect(self, fingerprint: str) -> Suspect | None:
        """Return what is known against such calls, None if nothing is."""
        return self._suspects.get(fingerprint)

    def suspects_at(self, incarnation_id: str) -> Iterator[Suspect]:
        """Yield what is known of all calls under which one crashed."""
        for fingerprint in self._by_incarnation.get(incarnation_id, ()):
            yield self._suspects[fingerprint]

    @property
    def suspect_count(self) -> int:
        """Return the number of fingerprints that are suspect."""
        return sum(one.is_refused for one in self._suspects.values())

    def crash_count(self, fingerprint: str) -> int:
        """Return how many incarnations crashed under such calls."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.crashed_at) if suspect else 0

    def note_admitted(self, fingerprint: str, now: float) -> None:
        """Note that a call was admitted; after a refusal it is a trial.

        Others like it are refused until the trial ends.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.is_refused:
            suspect.trial_until = now + _TRIAL_S

    def was_answered(self, fingerprint: str) -> bool:
        """Return whether such calls were answered before endpoints crashed."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return fingerprint in self._answered
        return suspect.answered_before

    def note_answered_before(self, fingerprint: str) -> None:
        """Note that another entry saw suspected calls answered before."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.answered_before = True

    def add(
        self, record: CrashRecord, at: float, *, shared: bool = False
    ) -> bool:
        """Add a record; return whether it is new."""
        fingerprint = record.fingerprint
        suspect = self._suspects.get(fingerprint) or Suspect(
            answered_before=fingerprint in self._answered,
        )
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = suspect
        is_new = record.incarnation_id not in suspect.crashed_at
        if is_new:
            # The trial crashed an endpoint, here or at another entry.
            suspect.trial_until = float()
        known_at = suspect.crashed_at.get(record.incarnation_id, at)
        suspect.crashed_at[record.incarnation_id] = min(known_at, at)
        self._by_incarnation[record.incarnation_id].add(fingerprint)
        if shared:
            suspect.shared.add(record.incarnation_id)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._drop(next(iter(self._suspects)))
        return is_new

    def remove(self, record: CrashRecord) -> None:
        """Remove a record that was withdrawn for all entries."""
        suspect = self._suspects.get(record.fingerprint)
        if suspect is not None:
            self._forget_crash(record.fingerprint, record.incarnation_id)

    def replace_shared(
        self, records: Iterable[tuple[CrashRecord, float]]
    ) -> None:
        """Replace all shared records by these, each with its crash time."""
        fresh = dict(records)
        for record in tuple(self._all_shared()):
            if record not in fresh:
                self.remove(record)
        self.add_shared(fresh.items())

    def add_shared(self, records: Iterable[tuple[CrashRecord, float]]) -> None:
        """Add shared records, each with its crash time, to those known."""
        for record, at in records:
            self.add(record, at, shared=True)

    def note_answered(self, fingerprint: str) -> list[CrashRecord]:
        """Clear calls of this fingerprint; return the records it had."""
        self._answered.add(fingerprint)
        suspect = self._drop(fingerprint)
        if suspect is None:
            return []
        return [
            CrashRecord(fingerprint, incarnation_id)
            for incarnation_id in suspect.crashed_at
        ]

    def expire(self, now: float) -> None:
        """Drop records of crashes that are too old."""
        for fingerprint, suspect in tuple(self._suspects.items()):
            for incarnation_id, at in tuple(suspect.crashed_at.items()):
                if now - at >= CRASH_RECORD_TTL_S:
                    self._forget_crash(fingerprint, incarnation_id)

    def _forget_crash(self, fingerprint: str, incarnation_id: str) -> None:
        suspect = self._suspects[fingerprint]
        suspect.crashed_at.pop(incarnation_id, None)
        suspect.shared.discard(incarnation_id)
        self._unlink(fingerprint, incarnation_id)
        if not suspect.crashed_at:
            self._suspects.pop(fingerprint)

    def _drop(self, fingerprint: str) -> Suspect | None:
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is not None:
            for incarnation_id in suspect.crashed_at:
                self._unlink(fingerprint, incarnation_id)
        return suspect

    def _unlink(self, fingerprint: str, incarnation_id: str) -> None:
        linked = self._by_incarnation[incarnation_id]
        linked.discard(fingerprint)
        if not linked:
            self._by_incarnation.pop(incarnation_id)

    def _all_shared(self) -> Iterator[CrashRecord]:
        for fingerprint, suspect in self._suspects.items():
            for incarnation_id in suspect.shared:
                yield CrashRecord(fingerprint, incarnation_id)
