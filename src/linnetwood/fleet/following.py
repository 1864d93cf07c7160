"""Follow a range of keys: read it once, then wait for what changes.

Where a neighbour tells what the range holds and since when it knows, the store
is left alone; as soon as that belief is too old, it is asked directly.
"""

import asyncio
import dataclasses
import functools
import math
from collections.abc import Iterable, Iterator
from random import Random

from linnetwood.core.backoff import pause_s
from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.core.owner import Owner
from linnetwood.fleet.belief import USUAL_BOUNDS, Bounds, Told
from linnetwood.fleet.hedging import Question, end_all, hedged
from linnetwood.fleet.mirror import LARGE_OCTETS, Mirror
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    RangeStore,
    Sink,
    Snapshot,
)

# Entries of live endpoints are back within two seconds of the store's return,
# so a store that is back is to be noticed well within one.
_PAUSE_FIRST_S = 0.1
_PAUSE_MOST_S = 0.8
_PAUSE_LEAST_SHARE = 0.5
_PAUSE_LEAST_S = 0.05

# Whoever hears a neighbour asks a store that fails half as often: the neighbour
# hears of its return first, and one copy crosses the link in place of many.
_LISTENER_PAUSE_MOST_S = 1.6

# Whoever heard nothing for so long reads the range anew: that answer grows with
# no version that came and went meanwhile. One wait that is lost takes less.
_READ_ANEW_S = 5.0

# A store that is slow is asked to wait for less, so that its answers come as
# often; but each costs a call.
_LEAST_WAIT_S = 0.1
# Ages are told in milliseconds: what differs by less is the same answer.
_SAME_S = 0.01


