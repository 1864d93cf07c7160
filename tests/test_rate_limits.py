"""How many calls endpoints get that name a rate limit in their answers.

Load pattern: an overloaded endpoint, and entries that all have calls for it and
don't communicate, in fleets from the smallest to the largest size.
"""

import asyncio
import dataclasses
import unittest
from collections.abc import Iterator
from random import Random

from linnetwood.calls.candidates import select_hosts
from linnetwood.calls.choice import Chooser
from linnetwood.calls.dialect import CallHead
from linnetwood.calls.direct import DirectDispatcher
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import EndpointStats, Report
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.limits import RateLimits, RateLimitTarget
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
from tests.direct_calls import SIGNED, RecordingSink, answer
from tests.test_curldriver import HOST, Server, respond_with

ENTRIES = 6
CALLS = 40
SPAN_S = 4.0
PLAIN_SERVICE = Service('desk', 10)
ROUTE = dataclasses.replace(
    test_narrow_way.ROUTE,
    repeat=Repeat.MAY,
    streams=False,
    timeout_s=5,
    shares=(Share('desk', 1),),
)


def allowed(limit: float) -> int:
    """Return how many calls may arrive in a span at a limited endpoint."""
    return int(1.5 * limit * SPAN_S + 5)


def most_in_span(times: list[float]) -> int:
    """Return the largest number of calls within any span."""
    times = sorted(times)
    first = 0
    most = 0
    for number, at in enumerate(times):
        while at - times[first] >= SPAN_S:
            first += 1
        most = max(most, number - first + 1)
    return most


