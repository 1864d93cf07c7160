"""Entries that share crash records, and endpoints that crash, in virtual time.

The numbers are those of the incidents: 8 calls at each endpoint, crash records
that all entries have 0.15 or 0.25 s after the crash, restarts that take 3 s,
two attempts per call.
"""

import abc
import dataclasses
import math
from collections import Counter, deque
from collections.abc import Iterator
from random import Random

from linnetwood.calls.crashcauses import CrashCauses
from linnetwood.calls.crashes import (
    CrashHistory,
    CrashRecord,
    incarnation_digest,
)

RUN_S = 0.1
RESTART_S = 3.0
STEP_S = 0.05
CONTACT_S = 3.0
SLOTS = 8
ATTEMPTS = 2


def refused_s(crashes: CrashHistory, fingerprint: str, now: float) -> float:
    """Return for how long one entry refuses calls of one fingerprint."""
    causes = CrashCauses(crashes, Random(1), _one_entry)
    return causes.refusing((fingerprint,), now)[1]


def _one_entry() -> int:
    return 1


@dataclasses.dataclass
class Call:
    """A call, by which fingerprint it is fatal, and the group it counts in."""

    fingerprints: tuple[str, ...]
    group: str
    fatal: str = ''
    entry: int = 0
    ends_at: float = 0
    attempts_left: int = ATTEMPTS


@dataclasses.dataclass
class Endpoint:
    """An endpoint: its incarnation, its restart and the calls it runs."""

    name: str
    incarnation: int = 0
    down_until: float = 0
    crashes_at: float = math.inf
    crash_cause: str = ''
    running: list[Call] = dataclasses.field(default_factory=list)

    @property
    def digest(self) -> str:
        """Return the digest of the incarnation."""
        return incarnation_digest(f'{self.name}@{self.incarnation}')


class CrashFleet(abc.ABC):
    """Send calls to random entries, and count what becomes of them."""

    share_delay_s = 0.15
    answer_s = (0.1, 1.5)

    def __init__(
        self, entries: int, endpoints: int, seed: int, max_queue_s: float = 0
    ) -> None:
        self.max_queue_s = max_queue_s
        self.rng = Random(seed)
        self.histories = [CrashHistory() for _ in range(entries)]
        self.causes = [
            CrashCauses(history, Random(seed + number), self.entry_count)
            for number, history in enumerate(self.histories)
        ]
        self.endpoints = [Endpoint(f'i-{one}') for one in range(endpoints)]
        self.updates: deque[tuple[float, CrashRecord, bool]] = deque()
        self.crashed_at: list[float] = []
        self.crashes_by_cause: Counter[str] = Counter()
        self.fatal_sent_at: list[float] = []
        # By group.
        self.received: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.begun: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()

    @abc.abstractmethod
    def arrivals(self, now: float) -> Iterator[Call]:
        """Yield the calls that arrive in the step that ends now."""

    def entry_count(self) -> int:
        """Return the number of entries."""
        return len(self.histories)

    def run(self, span_s: float) -> None:
        """Run the fleet for some seconds."""
        for step in range(1, round(span_s / STEP_S) + 1):
            now = step * STEP_S
            self._deliver_updates(now)
            for endpoint in self.endpoints:
                self._advance(endpoint, now)
            for call in self.arrivals(now):
                self._receive(call, now)

    def late_calls(self, crashes: int) -> int:
        """Return how many fatal calls were sent 3 s after so many crashes."""
        if not self.crashed_at:
            return 0
        known_at = self.crashed_at[:crashes][-1] + CONTACT_S
        return sum(at > known_at for at in self.fatal_sent_at)

    def _receive(self, call: Call, now: float) -> None:
        call.entry = self.rng.randrange(len(self.causes))
        self.received[call.group] += 1
        causes = self.causes[call.entry]
        if causes.refusing(call.fingerprints, now)[0]:
            self.refused[call.group] += 1
        elif self._available(now):
            # Without a free slot a call is refused too and is no trial.
            causes.note_admitted(call.fingerprints, now)
            self.begun[call.group] += 1
            self._send(call, now)

    def _available(self, now: float) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.down_until <= now and len(endpoint.running) < SLOTS
        ]

    def _send(self, call: Call, now: float) -> None:
        available = self._available(now)
        if not available:
            self.causes[call.entry].note_ended(call.fingerprints, now)
            return
        endpoint = self.rng.choice(available)
        call.attempts_left -= 1
        call.ends_at = now + self.rng.uniform(*self.answer_s)
        if call.fatal:
            call.ends_at = math.inf
            self.fatal_sent_at.append(now)
            self._schedule_crash(endpoint, call.fatal, now)
        endpoint.running.append(call)

    def _schedule_crash(
        self, endpoint: Endpoint, cause: str, now: float
    ) -> None:
        crashes_at = now + RUN_S + self.rng.uniform(0, self.max_queue_s)
        if crashes_at < endpoint.crashes_at:
            endpoint.crashes_at = crashes_at
            endpoint.crash_cause = cause

    def _advance(self, endpoint: Endpoint, now: float) -> None:
        if now >= endpoint.crashes_at:
            self._crash(endpoint, now)
        done = [call for call in endpoint.running if call.ends_at <= now]
        for call in done:
            endpoint.running.remove(call)
            self.answered[call.group] += 1
            history = self.histories[call.entry]
            for fingerprint in call.fingerprints:
                self._share(history.note_answered(fingerprint), now, False)
            self.causes[call.entry].note_ended(call.fingerprints, now)

    def _crash(self, endpoint: Endpoint, now: float) -> None:
        self.crashed_at.append(now)
        self.crashes_by_cause[endpoint.crash_cause] += 1
        lost = endpoint.running
        for call in lost:
            records = [
                CrashRecord(one, endpoint.digest) for one in call.fingerprints
            ]
            history = self.histories[call.entry]
            new = [one for one in records if history.add(one, now)]
            self._share(new, now, True)
        endpoint.running = []
        endpoint.crashes_at = math.inf
        endpoint.incarnation += 1
        endpoint.down_until = now + RESTART_S
        for call in lost:
            causes = self.causes[call.entry]
            if call.attempts_left and causes.may_retry(call.fingerprints):
                self._send(call, now)
            else:
                causes.note_ended(call.fingerprints, now)

    def _share(
        self, records: list[CrashRecord], now: float, is_added: bool
    ) -> None:
        known_at = now + self.share_delay_s
        self.updates.extend((known_at, one, is_added) for one in records)

    def _deliver_updates(self, now: float) -> None:
        while self.updates and self.updates[0][0] <= now:
            at, record, is_added = self.updates.popleft()
            for history in self.histories:
                if is_added:
                    history.add(record, at - self.share_delay_s, shared=True)
                else:
                    history.remove(record)
