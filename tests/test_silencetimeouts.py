"""The silence timeouts of a stream follow the targets of its route."""

import dataclasses
import unittest

from linnetwood.calls.routetable import Repeat, Route
from linnetwood.calls.silencetimeouts import SilenceTimeouts

ROUTE = Route(
    'r',
    'h',
    '/',
    Repeat.RESUME,
    streams=True,
    timeout_s=6,
    target_s=0.4,
    gap_s=0.4,
    attempts=2,
    priority=1,
    public=False,
    shares=(),
)


class SilenceTimeoutsTest(unittest.TestCase):
    """Compare with the times after which callers of such routes give up."""

    def test_routes(self) -> None:
        """First event, late first event, next event; callers give up later."""
        cases = (
            (0.4, 0.4, (1.6, 2.88, 1.0)),
            (0.606, 0.6, (2.4, 4.32, 1.5)),
            (2.0, 0.4, (4.0, 7.2, 1.0)),
            (0.1, 0.1, (1.0, 1.8, 0.5)),
            (0.4, 0.0, (1.0, 1.8, 0.5)),
        )
        for target_s, gap_s, expected in cases:
            route = dataclasses.replace(ROUTE, target_s=target_s, gap_s=gap_s)
            found = dataclasses.astuple(SilenceTimeouts.for_route(route))
            with self.subTest(target_s=target_s, gap_s=gap_s):
                for actual, wanted in zip(found, expected, strict=True):
                    self.assertAlmostEqual(actual, wanted)


if __name__ == '__main__':
    unittest.main()
