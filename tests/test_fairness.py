"""Fair queue: shares, limits and early refusal."""

import unittest

from linnetwood.calls.fairness import FairQueue, QueueLimits, Ticket
from linnetwood.calls.pacing import BorrowPacer
from linnetwood.core.outcomes import Ending

LIMITS = QueueLimits(100, 100)
MEAN_S = 0.2
SHARES = {'large': 3, 'small': 1}


def full_queue(capacity: int = 1, length: int = 100) -> FairQueue:
    """Return a queue whose slots are all taken."""
    queue = FairQueue(QueueLimits(length, 1000), SHARES)
    queue.capacity = capacity
    for _ in range(capacity):
        assert queue.submit('other', 0, 1000, 0) is None
    return queue


def queue_after_a_pause() -> FairQueue:
    """Return a queue where "small" paused during a long backlog."""
    queue = full_queue()
    queue.submit('small', 0, 1000, 0)
    for _ in range(60):
        queue.submit('large', 0, 1000, 0)
    drain(queue, 31)
    return queue


def drain(queue: FairQueue, count: int) -> list[str]:
    """Free one slot after another; give whose calls were admitted."""
    found = []
    for _ in range(count):
        queue.release(0.01)
        found += [ticket.organisation for ticket, _ in queue.pop_admitted(0)]
    return found


class FairnessTest(unittest.TestCase):
    """Which calls are admitted, queued and refused."""

    def test_shares_hold_under_contention(self) -> None:
        """Three of four slots go to the organisation with three shares."""
        queue = full_queue()
        for _ in range(20):
            queue.submit('large', 0, 1000, 0)
            queue.submit('small', 0, 1000, 0)
        admitted = drain(queue, 16)
        self.assertEqual(admitted.count('large'), 12)

    def test_idle_capacity_is_borrowed(self) -> None:
        """An organisation that is alone gets every slot."""
        queue = full_queue()
        for _ in range(5):
            queue.submit('small', 0, 1000, 0)
        self.assertEqual(drain(queue, 5), ['small'] * 5)

    def test_newcomer_is_not_starved_by_a_backlog(self) -> None:
        """A small organisation's first call is admitted first or second."""
        queue = full_queue()
        for _ in range(50):
            queue.submit('large', 0, 1000, 0)
        drain(queue, 10)
        queue.submit('small', 0, 1000, 0)
        self.assertIn('small', drain(queue, 2))

    def test_unused_share_is_used_later(self) -> None:
        """Calls that arrive together after a pause pass a backlog."""
        queue = queue_after_a_pause()
        for _ in range(3):
            queue.submit('small', 0, 1000, 0)
        self.assertEqual(drain(queue, 3), ['small'] * 3)

    def test_unused_share_is_limited(self) -> None:
        """After a long pause only a few calls pass the others' backlog."""
        queue = queue_after_a_pause()
        for _ in range(20):
            queue.submit('small', 0, 1000, 0)
        # 8 calls, then a quarter of the rest by the shares.
        self.assertLessEqual(drain(queue, 20).count('small'), 12)

    def test_priority_then_deadline(self) -> None:
        """Within an organisation priority goes first, then the deadline."""
        queue = full_queue()
        cases = ((0, 900), (0, 800), (5, 999))
        tickets = [queue.submit('small', *case, 0) for case in cases]
        order = []
        for _ in cases:
            queue.release(0.01)
            order += [ticket for ticket, _ in queue.pop_admitted(0)]
        self.assertEqual(order, [tickets[2], tickets[1], tickets[0]])

    def test_refusals(self) -> None:
        """Calls that would be late or over their limit are refused at once."""
        cases = (
            ('late', full_queue(), 0.001, 'deadline-passed'),
            ('full', full_queue(length=0), 1000, 'queue-full'),
        )
        for name, queue, deadline, code in cases:
            with self.subTest(name):
                answer = queue.submit('small', 0, deadline, 0)
                found = answer.code if isinstance(answer, Ending) else None
                self.assertEqual(found, code)

    def test_over_share_has_a_retry_time(self) -> None:
        """A full share of the queue refuses; the retry time grows with it."""
        queue = full_queue(length=4)
        queue.submit('large', 0, 1000, 0)
        answers = [queue.submit('small', 0, 1000, 0) for _ in range(3)]
        refused = answers[-1]
        self.assertIsInstance(refused, Ending)
        self.assertEqual(getattr(refused, 'code', ''), 'over-share')
        self.assertGreater(getattr(refused, 'retry_after_ms', 0), 100)

    def test_late_waiters_are_refused_not_run(self) -> None:
        """A waiting call past its deadline leaves its slot to the next."""
        queue = full_queue()
        late = queue.submit('small', 0, 5, 0)
        good = queue.submit('small', 0, 900, 0)
        queue.release(0.01)
        found = list(queue.pop_admitted(10))
        self.assertEqual([ticket for ticket, _ in found], [late, good])
        self.assertEqual(
            [ending.code if ending else '' for _, ending in found],
            ['deadline-passed', ''],
        )

    def test_withdrawn_ticket_is_gone(self) -> None:
        """A withdrawn call is not admitted."""
        queue = full_queue()
        ticket = queue.submit('small', 0, 900, 0)
        assert isinstance(ticket, Ticket)
        self.assertTrue(queue.withdraw(ticket))
        self.assertFalse(queue.withdraw(ticket))
        self.assertEqual(drain(queue, 1), [])


