"""The list of endpoints, the choice among them, and their statistics."""

import dataclasses
import unittest
from random import Random

from linnetwood.calls.choice import Chooser, Requirements
from linnetwood.calls.directory import KEPT_AFTER_OUTAGE_S, Directory, Endpoint
from linnetwood.calls.endpointstats import EndpointStats, Report
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.prioritylevels import LATE_LEVEL
from linnetwood.calls.routetable import Service

PROFILE = EngineProfile(
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
POOL = Service('pool', 100, PROFILE)


def endpoint(name: str, *, ready: bool = True, version: int = 1) -> Endpoint:
    """Return the record of an engine."""
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
    """Return a report of an engine."""
    return Report(waiting, running, serving, changing=False, received_at=at)


class MisdirectedTest(unittest.TestCase):
    """The process at an address is another incarnation than the record says."""

    def test_how_long_an_endpoint_counts_as_replaced(self) -> None:
        """For a second, unless its own fresh report names a version."""
        cases = (
            ('no report', None, 100.5, True),
            ('a second later', None, 101.0, False),
            ('reports no version', report(0, 0, 100.1, serving=0), 100.2, True),
            ('changes its version', report(0, 0, 100.1), 100.2, False),
            ('reports have stopped', report(0, 0, 98.0), 100.2, True),
        )
        for name, latest, now, expected in cases:
            with self.subTest(name=name):
                stats = EndpointStats()
                stats.record_misdirected(100.0)
                if latest is not None:
                    stats.record_report(latest)
                self.assertIs(stats.is_misdirected(now), expected)

    def test_refusals_say_so(self) -> None:
        """A call is refused before it is sent, and the log says why."""
        directory = Directory()
        directory.update(endpoint('i-1'))
        chooser = Chooser(directory, Random(1))
        chooser.stats_of('i-1').record_misdirected(100.0)
        required = Requirements(POOL, 'z1', 1000, 'm')
        self.assertIsNone(chooser.choose(required, (), 100.2))
        reason = chooser.unavailable_reason(required, 0, 100.2)
        self.assertEqual(reason.value, 'replaced')
        self.assertIsNotNone(chooser.choose(required, (), 101.2))


class DirectoryTest(unittest.TestCase):
    """Records come, drain, go, and lapse with the store."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.directory.update(endpoint('i-1'))
        self.directory.update(endpoint('i-2', ready=False))

    def names(self, now: float = 100) -> list[str]:
        """Return the ids of eligible endpoints."""
        return [
            known.endpoint_id for known in self.directory.eligible('pool', now)
        ]

    def test_draining_endpoints_get_no_new_calls(self) -> None:
        """Only ready endpoints of the service are eligible."""
        self.assertEqual(self.names(), ['i-1'])
        self.assertEqual(self.directory.eligible('desk', 100), [])

    def test_removal_while_the_store_is_reachable(self) -> None:
        """A removed endpoint is not eligible from then on."""
        self.directory.mark_removed('i-1', 100)
        self.assertEqual(self.names(), [])

    def test_a_lapsed_record_is_kept_after_an_outage(self) -> None:
        """A running endpoint writes its record again in time."""
        self.directory.note_outage(100)
        self.directory.mark_removed('i-1', 101)
        held_until = 101 + KEPT_AFTER_OUTAGE_S
        self.assertEqual(self.names(held_until - 0.1), ['i-1'])
        self.assertEqual(self.names(held_until), [])
        self.directory.expire(held_until)
        self.assertIsNone(self.directory.get('i-1'))

    def test_a_rewritten_record_stays(self) -> None:
        """An endpoint that is listed again is no longer due for removal."""
        self.directory.note_outage(100)
        self.directory.replace_all({}, 101)
        self.directory.update(endpoint('i-1'))
        self.directory.expire(200)
        self.assertEqual(self.names(), ['i-1'])

    def test_whole_list_replaces_the_old(self) -> None:
        """Endpoints that are not in it are removed."""
        self.directory.replace_all({'i-3': endpoint('i-3')}, 100)
        self.assertEqual(self.names(), ['i-3'])


class ChooserTest(unittest.TestCase):
    """Choose the endpoint with the shortest predicted wait."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(1))
        for name in ('i-1', 'i-2'):
            self.directory.update(endpoint(name))

    def chosen(self, requirements: Requirements, *tried: str) -> str:
        """Return the id of the endpoint chosen at 10 s."""
        choice = self.chooser.choose(requirements, tried, 10)
        return choice.endpoint.endpoint_id if choice else ''

    def test_the_less_loaded_by_reports(self) -> None:
        """A queue at one endpoint makes the other the choice."""
        requirements = Requirements(POOL, 'z1', 1000, 'm')
        self.chooser.stats_of('i-1').record_report(report(8, 16, 10))
        self.chooser.stats_of('i-2').record_report(report(0, 3, 10))
        self.assertEqual(self.chosen(requirements), 'i-2')
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')
        self.assertEqual(self.chosen(requirements, 'i-1', 'i-2'), '')

    def test_versions(self) -> None:
        """Engines without the model or with another version are left out."""
        self.directory.update(endpoint('i-1', version=0))
        self.directory.update(endpoint('i-2', version=2))
        cases = (
            (Requirements(POOL, 'z1', 9, 'm'), 'i-2'),
            (Requirements(POOL, 'z1', 9, 'm', min_version=3), ''),
            (Requirements(POOL, 'z1', 9, 'm', exact_version=2), 'i-2'),
            (Requirements(POOL, 'z1', 9, 'm', exact_version=1), ''),
        )
        for requirements, expected in cases:
            with self.subTest(requirements=requirements):
                self.assertEqual(self.chosen(requirements), expected)

    def test_a_report_may_name_a_version_before_the_list(self) -> None:
        """The endpoint process beside the engine knows it first."""
        self.directory.update(endpoint('i-1', version=0))
        self.chooser.stats_of('i-1').record_report(report(0, 0, 10, serving=2))
        requirements = Requirements(POOL, 'z1', 9, 'm', min_version=2)
        self.assertEqual(self.chosen(requirements), 'i-1')

    def test_a_slow_link_ends_an_older_version_earlier(self) -> None:
        """By as much as the link is slower than usual, and only there."""
        for link_delay_s, at, expected in (
            (0.0, 10.1, 'i-1'),
            (0.3, 10.1, 'i-1'),
            (0.45, 10.1, ''),
            (0.8, 10.6, 'i-1'),
            (0.8, 10.4, ''),
        ):
            slow = dataclasses.replace(
                report(0, 0, 10, serving=1), link_delay_s=link_delay_s
            )
            self.chooser.stats_of('i-1').record_report(slow)
            requirements = Requirements(
                POOL, 'z1', 9, 'm', version_deadlines=((2, at),)
            )
            exact = dataclasses.replace(requirements, exact_version=1)
            with self.subTest(link_delay_s=link_delay_s, at=at):
                self.assertEqual(self.chosen(requirements, 'i-2'), expected)
                self.assertEqual(self.chosen(exact, 'i-2'), expected)
                self.assertEqual(self.chosen(requirements, 'i-1'), 'i-2')

    def test_overdue_reports_may_mean_a_slow_link(self) -> None:
        """Shortly before the bound an older version there gets no calls."""
        self.chooser.stats_of('i-1').record_report(report(0, 0, 9.5, serving=1))
        for at, expected in ((10.7, ''), (10.9, 'i-1')):
            requirements = Requirements(
                POOL, 'z1', 9, 'm', version_deadlines=((2, at),)
            )
            with self.subTest(at=at):
                self.assertEqual(self.chosen(requirements, 'i-2'), expected)

    def test_an_unreachable_engine_may_have_a_slow_link(self) -> None:
        """A slow link is assumed until a call there begins in time again.

        Guard against calls that begin after the bound of their version. On a
        narrowed link reports arrived while calls waited, and a new report
        cleared what the calls had shown: after 9 failed connections in a row,
        entries sent 17 calls within 0.4 s of the first report, and 12 of them
        began too late.
        """
        stats = self.chooser.stats_of('i-1')
        stats.record_unreachable(5)
        stats.record_report(report(0, 0, 10, serving=1))
        self.assert_closed_early(1.7)
        # Neither an earlier call nor one that waited ends the suspicion.
        stats.record_start(4.9, 0)
        stats.record_start(9, 1)
        self.assert_closed_early(1.7)
        stats.record_start(9, 0.1)
        requirements = Requirements(
            POOL, 'z1', 9, 'm', version_deadlines=((2, 10.1),)
        )
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')

    def test_an_engine_that_reports_again_may_have_a_slow_link(self) -> None:
        """The same after overdue reports, even without calls meanwhile."""
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
        """Check how long before its bound an older version gets no calls."""
        for at, expected in ((9.9 + by_s, ''), (10.1 + by_s, 'i-1')):
            requirements = Requirements(
                POOL, 'z1', 9, 'm', version_deadlines=((2, at),)
            )
            self.assertEqual(self.chosen(requirements, 'i-2'), expected)

    def test_an_engine_that_is_listed_again_is_not_new(self) -> None:
        """Its statistics outlive its record for a time.

        Guard against calls to an endpoint that is out of touch. Its lease had
        expired, its record was written again, and its statistics were dropped
        with the old record, so its report age went from 0.2 to 0.3 s to -1
        (no report). Within 0.6 s it got 71 calls although it had not reported
        for 3 s, in the last second before the bound of their version; none
        connected.
        """
        self.chooser.stats_of('i-1').record_report(report(0, 0, 7, serving=1))
        self.chooser.stats_of('i-2').record_report(
            report(60, 16, 10, serving=1)
        )
        self.directory.mark_removed('i-1', 9)
        self.chooser.forget_unlisted(9.5)
        self.directory.update(endpoint('i-1'))
        self.assertEqual(self.chosen(Requirements(POOL, 'z1', 9, 'm')), 'i-2')
        requirements = Requirements(
            POOL, 'z1', 9, 'm', version_deadlines=((2, 10.7),)
        )
        self.assertEqual(self.chosen(requirements, 'i-2'), '')
        # It is forgotten 10 s after its last report.
        self.directory.mark_removed('i-1', 12)
        self.chooser.forget_unlisted(17.1)
        self.assertNotIn('i-1', self.chooser.stats)

    def test_an_unreachable_endpoint_is_avoided_for_a_time(self) -> None:
        """It is chosen only if there is no other."""
        requirements = Requirements(POOL, 'z1', 9, 'm')
        self.chooser.stats_of('i-1').record_unreachable(10)
        self.chooser.stats_of('i-2').record_report(report(4, 16, 10))
        self.assertEqual(self.chosen(requirements), 'i-2')
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')

    def test_an_engine_with_overdue_reports_is_avoided(self) -> None:
        """A suspended VM stops reporting long before the list drops it."""
        requirements = Requirements(POOL, 'z1', 9, 'm')
        self.chooser.stats_of('i-1').record_report(report(0, 0, 9.5))
        self.chooser.stats_of('i-2').record_report(report(2, 16, 10))
        self.assertEqual(self.chosen(requirements), 'i-2')

    def test_an_engine_with_overdue_reports_is_not_idle(self) -> None:
        """Reporting endpoints are chosen first, however long their waits are.

        Guard against calls to an endpoint that is out of touch. A report counts
        for 1.5 s and then only own calls do, while overdue reports added only
        1 s to the rank and nothing to the wait by which calls are admitted.
        Under load, with waits above 1 s everywhere else, an entry predicted
        0.15 to 0.22 s there by reports 1.52 to 1.71 s old, and sent 14 calls
        within 0.3 s; none arrived.
        """
        requirements = Requirements(POOL, 'z1', 9, 'm', acceptable_wait_s=0.5)
        self.chooser.stats_of('i-2').record_report(report(60, 16, 10))
        for age_s in (0.5, 1.4, 1.6, 5):
            self.chooser.stats_of('i-1').record_report(report(0, 0, 10 - age_s))
            choice = self.chooser.choose(requirements, (), 10)
            assert choice is not None
            self.assertEqual(choice.endpoint.endpoint_id, 'i-2')
            self.assertGreater(choice.wait_s, 1.5)
        # Without any recent reports, as after a pause of this process, all are
        # eligible.
        self.assertEqual(self.chosen(requirements, 'i-2'), 'i-1')

    def test_a_pause_of_the_entry_itself(self) -> None:
        """Subscribed endpoints still come before those that never reported.

        Guard against a call to an unknown endpoint while subscribed ones have
        free slots. It happens 0.6 s after the last reports, as when the entry
        process was paused, with more endpoints than an entry subscribes to, if
        an endpoint that never reported counts as fresh and idle while those
        whose reports have stopped rank behind any wait.
        """
        unsubscribed = dataclasses.replace(endpoint('i-2'), host='10.0.0.2')
        self.directory.update(unsubscribed)
        subscribed = ('i-1', 'i-3', 'i-4', 'i-5')
        for name in subscribed:
            self.directory.update(endpoint(name))
        self.chooser.candidates.prefer_hosts(['10.0.0.1'])
        requirements = Requirements(POOL, 'z1', 9, 'm', acceptable_wait_s=0.5)
        for age_s in (0.1, 0.6, 1.4):
            with self.subTest(age_s=age_s):
                for name in subscribed:
                    last = report(0, 1, 10 - age_s)
                    self.chooser.stats_of(name).record_report(last)
                self.assertIn(self.chosen(requirements), subscribed)

    def test_an_engine_that_never_reported_is_not_idle(self) -> None:
        """A reporting endpoint with a queue is chosen before it.

        Guard against a restarted entry that prefers an endpoint which it has
        known for 5 s without a report. It happens if only an endpoint that has
        reported once can have overdue reports.
        """
        requirements = Requirements(POOL, 'z1', 9, 'm', acceptable_wait_s=0.5)
        self.chooser.choose(requirements, (), 5)
        self.chooser.stats_of('i-2').record_report(report(60, 16, 10))
        self.assertEqual(self.chosen(requirements), 'i-2')

    def test_late_calls_do_not_count_before_urgent_ones(self) -> None:
        """Late calls are left out of the predicted wait of an urgent call."""
        stats = self.chooser.stats_of('i-1')
        stats.record_report(report(12, 16, 10))
        stats.count_waiting(LATE_LEVEL, 3)
        stats.count_waiting(0, 1)
        first = endpoint('i-1')
        urgent = self.chooser.wait_s(
            Requirements(POOL, 'z1', 9, 'm'), first, 10
        )
        late = self.chooser.wait_s(
            Requirements(POOL, 'z1', 9, 'm', urgent=False),
            first,
            10,
        )
        self.assertLess(urgent, late / 2)


class EndpointStatsTest(unittest.TestCase):
    """Correct a report by the calls sent and ended since."""

    def test_estimates(self) -> None:
        """Calls sent since then wait; calls ended since then free slots."""
        cases = (
            (report(0, 0, 10), 0, 0, (0, 0)),
            (report(2, 16, 10), 3, 0, (5, 16)),
            (report(2, 16, 10), 0, 3, (0, 15)),
            (report(0, 4, 10), 1, 9, (1, 0)),
        )
        for last, sent, ended, expected in cases:
            with self.subTest(sent=sent, ended=ended):
                stats = EndpointStats()
                for _ in range(ended):
                    stats.record_sent()
                stats.record_report(last)
                for _ in range(sent):
                    stats.record_sent()
                for _ in range(ended):
                    stats.record_ended()
                self.assertEqual(stats.estimate_work(10.2), expected)

    def test_without_a_fresh_report_only_own_calls_count(self) -> None:
        """An old report is ignored."""
        stats = EndpointStats()
        stats.record_report(report(9, 16, 10))
        stats.record_sent()
        self.assertEqual(stats.estimate_work(20), (0, 1))


class EngineProfileTest(unittest.TestCase):
    """Predict the time to first token from the profile of an engine."""

    def test_waits_grow_with_load(self) -> None:
        """Longer prompts and more running or waiting calls take longer."""
        waits = [
            PROFILE.first_token_s(1000, 0, 0),
            PROFILE.first_token_s(3000, 0, 0),
            PROFILE.first_token_s(3000, 2, 8),
            PROFILE.first_token_s(3000, 2, 16),
            PROFILE.first_token_s(3000, 9, 16),
        ]
        self.assertEqual(waits, sorted(waits))
        self.assertLess(waits[0], 0.25)
        self.assertGreater(waits[-1], 1)


if __name__ == '__main__':
    unittest.main()
