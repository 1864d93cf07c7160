"""Detect endpoint crashes and record the calls that were running.

An answer can break off for many reasons: a cut connection, a reset, a drain.
A call is suspected only if its endpoint crashed. Taking another cause for a
crash costs a harmless call its retry; missing a crash costs more endpoints.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from linnetwood.calls.crashcauses import CrashCauses
from linnetwood.calls.crashes import (
    CrashHistory,
    CrashRecord,
    incarnation_digest,
)
from linnetwood.calls.crashlog import log_new_crash
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.core.bounded import keep_newest
from linnetwood.core.clock import Clock
from linnetwood.core.events import Event, log

# A process that has exited refuses connections at once, but one that is exiting
# may still accept a last one, so it is probed twice.
_PROBE_PAUSES_S = (0, 0.25)
# An endpoint that does not respond, like a VM without power, may come back as a
# new incarnation; a crashed endpoint is listed again after some seconds.
_RESTART_CHECKS = 16
_RESTART_CHECK_S = 0.5
# A fatal call crashes its endpoint within its first forward passes; a call that
# has streamed events for this long is not the cause.
_HEALTHY_STREAM_S = 1.0
# An endpoint runs at most 64 calls of one entry at a time; beyond four
# fingerprints each, the others are left out.
_MAX_SUSPECTS = 256
_MAX_LOGGED = 8
# Crashes to remember, for answers that end at the same moment.
_MAX_CRASHED = 256

ConnectionProbe = Callable[[str, int], Awaitable[bool]]
# Returns whether an endpoint proves to run.
SurvivalProof = Callable[[Endpoint], Awaitable[bool]]


class CrashObserver(Protocol):
    """Receive from a dispatcher how its calls ended.

    A call is named by its fingerprint and by those of its prompt's parts.
    """

    def note_lost(
        self, fingerprint: str, endpoint: Endpoint, streamed_s: float
    ) -> None:
        """Note an answer that broke off after streaming for some seconds."""

    def note_answered(self, fingerprint: str) -> None:
        """Note that a call was answered and so crashes no endpoint."""

    async def survived(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint runs after an answer without a length."""

    def note_closed(
        self, fingerprints: Sequence[str], endpoint: Endpoint
    ) -> None:
        """Note an answer that ended with its connection, and seems whole."""

    def may_retry(self, fingerprints: Sequence[str]) -> bool:
        """Return whether a call may be sent to a second endpoint."""

    def note_ended(self, fingerprints: Sequence[str]) -> None:
        """Note that a call ended, with or without an answer."""


class NoCrashWatch:
    """Suspect no call."""

    def note_lost(
        self, fingerprint: str, endpoint: Endpoint, streamed_s: float
    ) -> None:
        """Note nothing."""

    def note_answered(self, fingerprint: str) -> None:
        """Note nothing."""

    async def survived(self, endpoint: Endpoint) -> bool:
        """Take every answer as whole."""
        return True

    def note_closed(
        self, fingerprints: Sequence[str], endpoint: Endpoint
    ) -> None:
        """Note nothing."""

    def may_retry(self, fingerprints: Sequence[str]) -> bool:
        """Allow every retry."""
        return True

    def note_ended(self, fingerprints: Sequence[str]) -> None:
        """Note nothing."""


class CrashReports(Protocol):
    """Report crash records to other entries."""

    def share(self, record: CrashRecord) -> None:
        """Share a record with all entries."""

    def withdraw(self, record: CrashRecord, *, urgent: bool) -> None:
        """Withdraw a record from all entries, which may refuse calls for it."""


