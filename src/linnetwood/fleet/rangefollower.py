"""Follow a range of keys: read it once, then wait for changes.

While a relay supplies the range and the age of its view, no request goes to the
store; as soon as that view is too old, the store is requested directly.
"""

import asyncio
import dataclasses
import functools
import math
from collections.abc import Iterable, Iterator
from random import Random

from linnetwood.core.backoff import pause_s
from linnetwood.core.errors import StoreError
from linnetwood.core.owner import TaskOwner
from linnetwood.fleet.answeredwait import AnsweredWait, answered_wait
from linnetwood.fleet.followerlog import FollowerLog
from linnetwood.fleet.freshness import (
    DEFAULT_BOUNDS,
    FreshnessBounds,
    RelayedUpdate,
)
from linnetwood.fleet.hedging import Request, cancel_all, hedged
from linnetwood.fleet.mirror import LARGE_BYTES, Mirror
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    RangeSink,
    RangeStore,
    Snapshot,
)
from linnetwood.fleet.retained import RetainedRecords
from linnetwood.fleet.revisions import same_era
from linnetwood.fleet.storehistory import StoreHistory
from linnetwood.fleet.storeprobe import until_answered
from linnetwood.fleet.viewsources import (
    FROM_STORE,
    Source,
    relay_source,
    zone_source,
)

# Records of live endpoints are back within 2 s of the store's return, so that
# return must be noticed well within 1 s.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.8
_MIN_PAUSE_SHARE = 0.5
_MIN_PAUSE_S = 0.05

# An entry that has a relay sends a failing store half as many requests: the
# relay notices the store's return first, and one copy crosses the link in place
# of many.
_SUBSCRIBER_MAX_PAUSE_S = 1.6

# After this time without any news the whole range is read again: unlike a list
# of changes, that answer doesn't grow with versions that came and went since.
# A single lost wait takes less.
_REREAD_AFTER_S = 5.0

# Waits at a slow store are shorter, so that its answers come as often. The
# minimum limits the number of calls, each of which costs money.
_MIN_WAIT_S = 0.1
# Ages are sent in milliseconds: times that differ by less belong to the same
# answer.
_AGE_RESOLUTION_S = 0.01


