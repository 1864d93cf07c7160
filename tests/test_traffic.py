"""Datagrams are counted by kind, logged, and summarized."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from linnetwood.core.events import Event
from linnetwood.fleet.trafficcounters import HEADER_BYTES, TrafficCounters
from linnetwood.gen.wire.ttypes import EngineNews, News
from linnetwood.programs import cli


def line(event: Event, vm: str, **fields: object) -> str:
    """Return a line as a process writes it."""
    return json.dumps({'event': int(event), 'vm': vm, **fields})


def counted(vm: str, kind: str, datagrams: int, octets: int) -> str:
    """Return a line for one kind of datagram sent in 10 s."""
    return line(
        Event.TALK_COUNTED,
        vm,
        direction='sent',
        kind=kind,
        datagrams=datagrams,
        bytes=octets,
        span_s=10.0,
    )


LOG = '\n'.join(
    (
        line(Event.STARTED, 'vm-1', program='p'),
        counted('vm-1', 'engine', 100, 4000),
        'no line {',
        counted('vm-1', 'engine', 300, 16000),
        line(Event.STARTED, 'vm-2', program='p'),
        counted('vm-2', 'engine', 200, 10000),
        counted('vm-3', 'held', 10, 500),
    ),
)


class TrafficCountersTest(unittest.TestCase):
    """Count both directions."""

    def test_counts(self) -> None:
        """Bytes include headers; a message counts once for each receiver."""
        counters = TrafficCounters()
        news = News(engine=EngineNews(number=1))
        counters.count_sent(news, 10, 3)
        counters.count_sent(news, 20, 1)
        counters.count_received(None, 5)
        found = {
            (direction, kind): (flow.datagrams, flow.byte_count)
            for direction, kind, flow in counters.take_counts()
        }
        self.assertEqual(
            found,
            {
                ('sent', 'engine'): (4, 50 + 4 * HEADER_BYTES),
                ('received', 'unknown'): (1, 5 + HEADER_BYTES),
            },
        )
        self.assertEqual(list(counters.take_counts()), [])


class TrafficTest(unittest.TestCase):
    """Run the command on a log file."""

    def run_command(self, *args: str) -> tuple[int, str]:
        """Return the exit code and the output."""
        out = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'a.log'
            path.write_text(LOG)
            with contextlib.redirect_stdout(out):
                code = cli.run(['traffic', str(path), *args])
        return code, out.getvalue()

    def test_rates(self) -> None:
        """Rates are of one process, the maximum is of any span."""
        code, out = self.run_command('--json')
        self.assertEqual(code, 0)
        found = {one['program']: one for one in json.loads(out)}
        self.assertEqual(
            found['p'],
            {
                'program': 'p',
                'direction': 'sent',
                'kind': 'engine',
                'processes': 2,
                'datagrams_per_s': 20.0,
                'bytes_per_s': 1000,
                'most_bytes_per_s': 1600,
            },
        )
        self.assertEqual(found['?']['kind'], 'held')

    def test_text(self) -> None:
        """One line for each kind."""
        code, out = self.run_command()
        self.assertEqual(code, 0)
        self.assertEqual(len(out.splitlines()), 2)
        self.assertIn('1000 B/s, at most 1600', out)

    def test_no_log(self) -> None:
        """Without a file the command names the missing argument."""
        with contextlib.redirect_stderr(io.StringIO()) as out:
            code = cli.run(['traffic'])
        self.assertEqual(code, 2)
        self.assertIn('log-missing', out.getvalue())


if __name__ == '__main__':
    unittest.main()
