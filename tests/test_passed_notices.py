"""What one entry hears of an engine in an answer, all that hear it learn."""

import dataclasses
import unittest

from linnetwood.calls.notices import Notice
from linnetwood.calls.reports import Reports
from linnetwood.fleet.latestnotice import LatestNotice
from linnetwood.fleet.news import NewsHandler
from linnetwood.gen.wire.ttypes import EngineSaid
from linnetwood.weights.engine import EngineReport
from tests.test_talk import MODEL, PORT, TICK_S, Clock, Fleet


class RoundsTest(unittest.TestCase):
    """When reports tell what is known, beside a process that reports fast."""

    def test_every_pace_meets_a_round(self) -> None:
        """Guard against entries whose reports always come between rounds."""
        for pace_s in (0.1, 0.2, 0.25, 0.4, 0.5, 1, 2):
            last = LatestNotice()
            last.update(EngineSaid(1, 2000), 0.07)
            times = [count * pace_s for count in range(1, int(40 / pace_s))]
            known = [at for at in times if at > 1 and last.for_report(at, 0.1)]
            with self.subTest(pace_s=pace_s):
                self.assertTrue(known)


class PassedOnTest(unittest.IsolatedAsyncioTestCase):
    """Two entries, and the process beside one engine."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(2, 1, 1)
        clock = self.fleet.clock
        assert isinstance(clock, Clock)
        self.clock = clock
        self.entries = [self.fleet.entry(number) for number in range(2)]
        self.endpoint = self.fleet.endpoint(0)
        self.endpoint.talk._peers.is_known = True
        self.born = 0
        self.one = next(self.fleet.directory.all())
        self.greets = True
        self.report()
        for _ in range(30):
            self.tick()

    async def asyncTearDown(self) -> None:
        self.endpoint.driver.close()

    def report(self) -> None:
        """Let the engine report that it works."""
        self.endpoint.follower.report = EngineReport(
            3, 8, 41000, 90000, {MODEL: 1}, False, 2, self.born
        )

    def deliver(self) -> None:
        """Bring what was sent to whoever it is for."""
        wire = self.fleet.wire
        talk = self.endpoint.talk
        hosts: dict[str, NewsHandler] = dict(
            zip(self.fleet.entries, self.entries)
        )
        for host, came in list(wire.last.items()):
            hearer = hosts.get(host, talk)
            for source, news in came:
                hearer.handle_news(news, (source, PORT))
            came.clear()

    def tick(self) -> None:
        """Greet and report once."""
        for one in self.entries if self.greets else []:
            one._subscribe()
        self.deliver()
        self.endpoint.talk.tell()
        self.deliver()
        self.clock.seconds += TICK_S

    def hear(self, reports: Reports, notice: Notice) -> None:
        """Let an entry get an answer."""
        now = self.clock.now()
        reports._chooser.notices.record(self.one.incarnation_id, notice, now)
        reports.forward_notice(self.one, now)

    def limits(self) -> list[float | None]:
        """Give the limit that each entry knows."""
        incarnation_id = self.one.incarnation_id
        return [
            one._chooser.notices.latest(incarnation_id).limit_per_s
            for one in self.entries
        ]

    async def test_a_limit_and_its_end_reach_all(self) -> None:
        """Guard against entries that each find out by calls of their own."""
        self.hear(self.entries[0], Notice(1.8, complete=True))
        self.tick()
        self.assertEqual(self.limits(), [1.8, 1.8])
        self.clock.seconds += 1
        self.hear(self.entries[1], Notice(complete=True))
        self.tick()
        self.assertEqual(self.limits(), [None, None])

    async def test_leaving_reaches_all_and_stays(self) -> None:
        """Guard against new work from entries that got no answer yet."""
        self.hear(self.entries[0], Notice(leaving=True))
        self.tick()
        self.clock.seconds += 1
        self.hear(self.entries[1], Notice(complete=True))
        self.tick()
        for one in self.entries:
            self.assertTrue(
                one._chooser.notices.latest(self.one.incarnation_id).leaving
            )

    async def test_a_word_that_is_lost_is_told_again(self) -> None:
        """Guard against a limit that one entry keeps to itself."""
        self.hear(self.entries[0], Notice(2, complete=True))
        self.fleet.wire.last.clear()
        self.tick()
        self.assertEqual(self.limits(), [2, None])
        self.clock.seconds += 1
        self.hear(self.entries[0], Notice(2, complete=True))
        self.tick()
        self.assertEqual(self.limits(), [2, 2])

    async def test_an_older_word_changes_nothing(self) -> None:
        """Guard against a report that was sent before the newest answer."""
        self.hear(self.entries[0], Notice(2, complete=True))
        self.tick()
        self.clock.seconds += 1
        self.hear(self.entries[0], Notice(3, complete=True))
        # The word is under way when the next report comes.
        said = self.fleet.wire.last.pop(self.fleet.engines[0])
        self.tick()
        self.assertEqual(self.limits(), [3, 2])
        self.fleet.wire.last[self.fleet.engines[0]] = said
        self.tick()
        self.assertEqual(self.limits(), [3, 3])

    async def test_the_same_word_is_told_once(self) -> None:
        """Guard against a datagram for each answer."""
        for _ in range(20):
            self.hear(self.entries[0], Notice(2, complete=True))
        said = self.fleet.wire.last[self.fleet.engines[0]]
        self.assertEqual(len(said), 1)
        self.tick()
        self.clock.seconds += 1
        self.hear(self.entries[0], Notice(2, complete=True))
        self.assertEqual(self.fleet.wire.last[self.fleet.engines[0]], [])

    async def test_what_is_known_is_told_now_and_then(self) -> None:
        """Guard against words that fill links, and entries that miss them."""
        self.hear(self.entries[0], Notice(2, complete=True))
        self.tick()
        started = self.fleet.entry(1)
        self.entries[1] = started
        told = 0
        for _ in range(100):
            self.endpoint.talk.tell()
            came = self.fleet.wire.last[self.fleet.entries[0]]
            told += sum(
                news.engine is not None and news.engine.said is not None
                for _, news in came
            )
            self.deliver()
            self.tick()
            # The entry that knows it gets answers and has nothing to pass on.
            self.hear(self.entries[0], Notice(2, complete=True))
            self.assertEqual(self.fleet.wire.last[self.fleet.engines[0]], [])
        self.assertEqual(self.limits(), [2, 2])
        self.assertLess(told, 50)

    async def test_another_life_has_no_limit(self) -> None:
        """Guard against a limit that outlives the life that named it."""
        self.hear(self.entries[0], Notice(2, complete=True))
        self.tick()
        self.born = 7
        self.report()
        self.one = dataclasses.replace(self.one, born=self.born)
        self.fleet.directory.update(self.one)
        self.tick()
        self.assertEqual(self.limits(), [None, None])
        self.hear(self.entries[1], Notice(3, complete=True))
        self.tick()
        self.assertEqual(self.limits(), [3, 3])

    async def test_another_endpoint_at_the_address_inherits_nothing(
        self,
    ) -> None:
        """Guard against an engine that never gets work: its forerunner left.

        Neither tells when it was born.
        """
        self.hear(self.entries[0], Notice(leaving=True))
        self.tick()
        old = self.one
        self.one = dataclasses.replace(old, endpoint_id='i-new')
        directory = self.fleet.directory
        directory.replace_all({'i-new': self.one}, self.clock.now())
        for _ in range(5):
            self.tick()
        for one in self.entries:
            notices = one._chooser.notices
            self.assertTrue(notices.latest(old.incarnation_id).leaving)
            self.assertFalse(notices.latest(self.one.incarnation_id).leaving)


if __name__ == '__main__':
    unittest.main()