class RangeFollower(TaskOwner):
    """Own one range: a task that reads it, waits for changes and repeats."""

    def __init__(
        self,
        store: RangeStore,
        prefix: str,
        sink: RangeSink,
        rng: Random,
        bounds: FreshnessBounds = DEFAULT_BOUNDS,
        retained: RetainedRecords | None = None,
    ) -> None:
        """Start with no request sent."""
        super().__init__()
        self.retained = retained or RetainedRecords()
        self.synced = asyncio.Event()
        # All times are by the clock of the loop. This is the time as of which
        # the store or a relay confirmed the view.
        self.confirmed_at = -math.inf
        # The time as of which the store itself confirmed the view.
        self.store_confirmed_at = -math.inf
        self.last_byte_at = -math.inf
        self.first_byte_at = -math.inf
        self.outages = 0
        # Whether there is a relay to subscribe to, and whether the current one
        # may itself subscribe to this entry: then no age is passed on.
        self.has_relays = False
        self.uses_fallback_relay = False
        # How many entries send requests before this one where all relays fail.
        self.stagger_position = 0
        self.mirror = Mirror()
        self._log = FollowerLog(prefix, self.mirror)
        # What was asked and heard last, for log lines.
        self.sources = self._log.sources
        self._store = store
        self._prefix = prefix
        self._sink = sink
        self._rng = rng
        self._bounds = bounds
        self._revision = 0
        self._history = StoreHistory()
        self._failures = 0
        # Whether a request failed since one was dropped for a short request.
        self._may_drop_request = True
        self._answered_at = -math.inf
        self._advanced_at = -math.inf
        self._trusted_until = -math.inf
        self._relayed_at = -math.inf
        self._receiving_until = math.inf
        self._overhead_s = float()
        self._relay_outages: int | None = None
        self._subscribers: set[asyncio.Event] = set()
        self._request_task: asyncio.Task[None] | None = None

    @property
    def revision(self) -> int:
        """Return the revision up to which all changes are known."""
        return self._revision

    def subscribe(self, event: asyncio.Event) -> None:
        """Set an event at each change or confirmation from now on."""
        self._subscribers.add(event)

    def unsubscribe(self, event: asyncio.Event) -> None:
        """Stop setting an event."""
        self._subscribers.discard(event)

    @property
    def is_store_silent(self) -> bool:
        """Return whether the store itself has not answered lately."""
        return self._is_old(self._answered_at)

    @property
    def is_isolated(self) -> bool:
        """Return whether neither store nor relay confirmed the view lately."""
        return self.is_store_silent and self._is_old(self.confirmed_at)

    def note_bytes(self) -> None:
        """Note that bytes of an answer arrived from the store."""
        now = asyncio.get_running_loop().time()
        if not math.isfinite(self.first_byte_at):
            self.first_byte_at = now
            self.sources.came('receiving')
        self.last_byte_at = now

    def apply_update(self, update: RelayedUpdate) -> bool:
        """Apply an update of a relay; return whether its view is trusted.

        While it is, it replaces the store's own answers.
        """
        now = asyncio.get_running_loop().time()
        source = relay_source(update.source)
        self.sources.heard(source, now - update.age_s, now)
        trusted_s = self._trusted_s(update, now)
        if update.outages != self._relay_outages:
            if self._relay_outages is not None:
                self.outages += 1
                self._sink.mark_unreachable()
            self._relay_outages = update.outages
        self._retain(update)
        is_lost = self._history.is_over(update.revision)
        if update.revision < self._revision:
            # The relay has yet to learn changes that are known here.
            self._log.update_ignored(update)
            return trusted_s > 0
        if is_lost:
            self._log.update_ignored(update)
        else:
            self._apply_newer(update, source)
            self._note_confirmed(now - update.age_s, source)
        if self.uses_fallback_relay:
            # Requests to the store go on: it may be reachable again from here.
            return trusted_s > 0
        self._trusted_until = max(self._trusted_until, now + trusted_s)
        if trusted_s > 0:
            self._failures = 0
        # The entry's own request is cancelled even if its answer has begun to
        # arrive: after an outage the answers to all entries would share the
        # link, and the relay's would arrive later for all.
        if self._request_task and self._revision and now < self._trusted_until:
            self._request_task.cancel()
        return trusted_s > 0

    def apply_remote_update(self, update: RelayedUpdate) -> None:
        """Apply an update of a relay in another zone.

        The zone that has a change first passes it on as a patch, while whole
        configurations are still on their way to the other zones: 700 KB for
        1,900 routes take 0.9 s on a link at 6 Mbit/s, the change of one route
        is 0.3 KB. Requests to the store go on beside it, so that no zone
        depends on another one.
        """
        self._retain(update)
        is_older = update.revision < self._revision
        if is_older or self._history.is_over(update.revision):
            self._log.update_ignored(update)
            return
        now = asyncio.get_running_loop().time()
        source = zone_source(update.source)
        self.sources.heard(source, now - update.age_s, now)
        self._apply_newer(update, source)
        self._note_confirmed(now - update.age_s, source)

    def forget_relay(self) -> None:
        """Drop the state of a relay that was left, before another is used."""
        self._relay_outages = None
        self.uses_fallback_relay = False

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_until_due()
            started_at = loop.time()
            try:
                answered = await self._request()
            except HistoryLostError as exc:
                self._log.history_lost(exc)
                self._history.note_lost(exc.era, self._revision, loop.time())
            except StoreError as exc:
                self._failures += 1
                self.outages += 1
                self._may_drop_request = True
                self._log.store_failed(exc)
                self._sink.mark_unreachable()
                # The time that a hung call took counts as part of the pause, as
                # the store may be reachable again.
                left_s = self._pause_s() - (loop.time() - started_at)
                await asyncio.sleep(max(_MIN_PAUSE_S, left_s))
            else:
                if answered:
                    self._failures = 0
                    self._log.store_answered()
                else:
                    self.sources.came('relayed')

    async def _wait_until_due(self) -> None:
        loop = asyncio.get_running_loop()
        while self._revision and loop.time() < self._request_at():
            await asyncio.sleep(self._request_at() - loop.time())

    def _request_at(self) -> float:
        """Return when to request the store, if no relay sends an update before.

        Entries take turns, so that the first answer can be relayed: several
        copies at once over one link take several times as long.
        """
        stagger_s = self._bounds.stagger_s(
            self.stagger_position,
            reads_whole=self._history.must_read and self._history.is_restored,
        )
        if self._history.must_read:
            # All entries notice it at the same moment.
            return max(self._trusted_until, self._history.lost_at) + stagger_s
        # A relay that brought a large change stands in for one wait. Where its
        # view is too old to be trusted, as on full links, each entry would get
        # the whole configuration from the store again after each change.
        relayed_until = self._relayed_at + self._bounds.wait_s
        return max(self._trusted_until, relayed_until) + stagger_s

    async def _request(self) -> bool:
        """Request the store; return whether it answered before a relay did."""
        task = asyncio.create_task(self._read_or_wait())
        self._request_task = task
        tasks = [task]
        if self._failures and self._may_drop_request:
            # The request may have been lost just before the store's return.
            probe = until_answered(self._store, self._revision, self._is_silent)
            tasks.append(asyncio.create_task(probe))
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                # The next one may take longer than short requests, and is kept.
                self._may_drop_request = False
        finally:
            self._request_task = None
            await cancel_all(tasks)
        if task.cancelled():
            return False
        task.result()
        return True

    async def _read_or_wait(self) -> None:
        requested_at = asyncio.get_running_loop().time()
        self.first_byte_at = -math.inf
        self._history.note_request(self._revision)
        # An answer that took long must not itself cause another full read.
        last_news_at = max(
            self.confirmed_at, self._answered_at, self._advanced_at
        )
        is_old = requested_at - last_news_at > _REREAD_AFTER_S
        if not self._revision or self._history.must_read or is_old:
            self.sources.asked('read', requested_at)
            await self._read()
            return
        self.sources.asked('wait', requested_at)
        # The older the view is, the sooner it must be confirmed.
        age_s = requested_at - self.confirmed_at
        wait_s = self._bounds.wait_s - self._overhead_s - age_s
        wait_s = max(_MIN_WAIT_S, wait_s)
        wait = await hedged(
            self._wait_request(wait_s),
            self._wait_request(_MIN_WAIT_S),
            self._hedge_after_s(wait_s, age_s),
            self._is_silent,
        )
        answer = wait.changes
        began_at = self._note_answer(wait.requested_at, wait.confirmed_s)
        if not answer.changes:
            self._overhead_s = wait.overhead_s(began_at)
        if answer.revision > self._revision:
            # Another entry may have relayed some of these changes meanwhile.
            missing = (
                change
                for change in answer.changes
                if change.may_follow(self._revision)
            )
            # All were written before the answer began to arrive.
            aged = _add_age(missing, self.last_byte_at - began_at)
            self._apply_changes(
                Changes(tuple(aged), answer.revision), FROM_STORE
            )
        if answer.changes:
            age_s = asyncio.get_running_loop().time() - self.confirmed_at
            await asyncio.sleep(self._bounds.batch_delay_at_s(age_s))

    def _is_silent(self) -> bool:
        """Return whether the request has no byte of an answer yet."""
        return not math.isfinite(self.first_byte_at)

    def _wait_request(self, wait_s: float) -> Request[AnsweredWait]:
        return functools.partial(
            answered_wait, self._store, self._prefix, self._revision, wait_s
        )

    def _hedge_after_s(self, wait_s: float, age_s: float) -> float:
        """Return after how many seconds to repeat a wait that has no answer.

        A store that fails gets no second request.
        """
        if self._failures:
            return math.inf
        due_s = wait_s + self._overhead_s
        return due_s + self._bounds.hedge_delay_at_s(age_s + due_s)

    async def _read(self) -> None:
        requested_at = asyncio.get_running_loop().time()
        snapshot = await self._store.read(self._prefix)
        self._note_answer(requested_at)
        if snapshot.revision < self._revision:
            # A relay sent a newer revision meanwhile.
            return
        self._apply_snapshot(snapshot, FROM_STORE)

    def _apply_snapshot(self, snapshot: Snapshot, source: Source) -> None:
        now = asyncio.get_running_loop().time()
        large = self.mirror.large_revision
        self._log.replaced(snapshot, source)
        if self._revision and not same_era(snapshot.revision, self._revision):
            snapshot = dataclasses.replace(snapshot, is_restored=True)
            before = self.mirror.changes_of_all(now)
            self.retained.note_restored(before, snapshot, now)
        self.retained.note_read(snapshot)
        self.mirror.replace_all(snapshot, now)
        # A record that is only read again keeps its age.
        ages = {**snapshot.ages, **self.mirror.known_ages(now)}
        try:
            self._sink.replace_all(dataclasses.replace(snapshot, ages=ages))
            self.retained.apply(now)
        except Exception:
            # Relays send again only what the mirror lacks.
            self.mirror.revision = self._revision
            raise
        self._log.changed(source, large, self.confirmed_at, now)
        self._advance(snapshot.revision)

    def _apply_changes(self, answer: Changes, source: Source) -> None:
        now = asyncio.get_running_loop().time()
        large = self.mirror.large_revision
        self.retained.note_changes(answer.changes, answer.revision)
        if answer.changes:
            self._sink.apply_changes(answer.changes)
        # Relays send again only what the mirror lacks.
        self.mirror.apply_changes(answer.changes, answer.revision, now)
        self._log.changed(source, large, self.confirmed_at, now)
        self._advance(answer.revision)

    def _apply_newer(self, update: RelayedUpdate, source: Source) -> None:
        """Apply an update if it has changes that are not known here."""
        if update.revision > self._revision:
            self._apply_relayed(update, source)
            self._cancel_request_if_large(update)

    def _apply_relayed(self, update: RelayedUpdate, source: Source) -> None:
        if not update.whole:
            self._apply_changes(
                Changes(update.changes, update.revision), source
            )
            return
        records = {
            change.key: change.record
            for change in update.changes
            if change.record is not None
        }
        ages = {change.key: change.age_s for change in update.changes}
        snapshot = Snapshot(records, update.revision, ages)
        self._apply_snapshot(snapshot, source)

    def _retain(self, update: RelayedUpdate) -> None:
        """Retain what a relay keeps in force, unless it was written since."""
        if not update.retained:
            return
        now = asyncio.get_running_loop().time()
        written = {
            change.key
            for change in self.mirror.changes_of_all(now)
            if change.may_follow(update.revision)
        }
        missing = [
            change for change in update.retained if change.key not in written
        ]
        self.retained.add(missing, update.revision, now)
        if self._revision:
            self.retained.apply(now)

    def _cancel_request_if_large(self, update: RelayedUpdate) -> None:
        """Cancel a request whose answer would bring the same data as a whole.

        It would take up the link that the region shares.
        """
        if not _is_large(update):
            return
        self._relayed_at = asyncio.get_running_loop().time()
        if self._request_task:
            self._request_task.cancel()

    def _advance(self, revision: int) -> None:
        self._revision = revision
        self._history.note_view(revision)
        self._log.update_applied()
        self._advanced_at = asyncio.get_running_loop().time()
        self.synced.set()
        self._notify()

    def _notify(self) -> None:
        for event in self._subscribers:
            event.set()

    def _trusted_s(self, update: RelayedUpdate, now: float) -> float:
        fresh_s = self._bounds.fresh_for_s(update)
        if self._history.is_over(update.revision):
            # However young, its view is not the store's; it may be reading it.
            fresh_s = -math.inf
        if fresh_s > 0:
            self._receiving_until = math.inf
            return fresh_s
        receiving_s = self._bounds.receiving_for_s(update)
        if receiving_s > 0:
            # Limited, since one answer after the other may break off.
            until = min(
                self._receiving_until, now + self._bounds.max_receiving_s
            )
            self._receiving_until = until
            return min(receiving_s, until - now)
        return fresh_s

    def _pause_s(self) -> float:
        return pause_s(
            self._failures,
            self._rng,
            _FIRST_PAUSE_S,
            _SUBSCRIBER_MAX_PAUSE_S if self.has_relays else _MAX_PAUSE_S,
            _MIN_PAUSE_SHARE,
        )

    def _is_old(self, at: float) -> bool:
        age_s = asyncio.get_running_loop().time() - at
        return age_s > self._bounds.max_age_s

    def _note_answer(self, requested_at: float, waited_s: float = 0) -> float:
        """Note an answer of the store; return when it began to arrive.

        The store waited for at least waited_s, unless the answer came sooner.
        """
        now = asyncio.get_running_loop().time()
        self.last_byte_at = now
        self._answered_at = now
        self._receiving_until = math.inf
        began_at = self.first_byte_at
        began_at = began_at if math.isfinite(began_at) else now
        # An answer is made after its request and may take any time to arrive.
        # Counted from its arrival, the view would seem younger than it is.
        until = requested_at + waited_s
        known_at = until if until <= began_at else requested_at
        self.store_confirmed_at = max(self.store_confirmed_at, known_at)
        self.sources.answered(FROM_STORE, known_at)
        self._note_confirmed(known_at, FROM_STORE)
        return began_at

    def _note_confirmed(self, known_at: float, source: Source) -> None:
        is_newer = known_at > self.confirmed_at + _AGE_RESOLUTION_S
        self.confirmed_at = max(self.confirmed_at, known_at)
        if is_newer:
            self.sources.confirmed(source, known_at)
            # Subscribers need the new age also where no key changed.
            self._notify()


def _add_age(changes: Iterable[Change], seconds: float) -> Iterator[Change]:
    """Add the time that changes took to arrive."""
    for change in changes:
        yield dataclasses.replace(change, age_s=change.age_s + seconds)


def _is_large(update: RelayedUpdate) -> bool:
    return any(
        change.record is not None and len(change.record.payload) >= LARGE_BYTES
        for change in update.changes
    )
