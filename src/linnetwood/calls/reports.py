"""Exchange load reports and wanted versions with endpoint processes."""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from linnetwood.calls.attemptlog import log_notice
from linnetwood.calls.choice import Chooser
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import Report
from linnetwood.calls.enginepace import is_valid_pace
from linnetwood.calls.entrycount import EntryCount
from linnetwood.calls.notices import Notice
from linnetwood.calls.reportintake import apply_report
from linnetwood.calls.reportsubscriptions import ReportSubscriptions
from linnetwood.calls.routetable import RouteTable
from linnetwood.core.clock import Clock
from linnetwood.core.owner import supervise
from linnetwood.core.waits import wait_for_event
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
    WantedWeights,
)

# An endpoint process reports to an entry for 4 of these after a subscription.
SUBSCRIBE_EVERY_S = 1.0
# While the list changes all the time, as when many endpoints start, changes are
# sent together. Receivers still have most of any time bound left.
_MIN_SUBSCRIBE_GAP_S = 0.1
# A notice is forwarded again if no report has it after this time.
_FORWARD_AGAIN_AFTER_S = 0.5
_NO_LIMIT = -1
_THOUSAND = 1000
_MILLISECONDS = 1000
_MILLION = 1000000


class Reports:
    """Run the datagram exchange of an entry with the endpoint processes."""

    def __init__(
        self,
        directory: Directory,
        chooser: Chooser,
        wanted: WantedVersions,
        clock: Clock,
        port: int,
        on_count_changed: Callable[[], None],
        zone: str,
        selector: RelaySelector,
    ) -> None:
        """Send nothing yet; all endpoint processes listen on one port."""
        self.route_table = RouteTable()
        self.subscriptions = ReportSubscriptions(
            selector.me,
            zone,
            directory,
            chooser.candidates,
            wanted,
        )
        self._zone = zone
        self._selector = selector
        self._entry_count = EntryCount()
        self._on_count_changed = on_count_changed
        self._directory = directory
        self._chooser = chooser
        self._wanted = wanted
        self._clock = clock
        self._port = port
        self._news = NewsSocket(self)
        self._wake = asyncio.Event()
        self._subscribe_at = -math.inf
        self._task: asyncio.Task[None] | None = None

    @property
    def entry_count(self) -> int:
        """Return the number of entries that share limits and budgets."""
        return self._entry_count.entries

    async def start(self, host: str) -> None:
        """Listen, and start sending subscriptions."""
        await self._news.start(host, self._port)
        self._task = asyncio.create_task(supervise('Reports', self._run))

    async def close(self) -> None:
        """Stop sending and listening."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._news.close()

    def request_neighbours(self, hosts: list[str]) -> None:
        """Ask endpoint processes which other entries there are."""
        asks = EntryAsks(zone=self._zone)
        addresses = [(host, self._port) for host in hosts]
        self._news.send(News(asks=asks), addresses)

    def forward_notice(self, endpoint: Endpoint, now: float) -> None:
        """Forward an endpoint's notice unless its reports already have it."""
        stats = self._chooser.stats_of(endpoint.incarnation_id)
        recently = now - stats.notice_forwarded_at < _FORWARD_AGAIN_AFTER_S
        if stats.report is None or recently:
            return
        reported = stats.reported_notice(endpoint.incarnation_mark, now)
        latest = self._chooser.notices.latest(endpoint.incarnation_id)
        same_limit = reported.limit_per_s == latest.limit_per_s
        if same_limit and reported.leaving == latest.leaving:
            return
        stats.notice_forwarded_at = now
        forwarded = EngineSaid(
            endpoint.incarnation_mark,
            _milli(latest.limit_per_s),
            latest.leaving,
        )
        self._news.send(News(said=forwarded), [(endpoint.host, self._port)])

    def wake(self) -> None:
        """Check now whether a change has to be sent."""
        self._wake.set()

    def handle_news(self, news: News, source: Address) -> None:
        """Handle the report of an engine, or a list of other entries."""
        now = self._clock.now()
        if news.neighbours is not None:
            self._receive_neighbours(news.neighbours, now)
        if news.engine is not None:
            self._receive_report(news.engine, source[0], now)

    def _receive_neighbours(self, news: NeighbourNews, now: float) -> None:
        self._selector.note_seen(unpack(news.hosts), now)
        for zone_hosts in news.elsewhere:
            self._selector.remote_zones.note_seen(
                zone_hosts.zone, unpack(zone_hosts.hosts), now
            )

    def _receive_report(
        self, engine: EngineNews, host: str, now: float
    ) -> None:
        self._apply_versions(engine.wanted, now)
        same_zone = self.subscriptions.is_same_zone(host)
        self._entry_count.record(host, engine.entries, now, same_zone=same_zone)
        report = _report(engine, now)
        endpoint = apply_report(
            self._directory,
            self._chooser,
            host,
            engine.born,
            report,
        )
        if endpoint is not None:
            log_notice(
                endpoint, self._chooser.notices.latest(endpoint.incarnation_id)
            )

    def _apply_versions(
        self, versions: list[WantedWeights], now: float
    ) -> None:
        if not versions:
            return
        known = self._wanted.versions_by_model()
        self._wanted.apply_messages(versions, now)
        if self._wanted.versions_by_model() != known:
            # Other endpoint processes may not know them yet.
            self.wake()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            now = self._clock.now()
            if (
                self.subscriptions.has_changed(self.route_table)
                or self._subscribe_at <= now
            ):
                self._subscribe_at = now + SUBSCRIBE_EVERY_S
                self._subscribe()
            self._chooser.forget_unlisted(now)
            self._directory.expire(now)
            await asyncio.sleep(_MIN_SUBSCRIBE_GAP_S)
            await wait_for_event(
                self._wake, self._subscribe_at - self._clock.now()
            )

    def _subscribe(self) -> None:
        now = self._clock.now()
        self.subscriptions.send(self.route_table, now, self._news, self._port)
        if self._entry_count.update(now):
            self._on_count_changed()


def _milli(limit_per_s: float | None) -> int:
    return _NO_LIMIT if limit_per_s is None else round(limit_per_s * _THOUSAND)


def _pace(pace_milli: int | None) -> float:
    """Return the pace of a report; a process that sends none counts as 1."""
    pace = 1 if pace_milli is None else pace_milli / _THOUSAND
    return pace if is_valid_pace(pace) else 1


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
        pace=_pace(engine.pace_milli),
    )
    said = engine.said
    if said is None:
        return report
    return dataclasses.replace(
        report,
        notice=_notice(said),
        notice_mark=said.life,
        notice_at=now - said.age_ms / _MILLISECONDS,
        quota=said.part_ppm / _MILLION,
    )
