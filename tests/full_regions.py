"""A model of three regions whose links to each other all traffic shares.

Entries, relays and subscribers are the real ones; links queue and lose bytes,
the store's client has the timeouts of the real one. Virtual time.
"""

import asyncio
import dataclasses
import functools
import math
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar
from unittest import mock

from linnetwood.core.errors import StoreError, WireError
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    Record,
    Snapshot,
)
from linnetwood.fleet.revisions import era_of, join, number_of, same_era
from linnetwood.fleet.zonesubscription import GIVE_UP_S
from linnetwood.lab.memory_net import MemoryNet, MemoryStream
from linnetwood.lab.shared_link import Flow, SharedLinks
from linnetwood.wire.connections import Address
from linnetwood.wire.frames import Frame, FrameStream
from tests import test_narrow_regions as regions
from tests import test_relaying as zones

NEAR = regions.ZONES[0]
LINK_BYTES_PER_S = 2500000
APPLY_S = 2.0
# The timeouts of the store's client.
CONNECT_S = 2.0
READ_FIRST_S = 2.5
SLACK_S = 2.0
SILENT_S = 2.0
HANDSHAKE_RESEND_S = 1.0
REQUEST_BYTES = 300
HEADER_BYTES = 80
FIRST_WINDOW_BYTES = 14600
# Records of endpoints that come before and after the configuration.
OTHER_BYTES = 60000
# Within this time after a fault an entry must have what it lacked.
RECOVERY_S = 3.0
START_S = 8.0
CHECK_EVERY_S = 0.02
# Rounding of ages, and how often what is held is looked at.
MARGIN_S = 0.03
_Result = TypeVar('_Result')


@functools.lru_cache(maxsize=64)
def configuration(version: int, routes: int) -> bytes:
    """Return a configuration, made once for all entries."""
    return regions.configuration(version, routes)


async def arrival(flow: Flow, size: int) -> None:
    """Wait until bytes have arrived."""
    arrived = asyncio.Event()
    flow.send(size, arrived.set)
    await arrived.wait()


