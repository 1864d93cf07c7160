"""The pages list exactly the events and metrics of the code."""

import pathlib
import re
import unittest

from linnetwood.core.events import Event
from linnetwood.core.metrics import Metric, open_metrics

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = ROOT / 'src' / 'linnetwood'


class CataloguesTest(unittest.TestCase):
    """Compare events and metrics with their pages and with their uses."""

    def test_events(self) -> None:
        """Each event is listed under its number, and nothing else is."""
        page = (ROOT / 'docs' / 'EVENTS.md').read_text()
        listed = set(re.findall(r'^\| (\d+) \| (\w+) \|', page, re.MULTILINE))
        self.assertEqual(listed, {(str(int(one)), one.name) for one in Event})

    def test_metrics(self) -> None:
        """Each metric is listed, and nothing else is."""
        page = (ROOT / 'docs' / 'METRICS.md').read_text()
        listed = set(re.findall(r'^\| `([a-z_.]+)` \|', page, re.MULTILINE))
        self.assertEqual(listed, {one.value for one in Metric})

    def test_everything_is_used(self) -> None:
        """Each event and metric is emitted somewhere."""
        code = '\n'.join(path.read_text() for path in SOURCES.rglob('*.py'))
        names = [f'Event.{one.name}' for one in Event]
        names += [f'Metric.{one.name}' for one in Metric]
        unused = [name for name in names if not re.search(rf'{name}\b', code)]
        self.assertEqual(unused, [])

    def test_absent_receiver_never_blocks(self) -> None:
        """Metrics without a receiver raise no error."""
        metrics = open_metrics('127.0.0.1', 9)
        for _ in range(1000):
            metrics.count(Metric.CALLS_ANSWERED)
        metrics.timing(Metric.FIRST_BYTE_MS, 1)
        open_metrics('no.such.host.invalid', 9).count(Metric.CALLS_ANSWERED)


if __name__ == '__main__':
    unittest.main()
