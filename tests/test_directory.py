"""The list of endpoints, choice among them, and what each is known for."""

import dataclasses
import unittest
from random import Random

from linnetwood.calls.choice import Chooser, Requirements
from linnetwood.calls.directory import KEPT_AFTER_OUTAGE_S, Directory, Endpoint
from linnetwood.calls.endpointstats import EndpointStats, Report
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.routetable import Service

FIGURES = EngineProfile(
    slots=16,
    step_s=0.00927,
    step_s_per_call=0.0000232,
    step_s_per_k_context=0.0000322,
    prefill_tokens_per_s=20700,
    attention_s_per_m_pairs=0.00118,
    steps_per_pass=5,
    typical_prompt_tokens=979,
    typical_answer_tokens=92,
    kv_tokens=317000,
    models=('m',),
)
POOL = Service('pool', 100, FIGURES)


def listed(name: str, *, ready: bool = True, version: int = 1) -> Endpoint:
    """Give an entry of an engine."""
    return Endpoint(
        name,
        'pool',
        '10.0.0.1',
        80,
        'z1',
        16,
        ready=ready,
        versions={'m': version} if version else {},
    )


def report(waiting: int, running: int, at: float, serving: int = 1) -> Report:
    """Give an engine's own word."""
    return Report(waiting, running, serving, changing=False, received_at=at)