class LinkedStore(zones.FarStore):
    """The store, in the near region."""

    def __init__(self, links: SharedLinks, routes: int) -> None:
        super().__init__()
        self.links = links
        self.revision = join(1, 1)
        self.records = {
            zones.KEY: Record(configuration(1, routes), self.revision)
        }
        self.history_from = 0

    def lose_history(self) -> None:
        """Forget all changes until now."""
        self.history_from = self.revision
        self.wake()

    def restore(self, revision: int, records: dict[str, Record]) -> None:
        """Lose all since a copy, and give out its revisions again."""
        era = era_of(self.revision) + 1
        self.revision = join(era, number_of(revision))
        self.records = {
            key: Record(one.payload, join(era, number_of(one.revision)))
            for key, one in records.items()
        }
        self.events.clear()
        self.lose_history()

    def wake(self) -> None:
        """End the calls that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    def changes_since(self, after: int) -> tuple[Change, ...]:
        """Return all writes after a revision."""
        return tuple(
            change
            for change in self.events
            if change.record is not None and change.record.revision > after
        )


class LinkedStoreClient(zones.StoreLink):
    """One entry's calls to the store, with the timeouts of the client."""

    def __init__(self, store: LinkedStore, name: str) -> None:
        super().__init__(store, name)
        self._at = store
        self._zone = regions.zone_of(name)
        self._kept = False
        self._calls = 0

    async def read(self, prefix: str) -> Snapshot:
        """Read two pages; the first one's revision counts."""
        revision = await self._call(self._first_page, READ_FIRST_S)
        found = await self._call(self._second_page, READ_FIRST_S)
        if not same_era(found.revision, revision):
            raise self._history_lost()
        return Snapshot(found.records, revision)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes since a revision."""
        answer = functools.partial(self._wait, after, wait_s)
        found = await self._call(answer, wait_s + SLACK_S)
        if not same_era(found.revision, after):
            raise self._history_lost()
        return found

    async def _first_page(self) -> tuple[int, int]:
        await asyncio.sleep(0)
        return self._at.revision, OTHER_BYTES

    async def _second_page(self) -> tuple[Snapshot, int]:
        await asyncio.sleep(0)
        records = dict(self._at.records)
        size = sum(len(one.payload) for one in records.values())
        found = Snapshot(records, self._at.revision)
        return found, OTHER_BYTES + size * 4 // 3

    async def _wait(self, after: int, wait_s: float) -> tuple[Changes, int]:
        store = self._at
        if store.revision <= after:
            await wait_for_event(store.changed, wait_s)
        if after < store.history_from:
            return Changes((), join(era_of(store.revision) or 1, 0)), -1
        found = store.changes_since(after)
        size = sum(len(one.record.payload) for one in found if one.record)
        return Changes(found, store.revision), size * 4 // 3

    async def _call(
        self,
        answer: Callable[[], Awaitable[tuple[_Result, int]]],
        first_s: float,
    ) -> _Result:
        """Send a request; raise StoreError when no byte comes for too long."""
        self._at.calls += 1
        is_kept = self._kept and not self._calls
        self._calls += 1
        there = self._at.links.flow(self._zone, NEAR)
        back = self._at.links.flow(NEAR, self._zone)
        self._kept = False
        deadline = _Deadline(first_s)
        exchange = self._exchange(there, back, answer, deadline)
        task = asyncio.create_task(exchange)
        try:
            if not is_kept:
                await self._connect_to_store(there, back)
            deadline.ready.set()
            found = await deadline.result_of(task)
        except HistoryLostError:
            self._kept = True
            raise
        finally:
            self._calls -= 1
            await _end_exchange(there, back, task)
        self._kept = True
        return found

    async def _connect_to_store(self, there: Flow, back: Flow) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                while self._name in self._at.cut:
                    await asyncio.sleep(HANDSHAKE_RESEND_S)
                await arrival(there, 1)
                await arrival(back, 1)
        except TimeoutError as exc:
            raise StoreError('store-unreachable', 'connect') from exc

    async def _exchange(
        self,
        there: Flow,
        back: Flow,
        answer: Callable[[], Awaitable[tuple[_Result, int]]],
        deadline: '_Deadline',
    ) -> _Result:
        await deadline.ready.wait()
        await arrival(there, REQUEST_BYTES)
        if self._name in self._at.cut:
            await asyncio.Event().wait()
        found, size = await answer()
        arrived = asyncio.Event()

        def note_bytes() -> None:
            deadline.extend()
            self.on_bytes()

        back.send(max(0, size) + REQUEST_BYTES, arrived.set, note_bytes)
        await arrived.wait()
        self.on_bytes()
        if size < 0:
            raise self._history_lost()
        return found

    def _history_lost(self) -> HistoryLostError:
        era = era_of(self._at.revision)
        return HistoryLostError('store-history-lost', '', era)


class _Deadline:
    """The time by which the next byte of an answer must come."""

    def __init__(self, first_s: float) -> None:
        self.ready = asyncio.Event()
        self._first_s = first_s
        self._at = math.inf

    def extend(self) -> None:
        self._at = asyncio.get_running_loop().time() + SILENT_S

    async def result_of(self, task: asyncio.Task[_Result]) -> _Result:
        loop = asyncio.get_running_loop()
        self._at = loop.time() + self._first_s
        while not task.done():
            await asyncio.wait((task,), timeout=self._at - loop.time())
            if not task.done() and loop.time() >= self._at:
                raise StoreError('store-unreachable', 'silent')
        return task.result()


async def _end_exchange(
    there: Flow, back: Flow, task: asyncio.Task[Any]
) -> None:
    there.close()
    back.close()
    await _cancel(task)


async def _cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class LinkedNet(regions.RegionNet):
    """Connections between entries over links that all traffic shares."""

    def __init__(self, links: SharedLinks) -> None:
        super().__init__(regions.Links())
        self.blocked: set[tuple[str, str]] = set()
        self.relayed_bytes: dict[tuple[str, str], int] = {}
        self._shared = links
        self._flows: dict[MemoryStream, Flow] = {}

    async def dial_from(self, zone: str, address: Address) -> FrameStream:
        """Connect over the links, unless they are blocked."""
        there = regions.zone_of(address[0])
        try:
            async with asyncio.timeout(GIVE_UP_S):
                await arrival(self._flow(zone, there), 1)
                await arrival(self._flow(there, zone), 1)
        except TimeoutError as exc:
            raise WireError('connect-failed', 'timeout') from exc
        return await super().dial_from(zone, address)

    def carry(self, sender: MemoryStream, frame: Frame) -> None:
        """Deliver a frame when its bytes have passed the link."""
        here, there = self._zones.get(sender, ('', ''))
        bring = functools.partial(MemoryNet.carry, self, sender, frame)
        if here == there:
            bring()
            return
        pair = (here, there)
        size = len(frame.payload) + HEADER_BYTES
        self.relayed_bytes[pair] = self.relayed_bytes.get(pair, 0) + size
        flow = self._flows.get(sender)
        if flow is None:
            flow = self._flow(here, there)
            self._flows[sender] = flow
        flow.send(size, bring)

    def _flow(self, here: str, there: str) -> Flow:
        pair = (here, there)
        return self._shared.flow(here, there, lambda: pair in self.blocked)


@dataclasses.dataclass(frozen=True)
class Size:
    """Entries of a region, routes, and how long a link queues, in seconds."""

    entries: int = 3
    routes: int = 110
    queue_s: float = 1.0
    bytes_per_s: float = LINK_BYTES_PER_S


class FullRegions(regions.Regions):
    """Regions in which links, the store and entries have faults."""

    client_class: type[LinkedStoreClient] = LinkedStoreClient

    def __init__(self, size: Size) -> None:
        self.size = size
        self.shared = SharedLinks(size.bytes_per_s, size.queue_s)
        self.store = self._make_store()
        self.net: LinkedNet
        with (
            mock.patch.object(regions, 'ENTRIES', size.entries),
            mock.patch.object(regions, 'RegionStore', self._only_store),
            mock.patch.object(regions, 'RegionNet', self._make_net),
            mock.patch.object(zones, 'StoreLink', self.client_class),
            mock.patch.object(zones, 'APPLY_S', APPLY_S),
        ):
            super().__init__()
        self.findings: list[str] = []
        # Since when an entry has been able to follow the store by itself, and
        # others.
        self.in_touch_from: dict[str, float] = {}
        self.running_from: dict[str, float] = {}
        # Since when a zone and the near one have been connected.
        self.unblocked_from: dict[str, float] = {}
        self.stable_from = START_S
        self.killed_at = -math.inf
        self.killed = 0
        self.newest = 1
        self.journal: list[str] = []
        self._tasks_of_faults: list[asyncio.Task[None]] = []

    def _make_store(self) -> LinkedStore:
        return LinkedStore(self.shared, self.size.routes)

    def _only_store(self, zone: str, links: regions.Links) -> LinkedStore:
        return self.store

    def _make_net(self, links: regions.Links) -> LinkedNet:
        return LinkedNet(self.shared)

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> list[str]:
        """Run a scenario; return what was wrong."""
        try:
            await self._begin()
            await scenario()
            await asyncio.sleep(2 * RECOVERY_S + APPLY_S)
        finally:
            for task in self._tasks_of_faults:
                await _cancel(task)
            await self.close()
        return self.findings

    async def _begin(self) -> None:
        self._tasks = [asyncio.create_task(self._announce())]
        for entry in self.entries:
            entry.start()
        await asyncio.sleep(START_S)
        for synced in self.entries:
            assert synced.follower.synced.is_set(), synced.name
        self.during(self._watch_all())

    def during(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a fault beside all else."""
        task = asyncio.create_task(work)
        self._tasks_of_faults.append(task)
        return task

    def note(self, *words: object) -> None:
        """Note what was done, for who traces a seed."""
        now = asyncio.get_running_loop().time()
        self.journal.append(' '.join((f'{now:.2f}', *map(str, words))))

    def change(self) -> None:
        """Write a version that was never written."""
        self.newest += 1
        now = asyncio.get_running_loop().time()
        self.written[self.newest] = now
        self.note('write', self.newest, 'routes', self.size.routes)
        self.store.write(configuration(self.newest, self.size.routes))

    async def restart(self, names: list[str], down_s: float) -> None:
        """Kill entries; they start anew at once or later."""
        self.note('kill', names, 'for', round(down_s, 2))
        self.killed_at = asyncio.get_running_loop().time()
        self.killed = len(names)
        ended = [entry for entry in self.entries if entry.name in names]
        for entry in ended:
            self.in_touch_from[entry.name] = math.inf
            await self.kill(entry)
        await asyncio.sleep(down_s)
        self.note('start', names)
        now = asyncio.get_running_loop().time()
        for name in names:
            self.running_from[name] = now
            self.in_touch_from[name] = now
        with (
            mock.patch.object(zones, 'StoreLink', self.client_class),
            mock.patch.object(zones, 'APPLY_S', APPLY_S),
        ):
            for name in names:
                self.add(name).start()

    async def freeze(self, names: list[str], seconds: float) -> None:
        """Let entries stand still towards others and the store."""
        self.note('freeze', names, 'for', round(seconds, 2))
        until = asyncio.get_running_loop().time() + seconds
        for name in names:
            self.running_from[name] = until
            self.net.frozen_until[(name, zones.PORT)] = until
        await self.cut(names, seconds)

    async def cut(self, names: list[str], seconds: float) -> None:
        """Cut entries off from the store alone."""
        self.note('cut', names, 'for', round(seconds, 2))
        self.store.cut.update(names)
        for name in names:
            self.in_touch_from[name] = math.inf
        await asyncio.sleep(seconds)
        self.store.cut.difference_update(names)
        now = asyncio.get_running_loop().time()
        for name in names:
            self.in_touch_from[name] = now

    async def block(self, zone: str, seconds: float) -> None:
        """Cut a zone off from the near region's entries, not the store."""
        self.note('block', zone, 'for', round(seconds, 2))
        pairs = {(zone, NEAR), (NEAR, zone)}
        self.net.blocked |= pairs
        self.unblocked_from[zone] = math.inf
        await asyncio.sleep(seconds)
        self.net.blocked -= pairs
        self.unblocked_from[zone] = asyncio.get_running_loop().time()

    async def fill(self, pair: tuple[str, str], level_s: float) -> None:
        """Fill a link for some seconds."""
        seconds = 4.0
        self.note('fill', pair, round(level_s, 2), 'for', seconds)
        await self.shared.link(*pair).fill(level_s, seconds)

    def shortest_s(self, zone: str, at: float) -> float:
        """Return how long others hold up a byte on the shortest way."""
        if zone == NEAR:
            return 0
        third = next(one for one in regions.ZONES[1:] if one != zone)
        link = self.shared.link
        straight_s = link(NEAR, zone).others_delay_s(at)
        first_s = link(NEAR, third).others_delay_s(at)
        second_s = link(third, zone).others_delay_s(at + first_s)
        return min(straight_s, first_s + second_s)

    async def _watch_all(self) -> None:
        loop = asyncio.get_running_loop()
        known: dict[int, tuple[int, int]] = {}
        while True:
            now = loop.time()
            for entry in self.entries:
                self._check(entry, now, known)
            await asyncio.sleep(CHECK_EVERY_S)

    def _check(
        self,
        entry: regions.RegionEntry,
        now: float,
        known: dict[int, tuple[int, int]],
    ) -> None:
        held = regions.version_of(entry.sink.payload)
        era = era_of(entry.follower.revision)
        before = known.get(id(entry.sink), (0, 0))
        if before[0] > held and before[1] == era:
            self._add(now, entry, held, 'goes-back', before[0] - held)
        known[id(entry.sink)] = (held, era)
        lacking = [at for one, at in self.written.items() if one > held]
        if not lacking or held == 0:
            self._check_start(entry, now, held)
            return
        stated_s = entry.follower.confirmed_at - min(lacking)
        if stated_s > MARGIN_S:
            self._add(now, entry, held, 'overstates', stated_s)
        late = [at for at in lacking if self._is_late(entry, at, now)]
        if late and now > self.stable_from + RECOVERY_S:
            self._add(now, entry, held, 'lacks', now - min(late))

    def _check_start(
        self, entry: regions.RegionEntry, now: float, held: int
    ) -> None:
        if not held and self._is_late(entry, START_S, now):
            self._add(now, entry, held, 'knows-nothing', 0)

    def _is_late(
        self, entry: regions.RegionEntry, at: float, now: float
    ) -> bool:
        since = max(at, self._running(entry))
        if now - since <= APPLY_S + MARGIN_S:
            return False
        zone = regions.zone_of(entry.name)
        steps = [since + step / 10 for step in range(int(now * 10 - at * 10))]
        queue_s = max(self.shortest_s(zone, step) for step in steps)
        # The store sends a configuration only as a whole, and a connection
        # needs some round trips to grow to that size.
        round_s = max(self._round_s(zone, step) for step in steps)
        whole = len(self.store.records[zones.KEY].payload) * 4 // 3
        whole += OTHER_BYTES
        rounds = 3 + 2 * math.log2(1 + whole / FIRST_WINDOW_BYTES)
        relayed = max(since, self._relays_from(zone)) + queue_s
        # Where more than one relay has ended, connections must be made anew.
        renewed = self.killed_at + 2 * round_s + queue_s
        relayed = max(relayed, renewed if self.killed > 1 else 0)
        asked = max(since, self._touch(entry)) + rounds * round_s
        return now > min(relayed, asked) + APPLY_S + MARGIN_S

    def _round_s(self, zone: str, at: float) -> float:
        """Return the time of a round trip to the store behind others."""
        there_s = self.shared.link(zone, NEAR).others_delay_s(at)
        return there_s + self.shared.link(NEAR, zone).others_delay_s(at)

    def _relays_from(self, zone: str) -> float:
        """Return since when a zone has been able to hear of one in touch."""
        near = min(map(self._touch, self.of(NEAR)), default=math.inf)
        if zone == NEAR:
            return near
        third = next(one for one in regions.ZONES[1:] if one != zone)
        between = min(map(self._running, self.of(third)), default=math.inf)
        through = max(between, self._unblocked(third))
        return max(near, min(self._unblocked(zone), through))

    def _running(self, entry: regions.RegionEntry) -> float:
        since = self.running_from.get(entry.name, 0)
        return since + RECOVERY_S + 2 * self.size.queue_s if since else 0

    def _unblocked(self, zone: str) -> float:
        since = self.unblocked_from.get(zone, 0)
        return since + RECOVERY_S + 2 * self.size.queue_s if since else 0

    def _touch(self, entry: regions.RegionEntry) -> float:
        since = self.in_touch_from.get(entry.name, 0)
        return since + RECOVERY_S if since else 0

    def _add(
        self,
        now: float,
        entry: regions.RegionEntry,
        held: int,
        what: str,
        by: float,
    ) -> None:
        finding = f'{what} {entry.name} {held}'
        if not any(finding in one for one in self.findings):
            self.findings.append(f'{now:.2f} {finding} {by:.2f}')
            self.note('FOUND', finding, round(by, 2))
