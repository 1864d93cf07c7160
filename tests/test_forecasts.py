"""Decisions on calls are compared with their outcomes."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from linnetwood.programs import cli, forecasts
from tests.test_losses import attempt, line


def refusal(second: int, endpoint: str = 'i-1') -> str:
    """Return the two lines of a call that is refused at admission."""
    decided = line(
        6011,
        second,
        endpoint=endpoint,
        outcome='refused',
        predicted_ms=500,
        enough_ms=340,
    )
    refused = line(6006, second, code='overloaded', retry_after_ms=1600)
    return f'{decided}\n{refused}'


class ForecastsTest(unittest.TestCase):
    """Run the command on log files."""

    def found(self, *lines: str) -> dict[str, object]:
        """Return the JSON report of a log."""
        out = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'a.log'
            path.write_text('\n'.join(lines))
            with contextlib.redirect_stdout(out):
                self.assertEqual(cli.run(['forecasts', str(path)]), 0)
            self.assertIn('torn lines', out.getvalue())
            out.truncate(0)
            out.seek(0)
            with contextlib.redirect_stdout(out):
                cli.run(['forecasts', str(path), '--json'])
        read = json.loads(out.getvalue())
        assert isinstance(read, dict)
        return read

    def lost(self, *lines: str) -> dict[str, tuple[int, int]]:
        """Return the lost and all decisions of each kind."""
        rows = self.found(*lines)['decisions']
        assert isinstance(rows, list)
        return {row['decision']: (row['lost'], row['taken']) for row in rows}

    def test_admitted_and_late(self) -> None:
        """Only calls that were sent as in time count."""
        lost = self.lost(
            attempt(1),
            attempt(1, first_ms=450),
            attempt(1, first_ms=450, urgency='late'),
        )
        self.assertEqual(lost[forecasts.FIRST_EVENT], (1, 2))

    def test_refused_though_there_was_capacity(self) -> None:
        """The engine began others in time that were sent at the same time."""
        # A line has the time of the end: this call was sent in second 3.
        beside = attempt(4, took_ms=1000)
        self.assertEqual(
            self.lost(refusal(3), beside)[forecasts.ADMISSION],
            (1, 1),
        )
        late = attempt(4, took_ms=1000, first_ms=450)
        self.assertEqual(
            self.lost(refusal(3), late)[forecasts.ADMISSION],
            (0, 1),
        )
        self.assertEqual(
            self.lost(refusal(3, 'i-2'), beside)[forecasts.ADMISSION],
            (0, 1),
        )

    def test_retry_delays(self) -> None:
        """A retry may fall into a second in which many calls are refused."""
        lost = self.lost(refusal(1), refusal(3), attempt(5))
        # 1.5 + 1.6 is in second 3, with a refusal; second 5 has none.
        self.assertEqual(lost[forecasts.RETRY_AFTER], (1, 2))

    def test_no_endpoint_with_the_version(self) -> None:
        """Calls are refused at admission or after an attempt."""
        lost = self.lost(
            line(6006, 1, code='no-endpoint', retry_after_ms=100),
            line(6001, 1, code='no-endpoint'),
            refusal(1),
        )
        self.assertEqual(lost[forecasts.VERSIONS], (2, 3))

    def test_other_decisions(self) -> None:
        """Pauses, plain services, and attempts that were given up."""
        lost = self.lost(
            attempt(1, gap_ms=301),
            attempt(1, version=0, first_ms=-1, took_ms=500),
            attempt(1, how='stalled', first_ms=-1),
            attempt(1, how='taken-back', first_ms=-1),
        )
        self.assertEqual(lost[forecasts.PAUSES], (1, 3))
        self.assertEqual(lost[forecasts.PLAIN], (1, 1))
        self.assertEqual(lost[forecasts.RETRIES], (2, 4))

    def test_the_worst_decision_comes_first(self) -> None:
        """The kinds are ordered by their losses."""
        rows = self.found(attempt(1, gap_ms=301))['decisions']
        assert isinstance(rows, list)
        self.assertEqual(rows[0]['decision'], forecasts.PAUSES)

    def test_errors(self) -> None:
        """By route, prompt, age of the report, load and link."""
        out = self.found(
            attempt(1, predicted_ms=100, first_ms=130, prompt=1290),
            attempt(1, predicted_ms=100, first_ms=60, prompt=600, far=True),
        )['first_event']
        assert isinstance(out, dict)
        self.assertEqual(out['all']['count'], 2)
        self.assertEqual(out['all']['error_p90_ms'], 40)
        self.assertEqual(out['way']['far']['short_by_ms'], -40)
        self.assertEqual(out['way']['near']['short_by_ms'], 30)
        self.assertEqual(len(out['prompt tokens from']), 2)

    def test_junk(self) -> None:
        """Truncated lines are counted, lines without a time skipped."""
        found = self.found('{"torn": ', '{"event": 6005}', '{"event": 6006}')
        self.assertEqual(found['torn_lines'], 1)

    def test_memory_is_bounded(self) -> None:
        """Spans and distinct values are limited."""
        found = forecasts.Forecasts()
        for number in range(100):
            text = attempt(1, route=f'r{number}', endpoint=f'i-{number}')
            found.add_line(json.loads(text))
        self.assertLessEqual(
            len(found.by_kind['route']),
            forecasts.MAX_VALUES + 1,
        )


if __name__ == '__main__':
    unittest.main()
