"""Control traffic per process does not grow with the fleet.

Load pattern: an idle fleet. Entries subscribe and endpoint processes report, at
the sizes of the users' deployments and at the size to design for. The bound is
a requirement of the users: a process spends 7 KB per second on control.
"""

import asyncio
import unittest
from collections import defaultdict
from random import Random

from linnetwood.calls.choice import Chooser
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.reports import Reports
from linnetwood.calls.routetable import RouteTable
from linnetwood.fleet.news import Address, NewsSocket
from linnetwood.fleet.peerlist import PeerListClient
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.reportsubscribers import ReportSubscribers
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import EngineSaid, News
from linnetwood.lab import virtual
from linnetwood.programs.resident_endpoint import ResidentEndpoint
from linnetwood.weights.engine import EngineReport
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.connections import TcpDialler
from tests.process_settings import process_settings
from tests.test_directory import POOL

PORT = 7700
MODEL = 'model-a'
# Bytes of the IP and UDP headers, which links carry too.
HEADERS = 28
MOST_BYTES_PER_S = 7000
SECONDS = 10
TICK_S = 0.1
# An entry is new for less than this time.
NEW_FOR_S = 2.0
# Entries, engines, availability zones.
SIZES = (
    (7, 6, 3),
    (40, 23, 3),
    (98, 60, 5),
    (98, 102, 5),
    (300, 180, 5),
    (410, 600, 10),
)


class Clock:
    """A clock that stands still until it is set."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.seconds

    def wall(self) -> float:
        """Return the same time."""
        return self.seconds


class Wire:
    """Count sent bytes per second, by sender and by receiver."""

    def __init__(self) -> None:
        self.sent: dict[str, float] = defaultdict(float)
        self.received: dict[str, float] = defaultdict(float)
        self.last: dict[str, list[tuple[str, News]]] = defaultdict(list)


class Port(NewsSocket):
    """Stand in for the socket of one process."""

    def __init__(self, host: str, wire: Wire, share: float) -> None:
        self._host = host
        self._wire = wire
        self._share = share

    def send(self, news: News, addresses: list[Address]) -> None:
        """Count and deliver a message to each address."""
        encoded = encode(news)
        news = decode(News, encoded)
        size = (len(encoded) + HEADERS) * self._share
        for host, _ in addresses:
            self._wire.sent[self._host] += size
            self._wire.received[host] += size
            self._wire.last[host].append((self._host, news))


def entry_host(number: int) -> str:
    """Return the address of an entry."""
    return f'10.1.{number // 250}.{number % 250}'


def engine_host(number: int) -> str:
    """Return the address of an engine's VM."""
    return f'10.2.{number // 250}.{number % 250}'


class Asked(PeerListClient):
    """Record which entries would be asked for the list of peers."""

    def __init__(self, asked: list[str]) -> None:
        super().__init__(TcpDialler(), lambda places: None)
        self._asked_of = asked

    def digest_received(self, told: int, revision: int, entry: Address) -> None:
        """Record the entry."""
        self._asked_of.append(entry[0])


class Fleet:
    """Entries and engines, spread evenly over availability zones."""

    def __init__(self, entries: int, engines: int, zones: int) -> None:
        self.wire = Wire()
        self.clock: Clock | virtual.VirtualClock = Clock()
        self.zones = zones
        # Whether every engine has a notice in its answers.
        self.all_have_notices = False
        # The version that every endpoint process knows of its engine's model.
        self.known_version = 0
        # Reports are counted from so long after the first subscription.
        self.uncounted_s = float()
        self.engines = [engine_host(number) for number in range(engines)]
        self.entries = [entry_host(number) for number in range(entries)]
        self.directory = Directory()
        for number, host in enumerate(self.engines):
            self.directory.update(
                Endpoint(
                    f'i-{number}',
                    'pool',
                    host,
                    8000,
                    self.zone(number),
                    8,
                    ready=True,
                    versions={MODEL: 1},
                ),
            )

    def zone(self, number: int) -> str:
        """Return the zone of the VM of a number."""
        return f'hall-number-{number % self.zones}'

    def subscribe(self) -> None:
        """Make every entry subscribe once, as it does each second."""
        for number, _ in enumerate(self.entries):
            self.entry(number)._subscribe()

    def entry(self, number: int) -> Reports:
        """Return the report exchange of an entry."""
        host = self.entries[number]
        reports = Reports(
            self.directory,
            Chooser(self.directory, Random(1)),
            WantedVersions(8),
            self.clock,
            PORT,
            lambda: None,
            self.zone(number),
            RelaySelector(host, Random(1)),
        )
        reports.route_table = RouteTable(services={POOL.name: POOL})
        reports._news = Port(host, self.wire, 1)
        return reports

    def endpoint(self, number: int) -> ResidentEndpoint:
        """Return the endpoint process of an engine, just started."""
        host = self.engines[number]
        endpoint = ResidentEndpoint(
            process_settings(
                vm=f'side-{number}',
                host=host,
                zone=self.zone(number),
                wire_port=PORT,
                engine=(host, 8000),
            ),
            (host, 8000),
        )
        messenger = endpoint.messenger
        messenger._clock = self.clock
        messenger._listeners = ReportSubscribers(self.clock.now())
        messenger._rng = Random(number)
        messenger._news = Port(host, self.wire, 0)
        endpoint.wanted.add_serving([(MODEL, self.known_version)])
        return endpoint

    async def report(self, number: int) -> None:
        """Make the endpoint process of an engine report for 10 s."""
        host = self.engines[number]
        endpoint = self.endpoint(number)
        messenger = endpoint.messenger
        messenger._peers.is_known = True
        messenger._set_peers(
            {known: self.zone(each) for each, known in enumerate(self.engines)},
        )
        endpoint.follower.report = EngineReport(
            3, 8, 41000, 90000, {MODEL: 1}, changing=False, orders_taken=2
        )
        for source, news in list(self.wire.last[host]):
            messenger.handle_news(news, (source, PORT))
        if self.all_have_notices:
            # The longest possible notice.
            listed = self.directory.at_host(host)
            assert listed is not None
            mark = listed.incarnation_mark
            said = EngineSaid(mark, 999999999999, leaving=True)
            messenger.handle_news(News(said=said), (self.entries[0], PORT))
        self.play(endpoint, host, self.uncounted_s)
        messenger._news = Port(host, self.wire, 1 / SECONDS)
        self.play(endpoint, host, SECONDS)
        endpoint.driver.close()

    def play(
        self, endpoint: ResidentEndpoint, host: str, seconds: float
    ) -> None:
        """Make an endpoint process report while subscriptions continue."""
        assert isinstance(self.clock, Clock)
        for _ in range(round(seconds / TICK_S)):
            self.clock.seconds += TICK_S
            for source, news in list(self.wire.last[host])[: len(self.entries)]:
                # Subscriptions are counted once.
                if news.entry is not None:
                    endpoint.messenger.handle_news(news, (source, PORT))
            endpoint.messenger.send_due()


