"""Decide which calls may crash the endpoints that run them; no I/O or clock.

Load pattern: calls with one part in their prompts, no two of them alike, reach
any entry twice a second. Each crashes its endpoint, which also runs 8 to 18
sound calls; sound calls share their other parts, and some of these parts came
only together with the fatal one. Each part is therefore counted by itself. A
suspect that lost an endpoint only where a likelier one did too is explained by
that one, and is not refused for it; where both are equally likely, a call that
has one without the other is a trial that tells them apart: its answer clears
the one, its crash makes it the likelier of the two.
"""

import enum
from collections.abc import Callable, Iterator, Sequence
from random import Random

from linnetwood.calls.crashes import CrashHistory, Suspect

# Entries try a refused call again one after another, in this many seconds each
# on average: longer than all of them take to learn that a trial crashed.
RETRIAL_INTERVAL_S = 3.0
# The same for calls with one of two equally likely causes. A crash is known to
# nearly all entries within this time.
TRIAL_INTERVAL_S = 0.5
# One entry's trial is mostly decided within this time, so callers with one of
# two equally likely causes need not wait for the turn of this entry.
_DECIDED_S = 1.5
# A trial that ended without an answer may still prove to have crashed its
# endpoint: connections are probed twice, 0.25 s apart.
_EVIDENCE_S = 1.0


class Suspicion(enum.IntEnum):
    """How likely calls of one fingerprint are to crash endpoints."""

    NONE = 0
    # Other calls explain all crashes better.
    EXPLAINED = 1
    # Other calls explain all crashes as well.
    POSSIBLE = 2
    LIKELY = 3


class CrashCauses:
    """Refuse calls that endpoints crashed under, and plan their trials.

    `entries` returns the number of entries, among which trials are spread.
    """

    def __init__(
        self,
        crashes: CrashHistory,
        rng: Random,
        entries: Callable[[], int],
    ) -> None:
        """Decide by a history of crashes, which others update."""
        self._crashes = crashes
        self._rng = rng
        self._entries = entries

    def suspicion(
        self, fingerprint: str, call_fingerprints: Sequence[str]
    ) -> Suspicion:
        """Return how likely one of a call's fingerprints is the cause."""
        suspect = self._crashes.suspect(fingerprint)
        if suspect is None or not suspect.is_refused:
            return Suspicion.NONE
        own = self._suspects_of(call_fingerprints)
        weight = suspect.weight
        others = [
            self._heaviest_other(incarnation_id, own)
            for incarnation_id in suspect.crashed_at
        ]
        if min(others) < weight:
            return Suspicion.LIKELY
        if min(others) == weight:
            return Suspicion.POSSIBLE
        return Suspicion.EXPLAINED

    def refusing(
        self, call_fingerprints: Sequence[str], now: float
    ) -> tuple[str, float]:
        """Return what a call is refused for, and for how many seconds.

        The fingerprint is empty, and the time 0, if the call is allowed.
        """
        longest = ('', float())
        for fingerprint in call_fingerprints:
            wait_s = self._wait_s(fingerprint, call_fingerprints, now)
            if wait_s > longest[1]:
                longest = (fingerprint, wait_s)
        return longest

    def describe(self, fingerprint: str, call_fingerprint: str) -> str:
        """Describe why calls of a fingerprint are refused."""
        count = self._crashes.crash_count(fingerprint)
        if fingerprint == call_fingerprint:
            return f'{count} endpoints crashed'
        return f'{count} endpoints crashed, part {fingerprint}'

    def may_retry(self, call_fingerprints: Sequence[str]) -> bool:
        """Return whether a call may be sent to a second endpoint."""
        return all(
            self.suspicion(one, call_fingerprints) <= Suspicion.EXPLAINED
            for one in call_fingerprints
        )

    def note_admitted(
        self, call_fingerprints: Sequence[str], now: float
    ) -> None:
        """Note that a call was admitted; for its suspects it is a trial."""
        for fingerprint in call_fingerprints:
            if (
                self.suspicion(fingerprint, call_fingerprints)
                > Suspicion.EXPLAINED
            ):
                self._crashes.note_admitted(fingerprint, now)

    def note_ended(self, call_fingerprints: Sequence[str], now: float) -> None:
        """Note that a call ended; a trial without an answer may be repeated."""
        for suspect in self._suspects_of(call_fingerprints):
            suspect.trial_until = min(suspect.trial_until, now + _EVIDENCE_S)

    def _wait_s(
        self, fingerprint: str, call_fingerprints: Sequence[str], now: float
    ) -> float:
        suspicion = self.suspicion(fingerprint, call_fingerprints)
        suspect = self._crashes.suspect(fingerprint)
        if suspect is None or suspicion <= Suspicion.EXPLAINED:
            return 0
        if suspicion is Suspicion.POSSIBLE:
            turn_at = suspect.last_crash_at
            turn_at += self._turn_s(suspect, TRIAL_INTERVAL_S)
            wait_s = max(turn_at, suspect.trial_until) - now
            return max(0, min(wait_s, _DECIDED_S))
        turn_at = suspect.refused_until
        turn_at += self._turn_s(suspect, RETRIAL_INTERVAL_S)
        return max(0, max(turn_at, suspect.trial_until) - now)

    def _turn_s(self, suspect: Suspect, interval_s: float) -> float:
        """Return this entry's turn for a trial, drawn among all entries."""
        if suspect.answered_before:
            # Nearly always sound, and soon answered at each entry.
            return 0
        if suspect.turn is None:
            suspect.turn = self._rng.random()
        return suspect.turn * (self._entries() - 1) * interval_s

    def _suspects_of(self, call_fingerprints: Sequence[str]) -> list[Suspect]:
        found = map(self._crashes.suspect, call_fingerprints)
        return [one for one in found if one is not None]

    def _heaviest_other(
        self, incarnation_id: str, own: list[Suspect]
    ) -> tuple[bool, int]:
        """Return the weight of the likeliest other cause of one crash."""
        others: Iterator[Suspect] = (
            one
            for one in self._crashes.suspects_at(incarnation_id)
            if one.is_refused and one not in own
        )
        return max((one.weight for one in others), default=(False, 0))
