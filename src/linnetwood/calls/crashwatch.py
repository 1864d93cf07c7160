"""Detect endpoint crashes and record the calls that were running.

An answer can break off for many reasons: a cut connection, a reset, a drain.
A call is suspected only if its endpoint crashed. Taking another cause for a
crash costs a harmless call its retry; missing a crash costs more endpoints.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from linnetwood.calls.crashes import (
    CrashHistory,
    CrashRecord,
    incarnation_digest,
)
from linnetwood.calls.directory import Directory, Endpoint
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
# An endpoint runs at most this many calls of one entry at a time.
_MAX_SUSPECTS = 64
_MAX_LOGGED = 8

ConnectionProbe = Callable[[str, int], Awaitable[bool]]


class CrashObserver(Protocol):
    """Receive from a dispatcher how its calls ended."""

    def note_lost(
        self, fingerprint: str, endpoint: Endpoint, streamed_s: float
    ) -> None:
        """Note an answer that broke off after streaming for some seconds."""

    def note_answered(self, fingerprint: str) -> None:
        """Note that a call was answered and so crashes no endpoint."""

    async def survived(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint runs after an answer without a length."""

    def may_retry(self, fingerprint: str) -> bool:
        """Return whether a call may be sent to a second endpoint."""


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

    def may_retry(self, fingerprint: str) -> bool:
        """Allow every retry."""
        return True


class CrashReports(Protocol):
    """Report crash records to other entries."""

    def share(self, record: CrashRecord) -> None:
        """Share a record with all entries."""

    def withdraw(self, record: CrashRecord) -> None:
        """Withdraw a record from all entries."""


class CrashWatch:
    """Check each endpoint whose answers broke off, once for all its calls."""

    def __init__(
        self,
        crashes: CrashHistory,
        directory: Directory,
        clock: Clock,
        is_refused: ConnectionProbe,
        reports: CrashReports,
    ) -> None:
        """Start without checks."""
        self._crashes = crashes
        self._directory = directory
        self._clock = clock
        self._is_refused = is_refused
        self._reports = reports
        self._suspects: dict[str, dict[str, float]] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Cancel all checks."""
        tasks = list(self._checks.values())
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
        records = self._crashes.note_answered(fingerprint)
        if not records:
            return
        log(Event.SUSPECT_CLEARED, likeness=fingerprint, ends=len(records))
        for record in records:
            self._reports.withdraw(record)

    async def survived(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint runs after an answer without a length.

        The end of such an answer looks the same if its endpoint crashed.
        """
        if not self._may_crash(endpoint):
            return True
        return not await self._is_refused(endpoint.host, endpoint.port)

    def may_retry(self, fingerprint: str) -> bool:
        """Return whether a call may be sent to a second endpoint."""
        return self._crashes.may_retry(fingerprint)

    def _may_crash(self, endpoint: Endpoint) -> bool:
        """Return whether its end would be a crash.

        An endpoint that left or announced its stop beforehand does not crash.
        """
        listed = self._directory.get(endpoint.endpoint_id)
        return listed is not None and listed.ready

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
        current = self._directory.at_host(endpoint.host)
        if current is None or current.port != endpoint.port:
            return False
        return (
            current.incarnation_id != endpoint.incarnation_id
            and current.service == endpoint.service
        )

    def _record_crash(self, endpoint: Endpoint, why: str) -> None:
        suspects = self._suspects[endpoint.incarnation_id]
        log(
            Event.ENDPOINT_CRASHED,
            endpoint=endpoint.endpoint_id,
            born=endpoint.born,
            service=endpoint.service,
            why=why,
            calls=len(suspects),
            likenesses=list(suspects)[:_MAX_LOGGED],
        )
        self._crashes.expire(self._clock.now())
        digest = incarnation_digest(endpoint.incarnation_id)
        for fingerprint, at in suspects.items():
            record = CrashRecord(fingerprint, digest)
            if self._crashes.add(record, at):
                self._reports.share(record)
        suspects.clear()
