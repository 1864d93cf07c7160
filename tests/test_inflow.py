"""What a VM's link brings, and how much is asked for at a time."""

import unittest
from unittest import mock

from linnetwood.gen.wire.ttypes import ChunkReply
from linnetwood.weights.exchange import Fetcher
from linnetwood.weights.inboundlink import InboundLink
from linnetwood.wire.codec import encode
from linnetwood.wire.frames import Frame, FrameKind
from linnetwood.wire.links import OpenLink

# As many as both windows of a download together.
MOST = 5
UNMEASURED = 3
STATED_CHUNK_S = 0.054
NARROWED_CHUNK_S = 0.216


def measured(chunk_s: float) -> InboundLink:
    """Give what has brought some chunks, one after the other."""
    inbound_link = InboundLink()
    for number in range(3):
        flight = inbound_link.record_request(number * chunk_s)
        inbound_link.record_received(flight)
        inbound_link.update((number + 1) * chunk_s)
    return inbound_link


class InboundLinkTest(unittest.TestCase):
    """Bound what is under way by the time that it takes."""

    def test_room(self) -> None:
        """One chunk, and as many as come within 0.4 s beside it."""
        for chunk_s, room in (
            (STATED_CHUNK_S, 8),
            (0.09, MOST),
            (NARROWED_CHUNK_S, 2),
            (0.5, 1),
        ):
            with self.subTest(chunk_s=chunk_s):
                self.assertEqual(
                    measured(chunk_s).request_budget(UNMEASURED), room
                )
        self.assertEqual(InboundLink().request_budget(UNMEASURED), UNMEASURED)

    def test_chunks_that_share_the_link(self) -> None:
        """Three that come at once in 0.6 s took 0.2 s each."""
        inbound_link = InboundLink()
        flights = [inbound_link.record_request(0) for _ in range(3)]
        for flight in flights:
            inbound_link.record_received(flight)
        inbound_link.update(0.6)
        self.assertAlmostEqual(inbound_link.chunk_s, 0.2)

    def test_a_slow_sender_tells_nothing_of_the_link(self) -> None:
        """The fastest of the last chunks counts."""
        inbound_link = measured(STATED_CHUNK_S)
        flight = inbound_link.record_request(1)
        inbound_link.record_received(flight)
        inbound_link.update(2)
        self.assertAlmostEqual(inbound_link.chunk_s, STATED_CHUNK_S)

    def test_what_flows_at_a_time_counts(self) -> None:
        """Senders that begin late make no slow link."""
        inbound_link = InboundLink()
        for number in range(4):
            flights = [inbound_link.record_request(number) for _ in range(2)]
            for flight in flights:
                inbound_link.record_first_byte(flight, number + 0.9)
            for flight in flights:
                inbound_link.record_received(flight)
            inbound_link.update(number + 0.9 + 2 * STATED_CHUNK_S)
        self.assertAlmostEqual(inbound_link.chunk_s, STATED_CHUNK_S)

    def test_the_origin_tells_nothing_of_the_link(self) -> None:
        """What others share is not this link; it is under way all the same."""
        inbound_link = measured(NARROWED_CHUNK_S)
        for number in range(3):
            flight = inbound_link.record_request(number, sampled=False)
            inbound_link.record_received(flight)
            inbound_link.update(number + STATED_CHUNK_S)
        self.assertAlmostEqual(inbound_link.chunk_s, NARROWED_CHUNK_S)
        inbound_link.record_request(4, sampled=False)
        self.assertEqual(inbound_link.request_budget(UNMEASURED), 1)

    def test_what_was_given_up_may_still_come(self) -> None:
        """It takes room until the link must have brought it."""
        inbound_link = measured(NARROWED_CHUNK_S)
        flights = [inbound_link.record_request(10) for _ in range(2)]
        inbound_link.record_failed(flights[0])
        inbound_link.record_timeout(11)
        self.assertEqual(inbound_link.request_budget(UNMEASURED), 0)
        self.assertAlmostEqual(inbound_link.backlog_s, 2 * NARROWED_CHUNK_S)
        inbound_link.update(11 + 3 * NARROWED_CHUNK_S)
        self.assertEqual(inbound_link.request_budget(UNMEASURED), 1)

    def test_what_fails_takes_no_room(self) -> None:
        """Nothing will come."""
        inbound_link = measured(NARROWED_CHUNK_S)
        inbound_link.record_failed(inbound_link.record_request(10))
        self.assertEqual(inbound_link.request_budget(UNMEASURED), 2)


