"""A model of a store that is away for a while, in one of many ways.

Entries, relays and subscribers are the real ones. Connections to the store are
kept, die and are made again as by the store's client. Virtual time.
"""

import asyncio
import contextlib
import dataclasses
import functools
import math
import weakref
from collections.abc import Awaitable, Callable
from typing import TypeVar

from linnetwood.core.errors import StoreError
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.ranges import Changes, HistoryLostError, Record
from linnetwood.fleet.revisions import era_of, join
from linnetwood.lab.memory_net import MemoryStream
from linnetwood.lab.shared_link import Flow, SharedLinks
from linnetwood.wire.frames import Frame
from tests import test_narrow_regions as regions
from tests.full_regions import (
    APPLY_S,
    CONNECT_S,
    HANDSHAKE_RESEND_S,
    MARGIN_S,
    NEAR,
    REQUEST_BYTES,
    SILENT_S,
    FullRegions,
    LinkedNet,
    LinkedStore,
    LinkedStoreClient,
    Size,
    arrival,
)

# Machines count as in touch this long after a disruption ends.
CONTACT_S = 3.0
# A write of a record of a failed call.
POST_FIRST_S = 2.5
FIRST_RESEND_S = 0.2
_Result = TypeVar('_Result')


def _ignore() -> None:
    """Do nothing."""


@dataclasses.dataclass(frozen=True)
class Way:
    """What becomes of handshakes, requests and answers during an outage.

    A packet is `lost` for good with its connection, `late` if it is sent again,
    `queued` until the store reads again, `reset`, `rejected` with a status, or
    passes. Answers take `slow_s` more, before or after they are made. Waits
    that are `deaf` get no answer, and 410 in the end.
    """

    name: str
    handshake: str = 'passes'
    request: str = 'passes'
    answer: str = 'passes'
    slow_s: float = 0
    is_slow_first: bool = False
    kills_open: bool = False
    is_deaf: bool = False
    cuts_every_s: float = math.inf


WAYS = (
    # Connections that are open go silent, while new ones work.
    Way('open ones silent', kills_open=True),
    Way('silent for good', 'lost', 'lost', 'lost', kills_open=True),
    Way('used ones silent for good', 'lost', 'lost', 'lost'),
    Way('silent, sent again', 'lost', 'late', 'late'),
    Way('stopped', 'passes', 'queued', 'queued'),
    Way('refused', 'refused', 'reset', 'reset'),
    Way('reset', 'passes', 'reset', 'reset'),
    Way('rejected', 'passes', 'rejected'),
    Way('done, answers lost', 'passes', 'passes', 'lost'),
    Way('slow 0.2', slow_s=0.2),
    Way('slow 0.5', slow_s=0.5),
    Way('slow 1.5', slow_s=1.5),
    Way('slow 0.5 first', slow_s=0.5, is_slow_first=True),
    Way('slow 1.5 first', slow_s=1.5, is_slow_first=True),
    Way('deaf', is_deaf=True),
    Way('cut early', cuts_every_s=0.13),
    Way('cut early, slow', slow_s=0.35, cuts_every_s=0.13),
)


class Connection:
    """A connection to the store; a dead one passes nothing."""

    def __init__(self) -> None:
        self.is_dead = False
        self.back: Flow | None = None

    def kill(self) -> None:
        """Pass nothing more, not even the rest of an answer."""
        self.is_dead = True
        if self.back is not None:
            self.back.close()


class OutageStore(LinkedStore):
    """A store that is away in one way for some or for all."""

    def __init__(self, links: SharedLinks, routes: int) -> None:
        super().__init__(links, routes)
        self.way: Way | None = None
        self.hit: set[str] = set()
        self.returned = asyncio.Event()
        self.clients: list[OutageClient] = []
        # How long a store that returns takes for each request it finds.
        self.each_s = float()
        self._queued = 0

    def way_of(self, name: str) -> Way | None:
        """Return what becomes of packets of an entry now."""
        return self.way if name in self.hit else None

    async def fail(self, way: Way, hit: set[str], seconds: float) -> None:
        """Be away for some seconds."""
        loop = asyncio.get_running_loop()
        self.way = way
        self.hit = hit
        self._queued = 0
        self.returned.clear()
        until = loop.time() + seconds
        if way.kills_open:
            for client in self.clients:
                client.kill_open()
        if way.answer == 'reset':
            self.wake()
        while loop.time() < until:
            left_s = until - loop.time()
            await asyncio.sleep(min(left_s, way.cuts_every_s))
            if math.isfinite(way.cuts_every_s):
                self.wake()
        if way.is_deaf:
            self.lose_history()
        self.way = None
        self.returned.set()

    async def read_queued(self) -> None:
        """Wait until a store that stood still reads on, one by one."""
        self._queued += 1
        place = self._queued
        await self.returned.wait()
        await asyncio.sleep(place * self.each_s)