def most(counted: dict[str, float], hosts: list[str]) -> int:
    """Return the largest count of these hosts, in whole bytes per second."""
    return round(max(counted[host] for host in hosts))


def subscriptions_sent(*, names: bool) -> int:
    """Wake an entry for 2 s; give the number of messages to one engine."""

    async def play() -> int:
        fleet = Fleet(7, 6, 3)
        fleet.clock = virtual.VirtualClock(asyncio.get_running_loop())
        reports = fleet.entry(0)
        running = asyncio.create_task(reports._run())
        for number in range(200):
            if names:
                reports._wanted.add_named(MODEL, number + 2, 0)
            reports.wake()
            await asyncio.sleep(0.01)
        running.cancel()
        return len(fleet.wire.last[engine_host(0)])

    return virtual.run(play())


class ControlTrafficTest(unittest.IsolatedAsyncioTestCase):
    """Count bytes per second into and out of every process."""

    async def test_subscriptions(self) -> None:
        """Neither an entry nor an endpoint process exceeds the bound."""
        for size in SIZES:
            with self.subTest(size=size):
                fleet = Fleet(*size)
                fleet.subscribe()
                wire = fleet.wire
                found = (
                    most(wire.sent, fleet.entries),
                    most(wire.received, fleet.engines),
                )
                self.assertLessEqual(max(found), MOST_BYTES_PER_S, found)

    async def test_reports(self) -> None:
        """Neither an endpoint process nor an entry exceeds the bound."""
        await self.check_reports(0)

    # Entries whose service has another model, of which no version exists yet,
    # got all known versions with each report, for as long as that lasted.
    async def test_reports_while_a_model_has_no_version(self) -> None:
        """Versions of other models are not sent again and again."""
        await self.check_reports(1)

    async def test_no_versions_in_reports_of_an_idle_fleet(self) -> None:
        """Versions of other models are sent to new subscribers alone."""
        await self.check_reports(1, NEW_FOR_S)

    async def check_reports(
        self, known_version: int, uncounted_s: float = 0
    ) -> None:
        """Simulate reports in fleets whose entries know no version of 'm'."""
        for size in SIZES[:4]:
            with self.subTest(size=size):
                fleet = Fleet(*size)
                fleet.all_have_notices = True
                fleet.known_version = known_version
                fleet.uncounted_s = uncounted_s
                fleet.subscribe()
                fleet.wire.received.clear()
                for number, _ in enumerate(fleet.engines):
                    await fleet.report(number)
                    await asyncio.sleep(0)
                wire = fleet.wire
                found = (
                    most(wire.sent, fleet.engines),
                    most(wire.received, fleet.entries),
                )
                self.assertLessEqual(max(found), MOST_BYTES_PER_S, found)

    async def test_the_list_of_peers_is_asked_for_nearby(self) -> None:
        """Other zones are asked only until an entry of this zone subscribes."""
        fleet = Fleet(98, 60, 5)
        fleet.subscribe()
        endpoint = fleet.endpoint(0)
        asked: list[str] = []
        endpoint.messenger._peers = Asked(asked)
        received = fleet.wire.last[fleet.engines[0]]
        far = [sent for sent in received if sent[1].entry.zone != fleet.zone(0)]
        near = [
            sent for sent in received if sent[1].entry.zone == fleet.zone(0)
        ]
        for source, news in (far[0], near[0], far[1], near[1]):
            endpoint.messenger.handle_news(news, (source, PORT))
        endpoint.driver.close()
        self.assertEqual(asked, [far[0][0], near[0][0], near[1][0]])

    def test_bursts_of_changes_are_combined(self) -> None:
        """Versions named 100 times per second are sent 10 times."""
        self.assertLessEqual(subscriptions_sent(names=True), 21)

    def test_changes_that_are_not_announced(self) -> None:
        """If only warm-up changes in the list, an entry sends once a second."""
        self.assertLessEqual(subscriptions_sent(names=False), 3)


if __name__ == '__main__':
    unittest.main()
