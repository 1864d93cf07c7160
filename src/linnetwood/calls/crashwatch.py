"""Tell a crash from a cut, a reset or a drain, and note who was there.

An answer that breaks off has many causes; a call is suspected only where the
endpoint ended. What costs an innocent call its next try is a crash taken for
what it isn't; what costs endpoints is one that is missed.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from linnetwood.calls.crashes import Crashes, End, incarnation_digest
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.core.clock import Clock
from linnetwood.core.events import Event, log

# A process that ended refuses connections at once; one that is ending may take
# a last one, so it is looked at twice.
_LOOKS_S = (0, 0.25)
# Whoever says nothing, as a VM without power, may come back as another life;
# one that ended is listed again after some seconds.
_BACK_LOOKS = 16
_BACK_LOOK_S = 0.5
# A call that ends an endpoint does so in its first passes; one whose events
# came for so long is not the cause.
_RUNNING_WELL_S = 1.0
# An endpoint has no more calls of one entry under way.
_MOST_SUSPECTS = 64
_SHOWN = 8

Refuses = Callable[[str, int], Awaitable[bool]]


class Ends(Protocol):
    """What a dispatcher tells of the calls that it runs."""

    def lost(self, likeness: str, one: Endpoint, heard_s: float) -> None:
        """Note that an answer broke off; events had come for so long."""

    def answered(self, likeness: str) -> None:
        """Note that a call was answered: it ends no endpoint."""

    def may_go_again(self, likeness: str) -> bool:
        """Tell whether a call may be sent to a second endpoint."""


class Unwatched:
    """Suspect nobody."""

    def lost(self, likeness: str, one: Endpoint, heard_s: float) -> None:
        """Note nothing."""

    def answered(self, likeness: str) -> None:
        """Note nothing."""

    def may_go_again(self, likeness: str) -> bool:
        """Let every call go."""
        return True


class Telling(Protocol):
    """Tell other entries."""

    def share(self, end: End) -> None:
        """Tell of an end."""

    def withdraw(self, end: End) -> None:
        """Tell that an end counts no more."""


class CrashWatch:
    """Look at each endpoint whose answers broke off, once for all of them."""

    def __init__(
        self,
        crashes: Crashes,
        directory: Directory,
        clock: Clock,
        refuses: Refuses,
        telling: Telling,
    ) -> None:
        """Look at nobody yet."""
        self._crashes = crashes
        self._directory = directory
        self._clock = clock
        self._refuses = refuses
        self._telling = telling
        self._suspects: dict[str, dict[str, float]] = {}
        self._looking: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Look at nobody any more."""
        tasks = list(self._looking.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def lost(self, likeness: str, one: Endpoint, heard_s: float) -> None:
        """Suspect a call, until it is known why its answer broke off."""
        if not likeness or heard_s >= _RUNNING_WELL_S:
            return
        listed = self._directory.get(one.endpoint_id)
        if listed is None or not listed.ready:
            # Its end was told beforehand.
            return
        suspects = self._suspects.setdefault(one.incarnation_id, {})
        if len(suspects) < _MOST_SUSPECTS:
            suspects[likeness] = self._clock.now()
        if one.incarnation_id not in self._looking:
            task = asyncio.create_task(self._look(one))
            self._looking[one.incarnation_id] = task

    def answered(self, likeness: str) -> None:
        """Clear calls like this one, here and for all entries."""
        ends = self._crashes.answered(likeness)
        if not ends:
            return
        log(Event.SUSPECT_CLEARED, likeness=likeness, ends=len(ends))
        for end in ends:
            self._telling.withdraw(end)

    def may_go_again(self, likeness: str) -> bool:
        """Tell whether a call may be sent to a second endpoint."""
        return self._crashes.may_go_again(likeness)

    async def _look(self, one: Endpoint) -> None:
        try:
            why = await self._why_lost(one)
            while why and self._suspects.get(one.incarnation_id):
                self._note(one, why)
                # Other answers break off within milliseconds of the first.
                await asyncio.sleep(_BACK_LOOK_S)
        finally:
            self._suspects.pop(one.incarnation_id, None)
            self._looking.pop(one.incarnation_id, None)

    async def _why_lost(self, one: Endpoint) -> str:
        """Give what shows that the life has ended, or nothing."""
        for pause_s in _LOOKS_S:
            await asyncio.sleep(pause_s)
            if await self._refuses(one.host, one.port):
                return 'refused'
        for _ in range(_BACK_LOOKS):
            if self._is_another(one):
                return 'another life'
            await asyncio.sleep(_BACK_LOOK_S)
        return ''

    def _is_another(self, one: Endpoint) -> bool:
        there = self._directory.at_host(one.host)
        if there is None or there.port != one.port:
            return False
        return (
            there.incarnation_id != one.incarnation_id
            and there.service == one.service
        )

    def _note(self, one: Endpoint, why: str) -> None:
        suspects = self._suspects[one.incarnation_id]
        log(
            Event.ENDPOINT_CRASHED,
            endpoint=one.endpoint_id,
            born=one.born,
            service=one.service,
            why=why,
            calls=len(suspects),
            likenesses=list(suspects)[:_SHOWN],
        )
        self._crashes.expire(self._clock.now())
        digest = incarnation_digest(one.incarnation_id)
        for likeness, at in suspects.items():
            end = End(likeness, digest)
            if self._crashes.ended(end, at):
                self._telling.share(end)
        suspects.clear()