class Following(Owner):
    """Own one range: a task that reads, waits and begins again."""

    def __init__(
        self,
        store: RangeStore,
        prefix: str,
        sink: Sink,
        rng: Random,
        bounds: Bounds = USUAL_BOUNDS,
    ) -> None:
        """Follow nothing yet."""
        super().__init__()
        self.learned = asyncio.Event()
        # By the clock of the loop, which is that of all ages.
        self.heard_at = -math.inf
        # As of when the store itself confirmed all that is known.
        self.answered_as_of = -math.inf
        self.flowed_at = -math.inf
        self.flowing_since = -math.inf
        self.outages = 0
        # Whether a neighbour is there to be heard, and whether it is one that
        # may itself hear this entry: then nothing is passed on.
        self.backed = False
        self.borrows = False
        # How many neighbours ask before this entry where all tellers fail.
        self.behind = 0
        self.mirror = Mirror()
        self._store = store
        self._prefix = prefix
        self._sink = sink
        self._rng = rng
        self._bounds = bounds
        self._revision = 0
        self._failures = 0
        self._away = False
        self._answered_at = -math.inf
        self._arrived_at = -math.inf
        self._told_until = -math.inf
        self._flow_until = math.inf
        self._overhead_s = float()
        self._outages_told: int | None = None
        self._listeners: set[asyncio.Event] = set()
        self._asking: asyncio.Task[None] | None = None

    @property
    def revision(self) -> int:
        """Give the revision up to which everything is known."""
        return self._revision

    def listen(self, woken: asyncio.Event) -> None:
        """Set an event at each change from now on."""
        self._listeners.add(woken)

    def forget(self, woken: asyncio.Event) -> None:
        """Set it no more."""
        self._listeners.discard(woken)

    @property
    def unanswered(self) -> bool:
        """Tell whether the store itself has not answered lately."""
        return self._is_old(self._answered_at)

    @property
    def lost(self) -> bool:
        """Tell whether neither the store nor a neighbour was heard lately."""
        return self.unanswered and self._is_old(self.heard_at)

    def flowed(self) -> None:
        """Note that bytes of an answer came from the store."""
        now = asyncio.get_running_loop().time()
        if not math.isfinite(self.flowing_since):
            self.flowing_since = now
        self.flowed_at = now

    def told(self, told: Told) -> bool:
        """Take in what a neighbour tells; tell whether it is trusted.

        While it is, it stands for the store's word.
        """
        now = asyncio.get_running_loop().time()
        trusted_s = self._trusted_s(told, now)
        if told.outages != self._outages_told:
            if self._outages_told is not None:
                self.outages += 1
                self._sink.away()
            self._outages_told = told.outages
        if told.revision > self._revision:
            self._take_told(told)
            self._give_up_if_large(told)
        elif told.revision < self._revision:
            # It has yet to learn what is known here.
            return trusted_s > 0
        self._confirmed(now - told.age_s)
        if self.borrows:
            # The store is asked all the same: it may be back for this entry.
            return trusted_s > 0
        self._told_until = max(self._told_until, now + trusted_s)
        if trusted_s > 0:
            self._failures = 0
        # One's own answer is given up also if it flows: after an outage all
        # would share the link, and the neighbour's would come later for all.
        if self._asking and self._revision and now < self._told_until:
            self._asking.cancel()
        return trusted_s > 0

    def told_far(self, told: Told) -> None:
        """Take in what an entry of another zone tells, beside the store's word.

        Whoever has a change first passes it on as a difference, while whole
        configurations are still under way to the other zones: 700 KB of 1,900
        routes take 0.9 s of a link at 6 Mbit/s, a change of one of them 0.3 KB.
        The store goes on being asked, so that nobody rests on another zone.
        """
        if told.revision < self._revision:
            return
        now = asyncio.get_running_loop().time()
        if told.revision > self._revision:
            self._take_told(told)
            self._give_up_if_large(told)
        self._confirmed(now - told.age_s)

    def left(self) -> None:
        """Expect nothing more from the neighbour; another counts anew."""
        self._outages_told = None
        self.borrows = False

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._until_needed()
            began = loop.time()
            try:
                answered = await self._ask()
            except HistoryLostError:
                log(Event.STORE_HISTORY_LOST, prefix=self._prefix)
                # The store itself was there: what is missing now is gone.
                self._revision = 0
            except StoreError as exc:
                self._failures += 1
                self._note_away(exc)
                self._sink.away()
                # A call that hung was a pause itself; the store may be back.
                left_s = self._pause_s() - (loop.time() - began)
                await asyncio.sleep(max(_PAUSE_LEAST_S, left_s))
            else:
                if answered:
                    self._failures = 0
                    self._note_back()

    async def _until_needed(self) -> None:
        loop = asyncio.get_running_loop()
        while self._revision and loop.time() < self._asks_at():
            await asyncio.sleep(self._asks_at() - loop.time())

    def _asks_at(self) -> float:
        """Give when the store is asked, if no neighbour tells until then.

        One after the other, so that the first answer can be passed on: as many
        copies at once over one link take as many times as long.
        """
        behind_s = min(
            self.behind * self._bounds.gather_s,
            self._bounds.behind_s,
        )
        return self._told_until + behind_s

    async def _ask(self) -> bool:
        """Ask the store; tell whether it answered before a neighbour did."""
        asking = asyncio.create_task(self._step())
        self._asking = asking
        try:
            await asyncio.wait((asking,))
        finally:
            self._asking = None
            await end_all((asking,))
        if asking.cancelled():
            return False
        asking.result()
        return True

    async def _step(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        self.flowing_since = -math.inf
        # An answer that took long is not asked for again for that.
        last_at = max(self.heard_at, self._answered_at, self._arrived_at)
        if not self._revision or asked_at - last_at > _READ_ANEW_S:
            await self._read()
            return
        # An old belief is to be confirmed soon.
        age_s = asked_at - self.heard_at
        wait_s = self._bounds.wait_s - self._overhead_s - age_s
        wait_s = max(_LEAST_WAIT_S, wait_s)
        found = await hedged(
            self._waiting(wait_s),
            self._waiting(_LEAST_WAIT_S),
            self._due_s(wait_s, age_s),
            lambda: not math.isfinite(self.flowing_since),
        )
        # A wait that ends empty confirms what is believed, too.
        full_s = 0 if found.changes else wait_s
        began_at = self._note_heard(asked_at, full_s)
        if not found.changes:
            self._overhead_s = max(0, began_at - asked_at - wait_s)
        if found.revision > self._revision:
            # Another entry may have told a part of it meanwhile.
            lacked = (one for one in found.changes if one.since(self._revision))
            # All were written before the answer began to come.
            aged = _aged(lacked, self.flowed_at - began_at)
            self._take(Changes(tuple(aged), found.revision))
        if found.changes:
            await asyncio.sleep(self._gather_s())

    def _waiting(self, wait_s: float) -> Question[Changes]:
        wait = self._store.wait
        return functools.partial(wait, self._prefix, self._revision, wait_s)

    def _due_s(self, wait_s: float, age_s: float) -> float:
        """Give when a wait is asked again; a store that fails is asked once."""
        if self._failures:
            return math.inf
        due_s = wait_s + self._overhead_s
        return due_s + self._bounds.late_at_s(age_s + due_s)

    def _gather_s(self) -> float:
        """Give for how long changes are gathered: a belief that ages is not."""
        age_s = asyncio.get_running_loop().time() - self.heard_at
        return max(0, min(self._bounds.gather_s, self._bounds.wait_s - age_s))

    async def _read(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        snapshot = await self._store.read(self._prefix)
        self._note_heard(asked_at)
        if snapshot.revision < self._revision:
            # A neighbour told more meanwhile.
            return
        self._replace(snapshot)

    def _replace(self, snapshot: Snapshot) -> None:
        now = asyncio.get_running_loop().time()
        self.mirror.replaced(snapshot, now)
        self._sink.replaced(snapshot)
        self._arrived(snapshot.revision)

    def _take(self, found: Changes) -> None:
        now = asyncio.get_running_loop().time()
        self.mirror.changed(found.changes, found.revision, now)
        if found.changes:
            self._sink.changed(found.changes)
        self._arrived(found.revision)

    def _take_told(self, told: Told) -> None:
        if not told.whole:
            self._take(Changes(told.changes, told.revision))
            return
        found = {
            one.key: one.record
            for one in told.changes
            if one.record is not None
        }
        ages = {one.key: one.age_s for one in told.changes}
        self._replace(Snapshot(found, told.revision, ages))

    def _give_up_if_large(self, told: Told) -> None:
        """Ask the store anew: it sends the same whole, over a shared link."""
        if self._asking and _is_large(told):
            self._asking.cancel()

    def _arrived(self, revision: int) -> None:
        self._revision = revision
        self._arrived_at = asyncio.get_running_loop().time()
        self.learned.set()
        self._wake()

    def _wake(self) -> None:
        for woken in self._listeners:
            woken.set()

    def _trusted_s(self, told: Told, now: float) -> float:
        known_s = self._bounds.known_s(told)
        if known_s > 0:
            self._flow_until = math.inf
            return known_s
        flow_s = self._bounds.flow_s(told)
        if flow_s > 0:
            # Not for ever: one answer after the other may break off.
            until = min(self._flow_until, now + self._bounds.flowing_s)
            self._flow_until = until
            return min(flow_s, until - now)
        return known_s

    def _pause_s(self) -> float:
        return pause_s(
            self._failures,
            self._rng,
            _PAUSE_FIRST_S,
            _LISTENER_PAUSE_MOST_S if self.backed else _PAUSE_MOST_S,
            _PAUSE_LEAST_SHARE,
        )

    def _is_old(self, at: float) -> bool:
        age_s = asyncio.get_running_loop().time() - at
        return age_s > self._bounds.fresh_s

    def _note_heard(self, asked_at: float, waited_s: float = 0) -> float:
        """Note that the store answered; give when its answer began to come.

        It waited for so long, at least, unless the answer came sooner.
        """
        now = asyncio.get_running_loop().time()
        self.flowed_at = now
        self._answered_at = now
        self._flow_until = math.inf
        began_at = self.flowing_since
        began_at = began_at if math.isfinite(began_at) else now
        # An answer is made up after its question, and may be on its way for any
        # time: from its arrival on, a belief would be younger than the truth.
        until = asked_at + waited_s
        known_at = until if until <= began_at else asked_at
        self.answered_as_of = max(self.answered_as_of, known_at)
        self._confirmed(known_at)
        return began_at

    def _confirmed(self, known_at: float) -> None:
        newer = known_at > self.heard_at + _SAME_S
        self.heard_at = max(self.heard_at, known_at)
        if newer:
            # Listeners trust what is confirmed, also where nothing changed.
            self._wake()

    def _note_away(self, exc: StoreError) -> None:
        self.outages += 1
        if not self._away:
            log(
                Event.STORE_AWAY,
                prefix=self._prefix,
                code=exc.code,
                detail=exc.detail,
                revision=self._revision,
            )
        self._away = True

    def _note_back(self) -> None:
        if self._away:
            log(
                Event.STORE_BACK,
                prefix=self._prefix,
                revision=self._revision,
            )
        self._away = False


def _aged(changes: Iterable[Change], seconds: float) -> Iterator[Change]:
    """Add what changes took to come."""
    for one in changes:
        yield dataclasses.replace(one, age_s=one.age_s + seconds)


def _is_large(told: Told) -> bool:
    return any(
        one.record is not None and len(one.record.payload) >= LARGE_OCTETS
        for one in told.changes
    )