class CrashWatch:
    """Check each endpoint whose answers broke off, once for all its calls."""

    def __init__(
        self,
        crashes: CrashHistory,
        causes: CrashCauses,
        directory: Directory,
        clock: Clock,
        is_refused: ConnectionProbe,
        proves_to_run: SurvivalProof,
        reports: CrashReports,
    ) -> None:
        """Start without checks."""
        self._proves_to_run = proves_to_run
        self._crashes = crashes
        self._causes = causes
        self._directory = directory
        self._clock = clock
        self._is_refused = is_refused
        self._reports = reports
        self._suspects: dict[str, dict[str, float]] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        # Incarnations that crashed, by their digests, the newest last.
        self._crashed: dict[str, None] = {}
        # Answers that seemed whole, until their endpoints prove to run.
        self._confirmations: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel all checks."""
        tasks = [*self._checks.values(), *self._confirmations]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def note_lost(
        self, fingerprint: str, endpoint: Endpoint, streamed_s: float
    ) -> None:
        """Suspect a call until it is known why its answer broke off."""
        if not fingerprint or streamed_s >= _HEALTHY_STREAM_S:
            return
        if not self._may_crash(endpoint):
            return
        suspects = self._suspects.setdefault(endpoint.incarnation_id, {})
        if len(suspects) < _MAX_SUSPECTS:
            suspects[fingerprint] = self._clock.now()
        if endpoint.incarnation_id not in self._checks:
            task = asyncio.create_task(self._check(endpoint))
            self._checks[endpoint.incarnation_id] = task

    def note_answered(self, fingerprint: str) -> None:
        """Clear calls of this fingerprint, here and for all entries."""
        suspect = self._crashes.suspect(fingerprint)
        records = self._crashes.note_answered(fingerprint)
        if suspect is None:
            return
        # Sound calls wait for this; it comes from few entries, since such calls
        # were refused nearly everywhere.
        urgent = suspect.is_refused and not suspect.answered_before
        log(Event.SUSPECT_CLEARED, likeness=fingerprint, ends=len(records))
        for record in records:
            self._reports.withdraw(record, urgent=urgent)

    async def survived(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint runs after an answer without a length.

        The end of such an answer looks the same if its endpoint crashed, or
        ended as planned with calls in progress.
        """
        if not await self._proves_to_run(endpoint):
            return False
        # What forwards to it may have kept the connection open for a moment.
        if self._is_known_crashed(endpoint):
            return False
        current = self._listed_at_address(endpoint)
        return current is None or (
            current.incarnation_id == endpoint.incarnation_id
        )

    def note_closed(
        self, fingerprints: Sequence[str], endpoint: Endpoint
    ) -> None:
        """Clear calls once their endpoint proves to have survived them."""
        if any(not self._is_known_sound(one) for one in fingerprints):
            task = asyncio.create_task(self._confirm(fingerprints, endpoint))
            self._confirmations.add(task)
            task.add_done_callback(self._confirmations.discard)

    def may_retry(self, fingerprints: Sequence[str]) -> bool:
        """Return whether a call may be sent to a second endpoint."""
        return self._causes.may_retry(fingerprints)

    def note_ended(self, fingerprints: Sequence[str]) -> None:
        """End the trial of a call."""
        self._causes.note_ended(fingerprints, self._clock.now())

    def _may_crash(self, endpoint: Endpoint) -> bool:
        """Return whether its end would be a crash.

        An endpoint that left or announced its stop beforehand does not crash.
        """
        listed = self._directory.get(endpoint.endpoint_id)
        return listed is not None and listed.ready

    def _is_known_crashed(self, endpoint: Endpoint) -> bool:
        """Return whether other calls have shown that an endpoint crashed."""
        digest = incarnation_digest(endpoint.incarnation_id)
        suspects = self._crashes.suspects_at(digest)
        return digest in self._crashed or any(suspects)

    def _is_known_sound(self, fingerprint: str) -> bool:
        return self._crashes.crash_count(
            fingerprint
        ) == 0 and self._crashes.was_answered(fingerprint)

    async def _confirm(
        self, fingerprints: Sequence[str], endpoint: Endpoint
    ) -> None:
        await asyncio.sleep(_PROBE_PAUSES_S[-1])
        survived = await self.survived(endpoint)
        for fingerprint in fingerprints:
            if survived:
                self.note_answered(fingerprint)
            else:
                self.note_lost(fingerprint, endpoint, 0)

    async def _check(self, endpoint: Endpoint) -> None:
        try:
            why = await self._crash_evidence(endpoint)
            while why and self._suspects.get(endpoint.incarnation_id):
                self._record_crash(endpoint, why)
                # Other answers break off within milliseconds of the first one;
                # their calls are recorded in the next round.
                await asyncio.sleep(_RESTART_CHECK_S)
        finally:
            self._suspects.pop(endpoint.incarnation_id, None)
            self._checks.pop(endpoint.incarnation_id, None)

    async def _crash_evidence(self, endpoint: Endpoint) -> str:
        """Return what shows that the endpoint crashed, or an empty text."""
        for pause_s in _PROBE_PAUSES_S:
            await asyncio.sleep(pause_s)
            if await self._is_refused(endpoint.host, endpoint.port):
                return 'refused'
        for _ in range(_RESTART_CHECKS):
            if self._is_replaced(endpoint):
                return 'new incarnation'
            await asyncio.sleep(_RESTART_CHECK_S)
        return ''

    def _is_replaced(self, endpoint: Endpoint) -> bool:
        current = self._listed_at_address(endpoint)
        return (
            current is not None
            and current.incarnation_id != endpoint.incarnation_id
            and current.service == endpoint.service
        )

    def _listed_at_address(self, endpoint: Endpoint) -> Endpoint | None:
        """Return what is listed at an endpoint's address by now."""
        current = self._directory.at_host(endpoint.host)
        if current is None or current.port != endpoint.port:
            return None
        return current

    def _record_crash(self, endpoint: Endpoint, why: str) -> None:
        suspects = self._suspects[endpoint.incarnation_id]
        digest = incarnation_digest(endpoint.incarnation_id)
        keep_newest(self._crashed, digest, None, _MAX_CRASHED)
        log(
            Event.ENDPOINT_CRASHED,
            endpoint=endpoint.endpoint_id,
            born=endpoint.born,
            incarnation=digest,
            service=endpoint.service,
            why=why,
            calls=len(suspects),
            likenesses=list(suspects)[:_MAX_LOGGED],
        )
        self._crashes.expire(self._clock.now())
        # Those never answered are the likelier causes: they are shared first.
        in_order = sorted(suspects.items(), key=self._was_answered)
        for fingerprint, at in in_order:
            record = CrashRecord(fingerprint, digest)
            if self._crashes.add(record, at):
                log_new_crash(self._crashes, record)
                self._reports.share(record)
        suspects.clear()

    def _was_answered(self, suspect: tuple[str, float]) -> bool:
        return self._crashes.was_answered(suspect[0])