class WayTest(unittest.TestCase):
    """Tell entries how long a call's bytes may wait."""

    def test_a_longer_way_is_told_at_once(self) -> None:
        """What lies on the link, at its rate."""
        inbound_link = InboundLink()
        flights = [inbound_link.record_request(0) for _ in range(2)]
        for flight in flights:
            inbound_link.record_received(flight)
        self.assertAlmostEqual(
            inbound_link.update_link_delay_s(2 * NARROWED_CHUNK_S), 0
        )
        for _ in range(2):
            inbound_link.record_request(1)
        self.assertAlmostEqual(
            inbound_link.update_link_delay_s(1.1), 2 * NARROWED_CHUNK_S
        )

    def test_before_any_came(self) -> None:
        """Peers' chunks tell by their age, and the origin's do not."""
        inbound_link = InboundLink()
        inbound_link.record_request(0, sampled=False)
        self.assertAlmostEqual(inbound_link.update_link_delay_s(1), 0)
        flight = inbound_link.record_request(1)
        self.assertAlmostEqual(inbound_link.update_link_delay_s(1.5), 0.5)
        inbound_link.record_first_byte(flight, 1.5)
        inbound_link.record_received(flight)
        inbound_link.update(1.5 + STATED_CHUNK_S)
        self.assertLess(inbound_link.update_link_delay_s(1.6), 0.5)

    def test_a_chunk_that_came_quickly_shows_a_short_way(self) -> None:
        """Others are late because of their senders."""
        inbound_link = measured(NARROWED_CHUNK_S)
        for _ in range(4):
            inbound_link.record_request(1)
        self.assertAlmostEqual(
            inbound_link.update_link_delay_s(1.1), NARROWED_CHUNK_S
        )

    def test_a_link_that_narrows_while_chunks_are_under_way(self) -> None:
        """It is told as slow for as long as nothing comes of what was asked.

        Seen: an endpoint began a call 2 s after it was sent, on a version that
        was closed by then, though it was taken back in time. How it may come
        about: its VM's link narrows, and calls wait behind chunks that are
        under way, while entries are told of a free way. Cause: the way was
        reckoned by the last chunks that came, from before. What proved it: on
        narrowed VMs that were heard by reports under 0.2 s old, connections
        came up within 30 ms, and calls were silent for 1.6 s and more.
        """
        inbound_link = measured(STATED_CHUNK_S)
        flights = [inbound_link.record_request(1) for _ in range(2)]
        inbound_link.record_first_byte(flights[0], 1.1)
        self.assertLess(inbound_link.update_link_delay_s(1.2), 0.3)
        self.assertGreater(inbound_link.update_link_delay_s(2.1), 0.9)
        # Who is asked instead brings nothing, either.
        inbound_link.record_abandoned(flights[0])
        flights.append(inbound_link.record_request(2.2))
        self.assertGreater(inbound_link.update_link_delay_s(2.6), 1.4)
        inbound_link.record_first_byte(flights[1], 2.7)
        inbound_link.record_received(flights[1])
        inbound_link.update(2.8)
        told = [
            inbound_link.update_link_delay_s(2.8 + step / 100)
            for step in range(1, 11)
        ]
        self.assertLess(told[-1], 0.3)

    def test_a_link_that_narrows_while_the_origin_is_left_to_ask(self) -> None:
        """Peers that brought nothing are given up; the link is no freer then.

        Seen: an entry sent 17 calls within 0.4 s to an endpoint, by reports 4
        to 174 ms old; 12 of them began behind the bound of their version. How
        it came about: its VM's link had narrowed, and calls waited 2.4 s on it.
        Cause: chunks that peers had not brought were forgotten as they were
        given up, and the way reckoned by what had come before. What proved it:
        lines of what is told; 0.1 s for 1.5 s, with two chunks under way.
        """
        inbound_link = measured(STATED_CHUNK_S)
        peers = [inbound_link.record_request(1) for _ in range(2)]
        origin = inbound_link.record_request(1, sampled=False)
        for step in range(8):
            inbound_link.update_link_delay_s(1 + step / 10)
        for flight in peers:
            inbound_link.record_failed(flight)
            inbound_link.record_timeout(1.8)
        told = [
            inbound_link.update_link_delay_s(1.8 + step / 10)
            for step in range(16)
        ]
        self.assertEqual(told, sorted(told))
        self.assertGreater(told[-1], 2)
        # The origin gives no answer, either, and is asked anew after a pause.
        inbound_link.record_failed(origin)
        self.assertGreater(inbound_link.update_link_delay_s(3.5), 2)
        flight = inbound_link.record_request(3.7, sampled=False)
        self.assertGreater(inbound_link.update_link_delay_s(4.5), 3)
        # Its first chunk comes, and not fast: that is no sign of a free way.
        inbound_link.record_first_byte(flight, 4.6)
        inbound_link.record_received(flight)
        inbound_link.record_request(4.6, sampled=False)
        inbound_link.update(5)
        told = [
            inbound_link.update_link_delay_s(5 + step / 10)
            for step in range(10)
        ]
        self.assertGreater(min(told), 0.35)
        # One that comes quickly is.
        flight = inbound_link.record_request(6)
        inbound_link.record_first_byte(flight, 6)
        inbound_link.record_received(flight)
        inbound_link.update(6 + STATED_CHUNK_S)
        told = [
            inbound_link.update_link_delay_s(6.1 + step / 10)
            for step in range(10)
        ]
        self.assertLess(told[-1], 0.3)

    def test_a_link_that_brings_nothing_is_as_slow_as_any(self) -> None:
        """What lies on it is not known: chunks that were given up, and calls.

        Seen: by a way told as 1.2 s, after as long without a byte, calls were
        sent that arrived after 3.4 s, behind the bound of their version. Cause:
        how long nothing came says how long it has waited so far, and no more.
        """
        inbound_link = measured(STATED_CHUNK_S)
        flights = [inbound_link.record_request(1) for _ in range(3)]
        self.assertLess(inbound_link.update_link_delay_s(1.7), 0.8)
        self.assertGreaterEqual(inbound_link.update_link_delay_s(1.9), 2)
        inbound_link.record_abandoned(flights[0])
        inbound_link.record_request(1.9)
        self.assertGreaterEqual(inbound_link.update_link_delay_s(2.2), 2)

    def test_a_link_that_is_narrow_before_any_came(self) -> None:
        """Peers that brought nothing are given up here, too.

        Seen in a trial of this class alone: a way is told as free as soon as
        the peers are given up, where no chunk of a peer has come since the
        process began. How it comes about: its VM's link is narrow from then on;
        calls wait behind what peers and the origin were asked for. Cause: only
        what is under way was looked at until a chunk was measured; the doubt
        counted from then on. What proved it: 0.8 s are told while peers are
        waited for, and 0 within 1.5 s after, with the origin under way.
        """
        inbound_link = InboundLink()
        peers = [inbound_link.record_request(1) for _ in range(2)]
        inbound_link.record_request(1, sampled=False)
        for step in range(9):
            inbound_link.update_link_delay_s(1 + step / 10)
        for flight in peers:
            inbound_link.record_failed(flight)
            inbound_link.record_timeout(1.8)
        told = [
            inbound_link.update_link_delay_s(1.8 + step / 10)
            for step in range(16)
        ]
        self.assertEqual(told, sorted(told))
        self.assertGreater(told[-1], 2)
        flight = inbound_link.record_request(4)
        inbound_link.record_first_byte(flight, 4)
        inbound_link.record_received(flight)
        inbound_link.update(4 + STATED_CHUNK_S)
        told = [
            inbound_link.update_link_delay_s(4.1 + step / 10)
            for step in range(10)
        ]
        self.assertLess(told[-1], 0.3)

    def test_a_peer_that_says_no_at_once_makes_no_slow_way(self) -> None:
        """Its answer came over this link, quickly, whatever the origin does.

        Seen in a trial of this class alone: a way is told as 2.7 s, and longer
        each time, while the origin lets one chunk wait. How it comes about: a
        peer refuses the connection, as it starts again, or no longer holds what
        it is asked for. Cause: what ends within a moment casts no doubt, but
        only if nothing else is under way just then. What proved it: without the
        origin's chunk the way is told as free.
        """
        for origin in (False, True):
            with self.subTest(origin=origin):
                inbound_link = measured(STATED_CHUNK_S)
                if origin:
                    inbound_link.record_request(1, sampled=False)
                inbound_link.record_failed(inbound_link.record_request(1))
                times = [1.01 + step / 10 for step in range(30)]
                told = [inbound_link.update_link_delay_s(at) for at in times]
                self.assertLess(max(told), 0.3)

    def test_an_origin_that_is_away_makes_no_slow_way(self) -> None:
        """As long as no peer was asked in vain."""
        inbound_link = measured(STATED_CHUNK_S)
        inbound_link.record_request(1, sampled=False)
        told = [
            inbound_link.update_link_delay_s(1 + step / 10)
            for step in range(40)
        ]
        self.assertLess(max(told), 0.3)

    def test_who_sends_slowly_makes_no_slow_way(self) -> None:
        """While others' chunks come, or the origin's, the way is free."""
        inbound_link = measured(STATED_CHUNK_S)
        inbound_link.record_request(1)
        for step in range(20):
            at = 1 + step / 10
            other = inbound_link.record_request(at, sampled=bool(step % 2))
            inbound_link.record_first_byte(other, at)
            inbound_link.record_received(other)
            inbound_link.update(at + STATED_CHUNK_S)
            self.assertLess(
                inbound_link.update_link_delay_s(at + STATED_CHUNK_S), 0.3
            )

    def test_a_shorter_way_is_believed_little_by_little(self) -> None:
        """One moment between two chunks tells nothing."""
        inbound_link = measured(NARROWED_CHUNK_S)
        flight = inbound_link.record_request(1)
        inbound_link.update_link_delay_s(1)
        inbound_link.record_failed(flight)
        told = [
            inbound_link.update_link_delay_s(1 + step / 10)
            for step in range(1, 11)
        ]
        self.assertGreater(told[0], NARROWED_CHUNK_S / 2)
        self.assertEqual(told, sorted(told, reverse=True))
        self.assertLess(told[-1], 0.01)


