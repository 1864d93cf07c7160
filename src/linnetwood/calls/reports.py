"""Hear from the processes beside engines, and tell them what is wanted."""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from linnetwood.calls.attemptlog import log_notice
from linnetwood.calls.choice import Chooser
from linnetwood.calls.directory import Directory, Listed
from linnetwood.calls.entrycount import EntryCount
from linnetwood.calls.greetings import Greetings
from linnetwood.calls.lives import take_report
from linnetwood.calls.notices import Notice
from linnetwood.calls.routetable import RouteTable
from linnetwood.calls.standing import Report
from linnetwood.core.clock import Clock
from linnetwood.core.waits import happened
from linnetwood.fleet.hosts import unpack
from linnetwood.fleet.news import Address, NewsSocket
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import (
    EngineNews,
    EngineSaid,
    EntryAsks,
    NeighbourNews,
    News,
)

# An endpoint process tells the entries that it heard from within four of these.
HELLO_EVERY_S = 1.0
# While the list changes all the time, as in a crowd of starts, what is news is
# told together; whoever is told later by this still has most of any bound.
_HELLO_LEAST_S = 0.1
# What an answer said is told again if no report has it after this.
_PASSED_ON_S = 0.5
_NO_LIMIT = -1
_THOUSAND = 1000
_MILLISECONDS = 1000
_MILLION = 1000000


class Reports:
    """Own the exchange of an entry with the endpoint processes."""

    def __init__(
        self,
        directory: Directory,
        chooser: Chooser,
        wanted: WantedVersions,
        clock: Clock,
        port: int,
        counted: Callable[[], None],
        zone: str,
        selector: RelaySelector,
    ) -> None:
        """Tell nothing yet; all endpoint processes listen on one port."""
        self.route_table = RouteTable()
        self.greetings = Greetings(
            selector.me,
            zone,
            directory,
            chooser.candidates,
            wanted,
        )
        self._zone = zone
        self._selector = selector
        self._count = EntryCount()
        self._counted = counted
        self._directory = directory
        self._chooser = chooser
        self._wanted = wanted
        self._clock = clock
        self._port = port
        self._news = NewsSocket(self)
        self._wake = asyncio.Event()
        self._hello_at = -math.inf
        self._task: asyncio.Task[None] | None = None

    @property
    def entries(self) -> int:
        """Give how many entries share what all may do."""
        return self._count.entries

    async def start(self, host: str) -> None:
        """Listen, and begin to tell."""
        await self._news.start(host, self._port)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._news.close()

    def ask(self, hosts: list[str]) -> None:
        """Ask processes beside engines which other entries there are."""
        asks = EntryAsks(zone=self._zone)
        addresses = [(host, self._port) for host in hosts]
        self._news.send(News(asks=asks), addresses)

    def noticed(self, one: Listed, now: float) -> None:
        """Pass on what an answer said, unless the engine's process tells it."""
        standing = self._chooser.standing(one.life)
        lately = now - standing.passed_on_at < _PASSED_ON_S
        if standing.report is None or lately:
            return
        told = standing.told(one.life_mark, now)
        known = self._chooser.notices.of(one.life)
        alike = told.limit_per_s == known.limit_per_s
        if alike and told.leaving == known.leaving:
            return
        standing.passed_on_at = now
        said = EngineSaid(
            one.life_mark,
            _milli(known.limit_per_s),
            known.leaving,
        )
        self._news.send(News(said=said), [(one.host, self._port)])

    def wake(self) -> None:
        """Look at once whether something changed that others should know."""
        self._wake.set()

    def handle_news(self, news: News, source: Address) -> None:
        """Take in an engine's report, or which other entries there are."""
        now = self._clock.now()
        if news.neighbours is not None:
            self._heard_neighbours(news.neighbours, now)
        if news.engine is not None:
            self._heard_engine(news.engine, source[0], now)

    def _heard_neighbours(self, news: NeighbourNews, now: float) -> None:
        self._selector.note_seen(unpack(news.hosts), now)
        for one in news.elsewhere:
            self._selector.remote_zones.note_seen(
                one.zone, unpack(one.hosts), now
            )

    def _heard_engine(self, engine: EngineNews, host: str, now: float) -> None:
        self._wanted.apply_messages(engine.wanted, now)
        near = self.greetings.near(host)
        self._count.told(host, engine.entries, now, near=near)
        report = _report(engine, now)
        fresh = take_report(
            self._directory,
            self._chooser,
            host,
            engine.born,
            report,
        )
        if fresh is not None:
            log_notice(fresh, self._chooser.notices.of(fresh.life))

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            now = self._clock.now()
            if (
                self.greetings.changed(self.route_table)
                or self._hello_at <= now
            ):
                self._hello_at = now + HELLO_EVERY_S
                self._tell()
            self._chooser.forget(now)
            self._directory.expire(now)
            await asyncio.sleep(_HELLO_LEAST_S)
            await happened(self._wake, self._hello_at - self._clock.now())

    def _tell(self) -> None:
        now = self._clock.now()
        self.greetings.tell(self.route_table, now, self._news, self._port)
        if self._count.settle(now):
            self._counted()


def _milli(limit_per_s: float | None) -> int:
    return _NO_LIMIT if limit_per_s is None else round(limit_per_s * _THOUSAND)


def _notice(said: EngineSaid) -> Notice:
    limit_per_s = None
    if said.limit_milli >= 0:
        limit_per_s = said.limit_milli / _THOUSAND
    return Notice(limit_per_s, said.leaving, complete=True)


def _report(engine: EngineNews, now: float) -> Report:
    report = Report(
        engine.waiting,
        engine.running,
        engine.serving,
        engine.changing,
        now,
        engine.way_ms / _MILLISECONDS,
        engine.every_ms / _MILLISECONDS,
    )
    said = engine.said
    if said is None:
        return report
    return dataclasses.replace(
        report,
        notice=_notice(said),
        notice_of=said.life,
        notice_at=now - said.age_ms / _MILLISECONDS,
        part=said.part_ppm / _MILLION,
    )