class EntriesTest(unittest.IsolatedAsyncioTestCase):
    """Entries that always have calls, and one endpoint."""

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
        """Return the dispatcher of one entry."""
        directory = Directory()
        endpoint = Endpoint('i-1', 'desk', HOST, port, 'z1', 6, ready=True)
        directory.update(endpoint)
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
        """Return a call."""
        now = self.loop.time()
        return DirectCall(
            CallHead(call_id='c-1'),
            ROUTE,
            PLAIN_SERVICE,
            None,
            'POST',
            '/x',
            [('Host', 'h'), ('X-Attempt-Id', 'c-1')],
            b'body',
            now,
            now + 5,
        )

    async def test_entries_exceed_no_limit_that_an_endpoint_names(self) -> None:
        """Guard against calls to an endpoint above the rate that it named."""
        times: list[float] = []
        head = f'200 OK\r\n{SIGNED}Server-Limit: 1.0\r\n'
        reply = respond_with(answer(head, b'fine'))

        async def noting(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            times.append(self.loop.time())
            await reply(reader, writer)

        self.server = Server(noting)
        port = await self.server.start()
        entries = [self.entry(port) for _ in range(ENTRIES)]
        for entry in entries:
            await entry.run(self.call(), RecordingSink())
        # Each entry knows the limit now.
        times.clear()
        for _ in range(CALLS):
            calls = [
                entry.run(self.call(), RecordingSink()) for entry in entries
            ]
            await asyncio.gather(*calls)
        self.assertLessEqual(most_in_span(times), allowed(1.0))

    async def test_a_refusal_names_when_the_limit_allows_a_call(self) -> None:
        """Guard against calls that are held, or asked back too early."""
        head = f'200 OK\r\n{SIGNED}Server-Limit: 0.2\r\n'
        self.server = Server(respond_with(answer(head, b'fine')))
        entry = self.entry(await self.server.start())
        await entry.run(self.call(), RecordingSink())
        ending = await entry.run(self.call(), RecordingSink())
        self.assertIs(ending.outcome, Outcome.NOT_RUN)
        self.assertEqual(ending.detail, 'limited')
        self.assertGreater(ending.retry_after_ms, 200)
        self.assertEqual(len(self.server.requests), 1)


PROFILE = EngineProfile(8, 0.01, 0, 0, 20000, 0, 4, 900, 100, 90000)
POOL = Service('pool', 10, PROFILE)
# Entries, engines and zones of fleets.
FLEETS = ((7, 6, 3), (18, 12, 3), (98, 60, 5), (410, 600, 10))
LIMITS = (0, 0.25, 1, 1.8, 5, 20)
STEP_S = 0.1
PLAYED_S = 24.0
WARM_S = 2.0


class Entry:
    """One entry: the notices that it got, and when it may send."""

    def __init__(self, host: str, zone: str, fleet: 'Fleet') -> None:
        self.zone = zone
        self.fleet = fleet
        subscribed = select_hosts(host, zone, fleet.places)
        self.represents = subscribed.get('e0', 0) if fleet.has_process else 0
        self.is_reachable = True
        self.start(host)

    def start(self, seed: object) -> None:
        """Start a process without any notices."""
        self.knows_limit = False
        self.notices = Notices()
        self.stats = EndpointStats()
        fleet = self.fleet
        rng = Random(f'{fleet.seed}{seed}')
        self.limits = RateLimits(self.notices, rng, lambda: fleet.known_entries)

    def step(self, now: float) -> None:
        """Send a call if the limit allows it."""
        fleet = self.fleet
        target = RateLimitTarget(fleet.service, fleet.endpoint, self.stats)
        if self.limits.available_at(target, now) > now:
            return
        self.limits.record_sent(target, now)
        if self.knows_limit:
            fleet.times.append(now)
        self.knows_limit = True
        self.notices.record('e0', Notice(fleet.limit, complete=True), now)


class Fleet:
    """Entries that all have calls for the same endpoint."""

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
        self.known_entries = entries
        self.has_process = has_process
        self.service = POOL if has_process else PLAIN_SERVICE
        self.places = {
            f'e{number}': f'z{number % zones}' for number in range(engines)
        }
        self.endpoint = Endpoint('e0', 'pool', 'e0', 80, 'z0', 8, ready=True)
        self.times: list[float] = []
        self.rng = Random(entries)
        self.subscribers = ReportSubscribers(-2.0)
        self.entries = [
            Entry(f'a{number}', f'z{number % zones}', self)
            for number in range(entries)
        ]
        self.now = float()

    def play(self, until: float, share: float = 1) -> None:
        """Let a share of the entries have a call at each step."""
        steps = int((until - self.now) / STEP_S)
        for _ in range(steps):
            self.now += STEP_S
            self.exchange()
            for entry in self.entries:
                if share >= 1 or self.rng.random() < share:
                    entry.step(self.now)

    def exchange(self) -> None:
        """Let entries subscribe to the process and get its reports."""
        subscribed = [
            (number, entry)
            for number, entry in enumerate(self.entries)
            if entry.represents and entry.is_reachable
        ]
        for number, entry in subscribed:
            subscription = ReportSubscription(
                int(self.now * 10) + 99, entry.zone, 0.1, entry.represents
            )
            self.subscribers.subscribe(
                (f'a{number}', 1), subscription, self.now
            )
        self.subscribers.expire(self.now)
        reports = {same: self.report(same_zone=same) for same in (True, False)}
        for _, entry in subscribed:
            entry.stats.record_report(reports[entry.zone == 'z0'])

    def report(self, *, same_zone: bool) -> Report:
        """Return the report to entries of the same zone, or to the others."""
        quota = self.subscribers.quota_share('z0', self.now, near=same_zone)
        notice = Notice(self.limit, complete=True)
        report = Report(0, 1, 1, changing=False, received_at=self.now)
        return dataclasses.replace(report, notice=notice, quota=quota)


def fleets(limit: float) -> Iterator[Fleet]:
    """Yield fleets of each size with an engine and with a plain endpoint."""
    for sizes in FLEETS:
        for has_process in (True, False):
            yield Fleet(sizes, limit, has_process=has_process)


class FleetLimitTest(unittest.TestCase):
    """The sum of calls over all entries, in virtual time."""

    def assert_within_limit(self, fleet: Fleet) -> None:
        """Check the calls that came after each entry knew the limit."""
        self.assertLessEqual(most_in_span(fleet.times), allowed(fleet.limit))

    def test_sum_over_all_entries(self) -> None:
        """Guard against entries that keep the limit alone but not together."""
        for limit in LIMITS:
            for fleet in fleets(limit):
                fleet.play(PLAYED_S)
                with self.subTest(limit=limit, entries=fleet.known_entries):
                    self.assert_within_limit(fleet)

    def test_the_limit_is_used(self) -> None:
        """Guard against an idle endpoint whose recovery no entry learns."""
        for limit in (1, 5):
            for fleet in fleets(limit):
                fleet.play(2 * PLAYED_S)
                rate = len(fleet.times) / (2 * PLAYED_S)
                # Send times of many entries coincide, so less of it is used.
                least = limit / 2 if fleet.known_entries < 30 else limit / 3
                with self.subTest(limit=limit, entries=fleet.known_entries):
                    self.assertGreaterEqual(rate, least)

    def test_coinciding_send_times_of_many_entries(self) -> None:
        """Guard against 13 calls in 4 s by chance: this seed produced them."""
        fleet = Fleet(FLEETS[-1], 1, has_process=False, seed='s24-')
        fleet.play(PLAYED_S)
        self.assert_within_limit(fleet)

    def test_a_limit_above_the_load_delays_nothing(self) -> None:
        """Guard against refused calls below the limit at short intervals."""
        for limit in (20, 1000, 999999999):
            fleet = Fleet(FLEETS[0], limit, has_process=False)
            entry = fleet.entries[0]
            entry.notices.record('e0', Notice(limit, complete=True), 0)
            target = RateLimitTarget(fleet.service, fleet.endpoint, entry.stats)
            # The first send time is random.
            entry.limits.available_at(target, 0)
            for number in range(1, 50):
                now = number * 0.77
                with self.subTest(limit=limit, now=now):
                    self.assertLessEqual(
                        entry.limits.available_at(target, now), now
                    )
                entry.limits.record_sent(target, now)

    def test_burst_after_idling(self) -> None:
        """Guard against send times that all entries saved."""
        for fleet in fleets(1):
            for idle_s in (8, 60, 3600):
                fleet.play(fleet.now + PLAYED_S / 2)
                fleet.now += idle_s
            fleet.play(fleet.now + PLAYED_S / 2)
            with self.subTest(entries=fleet.known_entries):
                self.assert_within_limit(fleet)

    def test_entries_that_restart(self) -> None:
        """Guard against restarted entries that use their quota anew."""
        for fleet in fleets(1):
            for number in range(40):
                fleet.play(fleet.now + 0.6, share=0.5)
                entry = fleet.entries[number % fleet.known_entries]
                entry.start(number)
            with self.subTest(entries=fleet.known_entries):
                self.assert_within_limit(fleet)

    def test_a_zone_that_is_cut_off_from_the_process(self) -> None:
        """Guard against quotas assigned twice: also to entries cut off."""
        for fleet in fleets(1.8):
            fleet.play(PLAYED_S / 2)
            for entry in fleet.entries:
                entry.is_reachable = entry.zone != 'z1'
            fleet.play(PLAYED_S)
            for entry in fleet.entries:
                entry.is_reachable = True
            fleet.play(PLAYED_S * 1.5)
            with self.subTest(entries=fleet.known_entries):
                self.assert_within_limit(fleet)

    def test_more_entries_than_are_known(self) -> None:
        """Guard against a count of entries that is a fifth too low."""
        for fleet in fleets(1.8):
            fleet.known_entries = max(1, int(fleet.known_entries / 1.2))
            fleet.play(PLAYED_S)
            with self.subTest(entries=fleet.known_entries):
                self.assert_within_limit(fleet)

    def test_a_limit_that_ends_is_forgotten(self) -> None:
        """Guard against send times kept for a limit that has ended."""
        fleet = Fleet(FLEETS[0], 0, has_process=False)
        fleet.play(PLAYED_S)
        entry = fleet.entries[0]
        entry.notices.record('e0', Notice(complete=True), fleet.now)
        target = RateLimitTarget(fleet.service, fleet.endpoint, entry.stats)
        for now in (fleet.now, fleet.now + 1):
            self.assertEqual(entry.limits.available_at(target, now), now)


if __name__ == '__main__':
    unittest.main()
