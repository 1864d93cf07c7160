"""What happened to a call is reconstructed from logs."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from linnetwood.programs import cli, exits, explain


def line(event: int, message: str, at: str, **fields: object) -> str:
    """Return a log line as a process writes it."""
    return json.dumps(
        {
            'asctime': f'2026-01-01 00:00:0{at}',
            'message': message,
            'vm': 'entry-1',
            'event': event,
            **fields,
        },
    )


FIRST_LOG = '\n'.join(
    (
        line(
            6005,
            'attempt_ended',
            '2,000',
            call='c-1',
            endpoint='i-1',
            predicted_ms=80,
            first_ms=-1,
            took_ms=1600,
            how='stalled',
            detail='',
        ),
        line(6005, 'attempt_ended', '1,000', call='c-2', endpoint='i-1'),
        '{"torn": ',
        'not a line of ours',
    ),
)
SECOND_LOG = '  1.5 entry-2 ' + line(
    6006,
    'call_refused',
    '1,500',
    call='c-1',
    code='overloaded',
    detail='predicted 900 ms',
    retry_after_ms=650,
)


SIMILAR = '\n'.join(
    (
        line(
            6008,
            'endpoint_crashed',
            '3,000',
            endpoint='i-7',
            service='pool',
            why='refused',
            calls=2,
            likenesses=['c0ffee', 'beef'],
        ),
        line(
            6006,
            'call_refused',
            '4,000',
            call='c-8',
            likeness='c0ffee',
            code='ends-endpoints',
            detail='2 ended',
            retry_after_ms=59000,
        ),
    ),
)


class ExplainTest(unittest.TestCase):
    """Run the command on log files."""

    def run_command(self, *args: str) -> tuple[int, str, str]:
        """Return the exit code, the output and the errors."""
        with tempfile.TemporaryDirectory() as folder:
            one = pathlib.Path(folder) / 'one.log'
            two = pathlib.Path(folder) / 'two.log'
            one.write_text(f'{FIRST_LOG}\n{SIMILAR}')
            two.write_text(SECOND_LOG)
            out, err = io.StringIO(), io.StringIO()
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(err),
            ):
                code = cli.run(
                    ['explain', args[0], str(one), str(two), *args[1:]],
                )
        return code, out.getvalue(), err.getvalue()

    def test_events_are_in_order_and_in_words(self) -> None:
        """Events of all processes are merged; truncated lines are skipped."""
        code, out, _ = self.run_command('c-1')
        self.assertEqual(code, exits.EXIT_OK)
        first, second = out.splitlines()
        self.assertIn('refused at admission (overloaded)', first)
        self.assertIn('may come back after 650 ms', first)
        self.assertIn('sent to i-1', second)
        self.assertIn('no event came; ended "stalled"', second)

    def test_silences_of_streams(self) -> None:
        """A silence is described with what was decided, and on what basis."""
        row = json.loads(
            line(
                6014,
                'stream_silent',
                '1,000',
                endpoint='i-1',
                silent_ms=1003,
                streams=4,
                report_age_ms=90,
                attempts_left=1,
                retries_left=0.4,
                decision='no retry budget',
            )
        )
        text = explain.describe(row)
        self.assertIn('i-1 has sent nothing for 1003 ms, with 4 other', text)
        self.assertIn('no retry budget (1 attempts and 0.4 retries', text)

    def test_answers_by_an_older_configuration(self) -> None:
        """Guards against an answered call whose configuration stays unknown."""
        text = line(
            6017,
            'call_traced',
            '1,000',
            call='c-1',
            code='moved',
            service='desk',
            config_version=7,
            version_now=8,
            store_age_ms=250,
            confirmed_by='relay',
            decided_ms=3,
            took_ms=420,
        )
        found = explain.describe(json.loads(text))
        self.assertIn('answered by desk after 420 ms', found)
        self.assertIn('by version 7 on a view 250 ms old (relay)', found)
        self.assertIn('version 8 was in force at the end (moved)', found)

    def test_notices_of_endpoints(self) -> None:
        """Each notice is described in words."""
        for fields, notice in (
            ({'limit_per_s': 1.8}, 'takes 1.8 calls a second'),
            (
                {'limit_per_s': 0, 'leaving': True},
                'takes 0 calls a second, leaves',
            ),
            ({'rest_s': 3.0, 'unread': 'x'}, "wants 3.0 s of rest, tells 'x'"),
            ({'limit_per_s': None}, 'takes any number of calls again'),
        ):
            row = json.loads(
                line(6012, 'endpoint_notice', '1,000', endpoint='i-1', **fields)
            )
            with self.subTest(notice=notice):
                ending = f': i-1 says of itself: {notice}'
                self.assertTrue(explain.describe(row).endswith(ending))

    def test_similar_calls(self) -> None:
        """The crashes under them, and the refusals because of these."""
        code, out, _ = self.run_command('c0ffee')
        self.assertEqual(code, exits.EXIT_OK)
        crash, refusal = out.splitlines()
        self.assertIn('i-7 of pool ended (refused) under 2 calls', crash)
        self.assertIn('refused at admission (ends-endpoints), 2 ended', refusal)

    def test_json(self) -> None:
        """The events are printed as JSON."""
        code, out, _ = self.run_command('c-1', '--json')
        self.assertEqual(code, exits.EXIT_OK)
        self.assertEqual(len(json.loads(out)), 2)

    def test_unknown_id_and_unreadable_file(self) -> None:
        """Each is reported as an error with a code."""
        code, _, error = self.run_command('c-9')
        self.assertEqual(code, exits.EXIT_BAD_INPUT)
        self.assertIn('call-unknown', error)
        err = io.StringIO()
        with contextlib.redirect_stderr(err):
            code = cli.run(['explain', 'c-1', '/no/such/file'])
        self.assertEqual(code, exits.EXIT_BAD_INPUT)
        self.assertIn('log-unreadable', err.getvalue())

    def test_long_id(self) -> None:
        """A call is found by its whole id, also where lines have it cut."""
        cut_line = {'event': 6006, 'call': 'c' * 120}
        self.assertEqual(
            explain.lines_of_call([cut_line], 'c' * 200), [cut_line]
        )


if __name__ == '__main__':
    unittest.main()
