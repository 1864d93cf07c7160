"""Share with all entries which calls endpoints crashed under.

What is shared is a key of the platform's store for each end: it reaches all
entries as a configuration does, also those of other zones and those that start,
with its age, and goes by itself. Only a crash writes one.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from linnetwood.calls.crashes import End
from linnetwood.core.backoff import pause_s
from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import Owner

# All suspects of one crash are written with one call.
_GATHER_S = 0.1
# What clears a call that is not refused is in no hurry.
_CLEAR_S = 1.0
_PAUSE_FIRST_S = 0.1
# A store that is back is told within this; all are to know within 3 s.
_PAUSE_MOST_S = 0.8
_PAUSE_LEAST_SHARE = 0.5
# Of 32 crashes with 16 calls each; beyond that the oldest are not told.
_MOST_WAITING = 512


class EndBoard(Protocol):
    """Where all entries read the ends that are shared."""

    @property
    def most(self) -> int:
        """Give how many ends one call may carry."""

    async def write(self, share: Sequence[End], drop: Sequence[End]) -> None:
        """Write some ends and take away others, all or none.

        Raises StoreError where that is not certain; it may be done again.
        """


class EndTeller(Owner):
    """Own the calls that tell; one at a time."""

    def __init__(
        self,
        board: EndBoard,
        rng: Random,
        entries: Callable[[], int],
    ) -> None:
        """Have nothing to tell; so many entries share the store."""
        super().__init__()
        self._entries = entries
        self._board = board
        self._rng = rng
        self._share: deque[End] = deque(maxlen=_MOST_WAITING)
        self._drop: deque[End] = deque(maxlen=_MOST_WAITING)
        self._wake = asyncio.Event()

    def share(self, end: End) -> None:
        """Tell of an end."""
        self._share.append(end)
        self._wake.set()

    def withdraw(self, end: End) -> None:
        """Tell that an end counts no more."""
        if end in self._share:
            # Nobody has heard of it yet.
            self._share.remove(end)
            return
        self._drop.append(end)
        self._wake.set()

    def gone(self, end: End) -> None:
        """Note that the store holds an end no more."""

    async def _run(self) -> None:
        failures = 0
        while True:
            await self._wake.wait()
            await asyncio.sleep(_GATHER_S if self._share else _CLEAR_S)
            try:
                await self._tell()
            except StoreError as exc:
                failures += 1
                log(Event.ENDS_UNSHARED, code=exc.code, detail=exc.detail)
                await asyncio.sleep(self._pause_s(failures))
                continue
            failures = 0
            if not self._share and not self._drop:
                self._wake.clear()

    async def _tell(self) -> None:
        most = self._board.most
        share = list(self._share)[:most]
        drop = list(self._drop)[: most - len(share)]
        if not share and not drop:
            return
        await self._board.write(share, drop)
        for end in share:
            # It may have been cleared while it was written.
            if end in self._share:
                self._share.remove(end)
            else:
                self._drop.append(end)
        for _ in drop:
            self._drop.popleft()

    def _pause_s(self, failures: int) -> float:
        return pause_s(
            failures - 1,
            self._rng,
            _PAUSE_FIRST_S,
            _PAUSE_MOST_S,
            _PAUSE_LEAST_SHARE,
        )