class OutageClient(LinkedStoreClient):
    """One entry's calls, with the connections that it keeps."""

    def __init__(self, store: OutageStore, name: str) -> None:
        super().__init__(store, name)
        self._outages = store
        self._idle: list[Connection] = []
        self._open: weakref.WeakSet[Connection] = weakref.WeakSet()
        store.clients.append(self)

    def kill_open(self) -> None:
        """Let all connections that are open be silent for good."""
        if self._name in self._outages.hit:
            for connection in self._open:
                connection.kill()

    async def post(self, *, keep: bool) -> None:
        """Write something else, and keep the connection if told."""
        await self._send(
            self._first_page, POST_FIRST_S, keep=keep, on_bytes=_ignore
        )

    async def _wait(self, after: int, wait_s: float) -> tuple[Changes, int]:
        store = self._outages
        way = store.way_of(self._name)
        if way is None or not way.is_deaf:
            if store.revision <= after:
                await wait_for_event(store.changed, wait_s)
            way = store.way_of(self._name)
        if way is not None and way.is_deaf:
            await store.returned.wait()
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
        keep = not self._calls
        self._calls += 1
        try:
            return await self._send(
                answer, first_s, keep=keep, on_bytes=self.on_bytes
            )
        finally:
            self._calls -= 1

    async def _send(
        self,
        answer: Callable[[], Awaitable[tuple[_Result, int]]],
        first_s: float,
        *,
        keep: bool,
        on_bytes: Callable[[], None],
    ) -> _Result:
        self._at.calls += 1
        limit = _Limit(first_s, on_bytes)
        work = functools.partial(self._exchange_once, answer, limit, keep)
        task = asyncio.create_task(work())
        try:
            return await limit.result_of(task)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _exchange_once(
        self,
        answer: Callable[[], Awaitable[tuple[_Result, int]]],
        limit: '_Limit',
        keep: bool,
    ) -> _Result:
        there = self._at.links.flow(self._zone, NEAR)
        back = self._at.links.flow(NEAR, self._zone)
        connection = self._idle.pop() if keep and self._idle else None
        with contextlib.closing(there), contextlib.closing(back):
            if connection is None:
                connection = await self._connect_once(there, back)
            await arrival(there, REQUEST_BYTES)
            await self._pass(connection, 'request', back)
            found, size = await self._make(answer)
            await self._pass(connection, 'answer', back)
            connection.back = back
            await _bring(back, max(0, size) + REQUEST_BYTES, limit)
        if keep:
            self._idle.append(connection)
        if size < 0:
            raise self._history_lost()
        return found

    async def _make(
        self, answer: Callable[[], Awaitable[tuple[_Result, int]]]
    ) -> tuple[_Result, int]:
        way = self._outages.way_of(self._name)
        if way is not None and way.is_slow_first:
            await asyncio.sleep(way.slow_s)
        found = await answer()
        way = self._outages.way_of(self._name)
        if way is not None and not way.is_slow_first:
            await asyncio.sleep(way.slow_s)
        return found

    async def _connect_once(self, there: Flow, back: Flow) -> Connection:
        try:
            async with asyncio.timeout(CONNECT_S):
                while self._fate('handshake') == 'lost':
                    await asyncio.sleep(HANDSHAKE_RESEND_S)
                await arrival(there, 1)
                await arrival(back, 1)
        except TimeoutError as exc:
            raise StoreError('store-unreachable', 'connect') from exc
        if self._fate('handshake') == 'refused':
            raise StoreError('store-unreachable', 'refused')
        made = Connection()
        self._open.add(made)
        return made

    def _fate(self, packet: str) -> str:
        way = self._outages.way_of(self._name)
        return 'passes' if way is None else getattr(way, packet)

    async def _pass(
        self, connection: Connection, packet: str, back: Flow
    ) -> None:
        """Wait until a packet has passed; raise or hang if it does not."""
        resend_s = FIRST_RESEND_S
        while self._fate(packet) == 'late':
            await asyncio.sleep(resend_s)
            resend_s *= 2
        if self._fate(packet) == 'queued':
            await self._outages.read_queued()
        fate = self._fate(packet)
        if fate == 'lost':
            connection.is_dead = True
        if connection.is_dead:
            await asyncio.Event().wait()
        if fate in {'reset', 'rejected'}:
            await arrival(back, REQUEST_BYTES)
            raise StoreError('store-unreachable', fate)