class DirectoryTest(unittest.TestCase):
    """Entries come, drain, go, and lapse with the store."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.directory.update(listed('i-1'))
        self.directory.update(listed('i-2', ready=False))

    def names(self, now: float = 100) -> list[str]:
        """Give who takes new work."""
        return [one.endpoint_id for one in self.directory.eligible('pool', now)]

    def test_draining_takes_nothing_new(self) -> None:
        """Only ready endpoints of the service are given."""
        self.assertEqual(self.names(), ['i-1'])
        self.assertEqual(self.directory.eligible('desk', 100), [])

    def test_gone_at_once_while_the_store_is_there(self) -> None:
        """A dropped entry takes nothing from then on."""
        self.directory.mark_removed('i-1', 100)
        self.assertEqual(self.names(), [])

    def test_lapsed_entry_is_held_after_an_outage(self) -> None:
        """An endpoint that lives writes its entry again in time."""
        self.directory.note_outage(100)
        self.directory.mark_removed('i-1', 101)
        held_until = 101 + KEPT_AFTER_OUTAGE_S
        self.assertEqual(self.names(held_until - 0.1), ['i-1'])
        self.assertEqual(self.names(held_until), [])
        self.directory.expire(held_until)
        self.assertIsNone(self.directory.get('i-1'))

    def test_written_again_it_stays(self) -> None:
        """What came back is no longer doubted."""
        self.directory.note_outage(100)
        self.directory.replace_all({}, 101)
        self.directory.update(listed('i-1'))
        self.directory.expire(200)
        self.assertEqual(self.names(), ['i-1'])

    def test_whole_list_replaces_the_old(self) -> None:
        """Entries that are not in it are gone."""
        self.directory.replace_all({'i-3': listed('i-3')}, 100)
        self.assertEqual(self.names(), ['i-3'])


class ChooserTest(unittest.TestCase):
    """Take the endpoint with the least predicted wait."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(1))
        for name in ('i-1', 'i-2'):
            self.directory.update(listed(name))

    def chosen(self, requirements: Requirements, *tried: str) -> str:
        """Choose at second 10."""
        choice = self.chooser.choose(requirements, tried, 10)
        return choice.endpoint.endpoint_id if choice else ''

    def test_the_less_loaded_by_its_own_word(self) -> None:
        """A queue makes the other the choice."""
        requirements = Requirements(POOL, 'z1', 1000, 'm')
        self.chooser.stats_of('i-1').record_report(report(8, 16, 10))
        self.chooser.stats_of('i-2').record_report(report(0, 3, 10))
        self.assertEqual(self.chosen(requirements), 'i-2')
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')
        self.assertEqual(self.chosen(requirements, 'i-1', 'i-2'), '')

    def test_versions(self) -> None:
        """Empty engines, and those with another version, are left out."""
        self.directory.update(listed('i-1', version=0))
        self.directory.update(listed('i-2', version=2))
        cases = (
            (Requirements(POOL, 'z1', 9, 'm'), 'i-2'),
            (Requirements(POOL, 'z1', 9, 'm', min_version=3), ''),
            (Requirements(POOL, 'z1', 9, 'm', exact_version=2), 'i-2'),
            (Requirements(POOL, 'z1', 9, 'm', exact_version=1), ''),
        )
        for requirements, expected in cases:
            with self.subTest(need=requirements):
                self.assertEqual(self.chosen(requirements), expected)

    def test_a_report_tells_of_a_version_before_the_list(self) -> None:
        """The process beside the engine knows first."""
        self.directory.update(listed('i-1', version=0))
        self.chooser.stats_of('i-1').record_report(report(0, 0, 10, serving=2))
        requirements = Requirements(POOL, 'z1', 9, 'm', min_version=2)
        self.assertEqual(self.chosen(requirements), 'i-1')

    def test_a_slow_way_closes_an_older_version_earlier(self) -> None:
        """By as much as the way is slower than usual, and only there."""
        for way_s, at, expected in (
            (0.0, 10.1, 'i-1'),
            (0.3, 10.1, 'i-1'),
            (0.45, 10.1, ''),
            (0.8, 10.6, 'i-1'),
            (0.8, 10.4, ''),
        ):
            told = dataclasses.replace(
                report(0, 0, 10, serving=1), link_delay_s=way_s
            )
            self.chooser.stats_of('i-1').record_report(told)
            requirements = Requirements(
                POOL, 'z1', 9, 'm', version_deadlines=((2, at),)
            )
            exact = dataclasses.replace(requirements, exact_version=1)
            with self.subTest(way_s=way_s, at=at):
                self.assertEqual(self.chosen(requirements, 'i-2'), expected)
                self.assertEqual(self.chosen(exact, 'i-2'), expected)
                self.assertEqual(self.chosen(requirements, 'i-1'), 'i-2')

    def test_an_engine_that_fell_silent_may_be_on_a_slow_way(self) -> None:
        """Shortly before the bound no call goes to an older version there."""
        self.chooser.stats_of('i-1').record_report(report(0, 0, 9.5, serving=1))
        for at, expected in ((10.7, ''), (10.9, 'i-1')):
            requirements = Requirements(
                POOL, 'z1', 9, 'm', version_deadlines=((2, at),)
            )
            with self.subTest(at=at):
                self.assertEqual(self.chosen(requirements, 'i-2'), expected)

    def test_an_engine_that_did_not_answer_may_be_on_a_slow_way(self) -> None:
        """Reports come from it, and calls to it may wait, until one answers.

        Seen: entries that had failed to connect to an endpoint, or had waited
        there in vain, sent it 17 calls within 0.4 s as soon as it was heard
        again; 12 of them began behind the bound of their version. How it came
        about: reports came over a narrowed link, and calls waited on it. Cause:
        what calls there had shown was forgotten with the next report. What
        proved it: the attempts before, of which 9 in a row did not connect.
        """
        stats = self.chooser.stats_of('i-1')
        stats.record_unreachable(5)
        stats.record_report(report(0, 0, 10, serving=1))
        self.assert_closed_early(1.7)
        # A call that was sent before says nothing, nor does one that waited.
        stats.record_start(4.9, 0)
        stats.record_start(9, 1)
        self.assert_closed_early(1.7)
        stats.record_start(9, 0.1)
        requirements = Requirements(
            POOL, 'z1', 9, 'm', version_deadlines=((2, 10.1),)
        )
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')

    def test_an_engine_that_is_heard_again_may_be_on_a_slow_way(self) -> None:
        """The same after a silence, also for who sent nothing meanwhile."""
        stats = self.chooser.stats_of('i-1')
        stats.record_report(report(0, 0, 8, serving=1))
        stats.record_report(report(0, 0, 10, serving=1))
        self.assert_closed_early(0.8)
        stats.record_start(10, 0.1)
        requirements = Requirements(
            POOL, 'z1', 9, 'm', version_deadlines=((2, 10.1),)
        )
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')

    def assert_closed_early(self, by_s: float) -> None:
        """An older version is closed at the first so long before the rest."""
        for at, expected in ((9.9 + by_s, ''), (10.1 + by_s, 'i-1')):
            requirements = Requirements(
                POOL, 'z1', 9, 'm', version_deadlines=((2, at),)
            )
            self.assertEqual(self.chosen(requirements, 'i-2'), expected)

    def test_an_engine_that_is_listed_again_is_not_taken_for_new(self) -> None:
        """The list loses who is out of touch, and tells of it again.

        Seen: within 0.6 s, 71 calls to an endpoint that had not been heard for
        3 s, by no report at all, in the last second before the bound of their
        version; none connected. How it came about: its lease had run out, and
        its entry was written again. Cause: what was known of it went with its
        entry. What proved it: the age of the report in each attempt's line,
        -1, and that of attempts before, 0.2 to 0.3 s.
        """
        self.chooser.stats_of('i-1').record_report(report(0, 0, 7, serving=1))
        self.chooser.stats_of('i-2').record_report(
            report(60, 16, 10, serving=1)
        )
        self.directory.mark_removed('i-1', 9)
        self.chooser.forget_unlisted(9.5)
        self.directory.update(listed('i-1'))
        self.assertEqual(self.chosen(Requirements(POOL, 'z1', 9, 'm')), 'i-2')
        requirements = Requirements(
            POOL, 'z1', 9, 'm', version_deadlines=((2, 10.7),)
        )
        self.assertEqual(self.chosen(requirements, 'i-2'), '')
        # It is forgotten in the end.
        self.directory.mark_removed('i-1', 12)
        self.chooser.forget_unlisted(17.1)
        self.assertNotIn('i-1', self.chooser.stats)

    def test_unreachable_endpoint_is_passed_over_for_a_while(self) -> None:
        """It is chosen only where there is no other."""
        requirements = Requirements(POOL, 'z1', 9, 'm')
        self.chooser.stats_of('i-1').record_unreachable(10)
        self.chooser.stats_of('i-2').record_report(report(4, 16, 10))
        self.assertEqual(self.chosen(requirements), 'i-2')
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')

    def test_engine_that_fell_silent_is_passed_over(self) -> None:
        """A VM that stands still reports nothing, long before it is listed."""
        requirements = Requirements(POOL, 'z1', 9, 'm')
        self.chooser.stats_of('i-1').record_report(report(0, 0, 9.5))
        self.chooser.stats_of('i-2').record_report(report(2, 16, 10))
        self.assertEqual(self.chosen(requirements), 'i-2')

    def test_engine_that_fell_silent_is_not_taken_for_empty(self) -> None:
        """However long others let wait, they are known to be there.

        Seen: within 0.3 s one entry sent 14 calls to an endpoint out of touch,
        by reports 1.52 to 1.71 s old; none arrived. How it came about: under
        load all others had waits above 1 s. Cause: a report counts for 1.5 s,
        then only own calls do; silence added 1 s where endpoints are ranked,
        and nothing to the wait by which a call is admitted. What proved it: the
        ages, and the waits predicted, 0.15 to 0.22 s, in the attempts' lines.
        """
        requirements = Requirements(POOL, 'z1', 9, 'm', acceptable_wait_s=0.5)
        self.chooser.stats_of('i-2').record_report(report(60, 16, 10))
        for age_s in (0.5, 1.4, 1.6, 5):
            self.chooser.stats_of('i-1').record_report(report(0, 0, 10 - age_s))
            choice = self.chooser.choose(requirements, (), 10)
            assert choice is not None
            self.assertEqual(choice.endpoint.endpoint_id, 'i-2')
            self.assertGreater(choice.wait_s, 1.5)
        # Where nobody is heard, as after a pause of this process, all may be.
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')

    def test_a_pause_of_the_entry_itself(self) -> None:
        """Those it hears are chosen as before it, and not those it never hears.

        Seen in a trial of this class: 0.6 s after the last reports of all that
        are heard, as when the entry stood still, a call goes past endpoints
        that had room by their last word, to one of which nothing is known. How
        it comes about: there are more endpoints than an entry hears. Cause:
        whose reports have stopped counts as not heard, and who never reported
        as heard, and as empty. What proved it: before silence ranked ahead of
        any wait, the same call went to one of the former.
        """
        beyond = dataclasses.replace(listed('i-2'), host='10.0.0.2')
        self.directory.update(beyond)
        heard = ('i-1', 'i-3', 'i-4', 'i-5')
        for name in heard:
            self.directory.update(listed(name))
        self.chooser.candidates.prefer_hosts(['10.0.0.1'])
        requirements = Requirements(POOL, 'z1', 9, 'm', acceptable_wait_s=0.5)
        for age_s in (0.1, 0.6, 1.4):
            with self.subTest(age_s=age_s):
                for name in heard:
                    last = report(0, 1, 10 - age_s)
                    self.chooser.stats_of(name).record_report(last)
                self.assertIn(self.chosen(requirements), heard)

    def test_one_that_was_never_heard_is_not_taken_for_empty(self) -> None:
        """Silence from the first is silence, too.

        Seen in a trial of this class: an endpoint that an entry has known for
        5 s and never heard is chosen before one that reports a queue. How it
        comes about: the entry began anew while no report of that endpoint
        reached it. Cause: only an endpoint that once reported can be silent.
        What proved it: after a single report, 5 s old, the other is chosen.
        """
        requirements = Requirements(POOL, 'z1', 9, 'm', acceptable_wait_s=0.5)
        self.chooser.choose(requirements, (), 5)
        self.chooser.stats_of('i-2').record_report(report(60, 16, 10))
        self.assertEqual(self.chosen(requirements), 'i-2')

    def test_late_calls_do_not_count_before_urgent_ones(self) -> None:
        """Those that wait behind are left out of an urgent call's wait."""
        stats = self.chooser.stats_of('i-1')
        stats.record_report(report(12, 16, 10))
        stats.late_waiting = 3
        stats.urgent_waiting = 1
        one = listed('i-1')
        urgent = self.chooser.wait_s(Requirements(POOL, 'z1', 9, 'm'), one, 10)
        late = self.chooser.wait_s(
            Requirements(POOL, 'z1', 9, 'm', urgent=False),
            one,
            10,
        )
        self.assertLess(urgent, late / 2)