class FirstByteTest(unittest.IsolatedAsyncioTestCase):
    """See a chunk's first byte."""

    async def answered(self, *, held_here: bool) -> list[str]:
        """Ask a peer for a chunk; give what happened, in order."""
        seen: list[str] = []
        reply = ChunkReply('m', 0, held_here, b'', 0)
        frames = [
            Frame(FrameKind.CHUNK_REPLY, encode(reply)),
            Frame(FrameKind.CHUNK, b'chunk'),
        ]

        def read() -> Frame:
            frame = frames.pop(0)
            seen.append(frame.kind.name)
            return frame

        stream = mock.Mock(closed=False)
        stream.write = mock.AsyncMock()
        stream.read = mock.AsyncMock(side_effect=read)
        dialler = mock.Mock(dial=mock.AsyncMock(return_value=stream))
        await Fetcher('me', dialler, OpenLink()).fetch(
            'vm',
            ('h', 1),
            'm',
            0,
            lambda: seen.append('flows'),
        )
        return seen

    async def test_reply_marks_it(self) -> None:
        """The reply goes right before the bytes."""
        self.assertEqual(
            await self.answered(held_here=True),
            ['CHUNK_REPLY', 'flows', 'CHUNK'],
        )

    async def test_nothing_flows_from_who_has_nothing(self) -> None:
        """A reply without bytes marks nothing."""
        self.assertEqual(
            await self.answered(held_here=False),
            ['CHUNK_REPLY'],
        )


if __name__ == '__main__':
    unittest.main()
