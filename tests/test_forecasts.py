"""Decisions on calls are held against what came."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from linnetwood.programs import cli, forecasts
from tests.test_losses import attempt, line


def refusal(second: int, endpoint: str = 'i-1') -> str:
    """Give the two lines of a call that is refused at the door."""
    decided = line(
        6011,
        second,
        endpoint=endpoint,
        outcome='refused',
        predicted_ms=500,
        enough_ms=340,
    )
    told = line(6006, second, code='overloaded', retry_after_ms=1600)
    return f'{decided}\n{told}'


class ForecastsTest(unittest.TestCase):
    """Run the command on files."""

    def found(self, *lines: str) -> dict[str, object]:
        """Give the report of a log as JSON."""
        told = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'a.log'
            path.write_text('\n'.join(lines))
            with contextlib.redirect_stdout(told):
                self.assertEqual(cli.run(['forecasts', str(path)]), 0)
            self.assertIn('torn lines', told.getvalue())
            told.truncate(0)
            told.seek(0)
            with contextlib.redirect_stdout(told):
                cli.run(['forecasts', str(path), '--json'])
        read = json.loads(told.getvalue())
        assert isinstance(read, dict)
        return read

    def lost(self, *lines: str) -> dict[str, tuple[int, int]]:
        """Give what each decision lost, of how many."""
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

    def test_refused_though_there_was_room(self) -> None:
        """The engine began others in time that were sent there just then."""
        # Lines are written at the end: this one was sent at the second 3.
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

    def test_told_to_come_back(self) -> None:
        """Into a second in which many are refused, or into one with room."""
        lost = self.lost(refusal(1), refusal(3), attempt(5))
        # 1.5 + 1.6 is second 3, which refused; second 5 refused nobody.
        self.assertEqual(lost[forecasts.RETURN], (1, 2))

    def test_no_endpoint_with_the_version(self) -> None:
        """Refused at the door or after a try."""
        lost = self.lost(
            line(6006, 1, code='no-endpoint', retry_after_ms=100),
            line(6001, 1, code='no-endpoint'),
            refusal(1),
        )
        self.assertEqual(lost[forecasts.VERSIONS], (2, 3))

    def test_other_decisions(self) -> None:
        """Pauses, plain services, tries that were given up."""
        lost = self.lost(
            attempt(1, gap_ms=301),
            attempt(1, version=0, first_ms=-1, took_ms=500),
            attempt(1, how='stalled', first_ms=-1),
            attempt(1, how='taken-back', first_ms=-1),
        )
        self.assertEqual(lost[forecasts.PAUSES], (1, 3))
        self.assertEqual(lost[forecasts.PLAIN], (1, 1))
        self.assertEqual(lost[forecasts.AGAIN], (2, 4))

    def test_the_worst_decision_comes_first(self) -> None:
        """So that it need not be looked for."""
        rows = self.found(attempt(1, gap_ms=301))['decisions']
        assert isinstance(rows, list)
        self.assertEqual(rows[0]['decision'], forecasts.PAUSES)

    def test_errors(self) -> None:
        """By kind, prompt, age of the report, load and way."""
        told = self.found(
            attempt(1, predicted_ms=100, first_ms=130, prompt=1290),
            attempt(1, predicted_ms=100, first_ms=60, prompt=600, far=True),
        )['first_event']
        assert isinstance(told, dict)
        self.assertEqual(told['all']['count'], 2)
        self.assertEqual(told['all']['error_p90_ms'], 40)
        self.assertEqual(told['way']['far']['short_by_ms'], -40)
        self.assertEqual(told['way']['near']['short_by_ms'], 30)
        self.assertEqual(len(told['prompt tokens from']), 2)

    def test_junk(self) -> None:
        """Torn lines are counted, lines without a time passed over."""
        found = self.found('{"torn": ', '{"event": 6005}', '{"event": 6006}')
        self.assertEqual(found['torn_lines'], 1)

    def test_memory_is_bounded(self) -> None:
        """Spans and values that are told apart have a limit."""
        found = forecasts.Forecasts()
        for number in range(100):
            text = attempt(1, route=f'r{number}', endpoint=f'i-{number}')
            found.take(json.loads(text))
        self.assertLessEqual(
            len(found.by_kind['route']),
            forecasts.MOST_VALUES + 1,
        )


if __name__ == '__main__':
    unittest.main()
