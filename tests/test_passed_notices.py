"""A notice in an answer to one entry reaches all subscribed entries."""

import dataclasses
import unittest

from linnetwood.calls.notices import Notice
from linnetwood.calls.reports import Reports
from linnetwood.fleet.latestnotice import LatestNotice
from linnetwood.fleet.news import NewsHandler
from linnetwood.gen.wire.ttypes import EngineSaid
from linnetwood.weights.engine import EngineReport
from tests.test_control_traffic import MODEL, PORT, TICK_S, Clock, Fleet


class RoundsTest(unittest.TestCase):
    """When reports include a known notice, at different report intervals."""

    def test_every_interval_meets_a_round(self) -> None:
        """Guard against entries whose reports always come between rounds."""
        for interval_s in (0.1, 0.2, 0.25, 0.4, 0.5, 1, 2):
            last = LatestNotice()
            last.update(EngineSaid(1, 2000), 0.07)
            times = [
                count * interval_s for count in range(1, int(40 / interval_s))
            ]
            known = [at for at in times if at > 1 and last.for_report(at, 0.1)]
            with self.subTest(interval_s=interval_s):
                self.assertTrue(known)


class ForwardedNoticesTest(unittest.IsolatedAsyncioTestCase):
    """Two entries and the endpoint process beside one engine."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(2, 1, 1)
        clock = self.fleet.clock
        assert isinstance(clock, Clock)
        self.clock = clock
        self.entries = [self.fleet.entry(number) for number in range(2)]
        self.endpoint = self.fleet.endpoint(0)
        self.endpoint.messenger._peers.is_known = True
        self.born = 0
        self.listed = next(self.fleet.directory.all())
        self.subscribes = True
        self.report()
        for _ in range(30):
            self.tick()

    async def asyncTearDown(self) -> None:
        self.endpoint.driver.close()

    def report(self) -> None:
        """Set the report of the engine."""
        self.endpoint.follower.report = EngineReport(
            3, 8, 41000, 90000, {MODEL: 1}, False, 2, self.born
        )

    def deliver(self) -> None:
        """Deliver the sent datagrams to their receivers."""
        wire = self.fleet.wire
        messenger = self.endpoint.messenger
        hosts: dict[str, NewsHandler] = dict(
            zip(self.fleet.entries, self.entries)
        )
        for host, came in list(wire.last.items()):
            receiver = hosts.get(host, messenger)
            for source, news in came:
                receiver.handle_news(news, (source, PORT))
            came.clear()

    def tick(self) -> None:
        """Let the entries subscribe and the endpoint process report once."""
        for entry in self.entries if self.subscribes else []:
            entry._subscribe()
        self.deliver()
        self.endpoint.messenger.send_due()
        self.deliver()
        self.clock.seconds += TICK_S

    def answer(self, reports: Reports, notice: Notice) -> None:
        """Let an entry get an answer with a notice."""
        now = self.clock.now()
        reports._chooser.notices.record(self.listed.incarnation_id, notice, now)
        reports.forward_notice(self.listed, now)

    def limits(self) -> list[float | None]:
        """Return the limit that each entry knows."""
        incarnation_id = self.listed.incarnation_id
        return [
            entry._chooser.notices.latest(incarnation_id).limit_per_s
            for entry in self.entries
        ]

    async def test_a_limit_and_its_end_reach_all(self) -> None:
        """Guard against entries that each have to learn it by own calls."""
        self.answer(self.entries[0], Notice(1.8, complete=True))
        self.tick()
        self.assertEqual(self.limits(), [1.8, 1.8])
        self.clock.seconds += 1
        self.answer(self.entries[1], Notice(complete=True))
        self.tick()
        self.assertEqual(self.limits(), [None, None])

    async def test_leaving_reaches_all_and_stays(self) -> None:
        """Guard against new calls from entries that got no answer yet."""
        self.answer(self.entries[0], Notice(leaving=True))
        self.tick()
        self.clock.seconds += 1
        self.answer(self.entries[1], Notice(complete=True))
        self.tick()
        for entry in self.entries:
            self.assertTrue(
                entry._chooser.notices.latest(
                    self.listed.incarnation_id
                ).leaving
            )

    async def test_a_lost_notice_is_forwarded_again(self) -> None:
        """Guard against a limit that only one entry knows."""
        self.answer(self.entries[0], Notice(2, complete=True))
        self.fleet.wire.last.clear()
        self.tick()
        self.assertEqual(self.limits(), [2, None])
        self.clock.seconds += 1
        self.answer(self.entries[0], Notice(2, complete=True))
        self.tick()
        self.assertEqual(self.limits(), [2, 2])

    async def test_an_older_notice_changes_nothing(self) -> None:
        """Guard against a report that was sent before the newest answer."""
        self.answer(self.entries[0], Notice(2, complete=True))
        self.tick()
        self.clock.seconds += 1
        self.answer(self.entries[0], Notice(3, complete=True))
        # The notice is in flight when the next report comes.
        said = self.fleet.wire.last.pop(self.fleet.engines[0])
        self.tick()
        self.assertEqual(self.limits(), [3, 2])
        self.fleet.wire.last[self.fleet.engines[0]] = said
        self.tick()
        self.assertEqual(self.limits(), [3, 3])

    async def test_an_unchanged_notice_is_forwarded_once(self) -> None:
        """Guard against a datagram for each answer."""
        for _ in range(20):
            self.answer(self.entries[0], Notice(2, complete=True))
        said = self.fleet.wire.last[self.fleet.engines[0]]
        self.assertEqual(len(said), 1)
        self.tick()
        self.clock.seconds += 1
        self.answer(self.entries[0], Notice(2, complete=True))
        self.assertEqual(self.fleet.wire.last[self.fleet.engines[0]], [])

    async def test_a_known_notice_is_reported_in_rounds(self) -> None:
        """Guard against notices that fill links, and entries that miss them."""
        self.answer(self.entries[0], Notice(2, complete=True))
        self.tick()
        started = self.fleet.entry(1)
        self.entries[1] = started
        reported = 0
        for _ in range(100):
            self.endpoint.messenger.send_due()
            came = self.fleet.wire.last[self.fleet.entries[0]]
            reported += sum(
                news.engine is not None and news.engine.said is not None
                for _, news in came
            )
            self.deliver()
            self.tick()
            # The entry that knows it gets answers and forwards nothing.
            self.answer(self.entries[0], Notice(2, complete=True))
            self.assertEqual(self.fleet.wire.last[self.fleet.engines[0]], [])
        self.assertEqual(self.limits(), [2, 2])
        self.assertLess(reported, 50)

    async def test_another_incarnation_has_no_limit(self) -> None:
        """Guard against a limit that outlives the incarnation that named it."""
        self.answer(self.entries[0], Notice(2, complete=True))
        self.tick()
        self.born = 7
        self.report()
        self.listed = dataclasses.replace(self.listed, born=self.born)
        self.fleet.directory.update(self.listed)
        self.tick()
        self.assertEqual(self.limits(), [None, None])
        self.answer(self.entries[1], Notice(3, complete=True))
        self.tick()
        self.assertEqual(self.limits(), [3, 3])

    async def test_another_endpoint_at_the_address_inherits_nothing(
        self,
    ) -> None:
        """Guard against an engine without calls because its predecessor left.

        Neither of them reports when it was born.
        """
        self.answer(self.entries[0], Notice(leaving=True))
        self.tick()
        old = self.listed
        self.listed = dataclasses.replace(old, endpoint_id='i-new')
        directory = self.fleet.directory
        directory.replace_all({'i-new': self.listed}, self.clock.now())
        for _ in range(5):
            self.tick()
        for entry in self.entries:
            notices = entry._chooser.notices
            self.assertTrue(notices.latest(old.incarnation_id).leaving)
            self.assertFalse(notices.latest(self.listed.incarnation_id).leaving)


if __name__ == '__main__':
    unittest.main()
