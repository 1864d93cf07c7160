"""How long bytes of others take to a VM, by what entries tell it anyway."""

import unittest
from unittest import mock

from linnetwood.fleet.news import Address
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import EntryNews, News, WantedWeights
from linnetwood.programs import resident_talk
from linnetwood.programs.resident_talk import EndpointTalk
from linnetwood.weights.engine import EngineReport
from linnetwood.weights.inflow import Inflow

ENTRIES: tuple[Address, ...] = (('10.0.0.1', 7), ('10.0.0.2', 7))
NAMED_AT = 100.0
IDLE = EngineReport(0, 0, 0, 1, {'m': 1}, changing=False, orders_taken=0)


class WayTest(unittest.TestCase):
    """Greet a process beside an engine, and read what it reports of its way.

    Seen: an entry sent calls to an endpoint by a report 4 to 174 ms old, took
    them back 0.8 s before the older version's bound, and the endpoint read and
    began them up to 0.4 s behind it. How it came about: its VM's link was
    narrow, and what ended the calls waited behind their bytes. Cause: only
    chunks of peers were measured, and none was under way. What proved it: on
    such a day entries believe the way slow where greetings are measured, send
    nothing there by its bound, and no call begins behind it.
    """

    def setUp(self) -> None:
        self.now = NAMED_AT
        cfg = mock.Mock(host='10.0.0.9', wire_port=7, zone='z')
        cfg.version_bound_s = 8
        cfg.link_bytes_per_s = 456250
        clock = mock.Mock()
        clock.now.side_effect = lambda: self.now
        follower = mock.Mock(report=IDLE)
        follower.notices.return_value = []
        follower.around.peers = {}
        with (
            mock.patch.object(resident_talk, 'NewsPort') as port,
            mock.patch.object(resident_talk, 'PeerFollower'),
        ):
            self.talk = EndpointTalk(
                cfg,
                clock,
                follower,
                WantedVersions(8),
                mock.Mock(),
                Inflow(),
            )
        self.sent = port.return_value.send
        self.number = 0

    def greet(self, entry: Address, told_at: float, delay_s: float) -> None:
        """Let an entry greet, and the greeting come so much later."""
        self.now = told_at + delay_s
        self.number += 1
        age_ms = int(1000 * (told_at - NAMED_AT))
        news = EntryNews(number=self.number, zone='z')
        if told_at >= NAMED_AT:
            news.wanted = [WantedWeights('s', 'm', 2, age_ms)]
        self.talk.heard(News(entry=news), entry)

    def way_s(self, now: float) -> float:
        """Give what is reported next."""
        self.now = now
        self.sent.reset_mock()
        self.talk.tell()
        told = [one.args[0].engine for one in self.sent.call_args_list]
        way_ms: int = next(one.way_ms for one in told if one is not None)
        return way_ms / 1000

    def greet_all(self, first: int, last: int, delay_s: float) -> None:
        """Let all entries greet once a second, half a second apart."""
        for second in range(first, last):
            for place, entry in enumerate(ENTRIES):
                told_at = NAMED_AT + second + place / 2
                self.greet(entry, told_at, delay_s)

    def test_free(self) -> None:
        """What comes as soon as ever makes no slow way."""
        self.greet_all(0, 3, 0.002)
        self.assertLess(self.way_s(NAMED_AT + 2.6), 0.01)

    def test_a_link_that_narrows(self) -> None:
        """Nothing is fetched, and what entries tell comes late."""
        self.greet_all(0, 2, 0.002)
        self.greet_all(2, 4, 1.2)
        self.assertGreater(self.way_s(NAMED_AT + 4.8), 1.1)
        self.greet_all(5, 7, 0.002)
        self.assertLess(self.way_s(NAMED_AT + 6.6), 0.01)

    def test_one_entry_that_is_late_itself(self) -> None:
        """It tells nothing of this VM's link."""
        for second in range(4):
            told_at = NAMED_AT + second
            self.greet(ENTRIES[0], told_at, 1.2 if second else 0)
            self.greet(ENTRIES[1], told_at + 0.5, 0)
            self.greet(ENTRIES[1], told_at + 0.6, 0)
        self.assertLess(self.way_s(NAMED_AT + 4.3), 0.01)

    def test_greetings_that_stop(self) -> None:
        """A full link loses them: it is as slow as they are overdue."""
        self.greet_all(0, 2, 0.002)
        self.assertLess(self.way_s(NAMED_AT + 2.4), 0.01)
        self.assertGreater(self.way_s(NAMED_AT + 3.4), 1.5)

    def test_nothing_named(self) -> None:
        """There is nothing to measure by, and no bound to keep."""
        self.greet_all(-4, -1, 0.002)
        self.assertLess(self.way_s(NAMED_AT - 1), 0.01)


if __name__ == '__main__':
    unittest.main()