class PacedTest(unittest.TestCase):
    """Slots that become free together are not borrowed together."""

    def setUp(self) -> None:
        """Let "large" take all slots and fill the queue."""
        self.queue = FairQueue(LIMITS, SHARES, BorrowPacer(LIMITS.wait_s))
        self.queue.capacity = 4
        self.queue.submit('small', 0, 1000, 0)
        self.queue.release(MEAN_S)
        for _ in range(50):
            self.queue.submit('large', 0, 1000, 0)
        self.now = float()

    def free(self, count: int) -> list[str]:
        """End calls; give whose calls are admitted at once."""
        for _ in range(count):
            self.queue.release(MEAN_S)
        return self.admitted()

    def admitted(self) -> list[str]:
        """Return whose calls are admitted now."""
        return [
            ticket.organisation
            for ticket, _ in self.queue.pop_admitted(self.now)
        ]

    def round(self) -> list[int]:
        """End all calls; give how many are admitted each time until none is."""
        self.now += MEAN_S
        admitted = [len(self.free(self.queue.in_flight))]
        while self.queue.resume_at is not None:
            self.now = self.queue.resume_at
            admitted.append(len(self.admitted()))
        return admitted

    def test_slots_are_borrowed_one_after_another(self) -> None:
        """All are borrowed within the time of a call, never two at a time."""
        for _ in range(4):
            self.round()
        began = self.now + MEAN_S
        self.assertEqual(self.round(), [1] * 4)
        self.assertLess(self.now - began, MEAN_S)

    def test_organisation_within_its_share_is_not_paced(self) -> None:
        """It gets a slot at once that others may not borrow yet."""
        for _ in range(4):
            self.round()
        self.now += MEAN_S
        self.assertEqual(len(self.free(2)), 1)
        self.assertIsNone(self.queue.submit('small', 0, 1000, self.now))

    def test_no_slot_stays_idle_for_long(self) -> None:
        """However long calls take, a slot may be borrowed soon."""
        pacer = BorrowPacer(1)
        pacer.note_borrowed(0)
        self.assertLessEqual(
            pacer.next_borrow_at(mean_s=1000, slots=4, free=1), 0.1
        )

    def test_single_organisation_is_not_paced(self) -> None:
        """The only organisation with a share is never delayed."""
        self.queue = FairQueue(LIMITS, {'large': 3}, BorrowPacer(LIMITS.wait_s))
        self.queue.capacity = 4
        for _ in range(50):
            self.queue.submit('large', 0, 1000, 0)
        for _ in range(8):
            self.now += MEAN_S
            self.assertEqual(self.free(4), ['large'] * 4)


if __name__ == '__main__':
    unittest.main()
