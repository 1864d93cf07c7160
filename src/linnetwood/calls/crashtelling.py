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
from linnetwood.core.waits import happened

# All suspects of one crash are written with one call.
_GATHER_S = 0.1
# What clears a call that is not refused is in no hurry.
_CLEAR_S = 1.0
_PAUSE_FIRST_S = 0.1
# Entries take turns where several endpoints end at once, so that their calls
# stay under half of what a store takes whose own limit is 400 a second.
_CALLS_PER_S = 150
# All are to know within 3 s; half a second is left for the call and the news.
_SPREAD_MOST_S = 2.5
# Whoever lost calls of one endpoint alone has gone before.
_SPREAD_FROM_SHARE = 0.2
# So many entries may take the same end away before they see that one did.
_AT_ONCE = 8
# What a call to the store and the news of it take.
_SEEN_S = 0.2
# A write without an answer may be carried out some seconds later.
_LATE_S = 10.0
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
        # Those that a write without an answer so far may have brought.
        self._unsure: set[End] = set()
        self._wake = asyncio.Event()
        self._to_share = asyncio.Event()

    def share(self, end: End) -> None:
        """Tell of an end."""
        if end in self._drop:
            self._drop.remove(end)
        self._share.append(end)
        self._to_share.set()
        self._wake.set()

    def withdraw(self, end: End) -> None:
        """Tell that an end counts no more."""
        if end in self._share:
            self._share.remove(end)
            if end not in self._unsure:
                # Nobody can have heard of it.
                return
        self._take_away(end)

    def gone(self, end: End) -> None:
        """Note that the store holds an end no more."""
        if end in self._drop and end not in self._unsure:
            self._drop.remove(end)

    async def _run(self) -> None:
        failures = 0
        while True:
            await self._wake.wait()
            await self._gather()
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

    async def _gather(self) -> None:
        """Wait for more to tell with the same call, and for this one's turn.

        One endpoint's calls come from few entries; where several end at once,
        or all entries see the same answer, these take turns by chance.
        """
        if not self._share:
            turns_s = self._entries() * _SEEN_S / _AT_ONCE
            turn_s = _CLEAR_S + self._rng.uniform(0, turns_s)
            # What is to be shared does not wait for that.
            await happened(self._to_share, turn_s)
        self._to_share.clear()
        if self._share:
            await asyncio.sleep(_GATHER_S)
            spread_s = self._spread_s()
            first_s = spread_s * _SPREAD_FROM_SHARE
            await asyncio.sleep(self._rng.uniform(first_s, spread_s))

    def _spread_s(self) -> float:
        if len({end.incarnation_id for end in self._share}) <= 1:
            return 0
        return min(_SPREAD_MOST_S, self._entries() / _CALLS_PER_S)

    async def _tell(self) -> None:
        most = self._board.most
        share = list(self._share)[:most]
        drop = list(self._drop)[: most - len(share)]
        if not share and not drop:
            return
        self._unsure.intersection_update((*self._share, *self._drop))
        self._unsure.update(share)
        await self._board.write(share, drop)
        for end in share:
            self._unsure.discard(end)
            if end in self._share:
                self._share.remove(end)
        for end in drop:
            self._taken_away(end)

    def _take_away(self, end: End) -> None:
        if end not in self._drop:
            self._drop.append(end)
            self._wake.set()

    def _taken_away(self, end: End) -> None:
        if end in self._drop:
            self._drop.remove(end)
        if end in self._unsure:
            self._unsure.discard(end)
            loop = asyncio.get_running_loop()
            loop.call_later(_LATE_S, self._take_away, end)

    def _pause_s(self, failures: int) -> float:
        return pause_s(
            failures - 1,
            self._rng,
            _PAUSE_FIRST_S,
            _PAUSE_MOST_S,
            _PAUSE_LEAST_SHARE,
        )
