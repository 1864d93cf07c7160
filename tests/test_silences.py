"""Compare rules for streams whose engines fall silent, in virtual time."""

import dataclasses
import unittest
from collections.abc import Iterator

from linnetwood.lab.silencerules import (
    CALLER_TIMEOUT_S,
    RULES,
    Decision,
    Silence,
)
from linnetwood.lab.silences import STEP_S, Outcome, Simulation
from linnetwood.lab.silentengines import Scenario

# A load pattern: a third of the engines falls silent, or all of them at once.
THIRD = Scenario(span_s=8, dead_share=0.05)
ALL = dataclasses.replace(THIRD, silent_share=1, at_once=True)
SCENARIOS = (
    THIRD,
    ALL,
    dataclasses.replace(THIRD, silent_report=False),
    dataclasses.replace(THIRD, load=1.1, severed_share=0.05),
    dataclasses.replace(ALL, load=1.1, dead_share=0.2),
)
BESIDE = ('beside', 'beside, by evidence')


def play(scenario: Scenario, rule: str, seed: int = 0) -> Outcome:
    return Simulation(scenario, RULES[rule], seed).run()


def plays(rules: tuple[str, ...]) -> Iterator[tuple[str, Outcome]]:
    for seed, scenario in enumerate(SCENARIOS):
        for rule in rules:
            yield f'{rule}, {seed}, {scenario}', play(scenario, rule, seed)


class RuleTest(unittest.TestCase):
    """Guard against a rule that decides too early, late or without need."""

    def test_decisions_by_length_and_evidence(self) -> None:
        """A rule reads each of the facts that a silence has."""
        early = Silence(1.1)
        late = Silence(1.7)
        severed = Silence(1.1, others_go_on=True)
        unreported = Silence(1.1, report_age_s=0.5)
        reported = Silence(1.1, report_age_s=0.1)
        unbegun = Silence(1.1, begun=False, report_age_s=0.5)
        cases = (
            ('instead', Silence(0.9), Decision.WAIT),
            ('instead', early, Decision.SEND_INSTEAD),
            ('instead', unbegun, Decision.WAIT),
            ('instead, late', late, Decision.WAIT),
            ('instead, late', Silence(2.9), Decision.SEND_INSTEAD),
            ('beside', Silence(0.9), Decision.WAIT),
            ('beside', early, Decision.SEND_BESIDE),
            ('beside, by evidence', early, Decision.AVOID),
            ('beside, by evidence', reported, Decision.AVOID),
            ('beside, by evidence', severed, Decision.SEND_BESIDE),
            ('beside, by evidence', unreported, Decision.SEND_BESIDE),
            ('beside, by evidence', unbegun, Decision.WAIT),
            ('beside, by evidence', late, Decision.SEND_BESIDE),
        )
        for rule, silence, expected in cases:
            with self.subTest(rule=rule, silence=silence):
                self.assertEqual(RULES[rule].decide(silence), expected)


class SilencesTest(unittest.TestCase):
    """Guard against streams that end though their engine goes on."""

    def test_a_sound_stream_is_never_ended_beside(self) -> None:
        """Without attempts or budget, a silent attempt stays open."""
        for case, outcome in plays(BESIDE):
            with self.subTest(case):
                self.assertEqual(outcome.cut, 0)
                self.assertEqual(outcome.ended_sound, 0)

    def test_a_sound_stream_is_ended_instead(self) -> None:
        """The simulation shows the fault that the other rules avoid."""
        for scenario in (THIRD, ALL):
            with self.subTest(scenario=scenario):
                outcome = play(scenario, 'instead')
                self.assertGreater(outcome.ended_sound, 0)

    def test_each_stream_ends_once_and_within_the_budget(self) -> None:
        """No stream is lost by the simulation or sent again for free."""
        for case, outcome in plays(tuple(RULES)):
            with self.subTest(case):
                ended = outcome.whole + outcome.cut + outcome.given_up
                self.assertEqual(ended, outcome.streams)
                self.assertLessEqual(outcome.second_attempts, outcome.budget)
                longest_s = max((*outcome.held_s, *outcome.pauses_s))
                self.assertLess(longest_s, CALLER_TIMEOUT_S + 2 * STEP_S)

    def test_without_failures_nothing_is_sent_twice(self) -> None:
        """A rule costs nothing while all engines go on."""
        scenario = Scenario(span_s=8, load=0.6, silent_share=0, severed_share=0)
        for rule in RULES:
            with self.subTest(rule):
                outcome = play(scenario, rule)
                self.assertEqual(outcome.in_time, outcome.streams)
                self.assertEqual(outcome.second_attempts, 0)
                self.assertEqual(outcome.tokens_twice, 0)
                self.assertEqual(outcome.avoided, 0)

    def test_a_severed_stream_goes_on_elsewhere(self) -> None:
        """The other streams of its engine show that it is lost, not silent."""
        scenario = Scenario(
            span_s=8, load=0.6, silent_share=0, severed_share=0.02
        )
        for rule in BESIDE:
            with self.subTest(rule):
                outcome = play(scenario, rule)
                self.assertTrue(outcome.severed_s)
                self.assertEqual(outcome.whole, outcome.streams)

    def test_attempts_end_with_the_budget(self) -> None:
        """Half of the streams are severed: most are not sent again."""
        scenario = Scenario(
            span_s=8, load=0.6, silent_share=0, severed_share=0.5
        )
        for rule in RULES:
            with self.subTest(rule):
                outcome = play(scenario, rule)
                self.assertLessEqual(outcome.second_attempts, outcome.budget)
                self.assertGreater(outcome.second_attempts, 0)
                self.assertLess(outcome.whole, outcome.streams)

    def test_evidence_spares_attempts_only_while_engines_report(self) -> None:
        """Without reports, a silent engine looks like a dead one."""
        for reports, spares in ((True, True), (False, False)):
            scenario = dataclasses.replace(
                THIRD, dead_share=0, severed_share=0, silent_report=reports
            )
            beside, by_evidence = (
                play(scenario, rule).second_attempts for rule in BESIDE
            )
            with self.subTest(reports=reports):
                self.assertEqual(by_evidence < beside, spares)


if __name__ == '__main__':
    unittest.main()
