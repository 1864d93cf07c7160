"""When a reader takes a chunk over after the origin was away."""

import unittest

from linnetwood.weights.takeover import (
    TAKEOVERS,
    OriginFailure,
    after_fixed_wait,
    after_unread_chunks,
)

TAKEOVER_S = 1.0
CHUNK_S = 0.045
FAILED_AT = 10.0


def away(
    answered_at: float | None,
    seen_elsewhere_at: float | None = None,
    unread: int = 40,
    *,
    is_first: bool = True,
) -> OriginFailure:
    """Give what is known of an origin that failed at a time."""
    return OriginFailure(
        FAILED_AT, answered_at, seen_elsewhere_at, unread, is_first
    )


class TakeOverTest(unittest.TestCase):
    """Each rank of reader, with more or less known."""

    def due(self, rank: int, seen: OriginFailure) -> float:
        """Ask the way that waits for the rest."""
        return after_unread_chunks(rank, seen, TAKEOVER_S, CHUNK_S)

    def test_the_first_reader_tries_at_once(self) -> None:
        """It finds out whether the origin is back; pauses are another's."""
        for way in TAKEOVERS.values():
            self.assertEqual(way(0, away(None), TAKEOVER_S, CHUNK_S), FAILED_AT)

    def test_others_wait_for_what_is_unread(self) -> None:
        """All of it shares the link, so one read may take that long."""
        expected = 12 + TAKEOVER_S + 40 * CHUNK_S
        self.assertEqual(self.due(1, away(12)), expected)
        self.assertGreater(self.due(2, away(12)), self.due(1, away(12)))
        self.assertEqual(self.due(1, away(12, unread=0)), 12 + TAKEOVER_S)

    def test_whoever_reads_first_elsewhere_waits_for_that(self) -> None:
        """Its own first read tells that the origin is back."""
        late = self.due(1, away(None))
        self.assertEqual(self.due(1, away(None, 12)), late)
        self.assertGreater(late, self.due(1, away(12)))
        self.assertLess(late, FAILED_AT + 10)

    def test_whoever_reads_nothing_first_looks_at_others(self) -> None:
        """What they hold more than before tells that the origin is back."""
        told = self.due(1, away(None, 12, is_first=False))
        self.assertEqual(told, 12 + TAKEOVER_S + 40 * CHUNK_S)
        untold = self.due(1, away(None, is_first=False))
        self.assertEqual(untold, self.due(1, away(None)))

    def test_by_time_alone(self) -> None:
        """Each rank waits a time."""
        self.assertEqual(
            after_fixed_wait(2, away(12), TAKEOVER_S, CHUNK_S),
            FAILED_AT + 2 * TAKEOVER_S,
        )


if __name__ == '__main__':
    unittest.main()