class StandingTest(unittest.TestCase):
    """Correct a report by what was sent and ended since."""

    def test_estimates(self) -> None:
        """Calls sent since wait, calls ended since make room."""
        cases = (
            (report(0, 0, 10), 0, 0, (0, 0)),
            (report(2, 16, 10), 3, 0, (5, 16)),
            (report(2, 16, 10), 0, 3, (0, 15)),
            (report(0, 4, 10), 1, 9, (1, 0)),
        )
        for word, sent, ended, expected in cases:
            with self.subTest(sent=sent, ended=ended):
                stats = EndpointStats()
                for _ in range(ended):
                    stats.record_sent()
                stats.record_report(word)
                for _ in range(sent):
                    stats.record_sent()
                for _ in range(ended):
                    stats.record_ended()
                self.assertEqual(stats.estimate_work(10.2), expected)

    def test_without_a_fresh_report_only_own_calls_count(self) -> None:
        """An old report is worth nothing."""
        stats = EndpointStats()
        stats.record_report(report(9, 16, 10))
        stats.record_sent()
        self.assertEqual(stats.estimate_work(20), (0, 1))


class ForecastTest(unittest.TestCase):
    """Predict by the engine's own figures."""

    def test_grows_with_what_is_ahead(self) -> None:
        """Longer prompts, more running and more waiting take longer."""
        waits = [
            FIGURES.first_token_s(1000, 0, 0),
            FIGURES.first_token_s(3000, 0, 0),
            FIGURES.first_token_s(3000, 2, 8),
            FIGURES.first_token_s(3000, 2, 16),
            FIGURES.first_token_s(3000, 9, 16),
        ]
        self.assertEqual(waits, sorted(waits))
        self.assertLess(waits[0], 0.25)
        self.assertGreater(waits[-1], 1)


if __name__ == '__main__':
    unittest.main()
