"""Hear from the processes beside engines, and tell them what is wanted."""

import asyncio
from collections.abc import Callable

from linnetwood.calls.choice import Chooser
from linnetwood.calls.directory import Directory, Listed
from linnetwood.calls.engine import EngineFigures
from linnetwood.calls.routebook import RouteBook
from linnetwood.calls.standing import Report
from linnetwood.core.clock import Clock
from linnetwood.core.waits import happened
from linnetwood.fleet.news import Address, NewsPort
from linnetwood.fleet.tellers import Tellers
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import EngineNews, EntryNews, News, PeerPlace

# An endpoint process tells the entries that it heard from within four of these.
HELLO_EVERY_S = 1.0
# How many entries share what all may do, until an endpoint has told.
UNKNOWN_ENTRIES = 16
_MILLISECONDS = 1000


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
        tellers: Tellers,
    ) -> None:
        """Tell nothing yet; all endpoint processes listen on one port."""
        self._zone = zone
        self._tellers = tellers
        self.entries = UNKNOWN_ENTRIES
        self._counted = counted
        self.book = RouteBook()
        self._directory = directory
        self._chooser = chooser
        self._wanted = wanted
        self._clock = clock
        self._port = port
        self._news = NewsPort(self)
        self._number = 0
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

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

    def rouse(self) -> None:
        """Tell at once: something changed that others should know."""
        self._wake.set()

    def heard(self, news: News, source: Address) -> None:
        """Take in an engine's report, or who else is in this zone."""
        now = self._clock.now()
        if news.neighbours is not None:
            self._tellers.heard(news.neighbours.hosts, now)
        if news.engine is not None:
            self._heard_engine(news.engine, now)

    def _heard_engine(self, engine: EngineNews, now: float) -> None:
        self._wanted.heard(engine.wanted, now)
        if engine.entries != self.entries:
            self.entries = max(engine.entries, 1)
            self._counted()
        one = self._listed_at(engine.address)
        if one is not None:
            self._chooser.standing(one.endpoint).heard(_report(engine, now))

    def _listed_at(self, address: str) -> Listed | None:
        host, _, port = address.rpartition(':')
        for one in self._directory.all():
            if one.host == host and str(one.port) == port:
                return one
        return None

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            self._tell()
            self._chooser.forget()
            self._directory.settle(self._clock.now())
            await happened(self._wake, HELLO_EVERY_S)

    def _tell(self) -> None:
        for service in self.book.services.values():
            if service.engine is not None:
                self._tell_service(service.name, service.engine)

    def _tell_service(self, service: str, engine: EngineFigures) -> None:
        listed = [
            one for one in self._directory.all() if one.service == service
        ]
        if not listed:
            return
        places = {one.host: one.zone for one in listed}
        for one in listed:
            self._wanted.serving(one.versions.items())
        self._number += 1
        origin = self.book.origin
        news = EntryNews(
            number=self._number,
            wanted=self._wanted.told(
                service,
                engine.models,
                self._clock.now(),
            ),
            peers=[PeerPlace(*place) for place in sorted(places.items())],
            origin=f'{origin.host}:{origin.port}' if origin.host else '',
            chunk_bytes=engine.chunk_bytes,
            chunks=engine.chunks,
            origin_bytes_per_s=int(origin.bytes_per_s),
            zone=self._zone,
        )
        addresses = [(host, self._port) for host in places]
        self._news.send(News(entry=news), addresses)


def _report(engine: EngineNews, now: float) -> Report:
    return Report(
        engine.waiting,
        engine.running,
        engine.serving,
        engine.changing,
        now,
        engine.way_ms / _MILLISECONDS,
    )
