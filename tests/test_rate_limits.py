"""What endpoints get that name in their answers how much they take.

Load pattern: an endpoint in need, and entries that all have calls for it and do
not talk to each other: as many as the smallest and the largest fleets have.
"""

import asyncio
import dataclasses
import unittest
from collections.abc import Iterator
from random import Random

from linnetwood.calls.candidates import select_hosts
from linnetwood.calls.choice import Chooser
from linnetwood.calls.dialect import CallHead
from linnetwood.calls.direct import DirectCall, DirectDispatcher
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import EndpointStats, Report
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.limits import RateLimitTarget, RateLimits
from linnetwood.calls.notices import Notice, Notices
from linnetwood.calls.routetable import Repeat, Service, Share
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Outcome
from linnetwood.fleet.reportsubscribers import (
    ReportSubscribers,
    ReportSubscription,
)
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver
from tests import test_narrow_way
from tests.test_curldriver import HOST, Server, says
from tests.test_direct import SIGNED, RecordingSink, answer

ENTRIES = 6
CALLS = 40
SPAN_S = 4.0
DESK = Service('desk', 10)
ROUTE = dataclasses.replace(
    test_narrow_way.ROUTE,
    repeat=Repeat.MAY,
    streams=False,
    timeout_s=5,
    shares=(Share('desk', 1),),
)


def allowed(limit: float) -> int:
    """Give how many calls may come in a span to an endpoint with a limit."""
    return int(1.5 * limit * SPAN_S + 5)


def most_in_span(times: list[float]) -> int:
    """Give the most that came within any span."""
    times = sorted(times)
    first = 0
    most = 0
    for number, at in enumerate(times):
        while at - times[first] >= SPAN_S:
            first += 1
        most = max(most, number - first + 1)
    return most