async def _bring(back: Flow, size: int, limit: '_Limit') -> None:
    """Send an answer, and wait until it has arrived."""
    arrived = asyncio.Event()
    back.send(size, arrived.set, limit.note_bytes)
    await arrived.wait()


class _Limit:
    """The time by which the next byte of an answer must come."""

    def __init__(self, first_s: float, on_bytes: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._at = self._loop.time() + first_s
        self._on_bytes = on_bytes

    def note_bytes(self) -> None:
        self._at = self._loop.time() + SILENT_S
        self._on_bytes()

    async def result_of(self, task: asyncio.Task[_Result]) -> _Result:
        while not task.done():
            await asyncio.wait((task,), timeout=self._at - self._loop.time())
            if not task.done() and self._loop.time() >= self._at:
                raise StoreError('store-unreachable', 'silent')
        return task.result()


@dataclasses.dataclass(frozen=True)
class Outage:
    """An outage, and when configurations are written, from its beginning."""

    way: Way
    seconds: float
    writes: tuple[float, ...]
    hit: frozenset[str] = frozenset()
    # When entries write something else; the store's client keeps no connection
    # for that, another one might.
    posts: tuple[float, ...] = ()
    keeps_posts: bool = False
    each_s: float = 0
    # Whether connections between entries that are open go silent, too.
    is_net_silent: bool = False
    # What follows at once: other ways of being away, and for how long.
    then: tuple[tuple[Way, float], ...] = ()


class OutageNet(LinkedNet):
    """Connections between entries, of which those that are open go silent."""

    def __init__(self, links: SharedLinks) -> None:
        super().__init__(links)
        self._silent: weakref.WeakSet[MemoryStream] = weakref.WeakSet()

    def silence_open(self) -> None:
        """Pass nothing more on connections that are open; new ones work."""
        for streams in self.streams.values():
            self._silent.update(streams)

    def carry(self, sender: MemoryStream, frame: Frame) -> None:
        """Deliver a frame, unless its connection is silent."""
        if sender not in self._silent:
            super().carry(sender, frame)


class OutageRegions(FullRegions):
    """Regions whose store is away for a while, again and again."""

    client_class = OutageClient

    def __init__(self, size: Size) -> None:
        super().__init__(size)
        self.worst_s = -math.inf
        # When the store last returned, and when each entry had a view that was
        # confirmed since, in seconds after that.
        self.returned_at = math.inf
        self.heard_after: dict[str, float] = {}
        self.heard_s: list[tuple[float, str]] = []
        # The delay of answers to waits that are cut early.
        self._indistinct_s = float()
        self.applied: dict[str, list[tuple[int, float]]] = {}
        for entry in self.entries:
            self._record(entry)

    def _make_net(self, links: regions.Links) -> LinkedNet:
        return OutageNet(self.shared)

    def _make_store(self) -> LinkedStore:
        return OutageStore(self.shared, self.size.routes)

    @property
    def outage_store(self) -> OutageStore:
        """Return the store."""
        assert isinstance(self.store, OutageStore)
        return self.store

    def _record(self, entry: regions.RegionEntry) -> None:
        known = self.applied.setdefault(entry.name, [])
        take = entry.sink._take  # noqa: SLF001

        def take_and_record(record: Record) -> None:
            take(record)
            now = asyncio.get_running_loop().time()
            known.append((regions.version_of(record.payload), now))

        entry.sink._take = take_and_record  # type: ignore[method-assign]

    def _check(
        self,
        entry: regions.RegionEntry,
        now: float,
        known: dict[int, tuple[int, int]],
    ) -> None:
        held = regions.version_of(entry.sink.payload)
        lacking = [at for one, at in self.written.items() if one > held]
        stated = entry.follower.confirmed_at
        allowed_s = MARGIN_S + self._indistinct_s
        if lacking and stated - min(lacking) > allowed_s:
            self._add(now, entry, held, 'overstates', stated - min(lacking))
        if self.returned_at <= stated and entry.name not in self.heard_after:
            self.heard_after[entry.name] = now - self.returned_at

    async def go_through(self, outage: Outage) -> None:
        """Run one outage to its end, and check when all is in force."""
        loop = asyncio.get_running_loop()
        store = self.outage_store
        began_at = loop.time()
        hit = set(outage.hit) or {entry.name for entry in self.entries}
        self.note('outage', outage)
        store.each_s = outage.each_s
        change: Callable[[], None] = self.change
        events = [(at, change) for at in outage.writes]
        post = functools.partial(self._post, keep=outage.keeps_posts)
        events += [(at, post) for at in outage.posts]
        early = min([0, *(at for at, _ in events)])
        for at, act in events:
            loop.call_later(at - early, act)
        await asyncio.sleep(-early)
        began_at = loop.time()
        self.returned_at = math.inf
        self.heard_after.clear()
        if outage.is_net_silent and isinstance(self.net, OutageNet):
            self.net.silence_open()
        ways = ((outage.way, outage.seconds), *outage.then)
        cuts = any(math.isfinite(way.cuts_every_s) for way, _ in ways)
        slowest_s = max(way.slow_s for way, _ in ways)
        self._indistinct_s = slowest_s if cuts else 0
        for way, seconds in ways:
            await store.fail(way, hit, seconds)
        returned_at = loop.time()
        self.returned_at = returned_at
        last = began_at + max(outage.writes, default=0)
        until = max(last + APPLY_S, returned_at + CONTACT_S)
        await asyncio.sleep(until - loop.time() + 0.5)
        self.heard_s.append(
            (
                max(
                    self.heard_after.get(entry.name, math.inf)
                    for entry in self.entries
                ),
                f'{began_at:.2f} {outage}',
            )
        )
        self._judge(began_at, returned_at, outage)

    def _post(self, *, keep: bool) -> None:
        for client in self.outage_store.clients:
            self.during(_quietly(client.post(keep=keep)))

    def _judge(
        self, began_at: float, returned_at: float, outage: Outage
    ) -> None:
        first_at = began_at + min(outage.writes, default=math.inf)
        for version, at in tuple(self.written.items()):
            # Sums of times are not exact.
            if at >= first_at - MARGIN_S:
                self._judge_version(version, at, returned_at, outage)

    def _judge_version(
        self, version: int, at: float, returned_at: float, outage: Outage
    ) -> None:
        in_touch_at = returned_at + CONTACT_S
        for entry in self.entries:
            due_at = max(at + APPLY_S, in_touch_at)
            if self._is_beside(entry, outage):
                due_at = at + APPLY_S
            late_s = self._heard_at(entry, version) - due_at
            self.worst_s = max(self.worst_s, late_s)
            if late_s > MARGIN_S:
                after_s = at - returned_at
                self.findings.append(
                    f'late {entry.name} {version} {late_s:.2f} s; written '
                    f'{after_s:.2f} s after the return; {outage}'
                )

    def _is_beside(self, entry: regions.RegionEntry, outage: Outage) -> bool:
        """Return whether an outage leaves an entry and its connections out."""
        is_hit = not outage.hit or entry.name in outage.hit
        return not (is_hit or outage.is_net_silent)

    def _heard_at(self, entry: regions.RegionEntry, version: int) -> float:
        heard = (at for one, at in self.applied[entry.name] if one >= version)
        return min(heard, default=math.inf)


async def _quietly(work: Awaitable[None]) -> None:
    try:
        await work
    except (StoreError, HistoryLostError):
        return
