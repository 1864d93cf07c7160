"""Measurements say so where an aim was not reached."""

import socket
import unittest

from linnetwood.core.metrics import Metric
from linnetwood.lab.instruments import Figures, Machine
from linnetwood.lab.measure_burst import Curve


class MeasuresTest(unittest.TestCase):
    """Null for what did not happen, counts for what did."""

    def test_time_of_a_count_that_was_never_reached(self) -> None:
        """No number stands for never."""
        curve = Curve([(1.0, 10), (2.0, 76)])
        cases = ((10, 1.0), (50, 2.0), (77, None))
        for count, expected in cases:
            with self.subTest(count=count):
                self.assertEqual(curve.time_of(count), expected)

    def test_counters_are_summed_and_timings_left_aside(self) -> None:
        """Several datagrams with several lines make one count."""
        figures = Figures()
        self.addCleanup(figures.close)
        said = figures.settings()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for text in (
                'linnetwood.calls.retried:1|c',
                'linnetwood.calls.retried:2|c\nlinnetwood.calls.retried:9|ms',
            ):
                sender.sendto(
                    text.encode(),
                    (said['statsd_host'], said['statsd_port']),
                )
        self.assertEqual(figures.read(Metric.CALLS_RETRIED), 3)
        self.assertEqual(figures.read(Metric.CHUNKS_BAD), 0)

    def test_machine_tells_its_share(self) -> None:
        """The share lies between nothing and all cores."""
        told = Machine().told()
        self.assertEqual(set(told), {'cores_busy', 'machine_limited'})
        self.assertTrue(0 <= told['cores_busy'] <= 1)


if __name__ == '__main__':
    unittest.main()