class EntriesTest(unittest.IsolatedAsyncioTestCase):
    """Entries with calls all the time, and one endpoint."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.drivers: list[CurlDriver] = []
        self.server: Server | None = None

    async def asyncTearDown(self) -> None:
        for driver in self.drivers:
            driver.close()
        if self.server is not None:
            await self.server.close()

    def entry(self, port: int) -> DirectDispatcher:
        """Give the dispatcher of one entry."""
        directory = Directory()
        one = Endpoint('i-1', 'desk', HOST, port, 'z1', 6, ready=True)
        directory.update(one)
        chooser = Chooser(directory, Random(len(self.drivers)))
        chooser.entry_count = lambda: ENTRIES
        driver = CurlDriver()
        self.drivers.append(driver)
        return DirectDispatcher(
            chooser,
            driver,
            PlatformDialect(),
            WantedVersions(8),
            'z1',
            NoMetrics(),
        )

    def call(self) -> DirectCall:
        """Give a call."""
        now = self.loop.time()
        return DirectCall(
            CallHead(call_id='c-1'),
            ROUTE,
            DESK,
            None,
            'POST',
            '/x',
            [('Host', 'h'), ('X-Attempt-Id', 'c-1')],
            b'body',
            now,
            now + 5,
        )

    async def test_entries_exceed_no_limit_that_an_endpoint_names(self) -> None:
        """Guard against calls to an endpoint beyond the rate it named."""
        times: list[float] = []
        head = f'200 OK\r\n{SIGNED}Server-Limit: 1.0\r\n'
        reply = says(answer(head, b'fine'))

        async def noting(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            times.append(self.loop.time())
            await reply(reader, writer)

        self.server = Server(noting)
        port = await self.server.start()
        entries = [self.entry(port) for _ in range(ENTRIES)]
        for one in entries:
            await one.run(self.call(), RecordingSink())
        # Each entry has been told now.
        times.clear()
        for _ in range(CALLS):
            calls = [one.run(self.call(), RecordingSink()) for one in entries]
            await asyncio.gather(*calls)
        self.assertLessEqual(most_in_span(times), allowed(1.0))

    async def test_a_caller_is_told_when_a_limit_lets_it_in(self) -> None:
        """Guard against calls held, or asked back while none may go."""
        head = f'200 OK\r\n{SIGNED}Server-Limit: 0.2\r\n'
        self.server = Server(says(answer(head, b'fine')))
        one = self.entry(await self.server.start())
        await one.run(self.call(), RecordingSink())
        ending = await one.run(self.call(), RecordingSink())
        self.assertIs(ending.outcome, Outcome.NOT_RUN)
        self.assertEqual(ending.detail, 'limited')
        self.assertGreater(ending.retry_after_ms, 200)
        self.assertEqual(len(self.server.requests), 1)


FIGURES = EngineProfile(8, 0.01, 0, 0, 20000, 0, 4, 900, 100, 90000)
POOL = Service('pool', 10, FIGURES)
# Entries, engines and zones of fleets.
FLEETS = ((7, 6, 3), (18, 12, 3), (98, 60, 5), (410, 600, 10))
LIMITS = (0, 0.25, 1, 1.8, 5, 20)
STEP_S = 0.1
PLAYED_S = 24.0
WARM_S = 2.0


class Entry:
    """One entry: what it was told, and when it may send."""

    def __init__(self, me: str, zone: str, fleet: 'Fleet') -> None:
        self.zone = zone
        self.fleet = fleet
        heard = select_hosts(me, zone, fleet.places)
        self.stands_for = heard.get('e0', 0) if fleet.has_process else 0
        self.in_reach = True
        self.start(me)

    def start(self, seed: object) -> None:
        """Begin to live, knowing nothing."""
        self.told = False
        self.notices = Notices()
        self.stats = EndpointStats()
        fleet = self.fleet
        rng = Random(f'{fleet.seed}{seed}')
        self.limits = RateLimits(self.notices, rng, lambda: fleet.told)

    def step(self, now: float) -> None:
        """Send a call if one may go."""
        fleet = self.fleet
        target = RateLimitTarget(fleet.service, fleet.one, self.stats)
        if self.limits.available_at(target, now) > now:
            return
        self.limits.record_sent(target, now)
        if self.told:
            fleet.times.append(now)
        self.told = True
        self.notices.record('e0', Notice(fleet.limit, complete=True), now)


class Fleet:
    """Entries that all have calls for one endpoint of a zone."""

    def __init__(
        self,
        sizes: tuple[int, int, int],
        limit: float,
        *,
        has_process: bool,
        seed: str = '',
    ) -> None:
        entries, engines, zones = sizes
        self.seed = seed
        self.limit = limit
        self.told = entries
        self.has_process = has_process
        self.service = POOL if has_process else DESK
        self.places = {f'e{one}': f'z{one % zones}' for one in range(engines)}
        self.one = Endpoint('e0', 'pool', 'e0', 80, 'z0', 8, ready=True)
        self.times: list[float] = []
        self.rng = Random(entries)
        self.listeners = ReportSubscribers(-2.0)
        self.entries = [
            Entry(f'a{one}', f'z{one % zones}', self) for one in range(entries)
        ]
        self.now = float()

    def play(self, until: float, share: float = 1) -> None:
        """Let a share of the entries have a call at each step."""
        steps = int((until - self.now) / STEP_S)
        for _ in range(steps):
            self.now += STEP_S
            self.talk()
            for entry in self.entries:
                if share >= 1 or self.rng.random() < share:
                    entry.step(self.now)

    def talk(self) -> None:
        """Let entries greet the process and hear its reports."""
        hearing = [
            (number, entry)
            for number, entry in enumerate(self.entries)
            if entry.stands_for and entry.in_reach
        ]
        for number, entry in hearing:
            greeting = ReportSubscription(
                int(self.now * 10) + 99, entry.zone, 0.1, entry.stands_for
            )
            self.listeners.subscribe((f'a{number}', 1), greeting, self.now)
        self.listeners.expire(self.now)
        reports = {near: self.report(near=near) for near in (True, False)}
        for _, entry in hearing:
            entry.stats.record_report(reports[entry.zone == 'z0'])

    def report(self, *, near: bool) -> Report:
        """Give what the process tells entries of its zone, or the others."""
        part = self.listeners.quota_share('z0', self.now, near=near)
        notice = Notice(self.limit, complete=True)
        report = Report(0, 1, 1, changing=False, received_at=self.now)
        return dataclasses.replace(report, notice=notice, quota=part)


def fleets(limit: float) -> Iterator[Fleet]:
    """Yield a fleet of each size, before an engine and a plain endpoint."""
    for sizes in FLEETS:
        for has_process in (True, False):
            yield Fleet(sizes, limit, has_process=has_process)


class LimitOfAllTest(unittest.TestCase):
    """The sum over all entries, in virtual time."""

    def within(self, fleet: Fleet) -> None:
        """Check what came after the limit had been told to each."""
        self.assertLessEqual(most_in_span(fleet.times), allowed(fleet.limit))

    def test_sum_over_all_entries(self) -> None:
        """Guard against entries that each obey and together do not."""
        for limit in LIMITS:
            for fleet in fleets(limit):
                fleet.play(PLAYED_S)
                with self.subTest(limit=limit, entries=fleet.told):
                    self.within(fleet)

    def test_the_limit_is_used(self) -> None:
        """Guard against an endpoint left idle, whose end of need none hears."""
        for limit in (1, 5):
            for fleet in fleets(limit):
                fleet.play(2 * PLAYED_S)
                rate = len(fleet.times) / (2 * PLAYED_S)
                # Turns of many fall together by chance, so less is tried.
                least = limit / 2 if fleet.told < 30 else limit / 3
                with self.subTest(limit=limit, entries=fleet.told):
                    self.assertGreaterEqual(rate, least)

    def test_turns_of_many_that_fall_together(self) -> None:
        """Guard against 13 calls in 4 s by chance: this seed showed them."""
        fleet = Fleet(FLEETS[-1], 1, has_process=False, seed='s24-')
        fleet.play(PLAYED_S)
        self.within(fleet)

    def test_a_limit_above_what_comes_holds_nothing_up(self) -> None:
        """Guard against calls refused beside room, while turns come often."""
        for limit in (20, 1000, 999999999):
            fleet = Fleet(FLEETS[0], limit, has_process=False)
            entry = fleet.entries[0]
            entry.notices.record('e0', Notice(limit, complete=True), 0)
            target = RateLimitTarget(fleet.service, fleet.one, entry.stats)
            # The first turn is drawn.
            entry.limits.available_at(target, 0)
            for number in range(1, 50):
                now = number * 0.77
                with self.subTest(limit=limit, now=now):
                    self.assertLessEqual(
                        entry.limits.available_at(target, now), now
                    )
                entry.limits.record_sent(target, now)

    def test_a_crowd_after_silence(self) -> None:
        """Guard against turns that all entries saved up."""
        for fleet in fleets(1):
            for idle_s in (8, 60, 3600):
                fleet.play(fleet.now + PLAYED_S / 2)
                fleet.now += idle_s
            fleet.play(fleet.now + PLAYED_S / 2)
            with self.subTest(entries=fleet.told):
                self.within(fleet)

    def test_entries_that_start_again(self) -> None:
        """Guard against lives of entries that each have a whole part."""
        for fleet in fleets(1):
            for number in range(40):
                fleet.play(fleet.now + 0.6, share=0.5)
                entry = fleet.entries[number % fleet.told]
                entry.start(number)
            with self.subTest(entries=fleet.told):
                self.within(fleet)

    def test_a_zone_that_the_process_does_not_hear(self) -> None:
        """Guard against parts handed out twice: to those cut off as well."""
        for fleet in fleets(1.8):
            fleet.play(PLAYED_S / 2)
            for entry in fleet.entries:
                entry.in_reach = entry.zone != 'z1'
            fleet.play(PLAYED_S)
            for entry in fleet.entries:
                entry.in_reach = True
            fleet.play(PLAYED_S * 1.5)
            with self.subTest(entries=fleet.told):
                self.within(fleet)

    def test_more_entries_than_are_known(self) -> None:
        """Guard against a count of entries that is a fifth too low."""
        for fleet in fleets(1.8):
            fleet.told = max(1, int(fleet.told / 1.2))
            fleet.play(PLAYED_S)
            with self.subTest(entries=fleet.told):
                self.within(fleet)

    def test_a_limit_that_ends_is_forgotten(self) -> None:
        """Guard against turns kept for a limit that was named long ago."""
        fleet = Fleet(FLEETS[0], 0, has_process=False)
        fleet.play(PLAYED_S)
        entry = fleet.entries[0]
        entry.notices.record('e0', Notice(complete=True), fleet.now)
        target = RateLimitTarget(fleet.service, fleet.one, entry.stats)
        for now in (fleet.now, fleet.now + 1):
            self.assertEqual(entry.limits.available_at(target, now), now)


if __name__ == '__main__':
    unittest.main()
